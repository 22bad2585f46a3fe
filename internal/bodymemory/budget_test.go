package bodymemory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/bodymemory"
)

const (
	mega     = 1 << 20
	total    = 44 * mega
	largest  = 4 * mega
	ordinary = 12_000
)

// claims asks for size bytes n times and returns the verdicts' counts and the claims.
func claims(b *bodymemory.Budget, size int64, n int) (map[bodymemory.Verdict]int, []*bodymemory.Claim) {
	counts, all := map[bodymemory.Verdict]int{}, make([]*bodymemory.Claim, n)
	for i := range all {
		all[i] = &bodymemory.Claim{}
		counts[b.Claim(all[i], size)]++
	}
	return counts, all
}

func TestLargeBodiesWaitForEachOtherAndLeaveRoomForSmallOnes(t *testing.T) {
	b := bodymemory.New(total, largest)
	counts, all := claims(b, largest, 31)
	assert.Equal(t, map[bodymemory.Verdict]int{bodymemory.Granted: 8, bodymemory.Waiting: 8, bodymemory.Full: 15}, counts)
	counts, _ = claims(b, ordinary, 800)
	assert.Equal(t, 800, counts[bodymemory.Granted])
	assert.Equal(t, []*bodymemory.Claim{all[8]}, b.Release(all[0]), "the first that waits is next")
	assert.Nil(t, b.Release(all[9]), "one that gives up")
	assert.Equal(t, []*bodymemory.Claim{all[10]}, b.Release(all[1]))
}

func TestSmallBodiesLeaveRoomForALargeOne(t *testing.T) {
	b := bodymemory.New(total, largest)
	counts, _ := claims(b, bodymemory.SmallBytes, 1000)
	assert.Equal(t, int((total-largest)/bodymemory.SmallBytes), counts[bodymemory.Granted])
	assert.Equal(t, bodymemory.Granted, b.Claim(&bodymemory.Claim{}, largest))
}

// Guards against bodies without a length that wait for each other for good: each holds what it
// has read and needs more.
func TestBodiesWithoutALengthDoNotBlockEachOther(t *testing.T) {
	b := bodymemory.New(total, largest)
	_, all := claims(b, bodymemory.SmallBytes, int((total-largest)/bodymemory.SmallBytes))
	waiting, done := 0, 0
	var granted []*bodymemory.Claim
	for _, c := range all {
		switch b.Claim(c, largest) {
		case bodymemory.Granted:
			granted = append(granted, c)
		case bodymemory.Waiting:
			waiting++
		case bodymemory.Full:
			granted = append(granted, b.Release(c)...)
		case bodymemory.TooLarge:
			assert.Fail(t, "the largest body is too large")
		}
	}
	for len(granted) > 0 {
		c := granted[0]
		granted = append(granted[1:], b.Release(c)...)
		done++
	}
	assert.Positive(t, waiting)
	assert.GreaterOrEqual(t, done, waiting)
	assert.Zero(t, b.Held()+b.Asked())
}

func TestABodyThatNeverFitsIsRejectedAtOnce(t *testing.T) {
	b := bodymemory.New(4*mega, 16*mega)
	assert.Equal(t, bodymemory.TooLarge, b.Claim(&bodymemory.Claim{}, 16*mega))
	assert.Equal(t, bodymemory.Granted, b.Claim(&bodymemory.Claim{}, ordinary))
}

func TestWithoutABoundAllAreGranted(t *testing.T) {
	counts, _ := claims(bodymemory.New(0, largest), 64*mega, 1000)
	assert.Equal(t, 1000, counts[bodymemory.Granted])
}

// Guards against callers that send slowly and hold the memory that others wait for.
func TestSlowBodiesGiveWayWhileOthersWait(t *testing.T) {
	b := bodymemory.New(total, largest)
	start := time.Unix(1000, 0)
	_, all := claims(b, largest, 8)
	for _, c := range all {
		b.BeginReading(c, start)
	}
	b.Received(all[0], mega)
	b.EndReading(all[1])
	late := start.Add(4 * time.Second)
	assert.Empty(t, b.Slow(late), "nobody waits")
	assert.Equal(t, bodymemory.Waiting, b.Claim(&bodymemory.Claim{}, largest))
	assert.Empty(t, b.Slow(start.Add(bodymemory.RateGrace)))
	assert.ElementsMatch(t, all[2:], b.Slow(late))
	assert.Contains(t, b.Slow(start.Add(6*time.Second)), all[0])
}

// Sums hold over all sequences of calls, and whatever waits is granted once the rest is released.
func TestSumsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bodymemory.New(total, largest)
		var live []*bodymemory.Claim
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			if len(live) > 0 && rapid.Bool().Draw(t, "old") {
				i := rapid.IntRange(0, len(live)-1).Draw(t, "which")
				c := live[i]
				if rapid.Bool().Draw(t, "shrink") && !c.IsWaiting() {
					b.ShrinkTo(c, c.Held()/2)
					continue
				}
				b.Release(c)
				live = append(live[:i], live[i+1:]...)
				continue
			}
			c := &bodymemory.Claim{}
			if v := b.Claim(c, rapid.Int64Range(1, largest).Draw(t, "size")); v == bodymemory.Granted || v == bodymemory.Waiting {
				live = append(live, c)
			}
		}
		held := int64(0)
		for _, c := range live {
			held += c.Held()
		}
		assert.Equal(t, held, b.Held())
		assert.LessOrEqual(t, held, int64(total))
		for len(live) > 0 {
			i := 0
			for live[i].IsWaiting() {
				i++ // Panics if all that is left waits.
			}
			b.Release(live[i])
			live = append(live[:i], live[i+1:]...)
		}
		assert.Zero(t, b.Held()+b.Asked())
	})
}
