package entry_test

import (
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/entry"
)

// openHTTP10 sends a request of HTTP/1.0, whose response of unknown length ends with the
// connection, and returns the connection.
func openHTTP10(t *testing.T, e *entry.Entry, method, path, body string) net.Conn {
	t.Helper()
	return dialHTTP10(t, e.CallersURL(), method, path, body)
}

func dialHTTP10(t *testing.T, url, method, path, body string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	request := method + " " + path + " HTTP/1.0\r\nAuthorization: Bearer " + keyQuarry + "\r\n" +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	return conn
}

// Guards against a broken-off response to an HTTP/1.0 caller that ends like a complete one.
func TestBrokenResponseToHTTP10CallerEndsWithReset(t *testing.T) {
	s, agent, _ := serviceDeployment(t)
	scripted := func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
		emit("half")
		return &jayv1.End{Outcome: jayv1.Outcome_OUTCOME_UNKNOWN, Error: "service failed"}
	}
	agent.set(func(f *fakeAgent) { f.respond = scripted })
	conn := openHTTP10(t, s.entry("e1"), "GET", "/services/reservas/list", "")
	read, err := io.ReadAll(conn)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.NotContains(t, string(read), "done")
}

// Guards against a response that an entry breaks off as it closes and that an HTTP/1.0 caller
// takes for complete.
func TestResponseOfClosedEntryToHTTP10CallerEndsWithReset(t *testing.T) {
	s, agent, _ := serviceDeployment(t)
	scripted := func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
		emit("half")
		time.Sleep(2 * time.Second)
		return done()
	}
	agent.set(func(f *fakeAgent) { f.respond = scripted })
	e := s.entry("e1")
	conn := openHTTP10(t, e, "GET", "/services/reservas/list", "")
	readUntil(t, conn, "half")
	e.Close()
	_, err := io.ReadAll(conn)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a stream that ends without an error event or a reset for an HTTP/1.0 caller.
func TestStreamOfClosedEntryToHTTP10CallerEndsWithReset(t *testing.T) {
	s := newDeployment(t, "b1")
	s.agents[0].set(func(f *fakeAgent) { f.respond = paced(1000, 5*time.Millisecond) })
	e := s.entry("e1")
	conn := openHTTP10(t, e, "POST", chatPath, chatStream)
	readUntil(t, conn, "t1 ")
	e.Close()
	read, err := io.ReadAll(conn)
	if !strings.Contains(string(read), "event: error\n") {
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// Guards against a response that a caller did not read in time and that ends like a complete
// one, because the call runs to its end without its caller.
func TestUnreadResponseToHTTP10CallerEndsWithReset(t *testing.T) {
	s, agent, memory := serviceDeployment(t)
	long := strings.Repeat("x", 64<<10)
	scripted := func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
		for range 400 {
			emit(long)
		}
		return done()
	}
	agent.set(func(f *fakeAgent) { f.respond = scripted })
	e := s.entry("e1", withPlatform(memory), func(s *entry.Settings) { s.Timeouts.CallerWriteMS = 200 })
	conn := openHTTP10(t, e, "POST", confirmPath, "")
	require.Eventually(t, func() bool {
		return agent.count(func(f *fakeAgent) int { return int(f.acked) }) > 300 //nolint:gosec // a small number
	}, 8*time.Second, 10*time.Millisecond)
	// More than the buffers of the connection hold: the entry has given up on its caller.
	_, err := io.ReadAll(conn)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// A complete response to an HTTP/1.0 caller must not end with a reset.
func TestCompleteResponseToHTTP10CallerEndsInOrder(t *testing.T) {
	s, agent, _ := serviceDeployment(t)
	long := strings.Repeat("x", 64<<10)
	scripted := func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
		for range 40 {
			emit(long)
		}
		return done()
	}
	agent.set(func(f *fakeAgent) { f.respond = scripted })
	conn := openHTTP10(t, s.entry("e1"), "GET", "/services/reservas/list", "")
	time.Sleep(300 * time.Millisecond)
	read, err := io.ReadAll(conn)
	require.NoError(t, err)
	_, body, _ := strings.Cut(string(read), "\r\n\r\n")
	assert.Len(t, body, 40*len(long))
}

// readUntil reads until the text was received.
func readUntil(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	var read strings.Builder
	buffer := make([]byte, 256)
	for !strings.Contains(read.String(), text) {
		n, err := conn.Read(buffer)
		require.NoError(t, err, read.String())
		read.Write(buffer[:n])
	}
}

// Guards against an event of which a caller gets the first line only: chunks of engines may
// have line breaks between their JSON tokens.
func TestChunkWithLineBreaksArrivesWhole(t *testing.T) {
	s := newDeployment(t, "b1")
	scripted := func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
		emit("{\"choices\":[\n{\"delta\":\r\n{\"content\":\"whole\"}}]}")
		return done()
	}
	s.agents[0].set(func(f *fakeAgent) { f.respond = scripted })
	r := call(t, "POST", s.entry("e1").CallersURL()+chatPath, keyQuarry, chatStream)
	event, _, _ := strings.Cut(r.body, "\n\n")
	var data []string
	for line := range strings.SplitSeq(event, "\n") {
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			data = append(data, text)
		}
	}
	assert.JSONEq(t, `{"choices":[{"delta":{"content":"whole"}}]}`, strings.Join(data, "\n"), r.body)
	assert.NotContains(t, r.body, "\r")
}

// Guards against a broken-off response that ends with its last chunk, on a connection that is
// kept and on one that is closed.
func TestBrokenResponseHasNoLastChunk(t *testing.T) {
	s, agent, _ := serviceDeployment(t)
	scripted := func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
		emit("half")
		return &jayv1.End{Outcome: jayv1.Outcome_OUTCOME_UNKNOWN, Error: "service failed"}
	}
	agent.set(func(f *fakeAgent) { f.respond = scripted })
	e := s.entry("e1")
	for _, connection := range []string{"keep-alive", "close"} {
		r := call(t, "GET", e.CallersURL()+"/services/reservas/list", keyQuarry, "", "Connection", connection)
		assert.ErrorIs(t, r.err, io.ErrUnexpectedEOF, connection)
		assert.Equal(t, "half", r.body, connection)
	}
}

// Guards against a response that an entry breaks off as it closes and that ends with its last
// chunk or with a marker of completion.
func TestResponseOfClosedEntryHasNoLastChunk(t *testing.T) {
	s := newDeployment(t, "b1")
	s.agents[0].set(func(f *fakeAgent) { f.respond = paced(1000, 5*time.Millisecond) })
	e := s.entry("e1")
	response := open(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream)
	readEvents(t, response, 2)
	e.Close()
	rest, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	assert.NotContains(t, string(rest), "[DONE]")
	if !strings.Contains(string(rest), "event: error\n") {
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}
