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

// cancelTimeout bounds the call that cancels a request in the engine.
const cancelTimeout = 5 * time.Second

// runModel submits an attempt to the engine and relays the response. It holds
// the attempt's slot until the engine has ended or canceled the request.
func (a *Agent) runModel(att *attempt) {
	defer a.scheduler.done(att.id)
	a.importKV(att)
	prefill := a.beginPrefill(att)
	defer prefill.end(0)
	req := a.engineRequest(att)
	incarnation := a.model.incarnation()
	stream, err := a.model.engine.Submit(att.ctx, req)
	if err != nil {
		a.submitFailed(att, err, incarnation)
		return
	}
	defer func() { _ = stream.Close() }()
	a.goTracked(func() { a.model.cache.recordSubmitted(att.offer.GetChain(), req) })
	err = a.relayEngine(att, stream, prefill)
	if err == nil {
		a.exportKV(att, req)
		return
	}
	// The engine may still be running the request; the slot is freed after the
	// cancel.
	a.cancelEngine(req.ID)
	a.end(att, eventFail, a.interruptedEnd(att, err, incarnation, quarantine.JustBegun(time.Now(), prefill.firstTokenAt)))
}

// interruptedEnd returns the End of an attempt whose outcome is indeterminate.
// For a request that had just begun it reports whether the engine crashed, since
// entries quarantine requests that crash engines.
func (a *Agent) interruptedEnd(att *attempt, err error, incarnation uint64, early bool) *jayv1.End {
	end := &jayv1.End{Error: err.Error()}
	if early && att.ctx.Err() == nil && a.model.crashed(a.ctx, incarnation) {
		end.EngineCrashed, end.Incarnation = true, incarnation
	}
	return end
}

func (a *Agent) engineRequest(att *attempt) engine.Request {
	att.mu.Lock()
	body := att.body
	att.mu.Unlock()
	return engine.Request{
		ID:            att.id,
		Path:          att.offer.GetApiPath(),
		Body:          body,
		Salt:          att.offer.GetWorkspace(),
		VersionDigest: att.offer.GetVersionDigest(),
		Adapter:       att.offer.GetAdapter(),
		Priority:      int(att.offer.GetEnginePriority()),
		HeadTime:      headTime(att.offer),
	}
}

// submitFailed ends an attempt whose submission failed. Its outcome is "not
// run" only for ErrNotReached and ErrRefused, which prove that.
func (a *Agent) submitFailed(att *attempt, err error, incarnation uint64) {
	switch {
	case errors.Is(err, engine.ErrNotReached):
		a.model.markDown(err)
		a.end(att, eventNotReached, &jayv1.End{
			Refusal:      jayv1.Refusal_REFUSAL_ENGINE_DOWN,
			Error:        "engine not reached",
			RetryAfterMs: uint32(engineRetryAfter.Milliseconds()),
		})
	case errors.Is(err, engine.ErrRefused):
		a.end(att, eventNotReached, a.refusedEnd(att, err))
	case a.recordExceeded(att, err):
		// This agent ended the response, not a crash of the engine. The entry sends the request
		// elsewhere before the cancel, which a faulty engine may answer late.
		a.end(att, eventFail, &jayv1.End{Error: err.Error()})
		a.cancelEngine(att.id)
	default:
		a.cancelEngine(att.id)
		a.end(att, eventFail, a.interruptedEnd(att, err, incarnation, true))
	}
}

// refusedEnd returns the End of a request that the engine refused. The version
// may have been unloaded since the offer was accepted, or the engine may be
// full: other engines can serve the request then, so it is not reported as
// invalid.
func (a *Agent) refusedEnd(att *attempt, err error) *jayv1.End {
	end := &jayv1.End{Refusal: jayv1.Refusal_REFUSAL_INVALID, Error: err.Error()}
	if errors.Is(err, engine.ErrInvalid) {
		return end
	}
	a.model.readState(a.ctx)
	end.Refusal, _ = a.model.check(att.offer)
	if end.Refusal == 0 {
		end.Refusal = jayv1.Refusal_REFUSAL_QUEUE_FULL
		end.RetryAfterMs = uint32(engineRetryAfter.Milliseconds())
	}
	return end
}

