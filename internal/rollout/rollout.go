// Package rollout decides when each backend server loads new weights: in which
// order, how many at once, and how long a server gets no requests before it loads.
// The package does no I/O, starts no goroutine and reads no clock: Tick takes the
// state of the servers and returns actions. It is not safe for concurrent use.
package rollout

import (
	"sort"
	"time"
)

// Server is a backend server as last observed.
type Server struct {
	ID      string
	Address string
	// Version of the weights that it had when last observed.
	Version uint64
	// Running is the number of this process's requests that run there.
	Running int
}

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of actions.
const (
	// Announce to all entries that they send the server no new requests for now.
	Announce ActionKind = iota + 1
	// Order the server to load Version, provided that it has accepted Orders orders
	// so far.
	Order
	// Query asks the server for its state; the report goes to ObserveState.
	Query
	// Withdraw an announcement: the server may get requests again.
	Withdraw
)

var kindNames = [...]string{"none", "announce", "order", "query", "withdraw"}

// String returns the name for logs.
func (k ActionKind) String() string { return kindNames[k] }

// Action is an action that the caller must carry out now.
type Action struct {
	Kind    ActionKind
	Server  string
	Address string
	Version uint64
	// Orders is how many orders the server has accepted; negative: not known.
	Orders int64
}

// ServerState is the state that a server reports of itself.
type ServerState struct {
	Version uint64
	// Busy: it is loading weights.
	Busy bool
	// Orders is how many orders it has accepted.
	Orders uint64
	// Running and Queued are numbers of requests.
	Running int
	Queued  int
}

const (
	// maxDrainTime is how long a server at most gets no requests before its order.
	// Requests that run longer delay the load at the server.
	maxDrainTime = 300 * time.Millisecond
	// minDrainTime lets requests that are in transit arrive before the order.
	minDrainTime = 120 * time.Millisecond
	// queryInterval is the least time between two queries of one server during a load.
	queryInterval = 120 * time.Millisecond
	// reportLag is the usual age of the state that a server reports.
	reportLag = 200 * time.Millisecond
	// initialLoadTime is the expected time of a load until one has ended. It allows
	// for concurrent loads, which slow each other down.
	initialLoadTime = 900 * time.Millisecond
	// loadTimeout is how long after an order it is assumed lost and sent again.
	loadTimeout = 4 * time.Second
	// stateTimeout is how long an announced server may take to report its state, a few
	// queries long. One that does not is passed over for unresponsivePause: crashed
	// servers stay listed for seconds and would take the places of live ones.
	stateTimeout      = 350 * time.Millisecond
	unresponsivePause = 1500 * time.Millisecond
	// retryDelay is the time before a server is tried again after an order that was
	// refused or failed.
	retryDelay = 300 * time.Millisecond
	// One in serversPerLoad servers loads at a time, but at least minConcurrentLoads.
	serversPerLoad     = 5
	minConcurrentLoads = 2
	// loadTimeWeight is the weight of the latest load in the moving average of the
	// load time.
	loadTimeWeight = 0.3
	// announceLead is how long before the expected end of a load the next server is
	// announced, so that it has drained by then. Announced earlier it would be idle: with
	// one such server for each that loads a fifth of the fleet did nothing.
	announceLead = maxDrainTime
)

type phase int

const (
	idle phase = iota
	announced
	ordered
)

// progress is the progress of the rollout at one server.
type progress struct {
	phase phase
	// since is the start of the phase.
	since       time.Time
	nextQueryAt time.Time
	version     uint64
	orders      int64
	running     int
	// stateKnown: the server has reported its state since it was announced.
	stateKnown bool
	// expectedOrders is the count that the last order named. refused: the server's
	// state shows that it did not accept that order.
	expectedOrders int64
	refused        bool
	// retryAt is when the server may be tried again after a failure. unresponsive: it
	// did not answer the last query of its state.
	retryAt      time.Time
	unresponsive bool
}

// Plan is the rollout of one model to the servers of a service.
type Plan struct {
	byServer map[string]*progress
	// loadTime is the moving average of the time of a load.
	loadTime time.Duration
}

// New returns a plan without orders in progress. A process that takes the rollout
// lease over starts with a new plan: the servers' states show earlier orders.
func New() *Plan { return &Plan{byServer: map[string]*progress{}, loadTime: initialLoadTime} }

// MaxConcurrentLoads returns how many of n servers load at the same time.
func MaxConcurrentLoads(n int) int { return max(minConcurrentLoads, n/serversPerLoad) }

// Tick returns the actions to carry out now so that the servers get to the target
// version.
func (p *Plan) Tick(now time.Time, target uint64, servers []Server) []Action {
	p.removeUnlisted(servers)
	var actions []Action
	loading, endingSoon, waiting, responsive := 0, 0, 0, 0
	for _, s := range servers {
		pr := p.progress(s.ID)
		actions = append(actions, p.advance(now, pr, s)...)
		if !pr.unresponsive {
			responsive++
		}
		switch pr.phase {
		case ordered:
			// The state that a server reports lags: a load counts as ended at its
			// expected end, not when the server reports it.
			left := p.loadTime - now.Sub(pr.since)
			if left > 0 {
				loading++
			}
			if left > 0 && left <= announceLead {
				endingSoon++
			}
		case announced:
			waiting++
		}
	}
	// Unresponsive servers are not counted: the others serve their requests, so fewer
	// of them may load at a time.
	free := MaxConcurrentLoads(responsive) - loading
	for _, s := range p.readyForOrder(now, servers) {
		if free <= 0 {
			break
		}
		free--
		actions = append(actions, p.order(now, s, target))
		waiting--
	}
	announceCount := free + endingSoon - waiting
	return append(actions, p.announce(now, target, servers, announceCount)...)
}

