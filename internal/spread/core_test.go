package spread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/keys"
)

const maxSpreadTime = 5 * time.Second

func entryID(name string) keys.Identity { return keys.Identity{Role: keys.RoleEntry, Name: name} }

// A change accepted at one of 110 entries is in force in every process within maxSpreadTime
// while 5% of the exchanges are lost. Idle traffic and reads of the platform stay bounded.
func TestChangeIsInForceEverywhere(t *testing.T) {
	for seed := range uint64(1) {
		n := newFakeNet(seed, 22, 7, 110, 220)
		n.run(12 * time.Second)
		n.resetCounts()
		const idleSeconds = 10
		n.run(idleSeconds * time.Second)
		processes := len(n.order)
		t.Logf("seed %d idle: %.2f exchanges/s and %.0f bytes/s per process, %.1f platform reads/s",
			seed, float64(n.messages)/idleSeconds/float64(processes), float64(n.bytes)/idleSeconds/float64(processes), float64(n.reads)/idleSeconds)
		assert.Less(t, float64(n.bytes)/idleSeconds/float64(processes), 1000.0)
		settings := DefaultSettings()
		bound := float64(22*settings.Pollers) + settings.VMReadsPerSecond
		assert.LessOrEqual(t, float64(n.reads)/idleSeconds, bound*1.1, "reads of the platform per second, with a tolerance for the edges of the window")
		n.resetCounts()
		n.lossRate = 0.05
		for generation := uint64(1); generation <= 3; generation++ {
			n.head = generation
			n.order[int(generation)*25].adopt(generation)
			took := n.runUntil(maxSpreadTime, func() bool { return n.inForce(generation) })
			require.True(t, n.inForce(generation), "seed %d generation %d", seed, generation)
			t.Logf("seed %d generation %d: in force in all %d processes after %v, %d exchanges, %d bytes", seed, generation, processes, took, n.messages, n.bytes)
			n.run(2 * time.Second)
			n.resetCounts()
		}
	}
}

// The accepting entry fails after the commit, so only the store has the change. Pollers
// must find it.
func TestChangeOfFailedEntryIsReadFromStore(t *testing.T) {
	n := newFakeNet(1, 3, 1, 3, 24)
	n.run(10 * time.Second)
	n.order[0].down = true
	n.head = 1
	n.runUntil(maxSpreadTime, func() bool { return n.inForce(1) })
	assert.True(t, n.inForce(1))
}

// Both pollers of a data centre failed but are still in the VM list. The remaining entry
// must poll the head itself.
func TestLastLiveEntryPolls(t *testing.T) {
	n := newFakeNet(1, 1, 1, 3, 9)
	n.run(10 * time.Second)
	live := 0
	for _, p := range n.order[:3] {
		if isHeadPoller(p.peer, n.listed, 2) {
			p.down = true
		} else {
			live++
		}
	}
	require.Equal(t, 1, live)
	n.run(3 * time.Second)
	n.head = 1
	n.runUntil(maxSpreadTime, func() bool { return n.inForce(1) })
	assert.True(t, n.inForce(1))
}

// An entry that reaches the store but no other entry must poll the head itself, although
// it is not one of the pollers.
func TestIsolatedEntryPolls(t *testing.T) {
	n := newFakeNet(1, 1, 1, 40, 0)
	n.run(20 * time.Second)
	for _, p := range n.order {
		if !isHeadPoller(p.peer, n.listed, 10) {
			p.reachableRole = keys.RoleAgent
			break
		}
	}
	n.run(maxSpreadTime)
	n.head = 1
	n.runUntil(maxSpreadTime, func() bool { return n.inForce(1) })
	assert.True(t, n.inForce(1))
}

// An entry that was suspended during two changes catches up within the time limit, and
// its old generation moves no other process back.
func TestResumedEntryCatchesUpWithoutRollback(t *testing.T) {
	n := newFakeNet(2, 3, 1, 9, 30)
	n.run(10 * time.Second)
	n.order[4].down = true
	for generation := uint64(1); generation <= 2; generation++ {
		n.head = generation
		n.order[1].adopt(generation)
		n.run(maxSpreadTime)
	}
	n.order[4].down = false
	n.runUntil(maxSpreadTime, func() bool { return n.inForce(2) })
	assert.True(t, n.inForce(2))
	n.run(maxSpreadTime)
	assert.True(t, n.inForce(2))
}

// All entry VMs are replaced while the platform is down. The entries must receive the
// generation from agents, without a VM list.
func TestEntriesThatReachOnlyAgentsAdoptFromThem(t *testing.T) {
	n := newFakeNet(3, 3, 1, 3, 24)
	n.run(10 * time.Second)
	n.head = 7
	n.order[0].adopt(7)
	n.run(maxSpreadTime)
	require.True(t, n.inForce(7))
	n.storeDown = true
	for _, p := range n.order[:3] {
		p.reachableRole = keys.RoleAgent
		p.start(nil)
	}
	took := n.runUntil(30*time.Second, func() bool { return n.inForce(7) })
	assert.True(t, n.inForce(7))
	t.Logf("generation in force at all entries again after %v", took)
	assert.Less(t, took, 15*time.Second, "an agent sends a digest to an entry within its interval")
}

// A peer that reports a higher generation than it serves must not cause endless pulls.
func TestPullsFromPeerWithoutReportedGenerationStop(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := NewCore(now, Peer{ID: entryID("a"), Address: "10.0.0.1:1"}, DefaultSettings())
	actions := c.ReceivedDigest(now, Peer{ID: entryID("b"), Address: "10.0.0.2:1"}, 9)
	require.IsType(t, Pull{}, actions[0])
	pulls := 0
	for range 100 {
		actions = c.PullDone(now, entryID("b"), true)
		pulls += len(actions)
	}
	assert.Zero(t, pulls)
}

// An older generation that arrives late, from the store or a peer, neither moves the
// process back nor causes a pull.
func TestLateOldGenerationsAreIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := NewCore(now, Peer{ID: entryID("a"), Address: "10.0.0.1:1"}, DefaultSettings())
	c.Adopted(now, 5)
	assert.Empty(t, c.HeadRead(now, 4))
	assert.Empty(t, c.ReceivedGeneration(now, entryID("b"), 3))
	assert.Empty(t, c.Adopted(now, 4))
	assert.Equal(t, uint64(5), c.Generation())
}
