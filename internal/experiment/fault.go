package experiment

import (
	"context"
	"time"

	"github.com/jayproxy/jayproxy/internal/standin/cluster"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// Fault is the fault injected into a run.
type Fault string

// The faults. Their texts are the values of jay-load's flag --fault.
const (
	FaultNone Fault = ""
	// FaultShift replaces the most popular templates of every workspace by new ones.
	FaultShift Fault = "hot prefix shift"
	// FaultEvents drops half of the engines' cache events, from the start.
	FaultEvents Fault = "half of the cache events lost"
	// FaultReports delays load reports by 5 s, from the start.
	FaultReports Fault = "load reports 5 s late"
	// FaultCrash crashes a third of the engines, which restart with empty caches.
	FaultCrash Fault = "a third of the engines crash"
	// FaultRestart restarts all entries at once.
	FaultRestart Fault = "all entries restart"
	// FaultSlow makes one engine three times slower.
	FaultSlow Fault = "one slow engine"
)

// Faults returns all faults except FaultNone.
func Faults() []Fault {
	return []Fault{FaultShift, FaultEvents, FaultReports, FaultCrash, FaultRestart, FaultSlow}
}

const (
	eventLoss     = 0.5
	reportDelayMS = 5000
	slowFactor    = 3
	crashDowntime = 500 * time.Millisecond
	// FaultCrash crashes one in crashEvery engines.
	crashEvery = 3
)

// inject injects the fault at the given time after the start of the load, or at once
// for faults of cache events and load reports. FaultShift is part of the traffic.
func (f Fault) inject(ctx context.Context, c *cluster.Cluster, at time.Duration) error {
	switch f {
	case FaultEvents:
		setFaults(c, sim.Faults{EventLoss: eventLoss})
		return nil
	case FaultReports:
		setFaults(c, sim.Faults{StateLagMS: reportDelayMS})
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
		for i := 0; i < len(c.Engines); i += crashEvery {
			c.Engines[i].Crash(crashDowntime)
		}
	case FaultSlow:
		c.Engines[0].SetFaults(sim.Faults{Slow: slowFactor})
	case FaultRestart:
		// The new entries must outlive ctx, which ends with the load.
		return c.RestartEntries(context.WithoutCancel(ctx))
	}
	return nil
}

func setFaults(c *cluster.Cluster, faults sim.Faults) {
	for _, e := range c.Engines {
		e.SetFaults(faults)
	}
}
