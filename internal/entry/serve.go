package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

// serve checks the limits, dispatches the request and completes the response.
func (e *Entry) serve(c echo.Context, request *callerRequest, tokens float64, newSink func(*caller) finisher) error {
	leave, refusal := e.enter(request.workspace, tokens)
	if refusal != nil {
		return refusal
	}
	defer leave()
	defer e.releaseLimits(request.workspace.GetName())
	if refusal := e.checkQuarantine(request); refusal != nil {
		return refusal
	}
	ctx := c.Request().Context()
	if request.nonRepeatable {
		// A call that may run at most once is not canceled when its caller
		// disconnects: a canceled call would have an unknown outcome.
		ctx = context.WithoutCancel(ctx)
	}
	if refusal := e.takeClaim(ctx, request); refusal != nil {
		return refusal
	}
	client := newCaller(c.Response(), c.Request(), request.id, ms(e.settings.Timeouts.CallerWriteMS))
	client.onToken = e.tokenMeter(request)
	to := newSink(client)
	r := e.dispatch(ctx, request, to)
	e.recordResult(request, r)
	e.recordMetrics(request, r)
	to.finish(r)
	return nil
}

// enter admits the request under the entry's and the workspace's limits, or
// refuses it. The returned function must be called when the request ends.
func (e *Entry) enter(workspace *jayv1.Workspace, tokens float64) (func(), *Error) {
	if e.stopping.Load() && !e.serving.Load() {
		return nil, refuseTemporarily(http.StatusServiceUnavailable, CodeOverloaded, "the entry is stopping", 0)
	}
	leave, refusal := e.streams.enter(workspace.GetName())
	if refusal != nil {
		return nil, refusal
	}
	if refusal := e.checkLimits(workspace, tokens); refusal != nil {
		leave()
		return nil, refusal
	}
	return leave, nil
}

// streamCount limits the requests in flight, in total and per workspace.
type streamCount struct {
	mu           sync.Mutex
	max          int
	perWorkspace int
	total        int
	byWorkspace  map[string]int
	idle         chan struct{}
}

func newStreamCount(limits LimitSettings) *streamCount {
	return &streamCount{max: limits.Streams, perWorkspace: limits.StreamsPerWorkspace, byWorkspace: map[string]int{}}
}

func (s *streamCount) enter(workspace string) (func(), *Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.total >= s.max {
		return nil, refuseTemporarily(http.StatusServiceUnavailable, CodeTooManyStreams, "too many requests are in flight at this entry", 0)
	}
	if s.byWorkspace[workspace] >= s.perWorkspace {
		return nil, refuseTemporarily(http.StatusTooManyRequests, CodeTooManyStreams, "too many requests of the workspace are in flight at this entry", 0)
	}
	s.total++
	s.byWorkspace[workspace]++
	return func() { s.leave(workspace) }, nil
}

// addBackground makes a graceful shutdown wait for background work until the
// returned function is called.
func (s *streamCount) addBackground() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	return func() { s.leave("") }
}

func (s *streamCount) leave(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	if workspace != "" {
		s.byWorkspace[workspace]--
	}
	if s.byWorkspace[workspace] == 0 {
		delete(s.byWorkspace, workspace)
	}
	if s.total == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// wait returns when no request is in flight, or with the context's error.
func (s *streamCount) wait(ctx context.Context) error {
	for {
		s.mu.Lock()
		if s.total == 0 {
			s.mu.Unlock()
			return nil
		}
		if s.idle == nil {
			s.idle = make(chan struct{})
		}
		idle := s.idle
		s.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Names of the metrics, by workspace and by class.
const (
	metricFirstToken  = "first_token"
	metricNextToken   = "next_token"
	metricQueueWait   = "queue_wait"
	metricCachedShare = "cached_share_permille"
	metricRecomputed  = "recomputed_tokens"
	metricRequests    = "requests"
	metricRefusals    = "refusals"
	classLabelPrefix  = "class:"
)

// labels returns the metric labels of a request: its workspace and its class.
func labels(request *callerRequest) [2]string {
	return [2]string{request.workspace.GetName(), classLabelPrefix + catalog.ClassName(request.class)}
}

func (e *Entry) tokenMeter(request *callerRequest) func(time.Time, time.Duration) {
	names := labels(request)
	first := true
	return func(now time.Time, since time.Duration) {
		for _, label := range names {
			if first {
				e.metrics.Time(metricFirstToken, label, now.Sub(request.started))
			} else {
				e.metrics.Time(metricNextToken, label, since)
			}
		}
		first = false
	}
}

// recordMetrics records the metrics of a finished request.
func (e *Entry) recordMetrics(request *callerRequest, r result) {
	const permille = 1000
	usage := r.end.GetUsage()
	for _, label := range labels(request) {
		e.metrics.Count(metricRequests+"_"+OutcomeName(r.outcome), label, 1)
		if r.err != nil {
			e.metrics.Count(metricRefusals+"_"+string(r.err.Code), label, 1)
			continue
		}
		if usage.GetPromptTokens() == 0 {
			continue
		}
		e.metrics.Time(metricQueueWait, label, time.Duration(usage.GetQueueWaitMs()*float64(time.Millisecond)))
		e.metrics.Value(metricCachedShare, label, int64(permille)*int64(usage.GetCachedTokens())/int64(usage.GetPromptTokens()))
		e.metrics.Value(metricRecomputed, label, int64(usage.GetRecomputedTokens()))
	}
	klog.V(1).InfoS("request finished", "request", request.id, "workspace", request.workspace.GetName(), "server", r.server,
		"attempts", r.attempts, "outcome", OutcomeName(r.outcome))
}

// countRefusal counts a request that was refused before its first attempt, or a resume
// that failed.
func (e *Entry) countRefusal(workspace *jayv1.Workspace, refusal *Error) {
	label := "none"
	if workspace != nil {
		label = workspace.GetName()
	}
	e.metrics.Count(metricRefusals+"_"+string(refusal.Code), label, 1)
}
