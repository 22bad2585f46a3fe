package gateway

import (
	"bufio"
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
			reader := eventReader{bufio.NewReaderSize(strings.NewReader(text+text[:len(text)-1]), eventReaderBytes)}
			first, err := reader.next()
			require.NoError(t, err)
			assert.Equal(t, text, string(first.text))
			assert.Equal(t, "1", first.id)
			_, err = reader.next()
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "the second event lacks its blank line")
		})
	}
}
