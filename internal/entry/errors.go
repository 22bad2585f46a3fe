package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Headers of the callers' API.
const (
	HeaderRequestID      = "X-Jay-Request-Id"
	HeaderAttempts       = "X-Jay-Attempts"
	HeaderOutcome        = "X-Jay-Outcome"
	HeaderClass          = "X-Jay-Class"
	HeaderResumeToken    = "X-Jay-Resume-Token" //nolint:gosec // a header's name, no credential
	HeaderResume         = "X-Jay-Resume"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
	// headerShouldRetry makes OpenAI clients not repeat a request automatically.
	headerShouldRetry = "X-Should-Retry"
)

// Code is the machine-readable reason of an error.
type Code string

// Codes of the errors that callers get.
const (
	CodeInvalidKey        Code = "invalid_api_key"
	CodeInvalidRequest    Code = "invalid_request"
	CodeBodyTooLarge      Code = "body_too_large"
	CodeHeadersTooLarge   Code = "headers_too_large"
	CodePromptTooLarge    Code = "prompt_too_large"
	CodeBodyTooSlow       Code = "body_too_slow"
	CodeModelNotFound     Code = "model_not_found"
	CodeServiceNotFound   Code = "service_not_found"
	CodeNotFound          Code = "not_found"
	CodeMethodNotAllowed  Code = "method_not_allowed"
	CodeForbidden         Code = "forbidden"
	CodeRateLimited       Code = "rate_limited"
	CodeTooManyStreams    Code = "too_many_streams"
	CodeOverloaded        Code = "overloaded"
	CodeNoConfiguration   Code = "no_configuration"
	CodeNoBackendServer   Code = "no_backend_server"
	CodeDeadline          Code = "deadline_exceeded"
	CodeOutcomeUnknown    Code = "outcome_unknown"
	CodeDuplicate         Code = "duplicate_request"
	CodeClaimsUnavailable Code = "claims_unavailable"
	CodeResponseTooLarge  Code = "answer_too_large"
	CodeStreamNotFound    Code = "stream_not_found"
	CodeStreamBroken      Code = "stream_broken"
	CodeStreamNotReached  Code = "stream_not_reached"
	CodeQuarantined       Code = "request_held"
	CodeInternal          Code = "internal_error"
	typeInvalidRequest         = "invalid_request_error"
	typeAuthentication         = "authentication_error"
	typePermission             = "permission_error"
	typeRateLimit              = "rate_limit_error"
	typeServer                 = "server_error"
	defaultRetryAfter          = time.Second
	statusHeadersTooLarge      = http.StatusRequestHeaderFieldsTooLarge
)

// Error is a refusal or failure as it is returned to a caller.
type Error struct {
	Status  int
	Code    Code
	Message string
	Outcome jayv1.Outcome
	// RetryAfter is the value of the Retry-After header; 0: no header.
	RetryAfter time.Duration
	// RequestID is set when the error is about another request: the first one of
	// a duplicate.
	RequestID string
}

// Error returns code and message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// refuse returns the error for a request that did not run.
func refuse(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, Outcome: jayv1.Outcome_OUTCOME_NOT_RUN}
}

// refuseTemporarily is refuse for a temporary cause, with a Retry-After.
func refuseTemporarily(status int, code Code, message string, after time.Duration) *Error {
	e := refuse(status, code, message)
	e.RetryAfter = max(after, defaultRetryAfter)
	return e
}

// errorBody is the JSON error of the OpenAI API with additional fields.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Type         string `json:"type"`
	Code         Code   `json:"code"`
	Message      string `json:"message"`
	Param        any    `json:"param"`
	RequestID    string `json:"request_id,omitempty"`
	Outcome      string `json:"outcome"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func (e *Error) body(requestID string) []byte {
	if e.RequestID != "" {
		requestID = e.RequestID
	}
	encoded, err := json.Marshal(errorBody{Error: errorFields{
		Type: typeOf(e.Status), Code: e.Code, Message: e.Message, RequestID: requestID,
		Outcome: OutcomeName(e.Outcome), RetryAfterMS: e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return []byte(`{"error":{"type":"server_error","code":"internal_error"}}`)
	}
	return encoded
}

func typeOf(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return typeAuthentication
	case status == http.StatusForbidden:
		return typePermission
	case status == http.StatusTooManyRequests:
		return typeRateLimit
	case status >= http.StatusInternalServerError:
		return typeServer
	}
	return typeInvalidRequest
}

// write sends the error as the complete response.
func (e *Error) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, OutcomeName(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	// An automatic retry of a request that may have run could run it twice.
	// Resuming a stream runs nothing.
	mayRunTwice := e.Outcome != jayv1.Outcome_OUTCOME_NOT_RUN && e.Code != CodeStreamNotReached
	if mayRunTwice || e.Code == CodeDuplicate {
		h.Set(headerShouldRetry, "false")
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.body(requestID))
}

// asError converts any error into one that a caller may see.
func asError(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{
		Status: http.StatusInternalServerError, Code: CodeInternal, Message: "internal error",
		Outcome: jayv1.Outcome_OUTCOME_UNKNOWN,
	}
}

// OutcomeName returns the outcome as it appears in responses to callers.
func OutcomeName(outcome jayv1.Outcome) string {
	switch outcome {
	case jayv1.Outcome_OUTCOME_DONE:
		return "done"
	case jayv1.Outcome_OUTCOME_NOT_RUN:
		return "not_run"
	default:
		return "unknown"
	}
}
