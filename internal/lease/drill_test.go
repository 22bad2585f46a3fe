package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/platform"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

// drillSettings are short in steps, so that a run has many holders.
var drillSettings = lease.Settings{TTL: 2 * time.Second, Margin: 600 * time.Millisecond, Renew: 400 * time.Millisecond, Watch: 200 * time.Millisecond}

// drillContender is one process with its own clock, which starts anew at times.
type drillContender struct {
	client drillClient
	lease  *lease.Lease
	rate   float64
	offset time.Duration
	paused int // steps until the process goes on
	// answer delivers the result of the call in flight, after waits steps.
	answer func(now time.Time)
	waits  int
}

func (c *drillContender) now(elapsed time.Duration) time.Time {
	return time.Unix(1000, 0).Add(c.offset + time.Duration(float64(elapsed)*c.rate))
}

func (c *drillContender) start(store *drillStore, name string) {
	c.client = drillClient{store: store}
	c.lease = lease.New("rollout", name, drillSettings)
	c.paused, c.answer = 0, nil
}

// call carries an action out now, or keeps it for later, and stores its answer.
func (c *drillContender) call(t *rapid.T, action *lease.Action) {
	fault := rapid.SampledFrom([]string{"", "", "", "", "", "lost request", "lost answer"}).Draw(t, "fault")
	c.waits = rapid.SampledFrom([]int{0, 0, 0, 0, 1, 3, 12}).Draw(t, "answer after")
	if action.Read {
		row := c.client.get(c.lease.Key())
		var err error
		if fault != "" {
			err = platform.ErrUnavailable
		}
		c.answer = func(now time.Time) { require.NoError(t, c.lease.ReadDone(now, row, err)) }
		return
	}
	result, err := c.client.commit(*action.Commit, fault == "lost request", fault == "lost answer")
	c.answer = func(now time.Time) { c.lease.CommitDone(now, result, err) }
}

func (c *drillContender) run(t *rapid.T, now time.Time) {
	if c.paused > 0 {
		c.paused--
		return
	}
	if c.answer != nil {
		if c.waits--; c.waits >= 0 {
			return
		}
		c.answer(now)
		c.answer = nil
	}
	if action := c.lease.Tick(now); action != nil {
		c.call(t, action)
		if rapid.IntRange(0, 19).Draw(t, "pause") == 0 {
			c.paused = rapid.IntRange(1, 40).Draw(t, "steps paused")
		}
	}
}

// disturb lets the store or one contender fail at times.
func disturb(t *rapid.T, store *drillStore, all []*drillContender, elapsed time.Duration, starts *int) {
	switch rapid.IntRange(0, 79).Draw(t, "event") {
	case 0:
		store.restore(rapid.SampledFrom([]int{0, 1, 2, 4, 1000}).Draw(t, "copies back"))
	case 1, 2, 3, 4, 5, 6:
		store.save()
	case 7, 8, 9, 10:
		store.write()
	case 11, 12, 13, 14, 15, 16, 17, 18, 19, 20:
		if n := len(store.late); n > 0 {
			store.applyLate(rapid.IntRange(0, n-1).Draw(t, "late"))
		}
	case 21, 22:
		c := all[rapid.IntRange(0, len(all)-1).Draw(t, "restarts")]
		if c.answer == nil {
			if release := c.lease.Release(c.now(elapsed)); release != nil {
				_, _ = c.client.commit(*release.Commit, rapid.Bool().Draw(t, "release late"), false)
			}
		}
		*starts++
		c.start(store, fmt.Sprint("entry-", *starts))
	}
}

// Guards against two holders at once, a fencing number held twice, and one below an earlier
// one, over drills in which the store comes back from a copy: with lost answers, writes
// that are carried out late, releases, pauses, starts, and clocks that differ by 30% in rate.
func TestNeverTwoHoldersOverDrills(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		store := newDrillStore()
		var all []*drillContender
		starts := 0
		for i := range 3 {
			c := &drillContender{rate: []float64{0.85, 1, 1.15}[i], offset: time.Duration(i) * 17 * time.Hour}
			starts++
			c.start(store, fmt.Sprint("entry-", starts))
			all = append(all, c)
		}
		highest, holderOf := uint64(0), map[uint64]*lease.Lease{}
		for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += step {
			disturb(t, store, all, elapsed, &starts)
			holders := 0
			for _, c := range all {
				c.run(t, c.now(elapsed))
				fence, ok := c.lease.Held(c.now(elapsed))
				if !ok {
					continue
				}
				holders++
				held++
				require.GreaterOrEqual(t, fence, highest, "after %v: a later holder has a higher fencing number", elapsed)
				highest = fence
				if holderOf[fence] == nil {
					holderOf[fence] = c.lease
				}
				require.Same(t, holderOf[fence], c.lease, "after %v: fencing number %d held twice", elapsed, fence)
			}
			require.LessOrEqual(t, holders, 1, "after %v", elapsed)
		}
	})
	assert.Positive(t, held)
}

// drillLease is a contender without faults.
type drillLease struct {
	*lease.Lease
	client drillClient
}

func newDrillLease(store *drillStore, name string) *drillLease {
	return &drillLease{Lease: lease.New("rollout", name, drillSettings), client: drillClient{store: store}}
}

// step runs the contender once.
func (l *drillLease) step(now time.Time) {
	action := l.Tick(now)
	switch {
	case action == nil:
	case action.Read:
		_ = l.ReadDone(now, l.client.get(l.Key()), nil)
	default:
		result, err := l.client.commit(*action.Commit, false, false)
		l.CommitDone(now, result, err)
	}
}

