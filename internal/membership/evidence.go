package membership

import (
	"math"
	"time"
)

// resultWeight is the weight of one result in the failure share: four failures
// among the last five results yield about half.
const resultWeight = 0.2

// recoveredShare is the failure share at which a suspect recovers without any
// successes, since it may get no requests while other servers are free. After a
// single failure this takes two half-lives.
const recoveredShare = resultWeight / 4

// outcomes summarises the recent results of requests at one server.
type outcomes struct {
	// failureShare is a moving average over results, so that a long history of
	// successes does not delay detection. It decays with time.
	failureShare  float64
	updatedAt     time.Time
	failureStreak int
	successStreak int
}

func (o *outcomes) add(now time.Time, halfLife time.Duration, failed float64) {
	o.decay(now, halfLife)
	o.failureShare += resultWeight * (failed - o.failureShare)
}

func (o *outcomes) decay(now time.Time, halfLife time.Duration) {
	if !now.After(o.updatedAt) {
		return
	}
	if !o.updatedAt.IsZero() {
		o.failureShare *= math.Exp2(-float64(now.Sub(o.updatedAt)) / float64(halfLife))
	}
	o.updatedAt = now
}

// reset clears the failure share and the streaks.
func (o *outcomes) reset() { *o = outcomes{updatedAt: o.updatedAt} }

// resetStreaks clears the streaks only.
func (o *outcomes) resetStreaks() { o.failureStreak, o.successStreak = 0, 0 }

// Succeeded records that a request at the server ended well. An answered health
// check is no evidence of that: a server may answer it and fail all requests.
func (m *Members) Succeeded(now time.Time, server string) {
	b := m.members[server]
	if b == nil {
		return
	}
	b.outcomes.add(now, m.settings.HalfLife, 0)
	b.outcomes.successStreak++
	b.outcomes.failureStreak = 0
	b.facts.aliveAt = now
	if b.state != StateDown {
		b.refusals = 0
	}
	switch {
	case b.state == StateSuspect && b.outcomes.successStreak >= m.settings.SuspectSuccesses,
		b.state == StateProbation && b.outcomes.successStreak >= m.settings.ProbationSuccesses:
		m.fire(now, b, eventRecover)
	}
	m.applyFacts(now, b)
}

// Failed records that a request failed because of the server or the connection to
// it: not reached, no response in time, engine down, truncated response. Proper
// refusals (server full, cost too high, draining) are no failures.
func (m *Members) Failed(now time.Time, server string) {
	b := m.members[server]
	if b == nil {
		return
	}
	b.outcomes.add(now, m.settings.HalfLife, 1)
	b.outcomes.failureStreak++
	b.outcomes.successStreak = 0
	if b.state == StateProbation {
		m.eject(now, b, eventFail)
		return
	}
	m.fire(now, b, eventFail)
	if b.outcomes.failureStreak >= m.settings.FailureStreak || b.outcomes.failureShare >= m.settings.FailureShare {
		m.eject(now, b, eventTrip)
	}
}

// FailedElsewhere records that another entry did not reach a server. It counts as a
// failure, unless a request of this entry has just succeeded there: the other entry may
// have lost its own link.
func (m *Members) FailedElsewhere(now time.Time, server string) {
	if b := m.members[server]; b != nil && now.Sub(b.facts.aliveAt) >= recentSuccess {
		m.Failed(now, server)
	}
}

// recentSuccess is the age up to which a success outweighs what other entries report.
const recentSuccess = 400 * time.Millisecond

// NotListening records that the server's address refused a connection of this entry: its
// process has ended, or starts again. Unlike other failures, which may be due to the request
// or the entry's link, one is enough, and the limit on ejections does not apply: rows of
// servers that ended stay listed for seconds, and with more of them than the limit, each
// request would try the same ones.
func (m *Members) NotListening(now time.Time, server string) {
	b := m.members[server]
	if b == nil {
		return
	}
	b.outcomes.add(now, m.settings.HalfLife, 1)
	b.outcomes.successStreak = 0
	m.fire(now, b, eventRefuse)
	m.keepOne(now, m.groups[b.server.Group])
}

// NotListeningElsewhere records that a server's address refused a connection of another
// entry. It reports whether the server is ejected now and was not before. A request of this
// entry that has just succeeded there outweighs the report, and the limit on ejections
// applies: the other entry may have lost its own link. The ejection does not lengthen
// later ones, so that repeated false reports keep a server out for Settings.Backoff at a time.
func (m *Members) NotListeningElsewhere(now time.Time, server string) bool {
	b := m.members[server]
	if b == nil || !b.usable() || now.Sub(b.facts.aliveAt) < reportDelay {
		return false
	}
	ejections := b.ejections
	m.eject(now, b, eventTrip)
	if b.state != StateEjected {
		return false
	}
	b.ejections, b.until = ejections, now.Add(m.settings.Backoff)
	return true
}

// reportDelay is the time that a report of another entry usually takes to arrive: a success
// that is not older may be later than what is reported.
const reportDelay = 50 * time.Millisecond

func (m *Members) eject(now time.Time, b *member, event string) {
	if m.mayEject(b) {
		m.fire(now, b, event)
	}
}
