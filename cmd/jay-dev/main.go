// Command jay-dev runs the complete system in one process on loopback, with
// stand-ins for the engines, the services and the platform.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/jayproxy/jayproxy/internal/cli"
	"github.com/jayproxy/jayproxy/internal/dev"
)

func main() { cli.Main(command()) }

func command() *cobra.Command {
	options := dev.Options{Out: os.Stdout}
	selfCheck := false
	cmd := &cobra.Command{
		Use:          "jay-dev",
		Short:        "Run the complete system on one machine, with stand-ins",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !selfCheck {
				return dev.Run(cmd.Context(), options)
			}
			if err := dev.SelfCheck(cmd.Context(), options); err != nil {
				return err
			}
			_, err := fmt.Fprintln(options.Out, "self-check passed")
			return err
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&options.Engines, "engines", 3, "stand-in engines")
	flags.IntVar(&options.Entries, "entries", 2, "entries")
	flags.StringVar(&options.Policy, "policy", "", "routing policy; empty means the default")
	flags.BoolVar(&selfCheck, "self-check", false, "send one request through every entry, print the result and exit")
	cli.AddLogFlags(cmd)
	return cmd
}
