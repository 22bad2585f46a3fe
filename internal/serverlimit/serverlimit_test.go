package serverlimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/quota"
	"github.com/jayproxy/jayproxy/internal/serverlimit"
)

const id = quota.Account(7)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func names(perSecond float64, sent, received int) serverlimit.Statement {
	return serverlimit.Statement{Limited: true, PerSecond: perSecond, SentAt: at(sent), ReceivedAt: at(received)}
}

func namesNone(sent, received int) serverlimit.Statement {
	return serverlimit.Statement{SentAt: at(sent), ReceivedAt: at(received)}
}

// Guards against a limit that ends, or comes back, by a response that began before the
// server said otherwise.
func TestResponsesThatOvertakeEachOther(t *testing.T) {
	for name, c := range map[string]struct {
		statements []serverlimit.Statement
		limited    bool
		perSecond  float64
	}{
		"none named":                        {statements: []serverlimit.Statement{namesNone(0, 5)}},
		"named":                             {statements: []serverlimit.Statement{names(1.5, 0, 5)}, limited: true, perSecond: 1.5},
		"a response that began before":      {statements: []serverlimit.Statement{names(1.5, 10, 15), namesNone(0, 20)}, limited: true, perSecond: 1.5},
		"ended":                             {statements: []serverlimit.Statement{names(1.5, 0, 5), namesNone(6, 9)}},
		"ended, an earlier naming is late":  {statements: []serverlimit.Statement{names(1.5, 0, 5), namesNone(20, 25), names(1.5, 1, 19)}},
		"ended, a naming of unknown order":  {statements: []serverlimit.Statement{names(1.5, 0, 5), namesNone(20, 25), names(1.5, 18, 26)}, limited: true, perSecond: 1.5},
		"raised":                            {statements: []serverlimit.Statement{names(1.5, 0, 5), names(3, 6, 9)}, limited: true, perSecond: 3},
		"lowered while the order is open":   {statements: []serverlimit.Statement{names(3, 0, 5), names(1.5, 2, 9)}, limited: true, perSecond: 1.5},
		"an earlier one that names less":    {statements: []serverlimit.Statement{names(3, 10, 15), names(1.5, 0, 9)}, limited: true, perSecond: 3},
		"raised while the order is open":    {statements: []serverlimit.Statement{names(1.5, 0, 5), names(3, 2, 9)}, limited: true, perSecond: 1.5},
		"ended after two of unknown order":  {statements: []serverlimit.Statement{names(1.5, 0, 5), names(3, 2, 9), namesNone(7, 12)}, limited: true, perSecond: 1.5},
		"named again, then ended once more": {statements: []serverlimit.Statement{names(1, 0, 5), namesNone(6, 7), names(2, 8, 9), namesNone(10, 11)}},
	} {
		t.Run(name, func(t *testing.T) {
			l := serverlimit.New()
			for _, s := range c.statements {
				l.Observe(id, s)
			}
			assert.Equal(t, c.limited, l.Limited(id))
			assert.Equal(t, c.perSecond*serverlimit.RequestUnits, l.Cap(id).Rate)
		})
	}
}

// Guards against reports between entries that keep a limit alive, or end it at one of
// them only.
func TestEntriesAgreeOnTheEndOfALimit(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		entries := []*serverlimit.Limits{serverlimit.New(), serverlimit.New(), serverlimit.New(), serverlimit.New()}
		const ended = 4000
		for ms := 0; ms < 7000; ms++ {
			now := at(ms)
			if e := entries[random.IntN(len(entries))]; random.IntN(40) == 0 {
				took := random.IntN(30)
				e.Observe(id, serverlimit.Statement{Limited: ms-took < ended, PerSecond: 1.5, SentAt: at(ms - took - random.IntN(5)), ReceivedAt: now})
			}
			if ms%250 != 0 {
				continue
			}
			lender := entries[0]
			for _, e := range entries[1:] {
				for _, r := range e.Reports(now) {
					lender.Learn(now.Add(time.Duration(random.IntN(5))*time.Millisecond), r)
				}
				for _, r := range lender.Reports(now) {
					e.Learn(now.Add(time.Duration(random.IntN(5))*time.Millisecond), r)
				}
			}
			for i, e := range entries {
				if ms >= 1000 && ms < ended {
					assert.True(t, e.Limited(id), "seed %d, entry %d at %d ms", seed, i, ms)
				}
				if ms >= ended+1500 {
					assert.False(t, e.Limited(id), "seed %d, entry %d at %d ms", seed, i, ms)
				}
			}
		}
	}
}

// Guards against a pause that is no pause, or one for ever.
func TestPauses(t *testing.T) {
	l := serverlimit.New()
	l.Observe(id, names(2, 0, 5))
	l.Pause(id, at(700))
	assert.Equal(t, 200*time.Millisecond, l.PauseLeft(at(500), id))
	assert.Equal(t, []quota.Account{id}, l.Paused(at(500), 8))
	assert.Zero(t, l.PauseLeft(at(700), id))
	assert.Empty(t, l.Paused(at(700), 8))
	l.Pause(id, at(5000))
	l.Observe(id, namesNone(800, 810))
	assert.Zero(t, l.PauseLeft(at(811), id), "the limit has ended")
	limit := quota.Cap{Rate: 2 * serverlimit.RequestUnits}
	assert.Equal(t, 500*time.Millisecond, serverlimit.PauseAfter(limit, -1000, 2*time.Second))
	assert.Equal(t, 300*time.Millisecond, serverlimit.PauseAfter(limit, 0, 2*time.Second))
	assert.Equal(t, serverlimit.MinPause, serverlimit.PauseAfter(limit, -1, 0))
	none := serverlimit.New()
	none.Observe(id, names(0, 0, 5))
	assert.Positive(t, none.Cap(id).Rate, "the end of a limit of none shows in a response only")
}

// Guards against servers that are kept for ever once their limits have ended.
func TestEndedLimitsAreForgotten(t *testing.T) {
	l := serverlimit.New()
	l.Observe(id, names(2, 0, 5))
	l.Observe(id, namesNone(6, 7))
	l.Expire(at(5000))
	assert.False(t, l.Empty())
	l.Expire(at(20000))
	assert.True(t, l.Empty())
}
