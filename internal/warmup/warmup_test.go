package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDecisions(t *testing.T) {
	limits := Limits{MaxWaiting: 2, Timeout: time.Second}
	arrivals := []struct {
		name    string
		state   ConfigState
		waiting int
		want    Decision
	}{
		{"configuration known", Loaded, 0, Serve},
		{"configuration known while others still wait", Loaded, 2, Serve},
		{"loading", Loading, 0, Wait},
		{"loading, one place left", Loading, 1, Wait},
		{"loading, no place left", Loading, 2, RejectFull},
		{"no configuration found", NotFound, 0, RejectUnconfigured},
	}
	for _, tt := range arrivals {
		t.Run(tt.name, func(t *testing.T) {
			g := NewGate(limits)
			g.waiting = tt.waiting
			assert.Equal(t, tt.want, g.Admit(tt.state))
		})
	}
	waits := []struct {
		name   string
		state  ConfigState
		waited time.Duration
		want   Decision
	}{
		{"loaded", Loaded, 2 * time.Second, Serve},
		{"loading before the timeout", Loading, 999 * time.Millisecond, Wait},
		{"loading at the timeout", Loading, time.Second, RejectUnconfigured},
		{"no configuration found while waiting", NotFound, time.Millisecond, RejectUnconfigured},
	}
	for _, tt := range waits {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, NewGate(limits).Recheck(tt.state, tt.waited))
		})
	}
}

// Guards against rejecting requests when all 810 entries restart together at
// 130,000 requests per second. Only an overload beyond MaxWaiting is rejected.
func TestRequestsWaitDuringASimultaneousRestart(t *testing.T) {
	const (
		perSecond   = 130_000 / 810
		overload    = 40 * perSecond
		loadingTime = 1500 * time.Millisecond
	)
	limits := Limits{MaxWaiting: 1000, Timeout: 2 * time.Second}
	for _, tt := range []struct {
		name string
		rate int
		full bool
	}{{"usual rate", perSecond, false}, {"overload", overload, true}} {
		t.Run(tt.name, func(t *testing.T) {
			g := NewGate(limits)
			step := time.Second / time.Duration(tt.rate)
			rejected := 0
			for at := time.Duration(0); at < loadingTime; at += step {
				if g.Admit(Loading) != Wait {
					rejected++
				}
			}
			assert.LessOrEqual(t, g.Waiting(), limits.MaxWaiting)
			assert.Equal(t, tt.full, rejected > 0)
			for g.Waiting() > 0 {
				assert.Equal(t, Serve, g.Recheck(Loaded, loadingTime))
				g.Leave()
			}
		})
	}
}
