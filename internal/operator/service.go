// Package operator implements the operators' remote procedure calls. Changes are
// accepted in the catalog's store; reads are from the table in force in this
// process.
package operator

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/api/gen/jay/v1/jayv1connect"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/catalogstore"
)

// compactTimeout bounds the compaction of the catalog's store after a change.
const compactTimeout = 10 * time.Second

// ErrNoExplanation means that no entry has an explanation of the request.
var ErrNoExplanation = errors.New("no explanation is kept for the request")

// Spread distributes accepted changes to all processes. *spread.Service implements
// it.
type Spread interface {
	// Accepted puts a change in force that was accepted through this process.
	Accepted(change *jayv1.Change)
	// Noticed reports that a generation was accepted, without its change.
	Noticed(generation uint64)
	// Since returns the delta from a generation; a snapshot if the changes are no
	// longer in memory.
	Since(generation uint64) *jayv1.CatalogDelta
	// Status requests the status of all processes.
	Status(ctx context.Context) *jayv1.StatusResponse
}

// Options of a Service.
type Options struct {
	Store  *catalogstore.Store
	Holder *catalog.Holder
	Spread Spread
	// Explain returns the explanation of a request from the entry that has it. The
	// error is ErrNoExplanation if there is none.
	Explain func(ctx context.Context, requestID string) (*jayv1.Explanation, error)
	// CountLoaded returns the number of ready backend servers of a pool that have
	// the weights with the digest loaded. If nil, activations are not checked.
	CountLoaded func(ctx context.Context, pool, digest string) int
	// Closing is closed when the process shuts down, which ends all watches.
	Closing <-chan struct{}
}

// Service implements OperatorService.
type Service struct {
	options Options
}

var _ jayv1connect.OperatorServiceHandler = (*Service)(nil)

// New returns the service.
func New(options Options) *Service { return &Service{options: options} }

// Apply accepts a set of resources as one change.
func (s *Service) Apply(ctx context.Context, req *connect.Request[jayv1.ApplyRequest]) (*connect.Response[jayv1.ApplyResponse], error) {
	msg := req.Msg
	return s.accept(ctx, msg, catalogstore.Proposal{
		ChangeID: msg.GetChangeId(), ExpectGeneration: msg.GetExpectGeneration(), DryRun: msg.GetDryRun(),
		Edit: func(table *catalog.Table) (catalog.Difference, error) {
			difference := catalog.Diff(table, preserveDraining(table, msg.GetResources()), msg.GetPrune())
			if msg.GetActivateUnloaded() {
				return difference, nil
			}
			return difference, s.checkActivations(ctx, table, difference)
		},
	})
}

// preserveDraining sets draining on declared backend servers that were drained by
// Drain, so that an apply does not return them to service. Only Drain with undo
// does.
func preserveDraining(table *catalog.Table, declared []*jayv1.Resource) []*jayv1.Resource {
	kept := make([]*jayv1.Resource, len(declared))
	for i, resource := range declared {
		kept[i] = resource
		server := resource.GetBackendServer()
		if server == nil || server.GetDraining() {
			continue
		}
		if current, ok := table.BackendServer(server.GetName()); ok && current.GetDraining() {
			kept[i] = withDraining(server, true)
		}
	}
	return kept
}

func withDraining(server *jayv1.BackendServer, draining bool) *jayv1.Resource {
	changed := proto.Clone(server).(*jayv1.BackendServer)
	changed.Draining = draining
	return &jayv1.Resource{Kind: &jayv1.Resource_BackendServer{BackendServer: changed}}
}

// Put creates or replaces one resource.
func (s *Service) Put(ctx context.Context, req *connect.Request[jayv1.PutRequest]) (*connect.Response[jayv1.ApplyResponse], error) {
	msg := req.Msg
	return s.accept(ctx, msg, catalogstore.Proposal{
		ChangeID: msg.GetChangeId(), ExpectGeneration: msg.GetExpectGeneration(),
		Edit: func(table *catalog.Table) (catalog.Difference, error) {
			difference := catalog.Diff(table, []*jayv1.Resource{msg.GetResource()}, false)
			return difference, s.checkActivations(ctx, table, difference)
		},
	})
}

// Delete deletes one resource. It is not an error if the resource does not exist.
func (s *Service) Delete(ctx context.Context, req *connect.Request[jayv1.DeleteRequest]) (*connect.Response[jayv1.ApplyResponse], error) {
	msg := req.Msg
	return s.accept(ctx, msg, catalogstore.Proposal{
		ChangeID: msg.GetChangeId(), ExpectGeneration: msg.GetExpectGeneration(),
		Edit: func(table *catalog.Table) (catalog.Difference, error) {
			return catalog.DiffDelete(table, msg.GetName()), nil
		},
	})
}

// Drain stops new requests to a backend server, or resumes them with undo.
func (s *Service) Drain(ctx context.Context, req *connect.Request[jayv1.DrainRequest]) (*connect.Response[jayv1.ApplyResponse], error) {
	msg := req.Msg
	return s.accept(ctx, msg, catalogstore.Proposal{
		ChangeID: msg.GetChangeId(),
		Edit: func(table *catalog.Table) (catalog.Difference, error) {
			server, ok := table.BackendServer(msg.GetBackendServer())
			if !ok {
				return catalog.Difference{}, connect.NewError(connect.CodeNotFound, eris.Errorf("backend server %q is not declared", msg.GetBackendServer()))
			}
			changed := withDraining(server, !msg.GetUndo())
			return catalog.Diff(table, []*jayv1.Resource{changed}, false), nil
		},
	})
}