// cancelEngine cancels the request in the engine. It does not use the attempt's
// context, which may have ended.
func (a *Agent) cancelEngine(id string) {
	ctx, cancel := context.WithTimeout(a.ctx, cancelTimeout)
	defer cancel()
	if err := a.model.engine.Cancel(ctx, id); err != nil {
		klog.V(1).InfoS("request could not be canceled in the engine", "request", id, "error", err.Error())
	}
}

// relayEngine relays the stream event by event until its end. It returns nil
// when the response is complete and its End is set.
func (a *Agent) relayEngine(att *attempt, stream engine.Stream, prefill *prefillTimer) error {
	origin := relay.NewOrigin(att.id, att.offer.GetVersionDigest())
	for {
		event, err := stream.Next(att.ctx)
		if err != nil {
			return eris.Wrap(err, "engine stream")
		}
		verdict, err := origin.Check(event)
		if err != nil {
			return err
		}
		if verdict != relay.Deliver {
			a.metrics.Count("engine_events_dropped", att.offer.GetWorkspace(), 1)
			klog.InfoS("engine event dropped", "request", att.id, "ofRequest", event.RequestID, "index", event.Index)
			continue
		}
		prefill.recordFirstToken()
		if len(event.Data) > 0 {
			if err := att.response.append(att.ctx, event.Data, millis(a.settings.Replay.StallMS)); err != nil {
				return err
			}
		}
		if event.Last {
			a.finishModel(att, event, origin)
			return nil
		}
	}
}

func (a *Agent) finishModel(att *attempt, event engine.Event, origin *relay.Origin) {
	att.mu.Lock()
	queueWait := att.queueWait
	att.mu.Unlock()
	a.model.cache.observeIncarnation(origin.Incarnation())
	// The slot is freed first, so that the state sent with the End counts it as
	// free.
	a.scheduler.done(att.id)
	a.end(att, eventFinish, &jayv1.End{
		Incarnation:   origin.Incarnation(),
		VersionDigest: origin.VersionDigest(),
		Usage: &jayv1.Usage{
			PromptTokens:     uint32(event.Usage.PromptTokens),
			CachedTokens:     uint32(event.Usage.CachedTokens),
			OutputTokens:     uint32(event.Usage.OutputTokens),
			RecomputedTokens: uint32(a.recomputed(att, event.Usage)),
			QueueWaitMs:      float64(queueWait) / float64(time.Millisecond),
		},
	})
}

// recomputed returns the number of prompt tokens that had been submitted to this
// engine before and were no longer cached.
func (a *Agent) recomputed(att *attempt, usage engine.Usage) int {
	submitted := a.tokens(att.offer.GetPool(), att.submittedBytes)
	return max(0, int(submitted)-usage.CachedTokens)
}

// minSampleTokens is the minimum number of uncached tokens for a prompt to count
// as a sample of the prefill rate. With fewer, the time to the first token is
// mostly call overhead.
const minSampleTokens = 128

// prefillTimer reports to the scheduler, once, that a prompt was computed.
type prefillTimer struct {
	agent   *Agent
	attempt *attempt
	sampled bool
	ended   bool
	// firstTokenAt is when the first token was received; zero before that.
	firstTokenAt time.Time
}

func (a *Agent) beginPrefill(att *attempt) *prefillTimer {
	p := &prefillTimer{agent: a, attempt: att, sampled: att.uncachedTokens >= minSampleTokens}
	if p.sampled {
		a.scheduler.prefillBegin()
	}
	return p
}

// recordFirstToken reports the first token. Later calls do nothing.
func (p *prefillTimer) recordFirstToken() {
	if p.ended {
		return
	}
	p.firstTokenAt = time.Now()
	p.end(p.attempt.uncachedTokens)
	p.agent.observeFirstToken(p.attempt)
}

// end reports that the given number of tokens were computed; 0 when the prompt
// was abandoned. Later calls do nothing.
func (p *prefillTimer) end(tokens float64) {
	if p.ended {
		return
	}
	p.ended = true
	if p.sampled {
		p.agent.scheduler.prefillEnd(tokens)
	}
	p.agent.scheduler.firstToken(p.attempt.id)
}
