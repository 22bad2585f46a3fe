// Command jay-standin runs small fakes of what the system works with: a model
// engine, the platform, a plain service, the store of kept KV cache. For tests
// and development; faults are switched under /faults of each.
package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/jayproxy/jayproxy/internal/cli"
)

func main() { cli.Main(rootCommand()) }

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
