package agent

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/quarantine"
	"github.com/jayproxy/jayproxy/internal/relay"
)

// cancelTimeout bounds the call that frees a slot in the engine.
const cancelTimeout = 5 * time.Second

// runModel hands an attempt to the engine and relays what comes back. It owns
// the slot until the engine has let go of the request.
func (a *Agent) runModel(w *work) {
	defer a.schedule.done(w.id)
	a.importKV(w)
	prefill := a.beginPrefill(w)
	defer prefill.end(0)
	req := a.engineRequest(w)
	incarnation := a.model.incarnation()
	stream, err := a.model.engine.Submit(w.ctx, req)
	if err != nil {
		a.submitFailed(w, err, incarnation)
		return
	}
	defer func() { _ = stream.Close() }()
	a.goRun(func() { a.model.cache.submitted(w.offer.GetChain(), req) })
	err = a.relayEngine(w, stream, prefill)
	if err == nil {
		a.keepKV(w, req)
		return
	}
	// The engine may still work on it: the slot is free only after the cancel.
	a.cancelEngine(req.ID)
	a.end(w, eventFail, a.brokenEnd(w, err, incarnation, quarantine.JustBegun(time.Now(), prefill.firstAt)))
}

// brokenEnd is the end of a run whose outcome is not known. Where it had just
// begun it says whether the engine crashed: entries keep a request under which
// engines crash from the next one.
func (a *Agent) brokenEnd(w *work, err error, incarnation uint64, early bool) *jayv1.End {
	end := &jayv1.End{Error: err.Error()}
	if early && w.ctx.Err() == nil && a.model.crashed(a.ctx, incarnation) {
		end.EngineCrashed, end.Incarnation = true, incarnation
	}
	return end
}

func (a *Agent) engineRequest(w *work) engine.Request {
	w.mu.Lock()
	body := w.body
	w.mu.Unlock()
	return engine.Request{
		ID:            w.id,
		Path:          w.offer.GetApiPath(),
		Body:          body,
		Salt:          w.offer.GetWorkspace(),
		VersionDigest: w.offer.GetVersionDigest(),
		Adapter:       w.offer.GetAdapter(),
		Priority:      int(w.offer.GetEnginePriority()),
	}
}

// submitFailed ends an attempt that the engine did not take. Only the two
// errors that prove it make it "not run".
func (a *Agent) submitFailed(w *work, err error, incarnation uint64) {
	switch {
	case errors.Is(err, engine.ErrNotReached):
		a.model.markDown(err)
		a.end(w, eventNotReached, &jayv1.End{
			Refusal:      jayv1.Refusal_REFUSAL_ENGINE_DOWN,
			Error:        "engine not reached",
			RetryAfterMs: uint32(engineDownRetry.Milliseconds()),
		})
	case errors.Is(err, engine.ErrRefused):
		a.end(w, eventNotReached, a.engineRefused(w, err))
	default:
		a.cancelEngine(w.id)
		a.end(w, eventFail, a.brokenEnd(w, err, incarnation, true))
	}
}

// engineRefused says why the engine ran nothing of a request. A version may have
// been unloaded since the offer was accepted, and an engine may be busy: others
// can serve the request then, and the entry must not take it for invalid.
func (a *Agent) engineRefused(w *work, err error) *jayv1.End {
	end := &jayv1.End{Refusal: jayv1.Refusal_REFUSAL_INVALID, Error: err.Error()}
	if errors.Is(err, engine.ErrInvalid) {
		return end
	}
	a.model.read(a.ctx)
	end.Refusal, _ = a.model.check(w.offer)
	if end.Refusal == 0 {
		end.Refusal = jayv1.Refusal_REFUSAL_QUEUE_FULL
		end.RetryAfterMs = uint32(engineDownRetry.Milliseconds())
	}
	return end
}

// cancelEngine frees the request's slot in the engine, also when the attempt's
// own context has ended.
func (a *Agent) cancelEngine(id string) {
	ctx, cancel := context.WithTimeout(a.ctx, cancelTimeout)
	defer cancel()
	if err := a.model.engine.Cancel(ctx, id); err != nil {
		klog.V(1).InfoS("cancel did not reach the engine", "request", id, "error", err.Error())
	}
}

// relayEngine passes the stream on, event by event, until its end. nil: the
// answer is whole and its end is on its way.
func (a *Agent) relayEngine(w *work, stream engine.Stream, prefill *prefillTimer) error {
	origin := relay.NewOrigin(w.id, w.offer.GetVersionDigest())
	for {
		event, err := stream.Next(w.ctx)
		if err != nil {
			return eris.Wrap(err, "engine stream")
		}
		verdict, err := origin.Check(event)
		if err != nil {
			return err
		}
		if verdict != relay.Deliver {
			a.metrics.Count("engine_events_dropped", w.offer.GetWorkspace(), 1)
			klog.InfoS("engine event dropped", "request", w.id, "ofRequest", event.RequestID, "index", event.Index)
			continue
		}
		prefill.computed()
		if len(event.Data) > 0 {
			if err := w.box.append(w.ctx, event.Data, millis(a.settings.Replay.StallMS)); err != nil {
				return err
			}
		}
		if event.Last {
			a.finishModel(w, event, origin)
			return nil
		}
	}
}

func (a *Agent) finishModel(w *work, event engine.Event, origin *relay.Origin) {
	w.mu.Lock()
	queueWait := w.queueWait
	w.mu.Unlock()
	a.model.cache.sawIncarnation(origin.Incarnation())
	// The slot goes first, so that the state sent with the end counts it as free.
	a.schedule.done(w.id)
	a.end(w, eventFinish, &jayv1.End{
		Incarnation:   origin.Incarnation(),
		VersionDigest: origin.VersionDigest(),
		Usage: &jayv1.Usage{
			PromptTokens:     uint32(event.Usage.PromptTokens),
			CachedTokens:     uint32(event.Usage.CachedTokens),
			OutputTokens:     uint32(event.Usage.OutputTokens),
			RecomputedTokens: uint32(a.recomputed(w, event.Usage)),
			QueueWaitMs:      float64(queueWait) / float64(time.Millisecond),
		},
	})
}

// recomputed is how many prompt tokens had been submitted here before, and were
// no longer cached.
func (a *Agent) recomputed(w *work, usage engine.Usage) int {
	known := a.tokens(w.offer.GetPool(), w.knownBytes)
	return max(0, int(known)-usage.CachedTokens)
}

// minMeasuredTokens of a prompt must be computed for it to count in the measured
// prefill rate: with fewer, the time to the first token is that of the call.
const minMeasuredTokens = 128

// prefillTimer tells the scheduler once when a prompt is computed.
type prefillTimer struct {
	agent    *Agent
	work     *work
	measured bool
	over     bool
	// firstAt is when the first token came; zero: it has not.
	firstAt time.Time
}

func (a *Agent) beginPrefill(w *work) *prefillTimer {
	p := &prefillTimer{agent: a, work: w, measured: w.missedTokens >= minMeasuredTokens}
	if p.measured {
		a.schedule.prefillBegin()
	}
	return p
}

// computed reports the first token.
func (p *prefillTimer) computed() {
	if p.over {
		return
	}
	p.firstAt = time.Now()
	p.end(p.work.missedTokens)
	p.agent.observeFirstToken(p.work)
}

// end reports that the prompt was computed, or given up with 0 tokens.
func (p *prefillTimer) end(tokens float64) {
	if p.over {
		return
	}
	p.over = true
	if p.measured {
		p.agent.schedule.prefillEnd(tokens)
	}
	p.agent.schedule.firstToken(p.work.id)
}
