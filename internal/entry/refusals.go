package entry

import (
	"errors"
	"net/http"
	"strings"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// errBody is a caller's body that could not be read to its end.
var errBody = errors.New("request body")

// refused turns an agent's refusal into the caller's error.
func (h *handing) refused(a *attempt) *Error {
	refusal := refusalOf(a)
	message := a.reply.GetMessage()
	if a.end.GetError() != "" {
		message = a.end.GetError()
	}
	if message == "" {
		message = "refused by the backend server: " + refusalName(refusal)
	}
	var e *Error
	switch refusal {
	case jayv1.Refusal_REFUSAL_INVALID:
		e = refuse(http.StatusBadRequest, CodeInvalidRequest, message)
	case jayv1.Refusal_REFUSAL_DEADLINE:
		e = refuseForNow(http.StatusGatewayTimeout, CodeDeadline, message, h.retryAfter())
	default:
		e = refuseForNow(http.StatusServiceUnavailable, CodeOverloaded, message, h.retryAfter())
	}
	e.Outcome = h.outcomeNow()
	return e
}

// retryAfter is the wait that the last refusal named, if any.
func (h *handing) retryAfter() time.Duration {
	return ms(int(max(h.last.end.GetRetryAfterMs(), h.last.reply.GetRetryAfterMs())))
}

// bodyError is the caller's error for a body that ended early; the caller is
// mostly gone by then.
func bodyError(cause error) *Error {
	var typed *Error
	if errors.As(cause, &typed) {
		return typed
	}
	return refuse(http.StatusBadRequest, CodeInvalidRequest, "the request body ended early")
}

// refusalName is the reason as callers and metrics read it.
func refusalName(refusal jayv1.Refusal) string {
	return strings.ToLower(strings.TrimPrefix(refusal.String(), "REFUSAL_"))
}
