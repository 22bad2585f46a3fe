package entry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// errAnswerTooLarge ends an answer that would have to be held whole beyond its bound.
var errAnswerTooLarge = errors.New("the answer is longer than the limit")

// caller is the writing side of a caller's connection.
type caller struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// patience is how long one write may take.
	patience time.Duration
	id       string
	attempts uint32
	started  bool
	first    time.Time
	last     time.Time
	onToken  func(now time.Time, sincePrevious time.Duration)
}

func newCaller(w http.ResponseWriter, id string, patience time.Duration) *caller {
	w.Header().Set(HeaderRequestID, id)
	return &caller{w: w, control: http.NewResponseController(w), patience: patience, id: id}
}

// Begin notes the attempt.
func (c *caller) Begin(a *attempt) { c.attempts = a.number }

// Started is true once the head went out.
func (c *caller) Started() bool { return c.started }

// write sends bytes at once. A reader that takes none for longer than the
// patience gets cut off: its stream must not hold memory for ever.
func (c *caller) write(parts ...[]byte) error {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.patience))
	for _, part := range parts {
		if _, err := c.w.Write(part); err != nil {
			return err
		}
	}
	return c.control.Flush()
}

func (c *caller) start(status int) {
	c.started = true
	h := c.w.Header()
	h.Set(HeaderAttempts, strconv.Itoa(int(c.attempts)))
	h.Add("Trailer", HeaderOutcome)
	c.w.WriteHeader(status)
}

// token notes the time of a chunk for the histograms.
func (c *caller) token() {
	now := time.Now()
	since := time.Duration(0)
	if c.first.IsZero() {
		c.first = now
	} else {
		since = now.Sub(c.last)
	}
	c.last = now
	if c.onToken != nil {
		c.onToken(now, since)
	}
}

// fail writes the error as the whole answer.
func (c *caller) fail(e *Error) {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.patience))
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

// sseSink writes chunks as server-sent events, their ids being the sequence.
type sseSink struct {
	*caller
	mint func(*attempt) string
	now  *attempt
	line []byte
}

// Begin notes the attempt whose token the head will carry.
func (s *sseSink) Begin(a *attempt) {
	s.caller.Begin(a)
	s.now = a
}

// Head is ignored: a model's answer has none.
func (s *sseSink) Head(*jayv1.ServiceHead) error { return nil }

// Chunk writes one event.
func (s *sseSink) Chunk(seq uint64, data []byte) error {
	if !s.started {
		s.open()
	}
	s.token()
	s.line = append(s.line[:0], sseID...)
	s.line = strconv.AppendUint(s.line, seq, 10)
	s.line = append(s.line, sseData...)
	s.line = append(s.line, data...)
	s.line = append(s.line, sseEnd...)
	return s.write(s.line)
}

func (s *sseSink) open() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	if s.now != nil {
		h.Set(HeaderResumeToken, s.mint(s.now))
	}
	s.start(http.StatusOK)
}

// finish ends the stream: whole, or with an explicit error event, so that a
// stream that was cut is never taken for a complete one.
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
		_ = s.write(sseError, r.err.body(s.id), sseEnd, outcome)
		return
	}
	_ = s.write(outcome, sseDone)
}

// plainSink holds an answer until it is whole.
type plainSink struct {
	*caller
	limit int64
	body  []byte
}

// Begin drops what an earlier attempt left behind: an answer never mixes two.
func (s *plainSink) Begin(a *attempt) {
	s.caller.Begin(a)
	s.body = s.body[:0]
}

// Head is ignored: a model's answer has none.
func (s *plainSink) Head(*jayv1.ServiceHead) error { return nil }

// Chunk appends to the answer.
func (s *plainSink) Chunk(_ uint64, data []byte) error {
	if int64(len(s.body)+len(data)) > s.limit {
		return errAnswerTooLarge
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

// serviceSink passes a plain service's answer on as it comes.
type serviceSink struct {
	*caller
	head *jayv1.ServiceHead
	// finishAnyway: the call goes on to its end when the caller is gone.
	finishAnyway bool
	gone         bool
}

// Begin forgets the head of an earlier attempt.
func (s *serviceSink) Begin(a *attempt) {
	s.caller.Begin(a)
	s.head = nil
}

// Head is kept until the first byte: an attempt that ends before may be repeated.
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
	if s.gone {
		return nil
	}
	err := s.write(data)
	if err != nil && s.finishAnyway {
		s.gone = true
		return nil
	}
	return err
}

func (s *serviceSink) open() {
	h := s.w.Header()
	for _, header := range s.head.GetHeaders() {
		if passesBack(header.GetName()) {
			h.Add(header.GetName(), header.GetValue())
		}
	}
	s.start(int(max(s.head.GetStatus(), http.StatusOK)))
}

// finish ends the answer. A body that can't be completed has no place for an
// error: the connection is cut, so that the caller sees a short answer as broken.
func (s *serviceSink) finish(r result) {
	switch {
	case r.err != nil && !s.started:
		s.fail(r.err)
	case r.err != nil:
		panic(http.ErrAbortHandler)
	default:
		if !s.started {
			s.open()
		}
		s.w.Header().Set(HeaderOutcome, OutcomeName(r.outcome))
	}
}
