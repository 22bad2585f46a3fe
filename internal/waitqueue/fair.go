package waitqueue

import (
	"slices"
	"strings"
	"time"
)

// maxRetryAfter bounds the retry delay where workspaces have shares: by then the requests
// that run now have ended.
const maxRetryAfter = 3 * time.Second

// AboveShare reports whether the request's workspace uses more than its share of the
// capacity.
type AboveShare func(now time.Time, request *Request) bool

// fairness is what the queue knows of shares. Without aboveShare all workspaces are served
// alike.
type fairness struct {
	aboveShare AboveShare
	// throughput is of the requests above their share, which are placed after the others.
	throughput throughput
	// aboveAt is when a request above its share last waited or arrived.
	aboveAt map[servicePriority]time.Time
	// replaced are requests that were rejected in place of others.
	replaced []string
}

type servicePriority struct {
	service  string
	priority int
}

// SetShares makes the queue serve requests of workspaces below their share before those
// above it, and reject the latter first.
func (q *Queue) SetShares(above AboveShare) {
	q.fair.aboveShare, q.fair.aboveAt = above, map[servicePriority]time.Time{}
}

// mark determines whether a request is above its share.
func (f *fairness) mark(now time.Time, r *Request) {
	r.aboveShare = f.aboveShare != nil && f.aboveShare(now, r)
	if r.aboveShare {
		f.aboveAt[servicePriority{r.Service, r.Priority}] = now
	}
}

// markShares determines which of the waiting requests are above their share.
func (q *Queue) markShares(now time.Time) {
	for _, w := range q.waiting {
		q.fair.mark(now, w)
	}
}

// IsAbove reports whether a waiting request is above its share.
func (q *Queue) IsAbove(id string) bool {
	w := q.waiting[id]
	return w != nil && w.aboveShare
}

// aboveRecently reports whether a request above its share, of the same service and of the
// same or a lower priority, waited or arrived within the last rejectPeriod.
func (f *fairness) aboveRecently(now time.Time, r *Request) bool {
	for key, at := range f.aboveAt {
		if key.service == r.Service && key.priority >= r.Priority && now.Sub(at) <= rejectPeriod {
			return true
		}
	}
	return false
}

// rejectInPlaceOf removes the newest waiting request above its share so that a request
// below its share need not be rejected. It must be of the same service, and of the same
// priority or a lower one. It returns false if there is none.
func (q *Queue) rejectInPlaceOf(r *Request) bool {
	if q.fair.aboveShare == nil || r.aboveShare {
		return false
	}
	var newest *Request
	for _, w := range q.waiting {
		if w.Service == r.Service && w.Priority >= r.Priority && w.aboveShare && (newest == nil || w.newer(newest)) {
			newest = w
		}
	}
	if newest == nil {
		return false
	}
	delete(q.waiting, newest.ID)
	q.fair.replaced = append(q.fair.replaced, newest.ID)
	return true
}

func (r *Request) newer(other *Request) bool {
	if !r.Arrived.Equal(other.Arrived) {
		return r.Arrived.After(other.Arrived)
	}
	return r.ID > other.ID
}

// takeReplaced returns the requests that were rejected in place of others since the last
// call.
func (f *fairness) takeReplaced() []string {
	replaced := f.replaced
	f.replaced = nil
	return replaced
}

// class of a request: requests of one class are served in one order.
type class struct {
	priority   int
	aboveShare bool
}

func (r *Request) class() class { return class{r.Priority, r.aboveShare} }

// rejectOrReplace removes requests that became late, those above their share first. One
// below its share stays if one above can be rejected in its place.
func (q *Queue) rejectOrReplace(late []*Request) (rejected []string) {
	slices.SortFunc(late, func(a, b *Request) int {
		if a.aboveShare != b.aboveShare && a.aboveShare {
			return -1
		}
		if a.aboveShare != b.aboveShare {
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	for _, w := range late {
		if w.queuedLate = q.rejectInPlaceOf(w); !w.queuedLate {
			rejected = append(rejected, w.ID)
			delete(q.waiting, w.ID)
		}
	}
	return rejected
}

// removeReplaced takes out a request that was rejected and not returned by Dispatch yet.
func (f *fairness) removeReplaced(id string) bool {
	i := slices.Index(f.replaced, id)
	if i >= 0 {
		f.replaced = slices.Delete(f.replaced, i, i+1)
	}
	return i >= 0
}

// rejectAtEnd removes the requests above their share that have waited their maximum. Sent
// without free memory, they would take memory from requests below their share.
func (q *Queue) rejectAtEnd(now time.Time) (rejected []string) {
	for id, w := range q.waiting {
		if w.aboveShare && !now.Before(w.SendAt()) {
			rejected = append(rejected, id)
			delete(q.waiting, id)
		}
	}
	slices.Sort(rejected)
	return rejected
}

// countAbove returns how many requests above their share wait.
func (q *Queue) countAbove() (n int) {
	for _, w := range q.waiting {
		if w.aboveShare {
			n++
		}
	}
	return n
}

// waitOf returns how long a request is expected to wait behind those that are placed before
// it, as fast as requests were placed lately.
func (q *Queue) waitOf(r *Request) time.Duration {
	ahead, aboveAhead := 0, 0
	for _, w := range q.waiting {
		if w.Priority > r.Priority || w.Priority == r.Priority && w.aboveShare && !r.aboveShare {
			continue
		}
		ahead++
		if w.aboveShare {
			aboveAhead++
		}
	}
	wait := q.throughput.wait(ahead)
	if r.aboveShare {
		wait = max(wait, q.fair.throughput.wait(aboveAhead))
	}
	return wait
}

// RetryAfterOf returns the retry delay of a request that was rejected while it waited:
// where workspaces have shares, the time until capacity is expected to be free for it.
func (q *Queue) RetryAfterOf(now time.Time, r Request) time.Duration {
	q.fair.mark(now, &r)
	wait := q.waitOf(&r)
	if q.fair.aboveShare == nil || wait == 0 {
		return RetryAfter
	}
	return boundRetryAfter(wait)
}

func boundRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// fairRejectAfter returns the retry delay of a new request that the queue has no room for;
// 0: it has room. recent is for how long new requests of its priority are rejected. One
// below its share is not, while others above their share are there to be rejected.
func (q *Queue) fairRejectAfter(now time.Time, r *Request, recent time.Duration) time.Duration {
	if !r.aboveShare && q.fair.aboveRecently(now, r) {
		recent = 0
	}
	if recent <= 0 && q.expectedLateness(now, r) <= 0 {
		return 0
	}
	return boundRetryAfter(max(recent, q.waitOf(r)))
}
