package admission

import (
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// ranks lists the classes from the highest, which is served first, to the
// lowest, which is shed first.
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
	waiting map[string]*waitingRequest
	running map[string]*runningRequest
	bytes   int
	drain   drainMeter
	// tokensPerSecond is the engine's prefill rate; 0 while unknown.
	tokensPerSecond float64
}

// waitingRequest is an accepted request without a slot.
type waitingRequest struct {
	Request
	rank    int
	offered time.Time
	// ready is true once the body is complete and the request may start.
	ready bool
}

// runningRequest is a request in a slot.
type runningRequest struct {
	rank    int
	tokens  float64
	started time.Time
	// prefilling is true until the engine returns the first token.
	prefilling bool
}

// New returns an empty queue.
func New(options Options) *Queue {
	q := &Queue{
		options: options.withDefaults(),
		waiting: map[string]*waitingRequest{},
		running: map[string]*runningRequest{},
	}
	for rank := range q.classes {
		q.classes[rank].flows = map[string]*flow{}
	}
	return q
}

// Configure changes the number of slots and the queue length. Running and
// waiting requests are kept, even if there are more of them than allowed.
func (q *Queue) Configure(now time.Time, slots, length int) []Action {
	if slots > 0 {
		q.options.Slots = slots
	}
	if length > 0 {
		q.options.Length = length
	}
	return q.startReady(now)
}

// SetRate sets the engine's prefill rate in prompt tokens per second.
func (q *Queue) SetRate(tokensPerSecond float64) { q.tokensPerSecond = tokensPerSecond }

// Offer decides whether to accept a new request. The returned actions refuse
// waiting requests that are shed in its favour.
func (q *Queue) Offer(now time.Time, req Request) (Decision, []Action) {
	if req.Tokens < minTokens {
		req.Tokens = minTokens
	}
	if req.Weight == 0 {
		req.Weight = 1
	}
	w := &waitingRequest{Request: req, rank: rankOf(req.Class), offered: now}
	decision := Decision{CostMS: q.CostMS(now, req.Class, req.Tokens)}
	if _, ok := q.waiting[req.ID]; ok || q.running[req.ID] != nil {
		decision.Refusal = jayv1.Refusal_REFUSAL_DUPLICATE
		return decision, nil
	}
	if decision.Refusal = q.refusalFor(now, req, decision.CostMS); decision.Refusal != 0 {
		decision.RetryAfter = q.retryAfter(now, w.rank)
		return decision, nil
	}
	actions, ok := q.shedFor(now, w)
	if !ok {
		decision.Refusal = jayv1.Refusal_REFUSAL_QUEUE_FULL
		decision.RetryAfter = q.retryAfter(now, w.rank)
		return decision, nil
	}
	q.push(w)
	decision.Accepted = true
	return decision, actions
}

// refusalFor returns the reason to refuse a request that would miss its
// deadline or costs too much here, 0 if there is none.
func (q *Queue) refusalFor(now time.Time, req Request, costMS float64) jayv1.Refusal {
	if !req.Deadline.IsZero() && now.Add(fromMilliseconds(costMS)).After(req.Deadline) {
		return jayv1.Refusal_REFUSAL_DEADLINE
	}
	bound := req.NextBestMS*(1+q.options.CostMargin) + costToleranceMS
	if !req.Final && req.NextBestMS > 0 && costMS > bound {
		return jayv1.Refusal_REFUSAL_COST
	}
	return 0
}

// Ready reports that the request's body is complete.
func (q *Queue) Ready(now time.Time, id string) []Action {
	w, ok := q.waiting[id]
	if !ok {
		return nil
	}
	w.ready = true
	return q.startReady(now)
}

// FirstToken reports that the request's prompt is computed.
func (q *Queue) FirstToken(id string) {
	if r, ok := q.running[id]; ok {
		r.prefilling = false
	}
}

// Done reports that a request ended for any reason, and frees its slot or its
// place in the queue.
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

// Tick refuses every waiting request whose deadline has passed.
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

// NextDeadline returns the time at which Tick must be called next, false if no
// waiting request has a deadline.
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

func (q *Queue) push(w *waitingRequest) {
	q.classes[w.rank].push(w)
	q.waiting[w.ID] = w
	q.bytes += w.Bytes
}

func (q *Queue) remove(w *waitingRequest) {
	q.classes[w.rank].remove(w)
	delete(q.waiting, w.ID)
	q.bytes -= w.Bytes
}

func (q *Queue) refuse(now time.Time, w *waitingRequest, refusal jayv1.Refusal) Action {
	return Action{
		Kind: Refuse, ID: w.ID, Refusal: refusal,
		RetryAfter: q.retryAfter(now, w.rank), Waited: now.Sub(w.offered),
	}
}

func (q *Queue) startReady(now time.Time) []Action {
	var actions []Action
	for len(q.running) < q.options.Slots {
		w := q.nextToStart()
		if w == nil {
			break
		}
		q.remove(w)
		q.running[w.ID] = &runningRequest{rank: w.rank, tokens: w.Tokens, started: now, prefilling: true}
		actions = append(actions, Action{Kind: Start, ID: w.ID, Waited: now.Sub(w.offered)})
	}
	return actions
}

// nextToStart returns the request to start next, nil if none is ready.
//
// The highest class with a ready request is served first. Whenever it is
// served, each lower class with a ready request earns credit, and is served
// first once its credit covers a request. Otherwise a steady stream of
// requests of the higher class would starve the lower one.
func (q *Queue) nextToStart() *waitingRequest {
	var best *waitingRequest
	for rank := range q.classes {
		w := q.classes[rank].next()
		if w == nil {
			q.classes[rank].credit = 0
			continue
		}
		if best == nil || q.classes[rank].credit >= w.Tokens {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	q.classes[best.rank].charge(best)
	for rank := best.rank + 1; rank < len(q.classes); rank++ {
		if q.classes[rank].next() != nil {
			q.classes[rank].credit += q.options.Floor * best.Tokens
		}
	}
	return best
}
