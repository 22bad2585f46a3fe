package entry

import (
	"encoding/base64"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/relay"
)

// errToken is a resume token that says nothing.
var errToken = errors.New("resume token is not valid")

// maxTokenBytes bounds an encoded resume token.
const maxTokenBytes = 1024

// resumeToken names the stream of an attempt: where it runs, which it is, and
// the nonce that only its caller has. The workspace is not part of it: it is
// taken from the key of whoever resumes.
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
		return nil, errToken
	}
	encoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, errToken
	}
	token := &jayv1.ResumeToken{}
	if proto.Unmarshal(encoded, token) != nil {
		return nil, errToken
	}
	if token.GetBackendServer() == "" || token.GetRequestId() == "" || len(token.GetNonce()) != nonceBytes {
		return nil, errToken
	}
	return token, nil
}

// resumeStream continues a stream after Last-Event-ID, at whichever entry the
// caller's new connection came to.
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
		// The catalog here is older than the stream: the server is not known yet,
		// which is no proof that the stream is gone.
		return notReached("the backend server that keeps the stream is not known here yet")
	}
	if !ok {
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
	a.unacked = uint64(a.limits.ResumeChunks) //nolint:gosec // not negative by the setting's rule
	a.detach = c.Request().Header.Get(HeaderResume) == resumeKeep
	client := newCaller(c.Response(), token.GetRequestId(), ms(e.settings.Timeouts.CallerWriteMS))
	to := &sseSink{caller: client, mint: e.resumeToken}
	to.Begin(a)
	a.follow(c.Request().Context(), to)
	to.finish(resumed(a, to.Started(), notFound))
	return nil
}

// nextAfter is the number of the first chunk wanted after the last event seen.
func nextAfter(lastEventID string) (uint64, bool) {
	if lastEventID == "" {
		return 0, true
	}
	last, err := strconv.ParseUint(lastEventID, 10, 64)
	return last + 1, err == nil && last+1 != 0
}

// resumed is the result of a stream that was continued.
//
// "No such stream" is final: the caller gives up what it began. Only the agent
// knows that, and says so in a refusal; an end of the run says that the stream
// was known, and silence says nothing at all.
func resumed(a *attempt, started bool, notFound *Error) result {
	r := result{outcome: a.outcome(), attempts: a.number, end: a.end, server: a.server}
	switch {
	case r.outcome == jayv1.Outcome_OUTCOME_DONE:
	case !started && a.end.GetRefusal() == jayv1.Refusal_REFUSAL_NOT_FOUND:
		r.err = notFound
	case !started && a.end == nil:
		r.err = notReached("the backend server that keeps the stream can't be reached now")
	case r.outcome == jayv1.Outcome_OUTCOME_NOT_RUN:
		r.err = refuseForNow(http.StatusServiceUnavailable, CodeStreamBroken, "the request was not run", ms(int(a.end.GetRetryAfterMs())))
	default:
		r.err = &Error{
			Status: http.StatusBadGateway, Code: CodeStreamBroken, Outcome: r.outcome,
			Message: "the stream could not be completed",
		}
	}
	return r
}

// notReached says that the stream may be kept, but not reached from here now.
func notReached(message string) *Error {
	e := refuseForNow(http.StatusServiceUnavailable, CodeStreamNotReached, message, 0)
	e.Outcome = jayv1.Outcome_OUTCOME_UNKNOWN
	return e
}
