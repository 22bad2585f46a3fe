package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var begin = time.Unix(1_800_000_000, 0)

func after(d time.Duration) time.Time { return begin.Add(d) }

func fp(n int) Fingerprint {
	return (&Identity{Target: fmt.Sprint(n)}).Fingerprint()
}

func strikes(f Fingerprint, servers ...string) []Crash {
	var all []Crash
	for _, server := range servers {
		all = append(all, Crash{Request: f, Server: server})
	}
	return all
}

func TestARequestUnderWhichThreeServersCrashedIsHeld(t *testing.T) {
	b := NewRegistry(DefaultSettings())
	assert.Empty(t, b.Add(begin, strikes(fp(1), "a", "b", "b", "a")))
	assert.False(t, b.Verdict(begin, fp(1)).Quarantined)
	assert.Equal(t, []Fingerprint{fp(1)}, b.Add(begin, strikes(fp(1), "c")))
	assert.True(t, b.Verdict(begin, fp(1)).Quarantined)
	assert.False(t, b.Verdict(begin, fp(2)).Quarantined)
	assert.Equal(t, 1, b.QuarantinedCount())
	assert.Empty(t, b.Add(begin, strikes(fp(1), "d")), "held before")
}

// Guards against bystanders that are held because the same servers crashed under them.
func TestACrashCountsOnceForTheRequestThatAccountsForMost(t *testing.T) {
	b := NewRegistry(DefaultSettings())
	culprit, bystander := fp(1), fp(2)
	b.Add(begin, strikes(culprit, "a", "b", "c"))
	b.Add(begin, strikes(bystander, "a", "b"))
	b.Add(begin, strikes(culprit, "d"))
	b.Add(begin, strikes(bystander, "c"))
	assert.True(t, b.Verdict(begin, culprit).Quarantined)
	assert.False(t, b.Verdict(begin, bystander).Quarantined)
	assert.True(t, b.MayRepeat(bystander, []string{"e"}), "its crashes are accounted for")
	b.Add(begin, strikes(bystander, "f", "g", "h"))
	assert.True(t, b.Verdict(begin, bystander).Quarantined, "three crashes without the other")
}

// Guards against a bystander that pays for good because it ran beside the
// request at fault each time.
func TestInDoubtATrialTellsWhoIsAtFault(t *testing.T) {
	b := NewRegistry(DefaultSettings())
	culprit, bystander := fp(1), fp(2)
	b.Add(begin, append(strikes(culprit, "a", "b", "c"), strikes(bystander, "a", "b", "c")...))
	first, second := culprit, bystander
	if b.Verdict(begin, first).Trial == 0 {
		first, second = bystander, culprit
	}
	assert.Equal(t, 1, b.Verdict(begin, first).Trial)
	assert.Zero(t, b.Verdict(begin, second).Trial, "not at once")
	assert.Equal(t, trialTurn, b.Verdict(begin, second).RetryAfter)
	late := begin.Add(trialTurn * 7 / 10)
	assert.Zero(t, b.Verdict(late, first).Trial+b.Verdict(late, second).Trial, "too late in the turn")
	next := begin.Add(trialTurn)
	assert.Equal(t, 1, b.Verdict(next, second).Trial)
	assert.Zero(t, b.Verdict(next, first).Trial)
	b.TrialClaimed(begin, culprit, 1)
	assert.Zero(t, b.Verdict(begin, culprit).Trial, "one trial")
	b.Add(after(time.Second), strikes(culprit, "d"))
	assert.False(t, b.Verdict(after(time.Second), bystander).Quarantined, "the other accounts for all three")
	assert.True(t, b.Verdict(after(time.Second), culprit).Quarantined)
	assert.Zero(t, b.Verdict(after(time.Second), culprit).Trial)
}

func TestWhoRanWholeInDoubtLeavesTheOtherHeld(t *testing.T) {
	b := NewRegistry(DefaultSettings())
	culprit, bystander := fp(1), fp(2)
	b.Add(begin, append(strikes(culprit, "a", "b", "c"), strikes(bystander, "a", "b", "c")...))
	b.Clear(after(time.Second), bystander)
	v := b.Verdict(after(time.Second), culprit)
	assert.True(t, v.Quarantined)
	assert.Zero(t, v.Trial, "no doubt is left")
}

