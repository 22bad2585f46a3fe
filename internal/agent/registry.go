package agent

import (
	"context"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// maxAcceptedIDs bounds the number of ids kept to refuse duplicate offers.
const maxAcceptedIDs = 1 << 16

// attemptRegistry holds the attempts whose response can still be read, and the
// ids of all recently accepted ones.
type attemptRegistry struct {
	// maxKeptBytes bounds the total size of complete responses kept for resume.
	maxKeptBytes int

	mu          sync.Mutex
	closed      bool
	attempts    map[string]*attempt
	acceptedIDs *simplelru.LRU[string, struct{}]
	changed     chan struct{}
	// ended lists the attempts that have ended, oldest first; keptBytes has the
	// size of each one's response, totalBytes their sum.
	ended      []string
	keptBytes  map[string]int
	totalBytes int
}

func newAttemptRegistry(maxKeptBytes int) *attemptRegistry {
	acceptedIDs, err := simplelru.NewLRU[string, struct{}](maxAcceptedIDs, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1.
	}
	return &attemptRegistry{
		maxKeptBytes: maxKeptBytes, attempts: map[string]*attempt{}, acceptedIDs: acceptedIDs, changed: make(chan struct{}), keptBytes: map[string]int{},
	}
}

// close makes add refuse all later attempts. Shutdown calls it before waitEmpty:
// an attempt that had passed its checks and was added after waitEmpty returned
// would be interrupted.
func (r *attemptRegistry) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// add registers an attempt. It returns a refusal when the id was accepted before
// or the registry is closed, else 0.
//
// A duplicate offer, for example one sent again after its stream was lost, would
// run the request twice. The id is registered before the attempt is queued, so
// that only one of two concurrent duplicates is accepted.
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

// withdraw removes an attempt that was refused after add, so that the same offer
// may be sent again.
func (r *attemptRegistry) withdraw(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acceptedIDs.Remove(id)
	r.drop(id)
}

// forget discards an attempt and its response. Its id is still refused as a
// duplicate.
func (r *attemptRegistry) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(id)
}

// keep records that an attempt has ended and the size of its kept response. When
// the total exceeds maxKeptBytes, the oldest responses are discarded.
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

// accepted reports whether the id is among those accepted recently.
func (r *attemptRegistry) accepted(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptedIDs.Contains(id)
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

// waitEmpty waits until no attempt is registered.
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
