package routing

const (
	// placementShare is the share of the prefill of the missing part of the
	// shared prefix that is charged to a server outside the prefix's set: a
	// copy there evicts other prefixes, and the set holds one already.
	placementShare = 1.0
	// pressureBytes is the average queue, as bytes to prefill, at which prefill
	// counts once more on top of its own time. Repeated prefill delays all
	// requests queued behind it, the more the longer the queues. Without this
	// term, differences between long queues outweigh any cached prefix:
	// requests go to the shortest queue, miss the cache, and the queues stay
	// long.
	pressureBytes = 2500
	maxPressure   = 8
)

// recomputeMS is the cost of the prefill beyond its own time.
func (c *choice) recomputeMS(cand *candidate) float64 {
	pressure := min(c.averageQueueMS/(pressureBytes*cand.backend.byteMS), maxPressure)
	return (c.policy.RecomputeWeight+pressure)*cand.prefillMS + c.placementMS(cand)
}

func (c *choice) placementMS(cand *candidate) float64 {
	if c.shared == nil || c.shared.includes(cand.index) {
		return 0
	}
	return placementShare * c.missedSharedMS(cand)
}

// missedSharedMS is the prefill time of the part of the shared prefix that the
// candidate does not hold.
func (c *choice) missedSharedMS(cand *candidate) float64 {
	if c.shared == nil {
		return 0
	}
	sharedBytes := int(c.req.Chain[c.sharedPoint].GetBytes())
	return float64(max(0, sharedBytes-cand.cachedBytes)) * cand.backend.byteMS
}
