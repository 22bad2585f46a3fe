package routing

import (
	"cmp"
	"slices"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Number of candidates from each source.
const (
	rendezvousCandidates = 4
	observedCandidates   = 3
	randomCandidates     = 2
	probeCandidates      = maxCandidates - 4
)

// source adds candidates, a bounded number, or completes what is known of those
// present.
type source func(r *Router, c *choice)

// fromRendezvous adds the servers that rank first for the prompt's shared
// prefixes. The ranking needs no state, so that a restarted process agrees with
// the others.
func fromRendezvous(r *Router, c *choice) {
	points, n := sharedPoints(c.req, c.policy)
	for i := range n {
		shared := r.shared.of(c.req.Chain[points[i]].GetHash(), c.bound.set)
		if i == 0 {
			c.shared, c.sharedPoint = shared, points[0]
			shared.candidates(c, r.filter, rendezvousCandidates)
			continue
		}
		shared.candidates(c, r.filter, 1)
	}
}

// candidates adds the servers of the prefix's set that rank first for the next
// prefix point, then servers ranked after the set, into which it would grow.
func (l *sharedPrefix) candidates(c *choice, f filter, count int) {
	added := 0
	width := min(l.width, l.ranking.length)
	key := c.req.Chain[min(c.sharedPoint+1, len(c.req.Chain)-1)].GetHash()
	var taken [maxRanked]bool
	for range min(width, max(l.minWidth, count-1)) {
		best := -1
		for i, index := range l.ranking.servers[:width] {
			if taken[i] || f.reason(c, index) != "" {
				continue
			}
			if best < 0 || Rendezvous(key, c.bound.set.hashes[index]) > Rendezvous(key, c.bound.set.hashes[l.ranking.servers[best]]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		taken[best] = true
		c.add(l.ranking.servers[best], sourceRendezvous)
		added++
	}
	for _, index := range l.ranking.servers[width:l.ranking.length] {
		if added >= count {
			return
		}
		if f.reason(c, index) == "" {
			c.add(index, sourceRendezvous)
			added++
		}
	}
}

// fromRandom adds random servers, so that idle ones are found.
func fromRandom(r *Router, c *choice) {
	for range randomCandidates {
		c.add(int32(r.random.IntN(c.bound.set.Len())), sourceRandom)
	}
}

// fromRefusals adds the servers that refused the request for cost.
func fromRefusals(_ *Router, c *choice) {
	for i := range c.refusals {
		if c.refusals[i].Refusal == jayv1.Refusal_REFUSAL_COST {
			c.addProbed(c.refusals[i].Server, c.refusals[i].CostMS, c.refusals[i].CachedBytes)
		}
	}
}

// fromProbes adds the servers that were probed, the cheapest if they are too
// many.
func fromProbes(_ *Router, c *choice) {
	probes := c.req.Probes
	if len(probes) > probeCandidates {
		probes = slices.Clone(probes)
		slices.SortFunc(probes, func(a, b Probe) int { return cmp.Compare(a.CostMS, b.CostMS) })
		probes = probes[:probeCandidates]
	}
	for i := range probes {
		c.addProbed(probes[i].Server, probes[i].CostMS, probes[i].CachedBytes)
	}
}

func (c *choice) addProbed(server string, costMS float64, cachedBytes int) {
	index, ok := c.bound.set.byName[server]
	if !ok {
		return
	}
	if cand := c.add(index, sourceProbed); cand != nil {
		cand.evidence, cand.exactMS, cand.cachedBytes = evidenceProbed, costMS, cachedBytes
	}
}

// fromObservations adds the servers that were observed to hold the request's
// prefix, deepest point first, and sets the cached bytes of all candidates by
// the observations.
func fromObservations(r *Router, c *choice) {
	added := 0
	for i := len(c.req.Chain) - 1; i >= 0; i-- {
		point := c.req.Chain[i]
		for _, h := range r.cacheView.observations(point.GetHash()) {
			if h.absent || !h.current(c.now) {
				continue
			}
			index, ok := c.bound.set.byName[h.server.name]
			if !ok || c.bound.backends[index] != h.server {
				continue
			}
			cand := c.find(h.server)
			if cand == nil && added < observedCandidates && r.filter.reason(c, index) == "" {
				added++
				cand = c.add(index, sourceObservation)
			}
			if cand != nil && cand.evidence == evidenceNone {
				cand.evidence, cand.cachedBytes = evidenceObserved, int(point.GetBytes())
			}
		}
	}
}

// assumeSharedHeld assumes that the servers of the prefix's set hold the shared prefix,
// as other processes send requests with it there as well, unless an agent
// reported otherwise.
func assumeSharedHeld(r *Router, c *choice) {
	if c.shared == nil {
		return
	}
	point := c.req.Chain[c.sharedPoint]
	for i := range c.candidates[:c.n] {
		cand := &c.candidates[i]
		shallower := cand.evidence == evidenceObserved && cand.cachedBytes < int(point.GetBytes())
		if cand.evidence != evidenceNone && !shallower {
			continue
		}
		if !c.shared.includes(cand.index) || r.observedAbsent(c, cand.backend, point.GetHash()) {
			continue
		}
		cand.evidence, cand.cachedBytes = evidenceAssumed, int(point.GetBytes())
	}
}

// observedAbsent reports whether the server's agent recently reported the point
// as not cached.
func (r *Router) observedAbsent(c *choice, b *backend, point uint64) bool {
	for _, h := range r.cacheView.observations(point) {
		if h.server == b && h.absent && h.current(c.now) {
			return true
		}
	}
	return false
}
