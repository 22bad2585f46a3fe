package ctl

import (
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/keys"
)

const defaultValidity = 365 * 24 * time.Hour

func (a *app) keys() *cobra.Command {
	cmd := &cobra.Command{Use: "keys", Short: "Make a development authority, certificates and callers' keys"}
	cmd.AddCommand(a.keysCA(), a.keysIssue(), a.keysCaller())
	return cmd
}

func (a *app) keysCA() *cobra.Command {
	var out string
	var valid time.Duration
	cmd := &cobra.Command{
		Use: "ca", Short: "Make a development authority", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			authority, err := keys.NewAuthority(valid)
			if err != nil {
				return usageError(err)
			}
			if err := authority.Save(out); err != nil {
				return usageError(err)
			}
			return a.printValue(map[string]string{"folder": out}, func(w io.Writer) {
				fmt.Fprintf(w, "authority written to %s; keep %s off the machines of the processes\n", out, keys.AuthorityKeyFile)
			})
		},
	}
	cmd.Flags().StringVar(&out, "out", "keys/ca", "folder to write")
	cmd.Flags().DurationVar(&valid, "valid", defaultValidity, "validity")
	return cmd
}

func (a *app) keysIssue() *cobra.Command {
	var ca, role, name, out string
	var valid time.Duration
	cmd := &cobra.Command{
		Use: "issue", Short: "Issue a certificate for a process, viewer or operator", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			parsed, err := keys.ParseRole(role)
			if err != nil {
				return usageError(err)
			}
			if name == "" || out == "" {
				return usageError(eris.New("--name and --out are required"))
			}
			authority, err := keys.LoadAuthority(ca)
			if err != nil {
				return usageError(err)
			}
			id := keys.Identity{Role: parsed, Name: name}
			cert, err := authority.Issue(id, valid)
			if err != nil {
				return usageError(err)
			}
			if err := cert.Save(out); err != nil {
				return usageError(err)
			}
			return a.printValue(map[string]string{"identity": id.String(), "folder": out}, func(w io.Writer) {
				fmt.Fprintf(w, "certificate of %s written to %s\n", id, out)
			})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&ca, "ca", "keys/ca", "folder of the authority")
	flags.StringVar(&role, "role", "", "entry, agent, viewer or operator")
	flags.StringVar(&name, "name", "", "name of the process (an agent has the name of its backend server) or person")
	flags.StringVar(&out, "out", "", "folder to write")
	flags.DurationVar(&valid, "valid", defaultValidity, "validity")
	return cmd
}

// callerKeyReport is the JSON output of the command keys caller.
type callerKeyReport struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	ID        string `json:"id"`
	Salt      string `json:"salt"`
	Hash      string `json:"hash"`
}

func (a *app) keysCaller() *cobra.Command {
	var workspace string
	cmd := &cobra.Command{
		Use: "caller", Short: "Make a caller's key; it is shown only once, since the declaration holds only its salted hash", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if workspace == "" {
				return usageError(eris.New("--workspace is missing"))
			}
			plain, key, err := catalog.NewCallerKey()
			if err != nil {
				return usageError(err)
			}
			report := callerKeyReport{
				Workspace: workspace, Key: plain, ID: key.GetId(),
				Salt: hex.EncodeToString(key.GetSalt()), Hash: hex.EncodeToString(key.GetHash()),
			}
			return a.printValue(report, func(w io.Writer) {
				fmt.Fprintf(w, "# Give this key to the callers of %s; it is shown only now:\n# %s\n# Add to [[workspace]] %s:\n[[workspace.keys]]\nid = %q\nsalt = %q\nhash = %q\n",
					workspace, plain, workspace, report.ID, report.Salt, report.Hash)
			})
		},
	}
	cmd.Flags().StringVar(&workspace, "workspace", "", "workspace that the key is for")
	return cmd
}
