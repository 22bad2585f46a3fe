package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"k8s.io/klog/v2"
)

// endSend ends the request's send if a panic left it open, so that its server does not count as
// busy with it.
func (j *job) endSend() {
	if j.sending != nil {
		j.sendFinished(j.sending, indeterminate)
	}
}

// endPanic logs and counts a panic, which net/http would end with a closed connection and no line
// of its own. The caller gets a 502 unless its response has begun: the request may have run.
func (j *job) endPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	j.gateway.metrics.Count("panics", j.routeLabel(), 1)
	klog.ErrorS(fmt.Errorf("panic: %v", cause), "Request not served", "request", j.head.ID, "sends", j.sends, "tried", j.tried, "stack", string(debug.Stack()))
	if j.begun {
		j.abort("panic")
	}
	j.outcome = "panic"
	j.writer.Header().Set("Connection", "close")
	j.gateway.ports.Dialect.Refuse(j.writer.Header(), j.head.ID, 0)
	j.respondEmpty(http.StatusBadGateway)
	j.logOutcome()
}
