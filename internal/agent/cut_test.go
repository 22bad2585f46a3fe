package agent_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// cutAnswer is the part of a response that is sent before its connection ends.
type cutAnswer struct {
	text  string
	reset bool
	pause time.Duration
}

// cutService answers requests for /before whole, on a connection that is kept, and others with
// the current answer.
func cutService(t *testing.T, current *atomic.Pointer[cutAnswer]) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/before" {
			_, _ = io.WriteString(w, "before")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if !assert.NoError(t, err) {
			return
		}
		a := current.Load()
		_, _ = io.WriteString(conn, a.text)
		time.Sleep(a.pause)
		if a.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// breakOff calls try with each part of a response, every other time with a reset at its end.
func breakOff(text string, current *atomic.Pointer[cutAnswer], try func(after int)) {
	for after := range len(text) {
		a := &cutAnswer{text: text[:after], reset: after%2 == 1}
		if after%8 == 0 {
			a.pause = time.Millisecond
		}
		current.Store(a)
		try(after)
	}
	current.Store(&cutAnswer{text: text})
}

// serviceResponses are whole responses of a service.
var serviceResponses = map[string]string{
	"length":       "HTTP/1.1 201 Created\r\nX-Answer: a\r\nContent-Length: 4\r\n\r\nbody",
	"no content":   "HTTP/1.1 204 No Content\r\nX-Answer: a\r\n\r\n",
	"chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
	"trailer":      "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n04;a=b\r\nbody\r\n0\r\nSum: 1\r\n\r\n",
	"after 100":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"after 103":    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.0":     "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"event stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n",
}

// Guards against a response that a service broke off, in any head, chunk or trailer, and that is
// passed on as a whole one.
func TestAServiceResponseThatBreaksOffIsNotDone(t *testing.T) {
	for name, text := range serviceResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var current atomic.Pointer[cutAnswer]
			fix := newServiceFixture(t, cutService(t, &current), nil)
			get := func(id, method, path string) response {
				offer := callOffer(id, method, path)
				offer.NonRepeatable = method == http.MethodPost
				return readResponse(t, fix.accepted(offer, ""))
			}
			breakOff(text, &current, func(after int) {
				if after%4 == 0 {
					require.Equal(t, jayv1.Outcome_OUTCOME_DONE, get(fmt.Sprint("b", after), http.MethodGet, "/before").end.GetOutcome())
				}
				methods := []string{http.MethodGet, http.MethodPost}
				for _, method := range methods[:1+after/2%2] {
					got := get(fmt.Sprint(method, after), method, "/list")
					require.Equal(t, jayv1.Outcome_OUTCOME_UNKNOWN, got.end.GetOutcome(), "%s: %q", method, text[:after])
				}
			})
			assert.Equal(t, jayv1.Outcome_OUTCOME_DONE, get("whole", http.MethodGet, "/list").end.GetOutcome())
		})
	}
}

// Guards against a change of protocol that nobody has asked for and that is passed on as a whole
// response: nothing but the end of the connection ends what follows it.
func TestASwitchOfProtocolsByAServiceIsNotDone(t *testing.T) {
	for name, rest := range map[string]string{"nothing": "", "a head in part": "HTTP/1.1 200 OK\r\nX-An", "a response": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"} {
		t.Run(name, func(t *testing.T) {
			fix := newServiceFixture(t, answerRaw(t, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: a\r\n\r\n"+rest), nil)
			got := readResponse(t, fix.accepted(callOffer("r1", http.MethodGet, "/list"), ""))
			assert.Equal(t, jayv1.Outcome_OUTCOME_UNKNOWN, got.end.GetOutcome(), "status %d, body %q", got.head.GetStatus(), got.chunks)
			assert.Empty(t, got.chunks)
		})
	}
}

// Guards against a response being passed on whose status is none.
func TestAResponseOfAServiceWithAnInvalidStatusIsNotDone(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		t.Run(status, func(t *testing.T) {
			fix := newServiceFixture(t, answerRaw(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok"), nil)
			got := readResponse(t, fix.accepted(callOffer("r1", http.MethodGet, "/list"), ""))
			assert.Equal(t, jayv1.Outcome_OUTCOME_UNKNOWN, got.end.GetOutcome(), "status %d, body %q", got.head.GetStatus(), got.chunks)
			assert.Empty(t, got.chunks)
		})
	}
}
