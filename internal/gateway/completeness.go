package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/jayproxy/jayproxy/internal/lease"
)

const (
	// minProofPause is the least time between two reads that prove a copy to be complete, and
	// proofPausePerEntry what each entry adds to it: in large fleets these reads go to relays.
	minProofPause      = 50 * time.Millisecond
	proofPausePerEntry = 250 * time.Microsecond
	// relayProofTimeout bounds how long an entry waits for a read of its own before it answers
	// another that asks for recent data.
	relayProofTimeout = 300 * time.Millisecond
)

// completeness is up to which moment a copy of a table is known to be complete: it has all that
// the store had acknowledged by then. Moments are times since boot, which go on while the process
// stands still. The zero value is a copy that is not known to be complete at any moment. It is
// safe for concurrent use.
type completeness struct {
	mu   sync.Mutex
	upTo time.Time
	// servedSince is the moment since which upTo has advanced without a long pause.
	servedSince time.Time
	// wanted is the latest moment that somebody waits for; failed is when the latest attempt
	// began that neither the store nor another entry answered.
	wanted, failed time.Time
	// changed is closed at the next change of upTo or failed.
	changed chan struct{}
	// wake ends the pause before the next read.
	wake chan struct{}
}

// reach records that the copy is complete up to a moment. A long pause is one of more than pause.
func (c *completeness) reach(moment time.Time, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !moment.After(c.upTo) {
		return
	}
	if moment.Sub(c.upTo) > pause {
		c.servedSince = moment
	}
	c.upTo = moment
	c.notifyLocked()
}

// servedFor returns for how long the copy has been complete without a long pause, one of more than
// pause; 0: it is in one, or that is not known.
func (c *completeness) servedFor(now time.Time, pause time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.upTo) > pause {
		return 0
	}
	return now.Sub(c.servedSince)
}

// fail records that an attempt that began at a moment brought no proof.
func (c *completeness) fail(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if began.After(c.failed) {
		c.failed = began
		c.notifyLocked()
	}
}

func (c *completeness) notifyLocked() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// moment returns the moment up to which the copy is complete.
func (c *completeness) moment() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upTo
}

// pending reports whether somebody waits for a proof.
func (c *completeness) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wanted.After(c.upTo) && c.wanted.After(c.failed)
}

// want asks for a proof. It returns whether there is one already, whether the last attempt since
// the moment has failed, and a channel that is closed when that may have changed.
func (c *completeness) want(moment time.Time) (complete, failed bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if complete, failed = !c.upTo.Before(moment), !c.failed.Before(moment); complete || failed {
		return complete, failed, nil
	}
	if moment.After(c.wanted) {
		c.wanted = moment
	}
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	select {
	case c.wakesLocked() <- struct{}{}:
	default:
	}
	return false, false, c.changed
}

func (c *completeness) wakesLocked() chan struct{} {
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	return c.wake
}

// await reports whether the copy is complete up to a moment. It waits for a read that proves it,
// until timeout, or until the store and other entries were asked in vain.
func (c *completeness) await(ctx context.Context, moment time.Time, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		complete, failed, changed := c.want(moment)
		if complete || failed {
			return complete
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// sleep pauses before the next read. A proof that is wanted ends the pause, but not its first
// part.
func (c *completeness) sleep(ctx context.Context, pause, first time.Duration) {
	sleep(ctx, min(pause, first))
	if pause <= first || c.pending() {
		return
	}
	c.mu.Lock()
	wake := c.wakesLocked()
	c.mu.Unlock()
	timer := time.NewTimer(pause - first)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}

// proofPause returns the least time between two reads for proofs.
func (g *Gateway) proofPause() time.Duration {
	return max(minProofPause, time.Duration(g.peers.count())*proofPausePerEntry)
}

// maxReadGap is the longest time between two reads of the list in which servers do not come and go
// unseen under names that stay listed: an entry needs it to notice that the store does not answer,
// and to ask others.
func (g *Gateway) maxReadGap() time.Duration {
	return g.backendPause() + callTimeout + 2*retryPause + relayMargin
}

// readUpTo records that a table is complete up to a moment.
func (g *Gateway) readUpTo(f *feed, moment time.Time) {
	last := f.complete.moment()
	if f.table == g.ports.Decoder.BackendTable && !last.IsZero() && moment.Sub(last) > g.maxReadGap() {
		g.state.noteUnseenServers(true, 0)
	}
	f.complete.reach(moment, g.longPause())
}

// longPause is the longest time between two reads of the list that does not count as a long pause.
func (g *Gateway) longPause() time.Duration { return minOutage + g.backendPause() }

// awaitCompleteList reports whether the list of servers is complete up to a moment since boot; it
// waits for a read that began after it.
func (g *Gateway) awaitCompleteList(ctx context.Context, moment time.Time, timeout time.Duration) bool {
	return g.backends != nil && g.backends.complete.await(ctx, moment, timeout)
}

// isRecent reports whether a table is complete up to now, for another entry that asks for it. It
// waits for a read, unless the store does not answer.
func (f *feed) isRecent(ctx context.Context) bool {
	return !f.failing.Load() && f.complete.await(ctx, lease.BootClock(), relayProofTimeout)
}
