// Package waitqueue implements the wait queue of an entry: requests that wait
// until a backend server has memory for them. It decides in which order they are
// placed and rejects those with little prospect of being served in time.
//
// A request that is not expected to be placed in time, as fast as requests were
// placed lately, is not accepted. Every accepted request leaves the queue in one of
// five ways: it is placed, it is rejected when it becomes late behind other late
// requests, it is rejected at the end of the time for which it may wait, it is sent
// without free memory when it has waited its maximum, or its caller leaves. The
// package has no I/O, goroutines or clock; callers provide the locking.
package waitqueue

import (
	"sort"
	"time"
)

// Request is a request that may wait.
type Request struct {
	ID string
	// Workspace is the number of the caller's workspace; 0: none.
	Workspace uint32
	// Service whose servers can take the request.
	Service string
	// Priority of the request; 0 is the highest.
	Priority int
	Arrived  time.Time
	// Prefill is how long a server is expected to take to process the prompt.
	Prefill time.Duration
	// FirstTokenTarget is the latest time at which the first token is on time.
	FirstTokenTarget time.Time
	// Deadline of the caller.
	Deadline time.Time
	// WaitUntil is when the request is rejected if it still waits; zero: never. It is
	// rejected at once if it is not expected to be placed by then.
	WaitUntil time.Time
	// Ranked requests go by slack within their priority, others by arrival. They are not
	// rejected for being late.
	Ranked bool

	// queuedLate is set when the request became late but stays in the queue, to be
	// served after those that can still be on time.
	queuedLate bool
	// aboveShare: the workspace uses more than its share.
	aboveShare bool
}

const (
	// maxWaitShare is the share of the time between arrival and deadline that a
	// request waits at most. A request sent without free memory takes memory from
	// others, so the share is high; the rest is left for the server. From 0.95 on
	// too little would be left for the send to be more than an offer in name.
	maxWaitShare = 0.9
	// lateWaitShare of its maximum wait is how long a late request may have waited
	// before other requests of its priority that become late are rejected. Their
	// callers then learn early enough to retry: in the model 56 of 800 long prompts
	// failed at 1.8 times the load, 94 if none was rejected.
	lateWaitShare = 0.3
	// RetryAfter is the retry delay for the caller of a request that was rejected
	// while waiting: by then about half of the running requests have ended.
	RetryAfter = 1500 * time.Millisecond
	// rejectPeriod is how long new requests are rejected after one of the same or a
	// higher priority had to be sent without free memory. The demand exceeds the
	// capacity, and a caller that is rejected at once has time to retry.
	rejectPeriod = time.Second
	// minRetryAfter is the least retry delay of a request that is rejected for its
	// expected wait.
	minRetryAfter = 250 * time.Millisecond
	// maxFailedPlacements is how many requests of one priority may find no memory
	// before the others of that priority are skipped: a large request must not
	// block smaller ones, but a full fleet is not searched for every request.
	maxFailedPlacements = 4
)

// SendAt returns when the request is sent even if no memory is free.
func (r *Request) SendAt() time.Time {
	return r.Arrived.Add(time.Duration(maxWaitShare * float64(r.Deadline.Sub(r.Arrived))))
}

// expires reports whether the request waits until a fixed time only.
func (r *Request) expires() bool { return !r.WaitUntil.IsZero() }

// slack is the time left until the request must be sent to be on time.
func (r *Request) slack(now time.Time) time.Duration { return r.FirstTokenTarget.Sub(now) - r.Prefill }

// lessSlack reports whether a goes before b by slack: both are ranked, and can be on time.
func lessSlack(now time.Time, a, b *Request) bool {
	return a.Ranked && b.Ranked && !a.late(now) && !b.late(now) && a.slack(now) < b.slack(now)
}

// late reports whether its first token can no longer be on time.
func (r *Request) late(now time.Time) bool { return now.Add(r.Prefill).After(r.FirstTokenTarget) }

// Queue holds the waiting requests.
type Queue struct {
	waiting map[string]*Request
	// rejectUntil is, by priority, until when new requests are rejected.
	rejectUntil map[int]time.Time
	throughput  throughput
	fair        fairness
}

