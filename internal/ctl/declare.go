package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

func (a *app) check() *cobra.Command {
	return &cobra.Command{
		Use: "check FOLDER", Short: "Find every fault of a folder of declarations", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			resources, found, err := catalog.LoadDir(args[0])
			if err != nil {
				return usage(err)
			}
			err = a.printValue(checkReport{Resources: len(resources), Findings: found}, func(w io.Writer) {
				printFindings(w, found)
				fmt.Fprintf(w, "%d resources, %d findings\n", len(resources), len(found))
			})
			if err != nil {
				return usage(err)
			}
			if len(found) > 0 {
				return &exitError{code: ExitFindings}
			}
			return nil
		},
	}
}

// load reads a folder for diff and apply; faults end the command.
func (a *app) load(dir string) ([]*jayv1.Resource, error) {
	resources, found, err := catalog.LoadDir(dir)
	if err != nil {
		return nil, usage(err)
	}
	if len(found) > 0 {
		return nil, &exitError{code: ExitFindings, cause: found.Err()}
	}
	return resources, nil
}

func (a *app) diff() *cobra.Command {
	var prune bool
	cmd := &cobra.Command{
		Use: "diff FOLDER", Short: "Show what apply would change", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			resources, err := a.load(args[0])
			if err != nil {
				return err
			}
			response, err := call(cmd.Context(), a, func(ctx context.Context, c client) (*connect.Response[jayv1.ApplyResponse], error) {
				return c.Apply(ctx, connect.NewRequest(&jayv1.ApplyRequest{Resources: resources, Prune: prune, DryRun: true}))
			})
			if err != nil {
				return err
			}
			if err := a.print(response, func(w io.Writer) { printChanges(w, response) }); err != nil {
				return usage(err)
			}
			if response.GetChanged() {
				return &exitError{code: ExitFindings}
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&prune, "prune", true, "delete what the folder does not declare")
	return cmd
}

func (a *app) apply() *cobra.Command {
	var prune, unloaded bool
	var changeID string
	var expect uint64
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "apply FOLDER", Short: "Put a folder of declarations in force as one change", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			resources, err := a.load(args[0])
			if err != nil {
				return err
			}
			if prune && !cmd.Flags().Changed("prune") {
				if err := a.refuseUnaskedDeletes(cmd.Context(), resources); err != nil {
					return err
				}
			}
			changeID = orNewID(changeID)
			response, err := call(cmd.Context(), a, func(ctx context.Context, c client) (*connect.Response[jayv1.ApplyResponse], error) {
				return c.Apply(ctx, connect.NewRequest(&jayv1.ApplyRequest{
					ChangeId: changeID, Resources: resources, Prune: prune, ExpectGeneration: expect,
					ActivateUnloaded: unloaded,
				}))
			})
			if err != nil {
				return a.withChangeID(err, changeID)
			}
			if err := a.print(response, func(w io.Writer) { printChanges(w, response) }); err != nil {
				return usage(err)
			}
			return a.waitInForce(cmd.Context(), response.GetGeneration(), wait)
		},
	}
	flags := cmd.Flags()
	flags.BoolVar(&prune, "prune", true, "delete what the folder does not declare; deletes are refused unless it is said")
	flags.StringVar(&changeID, "change-id", "", "id of the change; repeat one whose outcome is unknown with the same id")
	flags.Uint64Var(&expect, "expect-generation", 0, "refuse when another generation is accepted (0: any)")
	flags.BoolVar(&unloaded, "activate-unloaded", false, "activate a version also when fewer backend servers than min_ready have it loaded")
	flags.DurationVar(&wait, "wait", 0, "wait until every process that answers has the generation in force")
	return cmd
}

// refuseUnaskedDeletes stops an apply that would delete something when nobody
// asked for it. A folder that holds one new workspace and not the rest is a
// common mistake: without this it deletes the whole deployment, in force
// everywhere within seconds.
func (a *app) refuseUnaskedDeletes(ctx context.Context, resources []*jayv1.Resource) error {
	preview, err := call(ctx, a, func(ctx context.Context, c client) (*connect.Response[jayv1.ApplyResponse], error) {
		return c.Apply(ctx, connect.NewRequest(&jayv1.ApplyRequest{Resources: resources, Prune: true, DryRun: true}))
	})
	if err != nil || len(preview.GetDeleted()) == 0 {
		return err
	}
	return &exitError{code: ExitFindings, cause: fmt.Errorf(
		"the folder does not declare %s; say --prune to delete what it does not declare, --prune=false to keep it",
		strings.Join(preview.GetDeleted(), ", "))}
}

