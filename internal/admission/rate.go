package admission

import "time"

const (
	// rateWindow is how much busy time the measured rate remembers.
	rateWindow = 10 * time.Second
	// rateMinBusy of busy time is needed before the measurement counts.
	rateMinBusy = 50 * time.Millisecond
)

// RateMeter measures how many prompt tokens an engine computes a second, over
// the time in which it computes any. An engine that batches works on several
// prompts at once, so the rate of one prompt says too little.
type RateMeter struct {
	guess  float64
	active int
	since  time.Time
	busy   time.Duration
	tokens float64
}

// NewRateMeter returns a meter that gives the guess until it has measured.
func NewRateMeter(guess float64) *RateMeter { return &RateMeter{guess: guess} }

// SetInitialRate changes what is given until something was measured.
func (m *RateMeter) SetInitialRate(tokensPerSecond float64) { m.guess = tokensPerSecond }

// Begin tells that a prompt goes to the engine.
func (m *RateMeter) Begin(now time.Time) {
	if m.active > 0 {
		m.busy += now.Sub(m.since)
	}
	m.active++
	m.since = now
}

// End tells that a prompt is computed, or was given up with 0 tokens.
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

// Rate in tokens a second; 0 when unknown.
func (m *RateMeter) Rate() float64 {
	if m.busy < rateMinBusy || m.tokens <= 0 {
		return m.guess
	}
	return m.tokens / m.busy.Seconds()
}
