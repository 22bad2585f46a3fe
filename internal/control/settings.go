package control

import (
	"time"

	"github.com/jayproxy/jayproxy/internal/lease"
)

// Settings of the control loops.
type Settings struct {
	Lease lease.Settings `toml:"lease"`
	// Candidates is the number of live entries that contend for the lease of a
	// pool.
	Candidates int `toml:"candidates" validate:"min=1,max=8" unit:"entries" doc:"entries that contend for the lease of one pool"`
	// Interval between two checks for which pools this entry is a candidate.
	Interval time.Duration `toml:"interval" validate:"min=10ms" unit:"duration" doc:"time between two looks at pools and leases"`
	// ProbeInterval is the time between two probes in one pool; each probe is of
	// one backend server.
	ProbeInterval time.Duration `toml:"probe_interval" validate:"min=1ms" unit:"duration" doc:"time between two probes of a pool's backend servers by its lease holder"`
	// SettledInterval replaces ProbeInterval in a pool that needs no orders.
	SettledInterval time.Duration `toml:"settled_interval" validate:"min=1ms" unit:"duration" doc:"time between two probes in a pool in which nothing is to be done"`
	// ProbeTimeout of one probe.
	ProbeTimeout time.Duration `toml:"probe_timeout" validate:"min=10ms" unit:"duration" doc:"bound of one probe"`
	// AnswerTimeout bounds the wait for the reply to an order. The agent reads
	// and writes the platform's table before it replies.
	AnswerTimeout time.Duration `toml:"answer_timeout" validate:"min=10ms" unit:"duration" doc:"wait for an agent's answer to an order; after it the backend server's state shows the outcome"`
	// StaleAfter is the age above which an observation is ignored.
	StaleAfter time.Duration `toml:"stale_after" validate:"min=100ms" unit:"duration" doc:"age above which the observation of a backend server counts for nothing"`
	// MaxLoads is how many backend servers of a pool may load at once.
	MaxLoads int `toml:"max_loads" validate:"min=1,max=64" unit:"backend servers" doc:"backend servers of a pool that load from the weight store at once"`
	// OrderTimeout is the time after which an order whose effect has not been
	// observed is planned again.
	OrderTimeout time.Duration `toml:"order_timeout" validate:"min=1s" unit:"duration" doc:"time after which an order whose effect does not show is planned anew"`
}

// DefaultSettings returns settings with which a pool of 12 backend servers is
// probed within 3 s and one of 300 within a minute after a change; a settled
// pool of 12 is probed within a minute.
func DefaultSettings() Settings {
	return Settings{
		Lease: lease.DefaultSettings(), Candidates: 2, Interval: time.Second,
		ProbeInterval: 200 * time.Millisecond, SettledInterval: 5 * time.Second, ProbeTimeout: time.Second, AnswerTimeout: 5 * time.Second, StaleAfter: 90 * time.Second,
		MaxLoads: 2, OrderTimeout: 10 * time.Minute,
	}
}
