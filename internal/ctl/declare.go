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
	"github.com/jayproxy/jayproxy/internal/exitcode"
	"github.com/jayproxy/jayproxy/internal/findings"
)

func (a *app) check() *cobra.Command {
	return &cobra.Command{
		Use: "check FOLDER", Short: "Check a folder of declarations and print all errors and warnings", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			resources, found, err := catalog.LoadDir(args[0])
			if err != nil {
				return usageError(err)
			}
			err = a.printValue(checkReport{Resources: len(resources), Findings: found}, func(w io.Writer) {
				printFindings(w, found)
				fmt.Fprintf(w, "%d resources, %d findings\n", len(resources), len(found))
			})
			if err != nil {
				return usageError(err)
			}
			if len(found) > 0 {
				return &exitcode.Error{Code: ExitFindings}
			}
			return nil
		},
	}
}

// loadDeclarations reads a folder of declarations and returns them with their warnings.
// Other findings are an error.
func (a *app) loadDeclarations(dir string) ([]*jayv1.Resource, findings.List, error) {
	resources, found, err := catalog.LoadDir(dir)
	if err != nil {
		return nil, nil, usageError(err)
	}
	if errs := found.Errors(); len(errs) > 0 {
		return nil, nil, &exitcode.Error{Code: ExitFindings, Cause: errs.Err()}
	}
	return resources, found, nil
}

func (a *app) diff() *cobra.Command {
	var prune bool
	cmd := &cobra.Command{
		Use: "diff FOLDER", Short: "Show what apply would change", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			resources, warnings, err := a.loadDeclarations(args[0])
			if err != nil {
				return err
			}
			// Standard output is the entry's response, also as JSON.
			printFindings(cmd.ErrOrStderr(), warnings)
			response, err := call(cmd.Context(), a, func(ctx context.Context, c client) (*connect.Response[jayv1.ApplyResponse], error) {
				return c.Apply(ctx, connect.NewRequest(&jayv1.ApplyRequest{Resources: resources, Prune: prune, DryRun: true}))
			})
			if err != nil {
				return err
			}
			if err := a.print(response, func(w io.Writer) { printChanges(w, response) }); err != nil {
				return usageError(err)
			}
			if response.GetChanged() {
				return &exitcode.Error{Code: ExitFindings}
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&prune, "prune", true, "delete resources that the folder does not declare")
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
			resources, _, err := a.loadDeclarations(args[0])
			if err != nil {
				return err
			}
			if prune && !cmd.Flags().Changed("prune") {
				if err := a.refuseImplicitDeletes(cmd.Context(), resources); err != nil {
					return err
				}
			}
			changeID = changeIDOrNew(changeID)
			response, err := call(cmd.Context(), a, func(ctx context.Context, c client) (*connect.Response[jayv1.ApplyResponse], error) {
				return c.Apply(ctx, connect.NewRequest(&jayv1.ApplyRequest{
					ChangeId: changeID, Resources: resources, Prune: prune, ExpectGeneration: expect,
					ActivateUnloaded: unloaded,
				}))
			})
			if err != nil {
				return a.addChangeIDHint(err, changeID)
			}
			if err := a.print(response, func(w io.Writer) { printChanges(w, response) }); err != nil {
				return usageError(err)
			}
			return a.waitInForce(cmd.Context(), response.GetGeneration(), wait)
		},
	}
	flags := cmd.Flags()
	flags.BoolVar(&prune, "prune", true, "delete resources that the folder does not declare; apply refuses to delete any unless the flag is set explicitly")
	flags.StringVar(&changeID, "change-id", "", "id of the change; repeat one whose outcome is unknown with the same id")
	flags.Uint64Var(&expect, "expect-generation", 0, "refuse the change if the head generation is another (0: any)")
	flags.BoolVar(&unloaded, "activate-unloaded", false, "activate a version even if fewer backend servers than min_ready have it loaded")
	flags.DurationVar(&wait, "wait", 0, "wait until every process that answers has the generation in force")
	return cmd
}

