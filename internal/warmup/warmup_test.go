package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestVerdicts(t *testing.T) {
	limits := Limits{Waiting: 2, Patience: time.Second}
	arrivals := []struct {
		name    string
		search  Search
		waiting int
		want    Verdict
	}{
		{"configuration known", Found, 0, Serve},
		{"known while others still leave", Found, 2, Serve},
		{"still searching", Running, 0, Wait},
		{"the last place", Running, 1, Wait},
		{"no place", Running, 2, TurnAwayFull},
		{"nothing found", Fruitless, 0, TurnAwayUnknown},
	}
	for _, tt := range arrivals {
		t.Run(tt.name, func(t *testing.T) {
			g := NewGate(limits)
			g.waiting = tt.waiting
			assert.Equal(t, tt.want, g.Arrive(tt.search))
		})
	}
	waits := []struct {
		name   string
		search Search
		waited time.Duration
		want   Verdict
	}{
		{"found", Found, 2 * time.Second, Serve},
		{"nothing yet", Running, 999 * time.Millisecond, Wait},
		{"patience over", Running, time.Second, TurnAwayUnknown},
		{"search over", Fruitless, time.Millisecond, TurnAwayUnknown},
	}
	for _, tt := range waits {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, NewGate(limits).Again(tt.search, tt.waited))
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
	limits := Limits{Waiting: 1000, Patience: 2 * time.Second}
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
				if g.Arrive(Running) != Wait {
					turnedAway++
				}
			}
			assert.LessOrEqual(t, g.Waiting(), limits.Waiting)
			assert.Equal(t, tt.full, turnedAway > 0)
			for g.Waiting() > 0 {
				assert.Equal(t, Serve, g.Again(Found, search))
				g.Leave()
			}
		})
	}
}
