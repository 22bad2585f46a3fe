package main

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/experiment"
)

func experimentCommand() *cobra.Command {
	plan := experiment.DefaultPlan()
	var faults []string
	out := "out"
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Compare routing policies over in-process clusters",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			klog.SetOutput(discard{})
			plan.Progress = os.Stderr
			for _, fault := range faults {
				plan.Faults = append(plan.Faults, experiment.Fault(fault))
			}
			report, err := plan.Run(cmd.Context())
			if err != nil {
				return err
			}
			if err := report.WriteTable(os.Stdout); err != nil {
				return err
			}
			return write(report, out)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&plan.Mixes, "mix", plan.Mixes, "mixes: association, darovnica")
	flags.StringSliceVar(&plan.Policies, "policy", plan.Policies, "routing policies")
	flags.Float64SliceVar(&plan.Shares, "load", plan.Shares, "loads, as shares of what least load can carry")
	flags.IntSliceVar(&plan.Entries, "entries", plan.Entries, "numbers of entries")
	flags.StringSliceVar(&faults, "fault", nil, "faults to inject, one a run; none when empty")
	flags.Uint64Var(&plan.Seed, "seed", plan.Seed, "seed of load and engines")
	flags.DurationVar(&plan.WarmUp, "warm-up", plan.WarmUp, "time to fill the caches, not counted")
	flags.DurationVar(&plan.Measured, "measured", plan.Measured, "time that is counted")
	flags.Float64Var(&plan.Prefill, "prefill", plan.Prefill, "prompt tokens that an engine computes a second")
	flags.IntVar(&plan.Parallel, "parallel", plan.Parallel, "runs at once, each with its own cluster")
	flags.StringVar(&out, "out", out, "folder for results.json and report.html")
	return cmd
}

// discard drops the log of the clusters' processes.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func write(report experiment.Report, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "make output folder")
	}
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return eris.Wrap(err, "encode results")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(dir, "results.json"), text, 0o644), "write results")
}
