package agent

import (
	"context"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/spread"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// startSpread starts the service that keeps the agent's catalog up to date from
// the entries connected to it. An agent reads neither the platform's table nor
// its list of VMs.
func (a *Agent) startSpread(creds *transport.Credentials) error {
	service, err := spread.Start(a.ctx, spread.Options{
		Self: creds.Self(), DataCentre: a.settings.DataCentre, Region: a.settings.Region,
		Address: a.Address(), Incarnation: uint64(a.started.UnixNano()), //nolint:gosec // after 1970
		Settings: a.settings.Spread, Node: a.node, Holder: a.catalog,
		Draining:   a.isDraining,
		FillStatus: func(status *jayv1.ProcessStatus) { status.Agent = a.state() },
	})
	if err != nil {
		return err
	}
	a.spread = service
	close(a.ready)
	return nil
}

// serveControl serves a stream of the spread service and aborts any other.
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

// receivedGeneration reports to the spread service the catalog generation that
// a peer routed by.
func (a *Agent) receivedGeneration(peer keys.Identity, generation uint64) {
	select {
	case <-a.ready:
		a.spread.ReceivedGeneration(peer, generation)
	default: // Still starting; the peer's next offer carries its generation too.
	}
}

// status returns the process status shown on the debug page.
func (a *Agent) status() *jayv1.ProcessStatus {
	return &jayv1.ProcessStatus{
		Name: a.settings.Name, Role: string(keys.RoleAgent), DataCentre: a.settings.DataCentre,
		Generation: a.catalog.Current().Generation(), Leaving: a.isDraining(),
		StartedUnixMs: a.started.UnixMilli(), Agent: a.state(),
	}
}
