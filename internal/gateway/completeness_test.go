package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/streamorigin"
)

// Guards against a response that waited in the socket of a process which stood still, and then
// counts as read just now.
func TestTheAgeOfATableCountsFromTheQuestion(t *testing.T) {
	const waited = 200 * time.Millisecond
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(waited)
		_, _ = w.Write([]byte(`{"rows":[],"version":7,"age_ms":100}`))
	}))
	defer relay.Close()
	g, _ := newRelayedEntry(t, 3, 0)
	asked := lease.BootClock()
	response, err := g.peers.table(t.Context(), time.Second, strings.TrimPrefix(relay.URL, "http://"), "servers", wholeTable)
	assert.NoError(t, err)
	assert.Equal(t, asked.Add(-100*time.Millisecond), response.completeUpTo(asked))
	assert.GreaterOrEqual(t, lease.BootClock().Sub(asked), waited)
	response.Recent = true
	assert.Equal(t, asked, response.completeUpTo(asked))
}

// Guards against a table that counts as recent before the response that shows it is applied.
func TestATableIsAsOldAsBeforeUntilItsResponseIsApplied(t *testing.T) {
	g, _ := newRelayedEntry(t, 3, 0)
	f := &feed{table: "servers"}
	g.feeds = []*feed{f}
	g.feedSucceeded(f, lease.BootClock(), time.Time{}, func() {
		assert.False(t, f.answered())
		assert.True(t, f.complete.moment().IsZero())
	})
	assert.True(t, f.answered())
	assert.False(t, f.complete.moment().IsZero())
}

func TestACopyIsCompleteUpToTheQuestionOnly(t *testing.T) {
	var c completeness
	start := lease.BootClock()
	c.reach(start, time.Second)
	assert.True(t, c.await(t.Context(), start, 0))
	assert.False(t, c.await(t.Context(), start.Add(time.Millisecond), 10*time.Millisecond))
	assert.True(t, c.pending())
	time.AfterFunc(10*time.Millisecond, func() { c.reach(start.Add(time.Second), time.Second) })
	assert.True(t, c.await(t.Context(), start.Add(time.Second), 5*time.Second))
	time.AfterFunc(10*time.Millisecond, func() { c.fail(start.Add(3 * time.Second)) })
	began := time.Now()
	assert.False(t, c.await(t.Context(), start.Add(2*time.Second), 5*time.Second), "neither the store nor another entry answers")
	assert.Less(t, time.Since(began), time.Second)
	assert.False(t, c.pending())
}

// Guards against callers that wait for the next look at the list, and against reads without a
// pause where many callers come back.
func TestAWantedProofEndsThePauseOnce(t *testing.T) {
	var c completeness
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			c.await(ctx, lease.BootClock(), time.Second)
		}
	}()
	reads := 0
	for ctx.Err() == nil {
		began := lease.BootClock()
		reads++
		c.reach(began, time.Second)
		c.sleep(ctx, time.Minute, 50*time.Millisecond)
	}
	assert.Greater(t, reads, 3)
	assert.LessOrEqual(t, reads, 10)
}

// historySite is an entry with one resumable route to service s, whose list of servers a test
// writes.
type historySite struct {
	*Gateway
	list *feed
}

func newHistorySite(t *testing.T) historySite {
	t.Helper()
	g, _ := newRelayedEntry(t, 3, 0)
	g.settings = Settings{DrainBound: 2 * time.Second}
	g.state = newState(Settings{Node: "gw0", Bootstrap: true}, func(string) {})
	g.state.table.Store(resumableTable())
	f := &feed{table: "servers", apply: func(now time.Time, rows []mirror.Row, _ string) {
		for _, row := range rows {
			change := backendChange{removed: row.Key}
			if !row.Removed {
				change = backendChange{backend: &fleet.Backend{Incarnation: fleet.Incarnation{Instance: row.Key}, Service: "s", Address: "10.0.0.1:80", Software: string(row.Value)}}
			}
			g.state.changeBackends(now, []backendChange{change}, "test")
		}
	}}
	g.feeds, g.backends = []*feed{f}, f
	return historySite{Gateway: g, list: f}
}

func resumableTable() *routetable.Table {
	return routetable.New(1, routetable.Limits{}, []routetable.Route{{
		Kind: routetable.Stream, Resumable: true, Targets: []routetable.Target{{Service: "s", Weight: 1}},
	}}, []routetable.Service{{Name: "s"}}, nil)
}

// read applies a batch that is complete up to a moment.
func (h historySite) read(asOf time.Time, batch mirror.Batch) {
	h.feedSucceeded(h.list, asOf, time.Time{}, func() { h.applyBatch(h.list, batch, "test") })
}

func (h historySite) only() streamorigin.Version {
	const takeUp = time.Minute
	h.state.observeSoftware()
	version, _ := h.state.software["s"].Only(lease.BootClock(), takeUp)
	return version
}