// accept accepts a proposal and puts the change in force. The digest of msg, the
// request, distinguishes a repeat from another change with the same id.
func (s *Service) accept(ctx context.Context, msg proto.Message, proposal catalogstore.Proposal) (*connect.Response[jayv1.ApplyResponse], error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	digest := sha256.Sum256(encoded)
	proposal.Digest = digest[:]
	proposal.Operator = CallerOf(ctx).Name
	accepted, err := s.options.Store.Accept(ctx, proposal)
	if err != nil {
		return nil, toConnectError(err)
	}
	s.publish(proposal, accepted)
	difference := accepted.Difference
	return connect.NewResponse(&jayv1.ApplyResponse{
		Generation: accepted.Generation, Changed: accepted.Changed,
		Created: difference.Created, Updated: difference.Updated, Deleted: difference.Deleted,
	}), nil
}

// publish distributes an accepted change and compacts the store in the background.
func (s *Service) publish(proposal catalogstore.Proposal, accepted catalogstore.Accepted) {
	if accepted.Change == nil {
		s.options.Spread.Noticed(accepted.Generation)
		return
	}
	s.options.Spread.Accepted(accepted.Change)
	klog.InfoS("Change accepted", "generation", accepted.Generation, "change", proposal.ChangeID,
		"operator", proposal.Operator, "put", len(accepted.Change.GetPut()), "deleted", len(accepted.Change.GetDelete()))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), compactTimeout)
		defer cancel()
		if err := s.options.Store.Compact(ctx, accepted.Table); err != nil {
			klog.ErrorS(err, "Compaction of the catalog failed; it is retried after the next change")
		}
	}()
}

// Get returns one resource of the table in force in this process.
func (s *Service) Get(_ context.Context, req *connect.Request[jayv1.GetRequest]) (*connect.Response[jayv1.GetResponse], error) {
	table := s.options.Holder.Current()
	resource, ok := table.Resource(req.Msg.GetName())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, eris.Errorf("resource %q is not declared in generation %d", req.Msg.GetName(), table.Generation()))
	}
	return connect.NewResponse(&jayv1.GetResponse{Generation: table.Generation(), Resource: resource}), nil
}

// List returns all resources, or those of one kind, of the table in force in this
// process.
func (s *Service) List(_ context.Context, req *connect.Request[jayv1.ListRequest]) (*connect.Response[jayv1.ListResponse], error) {
	kind := req.Msg.GetKind()
	if kind != "" && !catalog.IsKind(kind) {
		return nil, connect.NewError(connect.CodeInvalidArgument, eris.Errorf("kind %q is none of %v", kind, catalog.Kinds))
	}
	table := s.options.Holder.Current()
	response := &jayv1.ListResponse{Generation: table.Generation()}
	for _, resource := range table.Snapshot().GetResources() {
		if kind == "" || catalog.KindOf(resource) == kind {
			response.Resources = append(response.Resources, resource)
		}
	}
	return connect.NewResponse(response), nil
}

// Watch sends each change after a generation when it comes into force in this
// process.
func (s *Service) Watch(ctx context.Context, req *connect.Request[jayv1.WatchRequest], stream *connect.ServerStream[jayv1.Change]) error {
	after := req.Msg.GetAfterGeneration()
	for {
		next := s.options.Holder.Next()
		changes, err := s.changesAfter(ctx, after)
		if err != nil {
			return err
		}
		for _, change := range changes {
			if err := stream.Send(change); err != nil {
				return err
			}
			after = change.GetGeneration()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.options.Closing:
			return connect.NewError(connect.CodeUnavailable, eris.New("entry is shutting down; continue the watch at another entry"))
		case <-next:
		}
	}
}

// changesAfter returns the changes after a generation from memory, or from the
// store if they are older. The code is OutOfRange if they were pruned.
func (s *Service) changesAfter(ctx context.Context, after uint64) ([]*jayv1.Change, error) {
	delta := s.options.Spread.Since(after)
	if delta.GetSnapshot() == nil {
		return delta.GetChanges(), nil
	}
	delta, err := s.options.Store.After(ctx, after)
	if err != nil {
		return nil, toConnectError(err)
	}
	if delta.GetSnapshot() != nil {
		return nil, connect.NewError(connect.CodeOutOfRange, eris.Errorf("changes after generation %d are no longer kept; list the resources, then watch after the generation of the list", after))
	}
	return delta.GetChanges(), nil
}

// Status returns the generation in force in each process.
func (s *Service) Status(ctx context.Context, _ *connect.Request[jayv1.StatusRequest]) (*connect.Response[jayv1.StatusResponse], error) {
	return connect.NewResponse(s.options.Spread.Status(ctx)), nil
}

// Explain returns how a request was placed.
func (s *Service) Explain(ctx context.Context, req *connect.Request[jayv1.ExplainRequest]) (*connect.Response[jayv1.Explanation], error) {
	if s.options.Explain == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, eris.New("explanations are not available at this entry"))
	}
	explanation, err := s.options.Explain(ctx, req.Msg.GetRequestId())
	switch {
	case errors.Is(err, ErrNoExplanation):
		return nil, connect.NewError(connect.CodeNotFound, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(explanation), nil
}
