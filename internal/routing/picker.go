package routing

// pick takes the candidate with the least expected time, and the next best.
// Equals go to the one found first, which is the same in every process.
func (c *choice) pick() {
	for i := range c.candidates[:c.n] {
		cand := &c.candidates[i]
		if cand.filtered != "" {
			continue
		}
		switch {
		case c.best < 0 || cand.totalMS < c.candidates[c.best].totalMS:
			c.next, c.best = c.best, i
		case c.next < 0 || cand.totalMS < c.candidates[c.next].totalMS:
			c.next = i
		}
	}
}

// cheapest names up to n candidates that may serve, least expected time first.
func (c *choice) cheapest(n int) []string {
	var taken [maxCandidates]bool
	chosen := make([]string, 0, n)
	for len(chosen) < n {
		best := -1
		for i := range c.candidates[:c.n] {
			if taken[i] || c.candidates[i].filtered != "" || c.candidates[i].evidence == evidenceAsked {
				continue
			}
			if best < 0 || c.candidates[i].totalMS < c.candidates[best].totalMS {
				best = i
			}
		}
		if best < 0 {
			break
		}
		taken[best] = true
		chosen = append(chosen, c.candidates[best].backend.name)
	}
	return chosen
}

// shouldProbe tells whether asking agents may pay: nobody was seen to hold the
// shared level, or the wait at the best candidate and what it would compute
// anew of the shared level come to more than the bound.
func (c *choice) shouldProbe(aboveMS float64) bool {
	if c.best < 0 || c.next < 0 {
		return false // Nobody to ask, or nothing to choose between.
	}
	best := &c.candidates[c.best]
	if aboveMS < 0 || best.evidence != evidenceSeen {
		return true
	}
	return best.queueMS+c.missedSharedMS(best) > aboveMS
}
