// Package warmup decides whether a request that arrives before a process has
// loaded its first configuration is served, waits or is rejected. It does no I/O,
// starts no goroutine and reads no clock; callers do the locking.
//
// Requests wait because loading usually takes only a short time. If they were
// rejected at once, callers would use up their retries whenever all entries
// restart together.
package warmup

import "time"

// Limits bound the waiting requests.
type Limits struct {
	// MaxWaiting is the maximum number of requests that wait at once. It bounds
	// their memory, because without a configuration callers cannot be
	// authenticated yet.
	MaxWaiting int
	// Timeout is the maximum time that a request waits.
	Timeout time.Duration
}

// ConfigState is the state of loading the first configuration.
type ConfigState int

// The states of loading the first configuration. NotFound means that all sources
// were read and have none. If one arrives later, the state becomes Loaded.
const (
	Loading ConfigState = iota
	Loaded
	NotFound
)

// Decision is what to do with a request.
type Decision int

// The decisions. For a waiting request, Recheck must be called when the state
// changes or the timeout expires.
const (
	Serve Decision = iota
	Wait
	// RejectUnconfigured rejects a request because there is no configuration or
	// it was not loaded before the timeout.
	RejectUnconfigured
	// RejectFull rejects a request because MaxWaiting requests already wait.
	RejectFull
)

// Gate decides on requests and counts those that wait. It is not safe for
// concurrent use.
type Gate struct {
	limits  Limits
	waiting int
}

// NewGate returns a gate without waiting requests.
func NewGate(limits Limits) *Gate { return &Gate{limits: limits} }

// Admit decides on a new request. If it waits, the caller must call Leave when the
// wait ends.
func (g *Gate) Admit(state ConfigState) Decision {
	switch {
	case state == Loaded:
		return Serve
	case state == NotFound:
		return RejectUnconfigured
	case g.waiting >= g.limits.MaxWaiting:
		return RejectFull
	}
	g.waiting++
	return Wait
}

// Recheck decides on a waiting request that has waited for the duration.
func (g *Gate) Recheck(state ConfigState, waited time.Duration) Decision {
	switch {
	case state == Loaded:
		return Serve
	case state == NotFound, waited >= g.limits.Timeout:
		return RejectUnconfigured
	}
	return Wait
}

// Leave reports that a request no longer waits, whatever the decision.
func (g *Gate) Leave() { g.waiting-- }

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return g.waiting }

// Timeout returns the maximum time that a request waits.
func (g *Gate) Timeout() time.Duration { return g.limits.Timeout }
