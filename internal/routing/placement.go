package routing

const (
	// placementShare of the prefill of a missed shared level is charged to a
	// server outside the level's set: it would make one more copy of what the
	// set holds, and push out what others come there for.
	placementShare = 1.0
	// pressureBytes of prefill as average queue count recomputed prefill once
	// more on top of its own time. Work that is computed twice delays all that
	// wait behind it, and the more the longer the queues: without this,
	// differences between long queues outweigh any cached prefix, every
	// request goes to the shortest queue, misses, and the queues stay long.
	pressureBytes = 2500
	maxPressure   = 8
)

// recomputeMS is the weight of the prefill beyond its own time.
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

// missedSharedMS is the prefill of the part of the shared level that the
// candidate does not hold.
func (c *choice) missedSharedMS(cand *candidate) float64 {
	if c.shared == nil {
		return 0
	}
	sharedBytes := int(c.req.Chain[c.sharedPoint].GetBytes())
	return float64(max(0, sharedBytes-cand.cachedBytes)) * cand.backend.byteMS
}
