package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/bodymemory"
	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/quarantine"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/streamorigin"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

const (
	// minResendTime is the least time left for another send; a server gets half of
	// it.
	minResendTime = 2 * serverResponseMargin
	// responseMargin is subtracted from a caller's deadline so that the final
	// response arrives in time.
	responseMargin = 15 * time.Millisecond
	// defaultTimeout applies to callers that name no deadline.
	defaultTimeout = 30 * time.Second
	// minBodyTimeout is the shortest read timeout of a request body, however short
	// the caller's own deadline is.
	minBodyTimeout = 2 * time.Second
	// notReadyRetryAfter is the retry delay sent to callers while the configuration
	// or the service is missing.
	notReadyRetryAfter = 400 * time.Millisecond
)

// job is the processing of one caller's request.
type job struct {
	gateway   *Gateway
	writer    http.ResponseWriter
	inbound   *http.Request
	head      call.Head
	route     *routetable.Route
	service   *routetable.Service
	workspace *routetable.Workspace
	table     *routetable.Table
	outbound  upstream.Request
	// bodyBytes is the length of the request's body, also once that was let go.
	bodyBytes int
	// held is the memory of the bodies of the request, first, and of its responses.
	held     []*memoryHold
	body     callerBody
	arrived  time.Time
	deadline time.Time
	// ctx ends when the caller disconnects or the deadline passes.
	ctx context.Context

	// unrunSends counts the sends that are proven not to have run.
	sends, unrunSends int
	tried             []string
	// refusedConnections counts the sends at which the server's address refused the
	// connection while other usable servers were left.
	refusedConnections int
	usage              admittedUsage
	// permit is that of the last send. overLimit are the servers that took no more
	// requests under their limits.
	permit    permit
	overLimit []string
	// sentAt is when the last send began.
	sentAt time.Time
	// firstEventAt is when the first event of the last send arrived; zero: none
	// did.
	firstEventAt time.Time
	// interruptedEarly lists the servers at which a run was interrupted before, or
	// soon after, its first event.
	interruptedEarly []string
	// hashes identify the request across the caller's attempts.
	hashes quarantine.Hashes
	// suspectKey keeps suspect requests on different servers; 0: the request is no
	// suspect.
	suspectKey uint64
	// partHashes are the fingerprints of the prompt's shared parts, once computed.
	partHashes []quarantine.Fingerprint
	// trial is this attempt's trial run of a quarantined subject, if it is one.
	trial trial
	// mayHaveStarted: a server may have begun to run the request. complete: a
	// server sent a complete response; succeeded: with status 2xx.
	mayHaveStarted      bool
	complete, succeeded bool
	// retryAfter is the retry delay of a request that the wait queue rejected; waited:
	// the queue placed it at the last choice.
	retryAfter time.Duration
	waited     bool
	shares     jobShares
	// indeterminateSends counts the sends after which a server may have run the
	// request.
	indeterminateSends int
	// origin is the software version that began the stream and must go on with it; 0: any
	// may begin.
	origin streamorigin.Version
	// stream is how much of a streamed response the caller has received.
	stream streamState
	// offer is the owner's offer that the current send uses; nil: this entry chose
	// the server. evidence about that server is reported to the owner.
	offer    *ownerOffer
	evidence evidence
	// load is what the last server reported with its response.
	load    call.Load
	hasLoad bool
	// retryWaits: a retry was allowed, and waits for a server.
	retryWaits bool
	// serverFailure is a server's 5xx response, passed on if no other send
	// succeeds.
	serverFailure *bufferedResponse
	// sending is where the request was placed, until that send has ended.
	sending *routing.DirectChoice
	// begun: the header of the caller's response was sent; ended: all of it was.
	begun, ended bool
	// framing is what gave the end of the last server's response.
	framing string
	outcome string
}

