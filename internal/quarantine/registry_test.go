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

func crashes(f Fingerprint, servers ...string) []Crash {
	var all []Crash
	for _, server := range servers {
		all = append(all, Crash{Subject: f, Server: server})
	}
	return all
}

func TestARequestThatCrashedThreeServersIsQuarantined(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	assert.Empty(t, registry.Add(begin, crashes(fp(1), "a", "b", "b", "a")))
	assert.False(t, registry.Verdict(begin, fp(1)).Quarantined)
	assert.Equal(t, []Fingerprint{fp(1)}, registry.Add(begin, crashes(fp(1), "c")))
	assert.True(t, registry.Verdict(begin, fp(1)).Quarantined)
	assert.False(t, registry.Verdict(begin, fp(2)).Quarantined)
	assert.Equal(t, 1, registry.QuarantinedCount())
	assert.Empty(t, registry.Add(begin, crashes(fp(1), "d")), "it was quarantined before")
}

// Guards against quarantining a request because it ran next to the faulty one.
func TestACrashCountsOnlyForTheRequestWithMostCrashes(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	faulty, harmless := fp(1), fp(2)
	registry.Add(begin, crashes(faulty, "a", "b", "c"))
	registry.Add(begin, crashes(harmless, "a", "b"))
	registry.Add(begin, crashes(faulty, "d"))
	registry.Add(begin, crashes(harmless, "c"))
	assert.True(t, registry.Verdict(begin, faulty).Quarantined)
	assert.False(t, registry.Verdict(begin, harmless).Quarantined)
	assert.True(t, registry.MayRepeat(begin, harmless, []string{"e"}), "the other request accounts for its crashes")
	registry.Add(begin, crashes(harmless, "f", "g", "h"))
	assert.True(t, registry.Verdict(begin, harmless).Quarantined, "three crashes at which the other request was not running")
}

// Guards against a harmless request that stays quarantined because it ran next
// to the faulty one at each crash.
func TestATrialShowsWhichUncertainRequestIsAtFault(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	faulty, harmless := fp(1), fp(2)
	registry.Add(begin, append(crashes(faulty, "a", "b", "c"), crashes(harmless, "a", "b", "c")...))
	first, second := faulty, harmless
	if registry.Verdict(begin, first).Trial == 0 {
		first, second = harmless, faulty
	}
	assert.Equal(t, 1, registry.Verdict(begin, first).Trial)
	assert.Zero(t, registry.Verdict(begin, second).Trial, "trials must not run concurrently")
	assert.Equal(t, trialSlot, registry.Verdict(begin, second).RetryAfter)
	late := begin.Add(trialSlot * 7 / 10)
	assert.Zero(t, registry.Verdict(late, first).Trial+registry.Verdict(late, second).Trial, "past the claim window of the slot")
	next := begin.Add(trialSlot)
	assert.Equal(t, 1, registry.Verdict(next, second).Trial)
	assert.Zero(t, registry.Verdict(next, first).Trial)
	registry.TrialClaimed(begin, faulty, 1)
	assert.Zero(t, registry.Verdict(begin, faulty).Trial, "the trial is already claimed")
	registry.Add(after(time.Second), crashes(faulty, "d"))
	assert.False(t, registry.Verdict(after(time.Second), harmless).Quarantined, "the other request accounts for all three crashes")
	assert.True(t, registry.Verdict(after(time.Second), faulty).Quarantined)
	assert.Zero(t, registry.Verdict(after(time.Second), faulty).Trial)
}

func TestWhenOneUncertainRequestCompletesTheOtherStaysQuarantined(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	faulty, harmless := fp(1), fp(2)
	registry.Add(begin, append(crashes(faulty, "a", "b", "c"), crashes(harmless, "a", "b", "c")...))
	registry.Clear(after(time.Second), harmless)
	v := registry.Verdict(after(time.Second), faulty)
	assert.True(t, v.Quarantined)
	assert.Zero(t, v.Trial, "it is no longer uncertain and waits for the regular trial")
}

