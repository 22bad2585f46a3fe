package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/roster"
	"github.com/jayproxy/jayproxy/internal/routetable"
)

func versionAt(t *testing.T, era, commit uint64) uint64 {
	t.Helper()
	version, err := platform.VersionOf(era, commit)
	require.NoError(t, err)
	return version
}

// drilledStore answers with one snapshot, and has no history if forgets is set.
type drilledStore struct {
	batch   mirror.Batch
	forgets error
	calls   atomic.Int64
}

func (s *drilledStore) Snapshot(context.Context, string) (mirror.Batch, error) {
	s.calls.Add(1)
	return s.batch, nil
}

func (s *drilledStore) Changes(ctx context.Context, _ string, _ uint64, wait time.Duration) (mirror.Batch, error) {
	s.calls.Add(1)
	if s.forgets != nil {
		return mirror.Batch{}, s.forgets
	}
	sleep(ctx, wait)
	return mirror.Batch{Version: s.batch.Version}, ctx.Err()
}

// Guards against a store without the history being read in a loop: entries called it 75
// times a second each.
func TestStoreWithoutHistoryIsNotReadInALoop(t *testing.T) {
	g, _ := newRelayedEntry(t, 1, 0)
	store := &drilledStore{batch: mirror.Batch{Version: 45, Snapshot: true}, forgets: g.ports.HistoryGone}
	g.ports.Tables, g.settings.DrainBound = store, 2*time.Second
	f := &feed{table: "op", wait: longPollWait, apply: func(time.Time, []mirror.Row, string) {}}
	g.feeds = []*feed{f}
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	g.runFeed(ctx, f)
	first, perRead, reads := 1, 2, 2+int(1500*time.Millisecond/g.backendPause())
	assert.LessOrEqual(t, store.calls.Load(), int64(first+perRead*reads))
}

// peerWith serves a table as another entry does.
func peerWith(t *testing.T, batch mirror.Batch) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(tableResponse{Batch: batch})
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newConfiguredEntry returns an entry that reads the operator's table, whose configuration
// rows hold a version, from the store and knows another entry.
func newConfiguredEntry(t *testing.T, store Tables, peer string) (*Gateway, *feed) {
	t.Helper()
	g, _ := newRelayedEntry(t, 1, 0)
	g.ports.Tables = store
	version := func(value []byte) uint64 {
		n, _ := strconv.ParseUint(string(value), 10, 64)
		return n
	}
	g.ports.Decoder.IsConfig = func(string) bool { return true }
	g.ports.Decoder.Config = func(value []byte) (*routetable.Table, error) {
		return routetable.New(version(value), routetable.Limits{}, nil, nil, nil), nil
	}
	older := func(_ string, known, value []byte) bool { return version(value) < version(known) }
	g.peers = newPeers(Settings{Node: "gw0", DataCentre: "a"})
	g.peers.put("gw9", roster.Row{Address: peer, DataCentre: "a"})
	f := &feed{table: "op", asksPeers: true, copy: mirror.NewCopy(mirror.Policy{Older: older, Lasting: true}), apply: g.applyOperator}
	g.feeds = []*feed{f}
	return g, f
}

func configBatch(version uint64, value string) mirror.Batch {
	return mirror.Batch{Version: version, Snapshot: true, Rows: []mirror.Row{{Key: "config", Value: []byte(value), Version: version}}}
}

// Guards against an entry that starts while the store has an older copy, and serves by that.
func TestAnEntryThatStartsInADrillAsksOthers(t *testing.T) {
	peer := peerWith(t, configBatch(400, "30"))
	g, f := newConfiguredEntry(t, &drilledStore{batch: configBatch(versionAt(t, 1, 45), "25")}, peer)
	require.NoError(t, g.readFromStore(t.Context(), f))
	assert.Equal(t, uint64(30), g.state.table.Load().Version)
	assert.Equal(t, versionAt(t, 1, 45), f.version())
	assert.Equal(t, "30", string(f.since(0).Rows[0].Value), "what it passes on")
}

// Guards against an entry that serves by the configuration that it read, while others know a
// newer one that the store has lost.
func TestAnEntryAsksOthersInANewEra(t *testing.T) {
	peer := peerWith(t, configBatch(401, "31"))
	g, f := newConfiguredEntry(t, &drilledStore{batch: configBatch(versionAt(t, 1, 45), "25")}, peer)
	g.applyBatch(f, configBatch(400, "30"), sourceStore)
	f.historyGone, g.ports.Tables = 0, &drilledStore{batch: configBatch(versionAt(t, 1, 45), "25"), forgets: g.ports.HistoryGone}
	require.NoError(t, g.readFromStore(t.Context(), f))
	assert.GreaterOrEqual(t, g.state.table.Load().Version, uint64(30), "it doesn't go back")
	require.Eventually(t, func() bool { return g.state.table.Load().Version == 31 }, time.Second, time.Millisecond)
}

