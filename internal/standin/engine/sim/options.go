// Package sim simulates a model engine with continuous batching and a block-based
// prefix cache. It has no network: the HTTP interfaces are built on top of it. One
// goroutine per engine drives all requests by timers, so it also runs in virtual
// time (testing/synctest).
package sim

import (
	"errors"
	"time"

	"github.com/jayproxy/jayproxy/internal/engine/blockhash"
)

// Errors that callers test with errors.Is.
var (
	// ErrNotLoaded means that the version or adapter is not loaded; nothing ran.
	ErrNotLoaded = errors.New("version or adapter not loaded")
	// ErrBusy means that the wait queue is full; nothing ran.
	ErrBusy = errors.New("wait queue full")
	// ErrInternal is the failure that GreyFail causes.
	ErrInternal = errors.New("internal engine failure")
	// ErrCrashed means that the engine crashed or was closed.
	ErrCrashed = errors.New("engine crashed")
	// ErrCancelled means that the request was cancelled.
	ErrCancelled = errors.New("request cancelled")
	// ErrInterrupted means that the break fault ended the stream early.
	ErrInterrupted = errors.New("stream interrupted by a fault")
	// ErrStaleFence means that the order's fencing number is below the highest seen.
	ErrStaleFence = errors.New("stale fencing number")
	// ErrInvalid means that a call is malformed.
	ErrInvalid = errors.New("invalid call")
	// ErrGap means that events after the requested sequence number are not available.
	ErrGap = errors.New("events no longer available")
)

// Defaults of Options.
const (
	DefaultPrefillTokensPerSecond = 20_000
	DefaultDecodeStep             = 10 * time.Millisecond
	DefaultMaxRunning             = 8
	DefaultCacheBlocks            = 4096
	DefaultOutputTokens           = 16
	DefaultMaxOutputTokens        = 4096
	DefaultEventBuffer            = 4096
	DefaultRunsKept               = 200_000
)

// Options configure an engine; zero values mean the defaults.
type Options struct {
	// Scheme computes the hashes of cached blocks; nil means blockhash.Merle.
	Scheme blockhash.Scheme
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// PrefillTokensPerSecond is the prefill rate that all requests share.
	PrefillTokensPerSecond float64
	// DecodeStep is the time between two tokens of a running request.
	DecodeStep time.Duration
	// MaxRunning bounds the requests that run at once; others wait, by priority.
	MaxRunning int
	// MaxWaiting bounds the requests that wait; 0 means no bound.
	MaxWaiting int
	// OutputTokens is the length of an answer whose request sets no maximum.
	OutputTokens int
	// Versions and Adapters are loaded at the start and after a crash.
	Versions []string
	Adapters []string
	// Role is the role reported at the start; empty means "mixed".
	Role string
	// LoadTime is the time to load a version; an adapter takes a tenth of it.
	LoadTime time.Duration
	// ChecksFencing makes the engine refuse orders below the highest fencing number seen.
	ChecksFencing bool
	// EventBuffer is the number of published events kept for subscribers.
	EventBuffer int
	// KVBytesPerBlock is the size of a block in an export, without its hash.
	KVBytesPerBlock int
	// Incarnation is the incarnation at the start; 0 means 1. Each crash adds one.
	Incarnation uint64
	// Seed of the random faults.
	Seed uint64
	// Faults in force from the start.
	Faults Faults
}

// Values of Faults.Grey.
const (
	GreyFail = "fail"
	GreyHang = "hang"
)

// Faults are the faults in force; the zero value means none. They can be changed
// at any time. Shares are between 0 and 1.
type Faults struct {
	// EventDelayMS is the age in milliseconds at which a cache event is published.
	EventDelayMS int `json:"event_delay_ms"`
	// EventLoss, EventDoubled and EventReordered are the shares of cache events that
	// are dropped, sent twice, and sent after their successor.
	EventLoss      float64 `json:"event_loss"`
	EventDoubled   float64 `json:"event_doubled"`
	EventReordered float64 `json:"event_reordered"`
	// StateLagMS is the age of reported load in milliseconds; it can reach twice that.
	StateLagMS int `json:"state_lag_ms"`
	// Slow multiplies the time of all work; 0 means 1.
	Slow float64 `json:"slow"`
	// Grey is a failure that state reports do not show: "fail" (requests are refused
	// with an internal error) or "hang" (they make no progress).
	Grey string `json:"grey"`
	// AnswerCrossed is the share of tokens that another request's stream contains as
	// well, AnswerSwapped the share that only another request's stream contains.
	AnswerCrossed float64 `json:"answer_crossed"`
	AnswerSwapped float64 `json:"answer_swapped"`
	// AnswerDoubled is the share of tokens sent twice, AnswerLate the share sent after
	// their successor.
	AnswerDoubled float64 `json:"answer_doubled"`
	AnswerLate    float64 `json:"answer_late"`
	// BreakShare is the share of requests whose stream is interrupted after BreakAfter
	// tokens.
	BreakShare float64 `json:"break_share"`
	BreakAfter int     `json:"break_after"`
}

func (f Faults) slow() float64 {
	if f.Slow <= 0 {
		return 1
	}
	return f.Slow
}

func (o Options) withDefaults() Options {
	if o.Scheme == nil {
		o.Scheme = blockhash.Merle
	}
	setDefault(&o.CacheBlocks, DefaultCacheBlocks)
	setDefault(&o.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setDefault(&o.DecodeStep, DefaultDecodeStep)
	setDefault(&o.MaxRunning, DefaultMaxRunning)
	setDefault(&o.OutputTokens, DefaultOutputTokens)
	setDefault(&o.EventBuffer, DefaultEventBuffer)
	setDefault(&o.Incarnation, 1)
	setDefault(&o.Role, "mixed")
	return o
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
