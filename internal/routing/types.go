// Package routing chooses the backend server for a request. Router serves
// servers that have an agent: a filter removes servers that may not serve the
// request, scorers estimate the time to the first token at the others, and a
// picker takes the lowest. Direct serves servers that are called without an
// agent. The package has no I/O, goroutines, clock or global random source.
package routing

import (
	"errors"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Server is a backend server as the router sees it. It is immutable; the entry
// rebuilds the set when the catalog or the membership changes.
type Server struct {
	Name       string
	DataCentre string
	Region     string
}

// Signals is the last state received from a backend server's agent; agents
// attach it to every reply. At is the time of receipt; the zero value means
// that no state was received yet.
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

// Membership reports whether a backend server may receive work.
type Membership interface {
	// Usable is false for a server that is draining, gone or ejected.
	Usable(server string) bool
	// Weight is in (0, 1]; it is lowered by evidence of slowness or failures.
	Weight(server string) float64
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	ID            string
	Workspace     string
	Pool          string
	VersionDigest string
	Adapter       string
	Class         jayv1.Class
	// Chain holds the nested prefix points, shortest first.
	Chain []*jayv1.PrefixPoint
	// Levels holds the indexes into Chain of the points at message boundaries.
	Levels      []int
	PromptBytes int
	// DataCentres that the routing rule allows; empty: all.
	DataCentres []string
	// Probes holds the replies of the agents named in Decision.ProbeServers;
	// nil before they were probed.
	Probes []Probe
}

// Probe is an agent's exact cost of a request that was not offered to it.
type Probe struct {
	Server      string
	CostMS      float64
	CachedBytes int
}

// RefusedOffer is an offer of the same request that an agent refused. A server
// that refused for cost stays a candidate, with its actual cost; any other
// refusal excludes it.
type RefusedOffer struct {
	Server      string
	Refusal     jayv1.Refusal
	CostMS      float64
	CachedBytes int
}

// Decision says where to offer a request, or which servers to probe first.
type Decision struct {
	Server string
	// ExpectedMS is the expected time to the first token at Server, NextBestMS
	// the one at the next best candidate. Both are in the terms of an agent's
	// cost: queue and prefill. NextBestMS is 0 when there is no other
	// candidate.
	ExpectedMS float64
	NextBestMS float64
	// Incarnation of the engine that ExpectedMS was computed for; 0: unknown.
	Incarnation uint64
	// Final means that the agent must not refuse the offer for cost.
	Final bool
	// ProbeServers names the servers to probe before Choose is called again
	// with Request.Probes; Server is empty then. Only policies that probe set
	// it.
	ProbeServers []string
	// Candidates and the terms of their scores, in the order in which they were
	// found.
	Candidates []*jayv1.CandidateTerms
	Policy     string
}

// Errors of Router.Choose and Direct.Choose.
var (
	// ErrNoServer means that no backend server may take the request now.
	ErrNoServer = errors.New("no backend server may take the request")
	// ErrUnknownPolicy means that Options.Policy is not the name of a policy.
	ErrUnknownPolicy = errors.New("unknown routing policy")
)

// Options configure a Router.
type Options struct {
	// Policy is the name of the policy; empty: PolicyProbeIfUncertain.
	Policy string
	// DataCentre and Region of this process.
	DataCentre string
	Region     string
	// Seed of the random candidates. The same seed and the same calls give the
	// same decisions.
	Seed uint64
	// Membership may be nil: all servers are usable.
	Membership Membership
	// CrossDataCentreMSPerMB is the price of a million bytes sent to another data centre,
	// in milliseconds of latency; 0: none.
	CrossDataCentreMSPerMB float64
}

// PoolPolicy is the part of a pool's configuration that decisions use.
type PoolPolicy struct {
	Pool            string
	RecomputeWeight float64
	BytesPerToken   float64
	SharedLevel     int
	// PrefillTokensPerSecond is the declared rate; 0: use the rate that the
	// agents report.
	PrefillTokensPerSecond float64
}
