package rollout_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/rollout"
)

const (
	step     = 50 * time.Millisecond
	loadTime = 760 * time.Millisecond
	// shownAfter is how late a server's own word shows its new weights.
	shownAfter = 200 * time.Millisecond
)

// world plays servers that take orders, in virtual time.
type world struct {
	now     time.Time
	plan    *rollout.Plan
	servers []rollout.Server
	loads   map[string]time.Time
	orders  map[string]uint64
	target  map[string]uint64
	most    int
	// dead servers answer nothing.
	dead map[string]bool
	// lose tells whether an order is lost on its way.
	lose func(server string) bool
}

func newWorld(n int) *world {
	w := &world{now: time.Unix(1000, 0), plan: rollout.New(), loads: map[string]time.Time{}, orders: map[string]uint64{}, target: map[string]uint64{}, dead: map[string]bool{}}
	for i := range n {
		w.servers = append(w.servers, rollout.Server{ID: fmt.Sprintf("s%02d", i), Address: "a", Version: 1})
	}
	w.lose = func(string) bool { return false }
	return w
}

func (w *world) step(wanted uint64) []rollout.Action {
	w.now = w.now.Add(step)
	for i := range w.servers {
		s := &w.servers[i]
		if end, ok := w.loads[s.ID]; ok && !w.now.Before(end.Add(shownAfter)) {
			s.Version = w.target[s.ID]
			delete(w.loads, s.ID)
		}
	}
	actions := w.plan.Tick(w.now, wanted, w.servers)
	for _, a := range actions {
		w.carryOut(a)
	}
	w.most = max(w.most, w.loading())
	return actions
}

// loading counts the servers that load just now, whether it shows or not.
func (w *world) loading() int {
	n := 0
	for _, end := range w.loads {
		if w.now.Before(end) {
			n++
		}
	}
	return n
}

func (w *world) carryOut(a rollout.Action) {
	if w.dead[a.Server] {
		return
	}
	switch a.Kind {
	case rollout.Look:
		w.plan.ObserveState(a.Server, rollout.ServerState{Orders: w.orders[a.Server]})
	case rollout.Order:
		if w.lose(a.Server) {
			return
		}
		w.orders[a.Server]++
		w.loads[a.Server] = w.now.Add(loadTime)
		w.target[a.Server] = a.Version
	case rollout.Announce, rollout.Withdraw:
	}
}

func (w *world) oldest() uint64 {
	oldest := uint64(math.MaxUint64)
	for _, s := range w.servers {
		if !w.dead[s.ID] {
			oldest = min(oldest, s.Version)
		}
	}
	return oldest
}

func (w *world) until(t require.TestingT, wanted uint64, limit time.Duration) time.Duration {
	begun := w.now
	for w.oldest() < wanted {
		w.step(wanted)
		require.Less(t, w.now.Sub(begun), limit, "rollout takes too long")
	}
	return w.now.Sub(begun)
}

func TestTwelveServersTakeNewWeightsInSixSeconds(t *testing.T) {
	w := newWorld(12)
	took := w.until(t, 2, 7*time.Second)
	t.Logf("12 servers in %v, at most %d at once", took, w.most)
	assert.LessOrEqual(t, w.most, rollout.MaxConcurrentLoads(12)+1, "the estimated end of a load may be a little early")
}

// Requests begin on weights that were replaced more than ten seconds ago.
// Versions follow each other faster than a rollout ends, and each one began
// again with the same servers: the last ones were never reached.
func TestVersionsThatFollowFastLeaveNoServerBehind(t *testing.T) {
	w := newWorld(12)
	for version := uint64(2); version <= 6; version++ {
		for range int(4 * time.Second / step) {
			w.step(version)
		}
		assert.GreaterOrEqual(t, w.oldest()+2, version, "a server is two versions behind")
	}
}

// A server keeps old weights for good. The order to it was lost on the way;
// nobody asked again.
func TestALostOrderIsGivenAgain(t *testing.T) {
	w := newWorld(4)
	lost := 0
	w.lose = func(server string) bool {
		if server == "s01" && lost == 0 {
			lost++
			return true
		}
		return false
	}
	w.until(t, 2, 12*time.Second)
	assert.Equal(t, 1, lost)
}

