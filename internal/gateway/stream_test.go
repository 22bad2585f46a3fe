package gateway

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an event that is cut in two, and counts as whole, behind a line as long as
// the reader's buffer, and against an ID that is found inside such a line.
func TestAnEventEndsOnlyWithABlankLine(t *testing.T) {
	for name, line := range map[string]string{
		"short":                       "data: x",
		"as long as the buffer":       "data: " + strings.Repeat("x", eventReaderBytes-6),
		"twice as long":               "data: " + strings.Repeat("x", 2*eventReaderBytes-6),
		"as long with its CR":         "data: " + strings.Repeat("x", eventReaderBytes-7) + "\r",
		"the text id: after a buffer": "data: " + strings.Repeat("x", eventReaderBytes-6) + "id: 9",
	} {
		t.Run(name, func(t *testing.T) {
			text := "id: 1\n" + line + "\n\n"
			reader := newEventReader(strings.NewReader(text+text[:len(text)-1]), memoryOf(eventReaderBytes*8))
			first, err := reader.next(true)
			require.NoError(t, err)
			assert.Equal(t, text, string(first.text))
			assert.Equal(t, "1", first.id)
			_, err = reader.next(true)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "the second event lacks its blank line")
		})
	}
}

// eventBytes is memory for events.
type eventBytes struct{ left, held int64 }

func memoryOf(bytes int64) *eventBytes { return &eventBytes{left: bytes} }

func (m *eventBytes) claimMore(bytes int64) bool {
	if bytes > m.left {
		return false
	}
	m.left, m.held = m.left-bytes, m.held+bytes
	return true
}

func (m *eventBytes) release() { m.left, m.held = m.left+m.held, 0 }

// Guards against an event that is read beyond the memory of the process, and against memory that
// stays taken once the event is over.
func TestEventsAreReadWithinMemory(t *testing.T) {
	memory := memoryOf(64 << 10)
	long := "data: " + strings.Repeat("x", 20<<10) + "\n\n"
	reader := newEventReader(strings.NewReader(strings.Repeat(long, 10)+"data: "+strings.Repeat("x", 100<<10)), memory)
	for range 10 {
		ev, err := reader.next(true)
		require.NoError(t, err)
		assert.Equal(t, long, string(ev.text))
		assert.Positive(t, memory.held)
	}
	_, err := reader.next(true)
	require.ErrorIs(t, err, errNoEventMemory)
	reader.reset()
	assert.Zero(t, memory.held)
}

// Guards against comments that are held until an event comes, or lost, or split within a line.
func TestCommentsBetweenEventsArePassedOn(t *testing.T) {
	comments := strings.Repeat(": a comment\r\n", 2000)
	text := "id: 1\ndata: x\n\n" + comments + "id: 2\n" + comments + "data: y\n\n"
	reader := newEventReader(strings.NewReader(text), memoryOf(64<<10))
	var got strings.Builder
	var ids []string
	for {
		ev, err := reader.next(true)
		if err != nil {
			assert.ErrorIs(t, err, io.EOF)
			break
		}
		got.Write(ev.text)
		if ev.comments {
			assert.True(t, strings.HasSuffix(string(ev.text), "\n"))
			assert.Less(t, len(ev.text), 2*eventReaderBytes)
			continue
		}
		ids = append(ids, ev.id)
	}
	assert.Equal(t, text, got.String())
	assert.Equal(t, []string{"1", "2"}, ids)
	endless := newEventReader(strings.NewReader(strings.Repeat(": a comment\n", 1<<17)), memoryOf(0))
	for {
		if _, err := endless.next(true); err != nil {
			assert.ErrorIs(t, err, errEventTooLong, "comments without an event")
			break
		}
	}
}
