// Package sim simulates a model engine that batches continuously and caches
// prompt prefixes in blocks. It has no network: the HTTP dialects stand on top
// of it. One goroutine an engine drives all its requests by timers, so it also
// runs in virtual time (testing/synctest).
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
	// ErrBusy means that the waiting queue is full; nothing ran.
	ErrBusy = errors.New("waiting queue full")
	// ErrInternal is the failure that the grey fault shows.
	ErrInternal = errors.New("internal engine failure")
	// ErrCrashed means that the engine process died.
	ErrCrashed = errors.New("engine crashed")
	// ErrCancelled means that the request was cancelled.
	ErrCancelled = errors.New("request cancelled")
	// ErrInterrupted is the failure that the break fault shows in a stream.
	ErrInterrupted = errors.New("stream broken off")
	// ErrStaleFence means that the order carries an old fencing number.
	ErrStaleFence = errors.New("old fencing number")
	// ErrInvalid means that a call makes no sense.
	ErrInvalid = errors.New("invalid call")
	// ErrGap means that events after the sequence number asked for are gone.
	ErrGap = errors.New("events gone")
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

// Options of an engine; zero values mean the defaults.
type Options struct {
	// Scheme names the cached blocks; blockhash.Merle when nil.
	Scheme blockhash.Scheme
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	// PrefillTokensPerSecond that all requests share.
	PrefillTokensPerSecond float64
	// DecodeStep is the time between two tokens of a running request.
	DecodeStep time.Duration
	// MaxRunning requests at once; more wait by priority.
	MaxRunning int
	// MaxWaiting requests; 0: no bound.
	MaxWaiting int
	// OutputTokens of a request that names no number.
	OutputTokens int
	// Versions and Adapters loaded at the start and after a crash.
	Versions []string
	Adapters []string
	// Role reported at the start, "mixed" when empty.
	Role string
	// LoadTime of a version; an adapter takes a tenth of it.
	LoadTime time.Duration
	// ChecksFencing: orders below the highest fencing number seen are refused.
	ChecksFencing bool
	// EventBuffer is the number of published events kept for subscribers.
	EventBuffer int
	// KVBytesPerBlock is the size of a block in an export beside its hash.
	KVBytesPerBlock int
	// Incarnation is the boot number at the start, 1 when 0.
	Incarnation uint64
	// Seed of the faults that strike at random.
	Seed uint64
	// Faults in force from the start.
	Faults Faults
}

// Modes of Faults.Grey.
const (
	GreyFail = "fail"
	GreyHang = "hang"
)

// Faults can be changed at any time; the zero value means none. Shares are
// between 0 and 1.
type Faults struct {
	// EventDelayMS is the age at which a cache event is published.
	EventDelayMS int `json:"event_delay_ms"`
	// EventLoss, EventDoubled and EventReordered are shares of cache events.
	EventLoss      float64 `json:"event_loss"`
	EventDoubled   float64 `json:"event_doubled"`
	EventReordered float64 `json:"event_reordered"`
	// StateLagMS is the age at which a load report shows, up to twice that.
	StateLagMS int `json:"state_lag_ms"`
	// Slow multiplies the time of all work; 0 counts as 1.
	Slow float64 `json:"slow"`
	// Grey is "fail" (requests end with an internal failure) or "hang" (they
	// never progress), while state reports look well.
	Grey string `json:"grey"`
	// AnswerCrossed is the share of tokens that turn up in another request's
	// stream as well; AnswerSwapped turn up only there.
	AnswerCrossed float64 `json:"answer_crossed"`
	AnswerSwapped float64 `json:"answer_swapped"`
	// AnswerDoubled tokens come twice, AnswerLate ones after their successor.
	AnswerDoubled float64 `json:"answer_doubled"`
	AnswerLate    float64 `json:"answer_late"`
	// BreakShare of the requests end without their end after BreakAfter tokens.
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
