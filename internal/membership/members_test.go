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

func usableOf(m *membership.Members, names []string) (usable []string) {
	for _, name := range names {
		if m.Usable(name) {
			usable = append(usable, name)
		}
	}
	return usable
}

func fail(m *membership.Members, now time.Time, server string, n int) {
	for range n {
		m.Failed(now, server)
	}
}

// Guards against requests to a draining server that would be refused or fail: any of
// the sources may be the first to report it.
func TestTheFirstSourceThatReportsDrainingCounts(t *testing.T) {
	sources := map[string]func(m *membership.Members){
		"agent's answer": func(m *membership.Members) {
			m.ReceiveAgentState(start, "b00", &jayv1.AgentState{Incarnation: 1, Leaving: true})
		},
		"agent's refusal": func(m *membership.Members) { m.RefusedDraining(start, "b00") },
		"another entry": func(m *membership.Members) {
			m.ReceivePeerUpdates(start, []*jayv1.MemberNews{{Name: "b00", State: membership.StateDraining, AgeMs: 500}})
		},
		"VM list by name": func(m *membership.Members) {
			m.ReceiveVMs(start, platform.VMList{VMs: []platform.VM{{Name: "b00", State: platform.VMDraining}}})
		},
		"VM list by address": func(m *membership.Members) {
			m.ReceiveVMs(start, platform.VMList{VMs: []platform.VM{{Name: "vm-7", Address: "10.0.0.0", State: platform.VMDraining}}})
		},
		"operator": func(m *membership.Members) {
			m.SetServers(start, []membership.Server{{Name: "b00", Group: "pool/p", Draining: true}})
		},
	}
	for name, report := range sources {
		t.Run(name, func(t *testing.T) {
			m, _ := pool(3)
			require.True(t, m.Usable("b00"))
			report(m)
			assert.Equal(t, membership.StateDraining, m.State("b00"))
			m.Tick(start.Add(3 * time.Second))
			assert.False(t, m.Usable("b00"))
		})
	}
}

// Guards against a draining server that returns to service because an older reply
// of its agent or a lagging VM list arrives later.
func TestOlderReportsDoNotReturnADrainingServer(t *testing.T) {
	m, _ := pool(3)
	m.ReceiveAgentState(start, "b00", &jayv1.AgentState{Incarnation: 4, Leaving: true})
	m.ReceiveAgentState(start.Add(time.Second), "b00", &jayv1.AgentState{Incarnation: 4})
	m.ReceiveVMs(start.Add(time.Second), platform.VMList{Complete: true, VMs: []platform.VM{{Name: "b00", State: platform.VMLive}}})
	assert.False(t, m.Usable("b00"))

	m.ReceiveAgentState(start.Add(2*time.Second), "b00", &jayv1.AgentState{Incarnation: 5})
	assert.True(t, m.Usable("b00"), "a new incarnation is a new server")
}

func TestACanceledDrainEndsAfterTheReorderWindow(t *testing.T) {
	m, _ := pool(3)
	m.ReceiveAgentState(start, "b00", &jayv1.AgentState{Incarnation: 4, Leaving: true})
	m.ReceiveAgentState(start.Add(6*time.Second), "b00", &jayv1.AgentState{Incarnation: 4})
	assert.True(t, m.Usable("b00"))
}

// Guards against losing a working server because the platform's list omits its VM
// or gives its name to another VM.
func TestAServerThatAnswersIsNotGoneByTheListAlone(t *testing.T) {
	m, _ := pool(3)
	m.ReceiveVMs(start, platform.VMList{Complete: true, VMs: []platform.VM{{Name: "b00", State: platform.VMLive}}})
	m.ReceiveVMs(start.Add(time.Second), platform.VMList{Complete: true, VMs: []platform.VM{{Name: "b09", State: platform.VMLive}}})
	assert.Equal(t, membership.StateGone, m.State("b00"))
	assert.True(t, m.Usable("b01"), "a server whose VM was never listed is not gone")
	m.Succeeded(start.Add(2*time.Second), "b00")
	assert.True(t, m.Usable("b00"))
}

// Guards against ejecting a whole pool when the entry's own network link is down
// and all its offers fail.
func TestFailuresNeverEjectAWholePool(t *testing.T) {
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
	assert.Equal(t, 4, usable, "two of six are ejected, at most about a third")
	m2, _ := pool(1)
	fail(m2, start, "b00", 100)
	assert.True(t, m2.Usable("b00"), "the only server is never ejected")
}

