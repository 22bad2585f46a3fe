package weights_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/weights"
)

var start = time.Unix(1000, 0)

// A request begins on weights that were replaced twice. The age that counts is
// that of the first newer version, not of the newest one.
func TestAgeCountsFromTheFirstNewerVersion(t *testing.T) {
	b := weights.NewTargets()
	assert.True(t, b.Set(start, weights.Target{Model: "m", Version: 1}))
	b.Set(start.Add(5*time.Second), weights.Target{Model: "m", Version: 2})
	b.Set(start.Add(9*time.Second), weights.Target{Model: "m", Version: 3})
	now := start.Add(10 * time.Second)
	assert.Equal(t, 5*time.Second, b.Age(now, "m", 1))
	assert.Equal(t, time.Second, b.Age(now, "m", 2))
	assert.Zero(t, b.Age(now, "m", 3))
	assert.Zero(t, b.Age(now, "unknown", 1))
}

func TestAnOlderNameChangesNothing(t *testing.T) {
	b := weights.NewTargets()
	b.Set(start, weights.Target{Model: "m", Version: 4})
	assert.False(t, b.Set(start, weights.Target{Model: "m", Version: 3}))
	assert.Equal(t, uint64(4), b.Newest("m"))
}

// Requests begin on weights that were replaced 14 s ago, at an entry that just
// restarted: it read the newest version a second ago and took that for the
// time at which it was named.
func TestAProcessThatStartedLearnsHowOldVersionsAre(t *testing.T) {
	old, fresh := weights.NewTargets(), weights.NewTargets()
	old.Set(start, weights.Target{Model: "m", Version: 2})
	old.Set(start.Add(5*time.Second), weights.Target{Model: "m", Version: 3})
	now := start.Add(12 * time.Second)
	fresh.Set(now, weights.Target{Model: "m", Version: 3})
	assert.Zero(t, fresh.Age(now, "m", 1))
	fresh.MergeHistory(now, "m", old.History(now)["m"])
	assert.Equal(t, 12*time.Second, fresh.Age(now, "m", 1))
	assert.Equal(t, 7*time.Second, fresh.Age(now, "m", 2))
	fresh.MergeHistory(now, "m", []weights.VersionAge{{Version: 9, Age: time.Hour}})
	assert.Equal(t, uint64(3), fresh.Newest("m"), "history names no new version")
}
