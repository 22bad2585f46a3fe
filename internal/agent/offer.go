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

// serveOffer answers an offer and, when it is accepted, serves its stream to
// the end. A refused offer has not reached the engine or service.
func (a *Agent) serveOffer(ctx context.Context, offer *jayv1.Offer, s *transport.Stream) {
	now := time.Now()
	w := newWork(a.ctx, offer, a.settings.Replay.Bytes, now)
	reply := a.decide(now, w)
	reply.State = a.state()
	a.observeReply(offer, reply)
	sent := s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_OfferReply{OfferReply: reply}})
	if !reply.GetAccepted() {
		w.cancel(nil)
		return
	}
	link, err := w.box.attach(0)
	if sent != nil || err != nil {
		s.Abort()
		a.linkLost(w, link)
		return
	}
	_ = s.SetReadDeadline(now.Add(millis(a.settings.Queue.BodyMS)))
	if !offer.GetHasBody() {
		a.bodyComplete(w, s)
	}
	a.relay(ctx, w, link, s)
}

// decide accepts or refuses an offer. An accepted one is in the queue.
func (a *Agent) decide(now time.Time, w *work) *jayv1.OfferReply {
	if refusal, message := a.check(w.offer); refusal != 0 {
		reply := &jayv1.OfferReply{Refusal: refusal, Message: message}
		if refusal == jayv1.Refusal_REFUSAL_ENGINE_DOWN {
			reply.RetryAfterMs = uint32(engineDownRetry.Milliseconds())
		}
		return reply
	}
	if refusal := a.works.add(w); refusal != 0 {
		return &jayv1.OfferReply{Refusal: refusal, Message: "this attempt was offered before, or the agent stops"}
	}
	a.measure(now, w)
	a.applyLimits(w.offer)
	a.underway.add(w.offer.GetChain())
	decision := a.schedule.offer(a.admissionRequest(now, w))
	reply := &jayv1.OfferReply{
		Accepted:     decision.Accepted,
		Refusal:      decision.Refusal,
		RetryAfterMs: uint32(decision.RetryAfter.Milliseconds()),
		CostMs:       decision.CostMS,
		CachedBytes:  uint32(w.cachedBytes),
	}
	if !decision.Accepted {
		a.underway.remove(w.offer.GetChain())
		a.works.withdraw(w.id)
		reply.Message = "refused before anything ran"
	}
	return reply
}

// measure fills in what the cache index knows of the prompt.
func (a *Agent) measure(now time.Time, w *work) {
	if a.model == nil {
		return
	}
	w.cachedBytes, w.knownBytes = a.model.cache.look(now, w.offer.GetChain())
	shared := max(w.cachedBytes, a.underway.bytes(w.offer.GetChain()))
	w.missedTokens = a.tokens(w.offer.GetPool(), int(w.offer.GetPromptBytes())-shared)
}

func (a *Agent) tokens(poolName string, bytes int) float64 {
	return max(0, float64(bytes)/a.bytesPerToken(poolName))
}

func (a *Agent) bytesPerToken(poolName string) float64 {
	pool, _ := a.catalog.Current().Pool(poolName)
	return catalog.BytesPerToken(pool)
}

