package gateway

import (
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
