package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/jayproxy/jayproxy/internal/exitcode"
	"github.com/jayproxy/jayproxy/internal/findings"
	"github.com/jayproxy/jayproxy/platform"
)

// Values of the flag --output, as in jayctl.
const (
	outputText = "text"
	outputJSON = "json"
)

const exitCodesHelp = "Exit codes, as of jayctl: 0 no findings and no difference; 1 findings, warnings included, or a difference; 2 wrong usage\n" +
	"or an unreadable file; 3 refused by the entry; 4 store or entry not reached."

// newCheckCommand returns a command with one file as its argument, the flag --output and
// the exit codes of jayctl.
func newCheckCommand(use, short, long string, run func(cmd *cobra.Command, file, output string) error) *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use: use, Short: short, Long: long + "\n\n" + exitCodesHelp, SilenceErrors: true,
		Args: func(cmd *cobra.Command, args []string) error {
			if err := cobra.ExactArgs(1)(cmd, args); err != nil {
				return exitcode.UsageError(err)
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if output != outputText && output != outputJSON {
				return exitcode.UsageError(eris.Errorf("--output %q is none of text, json", output))
			}
			return run(cmd, args[0], output)
		},
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitcode.UsageError(err) })
	cmd.Flags().StringVar(&output, "output", outputText, "text or json")
	return cmd
}

// settingsReport is the JSON output of the check command.
type settingsReport struct {
	Findings findings.List `json:"findings"`
}

// checkCommand reports all findings about a settings file.
func checkCommand() *cobra.Command {
	return newCheckCommand("check FILE", "Check a settings file and report all findings",
		"check reports values that cannot be read, as errors, and settings that contradict each other, as warnings.\n"+
			"A process starts with the latter.",
		func(cmd *cobra.Command, file, output string) error {
			found, err := platform.CheckSettingsFile(file)
			if err != nil {
				return exitcode.UsageError(err)
			}
			if found == nil {
				found = findings.List{}
			}
			err = printReport(cmd.OutOrStdout(), output, settingsReport{Findings: found}, func(w io.Writer) {
				printFindings(w, found)
				fmt.Fprintf(w, "%d findings\n", len(found))
			})
			if err != nil || len(found) == 0 {
				return err
			}
			return &exitcode.Error{Code: exitcode.Findings}
		})
}

// printReport writes a report as JSON or, with the output text, calls text.
func printReport(w io.Writer, output string, report any, text func(io.Writer)) error {
	if output == outputText {
		text(w)
		return nil
	}
	if err := json.NewEncoder(w).Encode(report); err != nil {
		return exitcode.UsageError(eris.Wrap(err, "encode output"))
	}
	return nil
}

func printFindings(w io.Writer, found findings.List) {
	for _, finding := range found {
		fmt.Fprintln(w, finding)
	}
}
