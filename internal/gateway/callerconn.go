package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// The library closes idle connections of callers when a process stops. It takes
// a connection for idle until it has read the head of a request, and looks at
// that some time before it closes: where the process does not get its processor
// in between, the request has been sent on by then. It ran with nobody left to
// hear its answer; its caller saw the connection end and could not know. Three
// rules keep that from happening:
//
//   - From the moment at which bytes of a request were read, a close from outside
//     is ignored.
//   - A close that comes while a read is under way does not touch the socket: the
//     read may have bytes that the kernel has handed over already. It ends the
//     read's wait, and the reader closes when it came back without any.
//   - A request that is found on a connection that was closed before, among bytes
//     read earlier, is not sent on: callerListens.
//
// The goroutine that serves the connection closes it as well when it ends, and
// says so by the state that follows: that one counts. Bytes that nobody has read
// yet are lost with the close, and with them a request that nobody ran.

// callerListener accepts callers' connections.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: accepted}, nil
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// begun: bytes were read that no request was made of yet. busy: a request is
	// being answered. reading: a read is under way.
	unparsed, serving, reading bool
	// closing: a close came while a read waited. closed: the socket is closed.
	closePending, closed bool
	// readBy is the deadline of reads that the library asked for.
	readDeadline time.Time
}

// past ends a read that waits.
var expiredDeadline = time.Unix(1, 0)

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if !c.beginRead() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	c.endRead(n)
	return n, err
}

func (c *callerConn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closePending && !c.unparsed && !c.serving {
		return false
	}
	c.reading = true
	return true
}

// endRead takes back a close that came too late.
func (c *callerConn) endRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n == 0 {
		return
	}
	c.unparsed = true
	if c.closePending {
		c.closePending = false
		// An error shows with the next read.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.closePending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.unparsed || c.serving:
		return nil
	case c.reading:
		c.closePending = true
		return c.Conn.SetReadDeadline(expiredDeadline)
	}
	c.closed = true
	return c.Conn.Close()
}

// CloseWrite ends the answers only, so that a caller can read the last one
// while it still sends. The library asks for it by this name.
func (c *callerConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// isClosed tells whether nobody can be answered any more.
func (c *callerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// noteCallerState is the server's hook on the states of its connections.
func trackCallerState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.unparsed, c.serving = false, true
	case http.StateIdle, http.StateHijacked:
		c.serving = false
	case http.StateClosed:
		// Served to its end: an error would say that it is closed already.
		c.closed = true
		_ = c.Conn.Close()
	case http.StateNew:
	}
}

// callerConnKey of a request's context holds its connection.
type callerConnKey struct{}

// withCallerConn is the server's hook that keeps the connection with its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerListens tells whether a request's connection can carry its answer. It
// holds from then on, as no close from outside ends a busy connection.
func callerReachable(ctx context.Context) bool {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	return !ok || !c.isClosed()
}
