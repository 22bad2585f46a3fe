package gateway

import (
	"net/http"
	"time"
)

// minUnreadTime is how long a connection stays open at least, after a rejection, while its caller
// may still send the body.
const minUnreadTime = 500 * time.Millisecond

// callerBody is the body of a caller's request.
type callerBody struct {
	source *bodySource
	// pending: some of it may still come. begun: reading it has begun, so that a caller that
	// waits for 100 Continue sends it.
	pending, begun bool
}

// respondBeforeBody prepares a response that is sent before the body was read. The rest of the
// body is read afterwards (discardUnread).
func (j *job) respondBeforeBody() {
	if !j.body.pending {
		return
	}
	if !j.body.begun && j.inbound.Header.Get("Expect") != "" {
		j.body.pending = false
		j.writer.Header().Set("Connection", "close")
		return
	}
	// Otherwise net/http reads up to 256 KiB of the body before it sends the response.
	_ = http.NewResponseController(j.writer).EnableFullDuplex()
}

// discardUnread sends the response to a request whose body was not read, and then reads the body
// for as long as its caller may send it. A connection that is closed with unread bytes is reset:
// a caller that still sends would not see the response. It closes the connection if the body
// does not end in time, as the rest of it would be taken for the next request.
func (j *job) discardUnread() {
	if !j.body.pending {
		return
	}
	if j.body.source == nil {
		j.body.source = newBodySource(j.inbound.Body, 0)
	}
	lingerUntil := time.Now().Add(minUnreadTime)
	control := http.NewResponseController(j.writer)
	_ = control.Flush()
	_ = control.SetReadDeadline(later(j.bodyDeadline(), lingerUntil))
	if err := j.body.source.discard(); err != nil {
		time.Sleep(time.Until(lingerUntil))
		panic(http.ErrAbortHandler)
	}
	_ = control.SetReadDeadline(time.Time{})
}

// bodyDeadline is the time until which the caller may send the body.
func (j *job) bodyDeadline() time.Time {
	shortest := j.arrived.Add(minBodyTimeout)
	if !j.deadline.IsZero() {
		return j.gateway.stop.earlier(later(j.deadline, shortest))
	}
	return j.gateway.stop.earlier(later(j.arrived.Add(min(j.head.Timeout, defaultTimeout)), shortest))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
