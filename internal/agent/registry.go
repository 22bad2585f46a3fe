package agent

import (
	"context"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// rememberedAttempts bounds the ids of attempts that are over, kept to refuse
// an offer that comes twice.
const maxAcceptedIDs = 1 << 16

// registry holds the attempts whose answer can still be asked for, and the
// ids of those that were accepted before.
type attemptRegistry struct {
	// maxKept bounds the bytes of ended answers that wait for their readers.
	maxKeptBytes int

	mu          sync.Mutex
	closed      bool
	attempts    map[string]*attempt
	acceptedIDs *simplelru.LRU[string, struct{}]
	changed     chan struct{}
	// ended answers, the oldest first, and the bytes that they keep.
	ended      []string
	keptBytes  map[string]int
	totalBytes int
}

func newAttemptRegistry(maxKeptBytes int) *attemptRegistry {
	acceptedIDs, err := simplelru.NewLRU[string, struct{}](maxAcceptedIDs, nil)
	if err != nil {
		panic(err) // Only a size below 1 is refused.
	}
	return &attemptRegistry{
		maxKeptBytes: maxKeptBytes, attempts: map[string]*attempt{}, acceptedIDs: acceptedIDs, changed: make(chan struct{}), keptBytes: map[string]int{},
	}
}

// close takes no attempt in from now on. A stop calls it before it waits for
// those that are there: one that passed its checks just before, and came in
// after the wait had found nothing, would be cut off by the stop.
func (r *attemptRegistry) close() {
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
func (r *attemptRegistry) add(att *attempt) jayv1.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.acceptedIDs.Contains(att.id) {
		return jayv1.Refusal_REFUSAL_DUPLICATE
	}
	if r.closed {
		return jayv1.Refusal_REFUSAL_LEAVING
	}
	r.acceptedIDs.Add(att.id, struct{}{})
	r.attempts[att.id] = att
	return 0
}

// withdraw takes back an attempt that was not accepted after all, so that the
// same offer may come again.
func (r *attemptRegistry) withdraw(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acceptedIDs.Remove(id)
	r.drop(id)
}

// forget lets go of an attempt's answer; its id stays known.
func (r *attemptRegistry) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(id)
}

// keep notes that an attempt has ended and how much of its answer is kept. When
// many links are lost at once, the answers that have waited longest go first.
func (r *attemptRegistry) keep(id string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[id] == nil {
		return
	}
	r.ended = append(r.ended, id)
	r.keptBytes[id] = bytes
	r.totalBytes += bytes
	for len(r.ended) > 0 && (r.totalBytes > r.maxKeptBytes || r.attempts[r.ended[0]] == nil) {
		oldest := r.ended[0]
		r.ended = r.ended[1:]
		r.drop(oldest)
	}
}

func (r *attemptRegistry) drop(id string) {
	att, ok := r.attempts[id]
	if !ok {
		return
	}
	r.totalBytes -= r.keptBytes[id]
	delete(r.keptBytes, id)
	att.discard()
	delete(r.attempts, id)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *attemptRegistry) get(id string) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[id]
}

func (r *attemptRegistry) all() []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*attempt, 0, len(r.attempts))
	for _, att := range r.attempts {
		all = append(all, att)
	}
	return all
}

// waitEmpty waits until no answer is kept any more.
func (r *attemptRegistry) waitEmpty(ctx context.Context) error {
	for {
		r.mu.Lock()
		count, changed := len(r.attempts), r.changed
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
