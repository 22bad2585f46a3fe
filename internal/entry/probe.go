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
func (h *handoff) decide(ctx context.Context) (routing.Decision, error) {
	d, err := h.entry.picker.next(time.Now(), h.table, h.work, h.tried)
	if err != nil || len(d.ProbeServers) == 0 {
		return d, err
	}
	h.work.route.Probes = h.probe(ctx, d.ProbeServers)
	d, err = h.entry.picker.next(time.Now(), h.table, h.work, h.tried)
	h.work.route.Probes = nil
	return d, err
}

// probe probes the servers in parallel. The result is never nil.
func (h *handoff) probe(ctx context.Context, servers []string) []routing.Probe {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	replies := []routing.Probe{}
	for _, name := range servers {
		server, ok := h.table.BackendServer(name)
		if !ok {
			continue
		}
		wg.Go(func() {
			reply, err := h.probeOne(ctx, server)
			if err != nil {
				return
			}
			h.entry.picker.probed(time.Now(), h.work, name, reply)
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, routing.Probe{Server: name, CostMS: reply.GetCostMs(), CachedBytes: int(reply.GetCachedBytes())})
		})
	}
	wg.Wait()
	return replies
}

func (h *handoff) probeOne(ctx context.Context, server *jayv1.BackendServer) (*jayv1.ProbeReply, error) {
	stream, err := h.entry.node.Open(ctx, server.GetAgentAddress(), keys.RoleAgent)
	if err != nil {
		return nil, err
	}
	defer stream.Abort()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	request := &jayv1.ProbeRequest{
		Pool: h.work.pool.GetName(), Chain: h.work.route.Chain,
		PromptBytes: uint32(h.work.route.PromptBytes), Generation: h.table.Generation(), //nolint:gosec // bounded by the prompt limit
		Class: h.work.class,
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
