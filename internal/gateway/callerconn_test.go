package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stopAfterRead calls stop when the second request's bytes have been read and
// are not parsed yet.
type stopAfterRead struct {
	net.Listener
	stop func()
}

func (l stopAfterRead) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &stoppingConn{Conn: c, stop: l.stop}, err
}

type stoppingConn struct {
	net.Conn
	stop  func()
	reads int
}

func (c *stoppingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.reads++; n > 1 && c.reads > 1 && c.stop != nil {
		// As in a shutdown, the close comes from another goroutine.
		stop := c.stop
		c.stop = nil
		time.AfterFunc(20*time.Millisecond, stop)
	}
	return n, err
}

// slowConn delays bytes after they were read, as in a process that is
// descheduled.
type slowConn struct{ *callerConn }

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.callerConn.Read(p)
	if n > 1 {
		time.Sleep(100 * time.Millisecond)
	}
	return n, err
}

type slowListener struct{ callerListener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.callerListener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{c.(*callerConn)}, nil
}

// A shutdown between reading a request's bytes and parsing them must not close
// the connection as idle: the request would run without a response.
func TestShutdownAnswersRequestsAlreadyRead(t *testing.T) {
	var server *http.Server
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ran := make(chan string, 2)
	server = &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			ran <- r.URL.Path
		}),
		ConnState: func(c net.Conn, state http.ConnState) {
			if slow, ok := c.(*slowConn); ok {
				trackCallerState(slow.callerConn, state)
			}
		},
	}
	stop := func() { server.SetKeepAlivesEnabled(false) }
	go func() { _ = server.Serve(slowListener{callerListener{stopAfterRead{listener, stop}}}) }()
	defer server.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	reader := bufio.NewReader(caller)
	for _, path := range []string{"/first", "/second"} {
		_, err = io.WriteString(caller, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "a request already read gets its response: %s", path)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, path, <-ran)
	}
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "the connection closes after the last response")
}

// A connection found idle just before a request began must not be closed until
// the request has its response.
func TestCloseDuringRequestWaitsForResponse(t *testing.T) {
	caller, _ := serveOne(t, func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(testConnKey{}).(net.Conn)
		require.True(t, ok)
		require.NoError(t, conn.Close())
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "ran")
	})
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	response, err := io.ReadAll(caller)
	require.NoError(t, err, "the connection closes after the response")
	assert.Contains(t, string(response), "ran")
}

// A header that is malformed or never complete must not keep its connection
// open.
func TestInvalidHeaderClosesConnection(t *testing.T) {
	for name, header := range map[string]string{"malformed": "GET\r\n\r\n", "unfinished": "GET / HTTP/1.1\r\nHo"} {
		t.Run(name, func(t *testing.T) {
			caller, closed := serveOne(t, func(http.ResponseWriter, *http.Request) {})
			_, err := io.WriteString(caller, header)
			require.NoError(t, err)
			_, err = io.ReadAll(caller)
			require.NoError(t, err)
			assert.ErrorIs(t, <-closed, net.ErrClosed, "the socket is closed on this side")
		})
	}
}

type testConnKey struct{}

// serveOne serves one caller. closed receives the result of a write to its
// connection once that is closed.
func serveOne(t *testing.T, handle http.HandlerFunc) (caller net.Conn, closed chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed = make(chan error, 1)
	server := &http.Server{
		ReadHeaderTimeout: 200 * time.Millisecond, Handler: handle,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, testConnKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			trackCallerState(c, state)
			if state == http.StateClosed {
				_, err := c.Write([]byte("x"))
				closed <- err
			}
		},
	}
	go func() { _ = server.Serve(callerListener{listener}) }()
	t.Cleanup(func() { _ = server.Close() })
	caller, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	require.NoError(t, caller.SetDeadline(time.Now().Add(3*time.Second)))
	return caller, closed
}

// socketStub is a socket that calls duringRead while a Read has bytes from the
// kernel and has not returned them yet.
type socketStub struct {
	net.Conn
	duringRead func()
	closed     bool
}

func (c *socketStub) Read(p []byte) (int, error) {
	c.duringRead()
	return copy(p, "POST"), nil
}

func (c *socketStub) Close() error {
	c.closed = true
	return nil
}

func (c *socketStub) SetReadDeadline(time.Time) error { return nil }

// A Close while a Read returns the first bytes of a request must not close the
// socket: the request would run without a response.
func TestCloseDuringReadKeepsReceivedBytes(t *testing.T) {
	socket := &socketStub{}
	conn := &callerConn{Conn: socket}
	socket.duringRead = func() { require.NoError(t, conn.Close()) }
	n, err := conn.Read(make([]byte, 16))
	require.NoError(t, err)
	assert.Equal(t, 4, n)
	assert.False(t, socket.closed, "the socket stays open for the bytes already read")
}

// A Close must end a Read of an idle connection at once, not when its idle
// timeout expires.
func TestCloseInterruptsIdleRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	accepted, err := callerListener{listener}.Accept()
	require.NoError(t, err)
	require.NoError(t, accepted.SetReadDeadline(time.Now().Add(time.Hour)))
	ended := make(chan error, 1)
	go func() {
		_, err := accepted.Read(make([]byte, 1))
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, accepted.Close())
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(time.Second):
		t.Fatal("Read still blocks one second after Close")
	}
	_, err = accepted.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed, "a later Read fails without blocking")
}

// Two pipelined requests arrive together, and the connection is closed as idle after the first
// response. The second must not be forwarded, as its response can't be sent.
func TestPipelinedRequestOnClosedConnectionIsNotSent(t *testing.T) {
	socket := &socketStub{duringRead: func() {}}
	conn := &callerConn{Conn: socket}
	trackCallerState(conn, http.StateActive)
	trackCallerState(conn, http.StateIdle)
	require.NoError(t, conn.Close())
	require.True(t, socket.closed)
	trackCallerState(conn, http.StateActive)
	assert.False(t, callerReachable(withCallerConn(context.Background(), conn)))
	open := &callerConn{Conn: &socketStub{duringRead: func() {}}}
	trackCallerState(open, http.StateActive)
	require.NoError(t, open.Close(), "Close has no effect while a request is served")
	assert.True(t, callerReachable(withCallerConn(context.Background(), open)))
}
