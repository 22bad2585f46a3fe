package gateway

import (
	"net"
	"net/http"
	"sync"
)

// The library closes idle connections of callers when a process stops. It takes
// a connection for idle until it has read the head of a request, and looks at
// that some time before it closes: where the process does not get its processor
// in between, the request has been sent on by then. It ran with nobody left to
// hear its answer; its caller saw the connection end and could not know. So a
// callerConn ignores a close from outside from the moment at which bytes of a
// request were read. The goroutine that serves the connection closes it as well
// when it ends, and says so by the state that follows: that one counts. Bytes
// that nobody has read yet are lost with the close, and with them a request that
// nobody ran.

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
	// being answered.
	begun, busy bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.begun = true
		c.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun || c.busy {
		return nil
	}
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

// noteCallerState is the server's hook on the states of its connections.
func noteCallerState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.begun, c.busy = false, true
	case http.StateIdle, http.StateHijacked:
		c.busy = false
	case http.StateClosed:
		// Served to its end: an error would say that it is closed already.
		_ = c.Conn.Close()
	case http.StateNew:
	}
}
