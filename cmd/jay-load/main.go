// Command jay-load sends a seeded open-loop load at entries, or compares
// routing policies over clusters of its own.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().ExecuteContext(ctx)
	stop()
	klog.Flush()
	if err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	cmd := &cobra.Command{Use: "jay-load", Short: "Open-loop load and experiments", SilenceUsage: true}
	cmd.AddCommand(runCommand(), experimentCommand())
	logFlags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(logFlags)
	cmd.PersistentFlags().AddGoFlagSet(logFlags)
	return cmd
}
