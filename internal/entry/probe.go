package entry

import (
	"context"
	"sync"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/routing"
)

// probeTimeout limits the wait for the replies of probed agents.
const probeTimeout = 250 * time.Millisecond

// decide chooses the backend server of the next offer. If the policy asks for
// probes, the agents are probed first; late replies are left out.
func (d *dispatch) decide(ctx context.Context) (routing.Decision, error) {
	decision, err := d.entry.picker.next(time.Now(), d.table, d.request, d.tried)
	if err != nil || len(decision.ProbeServers) == 0 {
		return decision, err
	}
	d.request.route.Probes = d.probe(ctx, decision.ProbeServers)
	decision, err = d.entry.picker.next(time.Now(), d.table, d.request, d.tried)
	d.request.route.Probes = nil
	return decision, err
}

// probe probes the servers in parallel. The result is never nil.
func (d *dispatch) probe(ctx context.Context, servers []string) []routing.Probe {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	replies := []routing.Probe{}
	for _, name := range servers {
		server, ok := d.table.BackendServer(name)
		if !ok {
			continue
		}
		wg.Go(func() {
			reply, err := d.probeOne(ctx, server)
			if err != nil {
				return
			}
			d.entry.picker.probed(time.Now(), d.request, name, reply)
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, routing.Probe{Server: name, CostMS: reply.GetCostMs(), CachedBytes: int(reply.GetCachedBytes())})
		})
	}
	wg.Wait()
	return replies
}

func (d *dispatch) probeOne(ctx context.Context, server *jayv1.BackendServer) (*jayv1.ProbeReply, error) {
	stream, err := d.entry.node.Open(ctx, server.GetAgentAddress(), keys.RoleAgent)
	if err != nil {
		return nil, err
	}
	defer stream.Abort()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	request := &jayv1.ProbeRequest{
		Pool: d.request.pool.GetName(), Chain: d.request.route.Chain,
		PromptBytes: uint32(d.request.route.PromptBytes), Generation: d.table.Generation(), //nolint:gosec // bounded by the prompt limit
		Class: d.request.class,
	}
	if err := stream.Send(&jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Probe{Probe: request}}); err != nil {
		return nil, err
	}
	frame := &jayv1.ServerFrame{}
	if err := stream.Receive(frame); err != nil {
		return nil, err
	}
	if frame.GetProbeReply() == nil {
		return nil, errUnexpectedFrame
	}
	return frame.GetProbeReply(), nil
}
