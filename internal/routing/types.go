// Package routing decides which backend server a request is offered to: a
// filter takes out what may not serve, scorers turn the rest into an expected
// time to the first token, a picker takes the best. It has no I/O, goroutine,
// clock or global random source.
package routing

import (
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
	CacheSurvival          time.Duration
	Leaving                bool
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
