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

// Overhead is what an entry and an agent add to calling an engine directly:
// the same calls in the same run, through and past them, with an engine that
// computes at once.
type Overhead struct {
	Rate    float64        `json:"rate"`
	Calls   int            `json:"calls"`
	Direct  load.Quantiles `json:"direct"`
	Through load.Quantiles `json:"through"`
	// Added to the first token, in milliseconds: the differences of the quantiles.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// RequestsPerCore is how many requests a second a core carries through
	// entry and agent, from the processor time that they add.
	RequestsPerCore float64 `json:"requests_per_core"`
}

// MeasureOverhead sends calls at the rate, first directly, then through.
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
	// Once through first: connections, caches and the heap are warm for both.
	load.Send(ctx, calls, through)
	one, oneCPU := timed(func() []load.Sample { return load.Send(ctx, calls, direct) })
	two, twoCPU := timed(func() []load.Sample { return load.Send(ctx, calls, through) })
	all := load.Window{To: length}
	bound := load.UnlimitedCache(calls)
	o := Overhead{
		Rate: rate, Calls: len(calls),
		Direct:  load.Summarize(one, bound, all, nil).FirstToken,
		Through: load.Summarize(two, bound, all, nil).FirstToken,
	}
	o.AddedP50, o.AddedP99 = o.Through.P50-o.Direct.P50, o.Through.P99-o.Direct.P99
	if added := twoCPU - oneCPU; added > 0 {
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

// processorTime of this process, user and system.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
