package routing

import (
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// maxCandidates bounds the candidates of one choice, whatever the number of
// servers.
const maxCandidates = 16

// Sources of candidates, by their names in explanations.
const (
	sourceRendezvous  = "rendezvous"
	sourceObservation = "belief" // observed to hold the prefix
	sourceRandom      = "random"
	sourceProbed      = "asked"
	sourceLoad        = "load"
	sourceFallback    = "fallback"
)

// Evidence for a candidate's cached bytes, by its name in explanations: none,
// an observation, membership in the shared prefix's set, or the agent's reply
// to a probe or offer of this request.
const (
	evidenceNone     = "none"
	evidenceObserved = "seen"
	evidenceAssumed  = "presumed"
	evidenceProbed   = "asked"
)

// candidate is a server under consideration, with the terms of its expected
// time to the first token.
type candidate struct {
	index    int32
	backend  *backend
	source   string
	evidence string
	filtered string

	cachedBytes int
	// exactMS is the queue and prefill time that the agent answered for this
	// request; negative: no reply.
	exactMS     float64
	queueMS     float64
	prefillMS   float64
	recomputeMS float64
	distanceMS  float64
	penaltyMS   float64
	totalMS     float64
}

// boundSet is a set with the backends of its servers.
type boundSet struct {
	set      *Set
	backends []*backend
}

// choice is the working state of one decision.
type choice struct {
	now      time.Time
	req      *Request
	policy   *PoolPolicy
	bound    *boundSet
	refusals []RefusedOffer

	shared         *sharedPrefix // main shared prefix; nil: none
	sharedPoint    int
	averageQueueMS float64
	commonLateness lateness
	candidates     [maxCandidates]candidate
	n              int
	best, next     int // indexes into candidates, -1: none
	declined       int // refusals for cost so far
}

// add returns the candidate for a server, new or already present; nil when
// there are maxCandidates already.
func (c *choice) add(index int32, source string) *candidate {
	backend := c.bound.backends[index]
	if found := c.find(backend); found != nil {
		return found
	}
	if c.n == maxCandidates {
		return nil
	}
	c.candidates[c.n] = candidate{index: index, backend: backend, source: source, evidence: evidenceNone, exactMS: -1}
	c.n++
	return &c.candidates[c.n-1]
}

func (c *choice) find(b *backend) *candidate {
	for i := range c.candidates[:c.n] {
		if c.candidates[i].backend == b {
			return &c.candidates[i]
		}
	}
	return nil
}

// explain returns the candidates and the terms of their scores.
func (c *choice) explain() []*jayv1.CandidateTerms {
	terms := make([]jayv1.CandidateTerms, c.n)
	list := make([]*jayv1.CandidateTerms, c.n)
	for i := range c.candidates[:c.n] {
		from, to := &c.candidates[i], &terms[i]
		to.BackendServer = from.backend.name
		to.DataCentre = c.bound.set.servers[from.index].DataCentre
		to.Source = from.source
		to.Evidence = from.evidence
		to.CachedBytes = uint32(from.cachedBytes)
		to.QueueMs = from.queueMS
		to.PrefillMs = from.prefillMS
		to.RecomputeMs = from.recomputeMS
		to.DistanceMs = from.distanceMS
		to.PenaltyMs = from.penaltyMS
		to.TotalMs = from.totalMS
		to.Filtered = from.filtered
		to.Chosen = i == c.best
		list[i] = to
	}
	return list
}
