package routing

import (
	"math"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	// stateFades is the age at which half of a reported queue is replaced by
	// the average of all: an old report says little of a queue that turns over
	// in less.
	stateFades = 3 * time.Second
	// verdictExpires is how long a report keeps a server out by itself. A
	// server without work sends no new report, so that a verdict that stayed
	// would never be taken back; the agent still refuses by itself.
	verdictExpires = 2 * time.Second
	// defaultPrefillRate in tokens a second, until one is declared or heard.
	defaultPrefillRate = 10000
	// defaultSurvival of a cached block until an agent has told its own.
	defaultSurvival = 10 * time.Second
	// slownessFades halves what was learned of a server's slowness.
	slownessFades = 10 * time.Second
	slownessGain  = 0.1
	maxSlowness   = 16
	// commonGain is slower, so that one slow server hardly moves what counts
	// as common to all.
	commonGain = 0.005
	// slownessNoise is the ratio, and lateNoise in milliseconds the lateness
	// beyond what is common to all, that first tokens have without any fault:
	// requests of a higher class overtake, blocks are evicted in the queue.
	slownessNoise = 1.5
	lateNoise     = 50
	// slownessFloor in milliseconds: below it a ratio of times says nothing.
	slownessFloor = 20
)

// backend is what this process knows of one backend server.
type backend struct {
	name      string
	signals   Signals
	byteMS    float64 // milliseconds a prompt byte takes to prefill, as last scored
	offeredMS float64 // own prefill work offered since signals.At
	inFlight  int     // own requests handed over and not finished
	tardy     tardiness
	tardyAt   time.Time
}

func (b *backend) learn(now time.Time, state *jayv1.AgentState) bool {
	if b.heard() && state.GetIncarnation() < b.signals.Incarnation {
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

func (b *backend) heard() bool { return !b.signals.At.IsZero() }

// queueMS is the prefill work expected to stand before a new request: what was
// reported less what has drained since, fading into the average of all servers
// as the report ages, and the own work that the report could not know of.
func (b *backend) queueMS(now time.Time, average float64) float64 {
	if !b.heard() {
		return average + b.offeredMS
	}
	age := now.Sub(b.signals.At)
	reported := max(0, b.signals.QueueMS-milliseconds(age))
	trust := math.Exp2(-float64(age) / float64(stateFades))
	own := max(0, b.offeredMS-milliseconds(age))
	return reported*trust + average*(1-trust) + own
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

// survival is how long an untouched block stays cached there.
func (b *backend) survival() time.Duration {
	if b.signals.CacheRetention > 0 {
		return b.signals.CacheRetention
	}
	return defaultSurvival
}

// tardiness is how first tokens compare with what was promised.
type tardiness struct {
	ratio  float64 // observed over promised, 1 when as promised
	lateMS float64 // observed less promised
}

func (t tardiness) toward(seen tardiness, gain float64) tardiness {
	return tardiness{
		ratio:  t.ratio + gain*(seen.ratio-t.ratio),
		lateMS: t.lateMS + gain*(seen.lateMS-t.lateMS),
	}
}

func tardinessOf(promisedMS, observedMS float64) tardiness {
	ratio := (observedMS + slownessFloor) / (promisedMS + slownessFloor)
	return tardiness{ratio: min(ratio, maxSlowness), lateMS: max(0, observedMS-promisedMS)}
}

// observe takes in a first token of the server.
func (b *backend) observe(now time.Time, seen tardiness) {
	b.tardy = b.tardyNow(now).toward(seen, slownessGain)
	b.tardyAt = now
}

// tardyNow fades toward none, so that a server that was slow and therefore
// gets no work is tried again.
func (b *backend) tardyNow(now time.Time) tardiness {
	if b.tardyAt.IsZero() {
		return tardiness{ratio: 1}
	}
	share := math.Exp2(-float64(now.Sub(b.tardyAt)) / float64(slownessFades))
	return tardiness{ratio: 1 + (b.tardy.ratio-1)*share, lateMS: b.tardy.lateMS * share}
}

// excessMS is how much later than it says the server is expected to be, beyond
// what is common to all and beyond noise.
func (b *backend) excessMS(now time.Time, common tardiness, saidMS float64) float64 {
	own := b.tardyNow(now)
	excess := max(0, own.lateMS-2*common.lateMS-lateNoise)
	if ratio := own.ratio / max(1, common.ratio); ratio > slownessNoise {
		excess = max(excess, saidMS*(ratio-1))
	}
	return excess
}

// load is the requests at the server: as last reported, or as this process has
// in flight there if that is more.
func (b *backend) load() int {
	return max(b.signals.Running+b.signals.Queued, b.inFlight)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
