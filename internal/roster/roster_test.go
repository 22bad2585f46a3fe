package roster_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/roster"
)

var now = time.Unix(1000, 0)

const (
	maxFlat   = 26
	drainTime = 8 * time.Second
)

// row returns the row of the i-th entry; the entries are in two data centres by turns.
func row(i int) roster.Row {
	return roster.Row{Address: fmt.Sprint("10.0.0.", i, ":1"), DataCentre: []string{"a", "b"}[i%2]}
}

// newRoster returns the roster of the i-th of n entries, all registered.
func newRoster(i, n int) *roster.Roster {
	r := roster.New(fmt.Sprint("gw", i), row(i), nil, maxFlat, drainTime)
	for k := range n {
		r.Put(fmt.Sprint("gw", k), row(k))
	}
	return r
}

func relaysOf(r *roster.Roster, at time.Time) []string {
	relays, _ := r.Relays(at)
	return relays
}

// Guards against a number of readers of the store that grows with the fleet, as each call has a cost. In a small fleet the
// first entries of each data centre read from it directly, since a second hop would exceed the bound on the age of data.
func TestFewEntriesReadFromStore(t *testing.T) {
	for entries, want := range map[int]int{40: 3, 400: 3, 20: 4} {
		readers, byHops := 0, map[int]int{}
		for i := range entries {
			relays, hops := newRoster(i, entries).Relays(now)
			if len(relays) == 0 {
				readers++
				continue
			}
			byHops[hops]++
		}
		assert.Equal(t, want, readers, "%d entries", entries)
		assert.Equal(t, entries, readers+byHops[0]+byHops[1], "every entry reads from the store or from a relay")
		assert.Equal(t, entries > maxFlat, byHops[1] > 0)
	}
}

// Guards against weak entries as relays: serving the list to others takes CPU time from
// their callers.
func TestRelaysAreStrongestEntries(t *testing.T) {
	r := newRoster(9, 40)
	for _, strong := range []int{3, 5, 6} {
		stronger := row(strong)
		stronger.Cores = 0.8
		r.Put(fmt.Sprint("gw", strong), stronger)
	}
	assert.ElementsMatch(t, []string{row(3).Address, row(5).Address}, relaysOf(r, now), "the entries with the most cores in its data centre")
	strongest := row(6)
	strongest.Cores = 0.8
	r = roster.New("gw6", strongest, nil, maxFlat, drainTime)
	for k := range 40 {
		r.Put(fmt.Sprint("gw", k), row(k))
	}
	assert.Nil(t, relaysOf(r, now), "the strongest entry reads from the store")
}

// Guards against one relay that carries the reads of its whole data centre while the other
// one is idle.
func TestRelaysShareTheirReaders(t *testing.T) {
	first := map[string]int{}
	for i := range 400 {
		if relays, hops := newRoster(i, 400).Relays(now); hops > 0 {
			first[relays[0]]++
		}
	}
	assert.Len(t, first, 4, "two in each of two data centres")
	for relay, readers := range first {
		assert.InDelta(t, 99, readers, 30, relay)
	}
}

// Guards against a delay at every read, when the relay that is asked first has crashed and
// its row remains.
func TestUnresponsiveRelayIsSkipped(t *testing.T) {
	for i := 0; i < 20; i += 2 {
		r := newRoster(i, 20)
		relays := relaysOf(r, now)
		if relays == nil {
			continue
		}
		r.MarkUnresponsive(now, relays[0])
		assert.NotContains(t, relaysOf(r, now), relays[0])
		assert.Equal(t, relays, relaysOf(r, now.Add(5*time.Second)), "used again later")
	}
}

// Guards against a new entry that reads whole tables from the store because its own row is
// not written yet.
func TestEntryWithoutRowUsesRelays(t *testing.T) {
	r := roster.New("new", row(9), nil, maxFlat, drainTime)
	assert.Nil(t, relaysOf(r, now), "no other entry is known")
	for k := range 40 {
		r.Put(fmt.Sprint("gw", k), row(k))
	}
	assert.Len(t, relaysOf(r, now), 2)
	assert.Equal(t, -1, r.Rank(), "it does no work for others yet")
	assert.False(t, r.Registered())
	r.Confirm(0)
	assert.True(t, r.Registered())
	assert.NotEqual(t, -1, r.Rank())
}