func (a *Agent) admissionRequest(now time.Time, w *work) admission.Request {
	req := admission.Request{
		ID:         w.id,
		Workspace:  w.offer.GetWorkspace(),
		Weight:     w.offer.GetWorkspaceWeight(),
		Class:      w.offer.GetClass(),
		Tokens:     w.missedTokens,
		Bytes:      int(w.offer.GetPromptBytes()),
		NextBestMS: w.offer.GetNextBestMs(),
		Final:      w.offer.GetFinal(),
	}
	if ms := w.offer.GetDeadlineMs(); ms > 0 {
		req.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return req
}

// applyLimits takes slots and queue length from the catalog in force.
func (a *Agent) applyLimits(offer *jayv1.Offer) {
	a.applyPool(offer.GetPool())
	if service, ok := a.catalog.Current().Service(offer.GetService()); ok {
		a.schedule.configure(int(service.GetConcurrency()), int(service.GetQueueLength()))
	}
}

func (a *Agent) applyPool(name string) {
	pool, ok := a.catalog.Current().Pool(name)
	if !ok {
		return
	}
	a.schedule.configure(int(pool.GetConcurrency()), int(pool.GetQueueLength()))
	if rate := pool.GetPrefillTokensPerSecond(); rate > 0 {
		a.schedule.setGuess(rate)
	}
}

// check refuses what may not run here, whatever the load.
func (a *Agent) check(offer *jayv1.Offer) (jayv1.Refusal, string) {
	switch {
	case offer.GetRequestId() == "" || offer.GetWorkspace() == "":
		return jayv1.Refusal_REFUSAL_INVALID, "request id or workspace missing"
	case (offer.GetPool() == "") == (offer.GetService() == ""):
		return jayv1.Refusal_REFUSAL_INVALID, "exactly one of pool and service must be set"
	case int(offer.GetPromptBytes()) > a.settings.Queue.BodyBytes:
		return jayv1.Refusal_REFUSAL_INVALID, "prompt too large"
	case a.isLeaving():
		return jayv1.Refusal_REFUSAL_LEAVING, "backend server is leaving"
	case offer.GetPool() != "":
		return a.checkModel(offer)
	}
	return a.checkService(offer)
}

func (a *Agent) checkModel(offer *jayv1.Offer) (jayv1.Refusal, string) {
	if a.model == nil {
		return jayv1.Refusal_REFUSAL_NOT_FOUND, "no model engine here"
	}
	server, declared := a.catalog.Current().BackendServer(a.settings.Name)
	if declared && server.GetPool() != offer.GetPool() {
		return jayv1.Refusal_REFUSAL_STALE_CONFIG, "backend server is in another pool"
	}
	return a.model.check(offer)
}

// checkService refuses calls that this agent does not serve, and calls that
// may run at most once but were not offered as such. The latter come from an
// entry whose catalog is older than the declaration: it holds no claim for
// the call and would repeat it.
func (a *Agent) checkService(offer *jayv1.Offer) (jayv1.Refusal, string) {
	if a.service == nil || offer.GetService() != a.settings.Service.Name {
		return jayv1.Refusal_REFUSAL_NOT_FOUND, "service is not here"
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
		// Without a last body frame the call would run on the acceptance alone,
		// whose loss looks to the entry like an offer that never ran.
		return jayv1.Refusal_REFUSAL_INVALID, "a call that may run at most once needs a closing body frame"
	}
	return 0, ""
}

// takeBody adds a part of the body. What all attempts hold together is bounded
// here, since the body of a plain service's call has no size in its offer.
func (a *Agent) takeBody(w *work, data *jayv1.Data, s *transport.Stream) error {
	size := len(data.GetData())
	w.mu.Lock()
	receiving := w.state == stateReceiving
	tooLong := len(w.body)+size > a.settings.Queue.BodyBytes
	full := a.bodyBytes.Load()+int64(size) > int64(a.settings.Queue.Bytes)
	if receiving && !tooLong && !full {
		w.body = append(w.body, data.GetData()...)
		a.bodyBytes.Add(int64(size))
	}
	w.mu.Unlock()
	switch {
	case !receiving:
		return nil // Refused while the rest of the body was on its way.
	case tooLong:
		a.end(w, eventCancel, &jayv1.End{Refusal: jayv1.Refusal_REFUSAL_INVALID, Error: "body too large"})
	case full:
		a.end(w, eventRefuse, &jayv1.End{
			Refusal: jayv1.Refusal_REFUSAL_QUEUE_FULL, Error: "too many bodies wait, nothing ran",
			RetryAfterMs: uint32(engineDownRetry.Milliseconds()),
		})
	case data.GetLast():
		a.bodyComplete(w, s)
	}
	return nil
}

func (a *Agent) bodyComplete(w *work, s *transport.Stream) {
	_ = s.SetReadDeadline(time.Time{})
	if _, changed := w.fire(eventBodyComplete); changed {
		a.schedule.ready(w.id)
	}
}

// perform does what the admission queue asks for.
func (a *Agent) perform(action admission.Action) {
	w := a.works.get(action.ID)
	if w == nil {
		return
	}
	if action.Kind == admission.Refuse {
		a.end(w, eventRefuse, &jayv1.End{
			Refusal:      action.Refusal,
			Error:        "refused while it waited, nothing ran",
			RetryAfterMs: uint32(action.RetryAfter.Milliseconds()),
		})
		return
	}
	if _, started := w.fire(eventStart); !started {
		return // Cancelled in the same moment; its end frees the slot.
	}
	w.mu.Lock()
	w.queueWait = action.Waited
	w.mu.Unlock()
	a.goRun(func() { a.run(w) })
}

func (a *Agent) run(w *work) {
	if w.offer.GetPool() != "" {
		a.runModel(w)
		return
	}
	a.runService(w)
}

// end moves an attempt to its final state by the event and sends its last
// frame. An attempt that is over already stays as it ended.
func (a *Agent) end(w *work, event string, end *jayv1.End) {
	if _, changed := w.fire(event); !changed {
		return
	}
	a.settle(w, end)
}

// settle completes an attempt that has just reached its final state.
func (a *Agent) settle(w *work, end *jayv1.End) {
	state := w.current()
	end.Outcome = outcomeOf(state)
	w.mu.Lock()
	a.bodyBytes.Add(-int64(len(w.body)))
	w.body = nil
	handed := w.handed
	w.mu.Unlock()
	w.cancel(nil)
	a.underway.remove(w.offer.GetChain())
	if !handed {
		a.schedule.done(w.id)
	}
	end.State = a.state()
	a.observeEnd(w, end)
	w.box.finish(end)
	a.works.keep(w.id, w.box.bytes())
	klog.V(1).InfoS("attempt ended", "request", w.offer.GetRequestId(), "attempt", w.offer.GetAttempt(),
		"workspace", w.offer.GetWorkspace(), "backendServer", a.settings.Name, "outcome", state,
		"refusal", end.GetRefusal().String(), "error", end.GetError())
	// An answer that nobody fetches is let go after the retain time.
	id := w.id
	time.AfterFunc(millis(a.settings.Replay.RetainMS), func() { a.works.forget(id) })
}
