package routing

// Distances added to the expected time, in milliseconds for both ways. Another
// data centre costs little beside a missed prefix, but decides between equals.
const (
	otherDataCentreMS = 2
	otherRegionMS     = 120
)

// minWeight bounds what membership's evidence can add.
const minWeight = 0.01

// defaultBytesPerToken is used when the pool declares none.
const defaultBytesPerToken = 4

// scorer fills in the terms of a candidate's expected time to the first token.
type scorer struct {
	dataCentre string
	region     string
	membership Membership
}

func (s scorer) score(c *choice, cand *candidate) {
	b := cand.backend
	missed := max(0, c.req.PromptBytes-cand.cachedBytes)
	b.byteMS = byteMS(b, c.policy)
	cand.prefillMS = float64(missed) * b.byteMS
	cand.queueMS = b.queueMS(c.now, c.averageQueueMS)
	if cand.exactMS >= 0 {
		// The agent's word replaces our own estimate of the queue.
		cand.queueMS = max(0, cand.exactMS-cand.prefillMS)
	}
	cand.recomputeMS = c.recomputeMS(cand)
	cand.distanceMS = s.distance(&c.bound.set.servers[cand.index])
	cand.penaltyMS = s.penalty(c, cand)
	cand.totalMS = cand.queueMS + cand.prefillMS + cand.recomputeMS + cand.distanceMS + cand.penaltyMS
}

// byteMS is the milliseconds that a prompt byte takes to prefill there.
func byteMS(b *backend, policy *PoolPolicy) float64 {
	bytesPerToken := policy.BytesPerToken
	if bytesPerToken <= 0 {
		bytesPerToken = defaultBytesPerToken
	}
	return 1000 / (bytesPerToken * b.rate(policy))
}

func (s scorer) distance(server *Server) float64 {
	switch {
	case server.DataCentre == s.dataCentre:
		return 0
	case server.Region == s.region:
		return otherDataCentreMS
	}
	return otherRegionMS
}

// penalty is how much later than it says a server is expected to be: a slow or
// lying one shows in first tokens later than promised, by a ratio for long
// waits and by their lateness for short ones, and membership has evidence of
// failures.
func (s scorer) penalty(c *choice, cand *candidate) float64 {
	expectedMS := cand.queueMS + cand.prefillMS
	penaltyMS := cand.backend.excessMS(c.now, c.commonLateness, expectedMS)
	if s.membership != nil {
		weight := max(s.membership.Weight(cand.backend.name), minWeight)
		penaltyMS += (expectedMS + slownessFloorMS) * (1/weight - 1)
	}
	return penaltyMS
}
