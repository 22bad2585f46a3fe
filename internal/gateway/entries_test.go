package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/roster"
)

// rowStore accepts rows and counts the transactions. commit is the version that it answers.
type rowStore struct {
	platform.Table
	commit  uint64
	commits atomic.Int64
}

func (s *rowStore) Commit(context.Context, platform.Txn) (platform.TxnResult, error) {
	s.commits.Add(1)
	return platform.TxnResult{Committed: true, Commit: s.commit}, nil
}

// newStartingEntry returns an entry that keeps itself registered in the store.
func newStartingEntry(t *testing.T) (*Gateway, *rowStore) {
	t.Helper()
	settings := Settings{Node: "gw1", DataCentre: "a", ControlAddress: "10.0.0.1:1", Cores: 0.304}
	store := &rowStore{}
	g := &Gateway{settings: settings, state: newState(settings, func(string) {}), peers: newPeers(settings), metrics: metrics.New(8), bodies: newBodyMemory(0, noConnections), unregistered: make(chan struct{}, 1)}
	g.ports.Table = store
	g.usage, g.datagrams, g.hints = newSharedQuota(g, usageSource(g)), &datagrams{gateway: g}, &hints{gateway: g}
	g.limits, g.origins = newSharedQuota(g, serverLimitSource(g)), newStreamOrigins(g)
	g.entries = &feed{table: "entries", apply: g.applyEntries}
	g.feeds = []*feed{g.entries}
	return g, store
}

// startRegistering runs keepRegistered until the test ends.
func startRegistering(t *testing.T, g *Gateway) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); g.keepRegistered(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

func entryBatch(t *testing.T, version uint64, row roster.Row, removed bool) mirror.Batch {
	t.Helper()
	value, err := json.Marshal(row)
	require.NoError(t, err)
	return mirror.Batch{Version: version, Rows: []mirror.Row{{Key: "gw1", Value: value, Version: version, Removed: removed}}}
}

// Guards against a write for each entry when all entries were killed at once: the store
// accepts only so many a second, and their rows are still there.
func TestRestartedEntryDoesNotWriteItsRowAgain(t *testing.T) {
	g, store := newStartingEntry(t)
	g.applyBatch(g.entries, entryBatch(t, 1, entryRow(g.settings), false), sourceStore)
	startRegistering(t, g)
	time.Sleep(100 * time.Millisecond)
	assert.Zero(t, store.commits.Load())
}

// Guards against an entry that others no longer know because its row was removed, as by a
// removal of its earlier process that the store carries out late, or holds old values.
func TestEntryWritesItsRowWhenItIsMissingOrOld(t *testing.T) {
	old := roster.Row{Address: "10.0.0.9:1", DataCentre: "a"}
	g, store := newStartingEntry(t)
	g.applyBatch(g.entries, entryBatch(t, 1, old, false), sourceStore)
	startRegistering(t, g)
	require.Eventually(t, func() bool { return store.commits.Load() == 1 }, time.Second, time.Millisecond, "its address has changed")
	require.Eventually(t, g.peers.registered, time.Second, time.Millisecond)
	g.applyBatch(g.entries, entryBatch(t, 2, entryRow(g.settings), true), sourceStore)
	require.Eventually(t, func() bool { return store.commits.Load() == 2 }, time.Second, time.Millisecond, "its row was removed")
	require.Eventually(t, g.peers.registered, time.Second, time.Millisecond)
}

// Guards against an odd row of another writer that takes the place of an entry's row, or is
// counted as an entry.
func TestOddRowsAmongTheEntries(t *testing.T) {
	g, store := newStartingEntry(t)
	g.applyBatch(g.entries, entryBatch(t, 1, entryRow(g.settings), false), sourceStore)
	startRegistering(t, g)
	require.Eventually(t, g.peers.registered, time.Second, time.Millisecond)
	odd := func(key string, version uint64, value string) {
		g.applyBatch(g.entries, mirror.Batch{Version: version, Rows: []mirror.Row{{Key: key, Value: []byte(value), Version: version}}}, sourceStore)
	}
	odd("gw2", 2, `{"address":"10.0.0.2:99999","cores":1e30}`)
	odd("gw3", 3, "null")
	assert.Equal(t, 1, g.peers.count())
	odd("gw1", 4, "broken")
	require.Eventually(t, func() bool { return store.commits.Load() == 1 }, time.Second, time.Millisecond, "its row can't be decoded")
	require.Eventually(t, g.peers.registered, time.Second, time.Millisecond)
}

// Guards against owners that are assigned anew at every read from a relay, of which most
// bring no row.
func TestReadWithoutRowsKeepsTheAssignment(t *testing.T) {
	g, _ := newStartingEntry(t)
	g.applyBatch(g.entries, entryBatch(t, 1, entryRow(g.settings), false), sourceStore)
	assignment := func() any {
		g.state.mu.Lock()
		defer g.state.mu.Unlock()
		return g.state.assignmentLocked(time.Unix(1000, 0), "engines")
	}
	before := assignment()
	g.applyBatch(g.entries, mirror.Batch{Version: 2}, sourceStore)
	assert.Same(t, before, assignment())
}

// Guards against tables that a VM with a slow link never receives from a relay: a list of
// thousands of servers takes longer than a call without progress may.
func TestLongTableArrivesOverASlowLink(t *testing.T) {
	const chunks = 6
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"version":7,"rows":[`)
		for range chunks {
			_, _ = fmt.Fprint(w, " ")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(peerTimeout / 4)
		}
		_, _ = fmt.Fprint(w, `]}`)
	}))
	defer relay.Close()
	batch, err := newPeers(Settings{Node: "gw1"}).table(t.Context(), firstReadTimeout, strings.TrimPrefix(relay.URL, "http://"), "servers", changesAfter(1))
	require.NoError(t, err)
	assert.Equal(t, uint64(7), batch.Version)
}

// Guards against a relay that stops sending in the middle of a table and holds its reader.
func TestTableWithoutProgressIsGivenUp(t *testing.T) {
	stop := make(chan struct{})
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, `{"version":7,"rows":[`)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-stop:
		case <-r.Context().Done():
		}
	}))
	defer relay.Close()
	defer close(stop)
	started := time.Now()
	_, err := newPeers(Settings{Node: "gw1"}).table(t.Context(), firstReadTimeout, strings.TrimPrefix(relay.URL, "http://"), "servers", changesAfter(0))
	require.Error(t, err)
	assert.Less(t, time.Since(started), 2*peerTimeout)
}
