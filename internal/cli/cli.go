// Package cli is what the binaries' main functions have in common: log flags,
// signals, exit codes. It knows no binary.
package cli

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/charts"
)

// shownLogFlags are klog's flags that make sense for a process without a disk;
// the rest stays usable and out of the help text.
var shownLogFlags = map[string]bool{"v": true, "vmodule": true}

// AddLogFlags adds klog's flags to a command and all below it.
func AddLogFlags(cmd *cobra.Command) {
	all := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(all)
	cmd.PersistentFlags().AddGoFlagSet(all)
	all.VisitAll(func(f *flag.Flag) {
		if !shownLogFlags[f.Name] {
			_ = cmd.PersistentFlags().MarkHidden(f.Name)
		}
	})
}

// DiscardLogs drops the logs of processes that run inside a program which
// breaks them by the hundred and prints a report of its own.
func DiscardLogs() {
	flags := flag.NewFlagSet("klog", flag.ExitOnError)
	klog.InitFlags(flags)
	_ = flags.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL", "-legacy_stderr_threshold_behavior=false"})
	klog.SetOutput(io.Discard)
}

// Main runs a command until it ends or a signal comes, and exits with 1 when
// it fails. A second signal ends the process at once.
func Main(cmd *cobra.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	err := cmd.ExecuteContext(ctx)
	stop()
	klog.Flush()
	if err != nil {
		os.Exit(1)
	}
}

// Server is a process that serves until it is told to stop.
type Server interface {
	// Shutdown ends gracefully, or at once when the context ends.
	Shutdown(ctx context.Context) error
}

// ServeCommand is a binary that reads a settings file, starts and serves. The
// charts are checked before anything is opened. A first SIGTERM or SIGINT lets
// running work end, a second one cuts it.
func ServeCommand(name, short string, start func(ctx context.Context, file string) (Server, error)) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:          name + " --settings FILE",
		Short:        short,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := charts.All(); err != nil {
				return err
			}
			server, err := start(context.WithoutCancel(cmd.Context()), file)
			if err != nil {
				return err
			}
			<-cmd.Context().Done()
			return shutdown(server)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (TOML)")
	_ = cmd.MarkFlagRequired("settings")
	AddLogFlags(cmd)
	return cmd
}

func shutdown(server Server) error {
	klog.InfoS("Stopping; a second signal cuts what still runs")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return eris.Wrap(server.Shutdown(ctx), "stop")
}
