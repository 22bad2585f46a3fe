package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/quarantine"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

const (
	// minUsefulTime left, below which no further send is made: a server would be
	// given half of it.
	minUsefulTime = 2 * serverMargin
	// answerMargin is kept of a caller's time for the way of the final answer.
	answerMargin = 15 * time.Millisecond
	// defaultPatience of a caller that names no deadline, on a route without one.
	defaultPatience = 30 * time.Second
	// bodyTime is how long a body may take at least, however short the caller's
	// own deadline is.
	bodyTime = 2 * time.Second
	// unknownYet is when to come back while nothing is known yet.
	unknownYet = 400 * time.Millisecond
)

// job is one caller's request on its way.
type job struct {
	gateway   *Gateway
	writer    http.ResponseWriter
	caller    *http.Request
	head      call.Head
	route     *routetable.Route
	service   *routetable.Service
	workspace *routetable.Workspace
	table     *routetable.Table
	message   upstream.Request
	arrived   time.Time
	deadline  time.Time
	// ctx ends when the caller leaves or the deadline passes.
	ctx context.Context

	sends int
	tried []string
	// sentAt is when the last send began.
	sentAt time.Time
	// firstEventAt of the last send; zero: none came.
	firstEventAt time.Time
	// brokeEarly are the servers at which a run broke off that had just begun.
	brokeEarly []string
	// hashes of what all attempts of the request have in common.
	hashes quarantine.Hashes
	// apart from other suspects; 0: the request is none.
	apart uint64
	// trial that this attempt is, of a held request; 0: none.
	trial int
	// reached: a server may have begun to run the request; whole: one ran it to
	// its end.
	reached bool
	whole   bool
	// after is when to come back, of a request that was turned away.
	after time.Duration
	// ranOn counts the servers that may have run the request.
	ranOn int
	// delivered events and the id of the last one, of a stream that broke off.
	stream streamState
	// offer of an owner that the request was sent by; nil: this entry chose the
	// server. evidence on that server is for the owner.
	offer    *offered
	evidence evidence
	// load that the last server told with its answer.
	load    call.Load
	hasLoad bool
	// failure is the server's own failure that is passed on when nothing better comes.
	failure *finishedAnswer
	outcome string
}

// ServeHTTP forwards one call.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !callerListens(r.Context()) {
		g.metrics.Count("answers_own", "connection closed before", 1)
		klog.InfoS("Request not sent: its connection was closed before it was found", "path", rawPath(r))
		panic(http.ErrAbortHandler)
	}
	j := &job{gateway: g, writer: w, caller: r, arrived: time.Now()}
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if !j.admit() {
		j.note()
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	j.ctx = ctx
	defer j.settle()
	j.run()
	j.note()
}

// admit reads the request and finds out what it may do. False: it was answered.
func (j *job) admit() bool {
	g, r := j.gateway, j.caller
	var err error
	if j.head, err = g.ports.Dialect.Decode(r.Header); err != nil {
		return j.reject(http.StatusBadRequest, "malformed: "+err.Error())
	}
	j.table = g.state.table.Load()
	if j.table == nil || !g.state.ready() {
		return j.refuse("no configuration yet", unknownYet)
	}
	if j.route = j.table.Match(r.Host, rawPath(r)); j.route == nil {
		return j.reject(http.StatusNotFound, "no route")
	}
	if j.table.WantsKeys() {
		j.workspace = j.table.WorkspaceOf(j.head.Key)
		if j.workspace == nil && !j.route.Public {
			return j.reject(http.StatusUnauthorized, "unknown key")
		}
	}
	if !j.chooseService() {
		return j.refuse("service not declared", unknownYet)
	}
	j.setDeadline()
	if !j.readBody() {
		return false
	}
	j.hashes.Identity = j.identity()
	g.state.recordArrival(j.arrived, j.service.Name)
	return true
}

// rawPath is the path as the caller wrote it, not decoded.
func rawPath(r *http.Request) string {
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	return path
}

// requestTarget is the caller's target in origin form.
func requestTarget(r *http.Request) string {
	target := r.RequestURI
	if strings.HasPrefix(target, "/") {
		return target
	}
	if _, rest, ok := strings.Cut(target, "://"); ok {
		if at := strings.IndexByte(rest, '/'); at >= 0 {
			return rest[at:]
		}
		return "/"
	}
	return target
}

