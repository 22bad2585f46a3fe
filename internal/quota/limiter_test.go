package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/quota"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

var start = time.Unix(1000, 0)

// fleet is a set of entries under the load of one workspace, in virtual time.
type fleet struct {
	limiters []*quota.Limiter
	random   *rand.Rand
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7))}
	for range n {
		l := quota.NewLimiter()
		l.SetEntries(n)
		f.limiters = append(f.limiters, l)
	}
	return f
}

// run sends rate requests per second. The fraction toFirst of them goes to the first
// entry, the others to entries drawn at random. It returns the number admitted in
// each second.
func (f *fleet) run(limits quota.Limits, rate float64, toFirst float64, seconds int, tokens float64) []float64 {
	admitted := make([]float64, seconds)
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += time.Duration(float64(time.Second) / rate) {
		i := f.random.IntN(len(f.limiters))
		if f.random.Float64() < toFirst {
			i = 0
		}
		if f.limiters[i].Admit(start.Add(at), "w", limits, tokens).Reason == quota.Admitted {
			admitted[int(at/time.Second)]++
			f.limiters[i].Release("w")
		}
	}
	return admitted
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// Guards against a workspace that gets more than its limit, or less than the stated
// accuracy allows, when it sends ten times the limit evenly or mostly to one entry.
func TestTheFleetEnforcesALimitWithinItsStatedAccuracy(t *testing.T) {
	const limit, seconds = 100.0, 60
	for _, n := range []int{1, 3, 10, 40} {
		for _, toFirst := range []float64{0, 0.5, 1} {
			admitted := sum(newFleet(n, 1).run(quota.Limits{RequestsPerSecond: limit}, 10*limit, toFirst, seconds, 0))
			upperBound := limit*(seconds+quota.Depth.Seconds()) + float64(n)
			assert.LessOrEqual(t, admitted, upperBound, "%d entries", n)
			assert.GreaterOrEqual(t, admitted, 0.99*limit*seconds/float64(n), "%d entries", n)
			t.Logf("%2d entries, %3.0f%% of the load to the first: %.1f requests/s admitted, limit %.0f", n, 100*toFirst, admitted/seconds, limit)
		}
	}
}

func TestDemandBelowTheLimitIsAdmittedWhenItIsSpreadEvenly(t *testing.T) {
	const limit, seconds = 100.0, 60
	for _, n := range []int{1, 3, 10} {
		admitted := sum(newFleet(n, 2).run(quota.Limits{RequestsPerSecond: limit}, 0.8*limit, 0, seconds, 0))
		t.Logf("%2d entries, 80 requests/s spread evenly: %.1f admitted", n, admitted/seconds)
		assert.GreaterOrEqual(t, admitted, 0.95*0.8*limit*seconds, "%d entries", n)
	}
}

func TestTokensAreLimitedAndALargePromptIsRepaid(t *testing.T) {
	l := quota.NewLimiter()
	limits := quota.Limits{TokensPerSecond: 1000}
	assert.Equal(t, quota.Admitted, l.Admit(start, "w", limits, 5000).Reason)
	rejected := l.Admit(start, "w", limits, 10)
	assert.Equal(t, quota.Tokens, rejected.Reason)
	assert.InDelta(t, 4.0, rejected.RetryAfter.Seconds(), 0.01)
	assert.Equal(t, quota.Tokens, l.Admit(start.Add(3900*time.Millisecond), "w", limits, 10).Reason)
	assert.Equal(t, quota.Admitted, l.Admit(start.Add(4100*time.Millisecond), "w", limits, 10).Reason)
}

func TestConcurrentStreamsAreDividedAndNoWorkspaceIsExcluded(t *testing.T) {
	l := quota.NewLimiter()
	l.SetEntries(4)
	limits := quota.Limits{ConcurrentStreams: 6}
	assert.Equal(t, quota.Admitted, l.Admit(start, "w", limits, 0).Reason)
	assert.Equal(t, quota.Admitted, l.Admit(start, "w", limits, 0).Reason)
	assert.Equal(t, quota.Streams, l.Admit(start, "w", limits, 0).Reason)
	l.Release("w")
	assert.Equal(t, quota.Admitted, l.Admit(start, "w", limits, 0).Reason)
	l.SetEntries(40)
	assert.Equal(t, quota.Admitted, l.Admit(start, "v", quota.Limits{ConcurrentStreams: 1}, 0).Reason)
	assert.Equal(t, quota.Admitted, l.Admit(start, "x", quota.Limits{}, 1e9).Reason, "no limit declared")
}

// A rejected request is admitted after its RetryAfter, and not after half of it.
func TestRetryAfterIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := quota.NewLimiter()
		l.SetEntries(rapid.IntRange(1, 50).Draw(t, "entries"))
		limits := quota.Limits{RequestsPerSecond: rapid.Float64Range(0.2, 500).Draw(t, "limit")}
		now := start
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			decision := l.Admit(now, "w", limits, 0)
			if decision.Reason == quota.Admitted {
				continue
			}
			if l.Admit(now.Add(decision.RetryAfter/2), "w", limits, 0).Reason == quota.Admitted {
				t.Fatalf("admitted after half of RetryAfter %v", decision.RetryAfter)
			}
			if l.Admit(now.Add(decision.RetryAfter+time.Microsecond), "w", limits, 0).Reason != quota.Admitted {
				t.Fatalf("rejected after RetryAfter %v", decision.RetryAfter)
			}
			return
		}
	})
}
