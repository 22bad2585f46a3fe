package routing

import (
	"cmp"
	"slices"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// How many candidates each source gives.
const (
	rendezvousCandidates = 4
	beliefCandidates     = 3
	randomCandidates     = 2
	probeCandidates      = maxCandidates - 4
)

// source finds candidates. Each gives a constant number at most.
type source func(r *Router, c *choice)

// fromRendezvous gives the servers that every process with the same set finds
// for the prompt's shared levels: an order that needs no state, so that a
// process that just started agrees with the others.
func fromRendezvous(r *Router, c *choice) {
	points, n := sharedPoints(c.req, c.policy)
	for i := range n {
		level := r.levels.of(c.req.Chain[points[i]].GetHash(), c.view.set)
		if i == 0 {
			c.level, c.levelPoint = level, points[0]
			level.candidates(c, r.filter, rendezvousCandidates)
			continue
		}
		level.candidates(c, r.filter, 1)
	}
}

// candidates adds the servers of the prefix's set that the rest of the prompt
// prefers, then those behind the set, where it would widen to.
func (l *level) candidates(c *choice, f filter, count int) {
	added := 0
	width := min(l.width, l.order.length)
	key := c.req.Chain[min(c.levelPoint+1, len(c.req.Chain)-1)].GetHash()
	var taken [orderLength]bool
	for range min(width, max(l.least, count-1)) {
		best := -1
		for i, index := range l.order.servers[:width] {
			if taken[i] || f.reason(c, index) != "" {
				continue
			}
			if best < 0 || Rendezvous(key, c.view.set.hashes[index]) > Rendezvous(key, c.view.set.hashes[l.order.servers[best]]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		taken[best] = true
		c.add(l.order.servers[best], sourceRendezvous)
		added++
	}
	for _, index := range l.order.servers[width:l.order.length] {
		if added >= count {
			return
		}
		if f.reason(c, index) == "" {
			c.add(index, sourceRendezvous)
			added++
		}
	}
}

// fromRandom gives servers picked at random, so that no server is forgotten
// and an idle one is found.
func fromRandom(r *Router, c *choice) {
	for range randomCandidates {
		c.add(int32(r.random.IntN(c.view.set.Len())), sourceRandom)
	}
}

// fromRefusals keeps servers that declined for cost in the choice.
func fromRefusals(_ *Router, c *choice) {
	for i := range c.tried {
		if c.tried[i].Refusal == jayv1.Refusal_REFUSAL_COST {
			c.asked(c.tried[i].Server, c.tried[i].CostMS, c.tried[i].CachedBytes)
		}
	}
}

// fromProbes takes the cheapest of the servers that were asked on a decision's order.
func fromProbes(_ *Router, c *choice) {
	probes := c.req.Probes
	if len(probes) > probeCandidates {
		probes = slices.Clone(probes)
		slices.SortFunc(probes, func(a, b Probe) int { return cmp.Compare(a.CostMS, b.CostMS) })
		probes = probes[:probeCandidates]
	}
	for i := range probes {
		c.asked(probes[i].Server, probes[i].CostMS, probes[i].CachedBytes)
	}
}

func (c *choice) asked(server string, costMS float64, cachedBytes int) {
	index, ok := c.view.set.byName[server]
	if !ok {
		return
	}
	if cand := c.add(index, sourceAsked); cand != nil {
		cand.evidence, cand.exactMS, cand.cachedBytes = evidenceAsked, costMS, cachedBytes
	}
}

// fromBeliefs walks the chain from its deepest point, adds the servers that
// were seen to hold it and tells all candidates what they are believed to hold.
func fromBeliefs(r *Router, c *choice) {
	believers := 0
	for i := len(c.req.Chain) - 1; i >= 0; i-- {
		point := c.req.Chain[i]
		for _, h := range r.beliefs.holders(point.GetHash()) {
			if h.absent || !h.valid(c.now) {
				continue
			}
			index, ok := c.view.set.byName[h.server.name]
			if !ok || c.view.backends[index] != h.server {
				continue
			}
			cand := c.find(h.server)
			if cand == nil && believers < beliefCandidates && r.filter.reason(c, index) == "" {
				believers++
				cand = c.add(index, sourceBelief)
			}
			if cand != nil && cand.evidence == evidenceNone {
				cand.evidence, cand.cachedBytes = evidenceSeen, int(point.GetBytes())
			}
		}
	}
}

// presume gives the servers of a prefix's own set the shared level until an
// answer says otherwise: other processes sent it there as well.
func presume(r *Router, c *choice) {
	if c.level == nil {
		return
	}
	point := c.req.Chain[c.levelPoint]
	for i := range c.candidates[:c.n] {
		cand := &c.candidates[i]
		shallower := cand.evidence == evidenceSeen && cand.cachedBytes < int(point.GetBytes())
		if cand.evidence != evidenceNone && !shallower {
			continue
		}
		if !c.level.holds(cand.index) || r.saidAbsent(c, cand.backend, point.GetHash()) {
			continue
		}
		cand.evidence, cand.cachedBytes = evidencePresumed, int(point.GetBytes())
	}
}

// saidAbsent tells whether the server lately answered that it lacks the point.
func (r *Router) saidAbsent(c *choice, b *backend, point uint64) bool {
	for _, h := range r.beliefs.holders(point) {
		if h.server == b && h.absent && h.valid(c.now) {
			return true
		}
	}
	return false
}
