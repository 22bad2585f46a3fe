package warmup

import "time"

// Port is what a process knows when it decides whether to accept callers.
type Port struct {
	// Inherited: the listening socket belongs to a supervisor. Connections in its
	// queue survive this process.
	Inherited bool
	// Config is the state of loading the first configuration.
	Config ConfigState
	// Linked: the connections to the backend servers were tried.
	Linked bool
	// Age is the time since the process started.
	Age time.Duration
}

// Accepts reports whether the process accepts callers.
//
// A connection that was accepted is lost with its process, and costs its caller a
// try. On an inherited socket it therefore stays in the queue until it can be
// served, for Timeout at most. Connections on a socket of the process's own are
// lost with it either way.
func (l Limits) Accepts(p Port) bool {
	switch {
	case !p.Inherited, p.Config == NotFound, p.Age >= l.Timeout:
		return true
	}
	return p.Config == Loaded && p.Linked
}