// New returns an empty queue.
func New() *Queue { return &Queue{waiting: map[string]*Request{}, rejectUntil: map[int]time.Time{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add queues a request. It reports false if the request is rejected, with the
// time after which the caller should retry: it was recently necessary to send one
// without free memory, or this one is not expected to be placed in time. If it is below
// its share, a waiting one above its share is rejected in its place.
func (q *Queue) Add(now time.Time, req Request) (after time.Duration, ok bool) {
	q.fair.mark(now, &req)
	after = q.rejectAfter(now, &req)
	if after > 0 && !q.rejectInPlaceOf(&req) {
		return after, false
	}
	q.waiting[req.ID] = &req
	return 0, true
}

// rejectAfter returns the retry delay of a new request that the queue has no room for; 0:
// it has room.
func (q *Queue) rejectAfter(now time.Time, req *Request) (after time.Duration) {
	for priority, until := range q.rejectUntil {
		if priority <= req.Priority {
			after = max(after, until.Sub(now))
		}
	}
	if q.fair.aboveShare != nil {
		return q.fairRejectAfter(now, req, after)
	}
	if after > 0 {
		return after
	}
	if late := q.expectedLateness(now, req); late > 0 {
		return min(max(late, minRetryAfter), RetryAfter)
	}
	return 0
}

// ExpectedWait returns how long a new request of a priority is expected to wait, as
// fast as requests were placed lately; 0 if none had to wait.
func (q *Queue) ExpectedWait(priority int) time.Duration {
	ahead := 0
	for _, w := range q.waiting {
		if w.Priority <= priority {
			ahead++
		}
	}
	return q.throughput.wait(ahead)
}

// expectedLateness returns by how much a new request is expected to miss the time
// by which it must be placed; 0: it is expected to be placed in time.
func (q *Queue) expectedLateness(now time.Time, req *Request) time.Duration {
	wait := q.waitOf(req)
	if wait == 0 {
		return 0
	}
	latest := req.SendAt()
	if req.expires() {
		latest = req.WaitUntil
	}
	return max(now.Add(wait).Sub(latest), 0)
}

// PlacementUndone says that a request was placed by Dispatch and then not sent.
func (q *Queue) PlacementUndone() { q.throughput.undo() }

// Remove takes out a request whose caller has left. It reports false if the
// request was not waiting.
func (q *Queue) Remove(id string) bool {
	_, ok := q.waiting[id]
	delete(q.waiting, id)
	return ok || q.fair.removeReplaced(id)
}

// Dispatch tries to place the waiting requests in order and removes those for
// which place returns true. If force is set, the request has waited its maximum
// and must be sent even without free memory; it is removed in any case. Dispatch
// returns the IDs of requests that it removed because they are rejected.
func (q *Queue) Dispatch(now time.Time, place func(id string, force bool) bool) (rejected []string) {
	if len(q.waiting) == 0 {
		q.throughput.update(now, 0, false)
		q.fair.throughput.update(now, 0, false)
		return q.fair.takeReplaced()
	}
	q.markShares(now)
	rejected = append(q.rejectAtEnd(now), q.rejectLate(now)...)
	placed, placedAbove := q.placeInOrder(now, place)
	q.throughput.update(now, placed, len(q.waiting) > 0)
	q.fair.throughput.update(now, placedAbove, q.countAbove() > 0)
	return append(rejected, q.fair.takeReplaced()...)
}

// placeInOrder tries to place the waiting requests and returns the number of those
// that found memory, and how many of these are above their share.
func (q *Queue) placeInOrder(now time.Time, place func(id string, force bool) bool) (placed, placedAbove int) {
	failed := map[int]int{}
	for _, w := range q.order(now) {
		if !now.Before(w.SendAt()) {
			q.rejectUntil[w.Priority] = now.Add(rejectPeriod)
			delete(q.waiting, w.ID)
			place(w.ID, true)
			continue
		}
		if failed[w.Priority] >= maxFailedPlacements {
			continue
		}
		if place(w.ID, false) {
			delete(q.waiting, w.ID)
			placed++
			if w.aboveShare {
				placedAbove++
			}
			continue
		}
		failed[w.Priority]++
	}
	return placed, placedAbove
}

// rejectLate removes the requests whose time to wait is over. It also removes those that
// became late since the last call if another late request of their class has waited
// for long: late requests are served in order of arrival, so they would wait even
// longer. The other requests that became late stay queued, and so do ranked ones: a late
// response is worth more to their callers than a rejection.
func (q *Queue) rejectLate(now time.Time) (rejected []string) {
	backlogged := q.backlogged(now)
	var late []*Request
	for id, w := range q.waiting {
		becameLate := !w.queuedLate && w.late(now)
		switch {
		case w.expires() && !now.Before(w.WaitUntil):
			rejected = append(rejected, id)
			delete(q.waiting, id)
		case becameLate && backlogged[w.class()] && !w.Ranked:
			late = append(late, w)
		case becameLate:
			w.queuedLate = true
		}
	}
	rejected = append(rejected, q.rejectOrReplace(late)...)
	sort.Strings(rejected)
	return rejected
}

// backlogged returns the classes of which a late request has waited for long.
func (q *Queue) backlogged(now time.Time) map[class]bool {
	backlogged := map[class]bool{}
	for _, w := range q.waiting {
		if w.queuedLate && float64(now.Sub(w.Arrived)) > lateWaitShare*float64(w.SendAt().Sub(w.Arrived)) {
			backlogged[w.class()] = true
		}
	}
	return backlogged
}

// order sorts the requests by priority. Within a priority, those below their share come
// before those above it. Among these, those that can still be on time come before the late
// ones, among them ranked ones with less slack before others, and earlier arrivals before
// later ones.
// Serving the late ones first would make all those behind them late as well: in the
// model 2,210 of 3,400 long prompts were on time then, 2,441 in this order.
func (q *Queue) order(now time.Time) []*Request {
	order := make([]*Request, 0, len(q.waiting))
	for _, w := range q.waiting {
		order = append(order, w)
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		if a.aboveShare != b.aboveShare {
			return b.aboveShare
		}
		if late := b.late(now); late != a.late(now) {
			return late
		}
		if lessSlack(now, a, b) || lessSlack(now, b, a) {
			return lessSlack(now, a, b)
		}
		if !a.Arrived.Equal(b.Arrived) {
			return a.Arrived.Before(b.Arrived)
		}
		return a.ID < b.ID
	})
	return order
}
