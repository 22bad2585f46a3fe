package admission

import "sort"

// classQueue holds the waiting requests of one class, with one flow per
// workspace. It implements weighted fair queueing: virtual time is counted in
// tokens served per unit of weight.
type classQueue struct {
	flows map[string]*flow
	// count is the number of waiting requests.
	count int
	// virtual is the virtual time of the class: the highest virtual time at
	// which a flow was served.
	virtual float64
	// credit is the work, in tokens, that the class may start ahead of higher
	// classes.
	credit float64
}

// burstRequests is the number of requests that a previously idle workspace may
// start ahead of workspaces that always have requests waiting.
const burstRequests = 16

// maxIdleFlows is the number of flows without requests that is tolerated before
// idle flows are dropped.
const maxIdleFlows = 64

// flow holds the requests of one workspace in a class, in order of arrival.
type flow struct {
	weight float64
	// virtual is the flow's virtual time: the tokens per unit of weight that it
	// has been served.
	virtual float64
	// burst is the burst allowance, in virtual time, of the request that last
	// joined the empty flow.
	burst float64
	queue []*waitingRequest
}

func (c *classQueue) push(w *waitingRequest) {
	f := c.flows[w.Workspace]
	if f == nil {
		f = &flow{}
		c.flows[w.Workspace] = f
	}
	f.weight = float64(w.Weight)
	if len(f.queue) == 0 {
		f.virtual = max(f.virtual, c.joinTime(w))
		f.burst = c.virtual - c.joinTime(w)
	}
	f.queue = append(f.queue, w)
	c.count++
}

// joinTime returns the virtual time at which a workspace without waiting
// requests joins: burstRequests ahead of the class, so that a workspace below
// its share does not queue behind one above it. An idle workspace saves up no
// more than this burst.
func (c *classQueue) joinTime(w *waitingRequest) float64 {
	return c.virtual - burstRequests*w.Tokens/float64(w.Weight)
}

func (c *classQueue) remove(w *waitingRequest) {
	c.count--
	f := c.flows[w.Workspace]
	for i, candidate := range f.queue {
		if candidate == w {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			break
		}
	}
}

// next returns the first ready request of the flow with the lowest virtual
// time, nil if no request is ready.
func (c *classQueue) next() *waitingRequest {
	var best *waitingRequest
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

// charge adds the cost of a starting request to its flow and takes it from the
// credit of the class.
func (c *classQueue) charge(w *waitingRequest) {
	f := c.flows[w.Workspace]
	c.virtual = max(c.virtual, f.virtual)
	f.virtual += w.Tokens / f.weight
	c.credit = max(0, c.credit-w.Tokens)
	c.dropIdle()
}

// dropIdle deletes flows without requests whose virtual time is so far behind
// that a new flow would join at the same point. It scans the flows only if
// there are many.
func (c *classQueue) dropIdle() {
	if len(c.flows) < 2*c.count+maxIdleFlows {
		return
	}
	for name, f := range c.flows {
		if len(f.queue) == 0 && f.virtual <= c.virtual-f.burst {
			delete(c.flows, name)
		}
	}
}

// last returns the request that would start last and the virtual time at which
// it would start, nil if no request waits.
func (c *classQueue) last() (*waitingRequest, float64) {
	var latest *waitingRequest
	var latestStart float64
	for _, f := range c.flows {
		if len(f.queue) == 0 {
			continue
		}
		w := f.queue[len(f.queue)-1]
		start := f.finishTime() - w.Tokens/f.weight
		tie := latest != nil && start == latestStart && before(latest, w)
		if latest == nil || start > latestStart || tie {
			latest, latestStart = w, start
		}
	}
	return latest, latestStart
}

// startTime returns the virtual time at which a new request would start.
func (c *classQueue) startTime(w *waitingRequest) float64 {
	f := c.flows[w.Workspace]
	if f == nil {
		return c.joinTime(w)
	}
	if len(f.queue) == 0 {
		return max(f.virtual, c.joinTime(w))
	}
	return f.finishTime()
}

// finishTime returns the flow's virtual time after all its waiting requests.
func (f *flow) finishTime() float64 {
	finish := f.virtual
	for _, w := range f.queue {
		finish += w.Tokens / f.weight
	}
	return finish
}

func (f *flow) firstReady() *waitingRequest {
	for _, w := range f.queue {
		if w.ready {
			return w
		}
	}
	return nil
}

// all returns the waiting requests in order of arrival.
func (c *classQueue) all() []*waitingRequest {
	var all []*waitingRequest
	for _, f := range c.flows {
		all = append(all, f.queue...)
	}
	sort.Slice(all, func(i, j int) bool { return before(all[i], all[j]) })
	return all
}

// before orders requests by arrival, then by ID. It breaks ties, so that
// decisions do not depend on the iteration order of a map.
func before(a, b *waitingRequest) bool {
	if !a.offered.Equal(b.offered) {
		return a.offered.Before(b.offered)
	}
	return a.ID < b.ID
}
