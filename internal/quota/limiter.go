package quota

import (
	"math"
	"time"
)

// Depth is the time over which unused quota of a Limiter accumulates.
const Depth = time.Second

// Limits are the declared limits of one workspace over the fleet; zero means no
// limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	ConcurrentStreams int
}

// Reason is the limit because of which a request is rejected, or Admitted.
type Reason int

// The reasons: Requests, Tokens and Streams name the limit that is used up.
const (
	Admitted Reason = iota
	Requests
	Tokens
	Streams
)

// Decision is the result of Admit. RetryAfter is the time until the limit named by
// Reason admits again; 0 for Streams, where it is not known.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Limiter enforces limits without messages between entries: each of N entries enforces
// 1/N of every limit. It is not safe for concurrent use.
//
// Accuracy. Over any window of length T the fleet admits at most limit*(T+Depth)
// requests, and one more request for each entry. For tokens the same holds, with the
// largest request of each entry instead of the one request. Each entry admits at
// least the smaller of its demand and limit/N, so that unevenly balanced load is
// limited to less than the declared limit, down to limit/N if all of it arrives at
// one entry. The fleet admits at most limit+N-1 concurrent streams. While entries
// count different numbers of entries, after a change of the number, the upper bounds
// grow by the factor N divided by the smallest number counted.
//
// Bursts and debt. An entry accumulates unused quota for at most Depth. It may admit
// one request larger than that; the debt must be repaid before it admits the next
// one. Entries do not borrow from each other.
type Limiter struct {
	entries  int
	accounts map[string]*account
}

type account struct {
	requests bucket
	tokens   bucket
	streams  int
}

// bucket is a token bucket. It fills at a rate per second, up to the amount for
// Depth; a negative level is debt.
type bucket struct {
	level float64
	at    time.Time
}

// NewLimiter returns a limiter for a fleet of one entry.
func NewLimiter() *Limiter { return &Limiter{entries: 1, accounts: map[string]*account{}} }

// SetEntries sets the number of live entries, this one included.
func (l *Limiter) SetEntries(n int) { l.entries = max(n, 1) }

// Entries returns the number of entries that the limits are divided by.
func (l *Limiter) Entries() int { return l.entries }

// Admit decides whether a request of the workspace is admitted. Call Release when an
// admitted request ends.
func (l *Limiter) Admit(now time.Time, workspace string, limits Limits, tokens float64) Decision {
	a, ok := l.accounts[workspace]
	if !ok {
		a = &account{}
		l.accounts[workspace] = a
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

// Release records the end of an admitted request.
func (l *Limiter) Release(workspace string) {
	if a := l.accounts[workspace]; a != nil {
		a.streams--
	}
}

// Forget removes the state of workspaces that have no stream and for which keep
// returns false.
func (l *Limiter) Forget(keep func(workspace string) bool) {
	for name, a := range l.accounts {
		if a.streams == 0 && !keep(name) {
			delete(l.accounts, name)
		}
	}
}

func (l *Limiter) share(rate float64) float64 { return rate / float64(l.entries) }

// streams returns this entry's part of a limit on concurrent streams, rounded up so
// that a limit below the number of entries does not exclude the workspace.
func (l *Limiter) streams(limit int) int {
	return (limit + l.entries - 1) / l.entries
}

// wait refills the bucket and returns the time until it admits again; 0: now.
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
	// A full bucket always admits, even if it holds less than one: a limit below one
	// request per second must still let requests through.
	needed := min(1, full)
	if b.level >= needed {
		return 0
	}
	return time.Duration(math.Ceil((needed - b.level) / rate * float64(time.Second)))
}

func (b *bucket) take(rate, n float64) {
	if rate > 0 {
		b.level -= n
	}
}
