package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/upstream"
)

// server starts a server and returns its address. It calls script for each request of
// a connection, with its number n from 1, and closes the connection if script returns
// false.
func server(t *testing.T, script func(n int, r *http.Request, c net.Conn) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil || !script(n, r, c) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func reply(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(p *upstream.Pool, address, id, body string) (string, *upstream.Response, error) {
	request := &upstream.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body)}
	response, err := p.Send(context.Background(), address, request, upstream.ReusePolicy{MaxIdle: time.Second},
		func(h http.Header, _ bool) bool { return h.Get("Id") == id })
	if err != nil {
		return "", nil, err
	}
	defer response.Close()
	text, err := io.ReadAll(response.Body)
	response.KeepFor(time.Second)
	return string(text), response, err
}

func newPool() *upstream.Pool { return upstream.NewPool(time.Second, time.Second) }

func TestAConnectionIsUsedAgain(t *testing.T) {
	address := server(t, func(_ int, r *http.Request, c net.Conn) bool { reply(c, r.Header.Get("Id"), "ok"); return true })
	p := newPool()
	for i := range 5 {
		text, _, err := send(p, address, fmt.Sprint(i), "")
		require.NoError(t, err)
		assert.Equal(t, "ok", text)
	}
	assert.Equal(t, int64(1), p.Opened())
}

// Guards against a late response to an abandoned request that is taken for the response to
// the next one. It is recognized by its id and skipped.
func TestAStrayResponseIsSkipped(t *testing.T) {
	address := server(t, func(_ int, r *http.Request, c net.Conn) bool {
		reply(c, "other", "wrong")
		reply(c, r.Header.Get("Id"), "right")
		return true
	})
	text, _, err := send(newPool(), address, "1", "")
	require.NoError(t, err)
	assert.Equal(t, "right", text)
}

// Guards against a late copy of an earlier response that is taken for the response to a
// second send of the same request, whose id it has.
func TestARequestIsSentAgainOverAnotherConnection(t *testing.T) {
	address := server(t, func(n int, r *http.Request, c net.Conn) bool {
		if n > 1 {
			reply(c, "1", "copy")
		}
		reply(c, r.Header.Get("Id"), "response")
		return true
	})
	p := newPool()
	request := &upstream.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}}
	for range 3 {
		response, err := p.Send(t.Context(), address, request, upstream.ReusePolicy{MaxIdle: time.Second},
			func(h http.Header, _ bool) bool { return h.Get("Id") == "1" })
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		assert.Equal(t, "response", string(text))
		response.KeepFor(time.Second)
		response.Close()
	}
	assert.Equal(t, int64(3), p.Opened())
	text, _, err := send(p, address, "2", "")
	require.NoError(t, err)
	assert.Equal(t, "response", text)
	assert.Equal(t, int64(3), p.Opened(), "other requests reuse the connections")
}

// Guards against the reuse of a connection whose server has answered before it has
// read the whole body: it would take the next request for the rest of the body.
func TestAnEarlyResponseEndsTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = http.ReadRequest(bufio.NewReaderSize(c, 16)) // reads the header, not the whole body
				reply(c, "1", "early")
				time.Sleep(2 * time.Second)
				_ = c.Close()
			}()
		}
	}()
	p := newPool()
	address := l.Addr().String()
	text, _, err := send(p, address, "1", strings.Repeat("x", 64<<20))
	require.NoError(t, err)
	assert.Equal(t, "early", text)
	assert.Zero(t, p.Open(address), "the connection is not reused")
}

// Guards against an interrupted response that looks complete, whatever its framing.
func TestAnInterruptedResponseIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"reset":  "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			address := server(t, func(_ int, _ *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, text)
				if name == "reset" {
					time.Sleep(20 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			_, _, err := send(newPool(), address, "1", "")
			assert.Error(t, err)
		})
	}
}

func TestErrorsSayHowFarTheRequestGot(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().String()
	_ = l.Close()
	_, _, err = send(newPool(), closed, "1", "")
	assert.ErrorIs(t, err, upstream.ErrNotSent)
	unanswered := server(t, func(int, *http.Request, net.Conn) bool { return false })
	_, _, err = send(newPool(), unanswered, "1", "")
	assert.ErrorIs(t, err, upstream.ErrNoResponse)
	invalid := server(t, func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "not HTTP\r\n\r\n")
		return true
	})
	_, _, err = send(newPool(), invalid, "1", "")
	assert.ErrorIs(t, err, upstream.ErrInvalidResponse)
}

// Guards against a response without a length that looks complete although it was reset: the
// write of the request, still in progress, gets the report of the reset.
func TestAResetDuringTheRequestIsNotTheResponsesEnd(t *testing.T) {
	for i := range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReaderSize(c, 16)) // reads the header, not the body
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
			time.Sleep(time.Duration(i%20) * 200 * time.Microsecond)
			_ = c.Close() // resets the connection, as bytes are unread
		}()
		_, _, err = send(newPool(), l.Addr().String(), "1", strings.Repeat("x", 4<<20))
		assert.Error(t, err, "try %d", i)
		_ = l.Close()
	}
}
