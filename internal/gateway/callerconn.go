package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// net/http closes callers' idle connections when a process stops. It counts a
// connection as idle until it has read the header of a request, and checks that
// some time before it closes. If the process is descheduled in between, the
// request may have been forwarded by then: it runs, but its caller sees the
// connection end without a response. Three rules prevent that:
//
//   - Once bytes of a request were read, Close has no effect until its response
//     was sent.
//   - A Close during a Read does not close the socket, as the Read may already
//     have bytes from the kernel. It expires the read deadline instead; if the
//     Read returns no bytes, the goroutine that serves the connection closes it.
//   - A request that is found among bytes read before the connection was closed
//     is not forwarded; see callerReachable.
//
// When that goroutine ends, the state change to http.StateClosed closes the
// socket in any case. Bytes that were not read yet are lost then, and with them
// a request that no server has run.

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
	// unparsed: bytes were read that belong to no request yet. serving: a request
	// is being served. reading: a Read is in progress.
	unparsed, serving, reading bool
	// closePending: Close was called during a Read. closed: the socket is closed.
	closePending, closed bool
	// readDeadline is the read deadline that net/http has set.
	readDeadline time.Time
}

// expiredDeadline ends a blocked Read.
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

// endRead cancels a pending close if the Read returned bytes.
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
		// The next Read returns the error, if any.
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

// CloseWrite closes the connection for writing only, so that a caller can read
// the last response while it still sends. net/http looks for a method of this
// name.
func (c *callerConn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return closer.CloseWrite()
}

// isClosed reports whether no response can be sent any more.
func (c *callerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// trackCallerState is the http.Server's ConnState hook.
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
		// net/http is done with the connection. The socket may be closed already.
		c.closed = true
		_ = c.Conn.Close()
	case http.StateNew:
	}
}

// callerConnKey is the context key of a request's connection.
type callerConnKey struct{}

// withCallerConn is the http.Server's ConnContext hook. It gives requests
// access to their connection.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerReachable reports whether a request's connection can carry its
// response. That stays true, since Close does not close a connection that
// serves a request.
func callerReachable(ctx context.Context) bool {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	return !ok || !c.isClosed()
}

// Values of net.TCPConn.SetLinger: close with a reset, or in order.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// closeWithReset sets whether the socket is closed with a reset, also by the end of the
// process.
func (c *callerConn) closeWithReset(reset bool) error {
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	linger := lingerDefault
	if reset {
		linger = lingerReset
	}
	return conn.SetLinger(linger)
}
