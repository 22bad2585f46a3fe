// Package admission decides what a backend server takes on, what waits and in
// which order, and what is turned away. Classes go first by rank with a floor
// for the lower ones; inside a class workspaces share by weight, counted in
// prompt tokens to compute. It has no I/O, goroutine or clock: `now` comes in,
// actions go out; callers lock.
package admission

import (
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Options of a queue. Zero values take the defaults.
type Options struct {
	// Slots is how many requests run at once.
	Slots int
	// Length is how many may wait.
	Length int
	// Bytes is how much body the waiting requests may hold together.
	Bytes int
	// Floor is the share of the work that each lower class gets at least while
	// it has work waiting, between 0 and 1.
	Floor float64
	// CostMargin is the part by which the true cost must exceed the entry's
	// next best before an offer is declined for cost.
	CostMargin float64
}

const (
	defaultSlots      = 8
	defaultLength     = 64
	defaultBytes      = 256 << 20
	defaultFloor      = 0.1
	defaultCostMargin = 0.05
	// costSlackMS keeps offers from being passed on for differences that are
	// smaller than the way to the next agent.
	costSlackMS = 1.0
	// minTokens is the least cost of a request: a prompt that is cached whole
	// still takes a slot, and must count in its workspace's share.
	minTokens = 16
	// minRetryAfter and maxRetryAfter bound what callers are told to wait.
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

// Request is one offer as the queue sees it.
type Request struct {
	ID        string
	Workspace string
	// Weight of the workspace in its class; 0 is read as 1.
	Weight uint32
	Class  jayv1.Class
	// Tokens of the prompt that are not cached and must be computed.
	Tokens float64
	// Bytes of body that the request holds while it waits.
	Bytes int
	// Deadline after which nobody waits for the answer; zero: none.
	Deadline time.Time
	// NextBestMS is the entry's next best choice; 0: it has none.
	NextBestMS float64
	// Final offers are not declined for cost.
	Final bool
}

// Decision is the answer to an offer.
type Decision struct {
	Accepted   bool
	Refusal    jayv1.Refusal
	RetryAfter time.Duration
	// CostMS is the expected time to the first token here, in milliseconds.
	CostMS float64
}

// ActionKind says what the caller has to do.
type ActionKind int

// The kinds of actions.
const (
	// Start hands the request to the engine or service: it has a slot.
	Start ActionKind = iota + 1
	// Refuse ends a request that waited; nothing of it has run.
	Refuse
)

// Action is something that the caller must do now.
type Action struct {
	Kind ActionKind
	ID   string
	// Refusal and RetryAfter of a refused request.
	Refusal    jayv1.Refusal
	RetryAfter time.Duration
	// Waited since the offer.
	Waited time.Duration
}

// Load is the queue's state at a moment.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// QueueMS is the time that a new request of the standard class would wait.
	QueueMS float64
	// Bytes of body that wait.
	Bytes int
}
