package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/bodymemory"
)

const (
	// maxEventBytes bounds the size of one event, together with the comments before it.
	maxEventBytes    = 1 << 20
	eventReaderBytes = 4 << 10
	// commentBytes of comments between two events are returned at once.
	commentBytes = eventReaderBytes / 2
)

var (
	errEventTooLong = errors.New("event longer than 1 MiB")
	// errNoEventMemory: the process has no memory for the rest of an event.
	errNoEventMemory = errors.New("no memory for the rest of an event")
)

// event is one complete event, including the blank line that ends it.
type event struct {
	text []byte
	id   string
	// comments: the text is complete comment lines between two events, and no event.
	comments bool
}

// eventMemory is the memory for events that do not fit into eventReaderBytes.
type eventMemory interface {
	// claimMore asks for more bytes and waits for them for a while.
	claimMore(bytes int64) bool
	// release returns all bytes.
	release()
}

// eventReader reads complete events: a server that crashes may leave a
// truncated one, which must not reach the caller.
type eventReader struct {
	reader *bufio.Reader
	memory eventMemory
	// buffer holds the text of the event that is read; claimed: its size is claimed in memory.
	buffer  []byte
	claimed bool
	// passed is the size of the comments returned since the last event.
	passed int
}

// eventHold is the eventMemory of a request.
type eventHold struct {
	*memoryHold
	// wait returns how long the request may wait for memory.
	wait func() time.Duration
}

func (h eventHold) claimMore(bytes int64) bool {
	return h.claim(h.wait(), bytes) == bodymemory.Granted
}

func newEventReader(from io.Reader, memory eventMemory) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(from, eventReaderBytes), memory: memory}
}

// next returns the next event, whose text is valid until the next call. With passComments it
// returns comments between two events as they come instead of holding them: a server may send
// them for as long as it has no event.
func (e *eventReader) next(passComments bool) (event, error) {
	e.reset()
	var ev event
	for {
		start := len(e.buffer)
		err := e.appendLine()
		ev.text = e.buffer
		if err != nil {
			return ev, eventReadError(ev, err)
		}
		if size := e.passed + len(ev.text); size > maxEventBytes {
			return ev, eris.Wrapf(errEventTooLong, "read event: got %d bytes", size)
		}
		trimmed := bytes.TrimRight(ev.text[start:], "\r\n")
		if len(trimmed) == 0 {
			e.passed = 0
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
		passComments = passComments && trimmed[0] == ':'
		if passComments && len(ev.text) >= commentBytes {
			ev.comments = true
			e.passed += len(ev.text)
			return ev, nil
		}
	}
}

// reset drops the text of the event before.
func (e *eventReader) reset() {
	e.buffer = e.buffer[:0]
	if e.claimed {
		e.buffer, e.claimed = nil, false
		e.memory.release()
	}
}

// appendLine appends the next line to the event, including its newline.
func (e *eventReader) appendLine() error {
	for {
		part, err := e.reader.ReadSlice('\n')
		if growErr := e.grow(len(part)); growErr != nil {
			return growErr
		}
		e.buffer = append(e.buffer, part...)
		if !errors.Is(err, bufio.ErrBufferFull) || len(e.buffer) >= maxEventBytes {
			return err
		}
	}
}

// grow makes room for more bytes of the event.
func (e *eventReader) grow(more int) error {
	size := len(e.buffer) + more
	if size <= cap(e.buffer) {
		return nil
	}
	if size <= eventReaderBytes {
		size = max(size, min(2*cap(e.buffer), eventReaderBytes))
	} else {
		size = max(size, 2*cap(e.buffer))
		if !e.memory.claimMore(int64(size)) { // The smaller buffers are not freed at once.
			return eris.Wrapf(errNoEventMemory, "read event: got %d bytes", len(e.buffer)+more)
		}
		e.claimed = true
	}
	larger := make([]byte, len(e.buffer), size)
	copy(larger, e.buffer)
	e.buffer = larger
	return nil
}

func eventReadError(ev event, err error) error {
	if errors.Is(err, io.EOF) && len(ev.text) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
