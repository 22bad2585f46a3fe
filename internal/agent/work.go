package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/charts"
	"github.com/jayproxy/jayproxy/internal/relay"
)

// Names of the chart backend_request that the code refers to.
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

// work is one accepted attempt, from the offer until nobody can ask for its
// answer any more. It outlives the stream it came on.
type attempt struct {
	id       string
	offer    *jayv1.Offer
	claim    relay.Claim
	response *responseBuffer
	// ctx ends when the attempt is given up.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// gone ends when nobody can ask for the answer any more.
	discarded context.Context
	discard   context.CancelFunc
	// offered is when the offer was accepted here.
	offered time.Time
	// cachedBytes of the chain, knownBytes that were submitted here before, and
	// missedTokens when the offer came.
	cachedBytes    int
	submittedBytes int
	uncachedTokens float64

	mu        sync.Mutex
	state     string
	body      []byte
	queueWait time.Duration
	// handed: a goroutine runs the attempt and frees its slot.
	started bool
	// orphan fires when the reader of a lost link has not come back in time.
	resumeTimer *time.Timer
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
	}
}

// fire moves the attempt along its chart. It returns the new state, and
// whether the event changed it; an attempt that is over stays as it is.
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

// outcomeOf translates a final state of the chart to the wire.
func outcomeOf(state string) jayv1.Outcome {
	switch state {
	case stateDone:
		return jayv1.Outcome_OUTCOME_DONE
	case stateNotRun:
		return jayv1.Outcome_OUTCOME_NOT_RUN
	}
	return jayv1.Outcome_OUTCOME_UNKNOWN
}

// setOrphan starts or stops the wait for a reader that lost its link.
func (att *attempt) setResumeTimer(timer *time.Timer) {
	att.mu.Lock()
	defer att.mu.Unlock()
	if att.resumeTimer != nil {
		att.resumeTimer.Stop()
	}
	att.resumeTimer = timer
}
