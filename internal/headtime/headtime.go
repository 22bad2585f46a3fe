// Package headtime bounds the time of a response's head in clients of net/http, which bound
// only its bytes. The time begins with the first byte: a server that is busy sends none until
// it has run the request.
package headtime

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jayproxy/jayproxy/internal/responselimit"
)

// Do makes a call by do, with a request whose context bounds the time from the first byte of
// the head to its end; 0: it is not bounded. A head that takes longer is a responselimit.Error,
// and its connection is closed. The first byte of a head after an interim response is seen only
// on connections of Dial.
func Do(request *http.Request, within time.Duration, do func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	if within <= 0 {
		return do(request)
	}
	ctx, cancel := context.WithCancel(request.Context())
	w := &watch{within: within, cancel: cancel}
	response, err := do(request.WithContext(httptrace.WithClientTrace(ctx, w.trace())))
	if w.end() {
		if err == nil {
			_ = response.Body.Close()
		}
		cancel()
		return nil, &responselimit.Error{Bound: responselimit.HeadDuration, Limit: int64(within)}
	}
	if err != nil {
		cancel()
		return nil, err
	}
	if response.Body == http.NoBody {
		cancel()
		return response, nil
	}
	response.Body = &body{response.Body, cancel}
	return response, nil
}

// body releases the context of its call when it is closed.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// watch bounds the time of one head.
type watch struct {
	within time.Duration
	cancel context.CancelFunc

	mu sync.Mutex
	// conn carries the call; nil if it was not made by Dial.
	conn *conn
	// timer runs while a head is read. starts counts its starts, so that a timer that fires
	// while it is stopped does not end the next head.
	timer           *time.Timer
	starts          int
	ended, exceeded bool
}

func (w *watch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		// A redirection that is followed begins another head.
		GetConn: func(string) { w.stop() },
		GotConn: func(info httptrace.GotConnInfo) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.conn, _ = info.Conn.(*conn)
		},
		GotFirstResponseByte: w.start,
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			w.interim()
			return nil
		},
	}
}

// start begins the time of a head.
func (w *watch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil || w.ended {
		return
	}
	w.starts++
	this := w.starts
	w.timer = time.AfterFunc(w.within, func() {
		// A process that stood still reads what has arrived in time.
		time.Sleep(responselimit.HeadTimeGrace)
		w.exceed(this)
	})
}

// exceed ends the call if the head of the given start is still being read.
func (w *watch) exceed(started int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.ended && w.starts == started {
		w.exceeded = true
		w.cancel()
	}
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// interim stops the time until more bytes arrive: a server may run the request between an
// interim response and the head.
func (w *watch) interim() {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil && !w.ended {
		w.conn.next.Store(w)
	}
}

// end ends the watch. It reports whether the head took too long.
func (w *watch) end() bool {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.conn != nil {
		w.conn.next.Store(nil)
	}
	return w.exceeded
}

// conn is a connection that tells a watch when more bytes arrive.
type conn struct {
	net.Conn
	next atomic.Pointer[watch]
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.next.Load() != nil {
		if w := c.next.Swap(nil); w != nil {
			w.start()
		}
	}
	return n, err
}

// Dial returns a function for http.Transport.DialContext whose connections show the first byte
// of a head after an interim response.
func Dial(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner}, nil
	}
}
