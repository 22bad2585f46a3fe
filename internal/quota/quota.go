// Package quota holds the declared limits of workspaces over the whole fleet
// without coordination: each of N entries enforces its N-th part. It has no
// I/O, goroutine or clock; callers lock.
//
// Stated error. Over any window of length T the fleet admits at most
// limit*(T+Depth) requests, and one request more for each entry; of tokens the
// same with the largest request of each entry in place of the one. It admits
// at least the smaller of its demand and limit/N at each entry: load that the
// balancer spreads unevenly is held below the limit, down to limit/N when all
// of it comes to one entry. Streams at once are at most limit+N-1. While
// entries disagree on their number, for as long as the news of a change
// travels, the upper bounds grow by N over the smallest number that one counts.
//
// Borrowing. An entry keeps what it did not use for at most Depth, and may
// admit one piece of work larger than what it has saved; the debt is paid back
// before the next one is admitted. It borrows nothing of other entries.
package quota

import (
	"math"
	"time"
)

// Depth is how long an unused share is kept.
const Depth = time.Second

// Limits declared for one workspace over the fleet; zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	ConcurrentStreams int
}

// Reason of a refusal.
type Reason int

// The reasons.
const (
	Admitted Reason = iota
	Requests
	Tokens
	Streams
)

// Decision says whether work is admitted, and when to ask again if not.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Limiter is one entry's part of the limits.
type Limiter struct {
	entries int
	of      map[string]*account
}

type account struct {
	requests bucket
	tokens   bucket
	streams  int
}

// bucket fills at rate a second up to Depth's worth; below zero is debt.
type bucket struct {
	level float64
	at    time.Time
}

// NewLimiter starts as the only entry.
func NewLimiter() *Limiter { return &Limiter{entries: 1, of: map[string]*account{}} }

// SetEntries tells the number of live entries, this one included.
func (l *Limiter) SetEntries(n int) { l.entries = max(n, 1) }

// Entries is the number of entries that shares are computed by.
func (l *Limiter) Entries() int { return l.entries }

// Admit admits work of the workspace or says why not. Admitted work ends with Leave.
func (l *Limiter) Admit(now time.Time, workspace string, limits Limits, tokens float64) Decision {
	a, ok := l.of[workspace]
	if !ok {
		a = &account{}
		l.of[workspace] = a
	}
	if limits.ConcurrentStreams > 0 && a.streams >= l.streams(limits.ConcurrentStreams) {
		return Decision{Reason: Streams}
	}
	requestRate, tokenRate := l.share(limits.RequestsPerSecond), l.share(limits.TokensPerSecond)
	if wait := a.requests.wait(now, requestRate); wait > 0 {
		return Decision{Reason: Requests, RetryAfter: wait}
	}
	if wait := a.tokens.wait(now, tokenRate); wait > 0 {
		return Decision{Reason: Tokens, RetryAfter: wait}
	}
	a.requests.take(requestRate, 1)
	a.tokens.take(tokenRate, tokens)
	a.streams++
	return Decision{}
}

// Release ends admitted work.
func (l *Limiter) Release(workspace string) {
	if a := l.of[workspace]; a != nil {
		a.streams--
	}
}

// Forget drops workspaces without work that keep does not name.
func (l *Limiter) Forget(keep func(workspace string) bool) {
	for name, a := range l.of {
		if a.streams == 0 && !keep(name) {
			delete(l.of, name)
		}
	}
}

func (l *Limiter) share(rate float64) float64 { return rate / float64(l.entries) }

// streams is this entry's part of a bound on concurrent streams, rounded up:
// a bound below the number of entries must not shut a workspace out.
func (l *Limiter) streams(limit int) int {
	return (limit + l.entries - 1) / l.entries
}

// wait is the time until the bucket admits again; 0: now.
func (b *bucket) wait(now time.Time, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	full := rate * Depth.Seconds()
	if b.at.IsZero() {
		b.level = full
	} else {
		b.level = min(full, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	// Work larger than the whole bucket is admitted from a full one: a limit
	// below one request a second must still let requests through.
	due := min(1, full)
	if b.level >= due {
		return 0
	}
	return time.Duration(math.Ceil((due - b.level) / rate * float64(time.Second)))
}

func (b *bucket) take(rate, n float64) {
	if rate > 0 {
		b.level -= n
	}
}
