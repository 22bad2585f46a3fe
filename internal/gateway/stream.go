package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

// errNothingAfterTornEvent: a server ends a stream in order where another broke off
// inside the next event.
var errNothingAfterTornEvent = errors.New("the stream ends before an event that another server had begun to send")

// streamState is how much of a streamed response the caller has received.
type streamState struct {
	// delivered counts the events sent to the caller.
	delivered int
	// firstAfter is the time between the request and its first event.
	firstAfter time.Duration
	// lastID is the ID of the last event sent that had one, as the server wrote it.
	lastID string
	// order checks the IDs of the events.
	order eventOrder
	// lastAt is when the last event was sent, longestGap the longest time between
	// two: callers limit the wait for the next event as well as for the first.
	lastAt     time.Time
	longestGap time.Duration
	// torn: a server broke off inside an event, so that at least that one is due.
	torn bool
}

// recordEvent updates lastAt and longestGap for an event sent now.
func (s *streamState) recordEvent(now time.Time) {
	if !s.lastAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// forwardStream forwards a stream event by event.
func (j *job) forwardStream(choice *routing.DirectChoice, response *upstream.Response) sendOutcome {
	memory := eventHold{j.newMemoryHold(), j.memoryWait}
	defer memory.release()
	reader := newEventReader(response.Body, memory)
	j.stream.order.beginResponse(j.lastEventID())
	first := true
	for {
		ev, err := reader.next(j.stream.delivered > 0)
		if errors.Is(err, io.EOF) {
			return j.streamEnded(choice, response)
		}
		if err != nil {
			j.stream.torn = j.stream.torn || len(ev.text) > 0
			return j.responseInterrupted(choice, err)
		}
		if ev.comments {
			if err := j.writeComments(ev); err != nil {
				j.outcome = "comments not written: " + err.Error()
				return delivered
			}
			continue
		}
		if first {
			first = false
			j.recordFirstToken()
		}
		forward, err := j.mayForward(choice, response, ev)
		if err != nil {
			return j.responseInterrupted(choice, err)
		}
		if !forward {
			continue
		}
		j.recordOrigin(choice)
		if err := j.writeEvent(response, ev); err != nil {
			j.outcome = "event not written: " + err.Error()
			return delivered
		}
	}
}

func (j *job) streamEnded(choice *routing.DirectChoice, response *upstream.Response) sendOutcome {
	if err := j.checkEnd(choice, response); err != nil {
		return j.responseInterrupted(choice, err)
	}
	if j.stream.delivered == 0 {
		// A stream without an event is no response.
		return indeterminate
	}
	if j.stream.torn {
		return j.responseInterrupted(choice, errNothingAfterTornEvent)
	}
	j.ended, j.complete, j.succeeded = true, true, true
	j.outcome = "streamed"
	return delivered
}

func (j *job) recordFirstToken() {
	s := j.gateway.state
	now := time.Now()
	j.firstEventAt = now
	s.mu.Lock()
	s.router.FirstToken(now, j.head.ID)
	s.mu.Unlock()
	j.notifyOwner(&jayv1.PlacementProgress{
		First: true, HasLoad: j.hasLoad, Running: uint32(max(0, j.load.Running)), Waiting: uint32(max(0, j.load.Waiting)), //nolint:gosec // positive
		SlowdownPercent: uint32(j.load.SlowdownPercent), //nolint:gosec // positive
	})
	j.stream.firstAfter = now.Sub(j.arrived)
	j.gateway.metrics.Time("first_token", j.routeLabel(), j.stream.firstAfter)
}

func (j *job) writeEvent(response *upstream.Response, ev event) error {
	if j.stream.delivered == 0 {
		j.copyHeader(j.gateway.ports.Dialect.ResponseHeader(response.Header))
		j.beginResponse(response.Status)
		if !j.route.Repeatable() {
			j.letBodyGo(response)
		}
	}
	if _, err := j.writer.Write(ev.text); err != nil {
		return err
	}
	j.stream.delivered++
	j.stream.torn = false
	j.stream.recordEvent(time.Now())
	if ev.id != "" {
		j.stream.lastID = ev.id
	}
	return http.NewResponseController(j.writer).Flush()
}

// writeComments sends comments between two events to a caller whose response has begun.
func (j *job) writeComments(ev event) error {
	if _, err := j.writer.Write(ev.text); err != nil {
		return err
	}
	return http.NewResponseController(j.writer).Flush()
}
