package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes    = 1 << 20
	eventReaderBytes = 4 << 10
)

var (
	errEventTooLong = errors.New("event longer than 1 MiB")
	// errNothingAfterTornEvent: a server ends a stream in order where another broke off
	// inside the next event.
	errNothingAfterTornEvent = errors.New("the stream ends before an event that another server had begun to send")
)

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

// event is one complete event, including the blank line that ends it.
type event struct {
	text []byte
	id   string
}

// eventReader reads complete events: a server that crashes may leave a
// truncated one, which must not reach the caller.
type eventReader struct{ reader *bufio.Reader }

func (e *eventReader) next() (event, error) {
	var ev event
	for {
		start := len(ev.text)
		if err := e.appendLine(&ev); err != nil {
			return ev, eventReadError(ev, err)
		}
		if len(ev.text) > maxEventBytes {
			return ev, eris.Wrapf(errEventTooLong, "read event: got %d bytes", len(ev.text))
		}
		trimmed := bytes.TrimRight(ev.text[start:], "\r\n")
		if len(trimmed) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}

// appendLine appends the next line to the event, including its newline.
func (e *eventReader) appendLine(ev *event) error {
	for {
		part, err := e.reader.ReadSlice('\n')
		ev.text = append(ev.text, part...)
		if !errors.Is(err, bufio.ErrBufferFull) || len(ev.text) >= maxEventBytes {
			return err
		}
	}
}

func eventReadError(ev event, err error) error {
	if errors.Is(err, io.EOF) && len(ev.text) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// forwardStream forwards a stream event by event.
func (j *job) forwardStream(choice *routing.DirectChoice, response *upstream.Response) sendOutcome {
	reader := eventReader{bufio.NewReaderSize(response.Body, eventReaderBytes)}
	j.stream.order.beginResponse(j.lastEventID())
	first := true
	for {
		ev, err := reader.next()
		if errors.Is(err, io.EOF) {
			return j.streamEnded(choice, response)
		}
		if err != nil {
			j.stream.torn = j.stream.torn || len(ev.text) > 0
			return j.responseInterrupted(choice, err)
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
