package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jayproxy/jayproxy/internal/responselimit"
)

// Errors of an exchange, for errors.Is. They distinguish how far the request got.
var (
	// ErrNotSent: no byte of the request was sent, so it did not run. The cause is
	// wrapped too, for example ErrNoListener.
	ErrNotSent = errors.New("request not sent")
	// ErrNoResponse: the request was sent, at least in part, and may have run.
	ErrNoResponse = errors.New("no response")
	// ErrInvalidResponse: the bytes received are not a response to the request, which may
	// have run.
	ErrInvalidResponse = errors.New("invalid response")
	// ErrNoListener: nothing listens at the address; the process has ended.
	ErrNoListener error = syscall.ECONNREFUSED
)

const (
	// readBufferBytes is the size of a connection's buffer, which holds a whole status line.
	readBufferBytes = responselimit.MaxStatusLineBytes
	// maxStrays is how many stray responses, that is responses to earlier requests, are
	// skipped in one exchange.
	maxStrays = 2
	// writeDoneTimeout is how long after the complete response the goroutine that wrote
	// the request may take to report that it has finished.
	writeDoneTimeout = 10 * time.Millisecond
	// closedWriteTimeout is the same for a response that ended with its connection: without
	// the result it counts as broken off.
	closedWriteTimeout = 250 * time.Millisecond
)

// Request is one request to a backend server. Its body is in memory, so that it can
// be sent to another server, too.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them, not decoded.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody: the caller's request had a body, which may be empty.
	HasBody bool
	// HeadTime bounds the time from the first byte of a response's head to its end; 0: it is
	// not bounded.
	HeadTime time.Duration
	// sentOver are the numbers of the connections over which the request was sent. A late
	// copy of an earlier response has the same ID as the response to a later send, so a
	// request is sent once over each connection.
	sentOver []int64
}

func (r *Request) wasSentOver(c *conn) bool { return slices.Contains(r.sentOver, c.number) }

// joinedBytes is the size up to which a body is written together with the head.
const joinedBytes = 32 << 10

// writeTo writes the request. The body is not copied unless it is short.
func (r *Request) writeTo(w io.Writer) error {
	head := r.head()
	if len(r.Body) <= joinedBytes {
		head.Write(r.Body)
		_, err := w.Write(head.Bytes())
		return err
	}
	if _, err := w.Write(head.Bytes()); err != nil {
		return err
	}
	_, err := w.Write(r.Body)
	return err
}

// head returns the encoded head, in a buffer with room for a short body.
func (r *Request) head() *bytes.Buffer {
	b := &bytes.Buffer{}
	room := len(r.Body)
	if room > joinedBytes {
		room = 0
	}
	b.Grow(room + 1024)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(b) // Writes to a bytes.Buffer don't fail.
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b
}

// conn is one connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	address string
	// number is unique in the pool.
	number int64
	reader *bufio.Reader
	// limited is what reader reads from.
	limited *limitedReader
	// used counts the exchanges so far; 0: a new connection.
	used int
	// idleUntil is when the idle connection expires.
	idleUntil time.Time
	idleSince time.Time
}

// Framing is what gives the end of a response.
type Framing int

// The framings.
const (
	// FramedByLength: a Content-Length, or a status that has no body.
	FramedByLength Framing = iota
	// FramedByChunks: the last chunk.
	FramedByChunks
	// FramedByConnection: the end of the connection, which a server that ends in the
	// middle of its response closes as well.
	FramedByConnection
)

// String returns the name of the framing in logs and metrics.
func (f Framing) String() string { return [...]string{"length", "chunks", "connection"}[f] }

func framingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0, r.Body == http.NoBody:
		return FramedByLength
	case len(r.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByConnection
}

// Response is an HTTP response whose header has been read. It must be closed.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only when the response is complete.
	Body io.Reader
	// Reused: the connection has carried other requests before.
	Reused bool
	// Framing is what gives the response's end.
	Framing Framing
	// Length is the declared length of the body in bytes; -1: not declared.
	Length int64

	conn  *conn
	pool  *Pool
	inner *http.Response
	// written receives the result of writing the request, writeResult keeps it.
	written     chan error
	writeResult sync.Once
	wholeSent   bool
	// stop ends the watch on the context; false: the connection was closed by it.
	stop func() bool
	// ended: the end of the body was read.
	ended atomic.Bool
	// keep is how long the connection may be idle in the pool; 0: not at all.
	keep   time.Duration
	closed bool
}

// alive reports, without blocking, whether the connection is open and has no bytes
// to read. Bytes received while no request is in progress belong to none, and a
// request sent on a closed connection would be lost.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// exchange sends the request and reads the header of its response. belongs reports
// whether a header is that of a response to this request.
func (c *conn) exchange(ctx context.Context, r *Request, belongs func(http.Header) bool) (*Response, error) {
	response := &Response{conn: c, Reused: c.used > 0, written: make(chan error, 1)}
	c.used++
	r.sentOver = append(r.sentOver, c.number)
	// When the context ends, the closed connection makes the backend server stop
	// working on the request.
	response.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	sent := *r // The caller may change the request for its next send.
	go func() { response.written <- sent.writeTo(c) }()
	if err := response.readHeader(r, belongs); err != nil {
		response.stop()
		_ = c.Close()
		return nil, err
	}
	return response, nil
}

func (r *Response) setHeader(inner *http.Response) {
	r.inner = inner
	r.Status, r.Header = inner.StatusCode, inner.Header
	r.Framing = framingOf(inner)
	r.Length = inner.ContentLength
	if inner.Body == http.NoBody {
		r.Length = 0
	}
	r.Body = &body{response: r}
}

// body is the body of a Response. It records that the end was read.
type body struct{ response *Response }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.inner.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.response.Framing == FramedByConnection && !b.response.sentWithin(closedWriteTimeout) {
		// A reset is reported once. The failed write of the request has got that report, so
		// that the read after it finds nothing but the end.
		return n, io.ErrUnexpectedEOF
	}
	b.response.ended.Store(true)
	return n, err
}

// KeepFor lets the connection be reused within the time d after Close.
func (r *Response) KeepFor(d time.Duration) { r.keep = d }

// Close ends the exchange. The connection is kept only if the request was completely
// written, the response completely read, and no bytes are left over: what remained of
// either would be taken for part of the next exchange.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	complete := r.ended.Load() && r.stop() && r.sent()
	reusable := complete && r.Framing != FramedByConnection && r.keep > 0 && !r.inner.Close && r.inner.ProtoAtLeast(1, 1)
	if !reusable || r.conn.reader.Buffered() > 0 {
		r.stop()
		r.pool.discard(r.conn)
		return
	}
	r.pool.put(r.conn, r.keep)
}

// sent reports whether the request was completely written. The response may be complete
// before the goroutine that wrote the request has reported its result, so sent waits
// for it. If none comes in time, the server has answered before it has read the
// request.
func (r *Response) sent() bool { return r.sentWithin(writeDoneTimeout) }

// sentWithin is sent with the time that it waits if nobody has waited before.
func (r *Response) sentWithin(timeout time.Duration) bool {
	r.writeResult.Do(func() { r.wholeSent = r.awaitWritten(timeout) })
	return r.wholeSent
}

// RequestSent reports, without waiting, whether the request was completely written.
func (r *Response) RequestSent() bool {
	select {
	case err := <-r.written:
		r.written <- err // For sent.
		return err == nil
	default:
		return false
	}
}

func (r *Response) awaitWritten(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-r.written:
		return err == nil
	case <-timer.C:
		return false
	}
}
