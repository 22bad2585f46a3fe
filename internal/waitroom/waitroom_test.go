package waitroom_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
	"github.com/jayproxy/jayproxy/internal/waitroom"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// request with a second to be in time and ten until its deadline.
func request(id string, urgency int, arrived time.Duration) waitroom.Request {
	return waitroom.Request{
		ID: id, Priority: urgency, Arrived: after(arrived), Prefill: 200 * time.Millisecond,
		FirstTokenTarget: after(arrived + time.Second), Deadline: after(arrived + 10*time.Second),
	}
}

func enter(t *testing.T, room *waitroom.Queue, requests ...waitroom.Request) {
	t.Helper()
	for _, r := range requests {
		_, ok := room.Add(r.Arrived, r)
		require.True(t, ok)
	}
}

// served lists those that the room tries to place, in order.
func served(room *waitroom.Queue, at time.Duration, place bool) (ids []string, anyway []bool) {
	room.Dispatch(after(at), func(id string, must bool) bool {
		ids, anyway = append(ids, id), append(anyway, must)
		return place
	})
	return ids, anyway
}

func TestTheUrgentGoFirstThenThoseThatCameFirst(t *testing.T) {
	room := waitroom.New()
	enter(t, room, request("b1", 1, 0), request("b2", 1, 10*time.Millisecond), request("a", 0, 20*time.Millisecond))
	ids, _ := served(room, 30*time.Millisecond, true)
	assert.Equal(t, []string{"a", "b1", "b2"}, ids)
	assert.Zero(t, room.Len())
}

// In a long row the first are late already, and serving them first makes all
// behind them late as well, each for a third of its worth.
func TestWhoIsLateAnywayLetsOthersBeInTime(t *testing.T) {
	room := waitroom.New()
	enter(t, room, request("late", 1, 0), request("in time", 1, 700*time.Millisecond))
	ids, _ := served(room, 900*time.Millisecond, true)
	assert.Equal(t, []string{"in time", "late"}, ids)
}

// A large prompt at the head of the row found no room for seconds, while small
// ones behind it would have.
func TestOneThatFindsNoRoomDoesNotStopTheNext(t *testing.T) {
	room := waitroom.New()
	enter(t, room, request("large", 1, 0), request("small", 1, time.Millisecond))
	room.Dispatch(after(10*time.Millisecond), func(id string, _ bool) bool { return id == "small" })
	assert.Equal(t, 1, room.Len())
	assert.True(t, room.Remove("large"))
	assert.False(t, room.Remove("small"))
}

func TestAFullFleetIsNotSearchedForEach(t *testing.T) {
	room := waitroom.New()
	for i := range 50 {
		enter(t, room, request(fmt.Sprint(i), i%2, time.Duration(i)*time.Millisecond))
	}
	ids, _ := served(room, 100*time.Millisecond, false)
	assert.Len(t, ids, 8, "four of each urgency")
}

// A request waited until its caller's time was over and was refused then,
// without having been offered to any server.
func TestWhoWaitedLongEnoughIsSentAnyway(t *testing.T) {
	room := waitroom.New()
	enter(t, room, request("a", 1, 0))
	_, anyway := served(room, 8900*time.Millisecond, false)
	assert.Equal(t, []bool{false}, anyway)
	_, anyway = served(room, 9*time.Second, false)
	assert.Equal(t, []bool{true}, anyway)
	assert.Zero(t, room.Len())
}

// More came than the fleet could take, for good: all waited as long as they
// could and then failed. New ones must hear it at once, while they can come back.
func TestNewOnesAreTurnedAwayAfterOneWaitedInVain(t *testing.T) {
	room := waitroom.New()
	enter(t, room, request("a", 1, 0))
	served(room, 9*time.Second, false)
	back, ok := room.Add(after(9100*time.Millisecond), request("b", 1, 9100*time.Millisecond))
	assert.False(t, ok)
	assert.Equal(t, 900*time.Millisecond, back)
	_, ok = room.Add(after(9100*time.Millisecond), request("urgent", 0, 9100*time.Millisecond))
	assert.True(t, ok, "what is more urgent is served before them")
	_, ok = room.Add(after(10*time.Second), request("c", 1, 10*time.Second))
	assert.True(t, ok, "it may have passed")
}

// Requests that could not be in time any more waited behind others that had not
// been served for seconds, and were left by their callers. They must hear at the
// moment at which they become late that there is no hope, and not later.
func TestWhoBecomesLateBehindOthersIsTurnedAwayAtOnce(t *testing.T) {
	room := waitroom.New()
	enter(t, room, request("first", 1, 0))
	assert.Empty(t, room.Dispatch(after(900*time.Millisecond), noRoom), "nobody is late before it")
	enter(t, room, request("second", 1, 2*time.Second), request("urgent", 0, 2*time.Second))
	assert.Empty(t, room.Dispatch(after(2500*time.Millisecond), noRoom), "it may still be in time")
	assert.Equal(t, []string{"second"}, room.Dispatch(after(2900*time.Millisecond), noRoom))
	assert.Equal(t, 2, room.Len(), "who is late already keeps its turn, others have their own row")
}

func noRoom(string, bool) bool { return false }

// Whatever comes and goes: each request that was let in is placed once, at the
// latest when its wait is over, or leaves.
func TestEachRequestIsPlacedOnceInItsTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room, inside := waitroom.New(), map[string]waitroom.Request{}
		now := time.Duration(0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond
			r := request(fmt.Sprint(step), rapid.IntRange(0, 3).Draw(t, "urgency"), now)
			if _, ok := room.Add(after(now), r); ok {
				inside[r.ID] = r
			}
			free := rapid.IntRange(0, 3).Draw(t, "free")
			away := room.Dispatch(after(now), func(id string, anyway bool) bool {
				waiting, ok := inside[id]
				if !ok {
					t.Fatalf("%s was placed twice", id)
				}
				if until := waiting.SendAt(); anyway != !after(now).Before(until) {
					t.Fatalf("%s: anyway %v at %v, until %v", id, anyway, now, until)
				}
				if !anyway && free == 0 {
					return false
				}
				free = max(0, free-1)
				delete(inside, id)
				return true
			})
			for _, id := range away {
				if _, ok := inside[id]; !ok {
					t.Fatalf("%s was turned away though it did not wait", id)
				}
				delete(inside, id)
			}
			if len(inside) != room.Len() {
				t.Fatalf("%d inside, %d in the room", len(inside), room.Len())
			}
		}
	})
}
