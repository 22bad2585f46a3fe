package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/jayproxy/jayproxy/internal/load"
)

// progressEvery is the interval between progress lines.
const progressEvery = 5 * time.Second

type runFlags struct {
	entries []string
	keys    []string
	mix     string
	model   string
	rate    float64
	length  time.Duration
	warmUp  time.Duration
	shiftAt time.Duration
	seed    uint64
	out     string
}

func runCommand() *cobra.Command {
	f := &runFlags{mix: "association", rate: 20, length: 30 * time.Second, warmUp: 5 * time.Second, seed: 1, out: "out"}
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Send a load to entries and summarize the responses",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd.Context()) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.entries, "entry", nil, "base URL of an entry's callers' API; may be given several times")
	flags.StringSliceVar(&f.keys, "key", nil, "API key of a workspace; assigned to the mix's workspaces round-robin")
	flags.StringVar(&f.model, "model", "", "model to request")
	flags.StringVar(&f.mix, "mix", f.mix, "mix: association or darovnica")
	flags.Float64Var(&f.rate, "rate", f.rate, "calls per second")
	flags.DurationVar(&f.length, "length", f.length, "duration of the run, warm-up included")
	flags.DurationVar(&f.warmUp, "warm-up", f.warmUp, "time at the start that is not counted")
	flags.DurationVar(&f.shiftAt, "shift-at", 0, "when the most popular templates change; 0 means never")
	flags.Uint64Var(&f.seed, "seed", f.seed, "seed of the load")
	flags.StringVar(&f.out, "out", f.out, "folder for results.json")
	for _, required := range []string{"entry", "key", "model"} {
		_ = cmd.MarkFlagRequired(required)
	}
	return cmd
}

func (f *runFlags) run(ctx context.Context) error {
	mix, ok := load.Mixes()[f.mix]
	if !ok {
		return eris.Errorf("unknown mix %q", f.mix)
	}
	calls := load.Generate(load.Traffic{Mix: mix, Rate: f.rate, Duration: f.length, Seed: f.seed, ShiftAt: f.shiftAt})
	var done atomic.Int64
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go progress(ctx, &done, len(calls))
	samples := load.Send(ctx, calls, load.Target{
		URLs: func() []string { return f.entries }, Key: f.keyOf, Model: f.model, Seed: f.seed,
		OnSample: func(load.Sample) { done.Add(1) },
	})
	summary := load.Summarize(samples, load.UnlimitedCache(calls), load.Window{From: f.warmUp, To: f.length}, nil)
	summary.Seconds = load.Series(samples, f.length)
	fmt.Printf("calls %d, served %d, refused %d, failed %d\nhit rate %.3f of %.3f, wasted %.3f\nfirst token p50 %.0f p95 %.0f p99 %.0f ms, %.3f within %s\n",
		summary.Calls, summary.Served, summary.Refused, summary.Failed, summary.HitRate, summary.Bound, summary.Wasted,
		summary.FirstToken.P50, summary.FirstToken.P95, summary.FirstToken.P99, summary.InTime, load.Objective)
	return writeJSON(f.out, summary)
}

// keyOf returns the key of a workspace; keys are assigned round-robin.
func (f *runFlags) keyOf(workspace string) string {
	index := 0
	_, _ = fmt.Sscanf(workspace, strings.TrimSuffix(load.WorkspaceName(0), "0")+"%d", &index)
	return f.keys[index%len(f.keys)]
}

func progress(ctx context.Context, done *atomic.Int64, total int) {
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Fprintf(os.Stderr, "%d of %d calls answered\n", done.Load(), total)
		}
	}
}
