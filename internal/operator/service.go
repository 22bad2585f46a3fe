// Package operator serves the operators' remote procedure calls. Changes go to
// the catalog's store, reads come from the table in force in this process.
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

// compactTimeout bounds the writing of a snapshot after a change.
const compactTimeout = 10 * time.Second

// ErrNoExplanation means: the entry keeps no explanation for the request any more.
var ErrNoExplanation = errors.New("no explanation is kept for the request")

// Spread puts accepted changes in force; *spread.Service has it.
type Spread interface {
	// Accepted takes a change that this process got accepted.
	Accepted(change *jayv1.Change)
	// Noticed takes a generation that the table is known to hold.
	Noticed(generation uint64)
	// Since returns the changes after a generation, as far as they are at hand.
	Since(generation uint64) *jayv1.CatalogDelta
	// Status asks all processes.
	Status(ctx context.Context) *jayv1.StatusResponse
}

// Options of the service.
type Options struct {
	Store  *catalogstore.Store
	Holder *catalog.Holder
	Spread Spread
	// Explain finds the explanation of a request on any entry; ErrNoExplanation.
	Explain func(ctx context.Context, requestID string) (*jayv1.Explanation, error)
	// CountLoaded counts the backend servers of a pool that are ready and have the
	// weights with the digest; nil: not asked.
	CountLoaded func(ctx context.Context, pool, digest string) int
	// Closing is closed when the process shuts down; watches end then.
	Closing <-chan struct{}
}

// Service implements the OperatorService of the schema.
type Service struct {
	options Options
}

var _ jayv1connect.OperatorServiceHandler = (*Service)(nil)

// New returns the service.
func New(options Options) *Service { return &Service{options: options} }

// Apply accepts a declaration set as one change, or none of it.
func (s *Service) Apply(ctx context.Context, req *connect.Request[jayv1.ApplyRequest]) (*connect.Response[jayv1.ApplyResponse], error) {
	msg := req.Msg
	return s.accept(ctx, msg, catalogstore.Proposal{
		ChangeID: msg.GetChangeId(), ExpectGeneration: msg.GetExpectGeneration(), DryRun: msg.GetDryRun(),
		Edit: func(table *catalog.Table) (catalog.Difference, error) {
			difference := catalog.Diff(table, keepDrains(table, msg.GetResources()), msg.GetPrune())
			if msg.GetActivateUnloaded() {
				return difference, nil
			}
			return difference, s.checkActivations(ctx, table, difference)
		},
	})
}

// keepDrains carries the drain of a backend server over into a declaration
// that does not know of it: an unrelated apply must not bring a server back
// that an operator took out of service. Only an undone drain does.
func keepDrains(table *catalog.Table, declared []*jayv1.Resource) []*jayv1.Resource {
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

// Put creates or changes one resource.
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

// Delete deletes one resource; one that does not exist is no error.
func (s *Service) Delete(ctx context.Context, req *connect.Request[jayv1.DeleteRequest]) (*connect.Response[jayv1.ApplyResponse], error) {
	msg := req.Msg
	return s.accept(ctx, msg, catalogstore.Proposal{
		ChangeID: msg.GetChangeId(), ExpectGeneration: msg.GetExpectGeneration(),
		Edit: func(table *catalog.Table) (catalog.Difference, error) {
			return catalog.DiffDelete(table, msg.GetName()), nil
		},
	})
}

// Drain stops, or resumes, new work for a backend server.
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

// accept gets a proposal accepted and in force here. msg is the request whose
// digest tells a repeat from another change under the same id.
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
		return nil, toConnect(err)
	}
	s.putInForce(proposal, accepted)
	difference := accepted.Difference
	return connect.NewResponse(&jayv1.ApplyResponse{
		Generation: accepted.Generation, Changed: accepted.Changed,
		Created: difference.Created, Updated: difference.Updated, Deleted: difference.Deleted,
	}), nil
}

func (s *Service) putInForce(proposal catalogstore.Proposal, accepted catalogstore.Accepted) {
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
			klog.ErrorS(err, "Snapshot of the catalog not written; the next change tries again")
		}
	}()
}

// Get returns one resource of the table in force here.
func (s *Service) Get(_ context.Context, req *connect.Request[jayv1.GetRequest]) (*connect.Response[jayv1.GetResponse], error) {
	table := s.options.Holder.Current()
	resource, ok := table.Resource(req.Msg.GetName())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, eris.Errorf("%q is not declared at generation %d", req.Msg.GetName(), table.Generation()))
	}
	return connect.NewResponse(&jayv1.GetResponse{Generation: table.Generation(), Resource: resource}), nil
}

// List returns the resources of a kind, or all, of the table in force here.
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

// Watch sends each change after a generation as it comes into force here.
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
			return connect.NewError(connect.CodeUnavailable, eris.New("entry is leaving; watch at another"))
		case <-next:
		}
	}
}

// changesAfter takes the changes at hand, or reads older ones from the store.
func (s *Service) changesAfter(ctx context.Context, after uint64) ([]*jayv1.Change, error) {
	delta := s.options.Spread.Since(after)
	if delta.GetSnapshot() == nil {
		return delta.GetChanges(), nil
	}
	delta, err := s.options.Store.After(ctx, after)
	if err != nil {
		return nil, toConnect(err)
	}
	if delta.GetSnapshot() != nil {
		return nil, connect.NewError(connect.CodeOutOfRange, eris.Errorf("changes after generation %d are no longer kept; list, then watch from there", after))
	}
	return delta.GetChanges(), nil
}

// Status tells the generation in force per process.
func (s *Service) Status(ctx context.Context, _ *connect.Request[jayv1.StatusRequest]) (*connect.Response[jayv1.StatusResponse], error) {
	return connect.NewResponse(s.options.Spread.Status(ctx)), nil
}

// Explain tells why a request went where it did.
func (s *Service) Explain(ctx context.Context, req *connect.Request[jayv1.ExplainRequest]) (*connect.Response[jayv1.Explanation], error) {
	if s.options.Explain == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, eris.New("this entry explains nothing"))
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
