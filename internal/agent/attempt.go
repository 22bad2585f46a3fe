package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/charts"
	"github.com/jayproxy/jayproxy/internal/relay"
)

// Names in the state chart backend_request that the code uses.
const (
	chartName         = "backend_request"
	stateReceiving    = "receiving"
	stateDone         = "done"
	stateNotRun       = "not_run"
	eventBodyComplete = "body_complete"
	eventLinkLost     = "link_lost"
	eventStart        = "start"
	eventRefuse       = "refuse"
	eventCancel       = "cancel"
	eventNotReached   = "not_reached"
	eventFinish       = "finish"
	eventFail         = "fail"
)

// attempt is one accepted attempt of a request, from the offer until its
// response is discarded. It may outlive the stream that it was offered on.
type attempt struct {
	id    string
	offer *jayv1.Offer
	// claim is what a request to resume the response must match.
	claim    relay.Claim
	response *responseBuffer
	// ctx ends when the attempt ends or is canceled.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// discarded ends when the response is discarded.
	discarded context.Context
	discard   context.CancelFunc
	// offered is when the offer was received.
	offered time.Time
	// Sizes at the time of the offer: cachedBytes of the prompt were cached,
	// submittedBytes had been submitted to this engine before, and
	// uncachedTokens remain to be computed.
	cachedBytes    int
	submittedBytes int
	uncachedTokens float64

	mu        sync.Mutex
	state     string
	body      []byte
	queueWait time.Duration
	// started is true once a goroutine runs the attempt; it frees the slot.
	started bool
	// resumeTimer ends the attempt when a lost link is not resumed in time.
	resumeTimer *time.Timer
	// lastContact is when a reader last attached or took a frame.
	lastContact time.Time
}

func attemptID(requestID string, attempt uint32) string {
	return fmt.Sprintf("%s/%d", requestID, attempt)
}

func newAttempt(parent context.Context, offer *jayv1.Offer, replayBytes int, now time.Time) *attempt {
	ctx, cancel := context.WithCancelCause(parent)
	discarded, discard := context.WithCancel(parent)
	return &attempt{
		discarded: discarded,
		discard:   discard,
		id:        attemptID(offer.GetRequestId(), offer.GetAttempt()),
		offer:     offer,
		claim:     relay.Claim{Workspace: offer.GetWorkspace(), Nonce: offer.GetNonce()},
		response:  newResponseBuffer(replayBytes),
		ctx:       ctx,
		cancel:    cancel,
		offered:   now,
		state:     charts.Must(chartName).Initial(),

		lastContact: now,
	}
}

// fire applies an event of the chart. It returns the new state and whether the
// event changed it. Events after a final state are ignored.
func (att *attempt) fire(event string) (string, bool) {
	att.mu.Lock()
	defer att.mu.Unlock()
	chart := charts.Must(chartName)
	if chart.Final(att.state) {
		return att.state, false
	}
	next, err := chart.Next(att.state, event)
	if err != nil || next == att.state {
		return att.state, false
	}
	att.state = next
	att.started = att.started || event == eventStart
	return next, true
}

func (att *attempt) currentState() string {
	att.mu.Lock()
	defer att.mu.Unlock()
	return att.state
}

// ended reports whether the attempt is in a final state.
func (att *attempt) ended() bool { return charts.Must(chartName).Final(att.currentState()) }

// attemptOverhead is the memory of an attempt besides its response and offer, in
// bytes: two contexts, two timers, the replay buffer's structs and map entries.
const attemptOverhead = 2 << 10

// keptBytes returns the memory that the attempt takes while its response is kept.
func (att *attempt) keptBytes() int {
	return att.response.bytes() + proto.Size(att.offer) + attemptOverhead
}

// outcomeOf returns the wire outcome of a final state of the chart.
func outcomeOf(state string) jayv1.Outcome {
	switch state {
	case stateDone:
		return jayv1.Outcome_OUTCOME_DONE
	case stateNotRun:
		return jayv1.Outcome_OUTCOME_NOT_RUN
	}
	return jayv1.Outcome_OUTCOME_UNKNOWN
}

// setResumeTimer replaces the timer for a lost link; nil only stops it.
func (att *attempt) setResumeTimer(timer *time.Timer) {
	att.mu.Lock()
	defer att.mu.Unlock()
	if att.resumeTimer != nil {
		att.resumeTimer.Stop()
	}
	att.resumeTimer = timer
}

// recordContact records that a reader attached or took a frame.
func (att *attempt) recordContact(now time.Time) {
	att.mu.Lock()
	defer att.mu.Unlock()
	att.lastContact = now
}

// idle returns the time since the last contact with a reader.
func (att *attempt) idle(now time.Time) time.Duration {
	att.mu.Lock()
	defer att.mu.Unlock()
	return now.Sub(att.lastContact)
}
