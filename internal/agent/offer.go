package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/admission"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/relay"
	"github.com/jayproxy/jayproxy/internal/transport"
)

func claimOf(req *jayv1.Resume) relay.Claim {
	return relay.Claim{Workspace: req.GetWorkspace(), Nonce: req.GetNonce()}
}

// serveOffer replies to an offer and, when it is accepted, serves its stream to
// the end. A refused offer has not reached the engine or service.
func (a *Agent) serveOffer(ctx context.Context, offer *jayv1.Offer, s *transport.Stream) {
	now := time.Now()
	att := newAttempt(a.ctx, offer, a.settings.Replay.Bytes, now)
	reply := a.admit(now, att)
	reply.State = a.state()
	a.observeReply(offer, reply)
	sent := s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_OfferReply{OfferReply: reply}})
	if !reply.GetAccepted() {
		att.cancel(nil)
		return
	}
	link, err := att.response.attach(0)
	if sent != nil || err != nil {
		s.Abort()
		a.linkLost(att, link)
		return
	}
	_ = s.SetReadDeadline(now.Add(millis(a.settings.Queue.BodyMS)))
	if !offer.GetHasBody() {
		a.bodyComplete(att, s)
	}
	a.relay(ctx, att, link, s)
}

// admit accepts or refuses an offer. An accepted one is in the queue.
func (a *Agent) admit(now time.Time, att *attempt) *jayv1.OfferReply {
	if refusal, message := a.check(att.offer); refusal != 0 {
		reply := &jayv1.OfferReply{Refusal: refusal, Message: message}
		if refusal == jayv1.Refusal_REFUSAL_ENGINE_DOWN {
			reply.RetryAfterMs = uint32(engineRetryAfter.Milliseconds())
		}
		return reply
	}
	if refusal := a.attempts.add(att); refusal != 0 {
		return &jayv1.OfferReply{Refusal: refusal, Message: "this attempt was offered before, or the agent is stopping"}
	}
	a.lookupCached(now, att)
	a.applyLimits(att.offer)
	a.inFlightPrefixes.add(att.offer.GetChain())
	decision := a.scheduler.offer(a.admissionRequest(now, att))
	reply := &jayv1.OfferReply{
		Accepted:     decision.Accepted,
		Refusal:      decision.Refusal,
		RetryAfterMs: uint32(decision.RetryAfter.Milliseconds()),
		CostMs:       decision.CostMS,
		CachedBytes:  uint32(att.cachedBytes),
	}
	if !decision.Accepted {
		a.inFlightPrefixes.remove(att.offer.GetChain())
		a.attempts.withdraw(att.id)
		reply.Message = "refused by the admission queue; nothing ran"
	}
	return reply
}

// lookupCached sets the cached, submitted and uncached sizes of the prompt from
// the cache index.
func (a *Agent) lookupCached(now time.Time, att *attempt) {
	if a.model == nil {
		return
	}
	att.cachedBytes, att.submittedBytes = a.model.cache.lookup(now, att.offer.GetChain())
	shared := max(att.cachedBytes, a.inFlightPrefixes.bytes(att.offer.GetChain()))
	att.uncachedTokens = a.tokens(att.offer.GetPool(), int(att.offer.GetPromptBytes())-shared)
}

func (a *Agent) tokens(poolName string, bytes int) float64 {
	return max(0, float64(bytes)/a.bytesPerToken(poolName))
}

func (a *Agent) bytesPerToken(poolName string) float64 {
	pool, _ := a.catalog.Current().Pool(poolName)
	return catalog.BytesPerToken(pool)
}

