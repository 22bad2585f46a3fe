// Command jay-standin runs a stand-in for one of the system's dependencies, for tests
// and development: a model engine, the platform, a plain service or the KV cache
// store. Faults of each are set under /faults.
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
		Short:        "Run a stand-in engine, platform, service or KV cache store",
		SilenceUsage: true,
	}
	root.AddCommand(engineCommand(), platformCommand(), serviceCommand(), kvstoreCommand())
	return root
}

// standIn is implemented by all stand-ins.
type standIn interface {
	URL() string
	Close()
}

// serve prints the URL to standard output and waits until the command's context ends.
func serve(cmd *cobra.Command, s standIn) {
	defer s.Close()
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "listening url=%s\n", s.URL())
	<-cmd.Context().Done()
}

func listenFlag(cmd *cobra.Command, listen *string) {
	cmd.Flags().StringVar(listen, "listen", "127.0.0.1:0", "ip:port to listen on; port 0 selects a free port")
}