func listed(key, software string, version uint64) mirror.Row {
	return mirror.Row{Key: key, Value: []byte(software), Version: version}
}

// Guards against a server of another version that came and went between two reads of the list.
func TestAServerThatCameAndWentUnseenIsOfAnUnknownVersion(t *testing.T) {
	h, now, v1 := newHistorySite(t), lease.BootClock(), streamorigin.VersionOf("s", "v1")
	h.read(now, mirror.Batch{Snapshot: true, Version: 5, Rows: []mirror.Row{listed("a", "v1", 4)}})
	assert.Equal(t, v1, h.only())
	h.read(now.Add(time.Second), mirror.Batch{Version: 6, Rows: []mirror.Row{listed("a", "v1", 6)}})
	assert.Equal(t, v1, h.only())
	h.read(now.Add(2*time.Second), mirror.Batch{Version: 8, Rows: []mirror.Row{{Key: "b", Version: 8, Removed: true}}})
	assert.Zero(t, h.only())
	assert.Equal(t, 1, h.list.copy.UnseenRows())
}

// Guards against a version that came and went, between two looks at the list, in batches that were
// both read.
func TestAVersionBetweenTwoLooksIsSeen(t *testing.T) {
	h, now := newHistorySite(t), lease.BootClock()
	h.read(now, mirror.Batch{Snapshot: true, Version: 5, Rows: []mirror.Row{listed("a", "v1", 4)}})
	h.read(now, mirror.Batch{Version: 7, Rows: []mirror.Row{listed("b", "v2", 7)}})
	h.read(now, mirror.Batch{Version: 8, Rows: []mirror.Row{{Key: "b", Version: 8, Removed: true}}})
	assert.Zero(t, h.only())
}

// Guards against a server that started again at another version and back under its name while the
// process stood still: the list shows neither.
func TestALongPauseBetweenTwoReadsInterruptsTheHistory(t *testing.T) {
	h, now := newHistorySite(t), lease.BootClock()
	h.read(now, mirror.Batch{Snapshot: true, Version: 5, Rows: []mirror.Row{listed("a", "v1", 4)}})
	h.read(now.Add(h.maxReadGap()), mirror.Batch{Version: 7, Rows: []mirror.Row{listed("a", "v1", 7)}})
	assert.NotZero(t, h.only())
	h.read(now.Add(2*h.maxReadGap()+time.Millisecond), mirror.Batch{Version: 9, Rows: []mirror.Row{listed("a", "v1", 9)}})
	assert.Zero(t, h.only())
	assert.True(t, h.state.needsSoftwareMerge("s"))
}

// Guards against a service whose streams a later configuration makes resumable, and which then
// counts as if no stream had begun before.
func TestAServiceObservedLaterHasAnUnknownPast(t *testing.T) {
	h, now := newHistorySite(t), lease.BootClock()
	h.state.table.Store(routetable.New(1, routetable.Limits{}, nil, []routetable.Service{{Name: "s"}}, nil))
	h.read(now, mirror.Batch{Snapshot: true, Version: 5, Rows: []mirror.Row{listed("a", "v1", 4)}})
	h.state.table.Store(resumableTable())
	assert.Zero(t, h.only())
	assert.True(t, h.state.needsSoftwareMerge("s"))
}

// Guards against a table without its changes, after which versions may have come and gone, that
// counts as if each change had been read.
func TestATableWithoutItsChangesInterruptsTheHistory(t *testing.T) {
	g, _ := newRelayedEntry(t, 3, 0)
	g.state = newState(Settings{Node: "gw0", Bootstrap: true}, func(string) {})
	f := &feed{table: "servers", apply: func(time.Time, []mirror.Row, string) {}}
	g.applyBatch(f, mirror.Batch{Snapshot: true, Version: 5}, "test")
	g.state.observeServiceLocked(lease.BootClock(), "s")
	assert.False(t, g.state.needsSoftwareMerge("s"))
	g.applyBatch(f, mirror.Batch{Version: 6}, "test")
	g.state.observeServiceLocked(lease.BootClock(), "s")
	assert.False(t, g.state.needsSoftwareMerge("s"))
	g.applyBatch(f, mirror.Batch{Snapshot: true, Version: 9}, "test")
	g.state.observeServiceLocked(lease.BootClock(), "s")
	assert.True(t, g.state.needsSoftwareMerge("s"))
}

// Guards against an entry that is cut off from the store, and answers others that ask for recent
// data only after a wait that cannot help.
func TestAnEntryWithoutTheStoreIsNotRecent(t *testing.T) {
	f := &feed{table: "servers"}
	f.failing.Store(true)
	began := time.Now()
	assert.False(t, f.isRecent(context.Background()))
	assert.Less(t, time.Since(began), relayProofTimeout/2)
}
