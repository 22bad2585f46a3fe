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
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

// heldBytes of an answer are read before the caller gets any of it: an answer
// that breaks off before can still be replaced.
const maxBufferedBytes = 256 << 10

// finishedAnswer is a whole answer of a server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

const eventStreamType = "text/event-stream"

// take decides what becomes of an answer.
func (j *job) handleResponse(choice *routing.DirectChoice, response *upstream.Response, answer *call.Answer) sendOutcome {
	server := choice.Server.ID
	j.load, j.hasLoad = answer.Load, answer.HasLoad
	switch {
	case answer.Refused():
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBytes))
		j.handleRefusal(choice, answer)
		return notRun
	case answer.Status < http.StatusMultipleChoices && (!answer.Sealed || answer.Encoded):
		klog.InfoS("Answer not sealed", "request", j.head.ID, "server", server, "status", answer.Status)
		j.recordServerFailure(server)
		return indeterminate
	case answer.Status < http.StatusMultipleChoices && strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType):
		return j.forwardStream(choice, response)
	}
	return j.handleBuffered(choice, response, answer)
}

func (j *job) recordServerFailure(server string) {
	j.evidence.failed = true
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Failed(time.Now(), server)
}

// refusedBy learns from a refusal: another instance at the address, other
// weights than believed, or a full queue.
func (j *job) handleRefusal(choice *routing.DirectChoice, answer *call.Answer) {
	klog.InfoS("Refused by server", "request", j.head.ID, "server", choice.Server.ID, "status", answer.Status,
		"instance", answer.Instance, "version", answer.Version, "expected", choice.Server.Version, "running", answer.Load.Running, "waiting", answer.Load.Waiting)
	j.gateway.metrics.Count("refused_by_server", strconv.Itoa(answer.Status), 1)
	now := time.Now()
	server := choice.Server
	switch {
	case answer.Instance != "" && answer.Instance != server.Instance:
		j.gateway.pool.Forget(server.Address)
		j.gateway.state.lifetimeOver(now, server.ID, "answer of "+answer.Instance)
		j.evidence.otherLifetime = true
	case answer.Version > server.Version,
		answer.Status == http.StatusMisdirectedRequest && j.gateway.state.otherWeights(server.ID, j.modelName(), server.Version):
		// Our belief was old, the server is fine: it may be asked again for what it
		// has. Left out, it was missed when all others took new weights just then.
		j.tried = j.tried[:len(j.tried)-1]
		j.evidence.model, j.evidence.version = j.modelName(), j.gateway.state.versionOf(server.ID, j.modelName())
	case j.deadline.Sub(now) < minResendTime:
		// The request waited there until its time was over: that says nothing of
		// the server. Left alone for it, the busiest servers in an overload drove
		// their work to fewer and fewer others.
	case server.Version != 0:
		// Most likely it is taking new weights: leave it alone until that shows.
		j.gateway.state.announceSwitch(server.ID, server.Version+1, now.Add(refusalPause))
		j.evidence.refused = true
	}
}

// refusedRest is how long a server that refused is left alone.
const refusalPause = 500 * time.Millisecond

// takeWhole reads a plain answer to its end before the caller gets it.
func (j *job) handleBuffered(choice *routing.DirectChoice, response *upstream.Response, answer *call.Answer) sendOutcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		return j.responseInterrupted(choice, err)
	}
	if len(body) == maxBufferedBytes {
		return j.forwardLong(choice, response, body)
	}
	whole := &bufferedResponse{status: answer.Status, header: j.gateway.ports.Dialect.ResponseHeader(response.Header), body: body}
	if answer.Status >= http.StatusInternalServerError && j.route.Repeatable() && j.indeterminateSends+1 < j.route.MaxAttempts {
		// The server's own failure: another may do better. It is passed on if not.
		klog.InfoS("Server failed", "request", j.head.ID, "server", choice.Server.ID, "status", answer.Status)
		j.serverFailure = whole
		return indeterminate
	}
	if answer.Status >= http.StatusInternalServerError {
		j.recordServerFailure(choice.Server.ID)
	}
	j.complete = true
	j.writeBuffered(whole)
	return delivered
}

func (j *job) responseInterrupted(choice *routing.DirectChoice, err error) sendOutcome {
	klog.InfoS("Answer broken off", "request", j.head.ID, "server", choice.Server.ID, "err", err, "events", j.stream.delivered,
		"fingerprint", j.fingerprint().String(), "sentMS", time.Since(j.sentAt).Milliseconds())
	if j.ctx.Err() != nil {
		return canceled
	}
	j.recordServerFailure(choice.Server.ID)
	j.recordEarlyInterruption(choice)
	return indeterminate
}

// pass gives the caller a whole answer.
func (j *job) writeBuffered(whole *bufferedResponse) {
	j.copyHeader(whole.header)
	j.writer.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	j.writer.WriteHeader(whole.status)
	if j.inbound.Method != http.MethodHead {
		if _, err := j.writer.Write(whole.body); err != nil {
			j.outcome = "answer not written: " + err.Error()
			return
		}
	}
	j.outcome = "answered " + strconv.Itoa(whole.status)
}

func (j *job) copyHeader(from http.Header) {
	to := j.writer.Header()
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		// Stops the library from guessing one.
		to["Content-Type"] = nil
	}
}

// passLong forwards an answer that is too long to be held.
func (j *job) forwardLong(choice *routing.DirectChoice, response *upstream.Response, begun []byte) sendOutcome {
	j.copyHeader(j.gateway.ports.Dialect.ResponseHeader(response.Header))
	if response.Header.Get("Content-Length") != "" {
		j.writer.Header().Set("Content-Length", response.Header.Get("Content-Length"))
	}
	j.writer.WriteHeader(response.Status)
	_, err := j.writer.Write(begun)
	if err == nil {
		_, err = io.Copy(j.writer, response.Body)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		// The head is out: only the end of the connection can tell that it is not whole.
		j.responseInterrupted(choice, err)
		j.sendFinished(choice, indeterminate)
		j.outcome = "long answer broken off"
		j.logOutcome()
		panic(http.ErrAbortHandler)
	}
	j.complete = true
	j.outcome = "answered " + strconv.Itoa(response.Status)
	return delivered
}
