// Package membership says which backend servers may get work, from the
// catalog, the platform's lagging list of VMs, what answers show in passing
// and what other entries tell. It has no I/O, goroutine or clock; callers lock.
//
// Facts and conclusions are kept apart. That a server leaves or is gone is a
// fact: the first source that says so counts. That it fails is a conclusion
// from our own work, possibly wrong (our own link may be cut), so at most a
// set share of a pool is ejected for it, for a time that grows when the server
// flaps.
package membership

import (
	"time"

	"github.com/jayproxy/jayproxy/charts"
	"github.com/jayproxy/jayproxy/internal/statechart"
)

// States of charts/member.toml.
const (
	StateHealthy   = "healthy"
	StateSuspect   = "suspect"
	StateEjected   = "ejected"
	StateProbation = "probation"
	StateDraining  = "leaving"
	StateGone      = "gone"
)

// Events of charts/member.toml.
const (
	eventFail        = "fail"
	eventTrip        = "trip"
	eventRecover     = "recover"
	eventBackoffOver = "backoff_over"
	eventPardon      = "pardon"
	eventLeave       = "leave"
	eventVanish      = "vanish"
	eventComeBack    = "come_back"
)

// Settings of the conclusions.
type Settings struct {
	// FailureStreak of failures that ejects.
	FailureStreak int
	// FailureShare of the work of late that ejects.
	FailureShare float64
	// HalfLife after which the failure share fades to half.
	HalfLife time.Duration
	// ProbationSuccesses of successes that ends probation, TrustStreak suspicion.
	ProbationSuccesses int
	SuspectSuccesses   int
	// Backoff of the first ejection; doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// MaxEjectedShare of a pool's servers that are neither leaving nor gone.
	MaxEjectedShare float64
	// SuspectWeight and ProbationWeight scale the work of such servers.
	SuspectWeight   float64
	ProbationWeight float64
	// ReorderWindow is how long after a server said that it leaves its answers to the
	// contrary still count as delayed ones.
	ReorderWindow time.Duration
	// AgentReportTTL is how long a server's own word that it leaves counts without
	// being heard again.
	AgentReportTTL time.Duration
	// PeerReportTTL is how long the word of another entry counts.
	PeerReportTTL time.Duration
}

// DefaultSettings eject after a few failures in a row for two seconds.
func DefaultSettings() Settings {
	return Settings{
		FailureStreak: 3, FailureShare: 0.5, HalfLife: 10 * time.Second,
		ProbationSuccesses: 3, SuspectSuccesses: 10, Backoff: 2 * time.Second, MaxBackoff: time.Minute,
		MaxEjectedShare: 0.34, SuspectWeight: 0.5, ProbationWeight: 0.2,
		ReorderWindow: 5 * time.Second, AgentReportTTL: 10 * time.Second, PeerReportTTL: 10 * time.Second,
	}
}

// Server is a backend server as the catalog declares it.
type Server struct {
	Name string
	// Group is the pool or service, within which ejections are bounded.
	Group string
	// Host is the IP number of its VM.
	Host     string
	Draining bool
}

// Members is what an entry holds of the backend servers.
type Members struct {
	settings Settings
	chart    *statechart.Chart
	members  map[string]*member
	byHost   map[string][]*member
	groups   map[string][]*member
}

// member is one backend server.
type member struct {
	server Server
	state  string
	facts  facts
	record record
	// changedAt is when the state last changed.
	changedAt time.Time
	// until ends an ejection; ejections counts them for the backoff.
	until     time.Time
	ejections int
}

// New makes members without servers.
func New(settings Settings) *Members {
	return &Members{settings: settings, chart: charts.Must("member"), members: map[string]*member{}}
}

// SetServers takes the backend servers of a new generation of the catalog.
// What is known of a server that stays is kept.
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
		b.facts.draining = server.Draining
		m.members[server.Name] = b
		m.byHost[server.Host] = append(m.byHost[server.Host], b)
		m.groups[server.Group] = append(m.groups[server.Group], b)
	}
	for _, b := range m.members {
		m.applyFacts(now, b)
	}
}

// Forget drops all evidence on a server; with the next SetServers that names it,
// it is as new.
func (m *Members) Forget(server string) { delete(m.members, server) }

// Usable is false for a server that is leaving, gone or ejected.
func (m *Members) Usable(server string) bool {
	b := m.members[server]
	if b == nil {
		return false
	}
	switch b.state {
	case StateDraining, StateGone, StateEjected:
		return false
	}
	return true
}

// Weight in (0, 1] scales a server's work; failures of late lower it.
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

// State is the server's state by charts/member.toml, "" when it is unknown.
func (m *Members) State(server string) string {
	if b := m.members[server]; b != nil {
		return b.state
	}
	return ""
}

// Tick ends ejections whose backoff is over and forgets old words.
func (m *Members) Tick(now time.Time) {
	for _, b := range m.members {
		if b.state == StateEjected && !now.Before(b.until) {
			m.fire(now, b, eventBackoffOver)
		}
		if b.state == StateSuspect {
			b.record.fade(now, m.settings.HalfLife)
			if b.record.share <= forgottenShare {
				m.fire(now, b, eventRecover)
			}
		}
		b.facts.expire(now, m.settings)
		m.applyFacts(now, b)
	}
	for _, group := range m.groups {
		m.pardon(now, group)
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
	case StateHealthy:
		b.record.reset()
	case StateProbation:
		b.record.streaks()
	}
}

func (m *Members) beginEjection(now time.Time, b *member) {
	// A server that stayed well for ten times its last backoff starts anew.
	const forgiven = 10
	if now.Sub(b.until) > forgiven*m.backoff(b.ejections) {
		b.ejections = 0
	}
	b.ejections++
	b.until = now.Add(m.backoff(b.ejections))
}

func (m *Members) backoff(ejections int) time.Duration {
	d := m.settings.Backoff
	for i := 1; i < ejections && d < m.settings.MaxBackoff; i++ {
		d *= 2
	}
	return min(d, m.settings.MaxBackoff)
}

// mayEject bounds the ejected share of a group. Evidence that condemns a whole
// pool is more likely to be about our own link; the pool must not be emptied.
func (m *Members) mayEject(b *member) bool {
	ejected, present := count(m.groups[b.server.Group])
	return float64(ejected+1) <= m.settings.MaxEjectedShare*float64(present)
}

func count(group []*member) (ejected, present int) {
	for _, b := range group {
		switch b.state {
		case StateDraining, StateGone:
		case StateEjected:
			ejected++
			present++
		default:
			present++
		}
	}
	return ejected, present
}

// pardon brings back the least bad of the ejected when others left since and
// too few remain.
func (m *Members) pardon(now time.Time, group []*member) {
	for {
		ejected, present := count(group)
		if ejected == 0 || float64(ejected) <= m.settings.MaxEjectedShare*float64(present) {
			return
		}
		var best *member
		for _, b := range group {
			if b.state == StateEjected && (best == nil || b.until.Before(best.until)) {
				best = b
			}
		}
		m.fire(now, best, eventPardon)
	}
}
