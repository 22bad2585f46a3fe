package retry

import "time"

const (
	// burstShare of what a window allows may be saved up, and rateShare of it is earned in
	// the course of a window. The rest is a reserve for sends that arrive late and for
	// processes that count a different number of processes for a while.
	burstShare = 0.3
	rateShare  = 0.6
)

// Bucket is one process's part of a retry budget that several processes keep together: in
// any window at most Ratio x requests + Slack retries, where the requests are those of that
// window or of the one before, whichever has more. It is a token bucket. A request adds
// rateShare x Ratio tokens, a whole window rateShare x Slack, and a retry takes one. At most
// burstShare of what the last window allows is saved up, so that retries can follow at once
// when a server fails while it runs many requests.
//
// A retry that was allowed may wait for a server. Until it is sent, what it took counts as
// saved up, so that the retries of two windows are not sent in one.
//
// Guarantee. A Bucket starts empty. Whatever was used in a window was saved up before it or
// earned in it, and a process that ends loses what it had. So over all processes, in any
// number of lives with any pauses between them, a window holds at most
//
//	burstShare x (Ratio x requests of the window before + Slack)
//	+ rateShare x (Ratio x requests of the window + Slack)
//
// retries, as long as the Slack of all processes at one time adds up to the whole, and the
// requests did not decrease while retries waited. No process needs to know what others, or
// its own earlier lives, have used.
type Bucket struct {
	limits Limits
	// level is the number of tokens at the time at, waiting the number of retries that were
	// allowed and not sent yet.
	level    float64
	waiting  int
	at       time.Time
	requests requestCount
}

// Limits are what a Bucket permits in a window.
type Limits struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio of retries to requests, and Slack, this process's part of the retries permitted
	// in addition.
	Ratio, Slack float64
}

// Usage is the state of a Bucket.
type Usage struct {
	// Requests in the window, and Waiting retries that were allowed and not sent yet.
	Requests, Waiting int
	// Available retries are allowed now, Capacity can be saved up.
	Available, Capacity float64
}

// NewBucket returns an empty bucket.
func NewBucket(now time.Time, limits Limits) *Bucket {
	limits.Span = max(limits.Span, time.Nanosecond)
	b := &Bucket{limits: limits, at: now}
	b.requests.advance(now, limits.Span)
	return b
}

// NewFullBucket returns a bucket with all that can be saved up, for a process that starts for
// the first time: no earlier life has used anything.
func NewFullBucket(now time.Time, limits Limits) *Bucket {
	b := NewBucket(now, limits)
	b.level = b.capacity()
	return b
}

// SetLimits changes the Ratio and the Slack, for example when the number of processes that
// share the slack changes.
func (b *Bucket) SetLimits(now time.Time, limits Limits) {
	b.advance(now)
	b.limits.Ratio, b.limits.Slack = limits.Ratio, limits.Slack
	b.clip()
}

// Request records a request.
func (b *Bucket) Request(now time.Time) {
	b.advance(now)
	b.requests.add()
	b.level += rateShare * b.limits.Ratio
	b.clip()
}

// Take reports whether a retry is allowed, and takes it from the bucket if so. It waits until
// Sent or Return is called. A retry that could not end in the time left is not allowed; need
// is the minimum duration of a send.
func (b *Bucket) Take(now time.Time, left, need time.Duration) bool {
	b.advance(now)
	if left < need || b.level < 1 {
		return false
	}
	b.level--
	b.waiting++
	return true
}

// Sent records that a waiting retry is sent.
func (b *Bucket) Sent() { b.waiting-- }

// Unsent records that a retry reached no server after all, and waits for another one.
func (b *Bucket) Unsent() { b.waiting++ }

// Return puts a waiting retry back that will not be sent.
func (b *Bucket) Return(now time.Time) {
	b.advance(now)
	b.waiting--
	b.level++
	b.clip()
}

// Usage returns the state of the bucket.
func (b *Bucket) Usage(now time.Time) Usage {
	b.advance(now)
	return Usage{Requests: b.requests.sum, Waiting: b.waiting, Available: b.level, Capacity: b.capacity()}
}

// advance adds what was earned since the last call. A clock that goes back earns nothing.
func (b *Bucket) advance(now time.Time) {
	passed := now.Sub(b.at)
	if passed <= 0 {
		return
	}
	b.at = now
	b.requests.advance(now, b.limits.Span)
	b.level += rateShare * b.limits.Slack * passed.Seconds() / b.limits.Span.Seconds()
	b.clip()
}

// clip drops what is beyond the capacity.
func (b *Bucket) clip() { b.level = min(b.level, max(b.capacity()-float64(b.waiting), 0)) }

// capacity returns how many tokens can be saved up.
func (b *Bucket) capacity() float64 {
	return burstShare * (b.limits.Ratio*float64(b.requests.sum) + b.limits.Slack)
}

// requestSlots is the number of slots that a window is divided into.
const requestSlots = 20

// requestCount counts requests over a sliding window. It counts one for up to one slot less
// than the window, never longer.
type requestCount struct {
	slots [requestSlots]int
	sum   int
	// newest is the number of the newest slot, counted from the zero time.
	newest int64
}

func (c *requestCount) advance(now time.Time, span time.Duration) {
	current := now.UnixNano() / max(int64(span)/requestSlots, 1)
	if current-c.newest >= requestSlots {
		*c = requestCount{newest: current}
		return
	}
	for c.newest < current {
		c.newest++
		slot := &c.slots[c.newest%requestSlots]
		c.sum -= *slot
		*slot = 0
	}
}

func (c *requestCount) add() {
	c.slots[c.newest%requestSlots]++
	c.sum++
}
