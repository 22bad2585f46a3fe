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

// cancelTimeout is how long an agent may take, after a Cancel, to report
// whether the request had started to run.
const cancelTimeout = 300 * time.Millisecond

var (
	errCallerGone      = errors.New("the caller disconnected")
	errTimedOut        = errors.New("timed out waiting for the backend server")
	errUnexpectedFrame = errors.New("unexpected frame type")
	// errNoFinalStatus: a service's response has a status below 200, which ends no response.
	errNoFinalStatus = errors.New("response without a final status")
)

// dialer opens streams to agents.
type dialer interface {
	Open(ctx context.Context, address string, roles ...keys.Role) (*transport.Stream, error)
}

// attempt is one handoff of a request to one backend server.
type attempt struct {
	id      string
	number  uint32
	address string
	server  string
	// workspace and nonce authenticate a resume as the caller's own.
	workspace string
	nonce     []byte
	// generation of the catalog that the server was taken from.
	generation uint64
	dial       dialer
	limits     AttemptSettings
	timeouts   TimeoutSettings

	chart        *statechart.Chart
	state        string
	stream       *transport.Stream
	chunks       relay.Receiver
	acks         relay.Acks
	reply        *jayv1.OfferReply
	end          *jayv1.End
	headReceived bool
	// status is the HTTP status of a plain service's response.
	status uint32
	// onReply is called with the reply to the offer before the body is sent.
	onReply      func(reply *jayv1.OfferReply)
	acceptedAt   time.Time
	firstChunkAt time.Time
	// resumesSinceChunk counts the resumes since the last chunk arrived.
	resumesSinceChunk int
	// deadline for the first chunk.
	deadline time.Time
	// resumable: a caller that disconnects may resume the stream later.
	resumable bool
	// cause is the error that ended the attempt without an End frame.
	cause error
}

// sink receives the response of an attempt: chunks in order, each one once.
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
		klog.ErrorS(err, "invalid state transition of attempt", "request", a.id, "attempt", a.number)
		return
	}
	a.state = next
}

// ended reports whether the attempt is in a final state.
func (a *attempt) ended() bool { return a.chart.Final(a.state) }

// outcome returns the outcome of an attempt that has ended.
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

// run hands the request off and relays its response until the attempt ends.
func (a *attempt) run(ctx context.Context, offer *jayv1.Offer, body bodySource, to sink) {
	a.handOff(ctx, offer, body)
	for !a.ended() {
		err := a.relay(ctx, to)
		if a.ended() {
			break
		}
		a.interrupted(ctx, err)
	}
	a.release()
}

// follow relays a stream that another entry began.
func (a *attempt) follow(ctx context.Context, to sink) {
	for _, event := range []string{eventAccept, eventBodySent, eventLinkLost} {
		a.fire(event)
	}
	a.reconnect(ctx)
	for !a.ended() {
		err := a.relay(ctx, to)
		if !a.ended() {
			a.interrupted(ctx, err)
		}
	}
	a.release()
}

// interrupted handles a relay that stopped without an End frame: it cancels the
// request, leaves it running for a later resume, or reconnects.
func (a *attempt) interrupted(ctx context.Context, err error) {
	// A caller that disconnects while an acknowledgement is being sent to the
	// agent shows up as a link error; the ended context distinguishes the two.
	// Such an error must neither cancel a resumable request nor count as a
	// failure of the server.
	if ctx.Err() != nil && !errors.Is(err, errCallerGone) {
		err = asCallerGone(err)
	}
	a.cause = err
	callerGone := errors.Is(err, errCallerGone)
	switch {
	case callerGone && a.resumable:
		// Without a Cancel the agent continues and keeps the stream for a resume.
		a.stream.Abort()
		a.fire(eventGiveUp)
	case callerGone, errors.Is(err, errTimedOut):
		a.cancel(err)
	case errors.Is(err, errNoFinalStatus):
		// The agent would send the same response again.
		a.stream.Abort()
		a.fire(eventGiveUp)
	default:
		klog.V(1).InfoS("link lost", "request", a.id, "attempt", a.number, "server", a.server, "next", a.chunks.Next(), "cause", err)
		a.stream.Abort()
		a.fire(eventLinkLost)
		a.reconnect(ctx)
	}
}

// handOff offers the request and, when the agent accepts it, sends the body.
func (a *attempt) handOff(ctx context.Context, offer *jayv1.Offer, body bodySource) {
	if err := a.sendOffer(ctx, offer); err != nil {
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

func (a *attempt) sendOffer(ctx context.Context, offer *jayv1.Offer) error {
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
		return errUnexpectedFrame
	}
	return nil
}

// guard makes pending calls on the stream fail when the context ends. The
// returned function releases the guard and, if it is firing, waits for it to
// finish: its deadline must not apply to a Cancel that is sent afterwards.
func (a *attempt) guard(ctx context.Context) func() {
	stream, fired := a.stream, make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(fired)
		_ = stream.SetDeadline(time.Now())
	})
	return func() {
		if !stop() {
			<-fired
		}
	}
}

// sendBody sends the body in pieces. An error means that the last piece was not
// sent, so the agent has no complete body and does not run the request.
func (a *attempt) sendBody(body bodySource) error {
	for {
		piece, last, err := body.Next()
		if err != nil {
			return errors.Join(errBody, err)
		}
		if last {
			// Before the send: the piece may arrive even if the send fails, and
			// from then on the attempt can't be reported as not run.
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

// release closes both directions of the stream once the attempt has ended. A
// resumable stream is aborted instead, so that the agent retains the response:
// its last chunks may never have reached the caller.
func (a *attempt) release() {
	if a.stream == nil {
		return
	}
	if a.resumable {
		a.stream.Abort()
		return
	}
	_ = a.stream.CloseSend()
	_ = a.stream.SetDeadline(time.Now().Add(cancelTimeout))
	if err := a.stream.Receive(&jayv1.ServerFrame{}); !errors.Is(err, io.EOF) {
		a.stream.Abort()
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// pause waits for d. It returns false when the context ends first.
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
