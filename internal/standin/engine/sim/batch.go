package sim

import (
	"container/heap"
	"time"

	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/engine/blockhash"
)

// advance performs all work that is due and returns when it must run next.
func (c *Core) advance(now time.Time) time.Time {
	next := now.Add(idleInterval)
	if !c.frozenAt.IsZero() {
		return next
	}
	c.models.finish(now)
	c.admit()
	c.runPrefill(now)
	c.runDecode(now)
	if len(c.waiting) > 0 && c.running() < c.options.MaxRunning {
		return now
	}
	next = earlier(next, c.models.nextDue())
	next = earlier(next, c.journal.publish(now, c.faults))
	if len(c.prefill) > 0 {
		next = earlier(next, c.prefill[0].prefillDone)
	}
	if len(c.decoding) > 0 {
		next = earlier(next, c.decodeAt)
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

func (c *Core) running() int { return len(c.prefill) + len(c.decoding) }

func (c *Core) admit() {
	for len(c.waiting) > 0 && c.running() < c.options.MaxRunning {
		a := heap.Pop(&c.waiting).(*Answer)
		a.state = prefilling
		c.prefill = append(c.prefill, a)
	}
}

// runPrefill computes prompts one after the other at the shared rate. Cache hits
// are determined when the computation of a prompt starts.
func (c *Core) runPrefill(now time.Time) {
	start := now
	for len(c.prefill) > 0 {
		a := c.prefill[0]
		if a.prefillDone.IsZero() {
			c.startPrefill(a, start)
		}
		if a.prefillDone.After(now) {
			return
		}
		start = a.prefillDone
		c.prefill = c.prefill[1:]
		stored, removed := c.cache.use(a.chain)
		c.journal.add(now, engine.BlocksRemoved, removed)
		c.journal.add(now, engine.BlocksStored, stored)
		if len(c.decoding) == 0 {
			c.decodeAt = now.Add(c.step())
		}
		a.state = decoding
		c.decoding = append(c.decoding, a)
		c.emit(a)
	}
}

func (c *Core) startPrefill(a *Answer, start time.Time) {
	// The last prompt token is always computed: it yields the first output token.
	a.cached = min(c.cache.hits(a.chain)*blockhash.BlockTokens, a.prompt-1)
	missed := float64(a.prompt - a.cached)
	seconds := missed / c.options.PrefillTokensPerSecond * c.faults.slow()
	a.prefillDone = start.Add(time.Duration(seconds * float64(time.Second)))
	c.runs.add(a.call.ID)
}

func (c *Core) step() time.Duration {
	return time.Duration(float64(c.options.DecodeStep) * c.faults.slow())
}

func (c *Core) runDecode(now time.Time) {
	for len(c.decoding) > 0 && !c.decodeAt.After(now) {
		for _, a := range append([]*Answer(nil), c.decoding...) {
			c.emit(a)
		}
		c.decodeAt = c.decodeAt.Add(c.step())
	}
}

// emit produces the next token of a request and ends the request after the last one.
func (c *Core) emit(a *Answer) {
	if a.ended {
		return
	}
	token := Token{
		RequestID:     a.call.ID,
		Index:         a.produced,
		Tag:           a.tag,
		Incarnation:   c.incarnation,
		VersionDigest: a.call.VersionDigest,
	}
	a.produced++
	c.deliver(a, token)
	c.lastToken = token
	switch {
	case a.breakAt > 0 && a.produced >= a.breakAt:
		c.drop(a, ErrInterrupted)
	case a.produced >= a.call.MaxTokens:
		c.drop(a, nil)
	default:
		a.signal()
	}
}

// deliver adds a token to the stream of its request, or elsewhere as the faults in
// force demand.
func (c *Core) deliver(a *Answer, token Token) {
	if c.random.Float64() < c.faults.AnswerCrossed && c.lastToken.RequestID != "" && c.lastToken.RequestID != token.RequestID {
		a.pending = append(a.pending, c.lastToken)
	}
	if c.random.Float64() < c.faults.AnswerSwapped {
		if other := c.otherDecoding(a); other != nil {
			other.pending = append(other.pending, token)
			other.signal()
			return
		}
	}
	if a.delayed == nil && c.random.Float64() < c.faults.AnswerLate {
		a.delayed = &token
		return
	}
	a.pending = append(a.pending, token)
	if c.random.Float64() < c.faults.AnswerDoubled {
		a.pending = append(a.pending, token)
	}
	if a.delayed != nil {
		a.pending = append(a.pending, *a.delayed)
		a.delayed = nil
	}
}

func (c *Core) otherDecoding(a *Answer) *Answer {
	for _, other := range c.decoding {
		if other != a && !other.ended {
			return other
		}
	}
	return nil
}
