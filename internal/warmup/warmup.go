// Package warmup decides what becomes of a request that reaches a process
// before the process knows any configuration: it waits, is served or is turned
// away. It has no I/O, goroutine or clock; callers lock.
//
// The load it answers: all entries of a fleet are restarted together, and
// callers arrive at the full rate while each entry still reads its first
// configuration, which takes some tens of milliseconds on a calm machine and
// far longer on a busy one. Turned away at once, every caller would spend its
// retries on a state that passes by itself.
package warmup

import "time"

// Limits of the wait.
type Limits struct {
	// MaxWaiting is the number of requests that wait at once. Nothing is known yet
	// by which to tell a caller from a stranger, so only their number bounds the
	// memory that they take.
	MaxWaiting int
	// Timeout is the longest wait of one request.
	Timeout time.Duration
}

// ConfigState is how far the process has come in finding its first configuration.
type ConfigState int

// The states of a search. It ends Loaded or NotFound; a configuration that
// comes after a fruitless search makes it Loaded.
const (
	Loading ConfigState = iota
	Loaded
	NotFound
)

// Decision is what becomes of a request.
type Decision int

// The verdicts. A request that waits asks again when the search has moved on or
// its patience is over.
const (
	Serve Decision = iota
	Wait
	// RejectUnconfigured: the search has found nothing, so that a wait would be in vain.
	RejectUnconfigured
	// RejectFull: as many wait as may.
	RejectFull
)

// Gate counts the requests that wait.
type Gate struct {
	limits  Limits
	waiting int
}

// NewGate returns a gate with nobody waiting.
func NewGate(limits Limits) *Gate { return &Gate{limits: limits} }

// Admit judges a request that just came. One that waits is counted until Leave.
func (g *Gate) Admit(search ConfigState) Decision {
	switch {
	case search == Loaded:
		return Serve
	case search == NotFound:
		return RejectUnconfigured
	case g.waiting >= g.limits.MaxWaiting:
		return RejectFull
	}
	g.waiting++
	return Wait
}

// Recheck judges a request that has waited for so long.
func (g *Gate) Recheck(search ConfigState, waited time.Duration) Decision {
	switch {
	case search == Loaded:
		return Serve
	case search == NotFound, waited >= g.limits.Timeout:
		return RejectUnconfigured
	}
	return Wait
}

// Leave counts a request that waited out, served or not.
func (g *Gate) Leave() { g.waiting-- }

// Waiting is the number of requests that wait now.
func (g *Gate) Waiting() int { return g.waiting }

// Timeout is the longest wait of one request.
func (g *Gate) Timeout() time.Duration { return g.limits.Timeout }
