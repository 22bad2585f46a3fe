// Package fleet holds what is known of the backend servers of forwarded calls:
// the list that they register themselves in, and what is learned beside it.
// It has no I/O, goroutine or clock; callers lock.
package fleet

import (
	"sort"
	"strconv"
	"strings"
	"time"
)

// Incarnation is one run of a backend server, from its start to its end. A server
// may start again under its name: it then holds nothing of what it held, and
// all that was learned of the run before is void.
type Incarnation struct {
	// Instance is the name that the server gives itself.
	Instance string
	// StartedMS is when it started, in Unix ms by its own clock; 0: it does not say.
	StartedMS int64
}

// lifetimeMark stands between the server's name and its birth in an ID.
const lifetimeMark = "@"

// InstanceOf returns the server's own name from the ID of one of its lifetimes,
// for what outlasts a restart.
func InstanceOf(id string) string {
	if at := strings.LastIndex(id, lifetimeMark); at > 0 {
		return id[:at]
	}
	return id
}

// ID names the lifetime among all others, for beliefs and for words between
// entries: what is said of an earlier run bears another name.
func (l Incarnation) ID() string {
	if l.StartedMS == 0 {
		return l.Instance
	}
	return l.Instance + lifetimeMark + strconv.FormatInt(l.StartedMS, 36)
}

