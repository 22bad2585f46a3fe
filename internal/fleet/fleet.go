// Package fleet holds what is known of the backend servers of forwarded calls:
// the list that they register themselves in, and what is learned beside it.
// It has no I/O, goroutine or clock; callers lock.
package fleet

import (
	"sort"
	"time"
)

// Backend is one lifetime of a backend server, as its own entry in the list says.
type Backend struct {
	// ID is new with every start; Hash is its rendezvous hash.
	ID         string
	Hash       uint64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Draining backends get no new work.
	Draining bool
	// Cold is how much longer it stays slow after its start.
	Cold time.Duration
	// Versions of the weights loaded, by model. The list lags.
	Versions map[string]uint64
}

// List is the backends in force. An entry that vanished while the list could
// not be read may only have expired: it stays for the grace time after the
// list is back, and is gone if it is still missing then.
type List struct {
	// Grace is how long an entry may be missing after an outage.
	grace   time.Duration
	byID    map[string]*Backend
	missing map[string]time.Time
	// ended holds lifetimes that are proven over though they are still listed,
	// with the time until which that proof goes before the list.
	ended map[string]time.Time
	// restoredAt is when the list was last regained.
	restoredAt time.Time
	// byHash and sorted are derived from byID, nil when it changed.
	byHash map[uint32]*Backend
	sorted map[string][]*Backend
}

// NewList makes an empty list.
func NewList(grace time.Duration) *List {
	return &List{grace: grace, byID: map[string]*Backend{}, missing: map[string]time.Time{}, ended: map[string]time.Time{}}
}

// Put takes in an entry. It returns the one before, nil when it is new.
func (l *List) Put(b *Backend) *Backend {
	old := l.byID[b.ID]
	l.byID[b.ID] = b
	l.changed()
	delete(l.missing, b.ID)
	return old
}

// endedFor is how long a proof that a lifetime is over goes before the list:
// an entry expires after three missed heartbeats, and some seconds later while
// the store is down. It lapses by itself, so that a false proof costs no server.
const endedFor = 8 * time.Second

// End takes in the proof that a lifetime is over: another instance answered at
// its address. The list shows it some seconds later; until then each request
// for it would be refused there. False: it is not listed, or known to be over.
func (l *List) End(now time.Time, id string) bool {
	if l.byID[id] == nil || l.Ended(now, id) {
		return false
	}
	l.ended[id] = now.Add(endedFor)
	return true
}

// Ended tells whether a lifetime is proven over.
func (l *List) Ended(now time.Time, id string) bool { return now.Before(l.ended[id]) }

// Restored tells that the list can be read again after an outage.
func (l *List) Restored(now time.Time) { l.restoredAt = now }

// Remove takes in that an entry vanished. It goes at once, but for the grace
// time after an outage: then it leaves with Tick unless Put brings it back.
func (l *List) Remove(now time.Time, id string) (gone bool) {
	if l.byID[id] == nil {
		return false
	}
	if l.restoredAt.IsZero() || now.Sub(l.restoredAt) >= l.grace || l.byID[id].Draining {
		l.drop(id)
		return true
	}
	l.missing[id] = l.restoredAt.Add(l.grace)
	return false
}

// Tick drops entries whose grace is over and returns their names.
func (l *List) Tick(now time.Time) []string {
	var gone []string
	for id, until := range l.missing {
		if !now.Before(until) {
			l.drop(id)
			gone = append(gone, id)
		}
	}
	return gone
}

func (l *List) drop(id string) {
	delete(l.byID, id)
	delete(l.missing, id)
	delete(l.ended, id)
	l.changed()
}

// Get returns a backend by its name, nil when it is not in the list.
func (l *List) Get(id string) *Backend { return l.byID[id] }

// Len counts the entries.
func (l *List) Len() int { return len(l.byID) }

// Of returns the backends of a service in order of their names. The caller must
// not change the slice.
func (l *List) Of(service string) []*Backend {
	if l.sorted == nil {
		l.sorted = map[string][]*Backend{}
		for _, b := range l.All() {
			l.sorted[b.Service] = append(l.sorted[b.Service], b)
		}
	}
	return l.sorted[service]
}

// ByHash returns the backends by the hash of their names. It is made anew only
// when the list changed.
func (l *List) ByHash(hash func(string) uint32) map[uint32]*Backend {
	if l.byHash == nil {
		l.byHash = make(map[uint32]*Backend, len(l.byID))
		for id, b := range l.byID {
			l.byHash[hash(id)] = b
		}
	}
	return l.byHash
}

// changed forgets what was derived from the list.
func (l *List) changed() { l.byHash, l.sorted = nil, nil }

// All returns every backend in order of names.
func (l *List) All() []*Backend {
	all := make([]*Backend, 0, len(l.byID))
	for _, b := range l.byID {
		all = append(all, b)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
