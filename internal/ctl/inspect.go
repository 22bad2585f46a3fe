package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/exitcode"
)

func (a *app) get() *cobra.Command {
	return &cobra.Command{
		Use: "get KIND/NAME", Short: "Show one resource in force", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			response, err := call(cmd.Context(), a, func(ctx context.Context, c client) (*connect.Response[jayv1.GetResponse], error) {
				return c.Get(ctx, connect.NewRequest(&jayv1.GetRequest{Name: args[0]}))
			})
			if err != nil {
				return err
			}
			return a.print(response, func(w io.Writer) { printResource(w, response.GetResource()) })
		},
	}
}

func printResource(w io.Writer, resource *jayv1.Resource) {
	fmt.Fprintln(w, protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Format(resource))
}

func (a *app) list() *cobra.Command {
	return &cobra.Command{
		Use: "list [KIND]", Short: "List the resources in force", Args: cobra.MaximumNArgs(1),
		ValidArgs: catalog.Kinds,
		RunE: func(cmd *cobra.Command, args []string) error {
			request := &jayv1.ListRequest{Kind: strings.Join(args, "")}
			response, err := call(cmd.Context(), a, func(ctx context.Context, c client) (*connect.Response[jayv1.ListResponse], error) {
				return c.List(ctx, connect.NewRequest(request))
			})
			if err != nil {
				return err
			}
			return a.print(response, func(w io.Writer) {
				for _, resource := range response.GetResources() {
					fmt.Fprintln(w, catalog.NameOf(resource))
				}
				fmt.Fprintf(w, "generation %d\n", response.GetGeneration())
			})
		},
	}
}

func (a *app) watch() *cobra.Command {
	var after uint64
	cmd := &cobra.Command{
		Use: "watch", Short: "Show each change when it comes into force", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			clients, err := a.clients()
			if err != nil {
				return err
			}
			return a.watchChanges(cmd.Context(), clients, after)
		},
	}
	cmd.Flags().Uint64Var(&after, "after-generation", 0, "show the changes after this generation")
	return cmd
}

// watchChanges prints changes from one entry and continues at the next when the
// watch ends. Each watch starts after the last generation printed, so that a change
// is printed once.
func (a *app) watchChanges(ctx context.Context, clients []client, after uint64) error {
	lastReceived := time.Now()
	for i := 0; ; i++ {
		stream, err := clients[i%len(clients)].Watch(ctx, connect.NewRequest(&jayv1.WatchRequest{AfterGeneration: after}))
		if err == nil {
			for stream.Receive() {
				change := stream.Msg()
				after, lastReceived = change.GetGeneration(), time.Now()
				if err := a.print(change, func(w io.Writer) { printChange(w, change) }); err != nil {
					return usageError(err)
				}
			}
			err = stream.Err()
		}
		if ctx.Err() != nil || errors.Is(err, context.Canceled) {
			return nil
		}
		if err != nil && !isRetryable(err) || time.Since(lastReceived) > a.retryFor {
			return withExitCode(err)
		}
		time.Sleep(retryInterval)
	}
}

func printChange(w io.Writer, change *jayv1.Change) {
	at := time.UnixMilli(change.GetAcceptedUnixMs()).UTC().Format(time.RFC3339)
	fmt.Fprintf(w, "generation %d at %s by %s, change %s\n", change.GetGeneration(), at, change.GetOperator(), change.GetChangeId())
	for _, resource := range change.GetPut() {
		fmt.Fprintln(w, "~", catalog.NameOf(resource))
	}
	for _, name := range change.GetDelete() {
		fmt.Fprintln(w, "-", name)
	}
}

func (a *app) fetchStatus(ctx context.Context) (*jayv1.StatusResponse, error) {
	return call(ctx, a, func(ctx context.Context, c client) (*connect.Response[jayv1.StatusResponse], error) {
		return c.Status(ctx, connect.NewRequest(&jayv1.StatusRequest{}))
	})
}

