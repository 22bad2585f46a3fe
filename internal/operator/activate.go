package operator

import (
	"context"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/catalog"
)

// checkActivations returns an error if the difference activates a version that is
// loaded on fewer ready backend servers than the pool's min_ready, or on none.
// Once the change is in force, entries send requests for the new version only, and
// callers would be refused until enough backend servers have loaded it.
func (s *Service) checkActivations(ctx context.Context, table *catalog.Table, difference catalog.Difference) error {
	if s.options.CountLoaded == nil {
		return nil
	}
	for _, resource := range difference.Put {
		next := resource.GetPool()
		current, exists := table.Pool(next.GetName())
		version := catalog.ActiveVersion(next)
		if next == nil || !exists || version == nil || next.GetActiveVersion() == current.GetActiveVersion() {
			continue
		}
		servers := len(table.BackendServersOfPool(next.GetName()))
		needed := max(1, int(next.GetMinReady()))
		if servers == 0 {
			continue
		}
		if loaded := s.options.CountLoaded(ctx, next.GetName(), version.GetDigest()); loaded < needed {
			return connect.NewError(connect.CodeFailedPrecondition, eris.Errorf(
				"pool/%s.active_version: version %q is loaded and ready at %d of %d backend servers, %d are needed; wait for the rollout, or apply with activate_unloaded",
				next.GetName(), version.GetName(), loaded, servers, needed))
		}
	}
	return nil
}
