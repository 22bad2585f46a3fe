package membership_test

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/membership"
)

// trial is one seeded run in virtual time: one entry sends 60 requests a
// second to 12 servers by weight; all fail now and then, one fails a share of
// its work from the fault on while it answers every health check.
type trial struct {
	random    *rand.Rand
	members   *membership.Members
	names     []string
	now       time.Time
	baseFault float64
}

const requestsPerSecond = 60

func newTrial(seed uint64) *trial {
	m, names := pool(12)
	return &trial{random: rand.New(rand.NewPCG(seed, 1)), members: m, names: names, now: start, baseFault: 0.005}
}

// run sends for the duration and returns when the server was first ejected (0:
// never), and how often any other was.
func (tr *trial) run(d time.Duration, bad string, share float64) (detected time.Duration, falseEjections int) {
	ejected := map[string]bool{}
	began := tr.now
	for tr.now.Sub(began) < d {
		tr.now = tr.now.Add(time.Second / requestsPerSecond)
		tr.members.Tick(tr.now)
		server := tr.pick()
		fault := tr.baseFault
		if server == bad {
			fault = share
		}
		if tr.random.Float64() < fault {
			tr.members.Failed(tr.now, server)
		} else {
			tr.members.Succeeded(tr.now, server)
		}
		for _, name := range tr.names {
			is := tr.members.State(name) == membership.StateEjected
			if is && !ejected[name] && name != bad {
				falseEjections++
			}
			if is && name == bad && detected == 0 {
				detected = tr.now.Sub(began)
			}
			ejected[name] = is
		}
	}
	return detected, falseEjections
}

func (tr *trial) pick() string {
	total := 0.0
	for _, name := range tr.names {
		if tr.members.Usable(name) {
			total += tr.members.Weight(name)
		}
	}
	at := tr.random.Float64() * total
	for _, name := range tr.names {
		if !tr.members.Usable(name) {
			continue
		}
		if at -= tr.members.Weight(name); at <= 0 {
			return name
		}
	}
	return tr.names[0]
}

// Measures detection and false removals; the figures stand in the note on
// membership. Story: a server answers each health check and fails its work;
// callers see errors until work goes elsewhere.
func TestGreyFailureIsDetectedWithoutFalseRemovals(t *testing.T) {
	const seeds = 20
	for _, tt := range []struct {
		share, median, worst float64
	}{{1, 2, 5}, {0.5, 6, 20}} {
		var times []time.Duration
		for seed := range uint64(seeds) {
			tr := newTrial(seed)
			tr.run(5*time.Second, "", 0)
			detected, _ := tr.run(time.Minute, "b03", tt.share)
			if assert.NotZero(t, detected, "seed %d", seed) {
				times = append(times, detected)
			}
		}
		sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
		t.Logf("fails %.0f%% of its work: detected after %v (median), %v (worst of %d)",
			100*tt.share, times[len(times)/2], times[len(times)-1], len(times))
		assert.Less(t, times[len(times)/2].Seconds(), tt.median)
		assert.Less(t, times[len(times)-1].Seconds(), tt.worst)
	}
	ejections := 0
	const hours = 2
	for seed := range uint64(hours) {
		_, wrong := newTrial(seed).run(time.Hour, "", 0)
		ejections += wrong
	}
	t.Logf("no fault but 0.5%% of all work failing: %d false removals in %d hours of 12 servers", ejections, hours)
	assert.LessOrEqual(t, ejections, 1)
}
