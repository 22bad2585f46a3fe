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

// stopInRead calls stop when the second request's bytes have been read and
// nobody has looked at them yet.
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
		// The close comes from another goroutine, and waits for nothing of ours.
		stop := c.stop
		c.stop = nil
		time.AfterFunc(20*time.Millisecond, stop)
	}
	return n, err
}

// slowConn holds bytes back after they were read, as a process does that is not
// given its processor.
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

// A booking is run and its caller sees the connection end without an answer.
// The process was told to stop between reading the booking's bytes and finding
// a request in them, and closed the connection as an idle one.
func TestShutdownAnswersRequestsAlreadyRead(t *testing.T) {
	var server *http.Server
	base, err := net.Listen("tcp", "127.0.0.1:0")
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
	go func() { _ = server.Serve(slowListener{callerListener{stopAfterRead{base, stop}}}) }()
	defer server.Close()
	caller, err := net.Dial("tcp", base.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	reader := bufio.NewReader(caller)
	for _, path := range []string{"/first", "/second"} {
		_, err = io.WriteString(caller, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "what was read is answered: %s", path)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, path, <-ran)
	}
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "and the connection ends after it")
}

// The same with the process stopped a moment later: the library had found the
// connection idle, and closed it when the booking was under way.
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
	answer, err := io.ReadAll(caller)
	require.NoError(t, err, "and the connection ends")
	assert.Contains(t, string(answer), "ran")
}

// A head that can't be read, or never ends, holds no connection open.
func TestInvalidHeaderClosesConnection(t *testing.T) {
	for name, head := range map[string]string{"malformed": "GET\r\n\r\n", "unfinished": "GET / HTTP/1.1\r\nHo"} {
		t.Run(name, func(t *testing.T) {
			caller, closed := serveOne(t, func(http.ResponseWriter, *http.Request) {})
			_, err := io.WriteString(caller, head)
			require.NoError(t, err)
			_, err = io.ReadAll(caller)
			require.NoError(t, err)
			assert.ErrorIs(t, <-closed, net.ErrClosed, "the socket is closed on this side")
		})
	}
}

type testConnKey struct{}

// serveOne serves one caller; closed tells what a write to its connection gives
// after it was served.
func serveOne(t *testing.T, handle http.HandlerFunc) (caller net.Conn, closed chan error) {
	t.Helper()
	base, err := net.Listen("tcp", "127.0.0.1:0")
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
	go func() { _ = server.Serve(callerListener{base}) }()
	t.Cleanup(func() { _ = server.Close() })
	caller, err = net.Dial("tcp", base.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	require.NoError(t, caller.SetDeadline(time.Now().Add(3*time.Second)))
	return caller, closed
}

// closedInRead is a socket whose bytes have left the kernel when the connection
// is closed from outside, and have not come back to the reader yet.
type closeDuringRead struct {
	net.Conn
	outside func()
	closed  bool
}

func (c *closeDuringRead) Read(p []byte) (int, error) {
	c.outside()
	return copy(p, "POST"), nil
}

func (c *closeDuringRead) Close() error {
	c.closed = true
	return nil
}

func (c *closeDuringRead) SetReadDeadline(time.Time) error { return nil }

// A booking was run and its caller saw the connection end 1 ms before. The
// close of idle connections at a stop came when the booking's first bytes had
// left the kernel, but the reader had not yet said so.
func TestCloseDuringReadKeepsReceivedBytes(t *testing.T) {
	socket := &closeDuringRead{}
	conn := &callerConn{Conn: socket}
	socket.outside = func() { require.NoError(t, conn.Close()) }
	n, err := conn.Read(make([]byte, 16))
	require.NoError(t, err)
	assert.Equal(t, 4, n)
	assert.False(t, socket.closed, "what was read is answered on an open connection")
}

// A close from outside must end a connection on which nothing comes, at once
// and not when its idle time is over.
func TestCloseInterruptsIdleRead(t *testing.T) {
	base, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer base.Close()
	caller, err := net.Dial("tcp", base.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	accepted, err := callerListener{base}.Accept()
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
		t.Fatal("the reader still waits")
	}
	_, err = accepted.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed, "it does not wait again")
}

// Two requests came in one packet. The connection was closed as idle between
// the first answer and the look at the second request, which was sent on then
// with nobody left to hear its answer.
func TestPipelinedRequestOnClosedConnectionIsNotSent(t *testing.T) {
	socket := &closeDuringRead{outside: func() {}}
	conn := &callerConn{Conn: socket}
	trackCallerState(conn, http.StateActive)
	trackCallerState(conn, http.StateIdle)
	require.NoError(t, conn.Close())
	require.True(t, socket.closed)
	trackCallerState(conn, http.StateActive)
	assert.False(t, callerReachable(withCallerConn(context.Background(), conn)))
	open := &callerConn{Conn: &closeDuringRead{outside: func() {}}}
	trackCallerState(open, http.StateActive)
	require.NoError(t, open.Close(), "ignored: a request is being answered")
	assert.True(t, callerReachable(withCallerConn(context.Background(), open)))
}
