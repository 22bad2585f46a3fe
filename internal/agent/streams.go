package agent

import (
	"context"
	"errors"
	"io"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/transport"
)

const (
	// firstFrameTimeout bounds the wait for the first frame of a new stream.
	firstFrameTimeout = 10 * time.Second
	// lingerTimeout is how long a stream that has sent its last frame waits for
	// its peer to close its side.
	lingerTimeout = 5 * time.Second
)

// serveStream serves one stream opened by a peer.
func (a *Agent) serveStream(ctx context.Context, peer keys.Identity, s *transport.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	var first jayv1.ClientFrame
	if err := s.Receive(&first); err != nil {
		s.Abort()
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	a.dispatch(ctx, peer, &first, s)
}

// dispatch serves a stream according to its first frame. Streams of peers other
// than entries are aborted.
func (a *Agent) dispatch(ctx context.Context, peer keys.Identity, first *jayv1.ClientFrame, s *transport.Stream) {
	if peer.Role != keys.RoleEntry {
		s.Abort()
		return
	}
	switch frame := first.GetFrame().(type) {
	case *jayv1.ClientFrame_Offer:
		a.receivedGeneration(peer, frame.Offer.GetGeneration())
		a.serveOffer(ctx, frame.Offer, s)
	case *jayv1.ClientFrame_Resume:
		a.serveResume(ctx, frame.Resume, s)
	case *jayv1.ClientFrame_Probe:
		_ = s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_ProbeReply{ProbeReply: a.probe(frame.Probe)}})
	case *jayv1.ClientFrame_Order:
		a.serveOrder(ctx, frame.Order, s)
	case *jayv1.ClientFrame_Explain:
		_ = s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_Explain{Explain: &jayv1.ExplainReply{}}})
	default:
		a.serveControl(ctx, peer, first, s)
	}
}

// serveResume continues a response on a new link. The request must contain the
// workspace and the nonce of the offer.
func (a *Agent) serveResume(ctx context.Context, req *jayv1.Resume, s *transport.Stream) {
	att := a.attempts.get(attemptID(req.GetRequestId(), req.GetAttempt()))
	if att == nil || !att.claim.Matches(claimOf(req)) {
		a.refusedResume(req, "no response is kept", att)
		a.sendEnd(s, &jayv1.End{
			Outcome: jayv1.Outcome_OUTCOME_UNKNOWN,
			Refusal: jayv1.Refusal_REFUSAL_NOT_FOUND,
			Error:   "no response is kept for this request, attempt, workspace and nonce",
		})
		return
	}
	link, err := att.response.attach(req.GetNextSeq())
	if err != nil {
		a.refusedResume(req, err.Error(), att)
		a.sendEnd(s, &jayv1.End{
			Outcome: jayv1.Outcome_OUTCOME_UNKNOWN,
			Refusal: jayv1.Refusal_REFUSAL_NOT_FOUND,
			Error:   err.Error(),
		})
		return
	}
	att.setResumeTimer(nil)
	att.recordContact(time.Now())
	a.relay(ctx, att, link, s)
}

// metricResumeRefused counts callers whose stream can't be continued, by workspace.
const metricResumeRefused = "resume_refused"

// refusedResume records why a stream can't be continued. att is the attempt with
// the id of the request, nil when none is kept. Streams that this agent never had are
// logged at a higher verbosity, since any caller can name one.
func (a *Agent) refusedResume(req *jayv1.Resume, reason string, att *attempt) {
	id := attemptID(req.GetRequestId(), req.GetAttempt())
	a.metrics.Count(metricResumeRefused, req.GetWorkspace(), 1)
	level := klog.Level(1)
	why, accepted := a.attempts.accepted(id)
	if accepted {
		level = 0
	}
	ago := time.Duration(0)
	if why.reason != "" {
		ago = time.Since(why.at)
	}
	klog.V(level).InfoS("resume refused", "request", id, "workspace", req.GetWorkspace(), "nextSeq", req.GetNextSeq(), "reason", reason,
		"otherClaim", att != nil && !att.claim.Matches(claimOf(req)), "acceptedBefore", accepted, "discarded", why.reason, "discardedAgo", ago)
}

func (a *Agent) sendEnd(s *transport.Stream, end *jayv1.End) {
	end.State = a.state()
	_ = s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_End{End: end}})
}

