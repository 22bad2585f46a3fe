package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/membership"
	"github.com/jayproxy/jayproxy/internal/platform"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

var start = time.Unix(1000, 0)

func pool(n int) (*membership.Members, []string) {
	m := membership.New(membership.DefaultSettings())
	var servers []membership.Server
	var names []string
	for i := range n {
		name := fmt.Sprintf("b%02d", i)
		names = append(names, name)
		servers = append(servers, membership.Server{Name: name, Group: "pool/p", Host: fmt.Sprintf("10.0.0.%d", i)})
	}
	m.SetServers(start, servers)
	return m, names
}

func fail(m *membership.Members, now time.Time, server string, n int) {
	for range n {
		m.Failed(now, server)
	}
}

// Story: a VM is about to be replaced. The platform's list says so half a
// minute late; the agent, another entry or an operator say so earlier. Work
// sent there in between would be cut or refused.
func TestTheFirstSourceThatSaysLeavingCounts(t *testing.T) {
	sources := map[string]func(m *membership.Members){
		"agent's answer": func(m *membership.Members) {
			m.ReceiveAgentState(start, "b00", &jayv1.AgentState{Incarnation: 1, Leaving: true})
		},
		"agent's refusal": func(m *membership.Members) { m.RefusedDraining(start, "b00") },
		"another entry": func(m *membership.Members) {
			m.ReceivePeerUpdates(start, []*jayv1.MemberNews{{Name: "b00", State: membership.StateDraining, AgeMs: 500}})
		},
		"VM list by name": func(m *membership.Members) {
			m.ReceiveVMs(start, platform.VMList{VMs: []platform.VM{{Name: "b00", State: platform.VMLeaving}}})
		},
		"VM list by address": func(m *membership.Members) {
			m.ReceiveVMs(start, platform.VMList{VMs: []platform.VM{{Name: "vm-7", Address: "10.0.0.0", State: platform.VMLeaving}}})
		},
		"operator": func(m *membership.Members) {
			m.SetServers(start, []membership.Server{{Name: "b00", Group: "pool/p", Draining: true}})
		},
	}
	for name, say := range sources {
		t.Run(name, func(t *testing.T) {
			m, _ := pool(3)
			require.True(t, m.Usable("b00"))
			say(m)
			assert.Equal(t, membership.StateDraining, m.State("b00"))
			m.Tick(start.Add(3 * time.Second))
			assert.False(t, m.Usable("b00"))
		})
	}
}

// Story: an agent says that it leaves. An answer that it gave a moment before
// comes in after that, and the platform's list still calls it live. Either
// would bring the server back into service while it shuts down.
func TestOlderWordsDoNotBringALeavingServerBack(t *testing.T) {
	m, _ := pool(3)
	m.ReceiveAgentState(start, "b00", &jayv1.AgentState{Incarnation: 4, Leaving: true})
	m.ReceiveAgentState(start.Add(time.Second), "b00", &jayv1.AgentState{Incarnation: 4})
	m.ReceiveVMs(start.Add(time.Second), platform.VMList{Whole: true, VMs: []platform.VM{{Name: "b00", State: platform.VMLive}}})
	assert.False(t, m.Usable("b00"))

	m.ReceiveAgentState(start.Add(2*time.Second), "b00", &jayv1.AgentState{Incarnation: 5})
	assert.True(t, m.Usable("b00"), "a new boot is a new server")
}

func TestALeavingThatWasCalledOffEndsAfterTheSettleTime(t *testing.T) {
	m, _ := pool(3)
	m.ReceiveAgentState(start, "b00", &jayv1.AgentState{Incarnation: 4, Leaving: true})
	m.ReceiveAgentState(start.Add(6*time.Second), "b00", &jayv1.AgentState{Incarnation: 4})
	assert.True(t, m.Usable("b00"))
}

// Story: the platform drops a VM from its list by mistake, or another VM got
// its name. Work there goes on well; taking it out would only lose capacity.
func TestAServerThatWorksIsNotGoneBecauseAListSaysSo(t *testing.T) {
	m, _ := pool(3)
	m.ReceiveVMs(start, platform.VMList{Whole: true, VMs: []platform.VM{{Name: "b00", State: platform.VMLive}}})
	m.ReceiveVMs(start.Add(time.Second), platform.VMList{Whole: true, VMs: []platform.VM{{Name: "b09", State: platform.VMLive}}})
	assert.Equal(t, membership.StateGone, m.State("b00"))
	assert.True(t, m.Usable("b01"), "a server that was never listed is not gone")
	m.Succeeded(start.Add(2*time.Second), "b00")
	assert.True(t, m.Usable("b00"))
}

// Story: one entry's own link is cut one way. Every offer it makes fails, and
// by its evidence the whole pool is down. Ejecting all would turn a cut link
// into refused callers for as long as the backoff lasts.
func TestBadEvidenceNeverEmptiesAPool(t *testing.T) {
	m, names := pool(6)
	for _, name := range names {
		fail(m, start, name, 20)
	}
	usable := 0
	for _, name := range names {
		if m.Usable(name) {
			usable++
			assert.Positive(t, m.Weight(name))
		}
	}
	assert.Equal(t, 4, usable, "at most a third is ejected")
	m2, _ := pool(1)
	fail(m2, start, "b00", 100)
	assert.True(t, m2.Usable("b00"), "the only server is never ejected")
}

