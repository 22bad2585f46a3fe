// Package rollout decides when each backend server takes new weights: which
// ones first, how many at once, and how long work is kept from a server before.
// It has no I/O, goroutine or clock: Tick takes what is known and returns
// typed actions; callers lock.
package rollout

import (
	"sort"
	"time"
)

// Server is a backend server as last known.
type Server struct {
	ID      string
	Address string
	// Version of the weights that it is believed to have.
	Version uint64
	// Running is how many of our own requests it works on.
	Running int
}

// ActionKind says what to do.
type ActionKind int

// The kinds of actions.
const (
	// Announce to all entries that the server gets no more work for now.
	Announce ActionKind = iota + 1
	// Order the server to take the version, if it accepted Orders orders so far.
	Order
	// Look asks the server for its state.
	Look
	// Withdraw an announcement: work may go to the server again.
	Withdraw
)

var kindNames = [...]string{"none", "announce", "order", "look", "withdraw"}

// String is the word for logs.
func (k ActionKind) String() string { return kindNames[k] }

// Action is something that the caller must do now.
type Action struct {
	Kind    ActionKind
	Server  string
	Address string
	Version uint64
	// Orders that the server is known to have accepted; negative: not known.
	Orders int64
}

// ServerState is a server's own state.
type ServerState struct {
	Version uint64
	Busy    bool
	Orders  uint64
	Running int
	Queued  int
}

const (
	// drainAtMost is how long a server is kept from work before its order; what
	// runs longer than that holds the order up at the server.
	drainAtMost = 300 * time.Millisecond
	// drainAtLeast lets requests that are on their way arrive before the order.
	drainAtLeast = 120 * time.Millisecond
	// lookEvery bounds the questions to one server: each has a price.
	lookEvery = 120 * time.Millisecond
	// reportLag is how old a server's word on itself is about.
	reportLag = 200 * time.Millisecond
	// loadGuess until the time of a load was measured; rather long, as loads that
	// overlap slow each other.
	loadGuess = 900 * time.Millisecond
	// loadAtMost after which an order is taken to be lost and given again.
	loadAtMost = 4 * time.Second
	// answerWithin which an announced server must tell its state, a few questions
	// long; silentRest is for how long one that did not is passed over. Servers
	// that crashed stay listed for seconds: each held a place until it left the
	// list, and with a third of them gone no other was ordered meanwhile.
	answerWithin = 350 * time.Millisecond
	silentRest   = 1500 * time.Millisecond
	// retryAfter a refused or failed order.
	retryAfter = 300 * time.Millisecond
	// shareAtOnce of the servers load at a time, until loads show otherwise.
	shareAtOnce = 5
	leastAtOnce = 2
	// gain of one load in the running mean of its time.
	gain = 0.3
	// aheadTime before a place to load becomes free, the next server is kept from
	// work to run dry. As many as load at once kept from work all the while took
	// a fifth of the fleet for nothing while new weights went round.
	aheadTime = drainAtMost
)

type phase int

const (
	idle phase = iota
	announced
	ordered
)

type track struct {
	phase   phase
	since   time.Time
	lookAt  time.Time
	version uint64
	orders  int64
	running int
	known   bool
	// expected is the count that the last order named; refused: the server's own
	// state shows that it did not take that order.
	expected int64
	refused  bool
	// until is when the server may be tried again after a failure; silent: it told
	// nothing when it was last asked.
	until  time.Time
	silent bool
}

// Plan is the rollout of one model over the servers of a service.
type Plan struct {
	tracks map[string]*track
	// loadTime is the mean time of a load.
	loadTime time.Duration
}

// New makes a plan that has begun nothing. A holder that just took over makes
// a new one: what was ordered before it shows in the servers' own state.
func New() *Plan { return &Plan{tracks: map[string]*track{}, loadTime: loadGuess} }

// MaxConcurrentLoads is how many of n servers load at a time.
func MaxConcurrentLoads(n int) int { return max(leastAtOnce, n/shareAtOnce) }

// Tick returns what to do now.
func (p *Plan) Tick(now time.Time, wanted uint64, servers []Server) []Action {
	p.forget(servers)
	var actions []Action
	loading, ending, waiting, answering := 0, 0, 0, 0
	for _, s := range servers {
		t := p.track(s.ID)
		actions = append(actions, p.advance(now, t, s)...)
		if !t.silent {
			answering++
		}
		switch t.phase {
		case ordered:
			// What a server says of itself lags: the next order goes out when
			// this load should be over, not when it shows.
			left := p.loadTime - now.Sub(t.since)
			if left > 0 {
				loading++
			}
			if left > 0 && left <= aheadTime {
				ending++
			}
		case announced:
			waiting++
		}
	}
	// Those that are silent do no work, which the others do for them.
	free := MaxConcurrentLoads(answering) - loading
	for _, s := range p.ripe(now, servers) {
		if free <= 0 {
			break
		}
		free--
		actions = append(actions, p.order(now, s, wanted))
		waiting--
	}
	ahead := free + ending - waiting
	return append(actions, p.announce(now, wanted, servers, ahead)...)
}

