package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/endproof"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/sharedfact"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

// maxBufferedBytes of a response are read before the caller gets any of it: a
// response interrupted before that can still be replaced.
const maxBufferedBytes = 256 << 10

// bufferedResponse is a complete response of a server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

const eventStreamType = "text/event-stream"

// handleResponse forwards a server's response, or discards it if another send
// may succeed.
func (j *job) handleResponse(choice *routing.DirectChoice, response *upstream.Response, head *call.ResponseHead) sendOutcome {
	server := choice.Server.ID
	j.load, j.hasLoad = head.Load, head.HasLoad
	j.framing = response.Framing.String()
	j.gateway.metrics.Count("response_framing", j.framing, 1)
	switch {
	case head.Refused():
		if err := response.Discard(); j.gateway.countExceeded(err) {
			// The next request would be refused in the same way.
			klog.InfoS("Body of a refusal does not end", "request", j.head.ID, "server", server, "err", err)
			j.recordServerFailure(server)
		}
		j.handleRefusal(choice, head)
		return notRun
	case head.Status < http.StatusMultipleChoices && (!head.Sealed || head.Encoded):
		// The response lacks the backend server's signature, or its body is not as the
		// server sent it.
		klog.InfoS("Response unsigned or re-encoded", "request", j.head.ID, "server", server, "status", head.Status)
		j.recordServerFailure(server)
		return indeterminate
	case head.Status < http.StatusMultipleChoices && strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType):
		return j.forwardStream(choice, response)
	case j.stream.delivered > 0:
		return j.handleOtherThanRest(choice, head)
	}
	return j.handleBuffered(choice, response, head)
}

// handleOtherThanRest discards a response that is not the rest of the stream that the
// caller has begun to receive.
func (j *job) handleOtherThanRest(choice *routing.DirectChoice, head *call.ResponseHead) sendOutcome {
	klog.InfoS("Response is not the rest of the stream", "request", j.head.ID, "server", choice.Server.ID, "status", head.Status, "events", j.stream.delivered)
	if head.Status >= http.StatusInternalServerError {
		j.recordServerFailure(choice.Server.ID)
	}
	return indeterminate
}

func (j *job) recordServerFailure(server string) {
	j.evidence.failed = true
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Failed(time.Now(), server)
}

// handleRefusal updates the state after a refusal: the server may be another
// incarnation, have other weights than expected, or be overloaded.
func (j *job) handleRefusal(choice *routing.DirectChoice, head *call.ResponseHead) {
	klog.InfoS("Refused by server", "request", j.head.ID, "server", choice.Server.ID, "status", head.Status,
		"instance", head.Instance, "retryAfterMS", head.RetryAfter.Milliseconds(), "version", head.Version, "expected", choice.Server.Version, "running", head.Load.Running, "waiting", head.Load.Waiting)
	j.gateway.metrics.Count("refused_by_server", strconv.Itoa(head.Status), 1)
	now := time.Now()
	server := choice.Server
	switch {
	case head.Instance != "" && head.Instance != server.Instance:
		j.gateway.pool.CloseIdle(server.Address)
		j.gateway.state.incarnationEnded(now, server.ID, "response from instance "+head.Instance)
		j.evidence.otherIncarnation = true
	case head.Version > server.Version,
		head.Status == http.StatusMisdirectedRequest && j.gateway.state.inferNextVersion(server.ID, j.modelName(), server.Version):
		// Only this entry's view of the weights was outdated, so the server may be
		// asked again. While the others take new weights it may be the only one left.
		j.tried = j.tried[:len(j.tried)-1]
		j.evidence.model, j.evidence.version = j.modelName(), j.gateway.state.versionOf(server.ID, j.modelName())
		if head.Version > server.Version {
			j.gateway.state.reportWeights(now, sharedfact.Serving, server.ID, j.evidence.model, head.Version)
		}
	case j.deadline.Sub(now) < minResendTime:
		// The request waited at the server until its time was over, which says nothing
		// about the server. Avoiding it would concentrate an overload on fewer and
		// fewer servers.
	case asksForRest(head):
		// The rest keeps this entry away.
	case server.Version != 0:
		// The server is probably taking new weights: avoid it until that shows.
		j.gateway.observeRefusal(now, &server, j.modelName(), head.Status)
		j.evidence.refused, j.evidence.model = true, j.modelName()
	}
}

