package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/jayproxy/jayproxy/internal/standin/engine"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
	"github.com/jayproxy/jayproxy/internal/standin/kvstore"
	"github.com/jayproxy/jayproxy/internal/standin/platform"
	"github.com/jayproxy/jayproxy/internal/standin/service"
)

func engineCommand() *cobra.Command {
	var options engine.Options
	sim := &options.Engine
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "A model engine with a prefix cache",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := engine.Start(options)
			if err != nil {
				return err
			}
			serve(cmd, s)
			return nil
		},
	}
	listenFlag(cmd, &options.Listen)
	flags := cmd.Flags()
	flags.StringVar(&options.Name, "name", "", "name in logs")
	flags.StringVar(&options.Vendor, "vendor", engine.Merle, "dialect: merle or pica")
	flags.IntVar(&sim.CacheBlocks, "cache-blocks", 0, "capacity of the prefix cache in blocks of 16 tokens")
	flags.Float64Var(&sim.PrefillTokensPerSecond, "prefill-rate", 0, "prompt tokens computed per second, shared by all requests")
	flags.DurationVar(&sim.DecodeStep, "decode-step", 0, "time between two tokens of a request")
	flags.IntVar(&sim.MaxRunning, "max-running", 0, "requests that run at once")
	flags.IntVar(&sim.MaxWaiting, "max-waiting", 0, "requests that may wait; 0 means no bound")
	flags.IntVar(&sim.OutputTokens, "output-tokens", 0, "tokens of an answer whose request sets no maximum")
	flags.StringSliceVar(&sim.Versions, "version", []string{"v1"}, "digests of the weights loaded at the start")
	flags.StringSliceVar(&sim.Adapters, "adapter", nil, "adapters loaded at the start")
	flags.DurationVar(&sim.LoadTime, "load-time", 0, "time to load a version")
	flags.BoolVar(&sim.ChecksFencing, "checks-fencing", false, "refuse orders with a stale fencing number")
	flags.IntVar(&sim.EventBuffer, "event-buffer", 0, "published cache events kept for subscribers")
	flags.IntVar(&sim.KVBytesPerBlock, "kv-bytes-per-block", 0, "size of a block in an export")
	flags.Float64Var(&options.KVBlocksPerSecond, "kv-rate", 0, "blocks exported or imported per second; 0 means no delay")
	flags.Uint64Var(&sim.Incarnation, "incarnation", 0, "boot number; 0 takes the current time")
	flags.Uint64Var(&sim.Seed, "seed", 0, "seed of random faults")
	faultFlags(cmd, &sim.Faults)
	cmd.PreRun = func(*cobra.Command, []string) { setIncarnation(sim) }
	return cmd
}

// setIncarnation sets the incarnation from the clock if it is not given, so that a
// restarted process gets a higher one without persistent state.
func setIncarnation(options *sim.Options) {
	if options.Incarnation == 0 {
		options.Incarnation = uint64(time.Now().UnixMilli())
	}
}

func faultFlags(cmd *cobra.Command, faults *sim.Faults) {
	flags := cmd.Flags()
	flags.IntVar(&faults.EventDelayMS, "event-delay-ms", 0, "age at which a cache event is published")
	flags.Float64Var(&faults.EventLoss, "event-loss", 0, "share of cache events lost")
	flags.IntVar(&faults.StateLagMS, "state-lag-ms", 0, "age of the load in state reports")
	flags.Float64Var(&faults.Slow, "slow", 0, "factor on the time of all work")
}

func platformCommand() *cobra.Command {
	var options platform.Options
	var weights map[string]int64
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "The platform's table, object store, list of VMs and weight store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.Weights = weights
			s, err := platform.Start(options)
			if err != nil {
				return err
			}
			serve(cmd, s)
			return nil
		},
	}
	listenFlag(cmd, &options.Listen)
	flags := cmd.Flags()
	flags.Float64Var(&options.WritesPerSecond, "writes", platform.DefaultWritesPerSecond, "writes allowed per second")
	flags.Float64Var(&options.ReadsPerSecond, "reads", platform.DefaultReadsPerSecond, "reads allowed per second")
	flags.IntVar(&options.WeightBytesPerSecond, "weight-rate", platform.DefaultWeightRate, "bytes of weights sent per second")
	flags.DurationVar(&options.VMLag, "vm-lag", 0, "age at which a change of the list of VMs becomes visible")
	flags.Uint64Var(&options.Seed, "seed", 0, "seed of the lost answers")
	flags.StringToInt64Var(&weights, "weights", nil, "available weights, digest=bytes")
	return cmd
}

func serviceCommand() *cobra.Command {
	var options service.Options
	cmd := &cobra.Command{
		Use:   "service",
		Short: "A plain HTTP service that counts the calls it ran",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := service.Start(options)
			if err != nil {
				return err
			}
			serve(cmd, s)
			return nil
		},
	}
	listenFlag(cmd, &options.Listen)
	cmd.Flags().StringVar(&options.Name, "name", "", "name returned in every answer")
	cmd.Flags().DurationVar(&options.Work, "work", 0, "duration of a call")
	cmd.Flags().IntVar(&options.Concurrency, "concurrency", 0, "calls that run at once")
	return cmd
}

func kvstoreCommand() *cobra.Command {
	var options kvstore.Options
	cmd := &cobra.Command{
		Use:   "kvstore",
		Short: "The KV cache store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := kvstore.Start(options)
			if err != nil {
				return err
			}
			serve(cmd, s)
			return nil
		},
	}
	listenFlag(cmd, &options.Listen)
	cmd.Flags().IntVar(&options.Blobs, "blobs", kvstore.DefaultBlobs, "capacity in blobs")
	return cmd
}
