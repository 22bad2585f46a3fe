package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/experiment"
	"github.com/jayproxy/jayproxy/internal/load"
)

// experimentFlags are the flags shared by the experiment commands.
type experimentFlags struct {
	plan   experiment.Plan
	faults []string
	out    string
}

func experimentCommand() *cobra.Command {
	f := &experimentFlags{plan: experiment.DefaultPlan(), out: "out"}
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Compare routing policies over in-process clusters",
		Args:  cobra.NoArgs,
		PersistentPreRun: func(*cobra.Command, []string) {
			// Discards the logs of the clusters' processes.
			klog.LogToStderr(false)
			klog.SetOutput(io.Discard)
			f.plan.Progress = os.Stderr
			for _, fault := range f.faults {
				f.plan.Faults = append(f.plan.Faults, experiment.Fault(fault))
			}
		},
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := f.plan.Run(cmd.Context())
			if err != nil {
				return err
			}
			return f.write(report, report)
		},
	}
	f.register(cmd)
	cmd.AddCommand(f.sustainedCommand(), f.greedyCommand(), f.overheadCommand())
	return cmd
}

func (f *experimentFlags) register(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringSliceVar(&f.plan.Mixes, "mix", f.plan.Mixes, "mixes: association, darovnica")
	flags.StringSliceVar(&f.plan.Policies, "policy", f.plan.Policies, "routing policies")
	flags.Float64SliceVar(&f.plan.Shares, "load", f.plan.Shares, "loads, relative to what the least-load policy can serve")
	flags.IntSliceVar(&f.plan.Entries, "entries", f.plan.Entries, "numbers of entries")
	flags.StringSliceVar(&f.faults, "fault", nil, fmt.Sprintf("faults to inject, one per run; none when empty: %q", experiment.Faults()))
	flags.Uint64Var(&f.plan.Seed, "seed", f.plan.Seed, "seed of load and engines")
	flags.DurationVar(&f.plan.WarmUp, "warm-up", f.plan.WarmUp, "time to fill the caches, not counted")
	flags.DurationVar(&f.plan.Measured, "measured", f.plan.Measured, "time that is counted")
	flags.Float64Var(&f.plan.Prefill, "prefill", f.plan.Prefill, "prompt tokens that an engine computes per second")
	flags.Float64Var(&f.plan.Rate, "least-load-rate", 0, "calls per second that the least-load policy can serve, from an earlier run; 0 measures it")
	flags.IntVar(&f.plan.Parallel, "parallel", f.plan.Parallel, "runs at once, each with its own cluster")
	flags.StringVar(&f.out, "out", f.out, "folder for results.json and report.html")
}

func (f *experimentFlags) sustainedCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "carried",
		Short: "Find the highest load at which 95% of first tokens meet the objective",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, sustained, err := f.plan.Ladder(cmd.Context())
			if err != nil {
				return err
			}
			for _, c := range sustained {
				fmt.Printf("%s %s: %.2f of the least-load rate (%.1f calls/s)\n", c.Mix, c.Policy, c.Share, c.Rate)
			}
			return f.write(report, sustained)
		},
	}
}

func (f *experimentFlags) greedyCommand() *cobra.Command {
	factor := 10.0
	cmd := &cobra.Command{
		Use:   "greedy",
		Short: "Compare the other workspaces' first tokens with and without a greedy workspace",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			comparisons, results, err := f.plan.RunGreedy(cmd.Context(), factor)
			if err != nil {
				return err
			}
			for _, g := range comparisons {
				fmt.Printf("%s %s: p99 of other workspaces %.0f ms without, %.0f ms with a workspace at %.0f times its share\n",
					g.Mix, g.Policy, g.Without, g.With, g.Factor)
			}
			return f.write(experiment.Report{Seed: f.plan.Seed, Results: results}, comparisons)
		},
	}
	cmd.Flags().Float64Var(&factor, "factor", factor, "multiple of its share that the greedy workspace sends")
	return cmd
}

func (f *experimentFlags) overheadCommand() *cobra.Command {
	rate, length := 200.0, 10*time.Second
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Measure what entry and agent add to calling an engine directly",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			mix, ok := load.Mixes()[f.plan.Mixes[0]]
			if !ok {
				return eris.Errorf("unknown mix %q", f.plan.Mixes[0])
			}
			o, err := experiment.MeasureOverhead(cmd.Context(), mix, rate, length, f.plan.Seed)
			if err != nil {
				return err
			}
			fmt.Printf("%d calls at %.0f/s: direct p50 %.2f p99 %.2f ms, through p50 %.2f p99 %.2f ms, added p50 %.2f p99 %.2f ms, %.0f requests/s per core\n",
				o.Calls, o.Rate, o.Direct.P50, o.Direct.P99, o.Through.P50, o.Through.P99, o.AddedP50, o.AddedP99, o.RequestsPerCore)
			return writeJSON(f.out, o)
		},
	}
	cmd.Flags().Float64Var(&rate, "rate", rate, "calls per second")
	cmd.Flags().DurationVar(&length, "length", length, "duration of each part, direct and through")
	return cmd
}

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// write prints the table and writes results.json and report.html to the output folder.
func (f *experimentFlags) write(report experiment.Report, results any) error {
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if err := writeJSON(f.out, results); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(f.out, "report.html"))
	if err != nil {
		return eris.Wrap(err, "create report")
	}
	if err := report.WriteHTML(file); err != nil {
		return err
	}
	return eris.Wrap(file.Close(), "write report")
}

func writeJSON(dir string, value any) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return eris.Wrap(err, "make output folder")
	}
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return eris.Wrap(err, "encode results")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(dir, "results.json"), text, fileMode), "write results")
}