// refuseImplicitDeletes returns an error if an apply would delete resources
// although --prune was not set explicitly. It guards against deleting the whole
// deployment by applying a folder that declares only the new resources.
func (a *app) refuseImplicitDeletes(ctx context.Context, resources []*jayv1.Resource) error {
	preview, err := call(ctx, a, func(ctx context.Context, c client) (*connect.Response[jayv1.ApplyResponse], error) {
		return c.Apply(ctx, connect.NewRequest(&jayv1.ApplyRequest{Resources: resources, Prune: true, DryRun: true}))
	})
	if err != nil || len(preview.GetDeleted()) == 0 {
		return err
	}
	return &exitcode.Error{Code: ExitFindings, Cause: fmt.Errorf(
		"the folder does not declare %s; use --prune to delete resources that it does not declare, or --prune=false to keep them",
		strings.Join(preview.GetDeleted(), ", "))}
}

// waitInForce polls the status until all processes that answer have the generation
// in force. It does not wait if wait is 0.
func (a *app) waitInForce(ctx context.Context, generation uint64, wait time.Duration) error {
	if wait == 0 {
		return nil
	}
	deadline := time.Now().Add(wait)
	for {
		status, err := a.fetchStatus(ctx)
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
			return &exitcode.Error{Code: ExitFindings, Cause: fmt.Errorf("%d processes do not have generation %d in force within the time of --wait", behind, generation)}
		}
		time.Sleep(retryInterval)
	}
}

func (a *app) delete() *cobra.Command {
	var changeID string
	var expect uint64
	cmd := &cobra.Command{
		Use: "delete KIND/NAME", Short: "Delete one resource", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			changeID = changeIDOrNew(changeID)
			return a.change(cmd.Context(), changeID, func(ctx context.Context, c client) (*connect.Response[jayv1.ApplyResponse], error) {
				return c.Delete(ctx, connect.NewRequest(&jayv1.DeleteRequest{ChangeId: changeID, Name: args[0], ExpectGeneration: expect}))
			})
		},
	}
	cmd.Flags().StringVar(&changeID, "change-id", "", "id of the change")
	cmd.Flags().Uint64Var(&expect, "expect-generation", 0, "refuse the change if the head generation is another (0: any)")
	return cmd
}

func (a *app) drain() *cobra.Command {
	var changeID string
	var undo bool
	cmd := &cobra.Command{
		Use: "drain BACKEND_SERVER", Short: "Stop new requests to a backend server; running requests are completed", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			changeID = changeIDOrNew(changeID)
			return a.change(cmd.Context(), changeID, func(ctx context.Context, c client) (*connect.Response[jayv1.ApplyResponse], error) {
				return c.Drain(ctx, connect.NewRequest(&jayv1.DrainRequest{ChangeId: changeID, BackendServer: args[0], Undo: undo}))
			})
		},
	}
	cmd.Flags().StringVar(&changeID, "change-id", "", "id of the change")
	cmd.Flags().BoolVar(&undo, "undo", false, "return the backend server to service")
	return cmd
}

// change makes a call that changes the catalog and prints the difference.
func (a *app) change(ctx context.Context, changeID string, do func(context.Context, client) (*connect.Response[jayv1.ApplyResponse], error)) error {
	response, err := call(ctx, a, do)
	if err != nil {
		return a.addChangeIDHint(err, changeID)
	}
	if err := a.print(response, func(w io.Writer) { printChanges(w, response) }); err != nil {
		return usageError(err)
	}
	return nil
}

func changeIDOrNew(changeID string) string {
	if changeID != "" {
		return changeID
	}
	return uuid.NewString()
}

// addChangeIDHint adds the change id to an error if the outcome is unknown, so that
// the operator can repeat the change with the same id.
func (a *app) addChangeIDHint(err error, changeID string) error {
	var exit *exitcode.Error
	if errors.As(err, &exit) && exit.Code == ExitUnreachable && connect.CodeOf(err) == connect.CodeUnknown {
		return &exitcode.Error{Code: ExitUnreachable, Cause: fmt.Errorf("%w; repeat with --change-id %s", err, changeID)}
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