// Guards against a relay that has not heard of a new era counting as recent: its reader would
// hear of nothing that was written in it.
func TestARelayOfAnEarlierEraIsNotFresh(t *testing.T) {
	g, store := newRelayedEntry(t, 100, 0)
	f := &feed{table: "servers", pause: time.Second, relayPause: minRelayPause, apply: func(time.Time, []mirror.Row, string) {}}
	f.copy.Apply(mirror.Batch{Version: versionAt(t, 1, 3), Snapshot: true})
	g.feeds = []*feed{f}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	g.runFeed(ctx, f)
	assert.Positive(t, store.calls.Load(), "the store is read instead")
}

// Guards against a server that is dropped because the store's older copy lacks its row, when
// it is alive and registers again.
func TestServersThatTheStoreLostAreKeptForAWhile(t *testing.T) {
	g, _ := newRelayedEntry(t, 1, 0)
	g.ports.Decoder.Backend = func(id string, _ []byte) (*fleet.Backend, error) {
		return &fleet.Backend{Incarnation: fleet.Incarnation{Instance: id}, Service: "s", Address: "10.0.0.1:1"}, nil
	}
	f := &feed{table: "servers", apply: g.applyBackends}
	g.feeds = []*feed{f}
	g.applyBatch(f, mirror.Batch{Version: 400, Snapshot: true, Rows: []mirror.Row{{Key: "i-1", Version: 390}}}, sourceStore)
	g.applyBatch(f, mirror.Batch{Version: versionAt(t, 1, 45), Snapshot: true}, sourceStore)
	assert.NotNil(t, g.state.list.Named("i-1"))
	g.state.tick(time.Now().Add(2 * listGrace))
	assert.Nil(t, g.state.list.Named("i-1"), "it did not register again")
}

// Guards against a server that stays for the grace period though another entry knows that it
// had ended: only registrations that the store lost may come back.
func TestAServerThatAnotherEntryKnowsEndedIsRemovedAtOnce(t *testing.T) {
	g, _ := newRelayedEntry(t, 1, 0)
	g.ports.Decoder.Backend = func(id string, _ []byte) (*fleet.Backend, error) {
		return &fleet.Backend{Incarnation: fleet.Incarnation{Instance: id}, Service: "s", Address: "10.0.0.1:1"}, nil
	}
	older := func(string, []byte, []byte) bool { return false }
	f := &feed{table: "servers", copy: mirror.NewCopy(mirror.Policy{Older: older}), apply: g.applyBackends}
	g.feeds = []*feed{f}
	g.applyBatch(f, mirror.Batch{Version: 400, Snapshot: true}, sourceStore)
	restored := mirror.Row{Key: "i-1", Version: versionAt(t, 1, 40)}
	g.applyBatch(f, mirror.Batch{Version: versionAt(t, 1, 45), Snapshot: true, Rows: []mirror.Row{restored}}, sourceStore)
	require.NotNil(t, g.state.list.Named("i-1"))
	known := mirror.Batch{Version: 401, Snapshot: true, Rows: []mirror.Row{{Key: "i-1", Version: 399, Removed: true}}}
	g.applyKnown(f, []peerBatch{{known, "10.0.0.2:1"}})
	assert.Nil(t, g.state.list.Named("i-1"))
}

// Guards against entries of builds without eras that get versions which the store never gave.
func TestEntriesWithoutErasGetTheStoresVersions(t *testing.T) {
	g, _ := newRelayedEntry(t, 1, 0)
	f := &feed{table: "op"}
	g.feeds = []*feed{f}
	f.copy.Apply(mirror.Batch{Version: versionAt(t, 2, 45), Snapshot: true, Rows: []mirror.Row{{Key: "a", Version: versionAt(t, 2, 40)}}})
	f.copy.Apply(mirror.Batch{Version: versionAt(t, 2, 47), Rows: []mirror.Row{{Key: "b", Version: versionAt(t, 2, 47)}}})
	ask := func(query string) tableResponse {
		recorder := httptest.NewRecorder()
		c := echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/v1/tables/op?"+query, nil), recorder)
		c.SetParamNames("table")
		c.SetParamValues("op")
		require.NoError(t, g.handleTable(c))
		var response tableResponse
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &response))
		return response
	}
	whole := ask("after=0")
	assert.True(t, whole.Snapshot)
	assert.Equal(t, uint64(47), whole.Version)
	assert.Equal(t, uint64(40), whole.Rows[0].Version)
	assert.Len(t, ask("after=45").Rows, 1, "changes after a version of the store")
	assert.Equal(t, versionAt(t, 2, 47), ask("eras=1&after=0").Version)
	assert.Len(t, ask(fmt.Sprint("eras=1&after=", versionAt(t, 2, 45))).Rows, 1)
}
