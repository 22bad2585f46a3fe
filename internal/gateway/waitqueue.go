package gateway

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/fairshare"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/waitqueue"
)

// waitQueueInterval is the pause between two attempts to place waiting
// requests. It leaves time for the updates on large placements to reach the
// other entries, which would otherwise all send to a server whose memory has
// just become free: in the model, under new weights, 63 requests were preempted with
// a pause of 20 ms and 46 with this one.
const waitQueueInterval = 100 * time.Millisecond

// errRejected ends a request that must not wait.
var errRejected = errors.New("no memory free at backend servers, and none expected in time")

// grant is the result sent to a waiting request.
type grant struct {
	choice routing.DirectChoice
	err    error
	// retryAfter is the retry delay of a rejected request.
	retryAfter time.Duration
	// standing is that of the workspace of a rejected request.
	standing fairshare.Standing
}

// waiter is a job in the wait queue. granted has room for one result, so that
// sending it never blocks.
type waiter struct {
	job     *job
	request waitqueue.Request
	granted chan grant
	// competes: the request's workspace shares capacity with others.
	competes bool
	// asking: owners are being asked; askedAt is when that last began, offer what
	// they offered. The state's lock guards them.
	asking  bool
	askedAt time.Time
	offer   *ownerOffer
	// ownersUnavailable: no owner answered, so this entry looks for free memory
	// itself.
	ownersUnavailable bool
}

// askOwners asks the owners for a server with free memory.
func (w *waiter) askOwners() {
	offer, err := w.job.bestOffer(true)
	s := w.job.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	w.asking, w.ownersUnavailable = false, errors.Is(err, errNoOffer)
	switch {
	case err != nil:
		klog.V(1).InfoS("No server with free memory yet", "request", w.job.head.ID, "err", err)
	case s.waiters[w.job.head.ID] == w:
		w.offer = offer
	default:
		// The request was sent, or its caller disconnected, while the owners were
		// asked.
		go w.job.gateway.placements.releaseOffer(offer, nil)
	}
}

// placeLocked places the waiting request if a server has memory for it. With
// force it does not require free memory.
func (w *waiter) placeLocked(now time.Time, force bool) (routing.DirectChoice, error) {
	if !w.job.gateway.sharded() || w.offer == nil && (force || w.ownersUnavailable) {
		w.ownersUnavailable = false
		return w.job.placeLocked(now, !force)
	}
	if offer := w.offer; offer != nil {
		w.offer = nil
		if choice, ok := w.job.acceptOfferLocked(now, offer); ok {
			return choice, nil
		}
		go w.job.gateway.placements.releaseOffer(offer, nil)
		return w.job.placeLocked(now, !force)
	}
	if !w.asking && now.Sub(w.askedAt) >= ownerRetryInterval {
		w.asking, w.askedAt = true, now
		go w.askOwners()
	}
	return routing.DirectChoice{}, routing.ErrNoFreeMemory
}

// waitForMemory waits until a server has memory for the request. longQueue: it waits for
// the prompts at the servers, not for memory.
func (j *job) waitForMemory(prefillTime time.Duration, longQueue bool) (routing.DirectChoice, error) {
	s := j.gateway.state
	now := time.Now()
	w := &waiter{job: j, granted: make(chan grant, 1)}
	request := waitqueue.Request{
		ID: j.head.ID, Service: j.service.Name, Priority: j.table.PriorityLevel(j.route, j.workspace), Arrived: j.arrived,
		Prefill: prefillTime, FirstTokenTarget: j.arrived.Add(j.route.LatencyTarget), Deadline: j.firstEventDeadline(),
		Ranked: j.ranked(),
	}
	if key, ok := j.shareKey(); ok {
		request.Workspace = key.Workspace
	}
	s.mu.Lock()
	w.competes = request.Workspace != 0 && s.sharesLocked(j.service.Name).Active()
	if !longQueue {
		request.WaitUntil = j.waitUntilLocked(&request)
	}
	w.request = request
	// A second send may begin when no time is left to wait. And if a caller uses an
	// ID twice, only one of the two requests can wait under it.
	if _, duplicate := s.waiters[j.head.ID]; duplicate || !now.Before(request.SendAt()) {
		s.mu.Unlock()
		return j.place(false)
	}
	s.waitsLocked(now, &request)
	expected := s.waitQueue.ExpectedWait(request.Priority)
	retryAfter, ok := s.waitQueue.Add(now, request)
	if ok {
		s.waiters[j.head.ID] = w
	}
	waiting, standing := s.waitQueue.Len(), s.standingLocked(now, &request)
	s.mu.Unlock()
	if !ok {
		j.reportAboveShare(standing, retryAfter)
		klog.InfoS("Request rejected: no engine memory in time", "request", j.head.ID, "waiting", waiting, "expectedWaitMS", expected.Milliseconds(), "waitUntil", request.WaitUntil, "comeBackMS", retryAfter.Milliseconds())
		j.retryAfter = retryAfter
		return routing.DirectChoice{}, errRejected
	}
	j.gateway.metrics.Count("waited_for_memory", j.routeLabel(), 1)
	klog.InfoS("Request waits for engine memory", "request", j.head.ID, "longQueue", longQueue, "urgency", request.Priority, "waiting", waiting, "expectedWaitMS", expected.Milliseconds(), "waitUntil", request.WaitUntil, "sendAt", request.SendAt())
	return j.awaitGrant(w)
}

