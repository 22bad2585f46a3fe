package membership_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/membership"
)

// simulation is one seeded run in virtual time: one entry sends 60 requests per
// second to 12 servers according to their weights. All servers fail a few
// requests; the faulty one fails a given share of them.
type simulation struct {
	random           *rand.Rand
	members          *membership.Members
	names            []string
	now              time.Time
	baseFailureShare float64
}

const requestsPerSecond = 60

func newSimulation(seed uint64) *simulation {
	m, names := pool(12)
	return &simulation{random: rand.New(rand.NewPCG(seed, 1)), members: m, names: names, now: start, baseFailureShare: 0.005}
}

// run sends requests for the duration. It returns when the faulty server was first
// ejected (0: never) and how many ejections hit other servers.
func (sim *simulation) run(d time.Duration, faulty string, share float64) (detected time.Duration, falseEjections int) {
	ejected := map[string]bool{}
	began := sim.now
	for sim.now.Sub(began) < d {
		sim.now = sim.now.Add(time.Second / requestsPerSecond)
		sim.members.Tick(sim.now)
		server := sim.pick()
		failureShare := sim.baseFailureShare
		if server == faulty {
			failureShare = share
		}
		if sim.random.Float64() < failureShare {
			sim.members.Failed(sim.now, server)
		} else {
			sim.members.Succeeded(sim.now, server)
		}
		for _, name := range sim.names {
			isEjected := sim.members.State(name) == membership.StateEjected
			if isEjected && !ejected[name] && name != faulty {
				falseEjections++
			}
			if isEjected && name == faulty && detected == 0 {
				detected = sim.now.Sub(began)
			}
			ejected[name] = isEjected
		}
	}
	return detected, falseEjections
}

func (sim *simulation) pick() string {
	total := 0.0
	for _, name := range sim.names {
		if sim.members.Usable(name) {
			total += sim.members.Weight(name)
		}
	}
	at := sim.random.Float64() * total
	for _, name := range sim.names {
		if !sim.members.Usable(name) {
			continue
		}
		if at -= sim.members.Weight(name); at <= 0 {
			return name
		}
	}
	return sim.names[0]
}

// Guards against a server that answers health checks but fails requests and is
// detected late, and against ejections of healthy servers.
func TestPartialFailureIsDetectedWithoutFalseEjections(t *testing.T) {
	const seeds = 20
	for _, tt := range []struct {
		share, median, worst float64
	}{{1, 2, 5}, {0.5, 6, 20}} {
		var times []time.Duration
		for seed := range uint64(seeds) {
			sim := newSimulation(seed)
			sim.run(5*time.Second, "", 0)
			detected, _ := sim.run(time.Minute, "b03", tt.share)
			if assert.NotZero(t, detected, "seed %d", seed) {
				times = append(times, detected)
			}
		}
		sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
		t.Logf("fails %.0f%% of its requests: ejected after %v (median), %v (worst of %d)",
			100*tt.share, times[len(times)/2], times[len(times)-1], len(times))
		assert.Less(t, times[len(times)/2].Seconds(), tt.median)
		assert.Less(t, times[len(times)-1].Seconds(), tt.worst)
	}
	ejections := 0
	const hours = 2
	for seed := range uint64(hours) {
		_, falseCount := newSimulation(seed).run(time.Hour, "", 0)
		ejections += falseCount
	}
	t.Logf("0.5%% of all requests failing: %d false ejections in %d hours with 12 servers", ejections, hours)
	assert.LessOrEqual(t, ejections, 1)
}

// Guards against unresponsive servers that each entry has to find out about by itself.
func TestReportsOfOtherEntriesEjectAServer(t *testing.T) {
	m := membership.New(membership.DefaultSettings())
	servers := make([]membership.Server, 6)
	for i := range servers {
		servers[i] = membership.Server{Name: fmt.Sprintf("b%d", i), Group: "models"}
	}
	now := time.Unix(1000, 0)
	m.SetServers(now, servers)
	for range 3 {
		m.FailedElsewhere(now, "b0")
	}
	assert.False(t, m.Usable("b0"))
	m.Succeeded(now, "b1")
	for range 10 {
		m.FailedElsewhere(now.Add(100*time.Millisecond), "b1")
	}
	assert.True(t, m.Usable("b1"), "a success of its own is newer evidence")
	for _, server := range servers {
		for range 10 {
			m.FailedElsewhere(now.Add(time.Second), server.Name)
		}
	}
	usable := 0
	for _, server := range servers {
		if m.Usable(server.Name) {
			usable++
		}
	}
	assert.GreaterOrEqual(t, usable, 4, "an entry without a link must not empty the pool")
}
