package admission

import "time"

const (
	// rateWindow is the busy time over which the rate is measured.
	rateWindow = 10 * time.Second
	// rateMinBusy is the busy time before the measured rate replaces the
	// initial one.
	rateMinBusy = 50 * time.Millisecond
)

// RateMeter measures how many prompt tokens per second an engine computes, over
// the time in which it computes any prompt. Engines that batch compute several
// prompts at once, so the rate of a single prompt is not that of the engine.
type RateMeter struct {
	// initial is the rate reported until one is measured, in tokens per second.
	initial float64
	// active is the number of prompts being computed.
	active int
	// since is the time up to which busy is counted.
	since time.Time
	// busy is the time in which any prompt was computed, tokens the number of
	// tokens computed in it, both limited to the window.
	busy   time.Duration
	tokens float64
}

// NewRateMeter returns a meter that reports the initial rate, in tokens per
// second, until it has measured one.
func NewRateMeter(initial float64) *RateMeter { return &RateMeter{initial: initial} }

// SetInitialRate changes the rate that is reported until one is measured.
func (m *RateMeter) SetInitialRate(tokensPerSecond float64) { m.initial = tokensPerSecond }

// Begin reports that a prompt is sent to the engine.
func (m *RateMeter) Begin(now time.Time) {
	if m.active > 0 {
		m.busy += now.Sub(m.since)
	}
	m.active++
	m.since = now
}

// End reports that a prompt with this number of tokens is computed; 0 if it was
// abandoned.
func (m *RateMeter) End(now time.Time, tokens float64) {
	if m.active == 0 {
		return
	}
	m.busy += now.Sub(m.since)
	m.since = now
	m.active--
	m.tokens += tokens
	if m.busy > rateWindow {
		m.tokens *= float64(rateWindow) / float64(m.busy)
		m.busy = rateWindow
	}
}

// Rate returns the rate in tokens per second; 0 if unknown.
func (m *RateMeter) Rate() float64 {
	if m.busy < rateMinBusy || m.tokens <= 0 {
		return m.initial
	}
	return m.tokens / m.busy.Seconds()
}