// driveAll runs contenders side by side from one time to another.
func driveAll(from, to time.Duration, all ...*drillLease) {
	for at := from; at < to; at += step {
		for _, l := range all {
			l.step(start.Add(at))
		}
	}
}

func (l *drillLease) holds(at time.Duration) bool {
	_, held := l.Held(start.Add(at))
	return held
}

// Guards against a lease that nobody takes any more: its row is gone, and the contenders
// that knew the row write over a version that the store doesn't have.
func TestLeaseIsTakenAgainWhenItsRowIsGone(t *testing.T) {
	store := newDrillStore()
	a, b := newDrillLease(store, "a"), newDrillLease(store, "b")
	driveAll(0, 3*time.Second, a, b)
	before, held := a.Held(start.Add(3 * time.Second))
	require.True(t, held)
	store.restore(len(store.copies))
	driveAll(3*time.Second, 9*time.Second, b)
	after, held := b.Held(start.Add(9 * time.Second))
	require.True(t, held)
	assert.Greater(t, after, before, "the store's counter went back")
}

// Guards against a holder that keeps acting after the drill in which its row was lost.
func TestHolderStopsWhenItsRowIsGone(t *testing.T) {
	store := newDrillStore()
	a := newDrillLease(store, "a")
	driveAll(0, 3*time.Second, a)
	require.True(t, a.holds(3*time.Second))
	store.restore(len(store.copies))
	driveAll(3*time.Second, 3*time.Second+drillSettings.Renew+step, a)
	assert.False(t, a.holds(3*time.Second+drillSettings.Renew+step))
}

// Guards against a contender that starts in the drill and takes a lease whose row the copy
// lacks, or has as released before it was taken, while the holder still may act.
func TestStartingContenderWaitsForTheHolderBeforeTheDrill(t *testing.T) {
	for _, released := range []bool{false, true} {
		t.Run(fmt.Sprint("released row ", released), func(t *testing.T) {
			store := newDrillStore()
			if released {
				first := newDrillLease(store, "first")
				driveAll(0, 3*time.Second, first)
				release := first.Release(start.Add(3 * time.Second))
				require.NotNil(t, release)
				_, err := first.client.commit(*release.Commit, false, false)
				require.NoError(t, err)
				store.save()
			}
			a := newDrillLease(store, "a")
			driveAll(3*time.Second, 9*time.Second, a)
			require.True(t, a.holds(9*time.Second), "before the drill")
			store.restore(0)
			b := newDrillLease(store, "b")
			driveAll(9*time.Second, 9*time.Second+drillSettings.TTL-step, b)
			assert.False(t, b.holds(9*time.Second+drillSettings.TTL-step), "the holder may be out of touch with the store")
			driveAll(9*time.Second+drillSettings.TTL-step, 15*time.Second, b)
			assert.True(t, b.holds(15*time.Second))
			assert.True(t, b.Inherited())
		})
	}
}

// deliverLate carries out a write of the era before, whose version the row has by chance.
func (s *drillStore) deliverLate(key string) {
	s.late[0].Conditions[0].Version = s.rows[key].Version
	s.applyLate(0)
}

// Guards against a holder of the era before that takes its own late write over the row of
// the present holder for a renewal, and acts under its old fencing number.
func TestLateRenewalAfterADrillExtendsNothing(t *testing.T) {
	store := newDrillStore()
	a, b := newDrillLease(store, "a"), newDrillLease(store, "b")
	driveAll(0, 3*time.Second, a)
	store.restore(len(store.copies))
	renewal := a.Tick(start.Add(3800 * time.Millisecond)) // resumes after a pause
	require.NotNil(t, renewal.Commit)
	_, err := a.client.commit(*renewal.Commit, true, false)
	a.CommitDone(start.Add(3800*time.Millisecond), platform.TxnResult{}, err)
	driveAll(3*time.Second, 4400*time.Millisecond, b)
	store.deliverLate(a.Key())
	driveAll(4400*time.Millisecond, 4600*time.Millisecond, a)
	require.False(t, a.holds(4600*time.Millisecond))
	of, held := b.Held(start.Add(5150 * time.Millisecond))
	require.True(t, held, "until its next renewal")
	driveAll(4600*time.Millisecond, 9*time.Second, a)
	fence, held := a.Held(start.Add(9 * time.Second))
	require.True(t, held)
	assert.Greater(t, fence, of, "it takes the lease anew")
}

// Guards against a second holder because the release of an earlier one is carried out over
// the row of the present one, after a drill.
func TestLateReleaseAfterADrillFreesNothing(t *testing.T) {
	store := newDrillStore()
	a, b, c := newDrillLease(store, "a"), newDrillLease(store, "b"), newDrillLease(store, "c")
	driveAll(0, 3*time.Second, a)
	release := a.Release(start.Add(3 * time.Second))
	_, err := a.client.commit(*release.Commit, true, false)
	require.ErrorIs(t, err, platform.ErrUnknown)
	store.restore(len(store.copies))
	driveAll(3*time.Second, 6*time.Second, b, c)
	require.True(t, b.holds(6*time.Second))
	store.deliverLate(a.Key())
	driveAll(6*time.Second, 6300*time.Millisecond, c)
	assert.False(t, c.holds(6300*time.Millisecond), "b may act until its next renewal")
}
