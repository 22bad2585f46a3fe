package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// A restarted entry has the catalog before the list of entries. It must not connect to
// every agent of the data centre in the meantime.
func TestRestartedEntryLimitsAgentDigests(t *testing.T) {
	const agents = 7000
	now := time.Unix(1000, 0)
	self := Peer{ID: keys.Identity{Role: keys.RoleEntry, Name: "e1"}, Address: "10.0.0.1:1", DataCentre: "a"}
	core := NewCore(now, self, DefaultSettings())
	var all []Peer
	for i := range agents {
		id := keys.Identity{Role: keys.RoleAgent, Name: fmt.Sprint("b", i)}
		all = append(all, Peer{ID: id, Address: fmt.Sprint("10.1.0.1:", i+1), DataCentre: "a"})
	}
	core.SetAgents(all)
	agentDigestsDuring := func(d time.Duration) int {
		n := 0
		for end := now.Add(d); now.Before(end); now = now.Add(tickInterval) {
			for _, action := range core.Tick(now) {
				if digest, ok := action.(SendDigest); ok && digest.To.ID.Role == keys.RoleAgent {
					n++
				}
			}
		}
		return n
	}
	assert.Zero(t, agentDigestsDuring(time.Second), "the list of entries was not read yet")
	var entries []Peer
	for i := range 37 {
		id := keys.Identity{Role: keys.RoleEntry, Name: fmt.Sprint("e", i+2)}
		entries = append(entries, Peer{ID: id, Address: fmt.Sprint("10.0.0.2:", i+1), DataCentre: "a"})
	}
	core.SetEntries(entries)
	assert.LessOrEqual(t, agentDigestsDuring(time.Second), 40, "digests to agents are limited per tick")
}
