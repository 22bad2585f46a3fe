package agent

import (
	"context"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// rememberedAttempts bounds the ids of attempts that are over, kept to refuse
// an offer that comes twice.
const rememberedAttempts = 1 << 16

// registry holds the attempts whose answer can still be asked for, and the
// ids of those that were accepted before.
type registry struct {
	// maxKept bounds the bytes of ended answers that wait for their readers.
	maxKept int

	mu      sync.Mutex
	closed  bool
	works   map[string]*work
	past    *simplelru.LRU[string, struct{}]
	changed chan struct{}
	// ended answers, the oldest first, and the bytes that they keep.
	ended []string
	kept  map[string]int
	total int
}

func newRegistry(maxKept int) *registry {
	past, err := simplelru.NewLRU[string, struct{}](rememberedAttempts, nil)
	if err != nil {
		panic(err) // Only a size below 1 is refused.
	}
	return &registry{
		maxKept: maxKept, works: map[string]*work{}, past: past, changed: make(chan struct{}), kept: map[string]int{},
	}
}

// close takes no attempt in from now on. A stop calls it before it waits for
// those that are there: one that passed its checks just before, and came in
// after the wait had found nothing, would be cut off by the stop.
func (r *registry) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// add registers an attempt; a refusal when the id was accepted before or the
// registry is closed.
//
// An offer that comes twice, say because an entry gave its link up and sent
// it again, would run the request twice. The id is taken before anything is
// queued, so only one of two that come at once gets in.
func (r *registry) add(w *work) jayv1.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.past.Contains(w.id) {
		return jayv1.Refusal_REFUSAL_DUPLICATE
	}
	if r.closed {
		return jayv1.Refusal_REFUSAL_LEAVING
	}
	r.past.Add(w.id, struct{}{})
	r.works[w.id] = w
	return 0
}

// withdraw takes back an attempt that was not accepted after all, so that the
// same offer may come again.
func (r *registry) withdraw(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.past.Remove(id)
	r.drop(id)
}

// forget lets go of an attempt's answer; its id stays known.
func (r *registry) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(id)
}

// keep notes that an attempt has ended and how much of its answer is kept. When
// many links are lost at once, the answers that have waited longest go first.
func (r *registry) keep(id string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.works[id] == nil {
		return
	}
	r.ended = append(r.ended, id)
	r.kept[id] = bytes
	r.total += bytes
	for len(r.ended) > 0 && (r.total > r.maxKept || r.works[r.ended[0]] == nil) {
		oldest := r.ended[0]
		r.ended = r.ended[1:]
		r.drop(oldest)
	}
}

func (r *registry) drop(id string) {
	w, ok := r.works[id]
	if !ok {
		return
	}
	r.total -= r.kept[id]
	delete(r.kept, id)
	w.release()
	delete(r.works, id)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *registry) get(id string) *work {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.works[id]
}

func (r *registry) all() []*work {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*work, 0, len(r.works))
	for _, w := range r.works {
		all = append(all, w)
	}
	return all
}

// waitEmpty waits until no answer is kept any more.
func (r *registry) waitEmpty(ctx context.Context) error {
	for {
		r.mu.Lock()
		count, changed := len(r.works), r.changed
		r.mu.Unlock()
		if count == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
