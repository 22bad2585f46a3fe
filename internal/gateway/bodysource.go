package gateway

import (
	"io"
	"net/http"
)

// bodySource is the body of a caller's request. Reading it can be given up without an error of
// the connection, after which nothing more could be read from it.
type bodySource struct {
	// body is all of it, bounded that up to the configured limit.
	body, bounded io.Reader
	// pipe and feed pass on what a goroutine reads, which ends with ended; nil: there is none.
	pipe  *io.PipeReader
	feed  *io.PipeWriter
	ended chan struct{}
}

// newBodySource returns the body of a request; limit 0: it has none.
func newBodySource(body io.ReadCloser, limit int64) *bodySource {
	s := &bodySource{body: body, bounded: body}
	if limit > 0 {
		s.bounded = http.MaxBytesReader(nil, body, limit)
	}
	return s
}

// Read implements io.Reader.
func (s *bodySource) Read(p []byte) (int, error) {
	if s.pipe != nil {
		return s.pipe.Read(p)
	}
	return s.bounded.Read(p)
}

// allowStop implements interruptible. From now on a goroutine reads the body.
func (s *bodySource) allowStop() {
	s.pipe, s.feed = io.Pipe()
	s.ended = make(chan struct{})
	go func() {
		defer close(s.ended)
		_, err := io.Copy(s.feed, s.bounded)
		_ = s.feed.CloseWithError(err)
	}()
}

// stopReading implements interruptible.
func (s *bodySource) stopReading() { _ = s.feed.CloseWithError(errGivesWay) }

// awaitEnd waits until nothing reads the body any more. It was read to its end, or to an error.
func (s *bodySource) awaitEnd() {
	if s.pipe != nil {
		<-s.ended
	}
}

// discard reads the rest of the body.
func (s *bodySource) discard() error {
	if s.pipe != nil {
		_ = s.pipe.Close()
	}
	s.awaitEnd()
	_, err := io.Copy(io.Discard, s.body)
	return err
}
