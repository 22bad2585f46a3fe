// Package admission decides which requests a backend server runs, which wait
// and in which order, and which are refused. Higher classes are served first,
// with a minimum share for the lower ones. Within a class, workspaces share by
// weight, counted in prompt tokens to compute. The package does no I/O, starts
// no goroutine and reads no clock: callers pass the time, carry out the
// returned actions and do the locking.
package admission

import (
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Options configure a queue. Zero values take the defaults.
type Options struct {
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Length is the maximum number of waiting requests.
	Length int
	// Bytes bounds the total size of the bodies of waiting requests.
	Bytes int
	// Floor is the minimum share of the work, between 0 and 1, that each lower
	// class gets while it has requests waiting. It is also the share of the
	// waiting places that is reserved for each lower class.
	Floor float64
	// CostMargin is the fraction by which the cost on this server must exceed
	// the cost of the entry's next best choice before an offer is declined for
	// its cost.
	CostMargin float64
}

const (
	defaultSlots      = 8
	defaultLength     = 64
	defaultBytes      = 256 << 20
	defaultFloor      = 0.1
	defaultCostMargin = 0.05
	// costToleranceMS is the cost difference that is ignored, because sending
	// the offer to another agent takes about as long.
	costToleranceMS = 1.0
	// minTokens is the minimum cost of a request: a completely cached prompt
	// still takes a slot and counts towards its workspace's share.
	minTokens = 16
	// minRetryAfter and maxRetryAfter bound the retry delay given to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Length <= 0 {
		o.Length = defaultLength
	}
	if o.Bytes <= 0 {
		o.Bytes = defaultBytes
	}
	if o.Floor <= 0 {
		o.Floor = defaultFloor
	}
	if o.CostMargin <= 0 {
		o.CostMargin = defaultCostMargin
	}
	return o
}

// Request describes an offered request.
type Request struct {
	ID        string
	Workspace string
	// Weight is the weight of the workspace in its class; 0 means 1.
	Weight uint32
	Class  jayv1.Class
	// Tokens is the number of prompt tokens that are not cached and must be
	// computed.
	Tokens float64
	// Bytes is the size of the body that is held while the request waits.
	Bytes int
	// Deadline is the latest time for the start of the response; zero if there
	// is none.
	Deadline time.Time
	// NextBestMS is the expected cost of the entry's next best choice, in
	// milliseconds; 0 if it has none.
	NextBestMS float64
	// Final is true if the offer must not be declined for its cost.
	Final bool
}

// Decision is the reply to an offer.
type Decision struct {
	Accepted   bool
	Refusal    jayv1.Refusal
	RetryAfter time.Duration
	// CostMS is the expected time to the first token here, in milliseconds.
	CostMS float64
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	// Start sends the request, which now has a slot, to the engine or service.
	Start ActionKind = iota + 1
	// Refuse ends a waiting request, no part of which has run.
	Refuse
)

// Action is a step that the caller must carry out.
type Action struct {
	Kind ActionKind
	ID   string
	// Refusal and RetryAfter are set if Kind is Refuse.
	Refusal    jayv1.Refusal
	RetryAfter time.Duration
	// Waited is the time since the offer.
	Waited time.Duration
}

// Load is a snapshot of the queue's state.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// QueueMS is the expected wait of a new request of the standard class, in
	// milliseconds.
	QueueMS float64
	// Bytes is the total size of the bodies of waiting requests.
	Bytes int
}
