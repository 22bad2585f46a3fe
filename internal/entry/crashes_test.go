package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/quarantine"
)

func crashOf(n int, engine string) crashWord {
	return crashWord{strike: quarantine.Crash{Request: requestNumber(n), Server: engine}}
}

func requestNumber(n int) quarantine.Fingerprint {
	return (&quarantine.Identity{Target: fmt.Sprint(n)}).Fingerprint()
}

func (c *crashes) holds(now time.Time, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.book.Verdict(now, requestNumber(n)).Quarantined
}

// Guards against entries that count each for itself: words go through others.
func TestCrashesAddUpOverEntries(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	first, second, third := newCrashes(), newCrashes(), newCrashes()
	first.take(now, now, crashOf(1, "a"))
	first.take(now, now, crashOf(1, "b"))
	second.take(now, now, crashOf(1, "c"))
	second.heard(now, first.tell(now, false))
	third.heard(now, second.tell(now, false))
	assert.True(t, third.holds(now, 1))
	assert.False(t, first.holds(now, 1))
	first.heard(now, third.tell(now, false))
	assert.True(t, first.holds(now, 1))
	late := newCrashes()
	later := now.Add(time.Minute)
	assert.Empty(t, first.tell(later, false), "by then all know it")
	late.heard(later, first.tell(later, true))
	assert.True(t, late.holds(later, 1), "one that starts later learns it")
}

// Guards against a request that stays suspected where an old word comes after
// its whole run.
func TestAWholeRunGoesBeforeOlderCrashes(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	one, other := newCrashes(), newCrashes()
	for _, engine := range []string{"a", "b", "c"} {
		one.take(now, now, crashOf(1, engine))
	}
	old := one.tell(now, false)
	other.heard(now, old)
	whole := now.Add(2 * time.Second)
	one.take(whole, whole, crashWord{strike: quarantine.Crash{Request: requestNumber(1)}, cleared: true})
	assert.False(t, one.holds(whole, 1))
	other.heard(whole, one.tell(whole, false))
	assert.False(t, other.holds(whole, 1))
	for _, word := range old {
		word.AgeMs = 2000
	}
	one.heard(whole, old)
	assert.False(t, one.holds(whole, 1))
	again := whole.Add(5 * time.Second)
	for _, engine := range []string{"d", "e", "f"} {
		one.take(again, again, crashOf(1, engine))
	}
	assert.True(t, one.holds(again, 1), "crashes since count")
}

func TestWordsOnCrashesAreBoundedAndForgotten(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := newCrashes()
	for n := range 100 {
		c.take(now, now, crashOf(n, "a"))
	}
	for _, engine := range []string{"x", "y", "z"} {
		c.take(now, now, crashOf(1000, engine))
	}
	assert.Len(t, c.tell(now, false), maxCrashNews)
	all := c.tell(now, true)
	assert.Len(t, all, maxAllCrashNews)
	held := requestNumber(1000)
	for _, word := range all[:3] {
		assert.Equal(t, held[:], word.GetRequest(), "what is held goes first")
	}
	c.heard(now, []*jayv1.CrashNews{{Request: []byte("short"), Server: "a"}, {}})
	c.tick(now.Add(crashSettings().SuspectTTL))
	assert.Empty(t, c.tell(now.Add(crashSettings().SuspectTTL), true))
	assert.Zero(t, c.known.Load())
}