// ServeHTTP forwards one request. It panics with http.ErrAbortHandler to close
// the connection where no complete response can be sent, and with nothing else.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !callerReachable(r.Context()) {
		g.metrics.Count("answers_own", "connection closed before", 1)
		klog.InfoS("Request not sent: its connection was closed before the request was read", "path", rawPath(r))
		panic(http.ErrAbortHandler)
	}
	j := &job{gateway: g, writer: w, inbound: r, arrived: time.Now()}
	j.body.pending = r.Body != nil && r.Body != http.NoBody
	g.load.requests.Add(1)
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	defer j.releaseMemory()
	defer j.settleUsage()
	defer j.endPanic()
	if !j.admit() {
		j.logOutcome()
		j.releaseMemory()
		j.discardUnread()
		return
	}
	ctx, cancel := g.stop.answerContext(r.Context(), j.deadline)
	defer cancel()
	j.ctx = ctx
	defer j.settleSuspect()
	defer j.endSend()
	ready := time.Now()
	j.run()
	j.endResponse()
	if j.succeeded {
		g.stop.served(time.Now(), j.route.Name, time.Since(ready))
	}
	j.logOutcome()
}

// admit decodes the request, finds its route, workspace and service, and reads
// its body. It returns false if it has already responded.
func (j *job) admit() bool {
	g, r := j.gateway, j.inbound
	var err error
	if j.head, err = g.ports.Dialect.Decode(r.Header); err != nil {
		return j.respondClientError(http.StatusBadRequest, "malformed request header: "+err.Error())
	}
	j.table = g.state.table.Load()
	if j.table == nil || !g.state.ready() {
		return j.respondUnavailable("no configuration received yet", notReadyRetryAfter)
	}
	if j.route = j.table.Match(r.Host, rawPath(r)); j.route == nil {
		return j.respondClientError(http.StatusNotFound, "no route matches")
	}
	if j.table.RequiresKeys() {
		j.workspace = j.table.WorkspaceOf(j.head.Key)
		if j.workspace == nil && !j.route.Public {
			return j.respondClientError(http.StatusUnauthorized, "unknown key")
		}
	}
	if !j.chooseService() {
		return j.respondUnavailable("no declared service for the route", notReadyRetryAfter)
	}
	if j.head.ID == "" {
		// Backend servers refuse it, and their responses could not be told from others.
		return j.respondClientError(http.StatusBadRequest, "the request has no ID")
	}
	j.setDeadline()
	if j.isLateForStop() {
		return j.respondUnavailable(errNoTimeLeft.Error(), spread(stopRetryAfter, j.head.ID))
	}
	if !j.admitUsage() || !j.readBody() {
		return false
	}
	j.hashes.Identity = j.identity()
	g.state.recordArrival(lease.BootClock(), j.service.Name)
	return true
}

// rawPath returns the path as the caller sent it, without percent-decoding.
func rawPath(r *http.Request) string {
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	return path
}

// requestTarget returns the caller's request target in origin form.
func requestTarget(r *http.Request) string {
	target := r.RequestURI
	if strings.HasPrefix(target, "/") {
		return target
	}
	if _, rest, ok := strings.Cut(target, "://"); ok {
		if slash := strings.IndexByte(rest, '/'); slash >= 0 {
			return rest[slash:]
		}
		return "/"
	}
	return target
}

// chooseService picks one of the route's targets by weight. It uses a hash of
// the request ID, so that every entry picks the same target.
func (j *job) chooseService() bool {
	total := 0.0
	for _, t := range j.route.Targets {
		total += t.Weight
	}
	remaining := hashFraction(j.head.ID) * total
	for _, t := range j.route.Targets {
		remaining -= t.Weight
		if remaining < 0 && t.Weight > 0 {
			j.service = j.table.Services[t.Service]
			return j.service != nil
		}
	}
	return false
}

func (j *job) setDeadline() {
	timeout := j.head.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if j.route.Timeout > 0 {
		timeout = min(timeout, j.route.Timeout)
	}
	j.deadline = j.arrived.Add(timeout - responseMargin)
}

