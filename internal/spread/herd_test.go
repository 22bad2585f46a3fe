package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// All entries of a data centre restart at once. Each knows the catalog before
// the list of VMs, takes itself for the only entry and shakes hands with every
// agent: 32 entries opened 5,000 connections in two seconds, and at the size
// of two years each would open 7,000.
func TestARestartedEntryDoesNotRushAtAllAgents(t *testing.T) {
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
	told := func(d time.Duration) int {
		n := 0
		for end := now.Add(d); now.Before(end); now = now.Add(tickEvery) {
			for _, action := range core.Tick(now) {
				if tell, ok := action.(SendDigest); ok && tell.To.ID.Role == keys.RoleAgent {
					n++
				}
			}
		}
		return n
	}
	assert.Zero(t, told(time.Second), "it does not know the others yet")
	var entries []Peer
	for i := range 37 {
		id := keys.Identity{Role: keys.RoleEntry, Name: fmt.Sprint("e", i+2)}
		entries = append(entries, Peer{ID: id, Address: fmt.Sprint("10.0.0.2:", i+1), DataCentre: "a"})
	}
	core.SetEntries(entries)
	assert.LessOrEqual(t, told(time.Second), 40, "a few a tick")
}
