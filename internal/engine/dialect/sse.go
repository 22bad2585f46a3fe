package dialect

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/engine"
)

const (
	// readBufferSize is the size of a stream's buffer, in bytes.
	readBufferSize = 8 << 10
	// maxLine bounds one line of an engine's stream, in bytes.
	maxLine = 4 << 20
)

// sseEvent is one server-sent event. Its data is a copy, which later reads do not
// overwrite.
type sseEvent struct {
	id   string
	kind string
	data []byte
}

// sseReader reads server-sent events.
type sseReader struct {
	lines *bufio.Reader
}

func newSSEReader(r io.Reader) *sseReader {
	return &sseReader{lines: bufio.NewReaderSize(r, readBufferSize)}
}

// next returns the next event that has data. It returns io.EOF at the end of the
// input and io.ErrUnexpectedEOF when the input ends inside an event.
func (r *sseReader) next() (sseEvent, error) {
	var event sseEvent
	started := false
	for {
		line, err := readLine(r.lines)
		if err != nil {
			if errors.Is(err, io.EOF) && started {
				return event, io.ErrUnexpectedEOF
			}
			return event, err
		}
		if len(line) == 0 {
			if event.data != nil {
				return event, nil
			}
			event, started = sseEvent{}, false
			continue
		}
		started = true
		event.field(line)
	}
}

func (e *sseEvent) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id = string(value)
	case "event":
		e.kind = string(value)
	case "data":
		if e.data == nil {
			e.data = append(make([]byte, 0, len(value)), value...)
			return
		}
		e.data = append(e.data, '\n')
		e.data = append(e.data, value...)
	}
}

// readLine returns a line without its line ending. It returns
// io.ErrUnexpectedEOF for a last line without one, since the input was then
// truncated.
func readLine(r *bufio.Reader) ([]byte, error) {
	var long []byte
	for {
		piece, err := r.ReadSlice('\n')
		if len(long)+len(piece) > maxLine {
			return nil, eris.Wrap(ErrMalformed, "line longer than 4 MiB")
		}
		switch {
		case err == nil && long == nil:
			return bytes.TrimRight(piece, "\r\n"), nil
		case err == nil:
			return bytes.TrimRight(append(long, piece...), "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
			long = append(long, piece...)
		case errors.Is(err, io.EOF) && len(long)+len(piece) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// stream is a streamed response. decode converts a server-sent event into an
// engine event; ok is false for events that carry no data for the reader.
type stream struct {
	body   io.ReadCloser
	events *sseReader
	decode func(sseEvent) (event engine.Event, ok bool, err error)
	ended  bool
}

// Next implements engine.Stream. After the last event it returns io.EOF. The
// context of Submit bounds the read as well.
func (s *stream) Next(ctx context.Context) (engine.Event, error) {
	if s.ended {
		return engine.Event{}, io.EOF
	}
	// Closing the body is the only way to end a blocked read.
	stop := context.AfterFunc(ctx, func() { _ = s.body.Close() })
	defer stop()
	for {
		wire, err := s.events.next()
		if ctx.Err() != nil {
			return engine.Event{}, ctx.Err()
		}
		if err != nil {
			return engine.Event{}, eris.Wrapf(engine.ErrInterrupted, "stream: %v", err)
		}
		event, ok, err := s.decode(wire)
		if err != nil {
			return engine.Event{}, errors.Join(engine.ErrInterrupted, err)
		}
		if ok {
			s.ended = event.Last
			return event, nil
		}
	}
}

// Close implements engine.Stream.
func (s *stream) Close() error { return s.body.Close() }

// completeStream is the stream of a response that was not streamed: a single
// event.
type completeStream struct {
	event     engine.Event
	delivered bool
}

// Next implements engine.Stream.
func (s *completeStream) Next(ctx context.Context) (engine.Event, error) {
	if s.delivered {
		return engine.Event{}, io.EOF
	}
	if ctx.Err() != nil {
		return engine.Event{}, ctx.Err()
	}
	s.delivered = true
	return s.event, nil
}

// Close implements engine.Stream.
func (s *completeStream) Close() error { return nil }
