package admission

import (
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// makeRoom sheds requests that are worth less than the newcomer until it fits.
// False: it does not fit, and nothing was shed.
//
// Worth less is a lower class beyond its kept places, or in the same class the last request of a
// workspace that waits with more than its share. The first keeps a flood of
// batch work from turning breakdown calls away, the second keeps one greedy
// workspace from filling the queue before the others arrive.
func (q *Queue) makeRoom(now time.Time, newcomer *waiter) ([]Action, bool) {
	var victims []*waiter
	for q.taken(newcomer.rank) >= q.options.Length || q.bytes+newcomer.Bytes > q.options.Bytes {
		victim := q.victim(newcomer)
		if victim == nil {
			q.putBack(victims)
			return nil, false
		}
		q.remove(victim)
		victims = append(victims, victim)
	}
	actions := make([]Action, 0, len(victims))
	for _, w := range victims {
		actions = append(actions, q.refuse(now, w, jayv1.Refusal_REFUSAL_SHED))
	}
	return actions, true
}

// taken counts the places that a newcomer of the rank can't have: those taken
// and those kept for lower classes. The floor of the work would be worth
// nothing to a class whose requests never get a place in a full queue.
func (q *Queue) taken(rank int) int {
	taken := 0
	for r := range q.classes {
		places := q.classes[r].count
		if r > rank {
			places = max(places, q.kept())
		}
		taken += places
	}
	return taken
}

// kept is the number of places that each lower class has for itself.
func (q *Queue) kept() int { return int(q.options.Floor * float64(q.options.Length)) }

// putBack undoes the removal of victims. Each was the last of its workspace
// when it was taken, so the reverse order restores the queue.
func (q *Queue) putBack(victims []*waiter) {
	for i := len(victims) - 1; i >= 0; i-- {
		q.push(victims[i])
	}
}

// victim returns the waiting request that is worth least, nil when none is
// worth less than the newcomer.
func (q *Queue) victim(newcomer *waiter) *waiter {
	for rank := len(q.classes) - 1; rank > newcomer.rank; rank-- {
		if q.classes[rank].count <= q.kept() {
			continue
		}
		if w, _ := q.classes[rank].last(); w != nil {
			return w
		}
	}
	class := &q.classes[newcomer.rank]
	w, place := class.last()
	if w == nil || w.Workspace == newcomer.Workspace {
		return nil
	}
	if place <= class.placeOf(newcomer) {
		return nil
	}
	return w
}

// QueueMS is the expected wait of a new request of the class, in milliseconds:
// the longer of the prefill work ahead and the wait for a slot. Both run at
// the same time, as engines compute prompts beside the answers under way.
func (q *Queue) QueueMS(now time.Time, class jayv1.Class) float64 {
	ahead, tokens := q.ahead(rankOf(class))
	prefill := 0.0
	if q.tokensPerSecond > 0 {
		prefill = tokens / q.tokensPerSecond * millisecondsPerSecond
	}
	free := q.options.Slots - len(q.running)
	if ahead < free {
		return prefill
	}
	slot := time.Duration(float64(ahead-free+1) * float64(q.drain.interval(now, q.options.Slots)))
	return max(prefill, toMilliseconds(slot))
}

// CostMS is the expected time to the first token of a new request.
func (q *Queue) CostMS(now time.Time, class jayv1.Class, tokens float64) float64 {
	cost := q.QueueMS(now, class)
	if q.tokensPerSecond > 0 {
		cost += tokens / q.tokensPerSecond * millisecondsPerSecond
	}
	return cost
}

// ahead counts the waiting requests that would start before a new one of the
// rank, and the tokens to compute before it, those of running requests included.
func (q *Queue) ahead(rank int) (requests int, tokens float64) {
	for _, w := range q.waiting {
		if w.rank <= rank {
			requests++
			tokens += w.Tokens
		}
	}
	for _, r := range q.running {
		if r.prefilling {
			tokens += r.tokens
		}
	}
	return requests, tokens
}

// retryAfter is the time that the queue needs to serve what stands before a
// request of the rank, at the rate it is measured to drain at.
func (q *Queue) retryAfter(now time.Time, rank int) time.Duration {
	ahead, _ := q.ahead(rank)
	wait := time.Duration(float64(ahead+1) * float64(q.drain.interval(now, q.options.Slots)))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// drainMeter measures how long a busy backend server takes from one finished
// request to the next.
type drainMeter struct {
	// mean interval between ends while all slots were busy; 0: not seen yet.
	mean float64
	// service is the mean time in a slot, for the time before that.
	service  float64
	lastDone time.Time
}

const (
	millisecondsPerSecond = 1000.0
	// drainWeight of a new value in the running means.
	drainWeight = 0.1
	// unknownService stands in until a first request has ended.
	unknownService = time.Second
)

// done counts an end. busy: all slots are taken again after it.
func (d *drainMeter) done(now time.Time, service time.Duration, busy bool) {
	d.service = blend(d.service, float64(service))
	if !d.lastDone.IsZero() {
		d.mean = blend(d.mean, float64(now.Sub(d.lastDone)))
	}
	d.lastDone = now
	if !busy {
		// The pause until the next end will be a lack of work and say nothing.
		d.lastDone = time.Time{}
	}
}

// interval is the expected time between two ends under load. An engine that
// has stalled shows in the time since its last end, so that callers are not
// told the rate of better times.
func (d *drainMeter) interval(now time.Time, slots int) time.Duration {
	mean := d.mean
	if mean == 0 && d.service > 0 {
		mean = d.service / float64(slots)
	}
	if mean == 0 {
		mean = float64(unknownService) / float64(slots)
	}
	if !d.lastDone.IsZero() {
		mean = max(mean, float64(now.Sub(d.lastDone)))
	}
	return time.Duration(mean)
}

func blend(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + drainWeight*(value-mean)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