func TestARequestThatRanWholeIsForgotten(t *testing.T) {
	b := NewRegistry(DefaultSettings())
	b.Add(begin, strikes(fp(1), "a", "b", "c"))
	known, ok := b.Clear(begin, fp(1))
	require.True(t, ok)
	assert.Equal(t, []string{"a", "b", "c"}, known.Servers)
	assert.False(t, b.Verdict(begin, fp(1)).Quarantined)
	assert.False(t, b.MayContain(fp(1).Head()))
	assert.Zero(t, b.QuarantinedCount())
	_, ok = b.Clear(begin, fp(1))
	assert.False(t, ok)
}

// Guards against more than three servers that a request ends after it is held.
func TestTrialsOfAHeldRequestAreFew(t *testing.T) {
	settings := DefaultSettings()
	b := NewRegistry(settings)
	b.Add(begin, strikes(fp(1), "a", "b", "c"))
	ran := 0
	for d := time.Duration(0); d < settings.QuarantineTTL; d += time.Second {
		v := b.Verdict(after(d), fp(1))
		require.True(t, v.Quarantined)
		require.Positive(t, v.RetryAfter)
		if v.Trial > 0 {
			ran++
			b.TrialClaimed(after(d), fp(1), v.Trial)
			b.Add(after(d), strikes(fp(1), fmt.Sprint("trial", v.Trial)))
		}
		b.Tick(after(d))
	}
	assert.Equal(t, len(settings.TrialDelays), ran)
	assert.Less(t, ran, 3)
}

func TestATrialThatDidNotRunIsGivenBack(t *testing.T) {
	b := NewRegistry(DefaultSettings())
	b.Add(begin, strikes(fp(1), "a", "b", "c"))
	due := after(5 * time.Minute)
	require.Equal(t, 1, b.Verdict(due, fp(1)).Trial)
	b.TrialClaimed(due, fp(1), 1)
	require.Zero(t, b.Verdict(due, fp(1)).Trial)
	b.TrialReleased(fp(1), 1)
	assert.Equal(t, 1, b.Verdict(due.Add(5*time.Minute), fp(1)).Trial)
	b.TrialReleased(fp(1), 2)
	assert.Equal(t, 1, b.Verdict(due.Add(5*time.Minute), fp(1)).Trial)
}

// Guards against a third server that the system's own repeat ends.
func TestASuspectIsNotSentTwiceInOneAttempt(t *testing.T) {
	b := NewRegistry(DefaultSettings())
	assert.True(t, b.MayRepeat(fp(1), []string{"a"}), "the first crash may be another's")
	assert.False(t, b.MayRepeat(fp(1), []string{"a", "b"}))
	assert.True(t, b.MayRepeat(fp(1), []string{"a", "a"}))
	b.Add(begin, strikes(fp(1), "a"))
	assert.True(t, b.MayRepeat(fp(1), []string{"a"}), "the same crash")
	assert.False(t, b.MayRepeat(fp(1), []string{"b"}))
}

// Guards against entries that hold different requests: words come in any order,
// twice, and are taken back.
func TestTheOrderOfWordsChangesNothing(t *testing.T) {
	var words []Crash
	for i, servers := range [][]string{{"a", "b", "c", "d"}, {"a", "b", "c"}, {"b", "c", "e"}, {"x"}, {"x", "y", "z"}, {"x", "y", "z"}} {
		words = append(words, strikes(fp(i), servers...)...)
	}
	want := NewRegistry(DefaultSettings())
	want.Add(begin, words)
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := NewRegistry(DefaultSettings())
		order := append(append([]Crash{}, words...), words[:5]...)
		r.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		for _, one := range order {
			b.Add(begin, []Crash{one})
			if r.IntN(4) == 0 {
				b.Remove(begin, one)
				b.Add(begin, []Crash{one})
			}
		}
		assert.Equal(t, want.List(), b.List(), "seed %d", seed)
	}
}

