package weights_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/weights"
)

var start = time.Unix(1000, 0)

// Weights that were replaced twice are out of date since the first newer version,
// not since the newest one.
func TestAgeCountsFromTheFirstNewerVersion(t *testing.T) {
	targets := weights.NewTargets()
	assert.True(t, targets.Set(start, weights.Target{Model: "m", Version: 1}))
	targets.Set(start.Add(5*time.Second), weights.Target{Model: "m", Version: 2})
	targets.Set(start.Add(9*time.Second), weights.Target{Model: "m", Version: 3})
	now := start.Add(10 * time.Second)
	assert.Equal(t, 5*time.Second, targets.Age(now, "m", 1))
	assert.Equal(t, time.Second, targets.Age(now, "m", 2))
	assert.Zero(t, targets.Age(now, "m", 3))
	assert.Zero(t, targets.Age(now, "unknown", 1))
}

func TestAnOlderTargetChangesNothing(t *testing.T) {
	targets := weights.NewTargets()
	targets.Set(start, weights.Target{Model: "m", Version: 4})
	assert.False(t, targets.Set(start, weights.Target{Model: "m", Version: 3}))
	assert.Equal(t, uint64(4), targets.Newest("m"))
}

// Guards against a restarted entry that takes the time at which it read the newest
// version for the time at which it was named, and so uses old weights for too long.
func TestARestartedProcessMergesTheHistoryOfAnother(t *testing.T) {
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
	assert.Equal(t, uint64(3), fresh.Newest("m"), "a history does not set a newer target")
}

// Guards against a record that an entry which has just started makes younger, and against a
// write for each entry.
func TestMergedAgesAreTheGreaterOnes(t *testing.T) {
	recorded := []weights.VersionAge{{Version: 2, Age: 5 * time.Second}, {Version: 3, Age: time.Second}}
	merged, changed := weights.MergeAges(recorded, []weights.VersionAge{{Version: 3, Age: 1100 * time.Millisecond}})
	assert.False(t, changed)
	assert.Equal(t, recorded, merged)
	merged, changed = weights.MergeAges(recorded, []weights.VersionAge{{Version: 2, Age: 0}, {Version: 3, Age: 2 * time.Second}, {Version: 4}})
	assert.True(t, changed)
	assert.Equal(t, []weights.VersionAge{{Version: 2, Age: 5 * time.Second}, {Version: 3, Age: 2 * time.Second}, {Version: 4}}, merged)
}
