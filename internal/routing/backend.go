package routing

import (
	"math"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	// reportHalfLife is the age at which half of a reported queue is replaced by
	// the average of all: an old report says little of a queue that turns over
	// in less.
	reportHalfLife = 3 * time.Second
	// exclusionTimeout is how long a report keeps a server out by itself. A
	// server without work sends no new report, so that a verdict that stayed
	// would never be taken back; the agent still refuses by itself.
	exclusionTimeout = 2 * time.Second
	// defaultPrefillRate in tokens a second, until one is declared or heard.
	defaultPrefillRate = 10000
	// defaultRetention of a cached block until an agent has told its own.
	defaultRetention = 10 * time.Second
	// slownessHalfLife halves what was learned of a server's slowness.
	slownessHalfLife = 10 * time.Second
	slownessGain     = 0.1
	maxSlowness      = 16
	// commonLatenessGain is slower, so that one slow server hardly moves what counts
	// as common to all.
	commonLatenessGain = 0.005
	// slownessNoiseRatio is the ratio, and lateNoise in milliseconds the lateness
	// beyond what is common to all, that first tokens have without any fault:
	// requests of a higher class overtake, blocks are evicted in the queue.
	slownessNoiseRatio = 1.5
	lateNoiseMS        = 50
	// slownessFloorMS in milliseconds: below it a ratio of times says nothing.
	slownessFloorMS = 20
)

// backend is what this process knows of one backend server.
type backend struct {
	name       string
	signals    Signals
	byteMS     float64 // milliseconds a prompt byte takes to prefill, as last scored
	offeredMS  float64 // own prefill work offered since signals.At
	inFlight   int     // own requests handed over and not finished
	lateness   lateness
	latenessAt time.Time
}

func (b *backend) update(now time.Time, state *jayv1.AgentState) bool {
	if b.hasState() && state.GetIncarnation() < b.signals.Incarnation {
		// An answer that was delayed past a restart of the engine.
		return false
	}
	b.signals = Signals{
		At:                     now,
		Incarnation:            state.GetIncarnation(),
		VersionDigests:         state.GetVersionDigests(),
		Adapters:               state.GetAdapters(),
		QueueMS:                state.GetQueueMs(),
		Running:                int(state.GetRunning()),
		Queued:                 int(state.GetQueued()),
		Slots:                  int(state.GetSlots()),
		PrefillTokensPerSecond: state.GetPrefillTokensPerSecond(),
		CacheRetention:         time.Duration(state.GetCacheSurvivalMs() * float64(time.Millisecond)),
		Draining:               state.GetLeaving(),
		Ready:                  state.GetReady(),
	}
	b.offeredMS = 0
	return true
}

func (b *backend) hasState() bool { return !b.signals.At.IsZero() }

// queueMS is the prefill work expected to stand before a new request: what was
// reported less what has drained since, fading into the average of all servers
// as the report ages, and the own work that the report could not know of.
func (b *backend) queueMS(now time.Time, average float64) float64 {
	if !b.hasState() {
		return average + b.offeredMS
	}
	age := now.Sub(b.signals.At)
	reported := max(0, b.signals.QueueMS-milliseconds(age))
	weight := math.Exp2(-float64(age) / float64(reportHalfLife))
	own := max(0, b.offeredMS-milliseconds(age))
	return reported*weight + average*(1-weight) + own
}

// rate is the tokens that the server prefills a second. A declared rate goes
// first: a server that never got work reports a guess, and a guess that is too
// low would keep it without work. A server slower than declared shows in its
// first tokens.
func (b *backend) rate(policy *PoolPolicy) float64 {
	switch {
	case policy.PrefillTokensPerSecond > 0:
		return policy.PrefillTokensPerSecond
	case b.signals.PrefillTokensPerSecond > 0:
		return b.signals.PrefillTokensPerSecond
	}
	return defaultPrefillRate
}

// retention is how long an untouched block stays cached there.
func (b *backend) retention() time.Duration {
	if b.signals.CacheRetention > 0 {
		return b.signals.CacheRetention
	}
	return defaultRetention
}

// lateness is how first tokens compare with what was promised.
type lateness struct {
	ratio  float64 // observed over promised, 1 when as promised
	lateMS float64 // observed less promised
}

func (t lateness) toward(seen lateness, gain float64) lateness {
	return lateness{
		ratio:  t.ratio + gain*(seen.ratio-t.ratio),
		lateMS: t.lateMS + gain*(seen.lateMS-t.lateMS),
	}
}

func latenessOf(expectedMS, observedMS float64) lateness {
	ratio := (observedMS + slownessFloorMS) / (expectedMS + slownessFloorMS)
	return lateness{ratio: min(ratio, maxSlowness), lateMS: max(0, observedMS-expectedMS)}
}

// observeFirstToken takes in a first token of the server.
func (b *backend) observeFirstToken(now time.Time, seen lateness) {
	b.lateness = b.latenessNow(now).toward(seen, slownessGain)
	b.latenessAt = now
}

// latenessNow fades toward none, so that a server that was slow and therefore
// gets no work is tried again.
func (b *backend) latenessNow(now time.Time) lateness {
	if b.latenessAt.IsZero() {
		return lateness{ratio: 1}
	}
	share := math.Exp2(-float64(now.Sub(b.latenessAt)) / float64(slownessHalfLife))
	return lateness{ratio: 1 + (b.lateness.ratio-1)*share, lateMS: b.lateness.lateMS * share}
}

// excessMS is how much later than it says the server is expected to be, beyond
// what is common to all and beyond noise.
func (b *backend) excessMS(now time.Time, common lateness, expectedMS float64) float64 {
	own := b.latenessNow(now)
	excess := max(0, own.lateMS-2*common.lateMS-lateNoiseMS)
	if ratio := own.ratio / max(1, common.ratio); ratio > slownessNoiseRatio {
		excess = max(excess, expectedMS*(ratio-1))
	}
	return excess
}

// load is the requests at the server: as last reported, or as this process has
// in flight there if that is more.
func (b *backend) load() int {
	return max(b.signals.Running+b.signals.Queued, b.inFlight)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
