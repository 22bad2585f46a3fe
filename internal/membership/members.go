// Package membership determines which backend servers may receive requests. Its
// sources are the catalog, the platform's list of VMs (which lags), the state in
// the agents' replies, the results of the entry's own requests and updates from
// other entries. It has no I/O, goroutines or clock; callers provide the locking.
//
// Facts and conclusions are kept apart. That a server is draining or gone is a
// fact: the first source that reports it counts. That it fails is a conclusion
// from this entry's own requests, and may be wrong if the entry's own network
// link is down. So only a limited share of a pool is ejected for failures, each
// time for a backoff that grows if the server keeps failing. A server that refuses
// a connection has ended, or starts again: it is left out for a short pause, however
// many others are, as long as one of the pool is left.
package membership

import (
	"slices"
	"time"

	"github.com/jayproxy/jayproxy/charts"
	"github.com/jayproxy/jayproxy/internal/statechart"
)

// States of charts/member.toml. A draining server is in the state that the chart
// and the messages between entries call "leaving".
const (
	StateHealthy   = "healthy"
	StateSuspect   = "suspect"
	StateEjected   = "ejected"
	StateDown      = "down"
	StateProbation = "probation"
	StateDraining  = "leaving"
	StateGone      = "gone"
)

// Events of charts/member.toml, with the names that the chart gives them.
const (
	eventFail        = "fail"
	eventTrip        = "trip"
	eventRefuse      = "refuse"
	eventRecover     = "recover"
	eventBackoffOver = "backoff_over"
	eventReinstate   = "pardon"
	eventDrain       = "leave"
	eventRemove      = "vanish"
	eventReturn      = "come_back"
)

// Settings configure when failures eject a server, and how long reports count.
type Settings struct {
	// FailureStreak is the number of consecutive failures that ejects a server.
	FailureStreak int
	// FailureShare is the share of failures among recent requests that ejects a
	// server.
	FailureShare float64
	// HalfLife is the time in which the failure share decays by half.
	HalfLife time.Duration
	// ProbationSuccesses and SuspectSuccesses are the numbers of consecutive
	// successes that end the states probation and suspect.
	ProbationSuccesses int
	SuspectSuccesses   int
	// Backoff is the duration of the first ejection; it doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// RefusedPause is how long a server is left out after it refused a connection; it
	// doubles up to MaxRefusedPause while the server keeps refusing.
	RefusedPause    time.Duration
	MaxRefusedPause time.Duration
	// MaxEjectedShare is the highest share of ejected servers among the servers of
	// a group that are neither draining nor gone nor down.
	MaxEjectedShare float64
	// SuspectWeight and ProbationWeight are the weights of servers in these
	// states, between 0 and 1.
	SuspectWeight   float64
	ProbationWeight float64
	// ReorderWindow is how long after a server reported that it drains a report to
	// the contrary is ignored, because it may have been sent before.
	ReorderWindow time.Duration
	// AgentReportTTL is how long an agent's report that its server drains counts
	// after it was last received.
	AgentReportTTL time.Duration
	// PeerReportTTL is how long a report by another entry counts.
	PeerReportTTL time.Duration
}

// DefaultSettings eject a server for two seconds after three consecutive failures.
func DefaultSettings() Settings {
	return Settings{
		FailureStreak: 3, FailureShare: 0.5, HalfLife: 10 * time.Second,
		ProbationSuccesses: 3, SuspectSuccesses: 10, Backoff: 2 * time.Second, MaxBackoff: time.Minute,
		RefusedPause: 500 * time.Millisecond, MaxRefusedPause: 4 * time.Second,
		MaxEjectedShare: 0.34, SuspectWeight: 0.5, ProbationWeight: 0.2,
		ReorderWindow: 5 * time.Second, AgentReportTTL: 10 * time.Second, PeerReportTTL: 10 * time.Second,
	}
}

// Server is a backend server as the catalog declares it.
type Server struct {
	Name string
	// Group is the pool or service of the server; ejections are limited per group.
	Group string
	// Host is the IP address of its VM.
	Host     string
	Draining bool
}

// Members is an entry's view of the backend servers.
type Members struct {
	settings Settings
	chart    *statechart.Chart
	members  map[string]*member
	byHost   map[string][]*member
	groups   map[string][]*member
}

// member is one backend server.
type member struct {
	server   Server
	state    string
	facts    facts
	outcomes outcomes
	// changedAt is when the state last changed.
	changedAt time.Time
	// until is when the ejection or the pause ends; ejections counts ejections, to
	// determine the backoff.
	until     time.Time
	ejections int
	// refusals counts the pauses since the last success.
	refusals int
}

// New returns Members without servers.
func New(settings Settings) *Members {
	return &Members{settings: settings, chart: charts.Must("member"), members: map[string]*member{}}
}

// SetServers sets the backend servers of a new generation of the catalog. The
// state of servers that remain is kept.
func (m *Members) SetServers(now time.Time, servers []Server) {
	old := m.members
	m.members = make(map[string]*member, len(servers))
	m.byHost = map[string][]*member{}
	m.groups = map[string][]*member{}
	for _, server := range servers {
		b := old[server.Name]
		if b == nil {
			b = &member{state: m.chart.Initial(), changedAt: now}
		}
		b.server = server
		b.facts.operatorDraining = server.Draining
		m.members[server.Name] = b
		m.byHost[server.Host] = append(m.byHost[server.Host], b)
		m.groups[server.Group] = append(m.groups[server.Group], b)
	}
	for _, b := range m.members {
		m.applyFacts(now, b)
	}
}

