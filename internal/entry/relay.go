package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
)

// relay passes chunks on until the end, a lost link or a caller that is gone.
func (a *attempt) relay(ctx context.Context, to sink) error {
	stop := a.guard(ctx)
	defer stop()
	for !a.over() {
		frame, err := a.receive(ctx)
		if err != nil {
			return err
		}
		if err := a.take(frame, to); err != nil {
			return err
		}
	}
	return nil
}

// receive waits for a frame no longer than the caller's deadline to the first
// chunk, or than a running stream may be silent.
func (a *attempt) receive(ctx context.Context) (*jayv1.ServerFrame, error) {
	until := time.Now().Add(ms(a.timeouts.StreamIdleMS))
	if a.chunks.Next() == 0 && !a.headed && !a.deadline.IsZero() {
		// The agent ends a request at the deadline itself, with proof of what
		// ran; its word is worth a short wait.
		until = a.deadline.Add(cancelWait)
	}
	_ = a.stream.SetReadDeadline(until)
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
		return nil, errGivenUp
	}
	return nil, err
}

func (a *attempt) take(frame *jayv1.ServerFrame, to sink) error {
	switch f := frame.GetFrame().(type) {
	case *jayv1.ServerFrame_ServiceHead:
		return a.takeHead(f.ServiceHead, to)
	case *jayv1.ServerFrame_Chunk:
		return a.takeChunk(f.Chunk, to)
	case *jayv1.ServerFrame_End:
		return a.takeEnd(f.End)
	}
	return errOutOfTurn
}

func (a *attempt) takeHead(head *jayv1.ServiceHead, to sink) error {
	if a.headed {
		return nil
	}
	a.headed = true
	a.status = head.GetStatus()
	return gone(to.Head(head))
}

// takeChunk passes a chunk on when it is the one that is due. One that came
// before is dropped; a missing one is repaired by a resume.
func (a *attempt) takeChunk(chunk *jayv1.Chunk, to sink) error {
	due, err := a.chunks.Accept(chunk.GetSeq())
	if err != nil || !due {
		return err
	}
	if a.firstAt.IsZero() {
		a.firstAt = time.Now()
	}
	if err := gone(to.Chunk(chunk.GetSeq(), chunk.GetData())); err != nil {
		return err
	}
	a.stuck = 0
	next := a.chunks.Next()
	if next < a.acked+uint64(a.limits.AckChunks)+a.unacked { //nolint:gosec // a positive setting
		return nil
	}
	next -= a.unacked
	a.acked = next
	return a.stream.Send(&jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Ack{Ack: &jayv1.Ack{NextSeq: next}}})
}

// firstTokenMS is the time from the acceptance to the first chunk, 0 without one.
func (a *attempt) firstTokenMS() float64 {
	if a.firstAt.IsZero() || a.acceptedAt.IsZero() {
		return 0
	}
	return float64(a.firstAt.Sub(a.acceptedAt)) / float64(time.Millisecond)
}

// byCaller tells whether the attempt ended through the caller, not the server.
func (a *attempt) byCaller() bool {
	return errors.Is(a.cause, errCallerGone) || errors.Is(a.cause, errBody) || errors.Is(a.cause, context.Canceled)
}

func gone(err error) error {
	if err == nil {
		return nil
	}
	return eris.Wrap(errCallerGone, err.Error())
}

func (a *attempt) takeEnd(end *jayv1.End) error {
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

// cancel tells the agent that nobody waits, and takes its word on what ran
// when it comes at once.
func (a *attempt) cancel(cause error) {
	_ = a.stream.SetDeadline(time.Now().Add(cancelWait))
	reason := &jayv1.Cancel{Reason: cause.Error()}
	if a.stream.Send(&jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Cancel{Cancel: reason}}) == nil {
		a.awaitEnd()
	}
	if !a.over() {
		a.fire(eventGiveUp)
	}
}

func (a *attempt) awaitEnd() {
	for {
		frame := &jayv1.ServerFrame{}
		if a.stream.Receive(frame) != nil {
			return
		}
		if end := frame.GetEnd(); end != nil && end.GetOutcome() != jayv1.Outcome_OUTCOME_DONE {
			_ = a.takeEnd(end)
			return
		}
	}
}

// reconnect resumes a stream whose link was lost, in a few tries.
func (a *attempt) reconnect(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ms(a.limits.ResumeWindowMS))
	defer cancel()
	wait := ms(a.limits.ResumeWaitMS)
	a.stuck++
	for try := range a.limits.ResumeTries {
		// An agent that answers each resume without a further chunk would
		// hold the caller for ever.
		if a.stuck > a.limits.ResumeTries {
			break
		}
		if try > 0 && !pause(ctx, wait) {
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
	a.stream = stream
	return true
}
