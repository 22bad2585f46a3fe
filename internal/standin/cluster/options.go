// Package cluster runs a small whole system in one process: stand-in engines
// and services, the agents beside them, entries and the platform, on loopback
// with real sockets. Development, load experiments and tests use it.
package cluster

import (
	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// Names of what a cluster declares.
const (
	Pool    = "modelos-lenguaje"
	Model   = "modelos-lenguaje"
	Service = "reservas-app"
	version = "2026-11"
	// Digest of the only version of the model.
	Digest = "sha256:stand-in-2026-11"
)

// Options of a cluster; zero values take the defaults.
type Options struct {
	Engines  int
	Entries  int
	Services int
	// Vendors of the engines, taken in turn.
	Vendors []string
	// DataCentres that servers and entries stand in, taken in turn.
	DataCentres []string
	Region      string
	// Workspaces by name.
	Workspaces []string
	// Policy of the entries; empty: the default.
	Policy string
	// RecomputeWeight of the pool.
	RecomputeWeight float64
	// Concurrency and QueueLength of the pool's backend servers.
	Concurrency int
	QueueLength int
	// Engine options; versions are set here.
	Engine sim.Options
	// Agent and Entry change the settings of each process before it starts.
	Agent func(*agent.Settings)
	Entry func(*entry.Settings)
}

const (
	defaultEngines     = 3
	defaultEntries     = 1
	defaultConcurrency = 8
	defaultQueue       = 64
)

func (o Options) withDefaults() Options {
	if o.Engines == 0 {
		o.Engines = defaultEngines
	}
	if o.Entries == 0 {
		o.Entries = defaultEntries
	}
	if len(o.Vendors) == 0 {
		o.Vendors = []string{"merle", "pica"}
	}
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"quito-sala-a", "quito-sala-b", "ibarra-sala"}
	}
	if o.Region == "" {
		o.Region = "sierra-norte"
	}
	if len(o.Workspaces) == 0 {
		o.Workspaces = []string{"cantera-norte", "vialidad"}
	}
	if o.Concurrency == 0 {
		o.Concurrency = defaultConcurrency
	}
	if o.QueueLength == 0 {
		o.QueueLength = defaultQueue
	}
	o.Engine.Versions = []string{Digest}
	o.Engine.MaxRunning = o.Concurrency
	return o
}
