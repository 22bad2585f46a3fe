package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// readEntries applies a batch of the entries' rows.
func readEntries(g *Gateway, batch mirror.Batch) {
	f := g.entries
	f.mu.Lock()
	defer f.mu.Unlock()
	g.applyEntries(time.Now(), f.copy.Apply(batch), sourceStore)
}

func entryVersion(t *testing.T, era, commit uint64) uint64 {
	t.Helper()
	version, err := platform.VersionOf(era, commit)
	require.NoError(t, err)
	return version
}

// Guards against an entry that others don't know any more: the store lost its row in a drill
// before this entry had read it, so that no removal is reported.
func TestEntryWritesItsRowAgainThatTheStoreLostUnread(t *testing.T) {
	g, store := newStartingEntry(t)
	store.commit = entryVersion(t, 1, 50)
	readEntries(g, mirror.Batch{Version: entryVersion(t, 1, 40), Snapshot: true})
	startRegistering(t, g)
	require.Eventually(t, func() bool { return store.commits.Load() == 1 }, time.Second, time.Millisecond)
	require.Eventually(t, g.peers.registered, time.Second, time.Millisecond)
	readEntries(g, mirror.Batch{Version: entryVersion(t, 1, 45)})
	assert.True(t, g.peers.registered(), "the row is newer than the batch")
	readEntries(g, mirror.Batch{Version: entryVersion(t, 2, 41), Snapshot: true})
	require.Eventually(t, func() bool { return store.commits.Load() == 2 }, time.Second, time.Millisecond)
}

// Guards against refused writes and removed entries when the rows of a whole fleet are lost:
// all entries hear of it within a second, and the store accepts 300 transactions a second.
func TestRowsOfAFleetAreWrittenAgainOverTime(t *testing.T) {
	const entries, acceptedPerSecond = 810, 300
	perSecond := map[int]int{}
	for i := range entries {
		perSecond[int(rewriteDelay(fmt.Sprint("front-zg-hall-a-", i), entries).Seconds())]++
	}
	for second, writes := range perSecond {
		assert.LessOrEqual(t, writes, acceptedPerSecond, "second %d", second)
		assert.Less(t, second, 5)
	}
	assert.Less(t, rewriteDelay("gw1", 4), 50*time.Millisecond)
}

// Guards against a count of entries that is 1 when all rows are lost.
func TestLostRowsCountForTheDelay(t *testing.T) {
	g, _ := newStartingEntry(t)
	batch := mirror.Batch{Version: entryVersion(t, 1, 40), Snapshot: true}
	for i := range 810 {
		row := entryBatch(t, batch.Version, entryRow(g.settings), false).Rows[0]
		row.Key = fmt.Sprint("gw", i)
		batch.Rows = append(batch.Rows, row)
	}
	readEntries(g, batch)
	readEntries(g, mirror.Batch{Version: entryVersion(t, 2, 3), Snapshot: true})
	assert.Equal(t, 1, g.peers.count())
	assert.Equal(t, 810, g.peers.mostEntries())
}
