package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/responselimit"
)

// maxHeadRead is the promised bound on the bytes that are read of a head.
const maxHeadRead = 64 << 10

// sendTo sends a request over a connection without buffers, so that the bytes that answer
// writes are those that were read. answer runs after the request has been read.
func sendTo(t *testing.T, headTime time.Duration, answer func(w io.Writer)) (*Response, *atomic.Int64, error) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	written := &atomic.Int64{}
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			answer(&countingWriter{far, written})
		}
	}()
	limited := &limitedReader{conn: near}
	c := &conn{Conn: near, reader: bufio.NewReaderSize(limited, readBufferBytes), limited: limited}
	request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, HeadTime: headTime}
	response, err := c.exchange(t.Context(), request, func(h http.Header) bool { return h.Get("Id") == "1" })
	return response, written, err
}

type countingWriter struct {
	to    io.Writer
	count *atomic.Int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.count.Add(int64(n))
	return n, err
}

// endless writes a text and then a piece again and again until the reader closes.
func endless(text, piece string) func(io.Writer) {
	return func(w io.Writer) {
		_, err := io.WriteString(w, text)
		for err == nil {
			_, err = io.WriteString(w, piece)
		}
	}
}

const okHead = "HTTP/1.1 200 OK\r\nId: 1\r\n"

// Guards against a head without end that is read until the memory is used up.
func TestAHeadWithoutEndIsReadUpToItsBound(t *testing.T) {
	kilobyte := strings.Repeat("x", 1<<10)
	for name, one := range map[string]struct {
		answer func(io.Writer)
		bound  responselimit.Bound
	}{
		"status line":                {endless("HTTP/1.1 200 ", kilobyte), responselimit.StatusLine},
		"header line":                {endless(okHead+"Long: ", kilobyte), responselimit.Head},
		"continued header line":      {endless(okHead+"Long: ", kilobyte+"\r\n "), responselimit.Head},
		"header fields":              {endless(okHead, "Field: x\r\n"), responselimit.Head},
		"interim responses":          {endless("", "HTTP/1.1 102 Processing\r\n\r\n"), responselimit.InterimResponses},
		"long interim responses":     {endless("", "HTTP/1.1 103 Early Hints\r\nLink: "+kilobyte+"\r\n\r\n"), responselimit.Head},
		"interim response":           {endless("HTTP/1.1 103 Early Hints\r\n", "Link: "+kilobyte+"\r\n"), responselimit.Head},
		"second head after a stray":  {endless("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n"+okHead, "Field: x\r\n"), responselimit.Head},
		"no line at all, zero bytes": {endless("", strings.Repeat("\x00", 512)), responselimit.StatusLine},
	} {
		t.Run(name, func(t *testing.T) {
			_, read, err := sendTo(t, 0, one.answer)
			require.ErrorIs(t, err, ErrInvalidResponse)
			bound, _ := responselimit.Exceeded(err)
			assert.Equal(t, one.bound, bound, "%v", err)
			assert.Less(t, read.Load(), int64(maxHeadRead))
		})
	}
}

// Guards against a stray response without end that is read until the deadline.
func TestAStrayResponseWithoutEndIsReadUpToItsBound(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 4<<10, strings.Repeat("x", 4<<10))
	_, read, err := sendTo(t, 0, endless("HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", chunk))
	bound, _ := responselimit.Exceeded(err)
	assert.Equal(t, responselimit.DiscardedBody, bound, "%v", err)
	assert.Less(t, read.Load(), int64(responselimit.MaxDiscardedBytes+maxHeadRead))
}

// Guards against bounds that refuse what servers may send: a long head, several interim
// responses, a long body.
func TestResponsesWithinTheBoundsAreRead(t *testing.T) {
	const body = 4 << 20
	_, _, err := sendTo(t, time.Second, func(w io.Writer) {
		for range responselimit.MaxInterimResponses {
			_, _ = io.WriteString(w, "HTTP/1.1 102 Processing\r\n\r\n")
		}
		_, _ = io.WriteString(w, okHead+"Content-Length: 0\r\n\r\n")
	})
	require.NoError(t, err)
	response, _, err := sendTo(t, time.Second, func(w io.Writer) {
		_, _ = io.WriteString(w, okHead+"Long: "+strings.Repeat("x", 24<<10)+fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", body))
		_, _ = w.Write(bytes.Repeat([]byte("x"), body))
	})
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	assert.EqualValues(t, body, n)
}

// slowly writes a text in small pieces.
func slowly(w io.Writer, text string, pause time.Duration) {
	for len(text) > 0 {
		if _, err := io.WriteString(w, text[:1]); err != nil {
			return
		}
		text = text[1:]
		time.Sleep(pause)
	}
}

// Guards against a slow head that uses up a request's whole time, and against one that is cut
// off where no other server may respond.
func TestASlowHeadIsCutOffOnlyWithABound(t *testing.T) {
	slow := func(w io.Writer) { slowly(w, okHead+"Content-Length: 0\r\n\r\n", 20*time.Millisecond) }
	started := time.Now()
	_, _, err := sendTo(t, responselimit.HeadTime, slow)
	took := time.Since(started)
	bound, _ := responselimit.Exceeded(err)
	assert.Equal(t, responselimit.HeadDuration, bound, "%v", err)
	assert.GreaterOrEqual(t, took, responselimit.HeadTime)
	assert.Less(t, took, 4*responselimit.HeadTime)
	response, _, err := sendTo(t, 0, slow)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.Status)
}

