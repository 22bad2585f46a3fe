package entry

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/charts"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/relay"
	"github.com/jayproxy/jayproxy/internal/statechart"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// Events and states of charts/attempt.toml.
const (
	eventAccept     = "accept"
	eventRefuse     = "refuse"
	eventLinkLost   = "link_lost"
	eventBodySent   = "body_sent"
	eventResume     = "resume"
	eventEndDone    = "end_done"
	eventEndNotRun  = "end_not_run"
	eventEndUnknown = "end_unknown"
	eventGiveUp     = "give_up"

	stateDone   = "done"
	stateNotRun = "not_run"
)

// cancelWait is how long an agent gets to say, after a Cancel, whether the
// work had begun.
const cancelWait = 300 * time.Millisecond

var (
	errCallerGone = errors.New("the caller went away")
	errGivenUp    = errors.New("given up")
	errOutOfTurn  = errors.New("frame out of turn")
)

// dialer opens streams to agents.
type dialer interface {
	Open(ctx context.Context, address string, roles ...keys.Role) (*transport.Stream, error)
}

// attempt is one hand-over of a request to one backend server.
type attempt struct {
	id      string
	number  uint32
	address string
	server  string
	// workspace and nonce prove on resume that the stream is the caller's.
	workspace string
	nonce     []byte
	// generation of the catalog that names the server.
	generation uint64
	dial       dialer
	limits     AttemptSettings
	timeouts   TimeoutSettings

	chart  *statechart.Chart
	state  string
	stream *transport.Stream
	chunks relay.Receiver
	// acked is what the agent was told it may let go of. unacked chunks behind
	// the last one passed on stay with it: what was written to a caller's
	// connection may never have reached the caller, who then resumes elsewhere.
	acked   uint64
	unacked uint64
	reply   *jayv1.OfferReply
	end     *jayv1.End
	headed  bool
	// status of a plain service's answer.
	status uint32
	// onReply is told of the answer to the offer before the body goes.
	onReply    func(reply *jayv1.OfferReply)
	acceptedAt time.Time
	firstAt    time.Time
	// stuck counts resumes since the last chunk.
	stuck int
	// deadline to the first chunk.
	deadline time.Time
	// detach: a caller that goes away may come back for the rest.
	detach bool
	// cause of an end without an End frame.
	cause error
}

// sink takes what an attempt delivers, in order and without doubles.
type sink interface {
	Head(head *jayv1.ServiceHead) error
	Chunk(seq uint64, data []byte) error
}

func newAttempt(id string, number uint32) *attempt {
	chart := charts.Must("attempt")
	return &attempt{id: id, number: number, chart: chart, state: chart.Initial()}
}

func (a *attempt) fire(event string) {
	next, err := a.chart.Next(a.state, event)
	if err != nil {
		klog.ErrorS(err, "attempt", "request", a.id, "attempt", a.number)
		return
	}
	a.state = next
}

// over tells whether the attempt ended.
func (a *attempt) over() bool { return a.chart.Final(a.state) }

// outcome of an attempt that is over.
func (a *attempt) outcome() jayv1.Outcome {
	switch a.state {
	case stateDone:
		return jayv1.Outcome_OUTCOME_DONE
	case stateNotRun:
		return jayv1.Outcome_OUTCOME_NOT_RUN
	default:
		return jayv1.Outcome_OUTCOME_UNKNOWN
	}
}

// run carries the attempt to its end.
func (a *attempt) run(ctx context.Context, offer *jayv1.Offer, body bodySource, to sink) {
	a.handOver(ctx, offer, body)
	for !a.over() {
		err := a.relay(ctx, to)
		if a.over() {
			break
		}
		a.broken(ctx, err)
	}
	a.release()
}

// follow relays a stream that another entry began.
func (a *attempt) follow(ctx context.Context, to sink) {
	for _, event := range []string{eventAccept, eventBodySent, eventLinkLost} {
		a.fire(event)
	}
	a.reconnect(ctx)
	for !a.over() {
		err := a.relay(ctx, to)
		if !a.over() {
			a.broken(ctx, err)
		}
	}
	a.release()
}

