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
	"github.com/jayproxy/jayproxy/internal/relay"
	"github.com/jayproxy/jayproxy/internal/routing"
)

const nonceBytes = 16

// responseSink is a sink for the caller's response that also reports whether any of it was sent to the caller.
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

// dispatch hands the request off to one backend server after another until an attempt succeeds or
// no further attempt is allowed.
func (e *Entry) dispatch(ctx context.Context, request *callerRequest, to responseSink) result {
	d := &dispatch{entry: e, request: request, to: to, table: e.holder.Current()}
	e.explain.begin(e, request, d.table)
	r := d.run(ctx)
	if r.err != nil {
		// Caller, claim and metrics get the same outcome.
		r.err.Outcome = r.outcome
	}
	e.explain.recordOutcome(request.id, r)
	return r
}

// dispatch is the state of one request across its attempts.
type dispatch struct {
	entry   *Entry
	request *callerRequest
	to      responseSink
	table   *catalog.Table
	tried   []routing.RefusedOffer
	last    result
	// mayHaveRun: an attempt had an unknown outcome, so the request can't be
	// reported as not run.
	mayHaveRun bool
	// crashed lists the engines that crashed as the request started to run there.
	crashed []string
}

func (d *dispatch) run(ctx context.Context) result {
	for n := 1; n <= d.maxAttempts(); n++ {
		// The catalog may have changed since the last attempt.
		d.table = d.entry.holder.Current()
		decision, err := d.decide(ctx)
		if err != nil {
			break
		}
		decision.Final = decision.Final || d.maxAttempts() == 1 || d.declines() >= d.entry.settings.Attempts.MaxDeclines
		a, ok := d.newAttempt(uint32(n), decision) //nolint:gosec // bounded by the setting
		if !ok {
			d.tried = append(d.tried, routing.RefusedOffer{Server: decision.Server, Refusal: jayv1.Refusal_REFUSAL_NOT_FOUND})
			continue
		}
		d.entry.explain.recordDecision(d.request.id, decision)
		d.to.Begin(a)
		offer := d.request.offer(time.Now(), a.number, decision, d.table.Generation(), a.nonce)
		offer.MayResend = d.mayResend(n, decision)
		a.run(ctx, offer, d.request.body, d.to)
		d.recordAttempt(a)
		if d.finished(ctx, a) {
			return d.last
		}
	}
	return d.exhausted()
}

// maxAttempts is 1 for a call that may run at most once and has no idempotency
// key: without a claim nothing would prevent a second run.
func (d *dispatch) maxAttempts() int {
	if d.request.nonRepeatable && d.request.key == "" {
		return 1
	}
	return d.entry.settings.Attempts.Max
}

// mayResend reports whether another attempt may follow if the outcome of attempt n is unknown.
// The retry budget is not known before that.
func (d *dispatch) mayResend(n int, decision routing.Decision) bool {
	return d.request.repeatable && n < d.maxAttempts() && decision.NextBestMS > 0
}

func (d *dispatch) declines() int {
	n := 0
	for _, t := range d.tried {
		if t.Refusal == jayv1.Refusal_REFUSAL_COST {
			n++
		}
	}
	return n
}

func (d *dispatch) newAttempt(number uint32, decision routing.Decision) (*attempt, bool) {
	server, ok := d.table.BackendServer(decision.Server)
	if !ok {
		return nil, false
	}
	a := newAttempt(d.request.id, number)
	a.server, a.address = server.GetName(), server.GetAgentAddress()
	a.generation = d.table.Generation()
	a.workspace, a.dial = d.request.workspace.GetName(), d.entry.node
	a.limits, a.timeouts = d.entry.settings.Attempts, d.entry.settings.Timeouts
	a.deadline, a.resumable = d.request.deadline, d.request.resumable
	a.acks = relay.NewAcks(a.limits.acks(d.request.stream), 0)
	a.onReply = func(reply *jayv1.OfferReply) { d.entry.picker.replied(time.Now(), d.request, a.server, reply) }
	a.nonce = make([]byte, nonceBytes)
	_, _ = rand.Read(a.nonce)
	return a, true
}

