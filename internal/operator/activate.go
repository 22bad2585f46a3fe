package operator

import (
	"context"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/catalog"
)

// checkActivations refuses to activate a version that fewer backend servers
// than the pool's min_ready have loaded. From the moment of the change on,
// entries ask for the new version alone: where it is not loaded, callers are
// refused until the weight store has delivered it.
func (s *Service) checkActivations(ctx context.Context, table *catalog.Table, difference catalog.Difference) error {
	if s.options.CountLoaded == nil {
		return nil
	}
	for _, resource := range difference.Put {
		next := resource.GetPool()
		current, existed := table.Pool(next.GetName())
		version := catalog.ActiveVersion(next)
		if next == nil || !existed || version == nil || next.GetActiveVersion() == current.GetActiveVersion() {
			continue
		}
		servers := len(table.BackendServersOfPool(next.GetName()))
		needed := max(1, int(next.GetMinReady()))
		if servers == 0 {
			continue
		}
		if loaded := s.options.CountLoaded(ctx, next.GetName(), version.GetDigest()); loaded < needed {
			return connect.NewError(connect.CodeFailedPrecondition, eris.Errorf(
				"pool/%s.active_version: version %q is loaded and ready at %d of %d backend servers, %d are needed; wait for the rollout or allow it",
				next.GetName(), version.GetName(), loaded, servers, needed))
		}
	}
	return nil
}
