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

// responseSink is a sink that also reports whether any of it was sent to the caller.
type responseSink interface {
	sink
	// Begin is called before each attempt starts.
	Begin(a *attempt)
	// Started reports whether the response to the caller was started.
	Started() bool
}

// result is the result of a request.
type result struct {
	outcome  jayv1.Outcome
	attempts uint32
	err      *Error
	end      *jayv1.End
	reply    *jayv1.OfferReply
	server   string
}

// handOff hands the request off to backend servers until an attempt succeeds or
// no further attempt is allowed.
func (e *Entry) handOff(ctx context.Context, w *work, to responseSink) result {
	h := &handoff{entry: e, work: w, to: to, table: e.holder.Current()}
	e.explain.begin(e, w, h.table)
	r := h.run(ctx)
	if r.err != nil {
		// Caller, claim and metrics get the same outcome.
		r.err.Outcome = r.outcome
	}
	e.explain.recordOutcome(w.id, r)
	return r
}

// handoff is the state of one request across its attempts.
type handoff struct {
	entry *Entry
	work  *work
	to    responseSink
	table *catalog.Table
	tried []routing.RefusedOffer
	last  result
	// mayHaveRun: an attempt had an unknown outcome, so the request can't be
	// reported as not run.
	mayHaveRun bool
	// crashed lists the engines that crashed as the request started to run there.
	crashed []string
}

func (h *handoff) run(ctx context.Context) result {
	for n := 1; n <= h.maxAttempts(); n++ {
		// The catalog may have changed since the last attempt.
		h.table = h.entry.holder.Current()
		d, err := h.decide(ctx)
		if err != nil {
			break
		}
		d.Final = d.Final || h.maxAttempts() == 1 || h.declines() >= h.entry.settings.Attempts.MaxDeclines
		a, ok := h.newAttempt(uint32(n), d) //nolint:gosec // bounded by the setting
		if !ok {
			h.tried = append(h.tried, routing.RefusedOffer{Server: d.Server, Refusal: jayv1.Refusal_REFUSAL_NOT_FOUND})
			continue
		}
		h.entry.explain.recordDecision(h.work.id, d)
		h.to.Begin(a)
		offer := h.work.offer(time.Now(), a.number, d, h.table.Generation(), a.nonce)
		a.run(ctx, offer, h.work.body, h.to)
		h.recordAttempt(a)
		if h.finished(ctx, a) {
			return h.last
		}
	}
	return h.exhausted()
}

// maxAttempts is 1 for a call that may run at most once and has no idempotency
// key: without a claim nothing would prevent a second run.
func (h *handoff) maxAttempts() int {
	if h.work.nonRepeatable && h.work.key == "" {
		return 1
	}
	return h.entry.settings.Attempts.Max
}

func (h *handoff) declines() int {
	n := 0
	for _, t := range h.tried {
		if t.Refusal == jayv1.Refusal_REFUSAL_COST {
			n++
		}
	}
	return n
}

func (h *handoff) newAttempt(number uint32, d routing.Decision) (*attempt, bool) {
	server, ok := h.table.BackendServer(d.Server)
	if !ok {
		return nil, false
	}
	a := newAttempt(h.work.id, number)
	a.server, a.address = server.GetName(), server.GetAgentAddress()
	a.generation = h.table.Generation()
	a.workspace, a.dial = h.work.workspace.GetName(), h.entry.node
	a.limits, a.timeouts = h.entry.settings.Attempts, h.entry.settings.Timeouts
	a.deadline, a.resumable = h.work.deadline, h.work.resumable
	if h.work.stream {
		a.ackLag = uint64(a.limits.ResumeChunks) //nolint:gosec // not negative by the setting's rule
	}
	a.onReply = func(reply *jayv1.OfferReply) { h.entry.picker.replied(time.Now(), h.work, a.server, reply) }
	a.nonce = make([]byte, nonceBytes)
	_, _ = rand.Read(a.nonce)
	return a, true
}

// recordAttempt records the result of an ended attempt.
func (h *handoff) recordAttempt(a *attempt) {
	h.entry.picker.ended(time.Now(), h.work, a)
	t := routing.RefusedOffer{Server: a.server, Refusal: refusalOf(a), CostMS: a.reply.GetCostMs(), CachedBytes: int(a.reply.GetCachedBytes())}
	h.tried = append(h.tried, t)
	h.entry.explain.recordAttempt(a, t.Refusal)
	h.last.attempts, h.last.server = a.number, a.server
	h.last.end, h.last.reply = a.end, a.reply
	h.last.outcome = a.outcome()
	h.recordCrash(a)
	klog.V(2).InfoS("attempt ended", "request", a.id, "attempt", a.number, "server", a.server, "state", a.state, "refusal", t.Refusal)
}

// refusalOf returns the agent's reason for not running the request, given before
// or after it accepted the offer. A lost link counts as an engine that is down.
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

// finished reports whether the request ends with this attempt, and sets its
// result.
func (h *handoff) finished(ctx context.Context, a *attempt) bool {
	switch {
	case a.outcome() == jayv1.Outcome_OUTCOME_DONE:
		h.entry.clearSuspect(h.work)
		h.last.err = nil
		return true
	case a.outcome() == jayv1.Outcome_OUTCOME_UNKNOWN:
		h.mayHaveRun = true
		return !h.mayRetryUnknown(a)
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

// outcomeNow is NOT_RUN only while no attempt may have run.
func (h *handoff) outcomeNow() jayv1.Outcome {
	if h.mayHaveRun {
		return jayv1.Outcome_OUTCOME_UNKNOWN
	}
	return jayv1.Outcome_OUTCOME_NOT_RUN
}

// mayRetryUnknown reports whether a request that may have run is started again:
// only if it is repeatable, nothing of its answer was sent to the caller, and
// the retry budget allows it.
func (h *handoff) mayRetryUnknown(a *attempt) bool {
	h.last.err = &Error{
		Status: http.StatusBadGateway, Code: CodeOutcomeUnknown, Outcome: jayv1.Outcome_OUTCOME_UNKNOWN,
		Message: "the connection to the backend server was lost; the request may have run",
	}
	if h.to.Started() {
		h.last.err.Code = CodeStreamBroken
		h.last.err.Message = "the stream could not be completed"
	}
	if errors.Is(a.cause, errTimedOut) {
		h.last.err.Status, h.last.err.Code = http.StatusGatewayTimeout, CodeDeadline
		h.last.err.Message = "the request timed out; it may have run"
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

// finalRefusal reports whether every other backend server would refuse too.
func finalRefusal(refusal jayv1.Refusal) bool {
	return refusal == jayv1.Refusal_REFUSAL_INVALID || refusal == jayv1.Refusal_REFUSAL_DEADLINE
}

// exhausted returns the result of a request that no backend server accepted.
func (h *handoff) exhausted() result {
	h.last.outcome = h.outcomeNow()
	if h.last.err != nil && h.mayHaveRun {
		return h.last
	}
	if len(h.tried) == 0 {
		h.last.err = refuseTemporarily(http.StatusServiceUnavailable, CodeNoBackendServer, "no backend server is available for the request now", 0)
		return h.last
	}
	h.last.err = refuseTemporarily(http.StatusServiceUnavailable, CodeOverloaded,
		"every backend server that was tried refused the request; last reason: "+refusalName(h.tried[len(h.tried)-1].Refusal), h.retryAfter())
	return h.last
}
