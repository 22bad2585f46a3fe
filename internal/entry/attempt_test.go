package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// cancelWatch is an agent that tells of each stream whether it was cancelled.
type cancelWatch struct {
	node      *transport.Node
	cancelled chan bool
}

func newCancelWatch(t *testing.T, authority *keys.Authority) *cancelWatch {
	t.Helper()
	w := &cancelWatch{cancelled: make(chan bool, 1)}
	w.node = nodeOf(t, authority, keys.RoleAgent, "b1", w.serve)
	return w
}

func (w *cancelWatch) serve(_ context.Context, _ keys.Identity, s *transport.Stream) {
	for {
		frame := &jayv1.ClientFrame{}
		if s.Receive(frame) != nil {
			w.cancelled <- false
			return
		}
		if frame.GetCancel() != nil {
			w.cancelled <- true
			return
		}
	}
}

func nodeOf(t *testing.T, authority *keys.Authority, role keys.Role, name string, handler transport.Handler) *transport.Node {
	t.Helper()
	cert, err := authority.Issue(keys.Identity{Role: role, Name: name}, time.Hour)
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, cert.Save(dir))
	creds, err := transport.LoadCredentials(dir)
	require.NoError(t, err)
	node, err := transport.Listen(transport.Options{Address: "127.0.0.1:0"}, creds, handler)
	require.NoError(t, err)
	t.Cleanup(func() { _ = node.Close() })
	return node
}

// Story: a caller who may come back loses its connection just while the entry
// acknowledges a chunk to the agent. The send fails, and that looked like a
// fault of the link with nobody waiting: the run was cancelled at the agent, and
// the caller's return found no stream any more.
func TestACallerWhoLeavesDuringAnAcknowledgementMayComeBack(t *testing.T) {
	sendFailed := eris.New("send frame: deadline exceeded")
	for _, tt := range []struct {
		name   string
		err    error
		detach bool
		cancel bool
	}{
		{"comes back, seen while a chunk was written", errCallerGone, true, false},
		{"comes back, seen while an acknowledgement was sent", sendFailed, true, false},
		{"never comes back, seen while a chunk was written", errCallerGone, false, true},
		{"never comes back, seen while an acknowledgement was sent", sendFailed, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			authority, err := keys.NewAuthority(time.Hour)
			require.NoError(t, err)
			agent := newCancelWatch(t, authority)
			self := nodeOf(t, authority, keys.RoleEntry, "e1", func(context.Context, keys.Identity, *transport.Stream) {})
			a := newAttempt("req-e1-00", 1)
			a.resumable, a.timeouts, a.limits = tt.detach, Default().Timeouts, Default().Attempts
			a.dial, a.address = self, agent.node.Address()
			a.stream, err = self.Open(t.Context(), agent.node.Address(), keys.RoleAgent)
			require.NoError(t, err)
			ack := &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Ack{Ack: &jayv1.Ack{NextSeq: 1}}}
			require.NoError(t, a.stream.Send(ack))
			a.fire(eventAccept)
			a.fire(eventBodySent)
			ctx, leave := context.WithCancel(t.Context())
			leave()
			a.interrupted(ctx, tt.err)
			assert.True(t, a.ended())
			assert.True(t, a.endedByCaller(), "the server is not blamed")
			assert.Equal(t, tt.cancel, <-agent.cancelled)
		})
	}
}

// A stream whose request never began is not lost: its caller may ask anew.
func TestAResumedStreamThatWasNotRunSaysWhenToComeBack(t *testing.T) {
	a := newAttempt("req-e1-00", 1)
	for _, event := range []string{eventAccept, eventBodySent, eventLinkLost, eventResume} {
		a.fire(event)
	}
	require.NoError(t, a.handleEnd(&jayv1.End{
		Outcome: jayv1.Outcome_OUTCOME_NOT_RUN, Refusal: jayv1.Refusal_REFUSAL_ENGINE_DOWN, RetryAfterMs: 2500,
	}))
	r := resumeResult(a, false, refuse(http.StatusNotFound, CodeStreamNotFound, "no such stream"))
	assert.Equal(t, CodeStreamBroken, r.err.Code)
	assert.Equal(t, jayv1.Outcome_OUTCOME_NOT_RUN, r.err.Outcome)
	assert.Equal(t, 2500*time.Millisecond, r.err.RetryAfter)
}
