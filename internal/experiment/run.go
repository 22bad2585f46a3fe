// Package experiment compares routing policies: it runs seeded loads against
// in-process clusters, with faults injected, and reports the results. Entries, agents
// and sockets are real, the engines are stand-ins.
package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/load"
	"github.com/jayproxy/jayproxy/internal/standin/cluster"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// Spec describes one run: a mix at a rate, through some entries with one policy.
type Spec struct {
	Mix     load.Mix `json:"-"`
	MixName string   `json:"mix"`
	Policy  string   `json:"policy"`
	Entries int      `json:"entries"`
	// Share is the load relative to what the least-load policy can serve, Rate the same
	// in calls per second.
	Share float64 `json:"share"`
	Rate  float64 `json:"rate"`
	Fault Fault   `json:"fault,omitempty"`
	Seed  uint64  `json:"seed"`
	// WarmUp is the time to fill the caches, not counted; Measured follows it.
	WarmUp   time.Duration `json:"-"`
	Measured time.Duration `json:"-"`
	// Greedy multiplies the calls of the workspace GreedyWorkspace from the end of the
	// warm-up; 0 means no greedy workspace.
	Greedy float64 `json:"greedy,omitempty"`
	// Prefill rate of each engine, in tokens per second.
	Prefill float64 `json:"prefill_tokens_per_second"`
}

// Result holds the figures of one run.
type Result struct {
	Spec
	load.Summary
	// Before and After are the hit rates of the 5 s before and after the fault.
	Before float64 `json:"hit_before,omitempty"`
	After  float64 `json:"hit_after,omitempty"`
	// Messages and Bytes per call on the entries' links, both directions.
	Messages float64 `json:"messages_per_call"`
	Bytes    float64 `json:"bytes_per_call"`
	// Others summarizes the calls of all workspaces except GreedyWorkspace.
	Others load.Summary `json:"others"`
}

const (
	// cacheShare is the share of the working set that all caches can hold together.
	cacheShare = 0.75
	// blockTokens is the number of tokens in a cached block of the stand-ins.
	blockTokens = 16
	// faultWindow is the length of the windows compared before and after a fault.
	faultWindow = 5 * time.Second
	// GreedyWorkspace is the index of the greedy workspace.
	GreedyWorkspace = 2
	decodeStep      = 8 * time.Millisecond
)

// faultAt returns when a fault is injected, from the start of the load.
func (s Spec) faultAt() time.Duration { return s.WarmUp + s.Measured/2 }

func (s Spec) traffic() load.Traffic {
	traffic := load.Traffic{Mix: s.Mix, Rate: s.Rate, Duration: s.WarmUp + s.Measured, Seed: s.Seed}
	if s.Fault == FaultShift {
		traffic.ShiftAt = s.faultAt()
	}
	if s.Greedy > 1 {
		traffic.Greedy, traffic.GreedyWorkspace, traffic.GreedyAt = s.Greedy, GreedyWorkspace, s.WarmUp
	}
	return traffic
}

// String describes the run for progress output and errors.
func (s Spec) String() string {
	name := fmt.Sprintf("%s load %.2f, %d entries, %s", s.Mix.Name, s.Share, s.Entries, s.Policy)
	if s.Fault != "" {
		name += ", " + string(s.Fault)
	}
	if s.Greedy > 0 {
		name += fmt.Sprintf(", greedy %.0f", s.Greedy)
	}
	return name
}

// start starts the cluster, with caches sized by the working set of the calls.
func (s Spec) start(ctx context.Context, workingSetTokens int) (*cluster.Cluster, error) {
	blocks := int(cacheShare * float64(workingSetTokens) / blockTokens / float64(s.Mix.Servers))
	workspaces := make([]string, s.Mix.Workspaces)
	for i := range workspaces {
		workspaces[i] = load.WorkspaceName(i)
	}
	return cluster.Start(ctx, cluster.Options{
		Engines: s.Mix.Servers, Entries: s.Entries, Policy: s.Policy, Workspaces: workspaces,
		RecomputeWeight: s.Mix.RecomputeWeight,
		Engine: sim.Options{
			CacheBlocks: blocks, PrefillTokensPerSecond: s.Prefill, DecodeStep: decodeStep, Seed: s.Seed,
		},
		Entry: func(settings *entry.Settings) { settings.Timeouts.DeadlineMS = int(deadline.Milliseconds()) },
	})
}

// deadline is the entries' deadline for the first token of a call.
const deadline = 30 * time.Second

// Run starts a cluster, sends the load, injects the fault and returns the figures.
func Run(ctx context.Context, spec Spec) (Result, error) {
	calls := load.Generate(spec.traffic())
	bound := load.UnlimitedCache(calls)
	c, err := spec.start(ctx, bound.SharedTokens)
	if err != nil {
		return Result{}, eris.Wrapf(err, "start cluster for %s", spec)
	}
	defer c.Close()
	if err := awaitReady(ctx, c); err != nil {
		return Result{}, err
	}
	injected := make(chan error, 1)
	faultCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { injected <- spec.Fault.inject(faultCtx, c, spec.faultAt()) }()
	before := countLinks(c)
	samples := load.Send(ctx, calls, load.Target{URLs: urlsOf(c), Key: cluster.Key, Model: cluster.Model, Seed: spec.Seed})
	after := countLinks(c)
	cancel()
	if err := <-injected; err != nil {
		return Result{}, eris.Wrapf(err, "inject fault into %s", spec)
	}
	result := spec.summarize(samples, bound)
	if spec.Fault != FaultRestart { // The counts of the replaced entries are lost.
		result.Messages = float64(after.frames-before.frames) / float64(max(1, len(calls)))
		result.Bytes = float64(after.bytes-before.bytes) / float64(max(1, len(calls)))
	}
	return result, ctx.Err()
}

func (s Spec) summarize(samples []load.Sample, bound load.Bound) Result {
	measured := load.Window{From: s.WarmUp, To: s.WarmUp + s.Measured}
	at := s.faultAt()
	result := Result{Spec: s, Summary: load.Summarize(samples, bound, measured, nil)}
	result.MixName = s.Mix.Name
	result.Before = load.Summarize(samples, bound, load.Window{From: at - faultWindow, To: at}, nil).HitRate
	result.After = load.Summarize(samples, bound, load.Window{From: at, To: at + faultWindow}, nil).HitRate
	greedy := load.WorkspaceName(GreedyWorkspace)
	result.Others = load.Summarize(samples, bound, measured, func(call *load.Call) bool { return call.Workspace != greedy })
	result.Seconds = load.Series(samples, s.WarmUp+s.Measured)
	return result
}

func urlsOf(c *cluster.Cluster) func() []string {
	return func() []string {
		var urls []string
		for _, e := range c.Entries() {
			urls = append(urls, e.CallersURL())
		}
		return urls
	}
}

type links struct{ frames, bytes uint64 }

// countLinks adds up the traffic of the entries' links, which carry all messages
// between entries and agents and between entries.
func countLinks(c *cluster.Cluster) links {
	var sum links
	for _, e := range c.Entries() {
		stats := e.LinkStats()
		sum.frames += stats.FramesSent.Load() + stats.FramesReceived.Load()
		sum.bytes += stats.BytesSent.Load() + stats.BytesReceived.Load()
	}
	return sum
}
