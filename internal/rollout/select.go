package rollout

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// readyForOrder returns the indexes of the announced servers that have drained or had the
// time to, in the order of their announcement.
func (p *Plan) readyForOrder(now time.Time, in *Input) []int {
	var ready []int
	for _, i := range p.announced {
		pr := p.rows[i]
		waited := now.Sub(pr.since)
		if pr.stateKnown && (waited >= p.drainTime() || waited >= minDrainTime && in.Servers[i].Running == 0 && pr.running == 0) {
			ready = append(ready, i)
		}
	}
	slices.SortStableFunc(ready, func(i, j int) int { return p.rows[i].since.Compare(p.rows[j].since) })
	return ready
}

// drainTime is how long a server at most gets no requests before its order. While
// capacity is short, servers are not empty after maxDrainTime either: their requests go on
// after the load.
func (p *Plan) drainTime() time.Duration {
	if p.pace.Short() {
		return minDrainTime
	}
	return maxDrainTime
}

func (pr *progress) order(now time.Time, s *Server, target uint64) Action {
	pr.phase, pr.since, pr.loadSince, pr.version, pr.nextQueryAt = ordered, now, now, target, time.Time{}
	pr.expectedOrders, pr.refused, pr.confirmed = pr.orders, false, false
	return Action{Kind: Order, Server: s.ID, Address: s.Address, Version: target, Orders: pr.orders, Undrained: pr.unanswered > 0}
}

// repeats reports whether the next order is sent without an announcement: the last one
// got no response. While orders get none, draining for each would leave servers idle.
func (pr *progress) repeats() bool { return pr.unanswered > 0 && pr.orders >= 0 }

// nextToAnnounce returns the indexes of the next n servers to announce.
func (p *Plan) nextToAnnounce(in *Input, n int) []int { return p.next(in, n, false) }

// nextToRepeat returns the indexes of the next n servers whose last order is due to be repeated. They
// come after all others: their orders may still be carried out.
func (p *Plan) nextToRepeat(in *Input, n int) []int { return p.next(in, n, true) }

func (p *Plan) next(in *Input, n int, repeats bool) []int {
	if n <= 0 {
		return nil
	}
	p.best = p.best[:0]
	for _, i := range p.idle {
		if p.rows[i].repeats() == repeats {
			s := &in.Servers[i]
			urgent := in.Bounds.Version > 0 && timeLeft(in, s) < urgentLoads*p.loadTime
			p.best.add(candidate{s, urgent, i}, n)
		}
	}
	slices.SortFunc(p.best, compareCandidates)
	next := make([]int, len(p.best))
	for i, c := range p.best {
		next[i] = c.at
	}
	return next
}

// announce appends the announcement of a server and the query of its state.
func (pr *progress) announce(actions []Action, now time.Time, s *Server, target uint64) []Action {
	pr.phase, pr.since, pr.stateKnown = announced, now, false
	pr.nextQueryAt = now.Add(2 * queryInterval)
	return append(actions,
		Action{Kind: Announce, Server: s.ID, Address: s.Address, Version: target},
		Action{Kind: Query, Server: s.ID, Address: s.Address},
	)
}

// urgentLoads is the number of load times that a server must have left not to be loaded
// before all others.
const urgentLoads = 2

// candidate is a server that may be next.
type candidate struct {
	*Server
	urgent bool
	// at is the index of the server in the list.
	at int
}

// candidates are the best candidates found so far. When there are as many as are wanted,
// they are a heap with the last one in the order of loads on top: sorting all of 7,000
// servers takes milliseconds.
type candidates []candidate

// add adds a candidate to the best n.
func (c *candidates) add(one candidate, n int) {
	switch {
	case len(*c) < n:
		*c = append(*c, one)
		if len(*c) == n {
			heap.Init(c)
		}
	case compareCandidates(one, (*c)[0]) < 0:
		(*c)[0] = one
		heap.Fix(c, 0)
	}
}

func (c candidates) Len() int           { return len(c) }
func (c candidates) Less(i, j int) bool { return compareCandidates(c[i], c[j]) > 0 }
func (c candidates) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push and Pop complete heap.Interface; the number of candidates in the heap never changes.
func (c *candidates) Push(one any) { *c = append(*c, one.(candidate)) } //nolint:forcetypeassert // only candidates are pushed

// Pop removes the last candidate.
func (c *candidates) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// compareCandidates gives the order of loads: servers that have little time left first,
// then those that have just started and lose no cache, then those with the oldest weights,
// so that none is left behind when versions follow each other quickly, then those with the
// least work, then the first ones in the list.
func compareCandidates(a, b candidate) int {
	switch {
	case a.urgent != b.urgent:
		return before(a.urgent)
	case a.Fresh != b.Fresh:
		return before(a.Fresh)
	}
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.WorkMS, b.WorkMS), cmp.Compare(a.Running, b.Running), cmp.Compare(a.at, b.at))
}

func before(is bool) int {
	if is {
		return -1
	}
	return 1
}

// withdrawSurplus withdraws the latest n announcements: the pace was reduced after they
// were sent.
func (p *Plan) withdrawSurplus(n int) []Action {
	var waiting []row
	for _, i := range p.announced {
		if p.rows[i].phase == announced {
			waiting = append(waiting, p.rows[i])
		}
	}
	slices.SortStableFunc(waiting, func(a, b row) int { return b.since.Compare(a.since) })
	var actions []Action
	for _, r := range waiting[:min(n, len(waiting))] {
		r.phase = idle
		actions = append(actions, Action{Kind: Withdraw, Server: r.id})
	}
	return actions
}
