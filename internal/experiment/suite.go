package experiment

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jayproxy/jayproxy/internal/load"
	"github.com/jayproxy/jayproxy/internal/routing"
)

// Plan describes the runs of an experiment.
type Plan struct {
	Mixes    []string
	Policies []string
	Shares   []float64
	Entries  []int
	Faults   []Fault
	Seed     uint64
	WarmUp   time.Duration
	Measured time.Duration
	Prefill  float64
	// Rate is the rate that the least-load policy can serve, in calls per second, as
	// found by an earlier run with the same mix, seed and engines; 0 means find it.
	Rate float64
	// Parallel is the number of runs at once, each with its own cluster.
	Parallel int
	// Progress, if not nil, receives a line for each run.
	Progress io.Writer
}

// DefaultPlan returns a plan that compares all policies at three loads through 1, 3
// and 12 entries.
func DefaultPlan() Plan {
	return Plan{
		Mixes: []string{"association", "darovnica"}, Policies: routing.Policies(),
		Shares: []float64{0.5, 0.8, 1.1}, Entries: []int{1, 3, 12}, Seed: 1,
		WarmUp: 15 * time.Second, Measured: 20 * time.Second, Prefill: 10000, Parallel: 5,
	}
}

// Report holds the results of an experiment.
type Report struct {
	Seed uint64 `json:"seed"`
	// LeastLoadRate is the calls per second that the least-load policy can serve, by mix.
	LeastLoadRate map[string]float64 `json:"least_load_rate"`
	Results       []Result           `json:"results"`
	Overhead      *Overhead          `json:"overhead,omitempty"`
}

// Run runs the plan. On an error it returns the results so far as well.
func (p Plan) Run(ctx context.Context) (Report, error) {
	report := Report{Seed: p.Seed, LeastLoadRate: map[string]float64{}}
	for _, name := range p.Mixes {
		mix, ok := load.Mixes()[name]
		if !ok {
			return report, fmt.Errorf("unknown mix %q", name)
		}
		rate, err := p.leastLoadRate(ctx, mix)
		if err != nil {
			return report, err
		}
		report.LeastLoadRate[name] = rate
		p.logProgress("%s: the least-load policy can serve %.1f calls/s", name, rate)
		results, err := p.runAll(ctx, p.specs(mix, rate))
		report.Results = append(report.Results, results...)
		if err != nil {
			return report, err
		}
	}
	return report, nil
}

// leastLoadRate determines the hit rate of the least-load policy at an estimated
// rate, and returns the rate at which its cache misses keep all engines busy.
func (p Plan) leastLoadRate(ctx context.Context, mix load.Mix) (float64, error) {
	if p.Rate > 0 {
		return p.Rate, nil
	}
	spec := p.spec(mix)
	spec.Policy, spec.Entries = routing.PolicyLeastLoad, 3
	tokens := meanTokens(mix, p.Seed)
	capacity := float64(mix.Servers) * p.Prefill
	const estimatedHitRate, estimatedShare = 0.5, 0.7
	spec.Rate = estimatedShare * capacity / (tokens * (1 - estimatedHitRate))
	spec.Share = estimatedShare
	result, err := Run(ctx, spec)
	if err != nil {
		return 0, err
	}
	return capacity / (tokens * (1 - result.HitRate)), nil
}

func meanTokens(mix load.Mix, seed uint64) float64 {
	calls := load.Generate(load.Traffic{Mix: mix, Rate: 50, Duration: time.Minute, Seed: seed})
	total := 0
	for i := range calls {
		total += load.PromptBytes(&calls[i]) / load.BytesPerToken
	}
	return float64(total) / float64(len(calls))
}

func (p Plan) spec(mix load.Mix) Spec {
	return Spec{Mix: mix, MixName: mix.Name, Seed: p.Seed, WarmUp: p.WarmUp, Measured: p.Measured, Prefill: p.Prefill}
}

// specs lists the runs; runs that are compared with each other are adjacent.
func (p Plan) specs(mix load.Mix, rate float64) []Spec {
	var all []Spec
	faults := p.Faults
	if len(faults) == 0 {
		faults = []Fault{FaultNone}
	}
	for _, share := range p.Shares {
		for _, entries := range p.Entries {
			for _, fault := range faults {
				for _, policy := range p.Policies {
					spec := p.spec(mix)
					spec.Policy, spec.Entries, spec.Fault = policy, entries, fault
					spec.Share, spec.Rate = share, share*rate
					all = append(all, spec)
				}
			}
		}
	}
	return all
}

func (p Plan) runAll(ctx context.Context, specs []Spec) ([]Result, error) {
	results := make([]Result, len(specs))
	var done sync.Mutex
	finished := 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, p.Parallel))
	for i, spec := range specs {
		group.Go(func() error {
			result, err := Run(ctx, spec)
			if err != nil {
				return err
			}
			done.Lock()
			defer done.Unlock()
			results[i] = result
			finished++
			p.logProgress("%d/%d %s: hit rate %.3f, p99 %.0f ms, in time %.3f, served %d of %d", finished, len(specs),
				spec, result.HitRate, result.FirstToken.P99, result.InTime, result.Served, result.Calls)
			return nil
		})
	}
	err := group.Wait()
	return results, err
}

func (p Plan) logProgress(format string, args ...any) {
	if p.Progress != nil {
		_, _ = fmt.Fprintf(p.Progress, time.Now().Format("15:04:05 ")+format+"\n", args...)
	}
}