// broken deals with a relay that ended without an End frame.
func (a *attempt) broken(ctx context.Context, err error) {
	// A caller that leaves while an acknowledgement is on its way to the agent
	// shows as an error of the link; the ended context tells it apart. Neither
	// may the run be cancelled for it, nor the server be blamed.
	if ctx.Err() != nil && !errors.Is(err, errCallerGone) {
		err = gone(err)
	}
	a.cause = err
	callerGone := errors.Is(err, errCallerGone)
	switch {
	case callerGone && a.detach:
		// Without a Cancel the agent goes on and keeps the stream for a resume.
		a.stream.Abort()
		a.fire(eventGiveUp)
	case callerGone, errors.Is(err, errGivenUp):
		a.cancel(err)
	default:
		klog.V(1).InfoS("link lost", "request", a.id, "attempt", a.number, "server", a.server, "next", a.chunks.Next(), "cause", err)
		a.stream.Abort()
		a.fire(eventLinkLost)
		a.reconnect(ctx)
	}
}

// handOver offers the work and, when it is taken, sends the body.
func (a *attempt) handOver(ctx context.Context, offer *jayv1.Offer, body bodySource) {
	if err := a.offerTo(ctx, offer); err != nil {
		a.cause = err
		a.fire(eventLinkLost)
		return
	}
	if a.onReply != nil {
		a.onReply(a.reply)
	}
	if !a.reply.GetAccepted() {
		a.fire(eventRefuse)
		return
	}
	a.acceptedAt = time.Now()
	a.fire(eventAccept)
	if err := a.sendBody(body); err != nil {
		a.cause = err
		a.stream.Abort()
		a.fire(eventLinkLost)
	}
}

func (a *attempt) offerTo(ctx context.Context, offer *jayv1.Offer) error {
	ctx, cancel := context.WithTimeout(ctx, ms(a.timeouts.OfferMS))
	defer cancel()
	stream, err := a.dial.Open(ctx, a.address, keys.RoleAgent)
	if err != nil {
		return err
	}
	a.stream = stream
	stop := a.guard(ctx)
	defer stop()
	if err := stream.Send(&jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Offer{Offer: offer}}); err != nil {
		return err
	}
	var frame jayv1.ServerFrame
	if err := stream.Receive(&frame); err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			stream.RetireLink()
		}
		return err
	}
	a.reply = frame.GetOfferReply()
	if a.reply == nil {
		return errOutOfTurn
	}
	return nil
}

// guard fails pending calls of the stream when the context ends. The returned
// function waits for a guard that has struck: its deadline must not fall on a
// Cancel that is sent after.
func (a *attempt) guard(ctx context.Context) func() {
	stream, struck := a.stream, make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(struck)
		_ = stream.SetDeadline(time.Now())
	})
	return func() {
		if !stop() {
			<-struck
		}
	}
}

// sendBody sends the pieces. An error means that the last piece was not sent,
// so that the agent can't have the whole body and runs nothing.
func (a *attempt) sendBody(body bodySource) error {
	for {
		piece, last, err := body.Next()
		if err != nil {
			return errors.Join(errBody, err)
		}
		if last {
			// Before the send: a send that fails may have arrived all the same,
			// and from then on the attempt can't be called not run.
			a.fire(eventBodySent)
		}
		frame := &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Body{Body: &jayv1.Data{Data: piece, Last: last}}}
		if err := a.stream.Send(frame); err != nil && !last {
			return err
		}
		if last {
			return nil
		}
	}
}

// release ends the stream's two sides once the attempt is over. An answer
// whose caller may come back is not closed but broken off, so that the agent
// keeps it for a while: its tail may never have reached the caller.
func (a *attempt) release() {
	if a.stream == nil {
		return
	}
	if a.detach {
		a.stream.Abort()
		return
	}
	_ = a.stream.CloseSend()
	_ = a.stream.SetDeadline(time.Now().Add(cancelWait))
	if err := a.stream.Receive(&jayv1.ServerFrame{}); !errors.Is(err, io.EOF) {
		a.stream.Abort()
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// pause waits, false when the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
