// Package ctl implements the operators' command line, jayctl. It checks declarations
// locally and makes remote procedure calls to entries.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/jayproxy/jayproxy/internal/exitcode"
	"github.com/jayproxy/jayproxy/internal/findings"
)

// Exit codes of jayctl, for scripts.
const (
	ExitOK          = exitcode.OK
	ExitFindings    = exitcode.Findings
	ExitUsage       = exitcode.Usage
	ExitRefused     = exitcode.Refused
	ExitUnreachable = exitcode.Unreachable
)

// Values of the flag --output.
const (
	outputText = "text"
	outputJSON = "json"
)

func usageError(err error) error { return exitcode.UsageError(err) }

// app holds the flags and the output of all commands.
type app struct {
	entries  []string
	keysDir  string
	output   string
	retryFor time.Duration
	out      io.Writer
}

// Main runs the command with the arguments and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a := &app{out: stdout}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	exit := exitcode.Of(err, ExitUsage)
	if exit.Cause != nil {
		fmt.Fprintln(stderr, "jayctl:", exit.Cause)
	}
	return exit.Code
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "jayctl",
		Short: "Declare, inspect and operate a jayproxy deployment",
		Long: "jayctl declares, inspects and operates a jayproxy deployment.\n\n" +
			"Exit codes: 0 done; 1 findings or a difference; 2 wrong usage; 3 refused by the entry;\n" +
			"4 no entry reached, or the outcome is unknown (repeat with the same --change-id).",
		SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.output != outputText && a.output != outputJSON {
				return usageError(eris.Errorf("--output %q is none of text, json", a.output))
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&a.entries, "entry", nil, "address of an entry for operators, IP:port or https URL; several are tried in turn")
	flags.StringVar(&a.keysDir, "keys", "", "folder with ca.pem, cert.pem and key.pem of a viewer or operator")
	flags.StringVar(&a.output, "output", outputText, "text or json")
	flags.DurationVar(&a.retryFor, "retry-for", defaultRetryFor, "how long to retry while no entry answers or the outcome is unknown")
	root.AddCommand(a.keys(), a.check(), a.diff(), a.apply(), a.delete(), a.get(), a.list(), a.watch(), a.status(), a.drain(), a.explain(), a.trace(), a.usage())
	return root
}

// print writes a message as JSON or, with --output text, calls text.
func (a *app) print(message proto.Message, text func(io.Writer)) error {
	if a.output == outputText {
		text(a.out)
		return nil
	}
	encoded, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: false}.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode output")
	}
	_, err = fmt.Fprintln(a.out, string(encoded))
	return err
}

// printValue writes a value as JSON or, with --output text, calls text.
func (a *app) printValue(value any, text func(io.Writer)) error {
	if a.output == outputText {
		text(a.out)
		return nil
	}
	return eris.Wrap(json.NewEncoder(a.out).Encode(value), "encode output")
}

// checkReport is the JSON output of the check command.
type checkReport struct {
	Resources int `json:"resources"`
	// Findings includes warnings.
	Findings findings.List `json:"findings"`
}

func printFindings(w io.Writer, found findings.List) {
	for _, finding := range found {
		fmt.Fprintln(w, finding)
	}
}
