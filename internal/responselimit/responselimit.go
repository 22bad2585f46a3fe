// Package responselimit holds the bounds on what is read of a response that another process
// sends: a faulty one may send bytes without end. It leaves closing the connection and
// recording the failure to its callers.
package responselimit

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// MaxStatusLineBytes bounds a status line of a backend server's response. Elsewhere it
	// is part of the head.
	MaxStatusLineBytes = 4 << 10
	// MaxHeadBytes bounds a head, that is the status line and the header fields, together
	// with those of the interim responses before it.
	MaxHeadBytes = 32 << 10
	// MaxInterimResponses bounds the interim responses (status 1xx) before a response.
	MaxInterimResponses = 32
	// MaxDiscardedBytes bounds the body of a response that is read only to use its
	// connection again.
	MaxDiscardedBytes = 1 << 20
	// DiscardTime bounds the wait for the rest of such a body: a new connection takes
	// less time.
	DiscardTime = 5 * time.Millisecond
	// MaxFailedBytes bounds the body of a response with status 3xx to 5xx that has neither
	// a length nor a signature. It is read whole before any of it is passed on, and many
	// may be read at once.
	MaxFailedBytes = 64 << 10
	// MaxFailedLength bounds the declared length of a response with status 3xx to 5xx that
	// has no signature.
	MaxFailedLength = 1 << 20
	// HeadTime bounds the time from the first byte of a head to its end where the request
	// may be sent to another server. That server responds within the shortest target for
	// plain calls (150 ms) then.
	HeadTime = 100 * time.Millisecond
	// FailedTime bounds the time from the end of the head to the end of a failed response
	// where the request may be sent to another server: HeadTime's reason holds for it too.
	FailedTime = 100 * time.Millisecond
	// HeadTimeGrace is how much longer a head or a failed response is read after its time. A
	// process that stood still finds bytes that have arrived in time.
	HeadTimeGrace = 10 * time.Millisecond
)

// Bound names a bound in errors, logs and metrics.
type Bound string

// The bounds.
const (
	StatusLine       Bound = "status_line"
	Head             Bound = "head"
	InterimResponses Bound = "interim_responses"
	HeadDuration     Bound = "head_time"
	DiscardedBody    Bound = "discarded_body"
	FailedBody       Bound = "failed_body"
	FailedDuration   Bound = "failed_time"
	Body             Bound = "body"
)

// Error says that a response exceeds a bound.
type Error struct {
	Bound Bound
	// Limit is the bound's value: bytes, responses or nanoseconds.
	Limit int64
}

// Error implements error.
func (e *Error) Error() string {
	switch e.Bound {
	case InterimResponses:
		return fmt.Sprintf("response exceeds a bound: more than %d interim responses", e.Limit)
	case HeadDuration:
		return fmt.Sprintf("response exceeds a bound: head not complete %v after its first byte", time.Duration(e.Limit))
	case FailedDuration:
		return fmt.Sprintf("response exceeds a bound: failed response not complete %v after its head", time.Duration(e.Limit))
	}
	return fmt.Sprintf("response exceeds a bound: %s longer than %d bytes", strings.ReplaceAll(string(e.Bound), "_", " "), e.Limit)
}

// headersExceeded is part of the error of net/http's client for a head that is longer than
// Transport.MaxResponseHeaderBytes, for which it has no type.
const headersExceeded = "server response headers exceeded"

// Exceeded returns the bound that a response exceeded, if err says so.
func Exceeded(err error) (Bound, bool) {
	var exceeded *Error
	switch {
	case errors.As(err, &exceeded):
		return exceeded.Bound, true
	case err != nil && strings.Contains(err.Error(), headersExceeded):
		return Head, true
	}
	return "", false
}

// Reader reads a body of at most limit bytes. Reading more fails with an Error, so that a body
// that is cut off does not look complete.
func Reader(from io.Reader, limit int64) io.Reader {
	return &reader{from: from, left: limit, limit: limit}
}

type reader struct {
	from        io.Reader
	left, limit int64
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.left == 0 {
		var one [1]byte
		n, err := io.ReadFull(r.from, one[:])
		if n > 0 {
			return 0, &Error{Bound: Body, Limit: r.limit}
		}
		return 0, err
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

const (
	firstBlockBytes = 4 << 10
	maxBlockBytes   = 256 << 10
)

// ReadAll reads a body of at most limit bytes; a longer one fails with an Error. A body that
// does not end takes no more memory than the limit, as it is kept in blocks until its end.
func ReadAll(from io.Reader, limit int64) ([]byte, error) {
	bounded := Reader(from, limit)
	var blocks [][]byte
	for size := firstBlockBytes; ; size = min(2*size, maxBlockBytes) {
		block, err := fill(bounded, make([]byte, size))
		blocks = append(blocks, block)
		switch {
		case errors.Is(err, io.EOF):
			return bytes.Join(blocks, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until the block is full or a read fails, and returns what was read. Unlike that of
// io.ReadFull, its error tells an end from a body that was cut off.
func fill(from io.Reader, block []byte) ([]byte, error) {
	read := 0
	for read < len(block) {
		n, err := from.Read(block[read:])
		read += n
		if err != nil {
			return block[:read], err
		}
	}
	return block, nil
}
