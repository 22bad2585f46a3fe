package routing

// pick sets the candidate with the lowest expected time and the next best. Of
// equal candidates the one found first is taken, which is the same in every
// process.
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

// cheapest returns the names of up to n candidates that may serve and were not
// probed yet, lowest expected time first.
func (c *choice) cheapest(n int) []string {
	var taken [maxCandidates]bool
	chosen := make([]string, 0, n)
	for len(chosen) < n {
		best := -1
		for i := range c.candidates[:c.n] {
			if taken[i] || c.candidates[i].filtered != "" || c.candidates[i].evidence == evidenceProbed {
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

// shouldProbe reports whether probing agents may save time: the best candidate
// was not seen to hold a prefix of the request, or its queue and the prefill of
// the part of the shared prefix that it lacks exceed aboveMS.
func (c *choice) shouldProbe(aboveMS float64) bool {
	if c.best < 0 || c.next < 0 {
		return false // No candidate, or no alternative to it.
	}
	best := &c.candidates[c.best]
	if aboveMS < 0 || best.evidence != evidenceObserved {
		return true
	}
	return best.queueMS+c.missedSharedMS(best) > aboveMS
}
