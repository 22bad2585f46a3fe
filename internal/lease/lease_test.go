package lease_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

const step = 100 * time.Millisecond

// contender is one process with a clock of its own rate and offset, whose
// calls of the table take time and get lost, and that is stopped now and then.
type contender struct {
	lease   *lease.Lease
	rate    float64
	offset  time.Duration
	stopped int // steps that it is still stopped
	answer  func()
	waits   int
}

func (c *contender) now(elapsed time.Duration) time.Time {
	return time.Unix(1000, 0).Add(c.offset + time.Duration(float64(elapsed)*c.rate))
}

// call carries an action out now and keeps its answer for later.
func (c *contender) call(t *rapid.T, table *platformtest.Memory, elapsed func() time.Duration, action *lease.Action) {
	fault := rapid.SampledFrom([]string{"", "", "", "", "lost request", "lost answer"}).Draw(t, "fault")
	c.waits = rapid.SampledFrom([]int{0, 0, 1, 3, 20, 60}).Draw(t, "answer after")
	ctx := context.Background()
	if action.Read {
		rows, err := table.Get(ctx, c.lease.Key())
		if fault != "" {
			err = platform.ErrUnavailable
		}
		c.answer = func() {
			var row *platform.Row
			if len(rows) > 0 {
				row = &rows[0]
			}
			require.NoError(t, c.lease.ReadDone(c.now(elapsed()), row, err))
		}
		return
	}
	var result platform.TxnResult
	err := platform.ErrUnknown
	if fault != "lost request" {
		result, _ = table.Commit(ctx, *action.Commit)
	}
	if fault == "" {
		err = nil
	}
	c.answer = func() { c.lease.CommitDone(c.now(elapsed()), result, err) }
}

// Orders of two holders mix and a rollout is undone half way: a holder is
// stopped, its lease lapses, another takes it, the first wakes. Whatever is
// lost, late or stopped, and with clocks that run 30% apart and show other
// times, never do two contenders believe to hold the lease at one moment, and
// fencing numbers only rise.
func TestNeverTwoHoldersAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := platformtest.New()
		elapsed := time.Duration(0)
		clock := func() time.Duration { return elapsed }
		var all []*contender
		for i := range 3 {
			all = append(all, &contender{
				lease:  lease.New("pool/p", fmt.Sprint("entry-", i), lease.DefaultSettings()),
				rate:   []float64{0.85, 1, 1.15}[i],
				offset: time.Duration(i) * 17 * time.Hour,
			})
		}
		highest := uint64(0)
		for range 600 {
			elapsed += step
			var holders []int
			for i, c := range all {
				if c.stopped > 0 {
					c.stopped--
				} else {
					c.run(t, table, clock)
				}
				if fence, held := c.lease.Held(c.now(elapsed)); held {
					holders = append(holders, i)
					require.GreaterOrEqual(t, fence, highest, "a later holder has a higher fencing number")
					highest = fence
				}
			}
			require.LessOrEqual(t, len(holders), 1, "after %v", elapsed)
		}
	})
}

func (c *contender) run(t *rapid.T, table *platformtest.Memory, elapsed func() time.Duration) {
	if c.answer != nil {
		if c.waits--; c.waits >= 0 {
			return
		}
		c.answer()
		c.answer = nil
	}
	if action := c.lease.Tick(c.now(elapsed())); action != nil {
		c.call(t, table, elapsed, action)
		if rapid.IntRange(0, 9).Draw(t, "stops") == 0 {
			c.stopped = rapid.IntRange(1, 250).Draw(t, "steps stopped")
		}
	}
}

// drive runs one contender without faults until the time.
func drive(table *platformtest.Memory, l *lease.Lease, from, to time.Time) {
	for now := from; now.Before(to); now = now.Add(step) {
		action := l.Tick(now)
		switch {
		case action == nil:
		case action.Read:
			rows, _ := table.Get(context.Background(), l.Key())
			var row *platform.Row
			if len(rows) > 0 {
				row = &rows[0]
			}
			_ = l.ReadDone(now, row, nil)
		default:
			result, err := table.Commit(context.Background(), *action.Commit)
			l.CommitDone(now, result, err)
		}
	}
}

var start = time.Unix(1000, 0)

// A holder is stopped in the middle of its work, longer than its lease. When it
// wakes it must not act, before it has read or written anything.
func TestHolderThatWakesDoesNotAct(t *testing.T) {
	table := platformtest.New()
	settings := lease.DefaultSettings()
	a, b := lease.New("p", "a", settings), lease.New("p", "b", settings)
	drive(table, a, start, start.Add(5*time.Second))
	first, held := a.Held(start.Add(5 * time.Second))
	require.True(t, held)
	drive(table, b, start.Add(4*time.Second), start.Add(40*time.Second))
	second, held := b.Held(start.Add(40 * time.Second))
	require.True(t, held, "the lease passes on")
	assert.Greater(t, second, first)
	_, held = a.Held(start.Add(40 * time.Second))
	assert.False(t, held)
	drive(table, a, start.Add(40*time.Second), start.Add(45*time.Second))
	_, held = a.Held(start.Add(45 * time.Second))
	assert.False(t, held)
}

// Work of control stands still for a lease's length at each rolling
// replacement, unless the holder gives the lease back.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	table := platformtest.New()
	a, b := lease.New("p", "a", lease.DefaultSettings()), lease.New("p", "b", lease.DefaultSettings())
	drive(table, a, start, start.Add(5*time.Second))
	release := a.Release(start.Add(5 * time.Second))
	require.NotNil(t, release)
	_, err := table.Commit(t.Context(), *release.Commit)
	require.NoError(t, err)
	_, held := a.Held(start.Add(5 * time.Second))
	assert.False(t, held)
	drive(table, b, start.Add(5*time.Second), start.Add(6*time.Second))
	_, held = b.Held(start.Add(6 * time.Second))
	assert.True(t, held)
}

// The platform loses one answer of a renewal after the write. The holder must
// neither lose the lease for it nor count time that it does not have.
func TestLostAnswerOfARenewalKeepsTheLease(t *testing.T) {
	table := platformtest.New()
	l := lease.New("p", "a", lease.DefaultSettings())
	drive(table, l, start, start.Add(1500*time.Millisecond))
	fence, held := l.Held(start.Add(1500 * time.Millisecond))
	require.True(t, held)
	lost := false
	table.OnCommit(func(platform.Txn) platformtest.Fault {
		if lost {
			return platformtest.Pass
		}
		lost = true
		return platformtest.LostAnswer
	})
	for at := 1500 * time.Millisecond; at < 60*time.Second; at += time.Second {
		drive(table, l, start.Add(at), start.Add(at+time.Second))
		again, held := l.Held(start.Add(at + time.Second))
		require.True(t, held, "after %v", at)
		require.Equal(t, fence, again)
	}
}

func FuzzRow(f *testing.F) {
	f.Add([]byte(`{"holder":"a","fence":3,"write":1}`), uint64(4))
	f.Add([]byte(`{}`), uint64(1))
	f.Fuzz(func(t *testing.T, value []byte, version uint64) {
		l := lease.New("p", "a", lease.DefaultSettings())
		l.Tick(start)
		_ = l.ReadDone(start, &platform.Row{Key: l.Key(), Value: value, Version: version}, nil)
		if _, held := l.Held(start); held {
			t.Fatal("a row alone gives nobody the lease")
		}
	})
}