// Guards against a busy server whose response is given up: it sends nothing until it has run
// the request, also after an interim response, and its body may take long.
func TestTheWaitForAHeadAndABodyIsNotBounded(t *testing.T) {
	const wait = 3 * responselimit.HeadTime
	for name, interim := range map[string]string{"silent": "", "interim response": "HTTP/1.1 102 Processing\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			response, _, err := sendTo(t, responselimit.HeadTime, func(w io.Writer) {
				_, _ = io.WriteString(w, interim)
				time.Sleep(wait)
				_, _ = io.WriteString(w, okHead+"Content-Length: 2\r\n\r\no")
				time.Sleep(wait)
				_, _ = io.WriteString(w, "k")
			})
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, "ok", string(body))
		})
	}
}

// Guards against a head that had arrived in time and is given up because this process stood
// still: the deadline is over when it runs again.
func TestAHeadThatArrivedWhileTheProcessStoodStillIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer near.Close()
	far, err := l.Accept()
	require.NoError(t, err)
	defer far.Close()
	_, _ = io.WriteString(far, okHead)
	limited := &limitedReader{conn: near}
	c := &conn{Conn: near, reader: bufio.NewReader(limited), limited: limited}
	_, err = c.reader.Peek(len(okHead))
	require.NoError(t, err)
	_, _ = io.WriteString(far, "Content-Length: 0\r\n\r\n")
	limited.limit(responselimit.Head, responselimit.MaxHeadBytes)
	limited.deadline(time.Nanosecond)
	time.Sleep(10 * time.Millisecond)
	head, err := http.ReadResponse(c.reader, nil) //nolint:bodyclose // no body
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, head.StatusCode)
}

// Guards against a body that nobody needs and that is waited for, and against a connection
// that is kept although bytes of it are to come.
func TestADiscardedBodyIsNotWaitedFor(t *testing.T) {
	head := "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\n"
	for name, one := range map[string]struct {
		answer func(io.Writer)
		ended  bool
	}{
		"empty": {func(w io.Writer) { _, _ = io.WriteString(w, head+"Content-Length: 0\r\n\r\n") }, true},
		"short": {func(w io.Writer) { _, _ = io.WriteString(w, head+"Content-Length: 4\r\n\r\nfull") }, true},
		"slow": {func(w io.Writer) {
			slowly(w, head+"Content-Length: 400\r\n\r\n", 0)
			slowly(w, strings.Repeat("x", 400), 50*time.Millisecond)
		}, false},
		"without end": {endless(head+"\r\n", strings.Repeat("x", 1<<10)), false},
	} {
		t.Run(name, func(t *testing.T) {
			response, read, err := sendTo(t, 0, one.answer)
			require.NoError(t, err)
			started := time.Now()
			_, exceeded := responselimit.Exceeded(response.Discard())
			assert.Equal(t, one.ended, !exceeded)
			assert.Less(t, time.Since(started), 500*time.Millisecond)
			assert.Equal(t, one.ended, response.ended.Load())
			assert.LessOrEqual(t, read.Load(), int64(responselimit.MaxDiscardedBytes+maxHeadRead))
		})
	}
}

// Guards against a kept connection whose next exchange has the read deadline or the bound of
// the one before.
func TestBoundsEndWithTheirExchange(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		reader := bufio.NewReader(c)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprintf(c, okHead+"Long: %s\r\nContent-Length: 2\r\n\r\nok", strings.Repeat("x", 20<<10))
		}
	}()
	pool := NewPool(time.Second, time.Second)
	for range 4 {
		request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, HeadTime: responselimit.HeadTime}
		response, err := pool.Send(context.Background(), l.Addr().String(), request, ReusePolicy{MaxIdle: time.Second}, func(http.Header, bool) bool { return true })
		require.NoError(t, err)
		require.NoError(t, response.Discard())
		response.KeepFor(time.Second)
		response.Close()
	}
	assert.EqualValues(t, 1, pool.Opened())
}

// Guards against a failed response that uses up a request's whole time, and against a connection
// that keeps the bound for the next response.
func TestASlowBodyIsCutOffOnlyWithABound(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 9\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n9\r\n"} {
		t.Run(name, func(t *testing.T) {
			slow := func(w io.Writer) {
				_, _ = io.WriteString(w, okHead+framing)
				slowly(w, "body here\r\n0\r\n\r\n", responselimit.FailedTime/4)
			}
			response, _, err := sendTo(t, 0, slow)
			require.NoError(t, err)
			started := time.Now()
			lift := response.BodyWithin(responselimit.FailedTime)
			_, err = io.ReadAll(response.Body)
			bound, _ := responselimit.Exceeded(err)
			assert.Equal(t, responselimit.FailedDuration, bound, "%v", err)
			assert.Less(t, time.Since(started), 3*responselimit.FailedTime)
			lift()

			response, _, err = sendTo(t, 0, slow)
			require.NoError(t, err)
			response.BodyWithin(responselimit.FailedTime)()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, "body here", string(body))
		})
	}
}
