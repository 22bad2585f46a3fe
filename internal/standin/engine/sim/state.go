package sim

import (
	"slices"
	"time"

	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/engine/blockhash"
)

// load is the part of a state report that Faults.StateLagMS delays.
type load struct {
	at      time.Time
	running int
	waiting int
	cached  int
}

// report keeps the load that is shown and the one to be shown next.
type report struct {
	shown, next load
}

// State returns the state report. Its load is delayed by Faults.StateLagMS, the rest
// is current.
func (c *Core) State() engine.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	current := load{at: now, running: c.running(), waiting: len(c.waiting), cached: c.cache.len()}
	shown := c.report.show(current, time.Duration(c.faults.StateLagMS)*time.Millisecond)
	return engine.State{
		Incarnation:    c.incarnation,
		Running:        shown.running,
		Waiting:        shown.waiting,
		CachedBlocks:   shown.cached,
		CapacityBlocks: c.options.CacheBlocks,
		BlockTokens:    blockhash.BlockTokens,
		Versions:       slices.Clone(c.models.versions),
		Adapters:       slices.Clone(c.models.adapters),
		Role:           c.models.role,
		Lag:            now.Sub(shown.at),
	}
}

func (r *report) show(current load, lag time.Duration) load {
	if lag <= 0 {
		r.shown, r.next = current, current
		return current
	}
	if r.next.at.IsZero() {
		r.shown, r.next = current, current
	}
	if current.at.Sub(r.next.at) >= lag {
		r.shown, r.next = r.next, current
	}
	return r.shown
}

// runs counts how often each request id ran, for at most limit ids, oldest out first.
type runs struct {
	limit  int
	counts map[string]int
	order  []string
}

func newRuns(limit int) *runs { return &runs{limit: limit, counts: map[string]int{}} }

func (r *runs) add(id string) {
	if _, ok := r.counts[id]; !ok {
		r.order = append(r.order, id)
	}
	r.counts[id]++
	if len(r.order) > r.limit {
		delete(r.counts, r.order[0])
		r.order = r.order[1:]
	}
}

// Runs returns how often the computation of each request id started, also before
// crashes.
func (c *Core) Runs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.runs.counts))
	for id, n := range c.runs.counts {
		counts[id] = n
	}
	return counts
}