// Backend is one lifetime of a backend server, as its own entry in the list says.
type Backend struct {
	Incarnation
	// ID of the lifetime; Hash is its rendezvous hash.
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

// List is the backends in force, one lifetime of each server. An entry that
// vanished while the list could not be read may only have expired: it stays for
// the grace time after the list is back, and is gone if it is still missing then.
type List struct {
	// Grace is how long an entry may be missing after an outage.
	grace time.Duration
	// byName holds the entries by the servers' own names, byID by lifetime.
	byName map[string]*Backend
	byID   map[string]*Backend
	// missing are the names of servers whose entries vanished.
	missing map[string]time.Time
	// ended holds lifetimes that are proven over though they are still listed,
	// with the time until which that proof goes before the list.
	ended map[string]time.Time
	// doubted are entries of earlier lifetimes, by the servers' own names.
	doubted map[string]doubt
	// restoredAt is when the list was last regained.
	restoredAt time.Time
	// byHash and sorted are derived from byID, nil when it changed.
	byHash map[uint32]*Backend
	sorted map[string][]*Backend
	// generation counts the changes.
	generation uint64
}

// NewList makes an empty list.
func NewList(grace time.Duration) *List {
	return &List{
		grace: grace, byName: map[string]*Backend{}, byID: map[string]*Backend{},
		missing: map[string]time.Time{}, ended: map[string]time.Time{}, doubted: map[string]doubt{},
	}
}

// Change is what an entry did to the list.
type Change int

// The changes.
const (
	// Added: a server that was not listed.
	Added Change = iota
	// Updated: the same lifetime, with other words perhaps.
	Updated
	// Restarted: another lifetime of a server that was listed.
	Restarted
	// Stale: an entry of an earlier lifetime than the listed one; not taken yet.
	Stale
)

// staleFor is how long an entry of an earlier lifetime must stand before it is
// believed. A late word of the run before is written over by the server's next
// heartbeat; one that stands was born by a clock that had gone back.
const staleFor = 5 * time.Second

// doubt is an entry that speaks of an earlier lifetime than the listed one.
type doubt struct {
	entry *Backend
	since time.Time
}

// Put takes in an entry. old is the one before under the server's name, nil when
// there was none. The entry's ID is set here.
//
// An entry that does not say when its server was born speaks of the lifetime
// that is listed: a restart always says it, and not every writer does. One that
// says it of a server for which it was not known, or that names another
// address, is another lifetime: a process does not move, and beliefs given up
// for nothing cost less than orders that count on a run that is over.
func (l *List) Put(now time.Time, b *Backend) (old *Backend, change Change) {
	old = l.byName[b.Instance]
	if old != nil && b.StartedMS == 0 {
		b.StartedMS = old.StartedMS
	}
	b.ID = b.Incarnation.ID()
	switch {
	case old == nil:
		change = Added
	case b.StartedMS < old.StartedMS:
		l.doubt(now, b)
		return old, Stale
	case b.StartedMS > old.StartedMS, b.Address != old.Address:
		change = Restarted
		l.forget(old)
	default:
		change = Updated
	}
	l.take(b)
	return old, change
}

// doubt keeps an entry of an earlier lifetime, with how long it has stood.
func (l *List) doubt(now time.Time, b *Backend) {
	since := now
	if before, ok := l.doubted[b.Instance]; ok && before.entry.StartedMS == b.StartedMS {
		since = before.since
	}
	l.doubted[b.Instance] = doubt{entry: b, since: since}
}

// take lists an entry as its server's lifetime.
func (l *List) take(b *Backend) {
	l.byName[b.Instance], l.byID[b.ID] = b, b
	delete(l.missing, b.Instance)
	delete(l.doubted, b.Instance)
	l.changed()
}

// forget drops what is kept by a lifetime's ID.
func (l *List) forget(b *Backend) {
	delete(l.byID, b.ID)
	delete(l.ended, b.ID)
	l.changed()
}

// endedFor is how long a proof that a lifetime is over goes before the list:
// an entry expires after three missed heartbeats, and some seconds later while
// the store is down. It lapses by itself, so that a false proof costs no server.
const endedFor = 8 * time.Second

// MarkEnded takes in the proof that a lifetime is over: another instance answered at
// its address. The list shows it some seconds later; until then each request
// for it would be refused there. False: it is not listed, or known to be over.
func (l *List) MarkEnded(now time.Time, id string) bool {
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

// Remove takes in that the entry of a server vanished. It goes at once, but for
// the grace time after an outage: then it leaves with Tick unless Put brings it
// back. gone is the backend that went, nil when none did.
func (l *List) Remove(now time.Time, instance string) (gone *Backend) {
	b := l.byName[instance]
	if b == nil {
		return nil
	}
	if l.restoredAt.IsZero() || now.Sub(l.restoredAt) >= l.grace || b.Draining {
		l.drop(b)
		return b
	}
	l.missing[instance] = l.restoredAt.Add(l.grace)
	return nil
}

// Tick drops entries whose grace is over, and believes those that were doubted
// for long enough. It returns the backends that are gone by that, and those that
// are listed anew; a server that is among both has another lifetime.
func (l *List) Tick(now time.Time) (gone, listed []*Backend) {
	for instance, until := range l.missing {
		if !now.Before(until) {
			b := l.byName[instance]
			l.drop(b)
			gone = append(gone, b)
		}
	}
	for instance, d := range l.doubted {
		if now.Sub(d.since) < staleFor {
			continue
		}
		if old := l.byName[instance]; old != nil {
			l.forget(old)
			gone = append(gone, old)
		}
		l.take(d.entry)
		listed = append(listed, d.entry)
	}
	return gone, listed
}

func (l *List) drop(b *Backend) {
	l.forget(b)
	delete(l.byName, b.Instance)
	delete(l.missing, b.Instance)
	delete(l.doubted, b.Instance)
}

// Get returns a backend by its lifetime's ID, nil when that is not in the list.
func (l *List) Get(id string) *Backend { return l.byID[id] }

// Named returns the backend under a server's own name, nil when none is listed.
func (l *List) Named(instance string) *Backend { return l.byName[instance] }

// Len counts the entries.
func (l *List) Len() int { return len(l.byID) }

// OfService returns the backends of a service in order of their names. The caller must
// not change the slice.
func (l *List) OfService(service string) []*Backend {
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
func (l *List) changed() {
	l.byHash, l.sorted = nil, nil
	l.generation++
}

// Generation names the list as it is: another one is another list.
func (l *List) Generation() uint64 { return l.generation }

// All returns every backend in order of names.
func (l *List) All() []*Backend {
	all := make([]*Backend, 0, len(l.byID))
	for _, b := range l.byID {
		all = append(all, b)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
