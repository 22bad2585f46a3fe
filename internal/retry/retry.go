// Package retry limits the retries of requests that may have run already. It does no
// I/O, starts no goroutine and reads no clock. It is not safe for concurrent use.
package retry

import "time"

// Budget allows retries in proportion to successes, so that retries add only a
// small share of load to a failing fleet. It is a token bucket: a success adds share
// tokens, up to burst, and a retry takes one.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget, so that a process that has just started may retry.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Succeeded records a success.
func (b *Budget) Succeeded() {
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Allow reports whether a retry is allowed, and takes it from the budget if so. A
// retry that could not end before the deadline is not allowed; need is the minimum
// duration of an attempt.
func (b *Budget) Allow(now, deadline time.Time, need time.Duration) bool {
	if now.Add(need).After(deadline) || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries that are available.
func (b *Budget) Tokens() float64 { return b.tokens }
