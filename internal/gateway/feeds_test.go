package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/mirror"
)

// unavailableStore answers no call, and counts them.
type unavailableStore struct{ calls atomic.Int64 }

var errStoreUnavailable = errors.New("store lost")

func (s *unavailableStore) Whole(context.Context, string) (mirror.Batch, error) {
	s.calls.Add(1)
	return mirror.Batch{}, errStoreUnavailable
}

func (s *unavailableStore) Changes(context.Context, string, uint64, time.Duration) (mirror.Batch, error) {
	s.calls.Add(1)
	return mirror.Batch{}, errStoreUnavailable
}

// newRelayedEntry is the last of many entries, whose relays answer with a table that
// is so old.
func newRelayedEntry(t *testing.T, entries int, age time.Duration) (*Gateway, *unavailableStore) {
	t.Helper()
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"rows":[],"version":7,"age_ms":%d}`, age.Milliseconds())
	}))
	t.Cleanup(relay.Close)
	store := &unavailableStore{}
	p := newPeers(Settings{Node: "gw0", DataCentre: "a"})
	for i := range entries {
		p.rows[fmt.Sprint("gw", i)] = entryRow{Address: strings.TrimPrefix(relay.URL, "http://"), DataCentre: "a", Cores: float64(i)}
	}
	g := &Gateway{peers: p, metrics: metrics.New(8), state: newState(Settings{Node: "gw0"}, func(string) {})}
	g.ports.Tables, g.ports.HistoryGone = store, errors.New("history gone")
	g.ports.Decoder.BackendTable = "servers"
	return g, store
}

func (g *Gateway) runFor(t *testing.T, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	f := &feed{table: "servers", pause: time.Second, relayPause: relayPause, apply: func(time.Time, []mirror.Row, string) {}}
	g.feeds = []*feed{f}
	g.runFeed(ctx, f, time.Time{})
}

// The store was lost for eight seconds. Each of a hundred entries saw that its
// relays had heard nothing of late, and asked the store by itself, four times a
// second for each table: 9,550 calls on a day that takes 900 otherwise.
func TestEntriesLimitStoreReadsWhileRelaysAreStale(t *testing.T) {
	g, store := newRelayedEntry(t, 100, time.Minute)
	g.runFor(t, 1200*time.Millisecond)
	assert.LessOrEqual(t, store.calls.Load(), int64(2))
	assert.Positive(t, store.calls.Load(), "it may be the relays that are turned away")
	assert.True(t, g.feeds[0].failing.Load(), "others are asked for their tables meanwhile")
}

func TestFreshRelayReplacesStoreReads(t *testing.T) {
	g, store := newRelayedEntry(t, 100, 100*time.Millisecond)
	g.runFor(t, 600*time.Millisecond)
	assert.Zero(t, store.calls.Load())
	assert.False(t, g.feeds[0].failing.Load())
	assert.Greater(t, g.feeds[0].age(time.Now()), 90*time.Millisecond, "as old as the relay's")
}

// An entry that reads for the others was cut off from the store while it waited for
// changes. It gave its old configuration as fresh for as long as that call hung, and
// a key that had been taken away went on to work at all that read from it.
func TestTableAgeFollowsListDuringBlockingRead(t *testing.T) {
	g, _ := newRelayedEntry(t, 100, 0)
	now := time.Now()
	list := &feed{table: "servers"}
	list.lastAnswer.Store(now.Add(-3 * time.Second).UnixNano())
	waiting := &feed{table: "op", wait: longPollWait}
	waiting.lastAnswer.Store(now.Add(-10 * time.Second).UnixNano())
	g.feeds = []*feed{waiting, list}
	assert.InDelta(t, 3000, g.tableAge(now, waiting).Milliseconds(), 1, "the list shows that the store is away")
	list.lastAnswer.Store(now.Add(-100 * time.Millisecond).UnixNano())
	assert.Less(t, g.tableAge(now, waiting), time.Second, "it waits, and the store is there")
}
