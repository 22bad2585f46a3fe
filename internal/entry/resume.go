package entry

import (
	"encoding/base64"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/relay"
)

// errInvalidToken is returned for a resume token that can't be decoded.
var errInvalidToken = errors.New("resume token is not valid")

// maxTokenBytes is the maximum length of an encoded resume token.
const maxTokenBytes = 1024

// resumeToken returns the token that identifies the stream of an attempt: its
// backend server, request, attempt and the nonce known only to its caller. The
// workspace is not part of it but taken from the API key of the resuming caller.
func (e *Entry) resumeToken(a *attempt) string {
	return encodeToken(&jayv1.ResumeToken{
		BackendServer: a.server, RequestId: a.id, Attempt: a.number, Nonce: a.nonce, Generation: a.generation,
	})
}

func encodeToken(token *jayv1.ResumeToken) string {
	encoded, err := proto.Marshal(token)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(encoded)
}

func decodeToken(text string) (*jayv1.ResumeToken, error) {
	if len(text) > maxTokenBytes {
		return nil, errInvalidToken
	}
	encoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, errInvalidToken
	}
	token := &jayv1.ResumeToken{}
	if proto.Unmarshal(encoded, token) != nil {
		return nil, errInvalidToken
	}
	if token.GetBackendServer() == "" || token.GetRequestId() == "" || len(token.GetNonce()) != nonceBytes {
		return nil, errInvalidToken
	}
	return token, nil
}

// resumeStream continues a stream after Last-Event-ID. Any entry can do so.
func (e *Entry) resumeStream(c echo.Context) error {
	call := callOf(c)
	notFound := refuse(http.StatusNotFound, CodeStreamNotFound, "no such stream")
	notFound.Outcome = jayv1.Outcome_OUTCOME_UNKNOWN
	token, err := decodeToken(c.Param("token"))
	if err != nil {
		return notFound
	}
	server, ok := call.table.BackendServer(token.GetBackendServer())
	if !ok && token.GetGeneration() > call.table.Generation() {
		// The catalog of this entry is older than the stream: the stream may exist
		// although its server is not in the catalog yet.
		return streamNotReached("the backend server that keeps the stream is not known to this entry yet")
	}
	if !ok {
		logStreamNotFound(token, call, "the backend server is not in the catalog")
		return notFound
	}
	next, ok := nextAfter(c.Request().Header.Get("Last-Event-ID"))
	if !ok {
		return invalid("Last-Event-ID is not a number")
	}
	leave, refusal := e.streams.enter(call.workspace.GetName())
	if refusal != nil {
		return refusal
	}
	defer leave()
	a := newAttempt(token.GetRequestId(), token.GetAttempt())
	a.server, a.address = server.GetName(), server.GetAgentAddress()
	a.workspace, a.nonce = call.workspace.GetName(), token.GetNonce()
	a.generation = max(token.GetGeneration(), call.table.Generation())
	a.chunks = relay.ReceiverAt(next)
	a.dial, a.limits, a.timeouts = e.node, e.settings.Attempts, e.settings.Timeouts
	a.acks = relay.NewAcks(a.limits.acks(true), next)
	a.resumable = c.Request().Header.Get(HeaderResume) == resumeKeep
	client := newCaller(c.Response(), c.Request(), token.GetRequestId(), ms(e.settings.Timeouts.CallerWriteMS))
	to := &sseSink{caller: client, newToken: e.resumeToken}
	to.Begin(a)
	a.follow(c.Request().Context(), to)
	r := resumeResult(a, to.Started(), notFound)
	if r.err != nil {
		e.countRefusal(call.workspace, r.err)
	}
	if r.err == notFound {
		logStreamNotFound(token, call, a.end.GetError())
	}
	to.finish(r)
	return nil
}

// logStreamNotFound records why a caller is told that its stream does not exist.
func logStreamNotFound(token *jayv1.ResumeToken, call *call, reason string) {
	klog.InfoS("stream not found", "request", token.GetRequestId(), "attempt", token.GetAttempt(), "workspace", call.workspace.GetName(),
		"server", token.GetBackendServer(), "reason", reason, "tokenGeneration", token.GetGeneration(), "generation", call.table.Generation())
}

// nextAfter returns the sequence number of the chunk after the last received
// event, false when the event id is not valid.
func nextAfter(lastEventID string) (uint64, bool) {
	if lastEventID == "" {
		return 0, true
	}
	last, err := strconv.ParseUint(lastEventID, 10, 64)
	return last + 1, err == nil && last+1 != 0
}

// resumeResult returns the result of a resumed stream.
//
// "No such stream" is final for the caller, so it is returned only when the agent
// reports that it does not have the stream. An agent that does not respond may
// still have it.
func resumeResult(a *attempt, started bool, notFound *Error) result {
	r := result{outcome: a.outcome(), attempts: a.number, end: a.end, server: a.server}
	switch {
	case r.outcome == jayv1.Outcome_OUTCOME_DONE:
	case !started && a.end.GetRefusal() == jayv1.Refusal_REFUSAL_NOT_FOUND:
		r.err = notFound
	case !started && a.end == nil:
		r.err = streamNotReached("the backend server that keeps the stream can't be reached at present")
	case r.outcome == jayv1.Outcome_OUTCOME_NOT_RUN:
		r.err = refuseTemporarily(http.StatusServiceUnavailable, CodeStreamBroken, "the request was not run", ms(int(a.end.GetRetryAfterMs())))
	default:
		r.err = &Error{
			Status: http.StatusBadGateway, Code: CodeStreamBroken, Outcome: r.outcome,
			Message: "the stream could not be completed",
		}
	}
	return r
}

// streamNotReached returns the error for a stream that may exist but can't be reached
// from this entry at present.
func streamNotReached(message string) *Error {
	e := refuseTemporarily(http.StatusServiceUnavailable, CodeStreamNotReached, message, 0)
	e.Outcome = jayv1.Outcome_OUTCOME_UNKNOWN
	return e
}