// Guards against a pool without usable servers when, during a rolling replacement,
// all servers drain that are not ejected.
func TestEjectedServersAreReinstatedWhenOthersDrain(t *testing.T) {
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

// Guards against frequent failed attempts at a server that works for a moment after
// each ejection and fails again.
func TestTheBackoffOfAFlappingServerGrows(t *testing.T) {
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

// Guards against a server that stays suspect for good because other servers are free
// and it gets no requests with which to recover.
func TestASuspectWithoutWorkRecovers(t *testing.T) {
	m, _ := pool(3)
	m.Failed(start, "b00")
	m.Tick(start.Add(10 * time.Second))
	assert.Equal(t, membership.StateSuspect, m.State("b00"))
	m.Tick(start.Add(21 * time.Second))
	assert.Equal(t, membership.StateHealthy, m.State("b00"))
}

func TestEjectionsByOtherEntriesAreIgnored(t *testing.T) {
	m, _ := pool(3)
	m.ReceivePeerUpdates(start, []*jayv1.MemberNews{{Name: "b00", State: membership.StateEjected}})
	assert.True(t, m.Usable("b00"))
	m.ReceivePeerUpdates(start, []*jayv1.MemberNews{{Name: "b00", State: membership.StateDraining, AgeMs: 40_000}})
	assert.True(t, m.Usable("b00"), "an expired report is ignored")
}

func TestOnlyReportsFromTheAgentAreSentToPeers(t *testing.T) {
	a, _ := pool(3)
	b, _ := pool(3)
	a.ReceiveAgentState(start, "b00", &jayv1.AgentState{Incarnation: 2, Leaving: true})
	b.ReceivePeerUpdates(start, a.PeerUpdates(start.Add(time.Second)))
	assert.False(t, b.Usable("b00"))
	assert.Empty(t, b.PeerUpdates(start), "reports of other entries are not forwarded, otherwise they would circulate for ever")
}

// Checks with random events that the ejected share of the present servers stays
// within the limit, that a pool keeps a usable server unless all drain or are gone, and that
// nothing panics.
func TestNoSequenceOfEventsEjectsMoreThanTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "servers")
		m, names := pool(n)
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "server")
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				fail(m, now, name, 4)
			case 1:
				m.Succeeded(now, name)
			case 2:
				m.ReceiveAgentState(now, name, &jayv1.AgentState{Incarnation: rapid.Uint64Range(1, 3).Draw(t, "agent incarnation"), Leaving: rapid.Bool().Draw(t, "leaving")})
			case 3:
				state := rapid.SampledFrom([]platform.VMState{platform.VMLive, platform.VMDraining, platform.VMGone}).Draw(t, "vm")
				m.ReceiveVMs(now, platform.VMList{VMs: []platform.VM{{Name: name, State: state, Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation")}}})
			case 4:
				m.ReceivePeerUpdates(now, []*jayv1.MemberNews{{Name: name, State: membership.StateDraining}})
			case 5:
				m.NotListening(now, name)
			case 6:
				m.NotListeningElsewhere(now, name)
			}
			m.Tick(now)
			present, ejected, down := 0, 0, 0
			for _, name := range names {
				switch m.State(name) {
				case membership.StateEjected:
					ejected++
					present++
				case membership.StateHealthy, membership.StateSuspect, membership.StateProbation:
					present++
				case membership.StateDown:
					down++
				}
			}
			if present+down > 0 && len(usableOf(m, names)) == 0 {
				t.Fatalf("none of %d usable", present+down)
			}
			if float64(ejected) > 0.34*float64(present) {
				t.Fatalf("%d of %d ejected", ejected, present)
			}
		}
	})
}

// Guards against a server that stays out for good after its agent reported draining and restarted:
// the engine ran on, so no new incarnation shows, and without offers no newer report arrives.
func TestAServerThatReturnsUnnoticedIsUsedAgain(t *testing.T) {
	m, _ := pool(2)
	now := start
	m.ReceiveAgentState(now, "b00", &jayv1.AgentState{Incarnation: 1, Leaving: true})
	require.False(t, m.Usable("b00"))
	now = now.Add(membership.DefaultSettings().AgentReportTTL)
	m.Tick(now)
	require.True(t, m.Usable("b00"))
	m.RefusedDraining(now, "b00")
	require.False(t, m.Usable("b00"), "a server that still drains refuses the next offer")
}

