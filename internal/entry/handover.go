package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/routing"
)

const nonceBytes = 16

// answer is where a request's result goes: a sink that also knows whether the
// caller has got anything of it yet.
type answer interface {
	sink
	// Begin is told of each attempt before it starts.
	Begin(a *attempt)
	// Started is true once bytes went to the caller.
	Started() bool
}

// result is how a request ended.
type result struct {
	outcome  jayv1.Outcome
	attempts uint32
	err      *Error
	end      *jayv1.End
	reply    *jayv1.OfferReply
	server   string
}

// handOver brings the work to a backend server, in as many attempts as it may have.
func (e *Entry) handOver(ctx context.Context, w *work, to answer) result {
	h := &handing{entry: e, work: w, to: to, table: e.holder.Current()}
	e.explain.begin(e, w, h.table)
	r := h.run(ctx)
	if r.err != nil {
		// One word for the caller, the claim and the metrics.
		r.err.Outcome = r.outcome
	}
	e.explain.finish(w.id, r)
	return r
}

// handing is the state of one request over its attempts.
type handing struct {
	entry *Entry
	work  *work
	to    answer
	table *catalog.Table
	tries []routing.RefusedOffer
	last  result
	// maybeRan: an attempt ended unknown, so the request can't be called not run.
	maybeRan bool
	// crashed are the engines that crashed as the request began to run there.
	crashed []string
}

func (h *handing) run(ctx context.Context) result {
	for n := 1; n <= h.maxAttempts(); n++ {
		// The catalog may have moved on since the last attempt.
		h.table = h.entry.holder.Current()
		d, err := h.decide(ctx)
		if err != nil {
			break
		}
		d.Final = d.Final || h.maxAttempts() == 1 || h.declines() >= h.entry.settings.Attempts.MaxDeclines
		a, ok := h.newAttempt(uint32(n), d) //nolint:gosec // bounded by the setting
		if !ok {
			h.tries = append(h.tries, routing.RefusedOffer{Server: d.Server, Refusal: jayv1.Refusal_REFUSAL_NOT_FOUND})
			continue
		}
		h.entry.explain.decided(h.work.id, d)
		h.to.Begin(a)
		offer := h.work.offer(time.Now(), a.number, d, h.table.Generation(), a.nonce)
		a.run(ctx, offer, h.work.body, h.to)
		h.learn(a)
		if h.settled(ctx, a) {
			return h.last
		}
	}
	return h.exhausted()
}

// maxAttempts is one for a call that may run at most once and has no key: no
// claim would stop a second run.
func (h *handing) maxAttempts() int {
	if h.work.nonRepeatable && h.work.key == "" {
		return 1
	}
	return h.entry.settings.Attempts.Max
}

func (h *handing) declines() int {
	n := 0
	for _, t := range h.tries {
		if t.Refusal == jayv1.Refusal_REFUSAL_COST {
			n++
		}
	}
	return n
}

func (h *handing) newAttempt(number uint32, d routing.Decision) (*attempt, bool) {
	server, ok := h.table.BackendServer(d.Server)
	if !ok {
		return nil, false
	}
	a := newAttempt(h.work.id, number)
	a.server, a.address = server.GetName(), server.GetAgentAddress()
	a.generation = h.table.Generation()
	a.workspace, a.dial = h.work.workspace.GetName(), h.entry.node
	a.limits, a.timeouts = h.entry.settings.Attempts, h.entry.settings.Timeouts
	a.deadline, a.detach = h.work.deadline, h.work.keepOpen
	if h.work.stream {
		a.unacked = uint64(a.limits.ResumeChunks) //nolint:gosec // not negative by the setting's rule
	}
	a.onReply = func(reply *jayv1.OfferReply) { h.entry.picker.replied(time.Now(), h.work, a.server, reply) }
	a.nonce = make([]byte, nonceBytes)
	_, _ = rand.Read(a.nonce)
	return a, true
}

// learn keeps what the attempt showed of the backend server.
func (h *handing) learn(a *attempt) {
	h.entry.picker.ended(time.Now(), h.work, a)
	t := routing.RefusedOffer{Server: a.server, Refusal: refusalOf(a), CostMS: a.reply.GetCostMs(), CachedBytes: int(a.reply.GetCachedBytes())}
	h.tries = append(h.tries, t)
	h.entry.explain.attempt(a, t.Refusal)
	h.last.attempts, h.last.server = a.number, a.server
	h.last.end, h.last.reply = a.end, a.reply
	h.last.outcome = a.outcome()
	h.noteCrash(a)
	klog.V(2).InfoS("attempt over", "request", a.id, "attempt", a.number, "server", a.server, "state", a.state, "refusal", t.Refusal)
}