// Story: two of six servers are ejected; then the others leave one by one in a
// rolling replacement. The ejected ones must come back before nothing is left.
func TestEjectedServersArePardonedWhenOthersLeave(t *testing.T) {
	m, names := pool(6)
	fail(m, start, names[0], 9)
	fail(m, start, names[1], 9)
	for _, name := range names[2:] {
		m.ReceiveAgentState(start, name, &jayv1.AgentState{Leaving: true})
	}
	m.Tick(start)
	assert.True(t, m.Usable(names[0]))
	assert.True(t, m.Usable(names[1]))
}

// Story: a server fails, is ejected, works for a moment and fails again, over
// and over. Each round costs callers failed attempts; the rounds must get rarer.
func TestAFlappingServerIsTriedEverMoreRarely(t *testing.T) {
	m, names := pool(6)
	now := start
	var waits []time.Duration
	for range 6 {
		fail(m, now, names[0], 4)
		require.Equal(t, membership.StateEjected, m.State(names[0]))
		since := now
		for m.State(names[0]) == membership.StateEjected {
			now = now.Add(100 * time.Millisecond)
			m.Tick(now)
		}
		waits = append(waits, now.Sub(since).Round(time.Second))
		require.Equal(t, membership.StateProbation, m.State(names[0]))
		assert.Less(t, m.Weight(names[0]), 0.5)
	}
	assert.Equal(t, []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second, time.Minute}, waits)
}

// Story: one answer breaks. Work goes to other servers, which are free, so the
// suspect never gets the chance to prove itself, and its cached prefixes go
// unused for good.
func TestASuspicionFadesWithoutWork(t *testing.T) {
	m, _ := pool(3)
	m.Failed(start, "b00")
	m.Tick(start.Add(10 * time.Second))
	assert.Equal(t, membership.StateSuspect, m.State("b00"))
	m.Tick(start.Add(21 * time.Second))
	assert.Equal(t, membership.StateHealthy, m.State("b00"))
}

func TestAnotherEntrysEjectionIsNotTaken(t *testing.T) {
	m, _ := pool(3)
	m.ReceivePeerUpdates(start, []*jayv1.MemberNews{{Name: "b00", State: membership.StateEjected}})
	assert.True(t, m.Usable("b00"))
	m.ReceivePeerUpdates(start, []*jayv1.MemberNews{{Name: "b00", State: membership.StateDraining, AgeMs: 40_000}})
	assert.True(t, m.Usable("b00"), "news that is too old")
}

func TestNewsIsToldByWhoHeardItFromTheServer(t *testing.T) {
	a, _ := pool(3)
	b, _ := pool(3)
	a.ReceiveAgentState(start, "b00", &jayv1.AgentState{Incarnation: 2, Leaving: true})
	b.ReceivePeerUpdates(start, a.PeerUpdates(start.Add(time.Second)))
	assert.False(t, b.Usable("b00"))
	assert.Empty(t, b.PeerUpdates(start), "news is not passed on, or it would never end")
}

// Whatever comes in whatever order, at most the set share of a pool's present
// servers is ejected, and no call on the members panics.
func TestNoOrderOfEventsEjectsMoreThanTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "servers")
		m, names := pool(n)
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "server")
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				fail(m, now, name, 4)
			case 1:
				m.Succeeded(now, name)
			case 2:
				m.ReceiveAgentState(now, name, &jayv1.AgentState{Incarnation: rapid.Uint64Range(1, 3).Draw(t, "boot"), Leaving: rapid.Bool().Draw(t, "leaving")})
			case 3:
				state := rapid.SampledFrom([]platform.VMState{platform.VMLive, platform.VMLeaving, platform.VMGone}).Draw(t, "vm")
				m.ReceiveVMs(now, platform.VMList{VMs: []platform.VM{{Name: name, State: state, Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation")}}})
			case 4:
				m.ReceivePeerUpdates(now, []*jayv1.MemberNews{{Name: name, State: membership.StateDraining}})
			}
			m.Tick(now)
			present, ejected := 0, 0
			for _, name := range names {
				switch m.State(name) {
				case membership.StateEjected:
					ejected++
					present++
				case membership.StateHealthy, membership.StateSuspect, membership.StateProbation:
					present++
				}
			}
			if float64(ejected) > 0.34*float64(present) {
				t.Fatalf("%d of %d ejected", ejected, present)
			}
		}
	})
}

// After a rolling release one backend server idles for ever. Its agent said
// that it leaves, stopped and was started again at the same address; the engine
// ran on, so no new boot shows. Entries keep it out because of its last word,
// offer it nothing, and so never hear that it is back.
func TestAServerThatLeftAndCameBackUnseenIsTriedAgain(t *testing.T) {
	m, _ := pool(2)
	now := start
	m.ReceiveAgentState(now, "b00", &jayv1.AgentState{Incarnation: 1, Leaving: true})
	require.False(t, m.Usable("b00"))
	now = now.Add(membership.DefaultSettings().AgentReportTTL)
	m.Tick(now)
	require.True(t, m.Usable("b00"))
	m.RefusedDraining(now, "b00")
	require.False(t, m.Usable("b00"), "one that is still leaving says so at once")
}

// Story: engines crash. Each entry needed three failed connections to each of
// them before it left them alone, though nothing listened there.
func TestAServerThatDoesNotListenIsLeftAloneAtOnce(t *testing.T) {
	m, names := pool(4)
	m.NotListening(start, names[0])
	assert.False(t, m.Usable(names[0]))
	m.NotListening(start, names[1])
	assert.True(t, m.Usable(names[1]), "a pool is not emptied on such evidence")
}
