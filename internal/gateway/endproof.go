package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/endproof"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

var errNoHealthPath = errors.New("the configuration names no health check of the service")

// checkEnd checks that a response that was read to its end is complete. One that ends
// with its connection is complete only if its server still runs then.
func (j *job) checkEnd(choice *routing.DirectChoice, response *upstream.Response) error {
	if response.Framing != upstream.FramedByConnection {
		return nil
	}
	started := time.Now()
	err := j.gateway.stillRuns(j.ctx, choice.Server, j.service)
	result := endResult(err)
	j.gateway.metrics.Count("response_end_checks", result, 1)
	klog.InfoS("End of response checked", "request", j.head.ID, "server", choice.Server.ID, "result", result, "err", err, "tookMS", time.Since(started).Milliseconds())
	return err
}

// endResult is the result of a check in logs and metrics.
func endResult(err error) string {
	switch {
	case err == nil:
		return "server runs"
	case errors.Is(err, endproof.ErrEnded):
		return "server ended"
	}
	return "no proof"
}

// stillRuns returns nil if an incarnation of a backend server answers for itself now. Its
// error wraps endproof.ErrEnded or endproof.ErrNoProof.
func (g *Gateway) stillRuns(ctx context.Context, server routing.DirectServer, service *routetable.Service) error {
	return g.endChecks.Runs(ctx, server.ID, func(ctx context.Context) error {
		err := g.askWhetherRuns(ctx, server, service)
		now := time.Now()
		switch {
		case errors.Is(err, upstream.ErrNoListener):
			g.state.sendFailed(now, server.ID, err)
			return fmt.Errorf("%w: %w", endproof.ErrEnded, err)
		case errors.Is(err, call.ErrOtherInstance):
			g.pool.CloseIdle(server.Address)
			g.state.incarnationEnded(now, server.ID, "check of a response's end")
			return fmt.Errorf("%w: %w", endproof.ErrEnded, err)
		}
		if g.countExceeded(err) {
			// Further tries would take a second in which other servers can respond.
			g.state.sendFailed(now, server.ID, err)
			return fmt.Errorf("%w: %w", endproof.ErrNoProof, err)
		}
		return err
	})
}

// askWhetherRuns asks a server for its state: an engine for its report, which needs no
// slot and tells incarnations of one name apart, others for their health.
func (g *Gateway) askWhetherRuns(ctx context.Context, server routing.DirectServer, service *routetable.Service) error {
	if service.Engine == nil && service.HealthPath == "" {
		return errNoHealthPath
	}
	if service.Engine == nil {
		return g.ports.Health.Answers(ctx, server.Instance, server.Address, service.HealthPath)
	}
	report, err := g.ports.Engines.Report(ctx, server.Instance, server.Address)
	if err != nil {
		return err
	}
	answered := fleet.Incarnation{Instance: server.Instance, StartedMS: report.StartedMS}
	startKnown := report.StartedMS != 0 && server.ID != server.Instance
	if startKnown && answered.ID() != server.ID {
		return fmt.Errorf("%w: %s answers for %s", call.ErrOtherInstance, answered.ID(), server.ID)
	}
	return nil
}
