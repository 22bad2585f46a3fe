package mirror_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/mirror"
)

func row(key string, version uint64) mirror.Row {
	return mirror.Row{Key: key, Value: []byte{byte(version)}, Version: version}
}

// Guards against a configuration that reverts: a batch from another entry whose
// copy is still at version 7 arrives after the store's response with version 9.
func TestAnOlderBatchDoesNotRevertARow(t *testing.T) {
	var c mirror.Copy
	c.Apply(mirror.Batch{Rows: []mirror.Row{row("config", 9)}, Version: 9, Snapshot: true})
	assert.Empty(t, c.Apply(mirror.Batch{Rows: []mirror.Row{row("config", 7)}, Version: 7}))
	assert.Empty(t, c.Apply(mirror.Batch{Rows: nil, Version: 8, Snapshot: true}), "an older snapshot removes nothing")
	assert.Equal(t, uint64(9), c.Rows()[0].Version)
}

// Guards against requests to a backend server that is gone: its row was removed
// at version 5, and another copy still lists it with version 4.
func TestARemovedRowStaysRemoved(t *testing.T) {
	var c mirror.Copy
	c.Apply(mirror.Batch{Rows: []mirror.Row{row("a", 4)}, Version: 4, Snapshot: true})
	changed := c.Apply(mirror.Batch{Rows: []mirror.Row{{Key: "a", Version: 5, Removed: true}}, Version: 5})
	assert.Len(t, changed, 1)
	assert.Empty(t, c.Apply(mirror.Batch{Rows: []mirror.Row{row("a", 4)}, Version: 4}))
	assert.Empty(t, c.Rows())
}

func TestASnapshotRemovesRowsThatItDoesNotList(t *testing.T) {
	var c mirror.Copy
	c.Apply(mirror.Batch{Rows: []mirror.Row{row("a", 1), row("b", 2)}, Version: 2, Snapshot: true})
	changed := c.Apply(mirror.Batch{Rows: []mirror.Row{row("b", 2)}, Version: 6, Snapshot: true})
	assert.Equal(t, []mirror.Row{{Key: "a", Version: 6, Removed: true}}, changed)
}

// Guards against traffic between entries for heartbeats, which change a row but
// not its meaning.
// Guards against a server that stays listed after it has left: a relay that started later
// has a complete table, which lists no removals.
func TestARemovalBeforeTheSnapshotOfARelayIsPassedOn(t *testing.T) {
	var entry, relay mirror.Copy
	entry.Apply(mirror.Batch{Version: 5, Snapshot: true, Rows: []mirror.Row{{Key: "a", Version: 1}, {Key: "left", Version: 2}}})
	relay.Apply(mirror.Batch{Version: 9, Snapshot: true, Rows: []mirror.Row{{Key: "a", Version: 1}}})
	assert.False(t, relay.Covers(entry.Version()))
	changed := entry.Apply(relay.Since(entry.Version()))
	require.Len(t, changed, 1)
	assert.Equal(t, "left", changed[0].Key)
	assert.True(t, changed[0].Removed)
	assert.True(t, relay.Covers(entry.Version()), "from now on changes are enough")
}

func TestAHeartbeatIsNotPassedOn(t *testing.T) {
	c := mirror.NewCopy(mirror.Policy{Same: func(old, new []byte) bool { return old[0] == new[0] }})
	c.Apply(mirror.Batch{Rows: []mirror.Row{{Key: "a", Value: []byte{1, 1}, Version: 1}}, Version: 1, Snapshot: true})
	assert.Empty(t, c.Apply(mirror.Batch{Rows: []mirror.Row{{Key: "a", Value: []byte{1, 2}, Version: 2}}, Version: 2}))
	assert.Empty(t, c.Since(1).Rows)
	assert.Len(t, c.Apply(mirror.Batch{Rows: []mirror.Row{{Key: "a", Value: []byte{2, 3}, Version: 3}}, Version: 3}), 1)
	assert.Len(t, c.Since(1).Rows, 1)
	assert.Len(t, c.Since(0).Rows, 1, "a snapshot lists it in any case")
}

// Two copies are equal after the second has applied the changes of the first, at
// whatever versions it asked for them.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var first, second mirror.Copy
		version := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			version++
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			change := row(key, version)
			change.Removed = rapid.Bool().Draw(t, "removed")
			first.Apply(mirror.Batch{Rows: []mirror.Row{change}, Version: version})
			if rapid.Bool().Draw(t, "sync") {
				second.Apply(first.Since(second.Version()))
			}
		}
		second.Apply(first.Since(second.Version()))
		assert.Equal(t, first.Rows(), second.Rows())
		assert.Equal(t, first.Version(), second.Version())
	})
}
