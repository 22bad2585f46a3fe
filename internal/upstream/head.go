package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/httpstatus"
	"github.com/jayproxy/jayproxy/internal/responselimit"
)

// limitedReader reads from a connection. While a head is read, it returns an error instead
// of more bytes than the bound, and when the head takes too long.
type limitedReader struct {
	conn net.Conn
	// limited: at most left more bytes are read, then exceeded is returned.
	limited  bool
	left     int
	exceeded error
	// within is the time that the deadline leaves; 0: there is none. extended: the deadline
	// has passed once. late is returned when the time is over.
	within   time.Duration
	extended bool
	late     responselimit.Bound
	// failed is the last error of a bound.
	failed error
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if l.left <= 0 {
		l.failed = l.exceeded
		return 0, l.failed
	}
	p = p[:min(len(p), l.left)]
	n, err := l.conn.Read(p)
	if n == 0 && l.within > 0 && !l.extended && errors.Is(err, os.ErrDeadlineExceeded) {
		l.extended = true
		_ = l.conn.SetReadDeadline(time.Now().Add(responselimit.HeadTimeGrace))
		n, err = l.conn.Read(p)
	}
	if l.within > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		l.failed = &responselimit.Error{Bound: l.late, Limit: int64(l.within)}
		err = l.failed
	}
	l.left -= n
	return n, err
}

// cause returns the error of the bound that made a read fail, or err if none did: a line that
// is cut off may be reported as malformed.
func (l *limitedReader) cause(err error) error {
	if err != nil && l.failed != nil {
		return l.failed
	}
	return err
}

// limit bounds the bytes that are read from now on.
func (l *limitedReader) limit(bound responselimit.Bound, most int) {
	l.limited, l.left, l.exceeded = true, most, &responselimit.Error{Bound: bound, Limit: int64(most)}
}

// lift removes the bound on bytes and the deadline.
func (l *limitedReader) lift() {
	l.limited = false
	l.endDeadline()
}

// deadline lets reads fail after the given time; 0: never.
func (l *limitedReader) deadline(within time.Duration) {
	if within <= 0 {
		return
	}
	l.within, l.extended, l.late = within, false, responselimit.HeadDuration
	_ = l.conn.SetReadDeadline(time.Now().Add(within))
}

func (l *limitedReader) endDeadline() {
	if l.within > 0 {
		l.within = 0
		_ = l.conn.SetReadDeadline(time.Time{})
	}
}

// readHeader reads the head of the response to the request, without the interim responses
// and stray responses before it.
func (r *Response) readHeader(request *Request, belongs func(http.Header) bool) error {
	limited := r.conn.limited
	limited.limit(responselimit.Head, responselimit.MaxHeadBytes)
	for interim, strays := 0, 0; ; {
		inner, err := r.conn.readHead(request) //nolint:bodyclose // Response.Close ends or keeps the connection
		if err != nil {
			return headerError(err)
		}
		if inner.StatusCode >= 100 && inner.StatusCode < 200 {
			if interim++; interim > responselimit.MaxInterimResponses {
				return headerError(&responselimit.Error{Bound: responselimit.InterimResponses, Limit: responselimit.MaxInterimResponses})
			}
			continue
		}
		if belongs(inner.Header) {
			limited.lift()
			r.setHeader(inner)
			return nil
		}
		// A stray response to an earlier request on the connection.
		strays++
		if strays > maxStrays {
			return eris.Wrap(ErrInvalidResponse, "got the response to another request")
		}
		if err := r.conn.skip(inner, request.HeadTime); err != nil {
			return headerError(err)
		}
		limited.limit(responselimit.Head, responselimit.MaxHeadBytes)
	}
}

// readHead reads the next head. The wait for its first byte is not bounded: a server that is
// busy sends none until it has run the request.
func (c *conn) readHead(request *Request) (*http.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	c.limited.deadline(request.HeadTime)
	if err := c.awaitStatusLine(); err != nil {
		return nil, err
	}
	inner, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
	if err != nil {
		return nil, c.limited.cause(err)
	}
	c.limited.endDeadline()
	if err := httpstatus.Check(inner.StatusCode); err != nil {
		return nil, err
	}
	return inner, nil
}

// awaitStatusLine waits until the reader's buffer contains a line.
func (c *conn) awaitStatusLine() error {
	for {
		received, _ := c.reader.Peek(c.reader.Buffered())
		if bytes.IndexByte(received, '\n') >= 0 {
			return nil
		}
		if len(received) >= responselimit.MaxStatusLineBytes {
			return &responselimit.Error{Bound: responselimit.StatusLine, Limit: responselimit.MaxStatusLineBytes}
		}
		if _, err := c.reader.Peek(len(received) + 1); err != nil {
			return err
		}
	}
}

// headerError converts an error of reading a header to one of the errors of an exchange.
func headerError(err error) error {
	if _, exceeded := responselimit.Exceeded(err); exceeded {
		return fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || errors.Is(err, net.ErrClosed) {
		return eris.Wrapf(ErrNoResponse, "%v", err)
	}
	return eris.Wrapf(ErrInvalidResponse, "%v", err)
}

// skip reads a stray response to its end. It fails if its framing does not give the end, if
// the body is too long, or if it takes longer than the given time; 0: any time.
func (c *conn) skip(stray *http.Response, within time.Duration) error {
	if framingOf(stray) == FramedByConnection {
		return eris.Wrap(ErrInvalidResponse, "got the response to another request, without its end")
	}
	c.limited.limit(responselimit.DiscardedBody, responselimit.MaxDiscardedBytes)
	c.limited.deadline(within)
	_, err := io.Copy(io.Discard, stray.Body)
	c.limited.endDeadline()
	return c.limited.cause(err)
}

// Discard reads a body that nobody needs, so that the connection can be used again. It reads
// no more than a bound and waits for no more than a few milliseconds; it returns a
// *responselimit.Error then, and Close closes the connection.
func (r *Response) Discard() error {
	limited := r.conn.limited
	limited.limit(responselimit.DiscardedBody, responselimit.MaxDiscardedBytes)
	limited.deadline(responselimit.DiscardTime)
	_, err := io.Copy(io.Discard, r.Body)
	limited.lift()
	return limited.cause(err)
}

// BodyWithin bounds the time in which the body of a failed response is read from now on, until
// lift is called; 0: it is not bounded.
func (r *Response) BodyWithin(within time.Duration) (lift func()) {
	if within <= 0 {
		return func() {}
	}
	limited := r.conn.limited
	limited.limit(responselimit.FailedBody, math.MaxInt)
	limited.deadline(within)
	limited.late = responselimit.FailedDuration
	return limited.lift
}
