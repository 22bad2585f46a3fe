package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// probe requests the state of a backend server from its agent. An agent of
// another backend server at the address is an error.
func probe(ctx context.Context, options Options, pool string, server *jayv1.BackendServer) (*jayv1.AgentState, error) {
	request := &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Probe{Probe: &jayv1.ProbeRequest{
		Pool: pool, Generation: options.Holder.Current().Generation(),
	}}}
	reply, err := roundTrip(ctx, options.Node, server.GetAgentAddress(), request, options.Settings.ProbeTimeout)
	if err != nil {
		return nil, err
	}
	state := reply.GetProbeReply().GetState()
	if state.GetBackendServer() != server.GetName() {
		return nil, eris.Errorf("backend server %s answered at the agent address of backend server %s", state.GetBackendServer(), server.GetName())
	}
	return state, nil
}

// roundTrip sends one frame to an agent and returns its reply, within the
// timeout.
func roundTrip(ctx context.Context, node *transport.Node, address string, request *jayv1.ClientFrame, timeout time.Duration) (*jayv1.ServerFrame, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stream, err := node.Open(ctx, address, keys.RoleAgent)
	if err != nil {
		return nil, err
	}
	defer stream.Abort()
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	if err := stream.Send(request); err != nil {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, eris.Wrap(err, "close the sending side of the stream")
	}
	reply := &jayv1.ServerFrame{}
	return reply, stream.Receive(reply)
}
