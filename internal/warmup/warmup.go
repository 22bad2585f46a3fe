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
	// Waiting is the number of requests that wait at once. Nothing is known yet
	// by which to tell a caller from a stranger, so only their number bounds the
	// memory that they take.
	Waiting int
	// Patience is the longest wait of one request.
	Patience time.Duration
}

// Search is how far the process has come in finding its first configuration.
type Search int

// The states of a search. It ends Found or Fruitless; a configuration that
// comes after a fruitless search makes it Found.
const (
	Running Search = iota
	Found
	Fruitless
)

// Verdict is what becomes of a request.
type Verdict int

// The verdicts. A request that waits asks again when the search has moved on or
// its patience is over.
const (
	Serve Verdict = iota
	Wait
	// TurnAwayUnknown: the search has found nothing, so that a wait would be in vain.
	TurnAwayUnknown
	// TurnAwayFull: as many wait as may.
	TurnAwayFull
)

// Gate counts the requests that wait.
type Gate struct {
	limits  Limits
	waiting int
}

// NewGate returns a gate with nobody waiting.
func NewGate(limits Limits) *Gate { return &Gate{limits: limits} }

// Arrive judges a request that just came. One that waits is counted until Leave.
func (g *Gate) Arrive(search Search) Verdict {
	switch {
	case search == Found:
		return Serve
	case search == Fruitless:
		return TurnAwayUnknown
	case g.waiting >= g.limits.Waiting:
		return TurnAwayFull
	}
	g.waiting++
	return Wait
}

// Again judges a request that has waited for so long.
func (g *Gate) Again(search Search, waited time.Duration) Verdict {
	switch {
	case search == Found:
		return Serve
	case search == Fruitless, waited >= g.limits.Patience:
		return TurnAwayUnknown
	}
	return Wait
}

// Leave counts a request that waited out, served or not.
func (g *Gate) Leave() { g.waiting-- }

// Waiting is the number of requests that wait now.
func (g *Gate) Waiting() int { return g.waiting }

// Patience is the longest wait of one request.
func (g *Gate) Patience() time.Duration { return g.limits.Patience }
