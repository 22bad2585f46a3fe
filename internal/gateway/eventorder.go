package gateway

import (
	"bytes"
	"errors"
	"math"
	"strconv"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

// errOtherResponse: a server's response goes on with what is not of the same run.
var errOtherResponse = errors.New("not of the stream")

// eventOrder checks the IDs of a stream's events. Within one response they increase, and need
// not be consecutive. IDs that are no integers are not checked.
type eventOrder struct {
	// caller is the last event that the caller has, response the last one of the current
	// response; noEventNumber: none.
	caller, response int64
	// steps counts the events that followed the one before by 1. irregular: one did not.
	steps     int
	irregular bool
}

const noEventNumber = math.MinInt64

// eventPlace is the place of an event in its stream.
type eventPlace int

const (
	// inOrder: the event comes after all others so far.
	inOrder eventPlace = iota
	// afterGap: as inOrder, but IDs were consecutive so far.
	afterGap
	// alreadySent: the caller has the event. A run that resumes may begin with such events.
	alreadySent
	// outOfOrder: the response had this event, or a later one, before.
	outOfOrder
)

// beginResponse prepares for the first event of a response. last is the ID of the last event
// that the caller has; empty: none.
func (o *eventOrder) beginResponse(last string) {
	o.caller, o.response = eventNumber(last), noEventNumber
	if o.caller != noEventNumber {
		// A run goes on right after the caller's last event.
		o.steps = max(o.steps, 1)
	}
}

// place returns the place of the next event of the response.
func (o *eventOrder) place(id string) eventPlace {
	n := eventNumber(id)
	switch {
	case n == noEventNumber:
		return inOrder
	case n <= o.response:
		return outOfOrder
	}
	o.response = n
	if n <= o.caller {
		return alreadySent
	}
	previous := o.caller
	o.caller = n
	switch {
	case previous == noEventNumber || o.irregular:
		return inOrder
	case n == previous+1:
		o.steps++
		return inOrder
	}
	o.irregular = true
	if o.steps == 0 {
		return inOrder
	}
	return afterGap
}

// eventNumber returns an event ID as a number; noEventNumber if it is none.
func eventNumber(id string) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return noEventNumber
	}
	return n
}

// mayForward reports whether the caller gets an event. An error means that the response does
// not go on with the stream.
func (j *job) mayForward(choice *routing.DirectChoice, response *upstream.Response, ev event) (bool, error) {
	if response.Framing == upstream.FramedByConnection && bytes.HasPrefix(ev.text, statusLinePrefix) {
		j.gateway.metrics.Count("event_order", "other response", 1)
		return false, eris.Wrap(errOtherResponse, "head of a response")
	}
	switch j.stream.order.place(ev.id) {
	case outOfOrder:
		j.gateway.metrics.Count("event_order", "out of order", 1)
		return false, eris.Wrapf(errOtherResponse, "event %s after %s", ev.id, j.lastEventID())
	case alreadySent:
		j.gateway.metrics.Count("event_order", "already sent", 1)
		return false, nil
	case afterGap:
		// Servers need not number their events consecutively.
		j.gateway.metrics.Count("event_order", "gap", 1)
		klog.InfoS("Event IDs not consecutive", "request", j.head.ID, "server", choice.Server.ID, "send", j.sends, "after", j.lastEventID(), "event", ev.id)
	case inOrder:
	}
	return true, nil
}

// statusLinePrefix begins the head of a response, and no field of an event.
var statusLinePrefix = []byte("HTTP/1.")

// lastEventID is the ID of the last event that the caller has of the stream; empty: none.
func (j *job) lastEventID() string {
	if j.stream.lastID != "" {
		return j.stream.lastID
	}
	return j.head.LastEventID
}
