// Command jay-gateway runs an entry: it forwards callers' HTTP requests to
// backend servers that register themselves in the platform's store.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/cli"
	"github.com/jayproxy/jayproxy/internal/exitcode"
	"github.com/jayproxy/jayproxy/internal/gateway"
	"github.com/jayproxy/jayproxy/platform"
)

// memoryShare is the share of the process's memory limit that is set as the soft limit
// of the Go runtime. The rest is headroom: a process above its own limit is killed.
const memoryShare = 0.6

func main() {
	if err := rootCommand(serve).Execute(); err != nil {
		os.Exit(1)
	}
}

// rootCommand returns the command line; run serves until the process is told to stop.
func rootCommand(run func(ctx context.Context, price msPerMB) error) *cobra.Command {
	var price msPerMB
	cmd := &cobra.Command{
		Use:          "jay-gateway",
		Short:        "Forward callers' HTTP requests to the backend servers of the platform",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), price) },
	}
	cmd.Flags().Var(&price, "cross-data-centre-ms-per-mb",
		"extra latency, in milliseconds, that keeping one MB (a million bytes) in its data centre is worth; 0: traffic between data centres costs nothing")
	cmd.AddCommand(checkCommand(), checkConfigCommand())
	cli.AddLogFlags(cmd)
	return cmd
}

// msPerMB is the value of a flag: the price of traffic between data centres.
type msPerMB float64

var errPrice = errors.New("must be a number of milliseconds, 0 or more")

// Set implements pflag.Value.
func (p *msPerMB) Set(text string) error {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0) || math.IsInf(value, 0) {
		return errPrice
	}
	*p = msPerMB(value)
	return nil
}

// String implements pflag.Value.
func (p *msPerMB) String() string { return strconv.FormatFloat(float64(*p), 'g', -1, 64) }

// Type implements pflag.Value.
func (p *msPerMB) Type() string { return "ms" }

// exitCodeOf returns the exit code of a command that failed. The commands that check print
// no errors themselves.
func exitCodeOf(err error, stderr io.Writer) int {
	var exit *exitcode.Error
	if !errors.As(err, &exit) {
		return 1
	}
	if exit.Cause != nil {
		fmt.Fprintln(stderr, "jay-gateway:", exit.Cause)
	}
	return exit.Code
}

func serve(ctx context.Context, price msPerMB) error {
	stopLogs := cli.LogTo(os.Stdout)
	defer stopLogs()
	path := platform.SettingsPath()
	settings, err := platform.LoadSettings(path)
	if err != nil {
		klog.ErrorS(err, "Settings not loaded", "file", path)
		return err
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryShare))
	}
	stopCtx, ignoreStop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer ignoreStop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	g, err := gateway.Start(stopCtx, settingsOf(settings, price), platform.Ports(settings))
	if errors.Is(err, gateway.ErrStopped) {
		klog.InfoS("Stopped while starting")
		return nil
	}
	if err != nil {
		klog.ErrorS(err, "Gateway not started")
		return err
	}
	for {
		select {
		case <-reload:
			again, err := settings.Reload(path)
			if err != nil {
				klog.ErrorS(err, "Settings not reloaded, keeping the previous ones", "file", path)
				continue
			}
			settings = again
			g.Reload(settingsOf(settings, price))
		case <-stopCtx.Done():
			return g.Shutdown(ctx)
		}
	}
}

func settingsOf(s platform.Settings, price msPerMB) gateway.Settings {
	return gateway.Settings{
		Node: s.Node, DataCentre: s.DataCentre, CrossDataCentreMSPerMB: float64(price),
		CallerAddress: s.CallerAddress, ReadyAddress: s.ReadyAddress, ControlAddress: s.ControlAddress,
		HintAddress: s.HintAddress, MetricsAddress: s.MetricsAddress, Seeds: s.Seeds, Bootstrap: s.Bootstrap, StoreReadsPerSecond: s.StoreReadsPerSecond, Cores: s.Cores, MemoryBytes: s.MemoryBytes, Grace: s.Bounds.Grace, DrainBound: s.Bounds.Drain, RenewalInterval: s.RenewalInterval, ConfigBound: s.Bounds.Config, LeaseTime: s.Bounds.Lease, VersionBound: s.Bounds.Version, VersionFleetBound: s.Bounds.VersionFleet,
		RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack, RetryWindow: s.Bounds.RetryWindow,
		Usage: s.Bounds.Usage, ServerLimits: s.Bounds.ServerLimits,
	}
}
