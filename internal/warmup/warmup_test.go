package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestVerdicts(t *testing.T) {
	limits := Limits{MaxWaiting: 2, Timeout: time.Second}
	arrivals := []struct {
		name    string
		search  ConfigState
		waiting int
		want    Decision
	}{
		{"configuration known", Loaded, 0, Serve},
		{"known while others still leave", Loaded, 2, Serve},
		{"still searching", Loading, 0, Wait},
		{"the last place", Loading, 1, Wait},
		{"no place", Loading, 2, RejectFull},
		{"nothing found", NotFound, 0, RejectUnconfigured},
	}
	for _, tt := range arrivals {
		t.Run(tt.name, func(t *testing.T) {
			g := NewGate(limits)
			g.waiting = tt.waiting
			assert.Equal(t, tt.want, g.Admit(tt.search))
		})
	}
	waits := []struct {
		name   string
		search ConfigState
		waited time.Duration
		want   Decision
	}{
		{"found", Loaded, 2 * time.Second, Serve},
		{"nothing yet", Loading, 999 * time.Millisecond, Wait},
		{"patience over", Loading, time.Second, RejectUnconfigured},
		{"search over", NotFound, time.Millisecond, RejectUnconfigured},
	}
	for _, tt := range waits {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, NewGate(limits).Recheck(tt.search, tt.waited))
		})
	}
}

// Story: all entries are restarted together, and each of them gets its share of
// 130,000 requests a second over 810 entries while it reads its configuration.
// Turned away, they would all come back at once. They wait instead, and those
// beyond the bound of a flood are turned away without a wait.
func TestAHerdOfRestartsTurnsNobodyAway(t *testing.T) {
	const (
		perSecond = 130_000 / 810
		flood     = 40 * perSecond
		search    = 1500 * time.Millisecond
	)
	limits := Limits{MaxWaiting: 1000, Timeout: 2 * time.Second}
	for _, tt := range []struct {
		name string
		rate int
		full bool
	}{{"the usual rate", perSecond, false}, {"a flood", flood, true}} {
		t.Run(tt.name, func(t *testing.T) {
			g := NewGate(limits)
			step := time.Second / time.Duration(tt.rate)
			turnedAway := 0
			for at := time.Duration(0); at < search; at += step {
				if g.Admit(Loading) != Wait {
					turnedAway++
				}
			}
			assert.LessOrEqual(t, g.Waiting(), limits.MaxWaiting)
			assert.Equal(t, tt.full, turnedAway > 0)
			for g.Waiting() > 0 {
				assert.Equal(t, Serve, g.Recheck(Loaded, search))
				g.Leave()
			}
		})
	}
}