func (a *app) status() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "status", Short: "Show the generation in force in each process", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			response, err := a.awaitStatus(cmd.Context(), wait)
			if err != nil {
				return err
			}
			if err := a.print(response, func(w io.Writer) { printStatus(w, response) }); err != nil {
				return usageError(err)
			}
			if wait > 0 && !allInForce(response) {
				return &exitcode.Error{Code: ExitFindings}
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "wait until all processes answer and have the head generation in force; exit code 1 if they do not in time")
	return cmd
}

// awaitStatus polls the status until all processes have the head generation in
// force or the time has passed, and returns the last status.
func (a *app) awaitStatus(ctx context.Context, wait time.Duration) (*jayv1.StatusResponse, error) {
	deadline := time.Now().Add(wait)
	for {
		response, err := a.fetchStatus(ctx)
		if err != nil || allInForce(response) || !time.Now().Before(deadline) {
			return response, err
		}
		select {
		case <-ctx.Done():
			return response, nil
		case <-time.After(retryInterval):
		}
	}
}

func allInForce(response *jayv1.StatusResponse) bool {
	behind := func(p *jayv1.ProcessStatus) bool { return p.GetGeneration() < response.GetHeadGeneration() }
	return len(response.GetUnreachable()) == 0 && !slices.ContainsFunc(response.GetProcesses(), behind)
}

func printStatus(out io.Writer, response *jayv1.StatusResponse) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROLE\tNAME\tDATA CENTRE\tGENERATION\tSTATE\tLEASES")
	for _, p := range response.GetProcesses() {
		state := "serving"
		if p.GetLeaving() {
			state = "draining"
		}
		if p.GetGeneration() < response.GetHeadGeneration() {
			state += ", behind"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", p.GetRole(), p.GetName(), p.GetDataCentre(), p.GetGeneration(), state, strings.Join(p.GetLeases(), ","))
	}
	_ = w.Flush()
	for _, name := range response.GetUnreachable() {
		fmt.Fprintln(out, "no answer:", name)
	}
	fmt.Fprintf(out, "head generation %d\n", response.GetHeadGeneration())
}

func (a *app) explain() *cobra.Command {
	return &cobra.Command{
		Use: "explain REQUEST_ID", Short: "Show how a request was placed: the candidates, their costs and the attempts", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			response, err := call(cmd.Context(), a, func(ctx context.Context, c client) (*connect.Response[jayv1.Explanation], error) {
				return c.Explain(ctx, connect.NewRequest(&jayv1.ExplainRequest{RequestId: args[0]}))
			})
			if err != nil {
				return err
			}
			return a.print(response, func(w io.Writer) { printExplanation(w, response) })
		},
	}
}

func printExplanation(out io.Writer, e *jayv1.Explanation) {
	fmt.Fprintf(out, "request %s at entry %s: workspace %s, pool %s, policy %s, generation %d, outcome %s\n",
		e.GetRequestId(), e.GetEntry(), e.GetWorkspace(), e.GetPool(), e.GetPolicy(), e.GetGeneration(), e.GetOutcome())
	fmt.Fprintf(out, "prompt %d bytes, %d prefix points\n", e.GetPromptBytes(), e.GetChainPoints())
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CANDIDATE\tSOURCE\tEVIDENCE\tCACHED BYTES\tQUEUE MS\tPREFILL MS\tRECOMPUTE MS\tDISTANCE MS\tPENALTY MS\tTOTAL MS\tRESULT")
	for _, c := range e.GetCandidates() {
		result := c.GetFiltered()
		if c.GetChosen() {
			result = "chosen"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\n", c.GetBackendServer(), c.GetSource(), c.GetEvidence(),
			c.GetCachedBytes(), c.GetQueueMs(), c.GetPrefillMs(), c.GetRecomputeMs(), c.GetDistanceMs(), c.GetPenaltyMs(), c.GetTotalMs(), result)
	}
	_ = w.Flush()
	for _, attempt := range e.GetAttempts() {
		fmt.Fprintf(out, "attempt %d at %s: %s, cost %.1f ms, %d bytes cached\n",
			attempt.GetAttempt(), attempt.GetBackendServer(), attempt.GetResult(), attempt.GetCostMs(), attempt.GetCachedBytes())
	}
}
