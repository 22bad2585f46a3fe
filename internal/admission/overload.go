package admission

import (
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// shedFor sheds waiting requests until the incoming one fits. It returns false
// if that is not possible; then nothing was shed.
//
// Requests of a lower class beyond its reserved places are shed first, so that
// a flood of batch requests does not cause interactive ones to be refused.
// Then, in the same class, the last request of a workspace that uses more than
// its share, so that one workspace does not fill the queue before others
// arrive.
func (q *Queue) shedFor(now time.Time, incoming *waitingRequest) ([]Action, bool) {
	var victims []*waitingRequest
	for q.unavailablePlaces(incoming.rank) >= q.options.Length || q.bytes+incoming.Bytes > q.options.Bytes {
		victim := q.victim(incoming)
		if victim == nil {
			q.restore(victims)
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

// unavailablePlaces returns the number of places that a new request of the rank
// cannot take: those in use and those reserved for lower classes. Without the
// reservation a lower class would get no place in a full queue and could not
// use its minimum share of the work.
func (q *Queue) unavailablePlaces(rank int) int {
	taken := 0
	for r := range q.classes {
		places := q.classes[r].count
		if r > rank {
			places = max(places, q.reservedPlaces())
		}
		taken += places
	}
	return taken
}

// reservedPlaces returns the number of places reserved for each lower class.
func (q *Queue) reservedPlaces() int { return int(q.options.Floor * float64(q.options.Length)) }

// restore adds removed victims to the queue again. Each was the last request of
// its workspace when it was removed, so adding them in reverse order restores
// the original order.
func (q *Queue) restore(victims []*waitingRequest) {
	for i := len(victims) - 1; i >= 0; i-- {
		q.push(victims[i])
	}
}

// victim returns the waiting request to shed first for the incoming one, nil if
// there is none.
func (q *Queue) victim(incoming *waitingRequest) *waitingRequest {
	for rank := len(q.classes) - 1; rank > incoming.rank; rank-- {
		if q.classes[rank].count <= q.reservedPlaces() {
			continue
		}
		if w, _ := q.classes[rank].last(); w != nil {
			return w
		}
	}
	class := &q.classes[incoming.rank]
	w, start := class.last()
	if w == nil || w.Workspace == incoming.Workspace {
		return nil
	}
	if start <= class.startTime(incoming) {
		return nil
	}
	return w
}

// QueueMS returns the expected wait of a new request of the class, in
// milliseconds: the longer of the prefill work ahead and the wait for a slot.
// They overlap, because engines compute prompts while they generate output.
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

// CostMS returns the expected time to the first token of a new request, in
// milliseconds.
func (q *Queue) CostMS(now time.Time, class jayv1.Class, tokens float64) float64 {
	cost := q.QueueMS(now, class)
	if q.tokensPerSecond > 0 {
		cost += tokens / q.tokensPerSecond * millisecondsPerSecond
	}
	return cost
}

// ahead returns the number of waiting requests of the rank or higher, which
// would start before a new one, and the tokens to compute before it, including
// those of running requests.
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

// retryAfter returns the time that the queue needs, at its measured drain rate,
// to serve the requests ahead of a new one of the rank.
func (q *Queue) retryAfter(now time.Time, rank int) time.Duration {
	ahead, _ := q.ahead(rank)
	wait := time.Duration(float64(ahead+1) * float64(q.drain.interval(now, q.options.Slots)))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// drainMeter measures the interval between finished requests of a busy backend
// server.
type drainMeter struct {
	// meanInterval is the mean interval between finished requests while all
	// slots were busy, in nanoseconds; 0 if not measured yet.
	meanInterval float64
	// meanService is the mean time in a slot, in nanoseconds. It is used until
	// meanInterval is measured.
	meanService float64
	lastDone    time.Time
}

const (
	millisecondsPerSecond = 1000.0
	// meanWeight is the weight of a new value in the moving means.
	meanWeight = 0.1
	// defaultServiceTime is assumed until a first request has ended.
	defaultServiceTime = time.Second
)

// done records the end of a request. busy is true if all slots are in use again
// after it.
func (d *drainMeter) done(now time.Time, service time.Duration, busy bool) {
	d.meanService = movingMean(d.meanService, float64(service))
	if !d.lastDone.IsZero() {
		d.meanInterval = movingMean(d.meanInterval, float64(now.Sub(d.lastDone)))
	}
	d.lastDone = now
	if !busy {
		// With free slots the next interval does not show the drain rate.
		d.lastDone = time.Time{}
	}
}

// interval returns the expected time between two finished requests under load.
// It is at least the time since the last one, so that the estimate grows while
// the engine is stalled.
func (d *drainMeter) interval(now time.Time, slots int) time.Duration {
	mean := d.meanInterval
	if mean == 0 && d.meanService > 0 {
		mean = d.meanService / float64(slots)
	}
	if mean == 0 {
		mean = float64(defaultServiceTime) / float64(slots)
	}
	if !d.lastDone.IsZero() {
		mean = max(mean, float64(now.Sub(d.lastDone)))
	}
	return time.Duration(mean)
}

func movingMean(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + meanWeight*(value-mean)
}

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
