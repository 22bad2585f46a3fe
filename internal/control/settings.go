package control

import (
	"time"

	"github.com/jayproxy/jayproxy/internal/lease"
)

// Settings of the share of control work.
type Settings struct {
	Lease lease.Settings `toml:"lease"`
	// Candidates of the live entries contend for the lease of a pool.
	Candidates int `toml:"candidates" validate:"min=1,max=8" unit:"entries" doc:"entries that contend for the lease of one pool"`
	// Interval between two looks at candidates and pools.
	Interval time.Duration `toml:"interval" validate:"min=10ms" unit:"duration" doc:"time between two looks at pools and leases"`
	// ProbeInterval between two probes of backend servers of one pool.
	ProbeInterval time.Duration `toml:"probe_interval" validate:"min=1ms" unit:"duration" doc:"time between two probes of a pool's backend servers by its lease holder"`
	// SettledInterval is the same in a pool in which nothing is to be done.
	SettledInterval time.Duration `toml:"settled_interval" validate:"min=1ms" unit:"duration" doc:"time between two probes in a pool in which nothing is to be done"`
	// ProbeTimeout bounds one probe.
	ProbeTimeout time.Duration `toml:"probe_timeout" validate:"min=10ms" unit:"duration" doc:"bound of one probe"`
	// AnswerTimeout bounds the wait for an order's answer, before which the
	// agent reads and writes the table.
	AnswerTimeout time.Duration `toml:"answer_timeout" validate:"min=10ms" unit:"duration" doc:"wait for an agent's answer to an order; after it the backend server's state shows the outcome"`
	// StaleAfter an observation no longer counts.
	StaleAfter time.Duration `toml:"stale_after" validate:"min=100ms" unit:"duration" doc:"age above which the observation of a backend server counts for nothing"`
	// MaxLoads of a pool at once.
	MaxLoads int `toml:"max_loads" validate:"min=1,max=64" unit:"backend servers" doc:"backend servers of a pool that load from the weight store at once"`
	// OrderTimeout: an order whose effect does not show is planned anew.
	OrderTimeout time.Duration `toml:"order_timeout" validate:"min=1s" unit:"duration" doc:"time after which an order whose effect does not show is planned anew"`
}

// DefaultSettings look at a pool of 12 within 3 s and at one of 300 within a
// minute after a change, and at a settled pool of 12 within a minute.
func DefaultSettings() Settings {
	return Settings{
		Lease: lease.DefaultSettings(), Candidates: 2, Interval: time.Second,
		ProbeInterval: 200 * time.Millisecond, SettledInterval: 5 * time.Second, ProbeTimeout: time.Second, AnswerTimeout: 5 * time.Second, StaleAfter: 90 * time.Second,
		MaxLoads: 2, OrderTimeout: 10 * time.Minute,
	}
}
