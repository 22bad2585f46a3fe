package agent

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// maxAcceptedIDs bounds the number of ids kept to refuse duplicate offers.
const maxAcceptedIDs = 1 << 16

// attemptRegistry holds the attempts whose response can still be read, and the
// ids of all recently accepted ones.
type attemptRegistry struct {
	// maxKeptBytes bounds the memory of the attempts that have ended and are kept for
	// resume.
	maxKeptBytes int

	mu          sync.Mutex
	closed      bool
	attempts    map[string]*attempt
	acceptedIDs *simplelru.LRU[string, discardRecord]
	changed     chan struct{}
	// kept lists the attempts that have ended, oldest first, as keptAttempt; keptByID
	// has their elements, totalBytes is the sum of their sizes.
	kept       *list.List
	keptByID   map[string]*list.Element
	totalBytes int
}

// keptAttempt is an attempt that has ended and can still be resumed.
type keptAttempt struct {
	id    string
	bytes int
}

func newAttemptRegistry(maxKeptBytes int) *attemptRegistry {
	acceptedIDs, err := simplelru.NewLRU[string, discardRecord](maxAcceptedIDs, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1.
	}
	return &attemptRegistry{
		maxKeptBytes: maxKeptBytes, attempts: map[string]*attempt{}, acceptedIDs: acceptedIDs, changed: make(chan struct{}),
		kept: list.New(), keptByID: map[string]*list.Element{},
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
	r.acceptedIDs.Add(att.id, discardRecord{})
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

// forget discards an attempt and its response, and reports whether it was kept until
// then. Its id is still refused as a duplicate.
func (r *attemptRegistry) forget(id string, why discardRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.discard(id, why)
}

func (r *attemptRegistry) discard(id string, why discardRecord) bool {
	if !r.drop(id) {
		return false
	}
	if r.acceptedIDs.Contains(id) {
		r.acceptedIDs.Add(id, why)
	}
	return true
}

// keep records that an attempt has ended and the memory that it takes until it is
// dropped. When the total exceeds maxKeptBytes, the oldest ones are discarded.
func (r *attemptRegistry) keep(id string, bytes int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[id] == nil {
		return
	}
	r.keptByID[id] = r.kept.PushBack(keptAttempt{id, bytes})
	r.totalBytes += bytes
	for r.totalBytes > r.maxKeptBytes {
		r.discard(r.kept.Front().Value.(keptAttempt).id, discardRecord{discardSpace, now})
	}
}

// drop removes an attempt and reports whether it was registered.
func (r *attemptRegistry) drop(id string) bool {
	att, ok := r.attempts[id]
	if !ok {
		return false
	}
	if element, ok := r.keptByID[id]; ok {
		r.totalBytes -= r.kept.Remove(element).(keptAttempt).bytes
		delete(r.keptByID, id)
	}
	att.discard()
	delete(r.attempts, id)
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

func (r *attemptRegistry) get(id string) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[id]
}

// accepted reports whether the id is among those accepted recently, and why its response
// is no longer kept.
func (r *attemptRegistry) accepted(id string) (why discardRecord, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acceptedIDs.Peek(id)
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