// refusalOf is the agent's reason, before or after it took the work. A lost
// link counts as an engine that is down.
func refusalOf(a *attempt) jayv1.Refusal {
	if a.reply != nil && !a.reply.GetAccepted() {
		return a.reply.GetRefusal()
	}
	if a.end.GetRefusal() != jayv1.Refusal_REFUSAL_UNSPECIFIED {
		return a.end.GetRefusal()
	}
	if a.outcome() == jayv1.Outcome_OUTCOME_NOT_RUN {
		return jayv1.Refusal_REFUSAL_ENGINE_DOWN
	}
	return jayv1.Refusal_REFUSAL_UNSPECIFIED
}

// settled tells whether the request is over after the attempt.
func (h *handing) settled(ctx context.Context, a *attempt) bool {
	switch {
	case a.outcome() == jayv1.Outcome_OUTCOME_DONE:
		h.entry.ranWhole(h.work)
		h.last.err = nil
		return true
	case a.outcome() == jayv1.Outcome_OUTCOME_UNKNOWN:
		h.maybeRan = true
		return !h.retryUnknown(a)
	case ctx.Err() != nil, errors.Is(a.cause, errCallerGone), errors.Is(a.cause, errBody):
		h.last.err = bodyError(a.cause)
		h.last.outcome = h.outcomeNow()
		return true
	case finalRefusal(refusalOf(a)):
		h.last.err = h.refused(a)
		h.last.outcome = h.outcomeNow()
		return true
	case h.to.Started() || !h.work.body.Rewind() || !time.Now().Before(h.work.deadline):
		h.last.err = h.refused(a)
		h.last.outcome = h.outcomeNow()
		return true
	}
	return false
}

// outcomeNow is not_run only while no attempt may have run.
func (h *handing) outcomeNow() jayv1.Outcome {
	if h.maybeRan {
		return jayv1.Outcome_OUTCOME_UNKNOWN
	}
	return jayv1.Outcome_OUTCOME_NOT_RUN
}

// retryUnknown tells whether work that may have run is started again: only
// repeatable work of which the caller has got nothing, within the budget.
func (h *handing) retryUnknown(a *attempt) bool {
	h.last.err = &Error{
		Status: http.StatusBadGateway, Code: CodeOutcomeUnknown, Outcome: jayv1.Outcome_OUTCOME_UNKNOWN,
		Message: "the connection to the backend server was lost; the request may have run",
	}
	if h.to.Started() {
		h.last.err.Code = CodeStreamBroken
		h.last.err.Message = "the stream could not be completed"
	}
	if errors.Is(a.cause, errGivenUp) {
		h.last.err.Status, h.last.err.Code = http.StatusGatewayTimeout, CodeDeadline
		h.last.err.Message = "the request was given up at its deadline; it may have run"
	}
	if h.work.repeatable {
		h.last.err.RetryAfter = defaultRetryAfter
	}
	if !h.work.repeatable || h.to.Started() || errors.Is(a.cause, errCallerGone) || !h.work.body.Rewind() {
		return false
	}
	if !h.entry.crashesAllowRepeat(h.work, h.crashed) {
		return false
	}
	return h.entry.allowRetry(time.Now(), h.work.deadline)
}

// finalRefusal tells whether asking another backend server is of no use.
func finalRefusal(refusal jayv1.Refusal) bool {
	return refusal == jayv1.Refusal_REFUSAL_INVALID || refusal == jayv1.Refusal_REFUSAL_DEADLINE
}

// exhausted is the end of a request that found no backend server.
func (h *handing) exhausted() result {
	h.last.outcome = h.outcomeNow()
	if h.last.err != nil && h.maybeRan {
		return h.last
	}
	if len(h.tries) == 0 {
		h.last.err = refuseForNow(http.StatusServiceUnavailable, CodeNoBackendServer, "no backend server may serve the request now", 0)
		return h.last
	}
	h.last.err = refuseForNow(http.StatusServiceUnavailable, CodeOverloaded,
		"every backend server asked refused the request: "+refusalName(h.tries[len(h.tries)-1].Refusal), h.retryAfter())
	return h.last
}
