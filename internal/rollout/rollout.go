// Package rollout decides when each backend server loads new weights: in which
// order, how many at once, and how long a server gets no requests before it loads.
// The package does no I/O, starts no goroutine and reads no clock: Tick takes the
// state of the servers and returns actions. It is not safe for concurrent use.
package rollout

import (
	"maps"
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
	// Age is the time since the first version newer than Version was named.
	Age time.Duration
	// WorkMS is the estimated work of all requests that wait or run there.
	WorkMS float64
	// Fresh: it has just started and has neither requests nor a prefix cache.
	Fresh bool
}

// Input is what a Tick decides from.
type Input struct {
	// Target is the version that all servers are to load, TargetAge the time since it was
	// named.
	Target    uint64
	TargetAge time.Duration
	Servers   []Server
	Capacity  Capacity
	Bounds    Bounds
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
	// Undrained: the order repeats one without a response, and the server has served
	// since.
	Undrained bool
}

// ServerState is the state that a server reports of itself.
type ServerState struct {
	Version uint64
	// AskedAt is when the server was asked for its state; zero: not known.
	AskedAt time.Time
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
)

type phase int

const (
	idle phase = iota
	announced
	ordered
)

// progress is the progress of the rollout at one server. The fields that each Tick reads are
// the first ones, so that it reads two cache lines of each server.
type progress struct {
	phase phase
	// unresponsive: it did not answer the last query of its state. stateKnown: it has
	// reported its state since it was announced.
	unresponsive, stateKnown bool
	// confirmed: the server has accepted the last order, or loads. refused: its state shows
	// that it did not accept that order.
	confirmed, refused bool
	// at is the index of the server in the last list that named it, listed the number of
	// that list.
	at     int
	listed uint64
	// seenVersion is the version of the server at the last Tick.
	seenVersion uint64
	// unanswered counts the orders in a row that the server does not show to have accepted.
	unanswered int
	orders     int64
	// retryAt is when the server may be tried again after a failure.
	retryAt time.Time
	// loadSince is when the last order that may be carried out was sent; zero: its load
	// has ended.
	loadSince time.Time
	// since is the start of the phase.
	since       time.Time
	nextQueryAt time.Time
	version     uint64
	running     int
	// expectedOrders is the count that the last order named.
	expectedOrders int64
}

// Plan is the rollout of one model to the servers of a service.
type Plan struct {
	byServer map[string]*progress
	// rows holds the progress of the servers in the order of the last list, and lists counts
	// the lists: as the list rarely changes, most ticks look up no server by its ID.
	rows  []row
	lists uint64
	// announced and idle are scratch lists of one Tick, best that of one selection.
	announced, idle []int
	best            candidates
	// loadTime is the moving average of the time of a load.
	loadTime time.Duration
	pace     Pace
}

// New returns a plan without orders in progress. A process that takes the rollout
// lease over starts with a new plan: the servers' states show earlier orders.
func New() *Plan { return &Plan{byServer: map[string]*progress{}, loadTime: initialLoadTime} }

// MaxConcurrentLoads returns how many of n servers load at the same time.
func MaxConcurrentLoads(n int) int { return max(minConcurrentLoads, n/serversPerLoad) }

// Pace returns how many servers load at a time, as decided by the last Tick that found a
// server with older weights.
func (p *Plan) Pace() Pace { return p.pace }

// Tick returns the actions to carry out now so that the servers get to the target
// version.
func (p *Plan) Tick(now time.Time, in *Input) []Action {
	p.align(in.Servers)
	var actions []Action
	loading, endingSoon, responsive := 0, 0, 0
	left := timesLeft{}
	p.announced, p.idle = p.announced[:0], p.idle[:0]
	for i := range in.Servers {
		s, pr := &in.Servers[i], p.rows[i].progress
		if pr.phase != idle || pr.unresponsive || pr.seenVersion != s.Version {
			actions = p.advance(actions, now, pr, s, in.Target)
		}
		if !pr.unresponsive {
			responsive++
		}
		// The state that a server reports lags: a load counts as ended at its expected
		// end, not when the server reports it. An order without a response counts for
		// as long: it may be carried out.
		if loadLeft := p.loadLeft(now, pr); loadLeft > 0 {
			loading++
			if loadLeft <= p.drainTime() {
				endingSoon++
			}
		}
		if s.Version < in.Target {
			left.add(timeLeft(in, s), s.Age)
		}
		switch {
		case pr.phase == announced:
			p.announced = append(p.announced, i)
		case pr.phase == idle && s.Version < in.Target && !pr.unresponsive && !now.Before(pr.retryAt):
			p.idle = append(p.idle, i)
		}
	}
	// Unresponsive servers are not counted: the others serve their requests, so fewer
	// of them may load at a time.
	if pace := decidePace(in, &left, p.loadTime, responsive, p.pace.Short()); pace.Needed > 0 {
		p.pace = pace
	}
	free, waiting := p.pace.Loads-loading, len(p.announced)
	ready := p.readyForOrder(now, in)
	for _, i := range ready[:max(0, min(free, len(ready)))] {
		free--
		waiting--
		actions = append(actions, p.rows[i].order(now, &in.Servers[i], in.Target))
	}
	if surplus := waiting - max(0, free+endingSoon); surplus > 0 && p.pace.Short() {
		return append(actions, p.withdrawSurplus(surplus)...)
	}
	next := p.nextToAnnounce(in, free+endingSoon-waiting)
	for _, i := range next {
		actions = p.rows[i].announce(actions, now, &in.Servers[i], in.Target)
	}
	for _, i := range p.nextToRepeat(in, free-waiting-len(next)) {
		actions = append(actions, p.rows[i].order(now, &in.Servers[i], in.Target))
	}
	return actions
}

// row is a listed server and its progress.
type row struct {
	id string
	*progress
}

// align sets rows to the progress of the servers, and drops that of servers that are not
// listed.
func (p *Plan) align(servers []Server) {
	if p.isAligned(servers) {
		return
	}
	before, next := p.rows, 0
	p.rows, p.lists = make([]row, len(servers)), p.lists+1
	for i := range servers {
		id := servers[i].ID
		// Servers that stay listed mostly follow each other in the same order.
		var pr *progress
		if next < len(before) && before[next].id == id {
			pr = before[next].progress
		} else {
			pr = p.progress(id)
		}
		if pr.listed == p.lists-1 {
			next = pr.at + 1
		}
		pr.at, pr.listed = i, p.lists
		p.rows[i] = row{id, pr}
	}
	maps.DeleteFunc(p.byServer, func(_ string, pr *progress) bool { return pr.listed != p.lists })
}

func (p *Plan) isAligned(servers []Server) bool {
	if len(p.byServer) != len(servers) || len(p.rows) != len(servers) {
		return false
	}
	for i := range p.rows {
		if p.rows[i].id != servers[i].ID {
			return false
		}
	}
	return true
}

func (p *Plan) progress(id string) *progress {
	pr, ok := p.byServer[id]
	if !ok {
		pr = &progress{orders: -1}
		p.byServer[id] = pr
	}
	return pr
}