// chooseService picks one of the route's targets by weight. The request's id
// decides, so that every entry picks alike.
func (j *job) chooseService() bool {
	total := 0.0
	for _, t := range j.route.Targets {
		total += t.Weight
	}
	at := spread(j.head.ID) * total
	for _, t := range j.route.Targets {
		at -= t.Weight
		if at < 0 && t.Weight > 0 {
			j.service = j.table.Services[t.Service]
			return j.service != nil
		}
	}
	return false
}

func (j *job) setDeadline() {
	patience := j.head.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if j.route.Timeout > 0 {
		patience = min(patience, j.route.Timeout)
	}
	j.deadline = j.arrived.Add(patience - answerMargin)
}

// readBody reads the whole body, so that the request can be sent again and is
// never handed over in part. False: it was answered.
func (j *job) readBody() bool {
	r := j.caller
	j.message = upstream.Request{Method: r.Method, Target: requestTarget(r), Host: r.Host}
	if r.Body == nil || r.Body == http.NoBody {
		j.message.HasBody = r.ContentLength == 0 && r.Header.Get("Content-Length") != ""
		return true
	}
	limit := j.table.Limits.BodyBytes
	if limit > 0 && r.ContentLength > limit {
		return j.reject(http.StatusRequestEntityTooLarge, "body too large")
	}
	if limit > 0 {
		r.Body = http.MaxBytesReader(j.writer, r.Body, limit)
	}
	control := http.NewResponseController(j.writer)
	_ = control.SetReadDeadline(j.arrived.Add(max(j.deadline.Sub(j.arrived), bodyTime)))
	body, err := io.ReadAll(r.Body)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return j.reject(http.StatusRequestEntityTooLarge, "body too large")
	case err != nil:
		// After a failed read the library takes the caller of every later request
		// on the connection to have left.
		j.writer.Header().Set("Connection", "close")
		return j.reject(http.StatusRequestTimeout, "body not read: "+err.Error())
	}
	j.message.Body, j.message.HasBody = body, true
	return true
}

// reject ends a request that must not be sent again as it is.
func (j *job) reject(status int, why string) bool {
	j.outcome = why
	j.gateway.ports.Dialect.Refuse(j.writer.Header(), j.head.ID, 0)
	j.answer(status)
	return false
}

// refuse ends a request that has not run and never will, and says when to come back.
func (j *job) refuse(why string, after time.Duration) bool {
	j.outcome = why
	j.gateway.ports.Dialect.Refuse(j.writer.Header(), j.head.ID, after)
	j.answer(http.StatusServiceUnavailable)
	return false
}

// fail ends a request that may have run.
func (j *job) fail(why string) {
	j.outcome = why
	j.gateway.ports.Dialect.Refuse(j.writer.Header(), j.head.ID, 0)
	if errors.Is(j.ctx.Err(), context.DeadlineExceeded) {
		j.answer(http.StatusGatewayTimeout)
		return
	}
	j.answer(http.StatusBadGateway)
}

func (j *job) answer(status int) {
	j.writer.Header().Set("Content-Length", "0")
	j.writer.WriteHeader(status)
	j.gateway.metrics.Count("answers_own", http.StatusText(status), 1)
}

// class labels the request in metrics.
func (j *job) class() string {
	if j.route == nil {
		return "none"
	}
	return j.route.Name
}

// note writes the line that says what became of the request.
func (j *job) note() {
	took := time.Since(j.arrived)
	j.gateway.metrics.Time("request", j.class(), took)
	klog.InfoS("Request ended", "request", j.head.ID, "route", j.class(), "outcome", j.outcome, "sends", j.sends, "tried", j.tried,
		"events", j.stream.delivered, "firstMS", j.stream.firstAfter.Milliseconds(), "longestGapMS", j.stream.longestGap.Milliseconds(), "ms", took.Milliseconds(),
		"serverRunning", j.load.Running, "serverWaiting", j.load.Waiting, "config", versionOf(j.table))
}

func versionOf(t *routetable.Table) uint64 {
	if t == nil {
		return 0
	}
	return t.Version
}