// relay sends a response on one link and handles the entry's frames meanwhile,
// until the response is delivered, another link has attached or this one is
// lost.
func (a *Agent) relay(ctx context.Context, att *attempt, link int, s *transport.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A reader that keeps its connection alive but does not read would block the
	// send, and with it the buffer, for ever.
	stopAbort := context.AfterFunc(att.discarded, s.Abort)
	defer stopAbort()
	readerDone := make(chan struct{})
	var readerErr error
	go func() {
		defer close(readerDone)
		readerErr = a.readFrames(att, link, s)
		if !errors.Is(readerErr, io.EOF) {
			cancel()
		}
	}()
	switch sendResponse(ctx, att, link, s) {
	case sendCompleted:
		_ = s.CloseSend()
		_ = s.SetReadDeadline(time.Now().Add(lingerTimeout))
		<-readerDone
		if stopAbort() && errors.Is(readerErr, io.EOF) {
			a.forgetRead(att, link, discardDelivered)
		}
	case sendReplaced:
		s.Abort()
	case sendLost:
		// An entry that stops reading fails the send, possibly before its Cancel is
		// received.
		_ = s.SetReadDeadline(time.Now().Add(lingerTimeout))
		<-readerDone
		s.Abort()
		if errors.Is(readerErr, io.EOF) && att.ended() {
			a.forgetRead(att, link, discardCanceled)
		} else {
			a.linkLost(att, link)
		}
	}
	<-readerDone
}

type sendResult int

const (
	sendCompleted sendResult = iota + 1
	sendReplaced
	sendLost
)

func sendResponse(ctx context.Context, att *attempt, link int, s *transport.Stream) sendResult {
	for {
		out := att.response.next(link)
		if out.replaced {
			return sendReplaced
		}
		if out.frame == nil {
			select {
			case <-out.wait:
			case <-ctx.Done():
				return sendLost
			}
			continue
		}
		if err := s.Send(out.frame); err != nil {
			return sendLost
		}
		att.recordContact(time.Now())
		if out.last {
			return sendCompleted
		}
	}
}

// readFrames handles body, acknowledgement and cancel frames of the entry. It
// returns io.EOF when the entry has closed its side, else the error that ended
// the link.
func (a *Agent) readFrames(att *attempt, link int, s *transport.Stream) error {
	for {
		var frame jayv1.ClientFrame
		if err := s.Receive(&frame); err != nil {
			if errors.Is(err, io.EOF) && att.currentState() == stateReceiving {
				// The entry closed its side before the end of the body.
				a.end(att, eventLinkLost, &jayv1.End{Error: "stream closed before the body was complete"})
			}
			return err
		}
		if err := a.handleFrame(att, link, &frame, s); err != nil {
			return err
		}
	}
}

var errUnexpectedFrame = errors.New("frame type not allowed on this stream")

func (a *Agent) handleFrame(att *attempt, link int, frame *jayv1.ClientFrame, s *transport.Stream) error {
	switch f := frame.GetFrame().(type) {
	case *jayv1.ClientFrame_Body:
		return a.receiveBody(att, f.Body, s)
	case *jayv1.ClientFrame_Ack:
		att.response.ack(link, f.Ack.GetNextSeq())
	case *jayv1.ClientFrame_Cancel:
		klog.V(2).InfoS("canceled by the entry", "request", att.offer.GetRequestId(), "reason", f.Cancel.GetReason())
		a.end(att, eventCancel, &jayv1.End{Error: "canceled: " + f.Cancel.GetReason()})
	default:
		return errUnexpectedFrame
	}
	return nil
}

// forgetRead discards the response of an attempt whose entry closed the link: it has
// read all of it, or canceled the request and will not read the rest. Kept responses of
// others would be evicted for it. A newer link may have another reader, which still
// needs the response.
func (a *Agent) forgetRead(att *attempt, link int, reason discardReason) {
	if att.response.isCurrent(link) {
		a.forget(att, reason)
	}
}

// linkLost keeps an attempt for resume. One that still runs is canceled if no reader
// resumes it within replay.abandon_ms, since it takes a slot; a complete response takes
// only memory and is kept for longer, see discardUnread. An attempt whose body is
// incomplete has not run, and ends.
func (a *Agent) linkLost(att *attempt, link int) {
	if !att.response.isCurrent(link) {
		return
	}
	if _, changed := att.fire(eventLinkLost); changed {
		a.finishAttempt(att, &jayv1.End{Error: "link lost before the body was complete"})
		a.forget(att, discardIncomplete)
		return
	}
	klog.V(1).InfoS("link lost, response kept for resume", "request", att.offer.GetRequestId(),
		"workspace", att.offer.GetWorkspace(), "backendServer", a.settings.Name, "link", link)
	att.setResumeTimer(time.AfterFunc(millis(a.settings.Replay.AbandonMS), func() {
		if !att.response.isCurrent(link) {
			return // Resumed while this timer was being set.
		}
		a.end(att, eventCancel, &jayv1.End{Error: "response was not resumed within the agent's replay.abandon_ms"})
	}))
}
