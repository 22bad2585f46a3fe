package spread

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/keys"
)

const promised = 5 * time.Second

func entryID(name string) keys.Identity { return keys.Identity{Role: keys.RoleEntry, Name: name} }

// An operator's change is accepted at one entry of 110 in 22 data centres with
// 220 agents, while one exchange in twenty is lost. It must be in force in every
// process within the promised time; the log gives messages, bytes and time.
func TestChangeIsInForceEverywhere(t *testing.T) {
	for seed := range uint64(1) {
		n := newFakeNet(seed, 22, 7, 110, 220)
		n.run(12 * time.Second)
		n.resetCounts()
		const quiet = 10
		n.run(quiet * time.Second)
		processes := len(n.order)
		t.Logf("seed %d idle: %.2f exchanges and %.0f bytes a second per process, %.1f platform reads a second",
			seed, float64(n.messages)/quiet/float64(processes), float64(n.bytes)/quiet/float64(processes), float64(n.reads)/quiet)
		assert.Less(t, float64(n.bytes)/quiet/float64(processes), 1000.0)
		settings := DefaultSettings()
		bound := float64(22*settings.Pollers) + settings.VMReadsPerSecond
		assert.LessOrEqual(t, float64(n.reads)/quiet, bound*1.1, "the fleet's reads stay under the bound, but for the edges of the window")
		n.resetCounts()
		n.loss = 0.05
		for generation := uint64(1); generation <= 3; generation++ {
			n.head = generation
			n.order[int(generation)*25].adopt(generation)
			took := n.runUntil(promised, func() bool { return n.inForce(generation) })
			require.True(t, n.inForce(generation), "seed %d generation %d", seed, generation)
			t.Logf("seed %d generation %d: in force in %d processes after %v, %d exchanges, %d bytes", seed, generation, processes, took, n.messages, n.bytes)
			n.run(2 * time.Second)
			n.resetCounts()
		}
	}
}

// A change that nobody serves: the entry that accepted it dies after the
// commit, so only the table knows. The pollers must find it.
func TestChangeOfADeadEntryIsFoundInTheTable(t *testing.T) {
	n := newFakeNet(1, 3, 1, 3, 24)
	n.run(10 * time.Second)
	n.order[0].down = true
	n.head = 1
	n.runUntil(promised, func() bool { return n.inForce(1) })
	assert.True(t, n.inForce(1))
}

// Callers at the last entry of a data centre see old rules for good: both
// pollers died, the VM list still names them, and the third entry waits for
// their word.
func TestLastEntryPollsByItself(t *testing.T) {
	n := newFakeNet(1, 1, 1, 3, 9)
	n.run(10 * time.Second)
	live := 0
	for _, p := range n.order[:3] {
		if pollsHead(p.peer, n.listed, 2) {
			p.down = true
		} else {
			live++
		}
	}
	require.Equal(t, 1, live)
	n.run(3 * time.Second)
	n.head = 1
	n.runUntil(promised, func() bool { return n.inForce(1) })
	assert.True(t, n.inForce(1))
}

// Callers at one entry of forty see old rules for good: it is cut off from all
// other entries, reaches the table, and leaves the reading to pollers that it
// no longer hears. Its failed digests show it only a few of them at a time.
func TestEntryCutOffFromTheOthersPollsByItself(t *testing.T) {
	n := newFakeNet(1, 1, 1, 40, 0)
	n.run(20 * time.Second)
	for _, p := range n.order {
		if !pollsHead(p.peer, n.listed, 10) {
			p.onlyTo = keys.RoleAgent
			break
		}
	}
	n.run(promised)
	n.head = 1
	n.runUntil(promised, func() bool { return n.inForce(1) })
	assert.True(t, n.inForce(1))
}

// An entry is frozen while two changes are made. When it thaws it must follow
// within the promised time, and its old generation must move nobody back.
func TestFrozenEntryFollowsAndMovesNobodyBack(t *testing.T) {
	n := newFakeNet(2, 3, 1, 9, 30)
	n.run(10 * time.Second)
	n.order[4].down = true
	for generation := uint64(1); generation <= 2; generation++ {
		n.head = generation
		n.order[1].adopt(generation)
		n.run(promised)
	}
	n.order[4].down = false
	n.runUntil(promised, func() bool { return n.inForce(2) })
	assert.True(t, n.inForce(2))
	n.run(promised)
	assert.True(t, n.inForce(2))
}

// The platform is down and every entry VM is replaced at once: all entries
// start with nothing, and agents alone still know the configuration. They
// don't know of each other either, for there is no VM list.
func TestEntriesThatReachOnlyAgentsAdoptFromThem(t *testing.T) {
	n := newFakeNet(3, 3, 1, 3, 24)
	n.run(10 * time.Second)
	n.head = 7
	n.order[0].adopt(7)
	n.run(promised)
	require.True(t, n.inForce(7))
	n.tableDown = true
	for _, p := range n.order[:3] {
		p.onlyTo = keys.RoleAgent
		p.start(nil)
	}
	took := n.runUntil(30*time.Second, func() bool { return n.inForce(7) })
	assert.True(t, n.inForce(7))
	t.Logf("all entries serve the generation again after %v", took)
	assert.Less(t, took, 15*time.Second, "an agent speaks to an entry within its interval")
}

// A peer that tells of a generation it can't give must not be asked without end.
func TestPeerThatTellsMoreThanItGivesIsNotAskedForEver(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := NewCore(now, Peer{ID: entryID("a"), Address: "10.0.0.1:1"}, DefaultSettings())
	actions := c.ReceivedDigest(now, Peer{ID: entryID("b"), Address: "10.0.0.2:1"}, 9)
	require.IsType(t, Pull{}, actions[0])
	asked := 0
	for range 100 {
		actions = c.PullDone(now, entryID("b"), true)
		asked += len(actions)
	}
	assert.Zero(t, asked)
}

// Two reads of the head overlap and the older answer comes last; a stamp of an
// old message arrives late. Neither moves the process back or makes it pull.
func TestLateWordsOfOldGenerationsDoNothing(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := NewCore(now, Peer{ID: entryID("a"), Address: "10.0.0.1:1"}, DefaultSettings())
	c.Adopted(now, 5)
	assert.Empty(t, c.HeadRead(now, 4))
	assert.Empty(t, c.ReceivedGeneration(now, entryID("b"), 3))
	assert.Empty(t, c.Adopted(now, 4))
	assert.Equal(t, uint64(5), c.Generation())
}
