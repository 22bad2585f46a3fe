package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jayproxy/jayproxy/internal/standin/cluster"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
	"github.com/jayproxy/jayproxy/internal/standin/platform"
	"github.com/jayproxy/jayproxy/internal/standin/service"
)

// faultInterval is the time between two steps of the injector.
const faultInterval = 400 * time.Millisecond

// injector applies one step at a time, chosen at random from a seed. One of the steps
// removes all faults of engines, services and platform.
type injector struct {
	cluster *cluster.Cluster
	random  *rand.Rand
	steps   []step
}

// step is one kind of fault; weight is its relative frequency.
type step struct {
	name   string
	weight int
	inject func(ctx context.Context) error
}

func newInjector(c *cluster.Cluster, seed uint64) *injector {
	i := &injector{cluster: c, random: rand.New(rand.NewPCG(seed, seed))}
	i.steps = []step{
		{"clear all faults", 8, i.clearFaults},
		{"engine crash", 4, i.crash},
		{"engine events lost", 3, i.engineFaults(sim.Faults{EventLoss: 0.5, EventDoubled: 0.1, EventReordered: 0.1})},
		{"engine answers crossed", 3, i.engineFaults(sim.Faults{AnswerCrossed: 0.2, AnswerDoubled: 0.2, AnswerLate: 0.1})},
		{"engine answers swapped", 2, i.engineFaults(sim.Faults{AnswerSwapped: 0.2})},
		{"engine streams break", 3, i.engineFaults(sim.Faults{BreakShare: 0.3, BreakAfter: 3})},
		{"engine fails, reports healthy state", 2, i.engineFaults(sim.Faults{Grey: "fail"})},
		{"engine slow", 3, i.engineFaults(sim.Faults{Slow: 8, StateLagMS: 2000})},
		{"platform outage", 2, i.platformFaults(platform.Faults{Outage: true})},
		{"platform loses answers", 4, i.platformFaults(platform.Faults{LostAnswers: 0.4})},
		{"platform slow", 3, i.platformFaults(platform.Faults{DelayMS: 300})},
		{"service cuts after the run", 4, i.serviceFaults(service.Faults{CutNext: 3})},
		{"service answers with a head without end", 3, i.serviceFaults(service.Faults{FloodNext: 3})},
		{"service slow", 2, i.serviceFaults(service.Faults{DelayMS: 200})},
		{"entries killed and replaced", 3, i.killEntries},
		{"agent killed and started again", 3, i.killAgent},
	}
	return i
}

func (i *injector) run(ctx context.Context, r *recorder) {
	ticker := time.NewTicker(faultInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = i.clearFaults(context.Background())
			return
		case <-ticker.C:
		}
		chosen := i.choose()
		r.recordFault(chosen.name)
		if err := chosen.inject(context.Background()); err != nil {
			r.violation(fmt.Sprintf("injector: %s: %v", chosen.name, err))
		}
	}
}

func (i *injector) choose() step {
	total := 0
	for _, s := range i.steps {
		total += s.weight
	}
	n := i.random.IntN(total)
	for _, s := range i.steps {
		if n -= s.weight; n < 0 {
			return s
		}
	}
	return i.steps[0]
}

func (i *injector) clearFaults(context.Context) error {
	for _, one := range i.cluster.Engines {
		one.SetFaults(sim.Faults{})
	}
	for _, one := range i.cluster.Services {
		one.SetFaults(service.Faults{})
	}
	i.cluster.Platform.SetFaults(platform.Faults{})
	return nil
}

func (i *injector) crash(context.Context) error {
	const maxDownMS = 800
	down := time.Duration(i.random.IntN(maxDownMS)) * time.Millisecond
	go i.cluster.Engines[i.random.IntN(len(i.cluster.Engines))].Crash(down)
	return nil
}

func (i *injector) engineFaults(faults sim.Faults) func(context.Context) error {
	return func(context.Context) error {
		i.cluster.Engines[i.random.IntN(len(i.cluster.Engines))].SetFaults(faults)
		return nil
	}
}

func (i *injector) platformFaults(faults platform.Faults) func(context.Context) error {
	return func(context.Context) error {
		i.cluster.Platform.SetFaults(faults)
		return nil
	}
}

func (i *injector) serviceFaults(faults service.Faults) func(context.Context) error {
	return func(context.Context) error {
		i.cluster.Services[i.random.IntN(len(i.cluster.Services))].SetFaults(faults)
		return nil
	}
}

func (i *injector) killEntries(ctx context.Context) error { return i.cluster.RestartEntries(ctx) }

// killAgent restarts the agent of an engine or of a service.
func (i *injector) killAgent(ctx context.Context) error {
	return i.cluster.RestartAgent(ctx, i.random.IntN(len(i.cluster.Agents)))
}
