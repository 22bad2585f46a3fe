package entry

import (
	"errors"
	"net/http"
	"strings"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// errBody marks errors in reading the caller's body.
var errBody = errors.New("request body could not be read")

// refused converts an agent's refusal into the caller's error.
func (d *dispatch) refused(a *attempt) *Error {
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
		e = refuseTemporarily(http.StatusGatewayTimeout, CodeDeadline, message, d.retryAfter())
	default:
		e = refuseTemporarily(http.StatusServiceUnavailable, CodeOverloaded, message, d.retryAfter())
	}
	e.Outcome = d.outcomeNow()
	return e
}

// retryAfter returns the retry delay of the last refusal, 0 when it has none.
func (d *dispatch) retryAfter() time.Duration {
	return ms(int(max(d.last.end.GetRetryAfterMs(), d.last.reply.GetRetryAfterMs())))
}

// bodyError returns the caller's error for a truncated body. By then the caller
// has usually disconnected.
func bodyError(cause error) *Error {
	var typed *Error
	if errors.As(cause, &typed) {
		return typed
	}
	return refuse(http.StatusBadRequest, CodeInvalidRequest, "the request body was truncated")
}

// refusalName returns the reason as it appears in responses and explanations.
func refusalName(refusal jayv1.Refusal) string {
	return strings.ToLower(strings.TrimPrefix(refusal.String(), "REFUSAL_"))
}
