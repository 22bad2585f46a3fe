// Command jay-load sends a seeded open-loop load to entries, or compares routing
// policies on in-process clusters.
package main

import (
	"github.com/spf13/cobra"

	"github.com/jayproxy/jayproxy/internal/cli"
)

func main() { cli.Main(command()) }

func command() *cobra.Command {
	cmd := &cobra.Command{Use: "jay-load", Short: "Open-loop load and experiments", SilenceUsage: true}
	cmd.AddCommand(runCommand(), experimentCommand())
	cli.AddLogFlags(cmd)
	return cmd
}
