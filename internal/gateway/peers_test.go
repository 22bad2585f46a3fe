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

// Each data centre's first entries asked the store, which has a price for each
// call: with five data centres ten did, and all of them while they started. In a
// small fleet they do, as one more step would not keep its bounds.
func TestFewEntriesReadFromStore(t *testing.T) {
	now := time.Unix(1000, 0)
	for entries, want := range map[int]int{40: storeReaders, 20: 2 * relaysPerDataCentre} {
		asking, steps := 0, map[int]int{}
		for i := range entries {
			p := newTestPeers(fmt.Sprint("gw", i), entries)
			p.dataCentre = p.rows[p.node].DataCentre
			relays, between := p.relays(now)
			if len(relays) == 0 {
				asking++
				continue
			}
			steps[between]++
		}
		assert.Equal(t, want, asking, "%d entries", entries)
		assert.Equal(t, entries, asking+steps[0]+steps[1], "everybody reads from somebody")
		assert.Equal(t, entries > maxUnshardedEntries, steps[1] > 0)
	}
}

// What the others read from the strongest entries takes a weak one from its
// callers: one of 0.144 cores served the list to twenty others.
func TestRelaysAreStrongestEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newTestPeers("gw9", 40)
	p.dataCentre = "b"
	for _, strong := range []string{"gw3", "gw5", "gw6"} {
		row := p.rows[strong]
		row.Cores = 0.8
		p.rows[strong] = row
	}
	assert.ElementsMatch(t, []string{p.rows["gw3"].Address, p.rows["gw5"].Address}, relaysOf(p, now), "those of its data centre")
	p.node = "gw6"
	assert.Nil(t, relaysOf(p, now))
}

func TestEntryWithoutRowReadsFromStore(t *testing.T) {
	assert.Nil(t, relaysOf(newTestPeers("new", 20), time.Unix(1000, 0)))
}

// The list of servers is read a second late, each time. An entry was lost for
// good, its row stayed, and the others of its data centre went on to ask it first.
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
		assert.Equal(t, relays, relaysOf(p, now.Add(unresponsiveSkipTime)), "asked again later")
	}
}

// Every entry of a large fleet looked at the lease while new weights went round
// as they should, which takes longer there than the age at which others help.
func TestOthersContendOnlyWithoutActiveHolder(t *testing.T) {
	settings := Settings{Node: "gw9", DataCentre: "a"}
	g := &Gateway{settings: settings, state: newState(settings, func(string) {}), peers: newTestPeers("gw9", 20)}
	now := time.Now()
	g.state.nameVersion(now.Add(-time.Minute), weights.Named{Model: "m", Version: 1}, "test")
	g.state.nameVersion(now.Add(-2*contendAfter), weights.Named{Model: "m", Version: 2}, "test")
	g.state.versions[versionKey{"s1", "m"}] = 1
	assert.True(t, g.contends(), "nobody was heard")
	g.state.recordHolderActivity(now)
	assert.False(t, g.contends(), "another is at work")
	g.state.recordHolderActivity(now.Add(-2 * holderTimeout))
	assert.True(t, g.contends(), "it has gone silent")
}

func relaysOf(p *peers, now time.Time) []string {
	relays, _ := p.relays(now)
	return relays
}
