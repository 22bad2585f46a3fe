package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
	"github.com/jayproxy/jayproxy/internal/roster"
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

// Guards against refused writes when the rows of a whole fleet, and a record of a crash by
// each entry, are lost: all hear of it within a second, and the store accepts 300
// transactions a second.
func TestRowsOfAFleetAreWrittenAgainOverTime(t *testing.T) {
	const entries, acceptedPerSecond = 810, 300
	perSecond := map[int]int{}
	for i := range entries {
		node := fmt.Sprint("front-zg-hall-a-", i)
		own := int(rewriteDelay(node, entries, rewritesPerSecond).Seconds())
		assert.Less(t, own, 5)
		perSecond[own]++
		perSecond[int(rewriteDelay(node, entries, suspectRewritesPerSecond).Seconds())]++
	}
	for second, writes := range perSecond {
		assert.LessOrEqual(t, writes, acceptedPerSecond, "second %d", second)
	}
	assert.Less(t, rewriteDelay("gw1", 4, rewritesPerSecond), 50*time.Millisecond)
}

// Guards against the removal of a row that is written again while the entry is probed at its
// address before.
func TestRowWrittenDuringTheProbeStays(t *testing.T) {
	g, _ := newStartingEntry(t)
	table := platformtest.New()
	g.ports.Table = table
	write := func(address string) {
		row := roster.Row{Address: address, DataCentre: "a"}
		batch := entryBatch(t, 1, row, false)
		result, err := table.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: entryPrefix + "gw2", Value: batch.Rows[0].Value}}})
		require.NoError(t, err)
		batch.Version, batch.Rows[0].Version, batch.Rows[0].Key = result.Commit, result.Commit, "gw2"
		readEntries(g, batch)
	}
	probed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		write("10.0.0.2:1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer probed.Close()
	write(strings.TrimPrefix(probed.URL, "http://"))
	lost := roster.NewLost()
	lost.List([]string{"gw2"})
	for probe := range 3 {
		lost.Silent(time.Now().Add(time.Duration(probe-4)*time.Minute), "gw2", g.entries.rowVersion("gw2"))
	}
	g.probeEntry(t.Context(), lost, "gw2")
	rows, err := table.Get(t.Context(), entryPrefix+"gw2")
	require.NoError(t, err)
	assert.Len(t, rows, 1)
}

// Guards against entries that take over the shards and the caps of all others when the store
// has lost their rows, for the time in which these are written again.
func TestEntriesWhoseRowsTheStoreLostCountForAWhile(t *testing.T) {
	g, _ := newStartingEntry(t)
	batch := mirror.Batch{Version: entryVersion(t, 1, 40), Snapshot: true}
	for i := range 4 {
		row := entryBatch(t, batch.Version, entryRow(g.settings), false).Rows[0]
		row.Key = fmt.Sprint("gw", i)
		batch.Rows = append(batch.Rows, row)
	}
	readEntries(g, batch)
	lost := mirror.Batch{Version: entryVersion(t, 2, 30), Snapshot: true, Rows: batch.Rows[:1]}
	lost.Rows[0].Version = lost.Version
	readEntries(g, lost)
	assert.False(t, g.peers.registered(), "its own row is to be written again")
	assert.Len(t, g.peers.others(), 3)
	assert.Equal(t, 3, g.peers.count(), "by which the entries spread their writes")
	again := batch.Rows[2]
	again.Version = entryVersion(t, 2, 31)
	readEntries(g, mirror.Batch{Version: again.Version, Rows: []mirror.Row{again}})
	assert.False(t, g.peers.expire(time.Now().Add(10*time.Second)))
	assert.True(t, g.peers.expire(time.Now().Add(time.Minute)))
	assert.Len(t, g.peers.others(), 2, "one did not write its row again")
	again.Version, again.Removed = entryVersion(t, 2, 32), true
	readEntries(g, mirror.Batch{Version: again.Version, Rows: []mirror.Row{again}})
	assert.Len(t, g.peers.others(), 1, "removed, not lost")
}
