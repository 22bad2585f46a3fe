// Command jay-standin runs small fakes of what the system works with: a model
// engine, the platform, a plain service, the store of kept KV cache. For tests
// and development; faults are switched under /faults of each.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:          "jay-standin",
		Short:        "Run a fake engine, platform, service or KV store",
		SilenceUsage: true,
	}
	root.AddCommand(engineCommand(), platformCommand(), serviceCommand(), kvstoreCommand())
	return root
}

// standIn is what all fakes have in common.
type standIn interface {
	URL() string
	Close()
}

// serve announces the address on standard output and waits for a signal.
func serve(cmd *cobra.Command, s standIn) {
	defer s.Close()
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "listening url=%s\n", s.URL())
	<-cmd.Context().Done()
}

func listenFlag(cmd *cobra.Command, listen *string) {
	cmd.Flags().StringVar(listen, "listen", "127.0.0.1:0", "ip:port to listen on; port 0 takes a free one")
}
