package mirror_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/mirror"
)

func row(key string, version uint64) mirror.Row {
	return mirror.Row{Key: key, Value: []byte{byte(version)}, Version: version}
}

// A caller sees a configuration go back. The store's answer with version 9 was
// overtaken by another entry's copy that is still at 7: applied later, it would
// bring the old row back.
func TestAnOlderSourceNeverTakesARowBack(t *testing.T) {
	var c mirror.Copy
	c.Apply(mirror.Batch{Rows: []mirror.Row{row("config", 9)}, Version: 9, Snapshot: true})
	assert.Empty(t, c.Apply(mirror.Batch{Rows: []mirror.Row{row("config", 7)}, Version: 7}))
	assert.Empty(t, c.Apply(mirror.Batch{Rows: nil, Version: 8, Snapshot: true}), "a whole table that is older removes nothing")
	assert.Equal(t, uint64(9), c.Rows()[0].Version)
}

// A backend server that left is sent work again. Its row was removed at 5; a
// copy that has not heard of that still names it with version 4.
func TestARemovedRowStaysRemoved(t *testing.T) {
	var c mirror.Copy
	c.Apply(mirror.Batch{Rows: []mirror.Row{row("a", 4)}, Version: 4, Snapshot: true})
	changed := c.Apply(mirror.Batch{Rows: []mirror.Row{{Key: "a", Version: 5, Removed: true}}, Version: 5})
	assert.Len(t, changed, 1)
	assert.Empty(t, c.Apply(mirror.Batch{Rows: []mirror.Row{row("a", 4)}, Version: 4}))
	assert.Empty(t, c.Rows())
}

func TestAWholeTableRemovesWhatItDoesNotName(t *testing.T) {
	var c mirror.Copy
	c.Apply(mirror.Batch{Rows: []mirror.Row{row("a", 1), row("b", 2)}, Version: 2, Snapshot: true})
	changed := c.Apply(mirror.Batch{Rows: []mirror.Row{row("b", 2)}, Version: 6, Snapshot: true})
	assert.Equal(t, []mirror.Row{{Key: "a", Version: 6, Removed: true}}, changed)
}

// Entries spend most of their bytes on telling each other that nothing
// happened. A heartbeat changes a row, but not what it says.
func TestAHeartbeatIsNoNews(t *testing.T) {
	c := mirror.NewCopy(func(old, new []byte) bool { return old[0] == new[0] })
	c.Apply(mirror.Batch{Rows: []mirror.Row{{Key: "a", Value: []byte{1, 1}, Version: 1}}, Version: 1, Snapshot: true})
	assert.Empty(t, c.Apply(mirror.Batch{Rows: []mirror.Row{{Key: "a", Value: []byte{1, 2}, Version: 2}}, Version: 2}))
	assert.Empty(t, c.Since(1).Rows)
	assert.Len(t, c.Apply(mirror.Batch{Rows: []mirror.Row{{Key: "a", Value: []byte{2, 3}, Version: 3}}, Version: 3}), 1)
	assert.Len(t, c.Since(1).Rows, 1)
	assert.Len(t, c.Since(0).Rows, 1, "the whole table names it in any case")
}

// TestCopiesAgree feeds one copy from the truth and a second one from the
// first, in any order of questions: they never differ once both are fed.
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
			if rapid.Bool().Draw(t, "feed") {
				second.Apply(first.Since(second.Version()))
			}
		}
		second.Apply(first.Since(second.Version()))
		assert.Equal(t, first.Rows(), second.Rows())
		assert.Equal(t, first.Version(), second.Version())
	})
}
