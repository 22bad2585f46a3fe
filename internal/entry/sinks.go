package entry

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// errResponseTooLarge is returned for a buffered response beyond its size limit.
var errResponseTooLarge = errors.New("the response is longer than the limit")

// caller writes the response on a caller's connection.
type caller struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// unframed is the connection that ends a response of unknown length; nil if such a
	// response is chunked.
	unframed *net.TCPConn
	// writeTimeout limits the duration of one write.
	writeTimeout time.Duration
	id           string
	attempts     uint32
	started      bool
	firstChunkAt time.Time
	lastChunkAt  time.Time
	onToken      func(now time.Time, sincePrevious time.Duration)
}

func newCaller(w http.ResponseWriter, request *http.Request, id string, writeTimeout time.Duration) *caller {
	w.Header().Set(HeaderRequestID, id)
	return &caller{w: w, control: http.NewResponseController(w), unframed: unframedConn(request), writeTimeout: writeTimeout, id: id}
}

// Begin sets the number of the attempt for the response headers.
func (c *caller) Begin(a *attempt) { c.attempts = a.number }

// Started reports whether the status and headers were sent.
func (c *caller) Started() bool { return c.started }

// write sends bytes and flushes them. A caller that does not read within the
// write timeout is cut off, so that its stream does not occupy memory forever.
func (c *caller) write(parts ...[]byte) error {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	for _, part := range parts {
		if _, err := c.w.Write(part); err != nil {
			return err
		}
	}
	return c.control.Flush()
}

// start sends the status and headers of a response of unknown length.
func (c *caller) start(status int) {
	c.started = true
	c.resetOnClose()
	h := c.w.Header()
	h.Set(HeaderAttempts, strconv.Itoa(int(c.attempts)))
	h.Add("Trailer", HeaderOutcome)
	c.w.WriteHeader(status)
}

// token reports the time of a chunk to onToken.
func (c *caller) token() {
	now := time.Now()
	since := time.Duration(0)
	if c.firstChunkAt.IsZero() {
		c.firstChunkAt = now
	} else {
		since = now.Sub(c.lastChunkAt)
	}
	c.lastChunkAt = now
	if c.onToken != nil {
		c.onToken(now, since)
	}
}

// fail writes the error as the complete response.
func (c *caller) fail(e *Error) {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	c.w.Header().Set(HeaderAttempts, strconv.Itoa(int(c.attempts)))
	e.write(c.w, c.id)
}

// Parts of a server-sent event.
var (
	sseID      = []byte("id: ")
	sseData    = []byte("\ndata: ")
	sseEnd     = []byte("\n\n")
	sseDone    = []byte("data: [DONE]\n\n")
	sseError   = []byte("event: error\ndata: ")
	sseOutcome = []byte(": outcome=")
)

// sseSink writes chunks as server-sent events whose ids are sequence numbers.
type sseSink struct {
	*caller
	newToken func(*attempt) string
	current  *attempt
	event    []byte
}

// Begin sets the attempt whose resume token is sent in the response headers.
func (s *sseSink) Begin(a *attempt) {
	s.caller.Begin(a)
	s.current = a
}

// Head ignores the head: model responses have none.
func (s *sseSink) Head(*jayv1.ServiceHead) error { return nil }

// Chunk writes one event.
func (s *sseSink) Chunk(seq uint64, data []byte) error {
	if !s.started {
		s.open()
	}
	s.token()
	s.event = append(s.event[:0], sseID...)
	s.event = strconv.AppendUint(s.event, seq, 10)
	s.event = appendData(s.event, data)
	s.event = append(s.event, sseEnd...)
	return s.write(s.event)
}

// appendData appends data fields to an event: one for each line, since a line break would end
// the field.
func appendData(event, data []byte) []byte {
	for {
		end := bytes.IndexAny(data, "\r\n")
		if end < 0 {
			event = append(event, sseData...)
			return append(event, data...)
		}
		event = append(event, sseData...)
		event = append(event, data[:end]...)
		data = data[end+1:]
	}
}

func (s *sseSink) open() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	if s.current != nil {
		h.Set(HeaderResumeToken, s.newToken(s.current))
	}
	s.start(http.StatusOK)
}

// finish ends the stream with a completion marker or with an error event, so that
// a truncated stream can't be mistaken for a complete one.
func (s *sseSink) finish(r result) {
	if !s.started && r.err != nil {
		s.fail(r.err)
		return
	}
	if !s.started {
		s.open()
	}
	s.w.Header().Set(HeaderOutcome, OutcomeName(r.outcome))
	outcome := append(append(append([]byte{}, sseOutcome...), OutcomeName(r.outcome)...),
		" attempts="+strconv.Itoa(int(r.attempts))+"\n\n"...)
	if r.err != nil {
		s.complete(s.write(sseError, r.err.body(s.id), sseEnd, outcome))
		return
	}
	s.complete(s.write(outcome, sseDone))
}

// plainSink buffers a response until it is complete.
type plainSink struct {
	*caller
	limit int64
	body  []byte
}

// Begin discards the bytes of an earlier attempt.
func (s *plainSink) Begin(a *attempt) {
	s.caller.Begin(a)
	s.body = s.body[:0]
}

// Head ignores the head: model responses have none.
func (s *plainSink) Head(*jayv1.ServiceHead) error { return nil }

// Chunk appends to the buffered response.
func (s *plainSink) Chunk(_ uint64, data []byte) error {
	if int64(len(s.body)+len(data)) > s.limit {
		return errResponseTooLarge
	}
	s.token()
	s.body = append(s.body, data...)
	return nil
}

func (s *plainSink) finish(r result) {
	if r.err != nil {
		s.fail(r.err)
		return
	}
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderAttempts, strconv.Itoa(int(r.attempts)))
	h.Set(HeaderOutcome, OutcomeName(r.outcome))
	h.Set("Content-Length", strconv.Itoa(len(s.body)))
	_ = s.write(s.body)
}

// serviceSink streams a plain service's response to the caller.
type serviceSink struct {
	*caller
	head *jayv1.ServiceHead
	// runToEnd: the call continues to its end when the caller disconnects.
	runToEnd   bool
	callerGone bool
}

// Begin discards the head of an earlier attempt.
func (s *serviceSink) Begin(a *attempt) {
	s.caller.Begin(a)
	s.head = nil
}

// Head keeps the head until the first byte of the body: an attempt that ends
// before may be repeated.
func (s *serviceSink) Head(head *jayv1.ServiceHead) error {
	s.head = head
	return nil
}

// Chunk writes a piece of the body.
func (s *serviceSink) Chunk(_ uint64, data []byte) error {
	if !s.started {
		s.open()
	}
	s.token()
	if s.callerGone {
		return nil
	}
	err := s.write(data)
	if err != nil && s.runToEnd {
		s.callerGone = true
		return nil
	}
	return err
}

func (s *serviceSink) open() {
	h := s.w.Header()
	for _, header := range s.head.GetHeaders() {
		if forwardedToCaller(header.GetName()) {
			h.Add(header.GetName(), header.GetValue())
		}
	}
	s.start(int(max(s.head.GetStatus(), http.StatusOK)))
}

// finish ends the response. If the body can't be completed, the connection is
// aborted so that the caller can detect the truncated response.
func (s *serviceSink) finish(r result) {
	switch {
	case r.err != nil && !s.started:
		s.fail(r.err)
	case r.err != nil, s.callerGone:
		panic(http.ErrAbortHandler)
	default:
		if !s.started {
			s.open()
		}
		s.w.Header().Set(HeaderOutcome, OutcomeName(r.outcome))
		s.complete(s.write())
	}
}
