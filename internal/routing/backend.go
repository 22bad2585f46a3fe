package routing

import (
	"math"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	// reportHalfLife is the age at which a reported queue counts half and the
	// average of all servers the other half: queues change within seconds.
	reportHalfLife = 3 * time.Second
	// exclusionTimeout is how long a report excludes a server. An idle server
	// sends no new report, so that an exclusion without timeout would be
	// permanent; the agent can still refuse an offer.
	exclusionTimeout = 2 * time.Second
	// defaultPrefillRate in tokens per second, until one is declared or
	// reported.
	defaultPrefillRate = 10000
	// defaultRetention of an unused cached block, until an agent reported one.
	defaultRetention = 10 * time.Second
	// latenessHalfLife of a server's observed lateness; latenessGain is the
	// weight of one first token.
	latenessHalfLife = 10 * time.Second
	latenessGain     = 0.1
	maxLatenessRatio = 16
	// commonLatenessGain is much smaller than latenessGain, so that one slow
	// server hardly changes the mean of all.
	commonLatenessGain = 0.005
	// latenessNoiseRatio and latenessNoiseMS are the relative and absolute
	// lateness, beyond the common one, that healthy servers have: requests of a
	// higher class overtake, blocks are evicted while the request is queued.
	latenessNoiseRatio = 1.5
	latenessNoiseMS    = 50
	// ratioFloorMS is added to times before a ratio of them is taken or applied:
	// ratios of very short times say nothing.
	ratioFloorMS = 20
)

// backend is what this process knows of one backend server.
type backend struct {
	name       string
	signals    Signals
	byteMS     float64 // prefill time of one prompt byte, as last scored
	offeredMS  float64 // prefill work of this process offered since signals.At
	inFlight   int     // requests of this process handed off and not finished
	lateness   lateness
	latenessAt time.Time
}

func (b *backend) update(now time.Time, state *jayv1.AgentState) bool {
	if b.hasState() && state.GetIncarnation() < b.signals.Incarnation {
		// The reply was delayed past a restart of the engine.
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

// queueMS is the prefill work expected ahead of a new request: the reported
// queue less what was processed since, replaced by the average of all servers
// as the report ages, plus the work that this process offered since the report.
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

// rate returns the server's prefill rate in tokens per second. A declared rate
// takes precedence: a server without work reports only an initial estimate, and
// one that is too low would keep it without work. If the server is slower than
// declared, its late first tokens raise its penalty.
func (b *backend) rate(policy *PoolPolicy) float64 {
	switch {
	case policy.PrefillTokensPerSecond > 0:
		return policy.PrefillTokensPerSecond
	case b.signals.PrefillTokensPerSecond > 0:
		return b.signals.PrefillTokensPerSecond
	}
	return defaultPrefillRate
}

// retention returns how long an unused block stays cached at the server.
func (b *backend) retention() time.Duration {
	if b.signals.CacheRetention > 0 {
		return b.signals.CacheRetention
	}
	return defaultRetention
}

// lateness compares first tokens with the expected times.
type lateness struct {
	ratio  float64 // observed over expected time; 1: on time
	lateMS float64 // observed less expected time
}

func (t lateness) toward(seen lateness, gain float64) lateness {
	return lateness{
		ratio:  t.ratio + gain*(seen.ratio-t.ratio),
		lateMS: t.lateMS + gain*(seen.lateMS-t.lateMS),
	}
}

func latenessOf(expectedMS, observedMS float64) lateness {
	ratio := (observedMS + ratioFloorMS) / (expectedMS + ratioFloorMS)
	return lateness{ratio: min(ratio, maxLatenessRatio), lateMS: max(0, observedMS-expectedMS)}
}

// observeFirstToken records the lateness of one of the server's first tokens.
func (b *backend) observeFirstToken(now time.Time, seen lateness) {
	b.lateness = b.latenessNow(now).toward(seen, latenessGain)
	b.latenessAt = now
}

// latenessNow decays toward no lateness, so that a server that was slow and
// therefore gets no work is tried again.
func (b *backend) latenessNow(now time.Time) lateness {
	if b.latenessAt.IsZero() {
		return lateness{ratio: 1}
	}
	share := math.Exp2(-float64(now.Sub(b.latenessAt)) / float64(latenessHalfLife))
	return lateness{ratio: 1 + (b.lateness.ratio-1)*share, lateMS: b.lateness.lateMS * share}
}

// excessMS is the expected lateness of the server beyond the common lateness
// and the noise.
func (b *backend) excessMS(now time.Time, common lateness, expectedMS float64) float64 {
	own := b.latenessNow(now)
	excess := max(0, own.lateMS-2*common.lateMS-latenessNoiseMS)
	if ratio := own.ratio / max(1, common.ratio); ratio > latenessNoiseRatio {
		excess = max(excess, expectedMS*(ratio-1))
	}
	return excess
}

// load returns the number of requests at the server: as last reported, or those
// of this process if they are more.
func (b *backend) load() int {
	return max(b.signals.Running+b.signals.Queued, b.inFlight)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
