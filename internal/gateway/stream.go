package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

const (
	// maxEventBytes of one event.
	maxEventBytes    = 1 << 20
	eventReaderBytes = 4 << 10
)

var errEventTooLong = errors.New("event too long")

// streamState is how far the caller's stream has come.
type streamState struct {
	// delivered counts the events that the caller was sent.
	delivered int
	// firstAfter is how long after the request the first event came.
	firstAfter time.Duration
	// lastID of them, as the server wrote it.
	lastID string
	// lastAt is when the last of them came, longestGap the longest pause between
	// two: a caller waits for the next event as for the first.
	lastAt     time.Time
	longestGap time.Duration
}

// noteGap takes in that an event came.
func (s *streamState) recordEvent(now time.Time) {
	if !s.lastAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// event is one whole event, with the blank line that ends it.
type event struct {
	text []byte
	id   string
}

// events reads whole events: a server that dies may leave half of one, which
// must not reach the caller.
type eventReader struct{ reader *bufio.Reader }

func (e *eventReader) next() (event, error) {
	var one event
	for {
		line, err := e.reader.ReadSlice('\n')
		one.text = append(one.text, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(one.text) < maxEventBytes {
			continue
		}
		if err != nil {
			return one, eventReadError(one, err)
		}
		if len(one.text) > maxEventBytes {
			return one, eris.Wrapf(errEventTooLong, "%d bytes", len(one.text))
		}
		whole := bytes.TrimRight(line, "\r\n")
		if len(whole) == 0 {
			return one, nil
		}
		if id, ok := strings.CutPrefix(string(whole), "id:"); ok {
			one.id = strings.TrimSpace(id)
		}
	}
}

func eventReadError(one event, err error) error {
	if errors.Is(err, io.EOF) && len(one.text) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// relay forwards a stream event by event.
func (j *job) forwardStream(choice *routing.DirectChoice, response *upstream.Response) sendOutcome {
	source := eventReader{bufio.NewReaderSize(response.Body, eventReaderBytes)}
	first := true
	for {
		one, err := source.next()
		if errors.Is(err, io.EOF) {
			return j.streamEnded()
		}
		if err != nil {
			return j.responseInterrupted(choice, err)
		}
		if first {
			first = false
			j.recordFirstToken()
		}
		if j.isDuplicate(one) {
			continue
		}
		if err := j.writeEvent(response, one); err != nil {
			j.outcome = "caller not reached: " + err.Error()
			return delivered
		}
	}
}

func (j *job) streamEnded() sendOutcome {
	if j.stream.delivered == 0 {
		// A stream without an event answers nothing.
		return indeterminate
	}
	j.complete = true
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
	})
	j.stream.firstAfter = now.Sub(j.arrived)
	j.gateway.metrics.Time("first_token", j.routeLabel(), j.stream.firstAfter)
}

// hadAlready tells whether the caller has the event: a run that goes on
// elsewhere may begin with one that it had.
func (j *job) isDuplicate(one event) bool {
	if j.stream.lastID == "" || one.id == "" || j.sends == 1 {
		return false
	}
	had, errHad := strconv.ParseInt(j.stream.lastID, 10, 64)
	id, errID := strconv.ParseInt(one.id, 10, 64)
	return errHad == nil && errID == nil && id <= had
}

func (j *job) writeEvent(response *upstream.Response, one event) error {
	if j.stream.delivered == 0 {
		j.copyHeader(j.gateway.ports.Dialect.ResponseHeader(response.Header))
		j.writer.WriteHeader(response.Status)
	}
	if _, err := j.writer.Write(one.text); err != nil {
		return err
	}
	j.stream.delivered++
	j.stream.recordEvent(time.Now())
	if one.id != "" {
		j.stream.lastID = one.id
	}
	return http.NewResponseController(j.writer).Flush()
}
