package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// probe asks a backend server's agent for its state.
func probe(ctx context.Context, options Options, pool string, server *jayv1.BackendServer) (*jayv1.AgentState, error) {
	question := &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Probe{Probe: &jayv1.ProbeRequest{
		Pool: pool, Generation: options.Holder.Current().Generation(),
	}}}
	answer, err := ask(ctx, options.Node, server.GetAgentAddress(), question, options.Settings.ProbeTimeout)
	if err != nil {
		return nil, err
	}
	state := answer.GetProbeReply().GetState()
	if state.GetBackendServer() != server.GetName() {
		return nil, eris.Errorf("%s answers at the address of %s", state.GetBackendServer(), server.GetName())
	}
	return state, nil
}

// ask sends one frame to an agent and reads the answer.
func ask(ctx context.Context, node *transport.Node, address string, question *jayv1.ClientFrame, timeout time.Duration) (*jayv1.ServerFrame, error) {
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
	if err := stream.Send(question); err != nil {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, eris.Wrap(err, "end question")
	}
	answer := &jayv1.ServerFrame{}
	return answer, stream.Receive(answer)
}