func TestACompletedRequestIsRemoved(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	registry.Add(begin, crashes(fp(1), "a", "b", "c"))
	known, ok := registry.Clear(begin, fp(1))
	require.True(t, ok)
	assert.Equal(t, []string{"a", "b", "c"}, known.Servers)
	assert.False(t, registry.Verdict(begin, fp(1)).Quarantined)
	assert.False(t, registry.MayContain(fp(1).Head()))
	assert.Zero(t, registry.QuarantinedCount())
	_, ok = registry.Clear(begin, fp(1))
	assert.False(t, ok)
}

// Guards against a quarantined request that crashes more servers than its trials allow.
func TestTrialsOfAQuarantinedRequestAreLimited(t *testing.T) {
	settings := DefaultSettings()
	registry := NewRegistry(settings)
	registry.Add(begin, crashes(fp(1), "a", "b", "c"))
	ran := 0
	for d := time.Duration(0); d < settings.QuarantineTTL; d += time.Second {
		v := registry.Verdict(after(d), fp(1))
		require.True(t, v.Quarantined)
		require.Positive(t, v.RetryAfter)
		if v.Trial > 0 {
			ran++
			registry.TrialClaimed(after(d), fp(1), v.Trial)
			registry.Add(after(d), crashes(fp(1), fmt.Sprint("trial", v.Trial)))
		}
		registry.Tick(after(d))
	}
	assert.Equal(t, len(settings.TrialDelays), ran)
	assert.Less(t, ran, 3)
}

func TestAReleasedTrialMayBeClaimedAgain(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	registry.Add(begin, crashes(fp(1), "a", "b", "c"))
	due := after(5 * time.Minute)
	require.Equal(t, 1, registry.Verdict(due, fp(1)).Trial)
	registry.TrialClaimed(due, fp(1), 1)
	require.Zero(t, registry.Verdict(due, fp(1)).Trial)
	registry.TrialReleased(fp(1), 1)
	assert.Equal(t, 1, registry.Verdict(due.Add(5*time.Minute), fp(1)).Trial)
	registry.TrialReleased(fp(1), 2)
	assert.Equal(t, 1, registry.Verdict(due.Add(5*time.Minute), fp(1)).Trial)
}

// Guards against a repeat within one attempt that crashes a third server.
func TestASuspectIsNotRepeatedWithinOneAttempt(t *testing.T) {
	registry := NewRegistry(DefaultSettings())
	assert.True(t, registry.MayRepeat(begin, fp(1), []string{"a"}), "the first crash may be due to another request")
	assert.False(t, registry.MayRepeat(begin, fp(1), []string{"a", "b"}))
	assert.True(t, registry.MayRepeat(begin, fp(1), []string{"a", "a"}))
	registry.Add(begin, crashes(fp(1), "a"))
	assert.True(t, registry.MayRepeat(begin, fp(1), []string{"a"}), "the crash is already recorded")
	assert.False(t, registry.MayRepeat(begin, fp(1), []string{"b"}))
}

// Guards against entries that quarantine different requests because crash records
// arrive in different orders, arrive twice or are withdrawn.
func TestTheOrderOfCrashRecordsHasNoEffect(t *testing.T) {
	var records []Crash
	for i, servers := range [][]string{{"a", "b", "c", "d"}, {"a", "b", "c"}, {"b", "c", "e"}, {"x"}, {"x", "y", "z"}, {"x", "y", "z"}} {
		records = append(records, crashes(fp(i), servers...)...)
	}
	want := NewRegistry(DefaultSettings())
	want.Add(begin, records)
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		registry := NewRegistry(DefaultSettings())
		order := append(append([]Crash{}, records...), records[:5]...)
		r.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		for _, crash := range order {
			registry.Add(begin, []Crash{crash})
			if r.IntN(4) == 0 {
				registry.Remove(begin, crash)
				registry.Add(begin, []Crash{crash})
			}
		}
		assert.Equal(t, want.List(), registry.List(), "seed %d", seed)
	}
}

func TestExpiredRecordsAreRemoved(t *testing.T) {
	settings := DefaultSettings()
	registry := NewRegistry(settings)
	registry.Add(begin, crashes(fp(1), "a"))
	registry.Add(begin, crashes(fp(2), "x", "y", "z"))
	assert.Empty(t, registry.Tick(after(settings.SuspectTTL-1)))
	removed := registry.Tick(after(settings.SuspectTTL))
	require.Len(t, removed, 1)
	assert.Equal(t, fp(1), removed[0].Fingerprint)
	assert.True(t, registry.Verdict(after(settings.SuspectTTL), fp(2)).Quarantined)
	assert.Len(t, registry.Tick(after(settings.QuarantineTTL)), 1)
	assert.Zero(t, registry.Len())
}

