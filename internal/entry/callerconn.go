package entry

import (
	"context"
	"net"
	"net/http"

	"k8s.io/klog/v2"
)

// A response of unknown length to an HTTP/1.0 caller has no framing: it ends with its
// connection. A connection that is closed in order, as the kernel does for a killed process
// too, would make a broken-off response look complete. Such a connection is therefore reset
// when it is closed, until its response is complete.

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// callerContext implements http.Server.ConnContext for the callers' port.
func (e *Entry) callerContext(ctx context.Context, conn net.Conn) context.Context {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return ctx
	}
	e.limitSendBuffer(tcp)
	return context.WithValue(ctx, callerConnKey{}, tcp)
}

// limitSendBuffer bounds what the kernel takes for a caller that does not read. Left
// alone it grows to megabytes per connection, and such a caller is noticed only once
// it is full.
func (e *Entry) limitSendBuffer(conn *net.TCPConn) {
	if err := conn.SetWriteBuffer(e.settings.Limits.CallerSendBytes); err != nil {
		klog.V(1).InfoS("send buffer of a caller's connection not limited", "caller", conn.RemoteAddr().String(), "error", err.Error())
	}
}

// unframedConn returns the connection that ends a response of unknown length to the
// request; nil if the response is chunked.
func unframedConn(request *http.Request) *net.TCPConn {
	if request.ProtoAtLeast(1, 1) {
		return nil
	}
	conn, _ := request.Context().Value(callerConnKey{}).(*net.TCPConn)
	return conn
}

// Values of net.TCPConn.SetLinger.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// resetOnClose makes any close of the connection a reset.
func (c *caller) resetOnClose() {
	if c.unframed == nil {
		return
	}
	if err := c.unframed.SetLinger(lingerReset); err != nil {
		klog.V(1).InfoS("connection of an HTTP/1.0 caller not set to reset", "request", c.id, "error", err.Error())
	}
}

// complete makes the connection close in order again, or aborts the response if it was not
// written completely.
func (c *caller) complete(written error) {
	if written != nil {
		panic(http.ErrAbortHandler)
	}
	if c.unframed == nil {
		return
	}
	if err := c.unframed.SetLinger(lingerDefault); err != nil {
		panic(http.ErrAbortHandler)
	}
}
