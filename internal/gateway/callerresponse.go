package gateway

import (
	"net/http"
	"strconv"

	"k8s.io/klog/v2"
)

// net/http ends the response of a handler that returns as a complete one, whatever was
// written. A response that is not complete must therefore end in a panic with
// http.ErrAbortHandler, which closes the connection.

// beginResponse sends the header of the caller's response. A second response would be
// taken for the rest of the first and end it in good order.
func (j *job) beginResponse(status int) {
	if j.begun {
		j.abort("response of status " + strconv.Itoa(status) + " not sent behind another")
	}
	j.begun = true
	j.closeWithReset(true)
	j.writer.WriteHeader(status)
}

// endResponse breaks the caller's response off unless it was sent to its end.
func (j *job) endResponse() {
	if !j.ended {
		j.abort(j.outcome)
	}
	if j.unframedConn() == nil {
		return
	}
	if err := http.NewResponseController(j.writer).Flush(); err != nil {
		j.abort("response not written: " + err.Error())
	}
	j.closeWithReset(false)
}

// unframedConn returns the caller's connection if nothing but its close ends the response,
// nil otherwise. A caller of HTTP/1.0 cannot tell an orderly close from the response's end.
func (j *job) unframedConn() *callerConn {
	if j.inbound.ProtoAtLeast(1, 1) || j.writer.Header().Get("Content-Length") != "" {
		return nil
	}
	conn, _ := j.inbound.Context().Value(callerConnKey{}).(*callerConn)
	return conn
}

// closeWithReset sets whether the connection that ends an unframed response is closed with
// a reset.
func (j *job) closeWithReset(reset bool) {
	conn := j.unframedConn()
	if conn == nil {
		return
	}
	if err := conn.closeWithReset(reset); err != nil {
		klog.InfoS("Close of the caller's connection not set", "request", j.head.ID, "reset", reset, "err", err)
	}
}

// abort logs the outcome and closes the caller's connection: net/http ends the response
// of a handler that returns as a complete one. It does not return.
func (j *job) abort(outcome string) {
	j.outcome = outcome
	j.logOutcome()
	panic(http.ErrAbortHandler)
}