func (p *Plan) removeUnlisted(servers []Server) {
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
	}
	for id := range p.byServer {
		if !listed[id] {
			delete(p.byServer, id)
		}
	}
}

func (p *Plan) progress(id string) *progress {
	pr, ok := p.byServer[id]
	if !ok {
		pr = &progress{orders: -1}
		p.byServer[id] = pr
	}
	return pr
}

// advance ends phases that are complete or timed out, and queries servers whose
// state is needed.
func (p *Plan) advance(now time.Time, pr *progress, s Server) []Action {
	switch pr.phase {
	case ordered:
		if s.Version >= pr.version {
			p.loadTime += time.Duration(loadTimeWeight * float64(now.Sub(pr.since)-reportLag-p.loadTime))
			pr.phase = idle
			return nil
		}
		if now.Sub(pr.since) > loadTimeout || pr.refused {
			// The order was lost or is late. The count of orders keeps a late order
			// from undoing the next one.
			pr.phase, pr.orders, pr.retryAt = idle, -1, now.Add(retryDelay)
			return []Action{{Kind: Withdraw, Server: s.ID}}
		}
		if now.Sub(pr.since) >= p.loadTime && !now.Before(pr.nextQueryAt) {
			pr.nextQueryAt = now.Add(queryInterval)
			return []Action{{Kind: Query, Server: s.ID, Address: s.Address}}
		}
	case announced:
		if !pr.stateKnown && now.Sub(pr.since) >= stateTimeout {
			// The announcement is not withdrawn and expires by itself: the server
			// would not answer requests either.
			pr.phase, pr.retryAt, pr.unresponsive = idle, now.Add(unresponsivePause), true
			return nil
		}
		if !pr.stateKnown && !now.Before(pr.nextQueryAt) {
			pr.nextQueryAt = now.Add(2 * queryInterval)
			return []Action{{Kind: Query, Server: s.ID, Address: s.Address}}
		}
	}
	return nil
}

// readyForOrder returns the announced servers that have drained or had the time to,
// in the order of their announcement.
func (p *Plan) readyForOrder(now time.Time, servers []Server) []Server {
	var ready []Server
	for _, s := range servers {
		pr := p.byServer[s.ID]
		if pr.phase != announced || !pr.stateKnown {
			continue
		}
		waited := now.Sub(pr.since)
		if waited >= maxDrainTime || waited >= minDrainTime && s.Running == 0 && pr.running == 0 {
			ready = append(ready, s)
		}
	}
	sort.SliceStable(ready, func(i, j int) bool {
		return p.byServer[ready[i].ID].since.Before(p.byServer[ready[j].ID].since)
	})
	return ready
}

func (p *Plan) order(now time.Time, s Server, target uint64) Action {
	pr := p.byServer[s.ID]
	pr.phase, pr.since, pr.version, pr.nextQueryAt = ordered, now, target, time.Time{}
	pr.expectedOrders, pr.refused = pr.orders, false
	return Action{Kind: Order, Server: s.ID, Address: s.Address, Version: target, Orders: pr.orders}
}

// announce picks the next n servers: responsive ones first, then those with the
// oldest weights, so that none is left behind when versions follow each other
// quickly, then those with the fewest requests.
func (p *Plan) announce(now time.Time, target uint64, servers []Server, n int) []Action {
	var next []Server
	for _, s := range servers {
		pr := p.byServer[s.ID]
		if pr.phase == idle && s.Version < target && !now.Before(pr.retryAt) {
			next = append(next, s)
		}
	}
	sort.SliceStable(next, func(i, j int) bool {
		if a, b := p.byServer[next[i].ID].unresponsive, p.byServer[next[j].ID].unresponsive; a != b {
			return b
		}
		if next[i].Version != next[j].Version {
			return next[i].Version < next[j].Version
		}
		return next[i].Running < next[j].Running
	})
	var actions []Action
	for _, s := range next[:max(0, min(n, len(next)))] {
		pr := p.byServer[s.ID]
		pr.phase, pr.since, pr.stateKnown, pr.nextQueryAt = announced, now, false, time.Time{}
		actions = append(actions,
			Action{Kind: Announce, Server: s.ID, Address: s.Address, Version: target},
			Action{Kind: Query, Server: s.ID, Address: s.Address})
		pr.nextQueryAt = now.Add(2 * queryInterval)
	}
	return actions
}

// ObserveState records the state that a server reported. If an order is due to be
// done and the server neither loads nor has accepted another order, the order was
// lost; it is sent again without waiting for loadTimeout.
func (p *Plan) ObserveState(server string, seen ServerState) {
	pr := p.progress(server)
	if pr.phase == ordered && pr.expectedOrders >= 0 && !seen.Busy && int64(seen.Orders) == pr.expectedOrders { //nolint:gosec // a count of orders
		pr.refused = true
	}
	pr.stateKnown, pr.unresponsive = true, false
	pr.orders = int64(seen.Orders) //nolint:gosec // a count of orders
	pr.running = seen.Running + seen.Queued
}

// OrderRefused records that the server did not accept the order. The server may be
// tried again after a short delay.
func (p *Plan) OrderRefused(now time.Time, server string) {
	pr := p.progress(server)
	pr.phase, pr.orders, pr.stateKnown, pr.retryAt = idle, -1, false, now.Add(retryDelay)
}

// AlreadyLoaded records that the server has the version already.
func (p *Plan) AlreadyLoaded(server string) { p.progress(server).phase = idle }