// readBody reads the complete body, so that the request can be sent again and
// no server receives only a part of it. It returns false if it has already
// responded.
func (j *job) readBody() bool {
	r := j.inbound
	j.outbound = upstream.Request{Method: r.Method, Target: requestTarget(r), Host: r.Host}
	if !j.body.pending {
		j.outbound.HasBody = r.ContentLength == 0 && r.Header.Get("Content-Length") != ""
		return true
	}
	limit := j.table.Limits.BodyBytes
	if limit > 0 && r.ContentLength > limit {
		return j.respondClientError(http.StatusRequestEntityTooLarge, "request body larger than the configured limit")
	}
	j.body.source = newBodySource(r.Body, limit)
	hold := j.newMemoryHold()
	hold.source = j.body.source
	if verdict := hold.claim(j.memoryWait(), initialBodyBytes(r.ContentLength)); verdict != bodymemory.Granted {
		return j.rejectForMemory(verdict)
	}
	control := http.NewResponseController(j.writer)
	_ = control.SetReadDeadline(j.bodyDeadline())
	j.body.begun = true
	body, err := hold.read(r.ContentLength, j.memoryWait)
	_ = control.SetReadDeadline(time.Time{})
	return j.bodyRead(body, err)
}

// bodyRead keeps a body that was read, or responds to the error of reading it.
func (j *job) bodyRead(body []byte, err error) bool {
	var tooLarge *http.MaxBytesError
	var noMemory *noMemoryError
	switch {
	case errors.As(err, &tooLarge):
		return j.respondClientError(http.StatusRequestEntityTooLarge, "request body larger than the configured limit")
	case errors.As(err, &noMemory):
		return j.rejectForMemory(noMemory.verdict)
	case errors.Is(err, errGivesWay):
		return j.respondUnavailable(errGivesWay.Error(), spread(memoryRetryAfter, j.head.ID))
	case err != nil:
		// After a failed read, net/http cancels the context of every later request on
		// the connection.
		j.writer.Header().Set("Connection", "close")
		return j.respondClientError(http.StatusRequestTimeout, "request body not read: "+err.Error())
	}
	j.body.source.awaitEnd()
	j.body.pending = false
	j.outbound.Body, j.outbound.HasBody, j.bodyBytes = body, true, len(body)
	return true
}

// respondClientError ends a request that must not be sent again unchanged. It
// always returns false.
func (j *job) respondClientError(status int, reason string) bool {
	j.outcome = reason
	j.gateway.ports.Dialect.Refuse(j.writer.Header(), j.head.ID, 0)
	j.respondEmpty(status)
	return false
}

// respondUnavailable ends a request that has not run and never will, with 503
// and a retry delay. It always returns false.
func (j *job) respondUnavailable(reason string, retryAfter time.Duration) bool {
	j.outcome = reason
	j.gateway.ports.Dialect.Refuse(j.writer.Header(), j.head.ID, retryAfter)
	j.respondEmpty(http.StatusServiceUnavailable)
	return false
}

// respondFailed ends a request that may have run, with 504 after the deadline
// and 502 otherwise.
func (j *job) respondFailed(reason string) {
	j.outcome = reason
	j.gateway.ports.Dialect.Refuse(j.writer.Header(), j.head.ID, 0)
	if errors.Is(j.ctx.Err(), context.DeadlineExceeded) {
		j.respondEmpty(http.StatusGatewayTimeout)
		return
	}
	j.respondEmpty(http.StatusBadGateway)
}

func (j *job) respondEmpty(status int) {
	j.respondBeforeBody()
	j.writer.Header().Set("Content-Length", "0")
	j.beginResponse(status)
	j.ended = true
	j.gateway.metrics.Count("answers_own", http.StatusText(status), 1)
}

// routeLabel is the request's route as a metric label.
func (j *job) routeLabel() string {
	if j.route == nil {
		return "none"
	}
	return j.route.Name
}

// logOutcome records the request's duration and logs how it ended.
func (j *job) logOutcome() {
	took := time.Since(j.arrived)
	j.gateway.metrics.Time("request", j.routeLabel(), took)
	klog.InfoS("Request ended", "request", j.head.ID, "route", j.routeLabel(), "outcome", j.outcome, "sends", j.sends, "tried", j.tried,
		"events", j.stream.delivered, "lastEvent", j.stream.lastID, "firstMS", j.stream.firstAfter.Milliseconds(), "longestGapMS", j.stream.longestGap.Milliseconds(), "ms", took.Milliseconds(),
		"framing", j.framing, "serverRunning", j.load.Running, "serverWaiting", j.load.Waiting, "config", configVersion(j.table))
}

func configVersion(t *routetable.Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}
