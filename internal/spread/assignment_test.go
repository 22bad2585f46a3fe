package spread

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/keys"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

func newPeer(role keys.Role, name, centre string) Peer {
	return Peer{ID: keys.Identity{Role: role, Name: name}, Address: name, DataCentre: centre}
}

// Every agent is assigned to the configured number of entries, and with one entry per
// agent no entry exceeds its capacity. All entries compute the same assignment.
func TestAgentsAreAssignedEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 40).Draw(t, "entries")
		agents := rapid.IntRange(0, 320).Draw(t, "agents")
		perAgent := rapid.IntRange(1, min(3, entries)).Draw(t, "entries per agent")
		var entryPeers, agentPeers []Peer
		for i := range entries {
			entryPeers = append(entryPeers, newPeer(keys.RoleEntry, fmt.Sprint("e", i), "a"))
		}
		for i := range agents {
			agentPeers = append(agentPeers, newPeer(keys.RoleAgent, fmt.Sprint("b", i), "a"))
		}
		capacity := (11*agents*perAgent + 10*entries - 1) / (10 * entries)
		assignments := map[keys.Identity]int{}
		for i, self := range entryPeers {
			others := append(append([]Peer{}, entryPeers[:i]...), entryPeers[i+1:]...)
			assigned := newAgentAssignment(self, others, others, perAgent).assigned(agentPeers)
			if perAgent == 1 {
				assert.LessOrEqual(t, len(assigned), capacity)
			}
			for _, agent := range assigned {
				assignments[agent.ID]++
			}
		}
		for _, agent := range agentPeers {
			assert.Equal(t, perAgent, assignments[agent.ID], agent.ID.Name)
		}
	})
}
