package agent_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// answerRaw writes a response to the connection of a request and closes it in order.
func answerRaw(t *testing.T, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if assert.NoError(t, err) {
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}
}

// Guards against a response without length or chunks that its service broke off and that is
// reported as complete: it ends like a complete one.
func TestServiceResponseThatEndsWithItsConnectionIsNotDone(t *testing.T) {
	for name, head := range map[string]string{
		"HTTP/1.0": "HTTP/1.0 200 OK\r\n", "HTTP/1.1": "HTTP/1.1 200 OK\r\nConnection: close\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			fix := newServiceFixture(t, answerRaw(t, head+"Content-Type: text/csv\r\n\r\na,b\n1,"), nil)
			got := readResponse(t, fix.accepted(callOffer("r1", http.MethodGet, "/list"), ""))
			assert.Equal(t, "a,b\n1,", strings.Join(got.chunks, ""))
			assert.Equal(t, jayv1.Outcome_OUTCOME_UNKNOWN, got.end.GetOutcome())
			assert.Contains(t, got.end.GetError(), "6 bytes")
		})
	}
}

// Guards against a complete response that is reported as broken off, because its end needs
// neither length nor chunks.
func TestServiceResponseWithKnownEndIsDone(t *testing.T) {
	for name, text := range map[string]string{
		"length":     "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"empty":      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		"chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"no content": "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			fix := newServiceFixture(t, answerRaw(t, text), nil)
			got := readResponse(t, fix.accepted(callOffer("r1", http.MethodGet, "/list"), ""))
			assert.Equal(t, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome(), got.end.GetError())
		})
	}
	t.Run("head", func(t *testing.T) {
		fix := newServiceFixture(t, answerRaw(t, "HTTP/1.0 200 OK\r\n\r\n"), nil)
		got := readResponse(t, fix.accepted(callOffer("r1", http.MethodHead, "/list"), ""))
		assert.Equal(t, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome(), got.end.GetError())
	})
}

// Guards against a response shorter than its length, or without its last chunk, that is
// reported as complete.
func TestServiceResponseCutShortIsNotDone(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			fix := newServiceFixture(t, answerRaw(t, text), nil)
			got := readResponse(t, fix.accepted(callOffer("r1", http.MethodGet, "/list"), ""))
			assert.Equal(t, jayv1.Outcome_OUTCOME_UNKNOWN, got.end.GetOutcome())
		})
	}
}