func (a *Agent) admissionRequest(now time.Time, att *attempt) admission.Request {
	req := admission.Request{
		ID:         att.id,
		Workspace:  att.offer.GetWorkspace(),
		Weight:     att.offer.GetWorkspaceWeight(),
		Class:      att.offer.GetClass(),
		Tokens:     att.uncachedTokens,
		Bytes:      int(att.offer.GetPromptBytes()),
		NextBestMS: att.offer.GetNextBestMs(),
		Final:      att.offer.GetFinal(),
	}
	if ms := att.offer.GetDeadlineMs(); ms > 0 {
		req.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return req
}

// applyLimits sets slots and queue length from the catalog in force.
func (a *Agent) applyLimits(offer *jayv1.Offer) {
	a.applyPool(offer.GetPool())
	if service, ok := a.catalog.Current().Service(offer.GetService()); ok {
		a.scheduler.configure(int(service.GetConcurrency()), int(service.GetQueueLength()))
	}
}

func (a *Agent) applyPool(name string) {
	pool, ok := a.catalog.Current().Pool(name)
	if !ok {
		return
	}
	a.scheduler.configure(int(pool.GetConcurrency()), int(pool.GetQueueLength()))
	if rate := pool.GetPrefillTokensPerSecond(); rate > 0 {
		a.scheduler.setAssumedRate(rate)
	}
}

// check refuses offers that may not run here regardless of load. A refusal of 0
// means that the offer is allowed.
func (a *Agent) check(offer *jayv1.Offer) (jayv1.Refusal, string) {
	switch {
	case offer.GetRequestId() == "" || offer.GetWorkspace() == "":
		return jayv1.Refusal_REFUSAL_INVALID, "request id or workspace missing"
	case (offer.GetPool() == "") == (offer.GetService() == ""):
		return jayv1.Refusal_REFUSAL_INVALID, "exactly one of pool and service must be set"
	case int(offer.GetPromptBytes()) > a.settings.Queue.BodyBytes:
		return jayv1.Refusal_REFUSAL_INVALID, "prompt is larger than the agent's queue.body_bytes"
	case a.isDraining():
		return jayv1.Refusal_REFUSAL_LEAVING, "backend server is draining"
	case offer.GetPool() != "":
		return a.checkModel(offer)
	}
	return a.checkService(offer)
}

func (a *Agent) checkModel(offer *jayv1.Offer) (jayv1.Refusal, string) {
	if a.model == nil {
		return jayv1.Refusal_REFUSAL_NOT_FOUND, "backend server has no model engine"
	}
	server, declared := a.catalog.Current().BackendServer(a.settings.Name)
	if declared && server.GetPool() != offer.GetPool() {
		return jayv1.Refusal_REFUSAL_STALE_CONFIG, "backend server is in another pool"
	}
	return a.model.check(offer)
}

// checkService refuses calls that this agent does not serve, and calls that are
// declared as non-repeatable but were not offered as such. The latter come from
// an entry whose catalog is older than the declaration: it has no claim for the
// call and would repeat it.
func (a *Agent) checkService(offer *jayv1.Offer) (jayv1.Refusal, string) {
	if a.service == nil || offer.GetService() != a.settings.Service.Name {
		return jayv1.Refusal_REFUSAL_NOT_FOUND, "backend server does not run this service"
	}
	callPath, clean := catalog.CallPath(offer.GetPath())
	if !clean {
		return jayv1.Refusal_REFUSAL_INVALID, "path is not absolute and clean"
	}
	service, ok := a.catalog.Current().Service(offer.GetService())
	if ok && catalog.NonRepeatable(service, offer.GetMethod(), callPath) && !offer.GetNonRepeatable() {
		return jayv1.Refusal_REFUSAL_STALE_CONFIG, "call is declared as not repeatable"
	}
	if offer.GetNonRepeatable() && !offer.GetHasBody() {
		// Without a last body frame the call would run as soon as it is accepted.
		// If that reply were lost, the entry would report the call as not run.
		return jayv1.Refusal_REFUSAL_INVALID, "non-repeatable call needs a last body frame"
	}
	return 0, ""
}

// receiveBody appends a part of the body. The total size of all bodies is
// limited here, since the offer of a service call does not state a size.
func (a *Agent) receiveBody(att *attempt, data *jayv1.Data, s *transport.Stream) error {
	size := len(data.GetData())
	att.mu.Lock()
	receiving := att.state == stateReceiving
	tooLong := len(att.body)+size > a.settings.Queue.BodyBytes
	full := receiving && !tooLong && !a.bodies.TryAcquire(int64(size))
	if receiving && !tooLong && !full {
		att.body = append(att.body, data.GetData()...)
	}
	att.mu.Unlock()
	switch {
	case !receiving:
		return nil // Ended while the rest of the body was in transit.
	case tooLong:
		a.end(att, eventCancel, &jayv1.End{Refusal: jayv1.Refusal_REFUSAL_INVALID, Error: "body is larger than the agent's queue.body_bytes"})
	case full:
		a.end(att, eventRefuse, &jayv1.End{
			Refusal: jayv1.Refusal_REFUSAL_QUEUE_FULL, Error: "request bodies together exceed the agent's queue.bytes; nothing ran",
			RetryAfterMs: uint32(engineRetryAfter.Milliseconds()),
		})
	case data.GetLast():
		a.bodyComplete(att, s)
	}
	return nil
}

func (a *Agent) bodyComplete(att *attempt, s *transport.Stream) {
	_ = s.SetReadDeadline(time.Time{})
	if _, changed := att.fire(eventBodyComplete); changed {
		a.scheduler.ready(att.id)
	}
}

// perform carries out an action of the admission queue.
func (a *Agent) perform(action admission.Action) {
	att := a.attempts.get(action.ID)
	if att == nil {
		return
	}
	if action.Kind == admission.Refuse {
		a.end(att, eventRefuse, &jayv1.End{
			Refusal:      action.Refusal,
			Error:        "refused while in the admission queue; nothing ran",
			RetryAfterMs: uint32(action.RetryAfter.Milliseconds()),
		})
		return
	}
	if _, started := att.fire(eventStart); !started {
		return // Canceled meanwhile; its end frees the slot.
	}
	att.mu.Lock()
	att.queueWait = action.Waited
	att.mu.Unlock()
	a.goTracked(func() { a.run(att) })
}

func (a *Agent) run(att *attempt) {
	if att.offer.GetPool() != "" {
		a.runModel(att)
		return
	}
	a.runService(att)
}

// end applies an event that moves an attempt to its final state, and sends its
// last frame. It does nothing for an attempt that has ended.
func (a *Agent) end(att *attempt, event string, end *jayv1.End) {
	if _, changed := att.fire(event); !changed {
		return
	}
	a.finishAttempt(att, end)
}

// finishAttempt frees the resources of an attempt that has just reached its
// final state, and queues its End.
func (a *Agent) finishAttempt(att *attempt, end *jayv1.End) {
	state := att.currentState()
	end.Outcome = outcomeOf(state)
	att.mu.Lock()
	a.bodies.Release(int64(len(att.body)))
	att.body = nil
	started := att.started
	att.mu.Unlock()
	att.cancel(nil)
	a.inFlightPrefixes.remove(att.offer.GetChain())
	if !started {
		a.scheduler.done(att.id)
	}
	end.State = a.state()
	a.observeEnd(att, end)
	att.response.finish(end)
	a.attempts.keep(att.id, att.keptBytes(), time.Now())
	klog.V(1).InfoS("attempt ended", "request", att.offer.GetRequestId(), "attempt", att.offer.GetAttempt(),
		"workspace", att.offer.GetWorkspace(), "backendServer", a.settings.Name, "outcome", state,
		"refusal", end.GetRefusal().String(), "error", end.GetError())
	att.recordContact(time.Now())
	a.discardUnread(att.id, a.retention())
}

// retention returns how long the response of an ended attempt is kept after the last
// contact with a reader. An agent that shuts down does not wait for longer than
// replay.abandon_ms.
func (a *Agent) retention() time.Duration {
	retention := millis(a.settings.Replay.RetainMS)
	if a.stopping.Load() {
		return min(retention, millis(a.settings.Replay.AbandonMS))
	}
	return retention
}

// discardUnread discards the response of an ended attempt once no reader took a frame
// of it for the retention. The time counts from the last contact: a reader may need
// longer than that for the whole response, or come back after several entries have
// failed. The timer has the id only, so that a response that was delivered is not held
// until it fires.
func (a *Agent) discardUnread(id string, after time.Duration) {
	time.AfterFunc(after, func() {
		att := a.attempts.get(id)
		if att == nil {
			return
		}
		if left := a.retention() - att.idle(time.Now()); left > 0 {
			a.discardUnread(id, left)
			return
		}
		a.forget(att, discardUnread)
	})
}