func TestWhatIsOldIsForgotten(t *testing.T) {
	settings := DefaultSettings()
	b := NewRegistry(settings)
	b.Add(begin, strikes(fp(1), "a"))
	b.Add(begin, strikes(fp(2), "x", "y", "z"))
	assert.Empty(t, b.Tick(after(settings.SuspectTTL-1)))
	gone := b.Tick(after(settings.SuspectTTL))
	require.Len(t, gone, 1)
	assert.Equal(t, fp(1), gone[0].Fingerprint)
	assert.True(t, b.Verdict(after(settings.SuspectTTL), fp(2)).Quarantined)
	assert.Len(t, b.Tick(after(settings.QuarantineTTL)), 1)
	assert.Zero(t, b.Len())
}

func TestAFullBookKeepsWhatIsHeld(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxRequests = 10
	b := NewRegistry(settings)
	b.Add(begin, strikes(fp(0), "a", "b", "c"))
	for i := 1; i <= 20; i++ {
		b.Add(after(time.Duration(i)*time.Second), strikes(fp(i), fmt.Sprint("s", i)))
	}
	assert.LessOrEqual(t, b.Len(), 10)
	assert.True(t, b.Verdict(after(time.Minute), fp(0)).Quarantined)
	assert.Equal(t, 1, b.CrashCount(fp(20)))
	assert.Equal(t, 21, b.Len()+len(b.Tick(after(time.Minute))), "the evicted are told")
}

func TestOnlyACrashMakesAStrike(t *testing.T) {
	b := NewInterruptions()
	assert.False(t, b.Add(begin, Crash{fp(1), "a"}))
	assert.False(t, b.Add(begin, Crash{fp(2), "a"}))
	assert.False(t, b.Add(begin, Crash{fp(3), "b"}))
	assert.Len(t, b.ServerCrashed(after(time.Second), "a"), 2)
	assert.Empty(t, b.ServerCrashed(after(time.Second), "a"), "once")
	assert.True(t, b.Add(after(2*time.Second), Crash{fp(4), "a"}), "the proof came first")
	b.ServerDrained("b")
	assert.Empty(t, b.ServerCrashed(after(time.Second), "b"), "it left as planned")
	b.Add(begin, Crash{fp(5), "c"})
	b.ServerListening(begin, "c")
	b.Tick(after(aliveWait))
	assert.Empty(t, b.ServerCrashed(after(2*time.Second), "c"), "it listened; the crash is another matter")
	b.Add(begin, Crash{fp(7), "e"})
	assert.True(t, b.MayContain(fp(7).Head()))
	b.Completed(fp(7))
	assert.False(t, b.MayContain(fp(7).Head()))
	assert.Empty(t, b.ServerCrashed(after(time.Second), "e"), "it ran whole since")
	b.Add(begin, Crash{fp(6), "d"})
	b.Tick(after(proofWait))
	assert.Empty(t, b.ServerCrashed(after(proofWait), "d"))
	assert.Zero(t, b.Len())
}

// BenchmarkJudge is one more strike in a full book.
func BenchmarkJudge(b *testing.B) {
	settings := DefaultSettings()
	book := NewRegistry(settings)
	var all []Crash
	for n := range settings.MaxRequests {
		all = append(all, strikes(fp(n), fmt.Sprint("s", n%100), fmt.Sprint("t", n%90))...)
	}
	for n := range 20 {
		all = append(all, strikes(fp(n), "a", "b", fmt.Sprint("c", n))...)
	}
	book.Add(begin, all)
	n := 0
	for b.Loop() {
		n++
		book.Add(begin, strikes(fp(0), fmt.Sprint("u", n%2000)))
		book.Remove(begin, Crash{fp(0), fmt.Sprint("u", n%2000)})
	}
}

// BenchmarkFingerprint is the look at a request while something is suspected,
// and the whole hash of one with a long body.
func BenchmarkFingerprint(b *testing.B) {
	identity := Identity{Caller: "w1", Host: "a.example", Method: "POST", Target: "/classify/1", Body: make([]byte, 50_000)}
	b.Run("head", func(b *testing.B) {
		for b.Loop() {
			_ = identity.Head()
		}
	})
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			_ = identity.Fingerprint()
		}
	})
}
