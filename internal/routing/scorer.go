package routing

import "github.com/jayproxy/jayproxy/internal/locality"

// Network distances in milliseconds for a round trip. Another data centre costs
// little compared with a cache miss, but decides between equal candidates.
const (
	otherDataCentreMS = 2
	otherRegionMS     = 120
)

// minWeight bounds the penalty for a low membership weight.
const minWeight = 0.01

// defaultBytesPerToken is used when the pool declares none.
const defaultBytesPerToken = 4

// scorer computes the terms of a candidate's expected time to the first token.
type scorer struct {
	dataCentre string
	region     string
	membership Membership
	// costs of traffic between data centres; nil: nothing but the distance counts.
	costs *locality.Costs
}

func (s scorer) score(c *choice, cand *candidate) {
	b := cand.backend
	missed := max(0, c.req.PromptBytes-cand.cachedBytes)
	b.byteMS = byteMS(b, c.policy)
	cand.prefillMS = float64(missed) * b.byteMS
	cand.queueMS = b.queueMS(c.now, c.averageQueueMS)
	if cand.exactMS >= 0 {
		// The agent's reply replaces our estimate of the queue.
		cand.queueMS = max(0, cand.exactMS-cand.prefillMS)
	}
	cand.recomputeMS = c.recomputeMS(cand)
	cand.distanceMS = s.distance(&c.bound.set.servers[cand.index]) + s.bytesMS(c, &c.bound.set.servers[cand.index])
	cand.penaltyMS = s.penalty(c, cand)
	cand.totalMS = cand.queueMS + cand.prefillMS + cand.recomputeMS + cand.distanceMS + cand.penaltyMS
}

// byteMS returns the prefill time of one prompt byte at the server, in
// milliseconds.
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

// bytesMS is the price of a prompt that is sent to another data centre.
func (s scorer) bytesMS(c *choice, server *Server) float64 {
	if s.costs == nil || server.DataCentre == s.dataCentre {
		return 0
	}
	return s.costs.BytesMS(float64(c.req.PromptBytes))
}

// penalty is the expected delay of a server beyond its estimate: the lateness
// of its earlier first tokens, relative for long waits and absolute for short
// ones, and a term for membership's evidence of slowness or failures.
func (s scorer) penalty(c *choice, cand *candidate) float64 {
	expectedMS := cand.queueMS + cand.prefillMS
	penaltyMS := cand.backend.excessMS(c.now, c.commonLateness, expectedMS)
	if s.membership != nil {
		weight := max(s.membership.Weight(cand.backend.name), minWeight)
		penaltyMS += (expectedMS + ratioFloorMS) * (1/weight - 1)
	}
	return penaltyMS
}