// waitInForce asks for the status until no process is behind.
func (a *app) waitInForce(ctx context.Context, generation uint64, wait time.Duration) error {
	if wait == 0 {
		return nil
	}
	deadline := time.Now().Add(wait)
	for {
		status, err := a.askStatus(ctx)
		if err != nil {
			return err
		}
		behind := 0
		for _, process := range status.GetProcesses() {
			if process.GetGeneration() < generation {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return &exitError{code: ExitFindings, cause: fmt.Errorf("%d processes are behind generation %d", behind, generation)}
		}
		time.Sleep(retryPause)
	}
}

func (a *app) delete() *cobra.Command {
	var changeID string
	var expect uint64
	cmd := &cobra.Command{
		Use: "delete KIND/NAME", Short: "Delete one resource", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			changeID = orNewID(changeID)
			return a.change(cmd.Context(), changeID, func(ctx context.Context, c client) (*connect.Response[jayv1.ApplyResponse], error) {
				return c.Delete(ctx, connect.NewRequest(&jayv1.DeleteRequest{ChangeId: changeID, Name: args[0], ExpectGeneration: expect}))
			})
		},
	}
	cmd.Flags().StringVar(&changeID, "change-id", "", "id of the change")
	cmd.Flags().Uint64Var(&expect, "expect-generation", 0, "refuse when another generation is accepted (0: any)")
	return cmd
}

func (a *app) drain() *cobra.Command {
	var changeID string
	var undo bool
	cmd := &cobra.Command{
		Use: "drain BACKEND_SERVER", Short: "Stop new work for a backend server; running work ends", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			changeID = orNewID(changeID)
			return a.change(cmd.Context(), changeID, func(ctx context.Context, c client) (*connect.Response[jayv1.ApplyResponse], error) {
				return c.Drain(ctx, connect.NewRequest(&jayv1.DrainRequest{ChangeId: changeID, BackendServer: args[0], Undo: undo}))
			})
		},
	}
	cmd.Flags().StringVar(&changeID, "change-id", "", "id of the change")
	cmd.Flags().BoolVar(&undo, "undo", false, "take the backend server back into service")
	return cmd
}

// change makes one changing call and prints what it changed.
func (a *app) change(ctx context.Context, changeID string, do func(context.Context, client) (*connect.Response[jayv1.ApplyResponse], error)) error {
	response, err := call(ctx, a, do)
	if err != nil {
		return a.withChangeID(err, changeID)
	}
	if err := a.print(response, func(w io.Writer) { printChanges(w, response) }); err != nil {
		return usage(err)
	}
	return nil
}

func orNewID(changeID string) string {
	if changeID != "" {
		return changeID
	}
	return uuid.NewString()
}

// withChangeID tells the id when the outcome is unknown, so that the operator
// can repeat the change safely.
func (a *app) withChangeID(err error, changeID string) error {
	var exit *exitError
	if errors.As(err, &exit) && exit.code == ExitUnreachable && connect.CodeOf(err) == connect.CodeUnknown {
		return &exitError{code: ExitUnreachable, cause: fmt.Errorf("%w; repeat with --change-id %s", err, changeID)}
	}
	return err
}

func printChanges(w io.Writer, response *jayv1.ApplyResponse) {
	for _, name := range response.GetCreated() {
		fmt.Fprintln(w, "+", name)
	}
	for _, name := range response.GetUpdated() {
		fmt.Fprintln(w, "~", name)
	}
	for _, name := range response.GetDeleted() {
		fmt.Fprintln(w, "-", name)
	}
	if !response.GetChanged() {
		fmt.Fprintf(w, "no change; generation %d\n", response.GetGeneration())
		return
	}
	fmt.Fprintf(w, "generation %d\n", response.GetGeneration())
}
