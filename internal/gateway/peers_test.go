package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/weights"
)

func newTestPeers(node string, n int) *peers {
	p := newPeers(Settings{Node: node, DataCentre: "a"})
	for i := range n {
		p.rows[fmt.Sprint("gw", i)] = entryRow{Address: fmt.Sprint("10.0.0.", i, ":1"), DataCentre: []string{"a", "b"}[i%2]}
	}
	return p
}

// The number of entries that read from the store must not grow with the fleet, as each call has a cost. In a small fleet the
// first entries of each data centre read from it directly, since a second hop would exceed the bound on the age of data.
func TestFewEntriesReadFromStore(t *testing.T) {
	now := time.Unix(1000, 0)
	for entries, want := range map[int]int{40: storeReaders, 20: 2 * relaysPerDataCentre} {
		readers, byHops := 0, map[int]int{}
		for i := range entries {
			p := newTestPeers(fmt.Sprint("gw", i), entries)
			p.dataCentre = p.rows[p.node].DataCentre
			relays, hops := p.relays(now)
			if len(relays) == 0 {
				readers++
				continue
			}
			byHops[hops]++
		}
		assert.Equal(t, want, readers, "%d entries", entries)
		assert.Equal(t, entries, readers+byHops[0]+byHops[1], "every entry reads from the store or from a relay")
		assert.Equal(t, entries > maxUnshardedEntries, byHops[1] > 0)
	}
}

// Relays must be the entries with the most CPU cores, since serving the list to others
// takes CPU time from a weak entry's callers.
func TestRelaysAreStrongestEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newTestPeers("gw9", 40)
	p.dataCentre = "b"
	for _, strong := range []string{"gw3", "gw5", "gw6"} {
		row := p.rows[strong]
		row.Cores = 0.8
		p.rows[strong] = row
	}
	assert.ElementsMatch(t, []string{p.rows["gw3"].Address, p.rows["gw5"].Address}, relaysOf(p, now), "the entries with the most cores in its data centre")
	p.node = "gw6"
	assert.Nil(t, relaysOf(p, now))
}

func TestEntryWithoutRowReadsFromStore(t *testing.T) {
	assert.Nil(t, relaysOf(newTestPeers("new", 20), time.Unix(1000, 0)))
}

// Guards against a delay at every read of the list, when the relay that is asked first has
// crashed and its row remains.
func TestUnresponsiveRelayIsSkipped(t *testing.T) {
	now := time.Unix(1000, 0)
	for i := 0; i < 20; i += 2 {
		p := newTestPeers(fmt.Sprint("gw", i), 20)
		relays := relaysOf(p, now)
		if relays == nil {
			continue
		}
		p.markUnresponsive(now, relays[0])
		assert.NotContains(t, relaysOf(p, now), relays[0])
		assert.Equal(t, relays, relaysOf(p, now.Add(unresponsiveSkipTime)), "used again after unresponsiveSkipTime")
	}
}

// Guards against all entries of a large fleet contending for the lease while its holder
// rolls out new weights, which may take longer than contendAfter.
func TestOthersContendOnlyWithoutActiveHolder(t *testing.T) {
	settings := Settings{Node: "gw9", DataCentre: "a"}
	g := &Gateway{settings: settings, state: newState(settings, func(string) {}), peers: newTestPeers("gw9", 20)}
	now := time.Now()
	g.state.setTarget(now.Add(-time.Minute), weights.Target{Model: "m", Version: 1}, "test")
	g.state.setTarget(now.Add(-2*contendAfter), weights.Target{Model: "m", Version: 2}, "test")
	g.state.versions[versionKey{"s1", "m"}] = 1
	assert.True(t, g.contends(), "no other holder was seen")
	g.state.recordHolderActivity(now)
	assert.False(t, g.contends(), "another holder is active")
	g.state.recordHolderActivity(now.Add(-2 * holderTimeout))
	assert.True(t, g.contends(), "the other holder is no longer active")
}

func relaysOf(p *peers, now time.Time) []string {
	relays, _ := p.relays(now)
	return relays
}
