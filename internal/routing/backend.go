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
	slownessGain  = 0.2
	maxSlowness   = 16
	// slownessFloor in milliseconds: below it a ratio of times says nothing.
	slownessFloor = 20
)

// backend is what this process knows of one backend server.
type backend struct {
	name       string
	signals    Signals
	byteMS     float64 // milliseconds a prompt byte takes to prefill, as last scored
	offeredMS  float64 // own prefill work offered since signals.At
	inFlight   int     // own requests handed over and not finished
	slowness   float64 // observed over promised time to first token, 1 when as promised
	lateMS     float64 // observed less promised time to first token
	slownessAt time.Time
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
		CacheSurvival:          time.Duration(state.GetCacheSurvivalMs() * float64(time.Millisecond)),
		Leaving:                state.GetLeaving(),
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

// rate is the tokens that the server prefills a second.
func (b *backend) rate(policy *PoolPolicy) float64 {
	switch {
	case b.signals.PrefillTokensPerSecond > 0:
		return b.signals.PrefillTokensPerSecond
	case policy.PrefillTokensPerSecond > 0:
		return policy.PrefillTokensPerSecond
	}
	return defaultPrefillRate
}

// survival is how long an untouched block stays cached there.
func (b *backend) survival() time.Duration {
	if b.signals.CacheSurvival > 0 {
		return b.signals.CacheSurvival
	}
	return defaultSurvival
}

// observe compares a first token with what the server had promised.
func (b *backend) observe(now time.Time, promisedMS, observedMS float64) {
	ratio := (observedMS + slownessFloor) / (promisedMS + slownessFloor)
	slowness, lateMS := b.slownessNow(now)
	b.slowness = slowness + slownessGain*(min(ratio, maxSlowness)-slowness)
	b.lateMS = lateMS + slownessGain*(max(0, observedMS-promisedMS)-lateMS)
	b.slownessAt = now
}

// slownessNow returns the learned ratio and lateness. Both fade, so that a
// server that was slow and therefore gets no work is tried again.
func (b *backend) slownessNow(now time.Time) (ratio, lateMS float64) {
	if b.slownessAt.IsZero() {
		return 1, 0
	}
	share := math.Exp2(-float64(now.Sub(b.slownessAt)) / float64(slownessFades))
	return 1 + (b.slowness-1)*share, b.lateMS * share
}

// load is the requests at the server: as last reported, or as this process has
// in flight there if that is more.
func (b *backend) load() int {
	return max(b.signals.Running+b.signals.Queued, b.inFlight)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