// recordAttempt records the result of an ended attempt.
func (d *dispatch) recordAttempt(a *attempt) {
	d.entry.picker.ended(time.Now(), d.request, a)
	t := routing.RefusedOffer{Server: a.server, Refusal: refusalOf(a), CostMS: a.reply.GetCostMs(), CachedBytes: int(a.reply.GetCachedBytes())}
	d.tried = append(d.tried, t)
	d.entry.explain.recordAttempt(a, t.Refusal)
	d.last.attempts, d.last.server = a.number, a.server
	d.last.end, d.last.reply = a.end, a.reply
	d.last.outcome = a.outcome()
	d.recordCrash(a)
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
func (d *dispatch) finished(ctx context.Context, a *attempt) bool {
	switch {
	case a.outcome() == jayv1.Outcome_OUTCOME_DONE:
		d.entry.clearSuspect(d.request)
		d.last.err = nil
		return true
	case a.outcome() == jayv1.Outcome_OUTCOME_UNKNOWN:
		d.mayHaveRun = true
		return !d.mayRetryUnknown(a)
	case ctx.Err() != nil, errors.Is(a.cause, errCallerGone), errors.Is(a.cause, errBody):
		d.last.err = bodyError(a.cause)
		d.last.outcome = d.outcomeNow()
		return true
	case finalRefusal(refusalOf(a)):
		d.last.err = d.refused(a)
		d.last.outcome = d.outcomeNow()
		return true
	case d.to.Started() || !d.request.body.Rewind() || !time.Now().Before(d.request.deadline):
		d.last.err = d.refused(a)
		d.last.outcome = d.outcomeNow()
		return true
	}
	return false
}

// outcomeNow is NOT_RUN only while no attempt may have run.
func (d *dispatch) outcomeNow() jayv1.Outcome {
	if d.mayHaveRun {
		return jayv1.Outcome_OUTCOME_UNKNOWN
	}
	return jayv1.Outcome_OUTCOME_NOT_RUN
}

// mayRetryUnknown reports whether a request that may have run is started again:
// only if it is repeatable, nothing of its response was sent to the caller, and
// the retry budget allows it.
func (d *dispatch) mayRetryUnknown(a *attempt) bool {
	d.last.err = &Error{
		Status: http.StatusBadGateway, Code: CodeOutcomeUnknown, Outcome: jayv1.Outcome_OUTCOME_UNKNOWN,
		Message: "the connection to the backend server was lost; the request may have run",
	}
	if d.to.Started() {
		d.last.err.Code = CodeStreamBroken
		d.last.err.Message = "the stream could not be completed"
	}
	if errors.Is(a.cause, errTimedOut) {
		d.last.err.Status, d.last.err.Code = http.StatusGatewayTimeout, CodeDeadline
		d.last.err.Message = "the request timed out; it may have run"
	}
	if d.request.repeatable {
		d.last.err.RetryAfter = defaultRetryAfter
	}
	if !d.request.repeatable || d.to.Started() || errors.Is(a.cause, errCallerGone) || !d.request.body.Rewind() {
		return false
	}
	if !d.entry.crashesAllowRepeat(d.request, d.crashed) {
		return false
	}
	return d.entry.allowRetry(time.Now(), d.request.deadline)
}

// finalRefusal reports whether every other backend server would refuse too.
func finalRefusal(refusal jayv1.Refusal) bool {
	return refusal == jayv1.Refusal_REFUSAL_INVALID || refusal == jayv1.Refusal_REFUSAL_DEADLINE
}

// exhausted returns the result of a request that no backend server accepted.
func (d *dispatch) exhausted() result {
	d.last.outcome = d.outcomeNow()
	if d.last.err != nil && d.mayHaveRun {
		return d.last
	}
	if len(d.tried) == 0 {
		d.last.err = refuseTemporarily(http.StatusServiceUnavailable, CodeNoBackendServer, "no backend server is available for the request now", 0)
		return d.last
	}
	d.last.err = refuseTemporarily(http.StatusServiceUnavailable, CodeOverloaded,
		"every backend server that was tried refused the request; last reason: "+refusalName(d.tried[len(d.tried)-1].Refusal), d.retryAfter())
	return d.last
}
