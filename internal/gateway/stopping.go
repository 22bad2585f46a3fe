package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/servicetime"
)

const (
	// finalAnswerTime is the time before the end of the process in which requests that still
	// run get their final response.
	finalAnswerTime = 100 * time.Millisecond
	// stopRetryAfter is the retry delay of requests that a process has no time left for: another
	// entry serves them.
	stopRetryAfter = 50 * time.Millisecond
)

var (
	// errStopEnds is the cause of a request's context that ends because the process does.
	errStopEnds = errors.New("the entry stops")
	// errNoTimeLeft: the entry stops before a request could be served.
	errNoTimeLeft = errors.New("the entry stops before a response is due")
)

// stopTime is until when requests can be answered. It is safe for concurrent use.
type stopTime struct {
	mu sync.Mutex
	// until is when requests that still run get their final response; zero: the process does
	// not stop.
	until time.Time
	over  context.Context
	end   context.CancelFunc
	// took is how long requests have taken, by route.
	took *servicetime.Log
}

func newStopTime() *stopTime {
	s := &stopTime{took: servicetime.New()}
	s.over, s.end = context.WithCancel(context.Background())
	return s
}

// begin ends the contexts of all requests shortly before the process ends.
func (s *stopTime) begin(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = end.Add(-finalAnswerTime)
	time.AfterFunc(time.Until(s.until), s.end)
}

// served records a request that was served now.
func (s *stopTime) served(now time.Time, route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.took.Add(now, route, took)
}

func (s *stopTime) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.took.Expire(now)
}

// left returns the time left for responses, and how long those of a route take; ok is false if
// the process does not stop.
func (s *stopTime) left(now time.Time, route string) (left, expected time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until.IsZero() {
		return 0, 0, false
	}
	return s.until.Sub(now), s.took.High(now, route), true
}

// earlier returns the moment, or when requests get their final response if that is before it.
func (s *stopTime) earlier(moment time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until.IsZero() || moment.Before(s.until) {
		return moment
	}
	return s.until
}

// answerContext returns the context of a request with a deadline. Its cause is errStopEnds if it
// ends because the process does.
func (s *stopTime) answerContext(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	stoppable, cancelCause := context.WithCancelCause(parent)
	unwatch := context.AfterFunc(s.over, func() { cancelCause(errStopEnds) })
	ctx, cancel := context.WithDeadline(stoppable, deadline)
	return ctx, func() {
		unwatch()
		cancel()
		cancelCause(nil)
	}
}

// stopEnded reports whether the request ended because the process does.
func (j *job) stopEnded() bool { return errors.Is(context.Cause(j.ctx), errStopEnds) }

// isLateForStop reports whether the process stops before the request can be served, as far as
// recent requests of its route show. Its caller is served by another entry then.
func (j *job) isLateForStop() bool {
	now := time.Now()
	left, expected, stops := j.gateway.stop.left(now, j.route.Name)
	if !stops || left > 0 && (left >= expected || j.deadline.Sub(now) <= left) {
		return false
	}
	j.gateway.metrics.Count("rejected_by_stop", j.routeLabel(), 1)
	klog.InfoS("No time left for a request", "request", j.head.ID, "route", j.routeLabel(), "leftMS", left.Milliseconds(), "expectedMS", expected.Milliseconds(), "sends", j.sends)
	return true
}
