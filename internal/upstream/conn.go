package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Errors of an exchange, for errors.Is. Which one it is tells how far the
// request came.
var (
	// ErrNotSent: no byte of the request left; it surely did not run. The cause
	// is wrapped too, ErrNoListener for one.
	ErrNotSent = errors.New("request not sent")
	// ErrNoAnswer: it was sent, wholly or in part, and may have run.
	ErrNoAnswer = errors.New("no answer")
	// ErrInvalidAnswer: bytes came that are no answer to the request; it may have run.
	ErrInvalidAnswer = errors.New("answer not understood")
	// ErrNoListener: nothing listens at the address, the process has ended.
	ErrNoListener error = syscall.ECONNREFUSED
)

const (
	readBufferBytes = 4 << 10
	// maxStrays of answers to earlier requests that are skipped on one connection.
	maxStrays = 2
	// writtenWait is how long after the whole answer the writer may take to say
	// that it is done. It only has to run once more.
	writtenWait = 10 * time.Millisecond
	// maxStrayBytes of one stray body.
	maxStrayBytes = 1 << 20
)

// Request is one message to a backend server. Its body is held whole, so that
// it can be sent again elsewhere.
type Request struct {
	Method string
	// Target as the caller sent it: path and query, not decoded.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody: the caller's request had a body, perhaps an empty one.
	HasBody bool
}

func (r *Request) bytes() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // A bytes.Buffer takes all.
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// conn is one connection to a backend server; one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// used counts exchanges; 0: fresh.
	used int
	// idleUntil is when it must not be used again.
	idleUntil time.Time
	idleSince time.Time
}

// Response is an answer whose head was read. Close it in any case.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only when the answer is complete.
	Body io.Reader
	// Reused tells whether the connection had carried other requests.
	Reused bool
	// Bounded: the answer's length is given by its framing, not by the end of
	// the connection.
	Bounded bool

	conn    *conn
	pool    *Pool
	inner   *http.Response
	written chan error
	stop    func() bool
	ended   atomic.Bool
	keep    time.Duration
	closed  bool
}

// alive looks, without waiting, whether the connection is still open and has
// no bytes to read. Bytes that come while nothing was asked belong to no
// request, and a connection that was closed would lose the next one.
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange sends the request and reads the head of its answer. belongs tells
// whether a head is that of an answer to this request.
func (c *conn) exchange(ctx context.Context, r *Request, belongs func(http.Header) bool) (*Response, error) {
	response := &Response{conn: c, Reused: c.used > 0, written: make(chan error, 1)}
	c.used++
	// A caller that leaves ends the work at once: the backend server sees the
	// connection close.
	response.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	message := r.bytes()
	go func() {
		_, err := c.Write(message)
		response.written <- err
	}()
	if err := response.readHead(r.Method, belongs); err != nil {
		response.stop()
		_ = c.Close()
		return nil, err
	}
	return response, nil
}

func (r *Response) readHead(method string, belongs func(http.Header) bool) error {
	request := &http.Request{Method: method}
	for strays := 0; ; {
		inner, err := http.ReadResponse(r.conn.reader, request) //nolint:bodyclose // Response.Close ends or keeps the connection
		if err != nil {
			return headError(err)
		}
		if inner.StatusCode >= 100 && inner.StatusCode < 200 {
			continue
		}
		if belongs(inner.Header) {
			r.take(inner)
			return nil
		}
		// An answer to an earlier request stands where ours is due.
		strays++
		if strays > maxStrays || !skip(inner) {
			return eris.Wrap(ErrInvalidAnswer, "answer of another request")
		}
	}
}

func headError(err error) error {
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) || errors.Is(err, net.ErrClosed) {
		return eris.Wrapf(ErrNoAnswer, "%v", err)
	}
	return eris.Wrapf(ErrInvalidAnswer, "%v", err)
}

// skip reads a stray answer to its end; false when its end can't be known.
func skip(stray *http.Response) bool {
	if stray.ContentLength < 0 && len(stray.TransferEncoding) == 0 {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(stray.Body, maxStrayBytes))
	return err == nil && n < maxStrayBytes
}

func (r *Response) take(inner *http.Response) {
	r.inner = inner
	r.Status, r.Header = inner.StatusCode, inner.Header
	r.Bounded = inner.ContentLength >= 0 || len(inner.TransferEncoding) > 0
	r.Body = &body{response: r}
}

// body notes that the end of the answer was seen.
type body struct{ response *Response }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.inner.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.response.ended.Store(true)
	}
	return n, err
}

// KeepFor allows the connection to be used again for a time.
func (r *Response) KeepFor(d time.Duration) { r.keep = d }

// Close ends the exchange. The connection is kept only after a complete answer
// to a request that was sent whole, with nothing left to read: rest of a body
// that the server has not read yet, or bytes that belong to no request, would
// be taken for part of the next exchange.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	whole := r.ended.Load() && r.stop() && r.sent()
	reusable := whole && r.Bounded && r.keep > 0 && !r.inner.Close && r.inner.ProtoAtLeast(1, 1)
	if !reusable || r.conn.reader.Buffered() > 0 {
		r.stop()
		r.pool.drop(r.conn)
		return
	}
	r.pool.put(r.conn, r.keep)
}

// sent tells whether the request left whole. The whole answer may be here before
// the goroutine that wrote the request has said that it is done: a busy process
// then gave up a sound connection and opened another. A server that answered
// before it had read the request is the only other reason, and shows by the wait.
func (r *Response) sent() bool {
	timer := time.NewTimer(writtenWait)
	defer timer.Stop()
	select {
	case err := <-r.written:
		return err == nil
	case <-timer.C:
		return false
	}
}
