// Package quota enforces the usage caps of workspaces over the whole fleet. It does no
// I/O, starts no goroutine and reads no clock; callers provide the locking and the
// transport of messages.
//
// A Limiter works without messages: each of N entries enforces 1/N of every limit.
//
// A Borrower and a Lender enforce a Cap together, for load that is spread unevenly: a
// workspace's callers often reach only a few entries, and one prompt can be larger than
// an entry's part of the cap. One entry, the lender, knows what every entry has admitted
// in the last window. It decides on requests of other entries, and lends each entry
// that needs it a credit line, from which the entry admits requests without a message.
//
// Guarantee. Let B be Bounds.budget: the units that may be admitted in one window, plus
// a part of the tolerance. A lender keeps
//
//	sum over live members of (used + lent) + sum over all other entries of
//	max(B/N, what each was last known to have used and borrowed) <= B
//
// and an entry without a lender admits at most its part of what was left of B at its
// lender's last answer, and of what has left the window since. So at most B are admitted
// in any window, in any number of parts that are cut off from each other, as long as
// usage is known. Usage is forgotten when a process ends. The lender still counts it while
// it lives itself. If it ends at the same time, its successor starts from the total in the
// last answers to its members, with little in its bucket. If all counts are lost, a window
// that spans the loss holds at most Rate*window, 1.15 times the bucket's depth, and a quarter
// of it in credit lines. The rest of the tolerance covers that, reports on their way, and entries that count
// different numbers of entries for a while.
//
// Shape. Within the budget the lender keeps a token bucket, so that a workspace over its
// cap is served evenly. It fills at Cap.Rate, and from full to empty it adds to that what
// the budget of one window allows. A request is admitted while the level is above the
// reserve of its priority, and may overdraw it: long prompts are not starved by short
// calls, which wait only until the debt is repaid.
package quota

import (
	"math"
	"time"
)

// Account identifies one capped quantity of one workspace.
type Account uint32

// Cap is the declared usage cap of an account, for the whole fleet.
type Cap struct {
	// Rate is in units per second; 0: no cap.
	Rate float64
	// Burst is in units. It may be 0.
	Burst float64
}

// Limited reports whether there is a cap.
func (c Cap) Limited() bool { return c.Rate > 0 }

// Bounds say how exactly the fleet must keep caps.
type Bounds struct {
	// Window is the length of the time over which usage is counted.
	Window time.Duration
	// Overshoot, as a share of what a cap allows in a window, and Slack, in units, may
	// be admitted beyond it.
	Overshoot float64
	Slack     float64
}

// toleranceShare is the part of the permitted excess that is lent. The rest covers
// what is not known at once.
const toleranceShare = 0.4

// budget returns how many units all entries together admit at most in a window.
func (b Bounds) budget(c Cap) float64 {
	declared := c.Rate*b.Window.Seconds() + c.Burst
	return declared + toleranceShare*(declared*b.Overshoot+b.Slack)
}

// depth returns the size of an account's bucket. A full bucket that is emptied at once
// and drained at the rate from then on uses the budget of a window.
func (b Bounds) depth(c Cap) float64 { return b.budget(c) - c.Rate*b.Window.Seconds() }

// remaining returns how much of a total, used in a window that ended age ago, may still
// be in the window that ends now. It is all of it, unless the bucket cannot have let so
// much through since.
func (b Bounds) remaining(c Cap, total float64, age time.Duration) float64 {
	if age >= b.Window {
		return 0
	}
	return min(total, c.Rate*(b.Window-age).Seconds()+b.depth(c))
}

const (
	// loanTime is how long a credit line is valid.
	loanTime = 4 * time.Second
	// minRetryAfter is the least retry delay.
	minRetryAfter = 60 * time.Millisecond
)

// perSecond returns how long it takes until n units have accumulated at a rate.
func perSecond(n, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(n / rate * float64(time.Second)))
}
