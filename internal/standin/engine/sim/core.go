package sim

import (
	"container/heap"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/engine/blockhash"
)

// idleInterval is how long the scheduler waits when nothing is due.
const idleInterval = time.Hour

// Core is a simulated engine. It is safe for concurrent use.
type Core struct {
	options Options
	stop    chan struct{}
	done    chan struct{}
	notify  chan struct{}

	mu          sync.Mutex
	faults      Faults
	random      *rand.Rand
	incarnation uint64
	fence       uint64
	models      *models
	cache       *cache
	journal     *journal
	report      report
	runs        *runs
	arrivals    uint64
	waiting     queue
	// prefill holds the requests whose prompts are to be computed; the first is running.
	prefill  []*Answer
	decoding []*Answer
	hung     []*Answer
	// decodeAt is when all decoding requests produce their next token.
	decodeAt time.Time
	// frozenAt is set while the engine is frozen.
	frozenAt time.Time
	thawed   chan struct{}
	// lastToken is the token emitted last, which the AnswerCrossed fault may repeat.
	lastToken Token
	closed    bool
}

// New starts an engine that runs until Close.
func New(options Options) *Core {
	options = options.withDefaults()
	c := &Core{
		options:     options,
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
		notify:      make(chan struct{}, 1),
		faults:      options.Faults,
		random:      rand.New(rand.NewPCG(options.Seed, 2)),
		incarnation: options.Incarnation,
		runs:        newRuns(DefaultRunsKept),
		thawed:      make(chan struct{}),
	}
	close(c.thawed)
	c.reset()
	go c.loop()
	return c
}

// reset puts the engine into its state after a cold start.
func (c *Core) reset() {
	c.cache = newCache(c.options.CacheBlocks)
	c.journal = newJournal(c.incarnation, c.options.EventBuffer, c.random)
	c.models = newModels(c.options)
	c.report = report{}
	c.waiting, c.prefill, c.decoding, c.hung = nil, nil, nil, nil
}

// Close ends all requests and stops the engine.
func (c *Core) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.endAll(ErrCrashed)
	c.mu.Unlock()
	close(c.stop)
	<-c.done
}

func (c *Core) loop() {
	defer close(c.done)
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		c.mu.Lock()
		now := time.Now()
		next := c.advance(now)
		c.mu.Unlock()
		timer.Reset(next.Sub(now))
		select {
		case <-timer.C:
		case <-c.notify:
		case <-c.stop:
			return
		}
	}
}

func (c *Core) signal() {
	select {
	case c.notify <- struct{}{}:
	default:
	}
}

// Submit queues a request. It returns ErrCrashed, ErrInternal, ErrNotLoaded or
// ErrBusy; after an error nothing of the request runs.
func (c *Core) Submit(call Call) (*Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrCrashed
	}
	if c.faults.Grey == GreyFail {
		return nil, ErrInternal
	}
	digest, err := c.models.resolve(call.VersionDigest, call.Adapter)
	if err != nil {
		return nil, err
	}
	if c.options.MaxWaiting > 0 && len(c.waiting) >= c.options.MaxWaiting {
		return nil, ErrBusy
	}
	call.VersionDigest = digest
	a := c.newAnswer(call)
	if c.faults.Grey == GreyHang {
		c.hung = append(c.hung, a)
		return a, nil
	}
	heap.Push(&c.waiting, a)
	c.signal()
	return a, nil
}

func (c *Core) newAnswer(call Call) *Answer {
	if call.MaxTokens <= 0 {
		call.MaxTokens = c.options.OutputTokens
	}
	call.MaxTokens = min(call.MaxTokens, DefaultMaxOutputTokens)
	root := blockhash.Root{Salt: call.Salt, VersionDigest: call.VersionDigest, Adapter: call.Adapter}
	chain, _ := blockhash.Chain(c.options.Scheme, root, call.Parts)
	c.arrivals++
	a := &Answer{
		core:   c,
		call:   call,
		tag:    Tag(call.Parts),
		chain:  chain,
		prompt: blockhash.Tokens(call.Parts),
		order:  c.arrivals,
		notify: make(chan struct{}, 1),
	}
	if c.random.Float64() < c.faults.BreakShare {
		a.breakAt = max(1, c.faults.BreakAfter)
	}
	return a
}

// Cancel cancels all requests with an id.
func (c *Core) Cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.active() {
		if a.call.ID == id {
			c.drop(a, ErrCancelled)
		}
	}
	c.signal()
}

// active lists all requests that have not ended.
func (c *Core) active() []*Answer {
	var all []*Answer
	all = append(all, c.waiting...)
	all = append(all, c.prefill...)
	all = append(all, c.decoding...)
	return append(all, c.hung...)
}

// drop ends a request in whatever state it is.
func (c *Core) drop(a *Answer, err error) {
	if a.ended {
		return
	}
	for i, other := range c.waiting {
		if other == a {
			heap.Remove(&c.waiting, i)
			break
		}
	}
	c.prefill = without(c.prefill, a)
	c.decoding = without(c.decoding, a)
	c.hung = without(c.hung, a)
	a.finish(err)
}

func without(list []*Answer, a *Answer) []*Answer {
	for i, other := range list {
		if other == a {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (c *Core) endAll(err error) {
	for _, a := range c.active() {
		a.finish(err)
	}
	for s := range c.journal.subscribers {
		s.signal()
	}
}

// Crash drops all state and restarts the engine under a new incarnation.
func (c *Core) Crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endAll(ErrCrashed)
	c.incarnation++
	// The highest fencing number is process state, so a restarted engine accepts any order.
	c.fence = 0
	if !c.frozenAt.IsZero() {
		c.frozenAt = time.Time{}
		close(c.thawed)
	}
	c.reset()
	c.signal()
}

// Snapshot returns the cached blocks and the sequence number of the last event.
func (c *Core) Snapshot() engine.CacheSnapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return engine.CacheSnapshot{Incarnation: c.incarnation, Seq: c.journal.seq, Blocks: c.cache.all()}
}

// SetFaults replaces the faults in force. Requests that hung are queued when the
// hang fault is removed.
func (c *Core) SetFaults(faults Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
	if faults.Grey != GreyHang {
		for _, a := range c.hung {
			heap.Push(&c.waiting, a)
		}
		c.hung = nil
	}
	c.signal()
}

// Faults returns the faults in force.
func (c *Core) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// Freeze stops all progress, as SIGSTOP does.
func (c *Core) Freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozenAt.IsZero() {
		c.frozenAt = time.Now()
		c.thawed = make(chan struct{})
	}
}

// Thaw resumes a frozen engine.
func (c *Core) Thaw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozenAt.IsZero() {
		return
	}
	pause := time.Since(c.frozenAt)
	c.frozenAt = time.Time{}
	c.decodeAt = c.decodeAt.Add(pause)
	for _, a := range c.prefill {
		if !a.prefillDone.IsZero() {
			a.prefillDone = a.prefillDone.Add(pause)
		}
	}
	close(c.thawed)
	c.signal()
}

// Thawed returns a channel that is closed while the engine is not frozen.
func (c *Core) Thawed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.thawed
}