// handleBuffered reads a response other than a stream to its end before the
// caller gets it. Responses longer than maxBufferedBytes are forwarded as they
// arrive.
func (j *job) handleBuffered(choice *routing.DirectChoice, response *upstream.Response, head *call.ResponseHead) sendOutcome {
	lift := response.BodyWithin(j.failedTime(choice, head))
	most := j.bufferBytes(response.Length)
	body, err := readBuffered(response, head, most)
	lift()
	if err != nil {
		return j.responseInterrupted(choice, err)
	}
	if int64(len(body)) == most {
		return j.forwardLong(choice, response, body)
	}
	if err := j.checkEnd(choice, response); err != nil {
		return j.responseInterrupted(choice, err)
	}
	buffered := &bufferedResponse{status: head.Status, header: j.gateway.ports.Dialect.ResponseHeader(response.Header), body: body}
	if head.Status >= http.StatusInternalServerError && j.route.Repeatable() && j.indeterminateSends+1 < j.route.MaxAttempts {
		// Another server may succeed. If none does, this response is passed on.
		klog.InfoS("Server error response", "request", j.head.ID, "server", choice.Server.ID, "status", head.Status)
		j.serverFailure = buffered
		return indeterminate
	}
	if head.Status >= http.StatusInternalServerError {
		j.recordServerFailure(choice.Server.ID)
	}
	j.complete, j.succeeded = true, head.Status < http.StatusMultipleChoices
	j.writeBuffered(buffered)
	return delivered
}

func (j *job) responseInterrupted(choice *routing.DirectChoice, err error) sendOutcome {
	klog.InfoS("Response interrupted", "request", j.head.ID, "server", choice.Server.ID, "err", err, "events", j.stream.delivered, "lastEvent", j.lastEventID(),
		"fingerprint", j.fingerprint().String(), "parts", j.sharedPartIDs(), "sentMS", time.Since(j.sentAt).Milliseconds())
	if j.ctx.Err() != nil {
		return canceled
	}
	if errors.Is(err, errNoEventMemory) {
		j.gateway.metrics.Count("body_memory_rejected", "event", 1)
		return indeterminate
	}
	j.recordServerFailure(choice.Server.ID)
	if j.gateway.countExceeded(err) || errors.Is(err, errOtherResponse) {
		// This entry ended the response, not a crash of the server.
		return indeterminate
	}
	wasAsked := errors.Is(err, endproof.ErrNoProof) || errors.Is(err, endproof.ErrEnded)
	j.recordEarlyInterruption(choice, !wasAsked)
	return indeterminate
}

// writeBuffered sends the caller a complete response.
func (j *job) writeBuffered(response *bufferedResponse) {
	j.copyHeader(response.header)
	j.writer.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	j.beginResponse(response.status)
	j.ended = true
	if j.inbound.Method != http.MethodHead {
		if _, err := j.writer.Write(response.body); err != nil {
			j.outcome = "response not written: " + err.Error()
			return
		}
	}
	j.outcome = "answered " + strconv.Itoa(response.status)
}

func (j *job) copyHeader(from http.Header) {
	to := j.writer.Header()
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		// Keeps net/http from guessing a content type.
		to["Content-Type"] = nil
	}
}

// forwardLong forwards a response that is too long to be buffered.
func (j *job) forwardLong(choice *routing.DirectChoice, response *upstream.Response, buffered []byte) sendOutcome {
	j.copyHeader(j.gateway.ports.Dialect.ResponseHeader(response.Header))
	if response.Header.Get("Content-Length") != "" {
		j.writer.Header().Set("Content-Length", response.Header.Get("Content-Length"))
	}
	j.beginResponse(response.Status)
	j.letBodyGo(response)
	_, err := j.writer.Write(buffered)
	if err == nil {
		_, err = io.Copy(j.writer, response.Body)
	}
	if err == nil {
		err = j.checkEnd(choice, response)
	}
	if err != nil {
		// The header is already sent: only closing the connection shows that the
		// response is incomplete.
		j.responseInterrupted(choice, err)
		j.sendFinished(choice, indeterminate)
		j.abort("long response interrupted")
	}
	j.ended, j.complete, j.succeeded = true, true, response.Status < http.StatusMultipleChoices
	j.outcome = "answered " + strconv.Itoa(response.Status)
	return delivered
}
