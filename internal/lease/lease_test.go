package lease_test

import (
	"context"
	"fmt"
	"strings"
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

// contender is one process with its own clock rate and offset. Its calls to the
// table are delayed or lost, and the process is paused at times.
type contender struct {
	lease  *lease.Lease
	rate   float64
	offset time.Duration
	paused int // steps until the process goes on
	// answer delivers the result of the call in flight, after waits steps.
	answer func()
	waits  int
}

func (c *contender) now(elapsed time.Duration) time.Time {
	return time.Unix(1000, 0).Add(c.offset + time.Duration(float64(elapsed)*c.rate))
}

// call carries an action out at once and stores its answer for later delivery.
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

// Guards against two holders at the same time, whatever calls are lost or delayed, whichever
// processes are paused, and with clocks that differ by 30% in rate. Fencing numbers never decrease.
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
				if c.paused > 0 {
					c.paused--
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
		if rapid.IntRange(0, 9).Draw(t, "pause") == 0 {
			c.paused = rapid.IntRange(1, 250).Draw(t, "steps paused")
		}
	}
}

// drive runs one contender without faults, from one time to another.
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

// Guards against a holder that still acts when it resumes after a pause longer than
// its lease, before it has read or written the row.
func TestAHolderDoesNotActAfterALongPause(t *testing.T) {
	table := platformtest.New()
	settings := lease.DefaultSettings()
	a, b := lease.New("p", "a", settings), lease.New("p", "b", settings)
	drive(table, a, start, start.Add(5*time.Second))
	first, held := a.Held(start.Add(5 * time.Second))
	require.True(t, held)
	drive(table, b, start.Add(4*time.Second), start.Add(40*time.Second))
	second, held := b.Held(start.Add(40 * time.Second))
	require.True(t, held, "another contender takes the lease")
	assert.Greater(t, second, first)
	_, held = a.Held(start.Add(40 * time.Second))
	assert.False(t, held)
	drive(table, a, start.Add(40*time.Second), start.Add(45*time.Second))
	_, held = a.Held(start.Add(45 * time.Second))
	assert.False(t, held)
}

// Guards against a pause of the length of the TTL each time a holder is replaced
// on purpose.
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

// The store loses one answer to a renewal after it has carried the write out. The
// holder must keep the lease, and its fencing number.
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

// Guards against a lease that nobody gets any more after another writer has left a row that
// can't be decoded in its place.
func TestALeaseWithAnOddRowLapses(t *testing.T) {
	for _, value := range []string{"broken", "null", `{"holder":"x","fence":1e400}`, `{"holder":7}`, strings.Repeat("[", 20_000)} {
		table, settings := platformtest.New(), lease.DefaultSettings()
		a, b := lease.New("p", "a", settings), lease.New("p", "b", settings)
		drive(table, a, start, start.Add(time.Second))
		before, held := a.Held(start.Add(time.Second))
		require.True(t, held)
		_, err := table.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: a.Key(), Value: []byte(value)}}})
		require.NoError(t, err)
		odd := start.Add(time.Second)
		fence := uint64(0)
		for now := odd; now.Before(odd.Add(3*settings.TTL)) && fence == 0; now = now.Add(step) {
			drive(table, b, now, now.Add(step))
			fence, _ = b.Held(now.Add(step))
			if _, held := a.Held(now.Add(step)); held {
				require.Zero(t, fence, "two hold the lease")
			}
		}
		assert.Greater(t, fence, before, value[:min(len(value), 40)])
	}
}

func FuzzRow(f *testing.F) {
	f.Add([]byte(`{"holder":"a","fence":3,"write":1}`), uint64(4))
	f.Add([]byte(`{}`), uint64(1))
	f.Add([]byte(`{"holder":"a","fence":1e400}`), uint64(1<<64-1))
	f.Fuzz(func(t *testing.T, value []byte, version uint64) {
		l := lease.New("p", "a", lease.DefaultSettings())
		l.Tick(start)
		_ = l.ReadDone(start, &platform.Row{Key: l.Key(), Value: value, Version: version}, nil)
		if _, held := l.Held(start); held {
			t.Fatal("a contender holds the lease after a read alone")
		}
	})
}