// Guards against a row that an earlier process wrote with another address or size.
func TestRowOfEarlierProcessIsNotOwn(t *testing.T) {
	r := newRoster(1, 3)
	assert.True(t, r.Registered())
	r.Put("gw1", roster.Row{Address: "10.0.0.99:1", DataCentre: "b"})
	assert.False(t, r.Registered())
	r.Remove(now, "gw1")
	assert.False(t, r.Registered())
}

// Guards against entries that wait for each other's data while they know different rows,
// as when all register at once.
func TestEntriesWithDifferentRowsDoNotReadInCircles(t *testing.T) {
	const entries = 60
	reads := map[string][]string{}
	for i := range entries {
		r := roster.New(fmt.Sprint("gw", i), row(i), nil, maxFlat, drainTime)
		for k := range i {
			r.Put(fmt.Sprint("gw", (k*7)%entries), row((k*7)%entries))
		}
		reads[row(i).Address] = relaysOf(r, now)
	}
	var visit func(address string, path []string)
	visit = func(address string, path []string) {
		if slices.Contains(path, address) {
			t.Fatalf("circle: %v", append(path, address))
		}
		for _, relay := range reads[address] {
			visit(relay, append(path, address))
		}
	}
	for address := range reads {
		visit(address, nil)
	}
}

// Guards against entries that take over the part of one that has removed its row and still
// serves, and against one that counts only itself while all stop.
func TestEntriesThatStopCountUntilTheyHaveDrained(t *testing.T) {
	r := newRoster(0, 4)
	for k := range 4 {
		r.Remove(now, fmt.Sprint("gw", k))
	}
	assert.Empty(t, r.ShardEntries(), "they do no work for others")
	assert.Len(t, r.Serving(), 4)
	r.Put("gw2", row(2))
	assert.Len(t, r.Serving(), 4, "one that has started again counts once")
	assert.False(t, r.Expire(now.Add(drainTime-time.Second)))
	assert.True(t, r.Expire(now.Add(drainTime)))
	assert.Len(t, r.Serving(), 1)
}

// oddRows are values that are not of an entry.
var oddRows = []string{
	"broken", "", "null", "{}", `{"address":"10.0.0.1"}`, `{"address":"10.0.0.1:0"}`, `{"address":"10.0.0.1:99999"}`, `{"address":"10.0.0.1:-1"}`, `{"address":":80"}`,
	`{"address":"10.0.0.1:1","cores":1e30}`, `{"address":"10.0.0.1:1","cores":1e400}`, `{"address":"10.0.0.1:1","cores":-1}`, `{"address":7}`,
	strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
}

// Guards against a row of another writer being taken for an entry that owns all shards.
func TestOddRowsAreNotOfEntries(t *testing.T) {
	for _, value := range oddRows {
		_, err := roster.ParseRow([]byte(value))
		assert.Error(t, err, value[:min(len(value), 60)])
	}
	for _, want := range []roster.Row{{}, {Address: "10.0.0.1:1"}, {Address: "[fd00::1]:65535", DataCentre: "a", Cores: 0.304}, {Address: "10.0.0.1:1", Cores: 96}} {
		value, err := json.Marshal(want)
		require.NoError(t, err)
		got, err := roster.ParseRow(value)
		require.NoError(t, err)
		assert.Equal(t, want, got)
	}
}

func FuzzParseRow(f *testing.F) {
	for _, value := range oddRows {
		f.Add([]byte(value))
	}
	f.Add([]byte(`{"address":"10.0.0.1:1","data_centre":"a","cores":0.3,"new":[]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := roster.ParseRow(value)
		if err == nil && (row.Cores < 0 || row.Cores > 1e5) {
			t.Fatalf("implausible row %+v", row)
		}
	})
}
