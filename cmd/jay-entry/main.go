// Command jay-entry runs an entry: the callers' API in front of the backend servers.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/charts"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/settings"
)

func main() {
	if err := command().Execute(); err != nil {
		klog.ErrorS(err, "jay-entry ends")
		klog.Flush()
		os.Exit(1)
	}
	klog.Flush()
}

func command() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:           "jay-entry",
		Short:         "Route callers' requests to the backend servers",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), file) },
	}
	cmd.Flags().StringVar(&file, "settings", "entry.toml", "file with the settings")
	logFlags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(logFlags)
	cmd.Flags().AddGoFlagSet(logFlags)
	return cmd
}

func run(ctx context.Context, file string) error {
	if _, err := charts.All(); err != nil {
		return err
	}
	s := entry.Default()
	if err := settings.Load(file, &s); err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	e, err := entry.Start(ctx, s)
	if err != nil {
		return err
	}
	<-stop.Done()
	cancel() // A second signal ends the process at once.
	klog.InfoS("stopping", "name", s.Name)
	return eris.Wrap(e.Shutdown(context.WithoutCancel(ctx)), "stop")
}
