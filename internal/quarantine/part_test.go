package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func part(id string) Fingerprint { return PartFingerprint(id) }

// crashUnder records crashes of one server under several subjects.
func crashUnder(r *Registry, now time.Time, server string, subjects ...Fingerprint) {
	var all []Crash
	for _, f := range subjects {
		all = append(all, crashes(f, server)...)
	}
	r.Add(now, all)
}

// Guards against a part that is not blamed because no two requests with it are alike.
func TestAPartIsQuarantinedForCrashesOfDifferentRequests(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	for n := range 3 {
		assert.False(t, registry.Verdict(begin, part("bad")).Quarantined)
		crashUnder(registry, begin, fmt.Sprint("s", n), fp(n), part("bad"))
	}
	assert.True(t, registry.Verdict(begin, part("bad")).Quarantined)
	assert.False(t, registry.Verdict(begin, fp(1)).Quarantined)
	assert.True(t, part("bad").IsPart())
	assert.False(t, fp(1).IsPart())
}

// Guards against quarantining the parts that sound requests share with the faulty ones.
func TestPartsOfWholeRunsAreNotBlamedBesideAnother(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	registry.WholeRun(begin, part("shared"))
	now := after(time.Second)
	for n := range 9 {
		crashUnder(registry, now, fmt.Sprint("s", n), fp(n), part("shared"))
		if n != 4 { // The record of one crash is missing.
			crashUnder(registry, now, fmt.Sprint("s", n), part("bad"))
		}
	}
	assert.True(t, registry.Verdict(now, part("bad")).Quarantined)
	assert.False(t, registry.Verdict(now, part("shared")).Quarantined)
	assert.True(t, registry.MayRepeat(now, part("shared"), []string{"x"}))
	assert.False(t, registry.MayRepeat(now, part("bad"), []string{"x"}))
}

// Guards against blaming a request's parts for a body that crashes servers.
func TestARequestIsBlamedBeforeItsParts(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	for n := range 4 {
		crashUnder(registry, begin, fmt.Sprint("s", n), fp(1), part("a"), part("b"))
	}
	assert.True(t, registry.Verdict(begin, fp(1)).Quarantined)
	assert.False(t, registry.Verdict(begin, part("a")).Quarantined)
	crashUnder(registry, begin, "t1", fp(2), part("a"))
	assert.True(t, registry.Verdict(begin, part("a")).Quarantined, "crashes under other requests too")
	assert.False(t, registry.Verdict(begin, part("b")).Quarantined)
}

// Guards against a part that ran well for long and is never blamed for later crashes.
func TestAPartThatRanBeforeIsQuarantinedAtFiveCrashes(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	registry.WholeRun(begin, part("turned"))
	for n := range 5 {
		assert.False(t, registry.Verdict(begin, part("turned")).Quarantined)
		crashUnder(registry, begin, fmt.Sprint("s", n), part("turned"))
	}
	assert.True(t, registry.Verdict(begin, part("turned")).Quarantined)
	old := NewRegistry(DefaultSettings())
	old.WholeRun(begin, part("turned"))
	late := after(2 * partHistoryPeriod)
	for n := range 3 {
		crashUnder(old, late, fmt.Sprint("s", n), part("turned"))
	}
	assert.True(t, old.Verdict(late, part("turned")).Quarantined, "whole runs of long ago don't count")
}

// Guards against a part whose crashes are all put down to bystanders of a few of them.
func TestABystanderOfFewCrashesDoesNotAccountForMany(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	registry.WholeRun(begin, part("turned"))
	for n := range 9 {
		crashUnder(registry, begin, fmt.Sprint("s", n), part("turned"), part(fmt.Sprint("session", n/3)))
	}
	assert.True(t, registry.Verdict(begin, part("turned")).Quarantined)
}

// A part that crashes most of its runs is quarantined, one that crashes few is not.
func TestAPartThatCrashesSomeRuns(t *testing.T) {
	for _, one := range []struct {
		crashPercent int
		want         bool
	}{{80, true}, {50, true}, {5, false}} {
		held := 0
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 1))
			registry := NewRegistry(DefaultSettings())
			for n := 0; n < 200 && registry.QuarantinedCount() == 0; n++ {
				if random.IntN(100) < one.crashPercent {
					crashUnder(registry, begin, fmt.Sprint("s", n), part("some"))
					continue
				}
				registry.WholeRun(begin, part("some"))
				registry.Clear(begin, part("some"))
			}
			held += registry.QuarantinedCount()
		}
		t.Logf("%d of 100 runs crash: quarantined in %d of 50 seeds", one.crashPercent, held)
		assert.Equal(t, one.want, held > 45, "%d of 100 runs crash", one.crashPercent)
	}
}

// Guards against trials that crash more servers than the part may still reach.
func TestTrialsOfAQuarantinedPartAreFew(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	for n := range 3 {
		crashUnder(registry, begin, fmt.Sprint("s", n), part("bad"))
	}
	var ran []time.Duration
	for d := time.Duration(0); d < DefaultSettings().QuarantineTTL; d += time.Second {
		if v := registry.Verdict(after(d), part("bad")); v.Trial > 0 {
			ran = append(ran, d)
			registry.TrialClaimed(after(d), part("bad"), v.Trial)
			crashUnder(registry, after(d), fmt.Sprint("trial", v.Trial), part("bad"))
		}
		registry.Tick(after(d))
	}
	assert.Equal(t, []time.Duration{5 * time.Second, 5*time.Second + 5*time.Minute}, ran)
}

func TestThePartHistoryIsBounded(t *testing.T) {
	var history partHistory
	for n := range 5 * maxPartHistory {
		history.add(begin, part(fmt.Sprint(n)))
	}
	assert.LessOrEqual(t, len(history.current)+len(history.previous), 2*maxPartHistory)
	assert.True(t, history.contains(begin, part(fmt.Sprint(5*maxPartHistory-1))))
	assert.False(t, history.contains(begin, part("0")))
}

// BenchmarkParts measures a whole run, and the verdicts before a send, for a prompt of
// four shared parts.
func BenchmarkParts(b *testing.B) {
	ids := []string{"5c1e07a2", "91bd3f06", "e4402b7d", "77a0c2f1"}
	registry := NewRegistry(DefaultSettings())
	b.Run("whole-run", func(b *testing.B) {
		for b.Loop() {
			for _, id := range ids {
				registry.WholeRun(begin, part(id))
			}
		}
	})
	for _, suspects := range []int{0, 1, 1000} {
		for n := range suspects {
			crashUnder(registry, begin, fmt.Sprint("s", n%3), part(fmt.Sprint(n)))
		}
		b.Run(fmt.Sprint("verdict-", suspects, "-suspects"), func(b *testing.B) {
			for b.Loop() {
				if !registry.MayContain(PartHead) {
					continue
				}
				for _, id := range ids {
					registry.Verdict(begin, part(id))
				}
			}
		})
	}
}
