package agent

import (
	"context"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/spread"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// startSpread keeps the agent's catalog up to date from the entries that talk
// to it. An agent reads neither the platform's table nor its list of VMs.
func (a *Agent) startSpread(creds *transport.Credentials) error {
	service, err := spread.Start(a.ctx, spread.Options{
		Self: creds.Self(), DataCentre: a.settings.DataCentre, Region: a.settings.Region,
		Address: a.Address(), Incarnation: uint64(a.started.UnixNano()), //nolint:gosec // after 1970
		Settings: a.settings.Spread, Node: a.node, Holder: a.catalog,
		Draining:   a.isLeaving,
		FillStatus: func(status *jayv1.ProcessStatus) { status.Agent = a.state() },
	})
	if err != nil {
		return err
	}
	a.spread = service
	close(a.ready)
	return nil
}

// serveControl serves a stream of the spread, and ends any other.
func (a *Agent) serveControl(ctx context.Context, peer keys.Identity, first *jayv1.ClientFrame, s *transport.Stream) {
	select {
	case <-a.ready:
	case <-ctx.Done():
		return
	}
	if !a.spread.Handle(ctx, peer, first, s) {
		s.Abort()
	}
}

// heardGeneration passes on by which generation a peer routed.
func (a *Agent) heardGeneration(peer keys.Identity, generation uint64) {
	select {
	case <-a.ready:
		a.spread.ReceivedGeneration(peer, generation)
	default: // Still starting; the next message tells it again.
	}
}

// status is what the debug page tells of the process.
func (a *Agent) status() *jayv1.ProcessStatus {
	return &jayv1.ProcessStatus{
		Name: a.settings.Name, Role: string(keys.RoleAgent), DataCentre: a.settings.DataCentre,
		Generation: a.catalog.Current().Generation(), Leaving: a.isLeaving(),
		StartedUnixMs: a.started.UnixMilli(), Agent: a.state(),
	}
}
