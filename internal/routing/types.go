// Package routing decides which backend server a request is offered to: a
// filter takes out what may not serve, scorers turn the rest into an expected
// time to the first token, a picker takes the best. It has no I/O, goroutine,
// clock or global random source.
package routing

import (
	"errors"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Server is a backend server as a decision sees it. Immutable; the entry
// builds the set whole when the catalog or the membership changes.
type Server struct {
	Name       string
	DataCentre string
	Region     string
}

// Signals is what an entry last heard of a backend server, from the state that
// rides on every answer. At tells how old it is; the zero value means that
// nothing was heard yet.
type Signals struct {
	At                     time.Time
	Incarnation            uint64
	VersionDigests         []string
	Adapters               []string
	QueueMS                float64
	Running                int
	Queued                 int
	Slots                  int
	PrefillTokensPerSecond float64
	CacheRetention         time.Duration
	Draining               bool
	Ready                  bool
}

// Membership says whether a backend server may get work.
type Membership interface {
	// Usable is false for a server that is leaving, gone or ejected.
	Usable(server string) bool
	// Weight in (0, 1]: evidence of slowness or failure lowers it.
	Weight(server string) float64
}

// Request is what a decision needs to know of a request.
type Request struct {
	ID            string
	Workspace     string
	Pool          string
	VersionDigest string
	Adapter       string
	Class         jayv1.Class
	// Chain holds the nested prefix points, shortest first.
	Chain []*jayv1.PrefixPoint
	// Levels indexes into Chain: the points that stand at message boundaries.
	Levels      []int
	PromptBytes int
	// DataCentres allowed by the rule; empty: all.
	DataCentres []string
	// Probes are exact answers of agents that the shell asked because a
	// decision told it to (Decision.Ask). Nil before they were asked.
	Probes []Probe
}

// Probe is an agent's exact answer about a request that was not offered.
type Probe struct {
	Server      string
	CostMS      float64
	CachedBytes int
}

// RefusedOffer is an offer of the same request that an agent refused. A refusal for
// cost leaves the server in the choice, with its true cost; any other takes it out.
type RefusedOffer struct {
	Server      string
	Refusal     jayv1.Refusal
	CostMS      float64
	CachedBytes int
}

// Decision is where to offer a request, or whom to ask first.
type Decision struct {
	Server string
	// ExpectedMS to the first token at Server, NextBestMS at the next best
	// candidate, both in the terms of an agent's cost: queue and prefill.
	// NextBestMS is 0 when there is none.
	ExpectedMS float64
	NextBestMS float64
	// Incarnation of the engine that the expectation rests on; 0: none known.
	Incarnation uint64
	// Final: the offer must not be declined for cost.
	Final bool
	// ProbeServers names the servers to probe before Choose is called again with
	// Request.Probes; Server is empty then. Only asking policies set it.
	ProbeServers []string
	// Candidates with their terms, in the order in which they were found.
	Candidates []*jayv1.CandidateTerms
	Policy     string
}

// Errors of Choose.
var (
	// ErrNoServer means that no backend server may take the request now.
	ErrNoServer = errors.New("no backend server may take the request")
	// ErrUnknownPolicy means that Options.Policy names none.
	ErrUnknownPolicy = errors.New("unknown routing policy")
)

// Options of a router.
type Options struct {
	// Policy by name; empty is PolicyAskInDoubt.
	Policy string
	// DataCentre and Region of the process that decides.
	DataCentre string
	Region     string
	// Seed of the random candidates. The same seed and the same calls give the
	// same decisions.
	Seed uint64
	// Membership may be nil: all servers are usable.
	Membership Membership
}

// PoolPolicy is what a pool declares for its decisions.
type PoolPolicy struct {
	Pool            string
	RecomputeWeight float64
	BytesPerToken   float64
	SharedLevel     int
	// PrefillTokensPerSecond is the declared rate, 0 when it must be learned.
	PrefillTokensPerSecond float64
}