func TestAFullRegistryKeepsQuarantinedRequests(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxSubjects = 10
	registry := NewRegistry(settings)
	registry.Add(begin, crashes(fp(0), "a", "b", "c"))
	for i := 1; i <= 20; i++ {
		registry.Add(after(time.Duration(i)*time.Second), crashes(fp(i), fmt.Sprint("s", i)))
	}
	assert.LessOrEqual(t, registry.Len(), 10)
	assert.True(t, registry.Verdict(after(time.Minute), fp(0)).Quarantined)
	assert.Equal(t, 1, registry.CrashCount(fp(20)))
	assert.Equal(t, 21, registry.Len()+len(registry.Tick(after(time.Minute))), "Tick returns the evicted requests")
}

func TestOnlyAProvenCrashIsRecorded(t *testing.T) {
	interruptions := NewInterruptions()
	assert.False(t, interruptions.Add(begin, Crash{fp(1), "a"}))
	assert.False(t, interruptions.Add(begin, Crash{fp(2), "a"}))
	assert.False(t, interruptions.Add(begin, Crash{fp(3), "b"}))
	assert.Len(t, interruptions.ServerCrashed(after(time.Second), "a"), 2)
	assert.Empty(t, interruptions.ServerCrashed(after(time.Second), "a"), "each run is returned once")
	assert.True(t, interruptions.Add(after(2*time.Second), Crash{fp(4), "a"}), "the server is already known to have crashed")
	interruptions.ServerDrained("b")
	assert.Empty(t, interruptions.ServerCrashed(after(time.Second), "b"), "it ended as planned")
	interruptions.Add(begin, Crash{fp(5), "c"})
	interruptions.ServerListening(begin, "c")
	interruptions.Tick(after(listeningTimeout))
	assert.Empty(t, interruptions.ServerCrashed(after(2*time.Second), "c"), "it listened after the interruption, so the later crash is unrelated")
	interruptions.Add(begin, Crash{fp(7), "e"})
	assert.True(t, interruptions.MayContain(fp(7).Head()))
	interruptions.Completed(fp(7))
	assert.False(t, interruptions.MayContain(fp(7).Head()))
	assert.Empty(t, interruptions.ServerCrashed(after(time.Second), "e"), "the request completed since")
	interruptions.Add(begin, Crash{fp(6), "d"})
	interruptions.Tick(after(proofTimeout))
	assert.Empty(t, interruptions.ServerCrashed(after(proofTimeout), "d"))
	assert.Zero(t, interruptions.Len())
}

// BenchmarkRecompute measures adding and removing one crash record in a full registry.
func BenchmarkRecompute(b *testing.B) {
	settings := DefaultSettings()
	registry := NewRegistry(settings)
	var all []Crash
	for n := range settings.MaxSubjects {
		all = append(all, crashes(fp(n), fmt.Sprint("s", n%100), fmt.Sprint("t", n%90))...)
	}
	for n := range 20 {
		all = append(all, crashes(fp(n), "a", "b", fmt.Sprint("c", n))...)
	}
	registry.Add(begin, all)
	n := 0
	for b.Loop() {
		n++
		registry.Add(begin, crashes(fp(0), fmt.Sprint("u", n%2000)))
		registry.Remove(begin, Crash{fp(0), fmt.Sprint("u", n%2000)})
	}
}

// BenchmarkFingerprint measures the head, computed while any request has a
// record, and the full fingerprint of a request with a long body.
func BenchmarkFingerprint(b *testing.B) {
	identity := Identity{Caller: "w1", Host: "a.example", Method: "POST", Target: "/classify/1", Body: make([]byte, 50_000)}
	b.Run("head", func(b *testing.B) {
		for b.Loop() {
			_ = identity.Head()
		}
	})
	b.Run("full", func(b *testing.B) {
		for b.Loop() {
			_ = identity.Fingerprint()
		}
	})
}