// Forget drops all evidence on a server. The next SetServers that names it adds
// it as a new server.
func (m *Members) Forget(server string) { delete(m.members, server) }

// Usable is false for a server that is unknown, draining, gone, ejected or down.
func (m *Members) Usable(server string) bool {
	b := m.members[server]
	if b == nil {
		return false
	}
	return b.usable()
}

func (b *member) usable() bool {
	switch b.state {
	case StateDraining, StateGone, StateEjected, StateDown:
		return false
	}
	return true
}

// Weight in (0, 1] scales the share of requests that a server gets; recent
// failures lower it.
func (m *Members) Weight(server string) float64 {
	b := m.members[server]
	if b == nil {
		return 1
	}
	switch b.state {
	case StateSuspect:
		return m.settings.SuspectWeight
	case StateProbation:
		return m.settings.ProbationWeight
	}
	return 1
}

// State returns the server's state in charts/member.toml, "" if it is unknown.
func (m *Members) State(server string) string {
	if b := m.members[server]; b != nil {
		return b.state
	}
	return ""
}

// Tick ends ejections and pauses that are over and drops expired reports.
func (m *Members) Tick(now time.Time) {
	for _, b := range m.members {
		if (b.state == StateEjected || b.state == StateDown) && !now.Before(b.until) {
			m.fire(now, b, eventBackoffOver)
		}
		if b.state == StateSuspect {
			b.outcomes.decay(now, m.settings.HalfLife)
			if b.outcomes.failureShare <= recoveredShare {
				m.fire(now, b, eventRecover)
			}
		}
		b.facts.expire(now, m.settings)
		m.applyFacts(now, b)
	}
	for _, group := range m.groups {
		m.reinstate(now, group)
		m.keepOne(now, group)
	}
}

func (m *Members) fire(now time.Time, b *member, event string) {
	next, err := m.chart.Next(b.state, event)
	if err != nil || next == b.state {
		return
	}
	b.state = next
	b.changedAt = now
	switch next {
	case StateEjected:
		m.beginEjection(now, b)
	case StateDown:
		m.beginPause(now, b)
	case StateHealthy:
		b.outcomes.reset()
	case StateProbation:
		b.outcomes.resetStreaks()
	}
}

func (m *Members) beginEjection(now time.Time, b *member) {
	// After ten times its last backoff without an ejection, a server starts again
	// with the shortest backoff.
	const resetFactor = 10
	if now.Sub(b.until) > resetFactor*m.backoff(b.ejections) {
		b.ejections = 0
	}
	b.ejections++
	b.until = now.Add(m.backoff(b.ejections))
}

// beginPause does not shorten an ejection.
func (m *Members) beginPause(now time.Time, b *member) {
	b.refusals++
	if until := now.Add(doubled(m.settings.RefusedPause, m.settings.MaxRefusedPause, b.refusals)); until.After(b.until) {
		b.until = until
	}
}

func (m *Members) backoff(ejections int) time.Duration {
	return doubled(m.settings.Backoff, m.settings.MaxBackoff, ejections)
}

// doubled returns the n-th of times that double from the first one up to the longest.
func doubled(first, longest time.Duration, n int) time.Duration {
	d := first
	for i := 1; i < n && d < longest; i++ {
		d *= 2
	}
	return min(d, longest)
}

// mayEject limits the ejected share of a group. Evidence against a whole pool is
// more likely due to this entry's own network link; the pool must not be emptied.
func (m *Members) mayEject(b *member) bool {
	ejected, present := count(m.groups[b.server.Group])
	return float64(ejected+1) <= m.settings.MaxEjectedShare*float64(present)
}

func count(group []*member) (ejected, present int) {
	for _, b := range group {
		switch b.state {
		case StateDraining, StateGone, StateDown:
		case StateEjected:
			ejected++
			present++
		default:
			present++
		}
	}
	return ejected, present
}

// reinstate ends ejections while the ejected share is too high because the group
// has shrunk. The ejection that would end first is ended first.
func (m *Members) reinstate(now time.Time, group []*member) {
	for {
		ejected, present := count(group)
		if ejected == 0 || float64(ejected) <= m.settings.MaxEjectedShare*float64(present) {
			return
		}
		m.fire(now, firstToReturn(group, StateEjected), eventReinstate)
	}
}

// keepOne ends the pause of the server that would return first if a group has no usable
// server left. While all refuse, requests try one after the other in turn, and find the
// first that listens again.
func (m *Members) keepOne(now time.Time, group []*member) {
	if slices.ContainsFunc(group, (*member).usable) {
		return
	}
	if first := firstToReturn(group, StateDown); first != nil {
		m.fire(now, first, eventReinstate)
	}
}

// firstToReturn returns the server in a state that ends by time whose time ends first; nil:
// there is none.
func firstToReturn(group []*member, state string) *member {
	var first *member
	for _, b := range group {
		if b.state == state && (first == nil || b.until.Before(first.until)) {
			first = b
		}
	}
	return first
}