// Guards against repeated failed connections to servers on whose addresses nothing listens,
// however many they are: with all but one of them, each request tried the same ones.
func TestServersThatDoNotListenAreLeftOutAtOnce(t *testing.T) {
	m, names := pool(5)
	for i, name := range names[:4] {
		m.NotListening(start, name)
		assert.False(t, m.Usable(name))
		assert.Equal(t, names[i+1:], usableOf(m, names))
	}
	fail(m, start, names[4], 100)
	assert.Equal(t, names[4:], usableOf(m, names), "the one server left is never ejected")
	m.Tick(start.Add(499 * time.Millisecond))
	assert.Equal(t, names[4:], usableOf(m, names))
	m.Tick(start.Add(500 * time.Millisecond))
	assert.Equal(t, names, usableOf(m, names), "a single refused connection does not exclude for long")
	assert.Less(t, m.Weight(names[0]), 1.0)
}

// Guards against a pool without usable servers after all refused a connection, and against one
// that listens again and is not tried.
func TestServersThatAllRefuseAreTriedInTurn(t *testing.T) {
	m, names := pool(3)
	now := start
	for n := range 12 {
		for _, name := range usableOf(m, names) {
			m.NotListening(now, name)
		}
		now = now.Add(time.Millisecond)
		if n >= 3 {
			m.Tick(now)
			require.Len(t, usableOf(m, names), 1)
		}
	}
	tried := map[string]bool{}
	for range names {
		for _, name := range usableOf(m, names) {
			tried[name] = true
			m.NotListening(now, name)
		}
	}
	assert.Len(t, tried, 3, "each is tried")
	back := usableOf(m, names)[0]
	for range membership.DefaultSettings().SuspectSuccesses {
		m.Succeeded(now, back)
	}
	assert.Equal(t, []string{back}, usableOf(m, names))
	assert.Equal(t, membership.StateHealthy, m.State(back))
	only, one := pool(1)
	only.NotListening(start, one[0])
	assert.True(t, only.Usable(one[0]))
}

// Guards against a server that is left out long after it listens again, and against as many
// tries at one that stays away as at the others.
func TestThePauseOfAServerThatRefusesGrowsAndIsBounded(t *testing.T) {
	m, names := pool(3)
	now := start
	pauses := func(n int) (all []time.Duration) {
		for range n {
			m.NotListening(now, names[0])
			since := now
			for !m.Usable(names[0]) {
				now = now.Add(100 * time.Millisecond)
				m.Tick(now)
			}
			all = append(all, now.Sub(since))
		}
		return all
	}
	first := []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second}
	assert.Equal(t, first, pauses(5))
	m.Succeeded(now, names[0])
	assert.Equal(t, first[:2], pauses(2), "a success ends the growth")

	m.NotListening(now, names[0])
	m.Succeeded(now, names[0])
	assert.False(t, m.Usable(names[0]), "a request sent before the listener closed may still succeed")
	m.Forget(names[0])
	m.SetServers(now, []membership.Server{{Name: names[0], Group: "pool/p"}, {Name: names[1], Group: "pool/p"}})
	assert.Equal(t, membership.StateHealthy, m.State(names[0]), "a new registration is a new server")
}

// Guards against an ejection for failures that ends early because the server also refused a
// connection.
func TestARefusedConnectionDoesNotShortenAnEjection(t *testing.T) {
	m, names := pool(6)
	fail(m, start, names[0], 9)
	m.NotListening(start, names[0])
	m.Tick(start.Add(time.Second))
	assert.False(t, m.Usable(names[0]))
	m.Tick(start.Add(2 * time.Second))
	assert.True(t, m.Usable(names[0]))
}

// Guards against other entries that take a pool away: the limit on ejections holds for what
// they report.
func TestReportsOfRefusedConnectionsTakeNoPoolAway(t *testing.T) {
	m, names := pool(6)
	for _, name := range names {
		m.NotListeningElsewhere(start.Add(time.Second), name)
	}
	assert.Len(t, usableOf(m, names), 4)
}
