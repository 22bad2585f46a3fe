// Command jay-agent runs beside one backend server: it admits work, hands it
// to the engine or service and relays the answers.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/engine/dialect"
	"github.com/jayproxy/jayproxy/internal/settings"
)

func main() {
	if err := command().Execute(); err != nil {
		klog.Flush()
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:           "jay-agent --settings FILE",
		Short:         "The process beside one backend server",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: false,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), file) },
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (TOML)")
	_ = cmd.MarkFlagRequired("settings")
	logFlags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(logFlags)
	cmd.Flags().AddGoFlagSet(logFlags)
	return cmd
}

// run serves until SIGTERM or SIGINT, then drains; a second signal stops at once.
func run(ctx context.Context, file string) error {
	defer klog.Flush()
	loaded := agent.Default()
	loaded.OpenEngine = dialect.Open
	if err := settings.Load(file, &loaded); err != nil {
		return err
	}
	running, err := agent.Start(ctx, loaded)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	drain, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return running.Shutdown(drain)
}
