// Package cli contains what the main functions of all binaries share: log flags,
// signal handling and exit codes.
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

// shownLogFlags are the klog flags shown in the help text. The others, which mostly
// concern log files, are hidden but can be used.
var shownLogFlags = map[string]bool{"v": true, "vmodule": true}

// AddLogFlags adds klog's flags to a command and all its subcommands.
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

// DiscardLogs discards all logs. It is for tools that run components in their own
// process, make them fail on purpose and print their own report.
func DiscardLogs() {
	flags := flag.NewFlagSet("klog", flag.ExitOnError)
	klog.InitFlags(flags)
	_ = flags.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL", "-legacy_stderr_threshold_behavior=false"})
	klog.SetOutput(io.Discard)
}

// Main runs a command, cancels its context on SIGINT or SIGTERM, and exits with
// status 1 if it fails. A second signal ends the process at once.
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

// Server is a running server.
type Server interface {
	// Shutdown stops the server gracefully, or at once when the context ends.
	Shutdown(ctx context.Context) error
}

// ServeCommand returns the command of a server binary: it validates the embedded
// state charts, starts the server with a settings file and runs it until a SIGINT or
// SIGTERM. After the first signal, work in progress may finish; a second signal
// stops it.
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
	klog.InfoS("Stopping gracefully; a second signal stops at once")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return eris.Wrap(server.Shutdown(ctx), "shut down the server")
}
