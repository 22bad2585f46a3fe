package membership

import (
	"math"
	"time"
)

// gain weighs one result in the failure share of late: four failures among the
// last five results make half.
const gain = 0.2

// forgottenShare is where a suspicion ends by itself: a suspect that gets no
// work, because others are free, could never prove itself. One failure is
// forgotten after two half-lives.
const forgottenShare = gain / 4

// record is how work at one server went of late.
type record struct {
	// share of failures: a moving average over results, which a long good
	// history does not slow down, fading with time.
	share     float64
	at        time.Time
	failures  int
	successes int
}

func (r *record) add(now time.Time, halfLife time.Duration, failed float64) {
	r.fade(now, halfLife)
	r.share += gain * (failed - r.share)
}

func (r *record) fade(now time.Time, halfLife time.Duration) {
	if !now.After(r.at) {
		return
	}
	if !r.at.IsZero() {
		r.share *= math.Exp2(-float64(now.Sub(r.at)) / float64(halfLife))
	}
	r.at = now
}

// reset forgets all.
func (r *record) reset() { *r = record{at: r.at} }

// streaks forgets the streaks only.
func (r *record) streaks() { r.failures, r.successes = 0, 0 }

// Succeeded takes in that work at the server ended well. That a health check
// is answered is no evidence: a server may answer it and fail all work.
func (m *Members) Succeeded(now time.Time, server string) {
	b := m.members[server]
	if b == nil {
		return
	}
	b.record.add(now, m.settings.HalfLife, 0)
	b.record.successes++
	b.record.failures = 0
	b.facts.aliveAt = now
	switch {
	case b.state == StateSuspect && b.record.successes >= m.settings.SuspectSuccesses,
		b.state == StateProbation && b.record.successes >= m.settings.ProbationSuccesses:
		m.fire(now, b, eventRecover)
	}
	m.applyFacts(now, b)
}

// Failed takes in that work at the server failed through the server or the way
// to it: not reached, no answer in time, engine down, a broken answer. Refusals
// that are in order (full, too dear, leaving) are no failures.
func (m *Members) Failed(now time.Time, server string) {
	b := m.members[server]
	if b == nil {
		return
	}
	b.record.add(now, m.settings.HalfLife, 1)
	b.record.failures++
	b.record.successes = 0
	if b.state == StateProbation {
		m.eject(now, b, eventFail)
		return
	}
	m.fire(now, b, eventFail)
	if b.record.failures >= m.settings.FailureStreak || b.record.share >= m.settings.FailureShare {
		m.eject(now, b, eventTrip)
	}
}

// NotListening takes in that nothing listens at the server's address: its
// process has ended. One such word ejects, where a failure might be the
// request's own: with three needed, each entry sent three requests to each
// server that had crashed.
func (m *Members) NotListening(now time.Time, server string) {
	b := m.members[server]
	if b == nil {
		return
	}
	b.record.add(now, m.settings.HalfLife, 1)
	b.record.successes = 0
	m.eject(now, b, eventTrip)
}

func (m *Members) eject(now time.Time, b *member, event string) {
	if m.mayEject(b) {
		m.fire(now, b, event)
	}
}
