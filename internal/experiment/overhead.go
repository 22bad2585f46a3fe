package experiment

import (
	"context"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/load"
	"github.com/jayproxy/jayproxy/internal/standin/cluster"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// Overhead is what an entry and an agent add to calling an engine directly. Both
// variants send the same calls, to an engine with negligible prefill time.
type Overhead struct {
	Rate    float64        `json:"rate"`
	Calls   int            `json:"calls"`
	Direct  load.Quantiles `json:"direct"`
	Through load.Quantiles `json:"through"`
	// AddedP50 and AddedP99 are the differences of the quantiles, in milliseconds.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// RequestsPerCore is the number of requests per second that one core can pass
	// through entry and agent, from the CPU time that they add.
	RequestsPerCore float64 `json:"requests_per_core"`
}

// MeasureOverhead sends calls at the rate for the given length, first to the engine
// directly, then through entry and agent.
func MeasureOverhead(ctx context.Context, mix load.Mix, rate float64, length time.Duration, seed uint64) (Overhead, error) {
	workspaces := make([]string, mix.Workspaces)
	for i := range workspaces {
		workspaces[i] = load.WorkspaceName(i)
	}
	c, err := cluster.Start(ctx, cluster.Options{
		Engines: 1, Entries: 1, Workspaces: workspaces, Concurrency: overheadSlots, QueueLength: overheadSlots,
		Engine: sim.Options{CacheBlocks: overheadBlocks, PrefillTokensPerSecond: overheadPrefill, DecodeStep: time.Millisecond},
	})
	if err != nil {
		return Overhead{}, eris.Wrap(err, "start cluster")
	}
	defer c.Close()
	if err := awaitReady(ctx, c); err != nil {
		return Overhead{}, err
	}
	calls := load.Generate(load.Traffic{Mix: mix, Rate: rate, Duration: length, Seed: seed})
	direct := load.Target{
		URLs: func() []string { return []string{c.Engines[0].URL()} }, Key: cluster.Key, Model: cluster.Model, Seed: seed, Direct: true,
	}
	through := load.Target{URLs: urlsOf(c), Key: cluster.Key, Model: cluster.Model, Seed: seed}
	// Sends the calls once before, so that connections, caches and the heap are warm in
	// both variants.
	load.Send(ctx, calls, through)
	directSamples, directCPU := timed(func() []load.Sample { return load.Send(ctx, calls, direct) })
	throughSamples, throughCPU := timed(func() []load.Sample { return load.Send(ctx, calls, through) })
	all := load.Window{To: length}
	bound := load.UnlimitedCache(calls)
	o := Overhead{
		Rate: rate, Calls: len(calls),
		Direct:  load.Summarize(directSamples, bound, all, nil).FirstToken,
		Through: load.Summarize(throughSamples, bound, all, nil).FirstToken,
	}
	o.AddedP50, o.AddedP99 = o.Through.P50-o.Direct.P50, o.Through.P99-o.Direct.P99
	if added := throughCPU - directCPU; added > 0 {
		o.RequestsPerCore = float64(len(calls)) / added.Seconds()
	}
	return o, ctx.Err()
}

const (
	overheadSlots   = 512
	overheadBlocks  = 1 << 18
	overheadPrefill = 1e9
)

func timed(run func() []load.Sample) ([]load.Sample, time.Duration) {
	before := processorTime()
	samples := run()
	return samples, processorTime() - before
}

// processorTime returns the CPU time of this process, user and system.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
