package experiment

import (
	"context"
	"time"

	"github.com/jayproxy/jayproxy/internal/standin/cluster"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// Fault is what goes wrong in a run.
type Fault string

// The faults.
const (
	FaultNone Fault = ""
	// FaultShift replaces the hottest templates of every workspace by new ones.
	FaultShift Fault = "hot prefix shift"
	// FaultEvents loses half of the engines' cache events, from the start.
	FaultEvents Fault = "half of the cache events lost"
	// FaultReports makes load reports 5 s late, from the start.
	FaultReports Fault = "load reports 5 s late"
	// FaultCrash crashes a third of the engines to a cold start.
	FaultCrash Fault = "a third of the engines crash"
	// FaultRestart restarts all entries at once.
	FaultRestart Fault = "all entries restart"
	// FaultSlow makes one engine three times slower.
	FaultSlow Fault = "one slow engine"
)

// Faults lists all of them.
func Faults() []Fault {
	return []Fault{FaultShift, FaultEvents, FaultReports, FaultCrash, FaultRestart, FaultSlow}
}

const (
	eventsLost    = 0.5
	reportsLateMS = 5000
	slowFactor    = 3
	crashDown     = 500 * time.Millisecond
	crashedPart   = 3
)

// strike injects the fault when it is due. Faults of signals last from the start.
func (f Fault) strike(ctx context.Context, c *cluster.Cluster, at time.Duration) error {
	switch f {
	case FaultEvents:
		setFaults(c, sim.Faults{EventLoss: eventsLost})
		return nil
	case FaultReports:
		setFaults(c, sim.Faults{StateLagMS: reportsLateMS})
		return nil
	case FaultNone, FaultShift:
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(at):
	}
	switch f {
	case FaultCrash:
		for i := 0; i < len(c.Engines); i += crashedPart {
			c.Engines[i].Crash(crashDown)
		}
	case FaultSlow:
		c.Engines[0].SetFaults(sim.Faults{Slow: slowFactor})
	case FaultRestart:
		// The load stops with ctx, the new entries do not.
		return c.RestartEntries(context.WithoutCancel(ctx))
	}
	return nil
}

func setFaults(c *cluster.Cluster, faults sim.Faults) {
	for _, e := range c.Engines {
		e.SetFaults(faults)
	}
}
