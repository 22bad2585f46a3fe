// Package cluster runs a small but complete system in one process, on loopback with
// real sockets: stand-in engines and services with their agents, entries, and a
// stand-in platform. It is used for development, load experiments and tests.
package cluster

import (
	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// Names in the declaration of a cluster.
const (
	Pool    = "modelos-lenguaje"
	Model   = "modelos-lenguaje"
	Service = "reservas-app"
	version = "2026-11"
	// Digest of the weights of the model's only version.
	Digest = "sha256:stand-in-2026-11"
)

// Options configure a cluster; zero values mean the defaults.
type Options struct {
	Engines  int
	Entries  int
	Services int
	// Vendors of the engines, assigned round-robin.
	Vendors []string
	// DataCentres of backend servers and entries, assigned round-robin.
	DataCentres []string
	Region      string
	// Workspaces are the names of the declared workspaces.
	Workspaces []string
	// Policy is the routing policy of the entries; empty means the default.
	Policy string
	// RecomputeWeight of the declared pool.
	RecomputeWeight float64
	// Concurrency and QueueLength of the pool's backend servers.
	Concurrency int
	QueueLength int
	// Engine configures the engines; Versions and MaxRunning are overwritten.
	Engine sim.Options
	// Agent and Entry, if not nil, change the settings of each process before it starts.
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
