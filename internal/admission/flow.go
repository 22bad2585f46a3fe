package admission

import "sort"

// classQueue holds the waiting requests of one class, one flow a workspace.
type classQueue struct {
	flows map[string]*flow
	// count of waiting requests.
	count int
	// virtual time: tokens per weight that the furthest served flow has had.
	virtual float64
	// owed is the work, in tokens, that the class may start out of its rank.
	owed float64
}

// burstRequests is how many requests a workspace that was idle may start ahead
// of workspaces that are always waiting.
const burstRequests = 16

// idleFlows may be kept without being looked at.
const idleFlows = 64

// flow is one workspace's part of a class: its requests in order of arrival
// and the tokens per weight that it has been served.
type flow struct {
	weight  float64
	virtual float64
	// burst is the head start of the latest request to join.
	burst float64
	queue []*waiter
}

func (c *classQueue) push(w *waiter) {
	f := c.flows[w.Workspace]
	if f == nil {
		f = &flow{}
		c.flows[w.Workspace] = f
	}
	f.weight = float64(w.Weight)
	if len(f.queue) == 0 {
		f.virtual = max(f.virtual, c.joinAt(w))
		f.burst = c.virtual - c.joinAt(w)
	}
	f.queue = append(f.queue, w)
	c.count++
}

// joinAt is the virtual time at which a workspace that had nothing waiting
// joins: a burst of requests ahead of those that are always waiting, so that a
// workspace below its share need not queue behind one above it. It does not
// save up more than that while it is idle.
func (c *classQueue) joinAt(w *waiter) float64 {
	return c.virtual - burstRequests*w.Tokens/float64(w.Weight)
}

func (c *classQueue) remove(w *waiter) {
	c.count--
	f := c.flows[w.Workspace]
	for i, candidate := range f.queue {
		if candidate == w {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			break
		}
	}
}

// next returns the first ready request of the flow that has had the least.
func (c *classQueue) next() *waiter {
	var best *waiter
	var bestVirtual float64
	for _, f := range c.flows {
		w := f.firstReady()
		if w == nil {
			continue
		}
		earlier := f.virtual < bestVirtual
		tie := best != nil && f.virtual == bestVirtual && before(w, best)
		if best == nil || earlier || tie {
			best, bestVirtual = w, f.virtual
		}
	}
	return best
}

// served charges a request that starts to its workspace.
func (c *classQueue) served(w *waiter) {
	f := c.flows[w.Workspace]
	c.virtual = max(c.virtual, f.virtual)
	f.virtual += w.Tokens / f.weight
	c.owed = max(0, c.owed-w.Tokens)
	c.forgetIdle()
}

// forgetIdle drops flows without requests that say no more than a new one:
// they would join where it does. Flows are looked at when there are many.
func (c *classQueue) forgetIdle() {
	if len(c.flows) < 2*c.count+idleFlows {
		return
	}
	for name, f := range c.flows {
		if len(f.queue) == 0 && f.virtual <= c.virtual-f.burst {
			delete(c.flows, name)
		}
	}
}

// last returns the request that would start last, and its place in virtual time.
func (c *classQueue) last() (*waiter, float64) {
	var worst *waiter
	var worstPlace float64
	for _, f := range c.flows {
		if len(f.queue) == 0 {
			continue
		}
		w := f.queue[len(f.queue)-1]
		place := f.place() - w.Tokens/f.weight
		tie := worst != nil && place == worstPlace && before(worst, w)
		if worst == nil || place > worstPlace || tie {
			worst, worstPlace = w, place
		}
	}
	return worst, worstPlace
}

// placeOf is the virtual time at which the request would start.
func (c *classQueue) placeOf(w *waiter) float64 {
	f := c.flows[w.Workspace]
	if f == nil {
		return c.joinAt(w)
	}
	if len(f.queue) == 0 {
		return max(f.virtual, c.joinAt(w))
	}
	return f.place()
}

// place is the flow's virtual time once all that waits in it was served.
func (f *flow) place() float64 {
	place := f.virtual
	for _, w := range f.queue {
		place += w.Tokens / f.weight
	}
	return place
}

func (f *flow) firstReady() *waiter {
	for _, w := range f.queue {
		if w.ready {
			return w
		}
	}
	return nil
}

// all returns the waiting requests in order of arrival.
func (c *classQueue) all() []*waiter {
	var all []*waiter
	for _, f := range c.flows {
		all = append(all, f.queue...)
	}
	sort.Slice(all, func(i, j int) bool { return before(all[i], all[j]) })
	return all
}

// before orders requests that are equal otherwise, so that decisions do not
// depend on the order of a map.
func before(a, b *waiter) bool {
	if !a.offered.Equal(b.offered) {
		return a.offered.Before(b.offered)
	}
	return a.ID < b.ID
}
