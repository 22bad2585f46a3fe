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
const heldBytes = 256 << 10

// finishedAnswer is a whole answer of a server.
type finishedAnswer struct {
	status int
	header http.Header
	body   []byte
}

const streamType = "text/event-stream"

// take decides what becomes of an answer.
func (j *job) take(choice *routing.DirectChoice, response *upstream.Response, answer *call.Answer) result {
	server := choice.Server.ID
	j.load, j.hasLoad = answer.Load, answer.HasLoad
	switch {
	case answer.Refused():
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, heldBytes))
		j.refusedBy(choice, answer)
		return notRun
	case answer.Status < http.StatusMultipleChoices && (!answer.Sealed || answer.Encoded):
		klog.InfoS("Answer not sealed", "request", j.head.ID, "server", server, "status", answer.Status)
		j.failed(server)
		return unknown
	case answer.Status < http.StatusMultipleChoices && strings.HasPrefix(response.Header.Get("Content-Type"), streamType):
		return j.relay(choice, response)
	}
	return j.takeWhole(choice, response, answer)
}

func (j *job) failed(server string) {
	j.evidence.failed = true
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Failed(time.Now(), server)
}

// refusedBy learns from a refusal: another instance at the address, other
// weights than believed, or a full queue.
func (j *job) refusedBy(choice *routing.DirectChoice, answer *call.Answer) {
	klog.InfoS("Refused by server", "request", j.head.ID, "server", choice.Server.ID, "status", answer.Status,
		"instance", answer.Instance, "version", answer.Version, "expected", choice.Server.Version, "running", answer.Load.Running, "waiting", answer.Load.Waiting)
	j.gateway.metrics.Count("refused_by_server", strconv.Itoa(answer.Status), 1)
	now := time.Now()
	server := choice.Server
	switch {
	case answer.Instance != "" && answer.Instance != server.Instance:
		j.gateway.pool.Forget(server.Address)
		j.gateway.state.incarnationEnded(now, server.ID, "answer of "+answer.Instance)
		j.evidence.otherIncarnation = true
	case answer.Version > server.Version,
		answer.Status == http.StatusMisdirectedRequest && j.gateway.state.inferNextVersion(server.ID, j.modelName(), server.Version):
		// Our belief was old, the server is fine: it may be asked again for what it
		// has. Left out, it was missed when all others took new weights just then.
		j.tried = j.tried[:len(j.tried)-1]
		j.evidence.model, j.evidence.version = j.modelName(), j.gateway.state.versionOf(server.ID, j.modelName())
	case j.deadline.Sub(now) < minUsefulTime:
		// The request waited there until its time was over: that says nothing of
		// the server. Left alone for it, the busiest servers in an overload drove
		// their work to fewer and fewer others.
	case server.Version != 0:
		// Most likely it is taking new weights: leave it alone until that shows.
		j.gateway.state.announceSwitch(server.ID, server.Version+1, now.Add(refusedRest))
		j.evidence.refused = true
	}
}

// refusedRest is how long a server that refused is left alone.
const refusedRest = 500 * time.Millisecond

// takeWhole reads a plain answer to its end before the caller gets it.
func (j *job) takeWhole(choice *routing.DirectChoice, response *upstream.Response, answer *call.Answer) result {
	body, err := io.ReadAll(io.LimitReader(response.Body, heldBytes))
	if err != nil {
		return j.brokenOff(choice, err)
	}
	if len(body) == heldBytes {
		return j.passLong(choice, response, body)
	}
	whole := &finishedAnswer{status: answer.Status, header: j.gateway.ports.Dialect.Back(response.Header), body: body}
	if answer.Status >= http.StatusInternalServerError && j.route.Repeatable() && j.ranOn+1 < j.route.MaxAttempts {
		// The server's own failure: another may do better. It is passed on if not.
		klog.InfoS("Server failed", "request", j.head.ID, "server", choice.Server.ID, "status", answer.Status)
		j.failure = whole
		return unknown
	}
	if answer.Status >= http.StatusInternalServerError {
		j.failed(choice.Server.ID)
	}
	j.whole = true
	j.pass(whole)
	return delivered
}

func (j *job) brokenOff(choice *routing.DirectChoice, err error) result {
	klog.InfoS("Answer broken off", "request", j.head.ID, "server", choice.Server.ID, "err", err, "events", j.stream.delivered,
		"fingerprint", j.fingerprint().String(), "sentMS", time.Since(j.sentAt).Milliseconds())
	if j.ctx.Err() != nil {
		return ended
	}
	j.failed(choice.Server.ID)
	j.noteEarlyEnd(choice)
	return unknown
}

// pass gives the caller a whole answer.
func (j *job) pass(whole *finishedAnswer) {
	j.copyHead(whole.header)
	j.writer.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	j.writer.WriteHeader(whole.status)
	if j.caller.Method != http.MethodHead {
		if _, err := j.writer.Write(whole.body); err != nil {
			j.outcome = "answer not written: " + err.Error()
			return
		}
	}
	j.outcome = "answered " + strconv.Itoa(whole.status)
}

func (j *job) copyHead(from http.Header) {
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
func (j *job) passLong(choice *routing.DirectChoice, response *upstream.Response, begun []byte) result {
	j.copyHead(j.gateway.ports.Dialect.Back(response.Header))
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
		j.brokenOff(choice, err)
		j.finished(choice, unknown)
		j.outcome = "long answer broken off"
		j.note()
		panic(http.ErrAbortHandler)
	}
	j.whole = true
	j.outcome = "answered " + strconv.Itoa(response.Status)
	return delivered
}
