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

	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/roster"
)

// unavailableStore fails every call and counts the calls.
type unavailableStore struct{ calls atomic.Int64 }

var errStoreUnavailable = errors.New("store unavailable")

func (s *unavailableStore) Snapshot(context.Context, string) (mirror.Batch, error) {
	s.calls.Add(1)
	return mirror.Batch{}, errStoreUnavailable
}

func (s *unavailableStore) Changes(context.Context, string, uint64, time.Duration) (mirror.Batch, error) {
	s.calls.Add(1)
	return mirror.Batch{}, errStoreUnavailable
}

// newRelayedEntry returns the last of the given number of entries. Its relays answer with
// a table of the given age.
func newRelayedEntry(t *testing.T, entries int, age time.Duration) (*Gateway, *unavailableStore) {
	t.Helper()
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"rows":[],"version":7,"age_ms":%d}`, age.Milliseconds())
	}))
	t.Cleanup(relay.Close)
	store := &unavailableStore{}
	p := newPeers(Settings{Node: "gw0", DataCentre: "a"})
	for i := range entries {
		p.put(fmt.Sprint("gw", i), roster.Row{Address: strings.TrimPrefix(relay.URL, "http://"), DataCentre: "a", Cores: float64(i)})
	}
	g := &Gateway{peers: p, metrics: metrics.New(8), bodies: newBodyMemory(0, noConnections), state: newState(Settings{Node: "gw0"}, func(string) {})}
	g.ports.Tables, g.ports.HistoryGone = store, errors.New("history gone")
	g.ports.Decoder.BackendTable = "servers"
	return g, store
}

func (g *Gateway) runFor(t *testing.T, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	f := &feed{table: "servers", pause: time.Second, relayPause: minRelayPause, apply: func(time.Time, []mirror.Row, string) {}}
	g.feeds = []*feed{f}
	g.runFeed(ctx, f)
}

// Guards against every entry calling an unreachable store at the full rate while all
// relays have stale data.
func TestEntriesLimitStoreReadsWhileRelaysAreStale(t *testing.T) {
	g, store := newRelayedEntry(t, 100, time.Minute)
	g.runFor(t, 1200*time.Millisecond)
	assert.LessOrEqual(t, store.calls.Load(), int64(2))
	assert.Positive(t, store.calls.Load(), "the store may be unreachable for the relays only")
	assert.True(t, g.feeds[0].failing.Load(), "a failing feed makes the entry read from other entries")
}

// Guards against reads from relays that are more frequent than the bounds require, and data
// that is older than a bound when a relay does not answer.
func TestPauseBetweenRelayReadsFollowsTheBounds(t *testing.T) {
	for _, c := range []struct{ drain, config, want time.Duration }{
		{2 * time.Second, 2 * time.Second, minRelayPause},
		{3 * time.Second, 3 * time.Second, minRelayPause},
		{5 * time.Second, 5 * time.Second, 750 * time.Millisecond},
		{5 * time.Second, 4 * time.Second, 416 * time.Millisecond},
		{5 * time.Second, 0, 750 * time.Millisecond},
		{0, 0, minRelayPause},
	} {
		g := &Gateway{settings: Settings{DrainBound: c.drain, ConfigBound: c.config}}
		assert.Equal(t, c.want, g.relayPause().Truncate(time.Millisecond))
		oldest := g.backendPause() + 2*g.relayPause() + peerTimeout + relayMargin
		assert.True(t, c.drain < 3*time.Second || oldest < c.drain, "%v old through two relays, bound %v", oldest, c.drain)
	}
}

func TestFreshRelayReplacesStoreReads(t *testing.T) {
	g, store := newRelayedEntry(t, 100, 100*time.Millisecond)
	g.runFor(t, 600*time.Millisecond)
	assert.Zero(t, store.calls.Load())
	assert.False(t, g.feeds[0].failing.Load())
	assert.Greater(t, g.feeds[0].age(lease.BootClock()), 90*time.Millisecond, "the age of the relay's data is included")
}

// assertAge checks an age that was want at a time since boot and has grown until now.
func assertAge(t *testing.T, want, age time.Duration, since time.Time) {
	t.Helper()
	assert.GreaterOrEqual(t, age, want)
	assert.LessOrEqual(t, age, want+lease.BootClock().Sub(since))
}

// Guards against an old copy of a table counting as recent after the time of day went back.
func TestTableAgeRestsOnTheTimeSinceBoot(t *testing.T) {
	g, _ := newRelayedEntry(t, 100, 0)
	list := &feed{table: "servers"}
	g.feeds = []*feed{list}
	assert.Greater(t, g.tableAge(list), 24*time.Hour, "the store has not answered yet")
	before := lease.BootClock()
	g.feedSucceeded(list, before.Add(-2*time.Second), time.Time{}, func() {})
	assertAge(t, 2*time.Second, list.age(lease.BootClock()), before)
}

// Guards against an entry that is cut off from the store, and hangs in a blocking read,
// relaying an old configuration as current.
func TestTableAgeFollowsListDuringBlockingRead(t *testing.T) {
	g, _ := newRelayedEntry(t, 100, 0)
	now := lease.BootClock()
	list := &feed{table: "servers"}
	list.lastResponse.Store(now.Add(-3 * time.Second).UnixNano())
	waiting := &feed{table: "op", wait: longPollWait}
	waiting.lastResponse.Store(now.Add(-10 * time.Second).UnixNano())
	g.feeds = []*feed{waiting, list}
	// The old list shows that the store is unreachable.
	assertAge(t, 3*time.Second, g.tableAge(waiting), now)
	list.lastResponse.Store(now.Add(-100 * time.Millisecond).UnixNano())
	// The recent list shows that the store is reachable.
	assertAge(t, 100*time.Millisecond, g.tableAge(waiting), now)
}
