// Package bodymemory divides the memory that a process has for request bodies among requests.
// It does no I/O, starts no goroutine and reads no clock.
//
// Bodies are small or large (over SmallBytes). Large ones wait for each other in order and may
// use LargeShare of the memory, so that they do not hold up small ones. Small ones leave room
// for one body of the largest size, so that large ones always go on. A claim is granted whole
// or not at all: a body that is being read never waits for more memory while another waits for
// its part, except that one without a length may hold SmallBytes while it waits for the rest.
package bodymemory

import (
	"math"
	"slices"
	"time"
)

const (
	// SmallBytes is the size up to which a body is small.
	SmallBytes = 128 << 10
	// LargeShare is the part of the memory that large bodies may use.
	LargeShare = 0.75
	// MinRate is the least rate, in bytes per second, at which a large body must arrive while
	// others wait for its memory.
	MinRate = 256 << 10
	// RateGrace is the time at the beginning of a body that does not count for its rate.
	RateGrace = time.Second
)

// Verdict is the answer to a claim.
type Verdict int

// The verdicts.
const (
	// Granted: the memory is held.
	Granted Verdict = iota
	// Waiting: the claim is granted by a later call, or withdrawn.
	Waiting
	// Full: as much as can be granted at once waits already.
	Full
	// TooLarge: the claim can never be granted.
	TooLarge
)

var verdictNames = [...]string{"granted", "waiting", "full", "too large"}

// String returns the name for logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

type class int

const (
	small class = iota
	large
	classes
)

func classOf(size int64) class {
	if size > SmallBytes {
		return large
	}
	return small
}

// Claim is the memory of one request. The zero value holds none.
type Claim struct {
	held [classes]int64
	// asked is what it waits for; 0: it does not wait.
	asked int64
	// readSince is when its body began to be read; zero: it is not read. received are the
	// bytes that have arrived.
	readSince time.Time
	received  int64
}

// Held returns the bytes that the claim holds.
func (c *Claim) Held() int64 { return c.held[small] + c.held[large] }

// IsWaiting reports whether the claim waits.
func (c *Claim) IsWaiting() bool { return c.asked > 0 }

// Budget is the memory for request bodies. It is not safe for concurrent use.
type Budget struct {
	total, largest int64

	limits  [classes]int64
	held    [classes]int64
	queues  [classes][]*Claim
	reading map[*Claim]bool
}

// New returns a budget of total bytes; 0: without a bound. Small bodies leave room for one of
// the largest bytes.
func New(total, largest int64) *Budget {
	b := &Budget{reading: map[*Claim]bool{}, largest: largest}
	b.SetTotal(total)
	return b
}

// SetTotal changes the memory for bodies; 0: it has no bound. What is held beyond it stays held.
func (b *Budget) SetTotal(total int64) {
	if total <= 0 {
		total = math.MaxInt64
	}
	b.total = total
	b.SetLargest(b.largest)
}

// SetLargest changes the size of the largest body; 0: it is not known.
func (b *Budget) SetLargest(largest int64) {
	b.largest = largest
	b.limits[large] = int64(float64(b.total) * LargeShare)
	b.limits[small] = b.total - min(largest, b.total/2)
}

// Configured returns the size of the largest body, as it was set.
func (b *Budget) Configured() int64 { return b.largest }

// Largest returns the claim for a body without a length: as much as the largest body may have;
// 0: that is not known.
func (b *Budget) Largest() int64 { return min(b.largest, b.limits[large]) }

// Held returns the bytes that all claims hold.
func (b *Budget) Held() int64 { return b.held[small] + b.held[large] }

// Asked returns the bytes for which claims wait.
func (b *Budget) Asked() int64 { return b.asked(small) + b.asked(large) }

func (b *Budget) asked(of class) (sum int64) {
	for _, c := range b.queues[of] {
		sum += c.asked
	}
	return sum
}

func (b *Budget) fits(of class, size int64) bool {
	return size <= b.limits[of]-b.held[of] && size <= b.total-b.Held()
}

// Claim asks for size bytes in addition to those that the claim holds.
func (b *Budget) Claim(c *Claim, size int64) Verdict {
	of := classOf(size)
	switch {
	case size > b.limits[of]:
		return TooLarge
	case len(b.queues[of]) == 0 && b.fits(of, size):
		b.grant(c, of, size)
		return Granted
	case b.asked(of) > b.limits[of]-size:
		return Full
	}
	c.asked = size
	b.queues[of] = append(b.queues[of], c)
	return Waiting
}

// TryClaim is like Claim, but does not wait. It reports whether the memory is held.
func (b *Budget) TryClaim(c *Claim, size int64) bool {
	of := classOf(size)
	if len(b.queues[of]) > 0 || !b.fits(of, size) {
		return false
	}
	b.grant(c, of, size)
	return true
}

func (b *Budget) grant(c *Claim, of class, size int64) {
	c.held[of] += size
	b.held[of] += size
}

// grantWaiting grants what waits, in order, and returns the claims that no longer wait.
func (b *Budget) grantWaiting() (granted []*Claim) {
	for of := range classes {
		for len(b.queues[of]) > 0 && b.fits(of, b.queues[of][0].asked) {
			c := b.queues[of][0]
			b.queues[of] = b.queues[of][1:]
			b.grant(c, of, c.asked)
			c.asked = 0
			granted = append(granted, c)
		}
	}
	return granted
}

// ShrinkTo lets the claim hold no more than size bytes, and returns the claims that are granted
// by that.
func (b *Budget) ShrinkTo(c *Claim, size int64) (granted []*Claim) {
	for of := range classes {
		over := min(max(c.Held()-size, 0), c.held[of])
		c.held[of] -= over
		b.held[of] -= over
	}
	return b.grantWaiting()
}

// Release ends the claim, whether it waits or holds memory, and returns the claims that are
// granted by that.
func (b *Budget) Release(c *Claim) (granted []*Claim) {
	of := classOf(c.asked)
	b.queues[of] = slices.DeleteFunc(b.queues[of], func(other *Claim) bool { return other == c })
	c.asked = 0
	b.EndReading(c)
	return b.ShrinkTo(c, 0)
}

// BeginReading says that the body begins to be read.
func (b *Budget) BeginReading(c *Claim, now time.Time) {
	c.readSince = now
	b.reading[c] = true
}

// Received says that bytes of the body have arrived.
func (b *Budget) Received(c *Claim, bytes int) { c.received += int64(bytes) }

// EndReading says that the body is read no more.
func (b *Budget) EndReading(c *Claim) { delete(b.reading, c) }

// Slow returns the claims whose bodies arrive so slowly that they must give way to large bodies
// that wait.
func (b *Budget) Slow(now time.Time) (slow []*Claim) {
	if len(b.queues[large]) == 0 {
		return nil
	}
	for c := range b.reading {
		due := MinRate * (now.Sub(c.readSince) - RateGrace).Seconds()
		if c.held[large] > 0 && float64(c.received) < due {
			slow = append(slow, c)
		}
	}
	return slow
}
