package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// relay passes chunks on until the stream ends, the link is lost or the caller
// disconnects.
func (a *attempt) relay(ctx context.Context, to sink) error {
	stop := a.guard(ctx)
	defer stop()
	for !a.ended() {
		frame, err := a.receive(ctx)
		if err != nil {
			return err
		}
		if err := a.handleFrame(frame, to); err != nil {
			return err
		}
	}
	return nil
}

// receive waits for a frame until the deadline for the first chunk or, once the
// response has started, for the idle timeout of a stream.
func (a *attempt) receive(ctx context.Context) (*jayv1.ServerFrame, error) {
	deadline := time.Now().Add(ms(a.timeouts.StreamIdleMS))
	if !a.responseBegan() && !a.deadline.IsZero() {
		// The agent itself ends a request at the deadline and reports whether it
		// ran, so that report gets a short extra wait.
		deadline = a.deadline.Add(cancelTimeout)
	}
	_ = a.stream.SetReadDeadline(deadline)
	if ctx.Err() != nil {
		return nil, errCallerGone
	}
	frame := &jayv1.ServerFrame{}
	err := a.stream.Receive(frame)
	if err == nil {
		return frame, nil
	}
	if ctx.Err() != nil {
		return nil, errCallerGone
	}
	if isTimeout(err) {
		return nil, errTimedOut
	}
	return nil, err
}

func (a *attempt) handleFrame(frame *jayv1.ServerFrame, to sink) error {
	switch f := frame.GetFrame().(type) {
	case *jayv1.ServerFrame_ServiceHead:
		return a.handleHead(f.ServiceHead, to)
	case *jayv1.ServerFrame_Chunk:
		return a.handleChunk(f.Chunk, to)
	case *jayv1.ServerFrame_End:
		return a.handleEnd(f.End)
	}
	return errUnexpectedFrame
}

func (a *attempt) handleHead(head *jayv1.ServiceHead, to sink) error {
	if a.headReceived {
		return nil
	}
	if head.GetStatus() < http.StatusOK {
		return eris.Wrapf(errNoFinalStatus, "status %d", head.GetStatus())
	}
	a.headReceived = true
	a.status = head.GetStatus()
	return asCallerGone(to.Head(head))
}

// handleChunk passes on the next chunk in sequence. A duplicate is dropped; a gap
// is an error, which leads to a resume.
func (a *attempt) handleChunk(chunk *jayv1.Chunk, to sink) error {
	due, err := a.chunks.Accept(chunk.GetSeq())
	if err != nil || !due {
		return err
	}
	if a.firstChunkAt.IsZero() {
		a.firstChunkAt = time.Now()
	}
	if err := asCallerGone(to.Chunk(chunk.GetSeq(), chunk.GetData())); err != nil {
		return err
	}
	a.resumesSinceChunk = 0
	if !a.acks.Passed(len(chunk.GetData())) {
		return nil
	}
	return a.acknowledge(a.stream)
}

// acknowledge tells the agent which chunks it need not keep any more.
func (a *attempt) acknowledge(stream *transport.Stream) error {
	return stream.Send(&jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Ack{Ack: &jayv1.Ack{NextSeq: a.acks.Acked()}}})
}

// firstTokenMS returns the milliseconds from the acceptance to the first chunk, 0
// when there was none.
func (a *attempt) firstTokenMS() float64 {
	if a.firstChunkAt.IsZero() || a.acceptedAt.IsZero() {
		return 0
	}
	return float64(a.firstChunkAt.Sub(a.acceptedAt)) / float64(time.Millisecond)
}

// endedByCaller reports whether the caller, not the server, caused the end.
func (a *attempt) endedByCaller() bool {
	return errors.Is(a.cause, errCallerGone) || errors.Is(a.cause, errBody) || errors.Is(a.cause, context.Canceled)
}

func asCallerGone(err error) error {
	if err == nil {
		return nil
	}
	return eris.Wrap(errCallerGone, err.Error())
}

func (a *attempt) handleEnd(end *jayv1.End) error {
	if end.GetOutcome() == jayv1.Outcome_OUTCOME_DONE {
		if err := a.chunks.End(end.GetCount()); err != nil {
			return err
		}
	}
	a.end = end
	switch end.GetOutcome() {
	case jayv1.Outcome_OUTCOME_DONE:
		a.fire(eventEndDone)
	case jayv1.Outcome_OUTCOME_NOT_RUN:
		a.fire(eventEndNotRun)
	default:
		a.fire(eventEndUnknown)
	}
	return nil
}

// cancel asks the agent to cancel the request and waits for its report of the
// outcome, for cancelTimeout at most. It does not wait if the caller disconnected
// after the response began: such a request has run, and the rest of the response
// would be received only to be dropped.
func (a *attempt) cancel(cause error) {
	_ = a.stream.SetDeadline(time.Now().Add(cancelTimeout))
	reason := &jayv1.Cancel{Reason: cause.Error()}
	err := a.stream.Send(&jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Cancel{Cancel: reason}})
	unread := errors.Is(cause, errCallerGone) && a.responseBegan()
	if err == nil && !unread {
		a.awaitEnd()
	}
	if !a.ended() {
		a.fire(eventGiveUp)
	}
}

// responseBegan reports whether any part of the response was received.
func (a *attempt) responseBegan() bool { return a.headReceived || a.chunks.Next() > 0 }

func (a *attempt) awaitEnd() {
	for {
		frame := &jayv1.ServerFrame{}
		if a.stream.Receive(frame) != nil {
			return
		}
		if end := frame.GetEnd(); end != nil && end.GetOutcome() != jayv1.Outcome_OUTCOME_DONE {
			_ = a.handleEnd(end)
			return
		}
	}
}

// reconnect resumes a stream whose link was lost, with a limited number of tries.
func (a *attempt) reconnect(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ms(a.limits.ResumeWindowMS))
	defer cancel()
	wait := ms(a.limits.ResumeWaitMS)
	a.resumesSinceChunk++
	for n := range a.limits.ResumeTries {
		// An agent that accepts each resume without sending a further chunk must
		// not keep the caller waiting forever.
		if a.resumesSinceChunk > a.limits.ResumeTries {
			break
		}
		if n > 0 && !pause(ctx, wait) {
			break
		}
		wait *= 2
		if a.resumeOnce(ctx) {
			a.fire(eventResume)
			return
		}
	}
	a.fire(eventGiveUp)
}

func (a *attempt) resumeOnce(ctx context.Context) bool {
	stream, err := a.dial.Open(ctx, a.address, keys.RoleAgent)
	if err != nil {
		a.cause = err
		return false
	}
	resume := &jayv1.Resume{
		RequestId: a.id, Attempt: a.number, Workspace: a.workspace, Nonce: a.nonce, NextSeq: a.chunks.Next(),
	}
	if err := stream.Send(&jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Resume{Resume: resume}}); err != nil {
		stream.Abort()
		return false
	}
	// The resume itself acknowledges nothing, and the last acknowledgement may be lost
	// with its link.
	if a.acks.Acked() > 0 && a.acknowledge(stream) != nil {
		stream.Abort()
		return false
	}
	a.stream = stream
	return true
}
