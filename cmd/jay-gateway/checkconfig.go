package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/jayproxy/jayproxy/internal/configcheck"
	"github.com/jayproxy/jayproxy/internal/exitcode"
	"github.com/jayproxy/jayproxy/internal/findings"
	"github.com/jayproxy/jayproxy/platform"
)

// configReport is the JSON output of the check-config command.
type configReport struct {
	Version    uint64        `json:"version"`
	Routes     int           `json:"routes"`
	Services   int           `json:"services"`
	Workspaces int           `json:"workspaces"`
	Findings   findings.List `json:"findings"`
	// Against is where the configuration to compare with was read; empty for none.
	Against string `json:"against,omitempty"`
	// Changes are the differences from it; null if the two were not compared.
	Changes []configChange `json:"changes"`
}

// configChange is one difference. Fields have the names of the platform's format.
type configChange struct {
	Op      configcheck.Op      `json:"op"`
	Section configcheck.Section `json:"section"`
	Name    string              `json:"name,omitempty"`
	Field   string              `json:"field,omitempty"`
	Old     string              `json:"old,omitempty"`
	New     string              `json:"new,omitempty"`
}

// checkConfigCommand checks a configuration before it is written to the store, and shows
// what it changes.
func checkConfigCommand() *cobra.Command {
	var from source
	var settings string
	cmd := newCheckCommand("check-config FILE", "Check a configuration before it is sent, and compare it with the one in force",
		"check-config reports all errors and contradictions in a configuration in the platform's format. It only reads.\n"+
			"Keys of workspaces are never printed, only short hashes of them.",
		func(cmd *cobra.Command, file, output string) error {
			if err := from.check(); err != nil {
				return exitcode.UsageError(err)
			}
			options, err := checkOptions(settings)
			if err != nil {
				return err
			}
			text, err := os.ReadFile(file)
			if err != nil {
				return exitcode.UsageError(err)
			}
			inForce, err := from.read(cmd.Context())
			if err != nil {
				return err
			}
			report := checkConfig(platform.ReadConfig(file, text), inForce, from.String(), options)
			if err := printReport(cmd.OutOrStdout(), output, report, report.print); err != nil {
				return err
			}
			if len(report.Findings) > 0 || len(report.Changes) > 0 {
				return &exitcode.Error{Code: exitcode.Findings}
			}
			return nil
		})
	flags := cmd.Flags()
	flags.StringVar(&from.file, "against", "", "file with the configuration to compare with")
	flags.StringVar(&from.store, "against-store", "", "address of the platform's store, IP:port, whose configuration to compare with")
	flags.StringVar(&from.entry, "against-entry", "", "control address of an entry, IP:port, whose configuration to compare with")
	flags.StringVar(&settings, "settings", "", "settings file of an entry, to check attempts against its retry budget")
	return cmd
}

// checkOptions reads what the check needs from a settings file, if one is given.
func checkOptions(file string) (configcheck.Options, error) {
	if file == "" {
		return configcheck.Options{}, nil
	}
	settings, err := platform.LoadSettings(file)
	if err != nil {
		return configcheck.Options{}, exitcode.UsageError(err)
	}
	return configcheck.Options{Retry: &configcheck.RetryBudget{Ratio: settings.Bounds.RetryRatio, Slack: settings.Bounds.RetrySlack}}, nil
}

// checkConfig checks a configuration and compares it with another one, which may be nil.
// They are compared only if both could be decoded completely.
func checkConfig(config, inForce *platform.Config, against string, options configcheck.Options) configReport {
	table := config.Table
	options.Incomplete = config.Incomplete()
	found := append(findings.List{}, config.Findings...)
	found = append(found, config.Locate(configcheck.Check(table, options))...)
	report := configReport{
		Version: table.Version, Routes: len(table.DeclaredRoutes()), Services: len(table.DeclaredServices()), Workspaces: len(table.Workspaces),
		Against: against,
	}
	if inForce != nil {
		found = append(found, inForce.Findings.Errors()...)
		if !config.Incomplete() && !inForce.Incomplete() {
			changes := configcheck.Compare(inForce.Table, table)
			found = append(found, config.Locate(configcheck.CheckVersion(inForce.Table, table, changes))...)
			report.Changes = configChanges(changes)
		}
	}
	found.Sort()
	report.Findings = found
	return report
}

func configChanges(changes []configcheck.Change) []configChange {
	named := make([]configChange, 0, len(changes))
	for _, c := range changes {
		named = append(named, configChange{
			Op: c.Op, Section: c.Section, Name: c.Name, Field: platform.ConfigField(c.Field),
			Old: platform.ConfigValue(c.Field, c.Old), New: platform.ConfigValue(c.Field, c.New),
		})
	}
	return named
}

func (r configReport) print(w io.Writer) {
	printFindings(w, r.Findings)
	for _, change := range r.Changes {
		fmt.Fprintln(w, change)
	}
	fmt.Fprintf(w, "version %d: %d routes, %d services, %d workspaces, %d findings\n", r.Version, r.Routes, r.Services, r.Workspaces, len(r.Findings))
	switch {
	case r.Against == "":
	case r.Changes == nil:
		fmt.Fprintf(w, "not compared with %s: not everything could be decoded\n", r.Against)
	default:
		fmt.Fprintf(w, "%d differences from %s\n", len(r.Changes), r.Against)
	}
}

// String returns the change as one line, with the marks of jayctl diff.
func (c configChange) String() string {
	element := string(c.Section)
	if c.Name != "" {
		element += " " + c.Name
	}
	switch c.Op {
	case configcheck.OpAdded:
		return "+ " + element
	case configcheck.OpRemoved:
		return "- " + element
	}
	return fmt.Sprintf("~ %s: %s: %q, was %q", element, c.Field, c.New, c.Old)
}
