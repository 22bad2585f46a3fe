package admission

import (
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// ranks lists the classes from the first served to the first shed.
var ranks = [...]jayv1.Class{
	jayv1.Class_CLASS_INTERACTIVE,
	jayv1.Class_CLASS_STANDARD,
	jayv1.Class_CLASS_BATCH,
}

func rankOf(class jayv1.Class) int {
	for rank, c := range ranks {
		if c == class {
			return rank
		}
	}
	return 1 // An unknown class is served as standard.
}

// Queue admits, orders and starts requests. Not safe for concurrent use.
type Queue struct {
	options Options
	classes [len(ranks)]classQueue
	waiting map[string]*waiter
	running map[string]*runner
	bytes   int
	drain   drainMeter
	// tokensPerSecond is the engine's prefill rate; 0 while unknown.
	tokensPerSecond float64
}

// waiter is a request that was accepted and has no slot yet.
type waiter struct {
	Request
	rank    int
	offered time.Time
	// ready: the body is complete, so the request may start.
	ready bool
}

// runner is a request in a slot.
type runner struct {
	rank    int
	tokens  float64
	started time.Time
	// prefilling until the first token came.
	prefilling bool
}

// New makes a queue.
func New(options Options) *Queue {
	q := &Queue{
		options: options.withDefaults(),
		waiting: map[string]*waiter{},
		running: map[string]*runner{},
	}
	for rank := range q.classes {
		q.classes[rank].flows = map[string]*flow{}
	}
	return q
}

// Configure changes slots and length; requests that run or wait stay.
func (q *Queue) Configure(now time.Time, slots, length int) []Action {
	if slots > 0 {
		q.options.Slots = slots
	}
	if length > 0 {
		q.options.Length = length
	}
	return q.startReady(now)
}

// SetRate tells the engine's measured prompt tokens a second.
func (q *Queue) SetRate(tokensPerSecond float64) { q.tokensPerSecond = tokensPerSecond }

// Offer decides on a new request. Actions shed others to make room for it.
func (q *Queue) Offer(now time.Time, req Request) (Decision, []Action) {
	if req.Tokens < minTokens {
		req.Tokens = minTokens
	}
	if req.Weight == 0 {
		req.Weight = 1
	}
	w := &waiter{Request: req, rank: rankOf(req.Class), offered: now}
	decision := Decision{CostMS: q.CostMS(now, req.Class, req.Tokens)}
	if _, ok := q.waiting[req.ID]; ok || q.running[req.ID] != nil {
		decision.Refusal = jayv1.Refusal_REFUSAL_DUPLICATE
		return decision, nil
	}
	if decision.Refusal = q.judge(now, req, decision.CostMS); decision.Refusal != 0 {
		decision.RetryAfter = q.retryAfter(now, w.rank)
		return decision, nil
	}
	actions, ok := q.makeRoom(now, w)
	if !ok {
		decision.Refusal = jayv1.Refusal_REFUSAL_QUEUE_FULL
		decision.RetryAfter = q.retryAfter(now, w.rank)
		return decision, nil
	}
	q.push(w)
	decision.Accepted = true
	return decision, actions
}

// judge turns away what is not worth a place in the queue.
func (q *Queue) judge(now time.Time, req Request, costMS float64) jayv1.Refusal {
	if !req.Deadline.IsZero() && now.Add(milliseconds(costMS)).After(req.Deadline) {
		return jayv1.Refusal_REFUSAL_DEADLINE
	}
	bound := req.NextBestMS*(1+q.options.CostMargin) + costSlackMS
	if !req.Final && req.NextBestMS > 0 && costMS > bound {
		return jayv1.Refusal_REFUSAL_COST
	}
	return 0
}

// Ready tells that the request's body is complete.
func (q *Queue) Ready(now time.Time, id string) []Action {
	w, ok := q.waiting[id]
	if !ok {
		return nil
	}
	w.ready = true
	return q.startReady(now)
}

// FirstToken tells that the request's prompt is computed.
func (q *Queue) FirstToken(id string) {
	if r, ok := q.running[id]; ok {
		r.prefilling = false
	}
}

// Done frees the slot of a request, whatever its end, or its place in the queue.
func (q *Queue) Done(now time.Time, id string) []Action {
	if w, ok := q.waiting[id]; ok {
		q.remove(w)
		return q.startReady(now)
	}
	r, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	actions := q.startReady(now)
	q.drain.done(now, now.Sub(r.started), len(q.running) >= q.options.Slots)
	return actions
}

// Tick refuses at once every waiting request whose deadline has passed.
func (q *Queue) Tick(now time.Time) []Action {
	var actions []Action
	for rank := range q.classes {
		for _, w := range q.classes[rank].all() {
			if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
				q.remove(w)
				actions = append(actions, q.refuse(now, w, jayv1.Refusal_REFUSAL_DEADLINE))
			}
		}
	}
	return append(actions, q.startReady(now)...)
}

// NextDeadline is when Tick is due; false when nothing waits with a deadline.
func (q *Queue) NextDeadline() (time.Time, bool) {
	var next time.Time
	for _, w := range q.waiting {
		if !w.Deadline.IsZero() && (next.IsZero() || w.Deadline.Before(next)) {
			next = w.Deadline
		}
	}
	return next, !next.IsZero()
}

// Load returns the queue's state.
func (q *Queue) Load(now time.Time) Load {
	return Load{
		Running: len(q.running),
		Queued:  len(q.waiting),
		Slots:   q.options.Slots,
		QueueMS: q.QueueMS(now, jayv1.Class_CLASS_STANDARD),
		Bytes:   q.bytes,
	}
}

func (q *Queue) push(w *waiter) {
	q.classes[w.rank].push(w)
	q.waiting[w.ID] = w
	q.bytes += w.Bytes
}

func (q *Queue) remove(w *waiter) {
	q.classes[w.rank].remove(w)
	delete(q.waiting, w.ID)
	q.bytes -= w.Bytes
}

func (q *Queue) refuse(now time.Time, w *waiter, refusal jayv1.Refusal) Action {
	return Action{
		Kind: Refuse, ID: w.ID, Refusal: refusal,
		RetryAfter: q.retryAfter(now, w.rank), Waited: now.Sub(w.offered),
	}
}

func (q *Queue) startReady(now time.Time) []Action {
	var actions []Action
	for len(q.running) < q.options.Slots {
		w := q.pick()
		if w == nil {
			break
		}
		q.remove(w)
		q.running[w.ID] = &runner{rank: w.rank, tokens: w.Tokens, started: now, prefilling: true}
		actions = append(actions, Action{Kind: Start, ID: w.ID, Waited: now.Sub(w.offered)})
	}
	return actions
}

// pick returns the request to start next, nil when none is ready.
//
// The highest class with ready work goes first, but a lower class that was
// passed over is owed its floor of the work done meanwhile. Without the floor
// a steady stream of the higher class would let the lower one wait for ever.
func (q *Queue) pick() *waiter {
	var best *waiter
	for rank := range q.classes {
		w := q.classes[rank].next()
		if w == nil {
			q.classes[rank].owed = 0
			continue
		}
		if best == nil || q.classes[rank].owed >= w.Tokens {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	q.classes[best.rank].served(best)
	for rank := best.rank + 1; rank < len(q.classes); rank++ {
		if q.classes[rank].next() != nil {
			q.classes[rank].owed += q.options.Floor * best.Tokens
		}
	}
	return best
}
