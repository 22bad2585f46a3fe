package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/quarantine"
)

func crashOf(n int, engine string) crashRecord {
	return crashRecord{crash: quarantine.Crash{Subject: requestNumber(n), Server: engine}}
}

func requestNumber(n int) quarantine.Fingerprint {
	return (&quarantine.Identity{Target: fmt.Sprint(n)}).Fingerprint()
}

func (c *suspects) isQuarantined(now time.Time, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Verdict(now, requestNumber(n)).Quarantined
}

// Guards against entries that count only their own crashes: records also arrive
// through other entries.
func TestCrashesOfSeveralEntriesAddUp(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	first, second, third := newSuspects(), newSuspects(), newSuspects()
	first.add(now, now, crashOf(1, "a"))
	first.add(now, now, crashOf(1, "b"))
	second.add(now, now, crashOf(1, "c"))
	second.receive(now, first.digest(now, false))
	third.receive(now, second.digest(now, false))
	assert.True(t, third.isQuarantined(now, 1))
	assert.False(t, first.isQuarantined(now, 1))
	first.receive(now, third.digest(now, false))
	assert.True(t, first.isQuarantined(now, 1))
	late := newSuspects()
	later := now.Add(time.Minute)
	assert.Empty(t, first.digest(later, false), "old records are not sent to running entries any more")
	late.receive(later, first.digest(later, true))
	assert.True(t, late.isQuarantined(later, 1), "an entry that starts later receives the old records too")
}

// Guards against a request that stays suspect because an old crash record arrives
// after the record of its complete run.
func TestCompleteRunOverridesOlderCrashes(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	one, other := newSuspects(), newSuspects()
	for _, engine := range []string{"a", "b", "c"} {
		one.add(now, now, crashOf(1, engine))
	}
	old := one.digest(now, false)
	other.receive(now, old)
	complete := now.Add(2 * time.Second)
	one.add(complete, complete, crashRecord{crash: quarantine.Crash{Subject: requestNumber(1)}, cleared: true})
	assert.False(t, one.isQuarantined(complete, 1))
	other.receive(complete, one.digest(complete, false))
	assert.False(t, other.isQuarantined(complete, 1))
	for _, record := range old {
		record.AgeMs = 2000
	}
	one.receive(complete, old)
	assert.False(t, one.isQuarantined(complete, 1))
	again := complete.Add(5 * time.Second)
	for _, engine := range []string{"d", "e", "f"} {
		one.add(again, again, crashOf(1, engine))
	}
	assert.True(t, one.isQuarantined(again, 1), "crashes after the complete run count")
}

func TestCrashRecordsAreBoundedAndExpire(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := newSuspects()
	for n := range 100 {
		c.add(now, now, crashOf(n, "a"))
	}
	for _, engine := range []string{"x", "y", "z"} {
		c.add(now, now, crashOf(1000, engine))
	}
	assert.Len(t, c.digest(now, false), maxDigestCrashes)
	all := c.digest(now, true)
	assert.Len(t, all, maxFullDigestCrashes)
	quarantined := requestNumber(1000)
	for _, record := range all[:3] {
		assert.Equal(t, quarantined[:], record.GetRequest(), "records of quarantined requests come first")
	}
	c.receive(now, []*jayv1.CrashNews{{Request: []byte("short"), Server: "a"}, {}})
	c.expire(now.Add(crashSettings().SuspectTTL))
	assert.Empty(t, c.digest(now.Add(crashSettings().SuspectTTL), true))
	assert.Zero(t, c.tracked.Load())
}
