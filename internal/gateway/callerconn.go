package gateway

import (
	"net"
	"net/http"
	"sync"
)

// The library closes idle connections of callers when a process stops, and
// takes a connection for idle until it has read the head of a request. A
// request whose bytes were taken from the socket just before was then run with
// nobody left to hear its answer: its caller saw the connection end, and could
// not know that it had run. A callerConn knows that bytes were read; it lets
// the first close in that moment pass by, the request is answered, and the
// connection ends after it. Bytes that nobody has read yet are lost with the
// close, and with them a request that nobody ran.

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
	// being answered. spared: one close has passed by.
	begun, busy, spared bool
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

// Close implements net.Conn. The second one closes in any case: a caller that
// does not finish its head is ended by a time-out.
func (c *callerConn) Close() error {
	c.mu.Lock()
	spare := c.begun && !c.busy && !c.spared
	c.spared = c.spared || spare
	c.mu.Unlock()
	if spare {
		return nil
	}
	return c.Conn.Close()
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
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		c.busy = false
	case http.StateNew:
	}
}