func (p *Plan) forget(servers []Server) {
	named := make(map[string]bool, len(servers))
	for _, s := range servers {
		named[s.ID] = true
	}
	for id := range p.tracks {
		if !named[id] {
			delete(p.tracks, id)
		}
	}
}

func (p *Plan) track(id string) *track {
	t, ok := p.tracks[id]
	if !ok {
		t = &track{orders: -1}
		p.tracks[id] = t
	}
	return t
}

// advance ends what is over and looks at what is under way.
func (p *Plan) advance(now time.Time, t *track, s Server) []Action {
	switch t.phase {
	case ordered:
		if s.Version >= t.version {
			p.loadTime += time.Duration(gain * float64(now.Sub(t.since)-reportLag-p.loadTime))
			t.phase = idle
			return nil
		}
		if now.Sub(t.since) > loadAtMost || t.refused {
			// Lost, or late: the count of orders keeps a late one from undoing
			// the next.
			t.phase, t.orders, t.until = idle, -1, now.Add(retryAfter)
			return []Action{{Kind: Withdraw, Server: s.ID}}
		}
		if now.Sub(t.since) >= p.loadTime && !now.Before(t.lookAt) {
			t.lookAt = now.Add(lookEvery)
			return []Action{{Kind: Look, Server: s.ID, Address: s.Address}}
		}
	case announced:
		if !t.known && now.Sub(t.since) >= answerWithin {
			// The announcement lapses by itself: work that went back to it at once
			// would find it as silent.
			t.phase, t.until, t.silent = idle, now.Add(silentRest), true
			return nil
		}
		if !t.known && !now.Before(t.lookAt) {
			t.lookAt = now.Add(2 * lookEvery)
			return []Action{{Kind: Look, Server: s.ID, Address: s.Address}}
		}
	}
	return nil
}

// ripe are announced servers that have run dry, or waited for that long enough.
func (p *Plan) ripe(now time.Time, servers []Server) []Server {
	var ripe []Server
	for _, s := range servers {
		t := p.tracks[s.ID]
		if t.phase != announced || !t.known {
			continue
		}
		waited := now.Sub(t.since)
		if waited >= drainAtMost || waited >= drainAtLeast && s.Running == 0 && t.running == 0 {
			ripe = append(ripe, s)
		}
	}
	sort.SliceStable(ripe, func(i, j int) bool { return p.tracks[ripe[i].ID].since.Before(p.tracks[ripe[j].ID].since) })
	return ripe
}

func (p *Plan) order(now time.Time, s Server, wanted uint64) Action {
	t := p.tracks[s.ID]
	t.phase, t.since, t.version, t.lookAt = ordered, now, wanted, time.Time{}
	t.expected, t.refused = t.orders, false
	return Action{Kind: Order, Server: s.ID, Address: s.Address, Version: wanted, Orders: t.orders}
}

// announce picks the next servers: those that answer, of these the oldest weights
// first, so that none is left behind when versions follow each other, then the
// least busy.
func (p *Plan) announce(now time.Time, wanted uint64, servers []Server, n int) []Action {
	var next []Server
	for _, s := range servers {
		t := p.tracks[s.ID]
		if t.phase == idle && s.Version < wanted && !now.Before(t.until) {
			next = append(next, s)
		}
	}
	sort.SliceStable(next, func(i, j int) bool {
		if a, b := p.tracks[next[i].ID].silent, p.tracks[next[j].ID].silent; a != b {
			return b
		}
		if next[i].Version != next[j].Version {
			return next[i].Version < next[j].Version
		}
		return next[i].Running < next[j].Running
	})
	var actions []Action
	for _, s := range next[:max(0, min(n, len(next)))] {
		t := p.tracks[s.ID]
		t.phase, t.since, t.known, t.lookAt = announced, now, false, time.Time{}
		actions = append(actions,
			Action{Kind: Announce, Server: s.ID, Address: s.Address, Version: wanted},
			Action{Kind: Look, Server: s.ID, Address: s.Address})
		t.lookAt = now.Add(2 * lookEvery)
	}
	return actions
}

// ObserveState takes in a server's own state. One that is asked after the time of a load,
// loads nothing and counts no order more did not take the order that got no
// answer: kept from work until the longest time of a load, half of the servers
// stood idle while orders were lost.
func (p *Plan) ObserveState(server string, seen ServerState) {
	t := p.track(server)
	if t.phase == ordered && t.expected >= 0 && !seen.Busy && int64(seen.Orders) == t.expected { //nolint:gosec // a count of orders
		t.refused = true
	}
	t.known, t.silent = true, false
	t.orders = int64(seen.Orders) //nolint:gosec // a count of orders
	t.running = seen.Running + seen.Queued
}

// OrderRefused takes in that the server did not take the order; it may be tried again soon.
func (p *Plan) OrderRefused(now time.Time, server string) {
	t := p.track(server)
	t.phase, t.orders, t.known, t.until = idle, -1, false, now.Add(retryAfter)
}

// AlreadyLoaded takes in that the server has the version already.
func (p *Plan) AlreadyLoaded(server string) { p.track(server).phase = idle }