// waitUntilLocked returns how long a request may wait; zero: until it is sent without
// free memory. While servers have limits, a caller that returns may be on time at one of
// them, so the request waits only as long as it is on time itself.
func (j *job) waitUntilLocked(request *waitqueue.Request) time.Time {
	onTime := request.FirstTokenTarget.Add(-request.Prefill)
	if j.indeterminateSends > 0 || !onTime.After(request.Arrived) || !j.gateway.state.anyLimitLocked(j.service) {
		return time.Time{}
	}
	return onTime
}

// firstEventDeadline is until when the caller waits for the first event.
// Callers abandon a stream without events after the route's event timeout, long
// before their deadline.
func (j *job) firstEventDeadline() time.Time {
	if j.route.EventTimeout <= 0 {
		return j.deadline
	}
	timeout := j.arrived.Add(j.route.EventTimeout)
	if timeout.Before(j.deadline) {
		return timeout
	}
	return j.deadline
}

func (j *job) awaitGrant(w *waiter) (routing.DirectChoice, error) {
	started := time.Now()
	select {
	case result := <-w.granted:
		w.reportWait(time.Since(started))
		j.waited = result.err == nil
		if j.retryAfter = result.retryAfter; result.retryAfter > 0 {
			j.reportAboveShare(result.standing, result.retryAfter)
			klog.InfoS("Request rejected: no engine memory in time", "request", j.head.ID, "waitedMS", time.Since(started).Milliseconds(), "comeBackMS", result.retryAfter.Milliseconds())
		}
		return result.choice, result.err
	case <-j.ctx.Done():
	}
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitQueue.Remove(j.head.ID) {
		delete(s.waiters, j.head.ID)
		if w.offer != nil {
			go j.gateway.placements.releaseOffer(w.offer, nil)
		}
		return routing.DirectChoice{}, j.ctx.Err()
	}
	// The request was placed at the same moment: the server must not count it.
	if result := <-w.granted; result.err == nil {
		j.returnShareLocked(time.Now())
		s.router.Finished(time.Now(), j.head.ID, false)
		go j.gateway.placements.releaseOffer(j.offer, nil)
	}
	return routing.DirectChoice{}, j.ctx.Err()
}

// serveWaitQueue places waiting requests as far as memory is free.
func (g *Gateway) serveWaitQueue(now time.Time) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.round++
	rejected := s.waitQueue.Dispatch(now, func(id string, force bool) bool {
		w := s.waiters[id]
		if !force && !g.stopping.Load() && s.yieldsInRoundLocked(now, &w.request) {
			return false
		}
		// A stopping process has no time to wait.
		choice, err := w.placeLocked(now, force || g.stopping.Load())
		if errors.Is(err, routing.ErrNoFreeMemory) {
			s.waitsLocked(now, &w.request)
			return false
		}
		delete(s.waiters, id)
		w.granted <- grant{choice: choice, err: err}
		return true
	})
	for _, id := range rejected {
		w := s.waiters[id]
		delete(s.waiters, id)
		go g.placements.releaseOffer(w.offer, nil)
		w.granted <- grant{err: errRejected, retryAfter: s.waitQueue.RetryAfterOf(now, w.request), standing: s.standingLocked(now, &w.request)}
	}
}

// reportWait records how long a request waited.
func (w *waiter) reportWait(waited time.Duration) {
	j := w.job
	j.gateway.metrics.Time("waited", j.routeLabel(), waited)
	if w.competes {
		j.gateway.metrics.Time("waited_workspace", j.workspace.Name, waited)
	}
}

// reportAboveShare records that a request was rejected while its workspace is above its
// share, if it is.
func (j *job) reportAboveShare(standing fairshare.Standing, retryAfter time.Duration) {
	if !standing.Above() {
		return
	}
	j.gateway.metrics.Count("rejected_above_share", j.workspace.Name, 1)
	klog.InfoS("Request rejected: workspace above its share", "request", j.head.ID, "workspace", j.workspace.Name,
		"sharePerSecond", int(standing.Share), "usePerSecond", int(standing.Use), "demandPerSecond", int(standing.Demand), "comeBackMS", retryAfter.Milliseconds())
}
