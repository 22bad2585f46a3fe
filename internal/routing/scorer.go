package routing

// Distances added to the expected time, in milliseconds for both ways. Another
// data centre costs little beside a missed prefix, but decides between equals.
const (
	otherDataCentreMS = 2
	otherRegionMS     = 120
)

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
	cand.queueMS = b.queueMS(c.now, c.averageMS)
	if cand.exactMS >= 0 {
		// The agent's word replaces our own estimate of the queue.
		cand.queueMS = max(0, cand.exactMS-cand.prefillMS)
	}
	cand.recomputeMS = c.recomputeMS(cand)
	cand.distanceMS = s.distance(&c.view.set.servers[cand.index])
	cand.penaltyMS = (cand.queueMS + cand.prefillMS + slownessFloor) * s.penalty(c, b)
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

// penalty is the share by which a server is expected to be slower than it
// says: a slow or lying one shows in first tokens later than promised, and
// membership has evidence of failures.
func (s scorer) penalty(c *choice, b *backend) float64 {
	factor := b.slownessNow(c.now)
	if s.membership != nil {
		factor /= max(s.membership.Weight(b.name), 0.01)
	}
	return max(0, factor-1)
}