// Half of the orders got no answer for some seconds, and each server of those
// stood idle for the longest time that a load may take, though it told that it
// loaded nothing.
func TestALostOrderIsGivenAgainAsSoonAsItShows(t *testing.T) {
	w := newWorld(1)
	lost := 0
	w.lose = func(string) bool { lost++; return lost == 1 }
	assert.Less(t, w.until(t, 2, 5*time.Second), 3500*time.Millisecond)
}

// A late order undoes a newer one. It was taken to be lost and given again; the
// server counts accepted orders, so the late one must carry the old count.
func TestAnOrderCarriesTheCountOfOrdersThatTheServerTold(t *testing.T) {
	w := newWorld(2)
	w.orders["s00"], w.orders["s01"] = 7, 3
	seen := map[string]int64{}
	for range 40 {
		for _, a := range w.step(2) {
			if a.Kind == rollout.Order {
				seen[a.Server] = a.Orders
			}
		}
	}
	assert.Equal(t, map[string]int64{"s00": 7, "s01": 3}, seen)
}

func TestABusyServerIsKeptFromWorkBeforeItsOrder(t *testing.T) {
	w := newWorld(2)
	for i := range w.servers {
		w.servers[i].Running = 5
	}
	var announced, ordered time.Time
	for range 40 {
		for _, a := range w.step(2) {
			if a.Kind == rollout.Announce && announced.IsZero() {
				announced = w.now
			}
			if a.Kind == rollout.Order && ordered.IsZero() {
				ordered = w.now
			}
		}
	}
	assert.GreaterOrEqual(t, ordered.Sub(announced), 250*time.Millisecond)
}

// TestNeverTwoOrdersAtOnceForAServer draws losses and numbers of servers.
func TestEveryRolloutEndsWhateverOrdersAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 30).Draw(t, "servers"))
		losses := rapid.IntRange(0, 4).Draw(t, "losses")
		w.lose = func(string) bool { losses--; return losses >= 0 }
		w.until(t, 2, 40*time.Second)
	})
}

// While new weights went round, two fifths of the engines got no work: as many
// as loaded were kept from it in advance, for a whole load, though they run dry
// in a third of that.
func TestFewServersAreKeptFromWorkAhead(t *testing.T) {
	w := newWorld(50)
	atOnce, idle, ticks := rollout.MaxConcurrentLoads(50), 0, 0
	held := map[string]bool{}
	for w.servers[0].Version < 2 || len(held) > 0 {
		for _, a := range w.step(2) {
			switch a.Kind {
			case rollout.Announce:
				held[a.Server] = true
			case rollout.Order, rollout.Withdraw:
				delete(held, a.Server)
			case rollout.Look:
			}
		}
		idle += len(held)
		ticks++
		require.Less(t, ticks, 1000)
	}
	assert.Less(t, float64(idle)/float64(ticks), 0.6*float64(atOnce))
}

// A third of the engines crashed while new weights went round, and stayed
// listed. As many of them as may load at once were announced and asked for
// their state, without an answer: for three seconds no living engine was
// ordered, with all of them on weights that had been replaced.
func TestDeadServersHoldNoPlaceInARollout(t *testing.T) {
	w := newWorld(18)
	for i := range 6 {
		w.dead[w.servers[i].ID] = true
	}
	alive := w.until(t, 2, 8*time.Second)
	all := newWorld(12)
	assert.LessOrEqual(t, alive, all.until(t, 2, 8*time.Second)+1500*time.Millisecond)
}

// An engine that is thought dead, by a failure of its network, takes new
// weights in the end.
func TestAServerThatAnswersAgainTakesNewWeights(t *testing.T) {
	w := newWorld(6)
	w.dead["s00"] = true
	for range 100 {
		w.step(2)
	}
	w.dead["s00"] = false
	w.until(t, 2, 4*time.Second)
}
