// Package fleet holds the list of backend servers that requests are forwarded to:
// their own registrations in the store, and what is learned about them from other
// sources. It has no I/O, goroutines or clock; callers provide the locking.
package fleet

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Incarnation is one run of a backend server's process, from start to end. A
// server may start again under the same name; it has then lost what it held in
// memory, and nothing learned about the previous incarnation applies to it.
type Incarnation struct {
	// Instance is the name that the server gives itself.
	Instance string
	// StartedMS is the start time in Unix ms by the server's clock; 0 if unknown.
	StartedMS int64
}

// incarnationSeparator separates the server's name and its start time in an ID.
const incarnationSeparator = "@"

// InstanceOf returns the server's own name from the ID of an incarnation, for
// state that is kept across restarts.
func InstanceOf(id string) string {
	if at := strings.LastIndex(id, incarnationSeparator); at > 0 {
		return id[:at]
	}
	return id
}

// ID identifies the incarnation, in the entry's own state and in messages between
// entries, so that a message about an earlier incarnation is not applied to a
// later one.
func (i Incarnation) ID() string {
	if i.StartedMS == 0 {
		return i.Instance
	}
	return i.Instance + incarnationSeparator + strconv.FormatInt(i.StartedMS, 36)
}

// Backend is one incarnation of a backend server as it registered itself.
type Backend struct {
	Incarnation
	// ID of the incarnation; Hash is its rendezvous hash.
	ID         string
	Hash       uint64
	Service    string
	Address    string
	DataCentre string
	// Software is the version of the server's software, unless that is unknown: a server
	// that was seen to have started again may have changed it. SoftwareHash identifies it
	// among those of the service; 0: unknown.
	Software        string
	SoftwareUnknown bool
	SoftwareHash    uint32
	Slots           int
	// Draining backends get no new requests. Set by the registration, or by MarkDraining.
	Draining bool
	// Cold is how much longer the server stays slow after its start.
	Cold time.Duration
	// Versions of the loaded weights, by model. They may be out of date.
	Versions map[string]uint64
}

// List holds the current backends, one incarnation of each server. If a
// registration disappeared while the store could not be read, it may only have
// expired for lack of renewal. So it is kept for a grace period after the store is
// readable again and removed if it is still missing then.
type List struct {
	// grace is how long a registration may be missing after an outage.
	grace time.Duration
	// byName holds the backends by the servers' own names, byID by incarnation.
	byName map[string]*Backend
	byID   map[string]*Backend
	// missing maps the names of servers whose registrations disappeared to the end
	// of their grace period.
	missing map[string]time.Time
	// ended maps incarnations that are known to have ended, though they are still
	// listed, to the time until which that overrides the list.
	ended map[string]time.Time
	// draining holds the incarnations that said themselves that they drain, whatever their
	// registrations say, and when each was last listed.
	draining map[string]time.Time
	// unconfirmed holds registrations of earlier incarnations, by the servers' own names.
	unconfirmed map[string]unconfirmedBackend
	// restoredAt is when the store last became readable again.
	restoredAt time.Time
	// byHash and sorted are derived from byID; nil after a change.
	byHash map[uint32]*Backend
	sorted map[string][]*Backend
	// all holds the backends sorted by ID, except for the incarnations in changed, which were
	// added, replaced or removed since.
	all     []*Backend
	changed map[string]bool
	// generation counts the changes.
	generation uint64
}

// NewList returns an empty list with this grace period.
func NewList(grace time.Duration) *List {
	return &List{
		grace: grace, byName: map[string]*Backend{}, byID: map[string]*Backend{},
		missing: map[string]time.Time{}, ended: map[string]time.Time{}, draining: map[string]time.Time{}, unconfirmed: map[string]unconfirmedBackend{},
		changed: map[string]bool{},
	}
}

// Change is the effect of a registration on the list.
type Change int

// Values of Change.
const (
	// Added: the server was not listed.
	Added Change = iota
	// Updated: the listed incarnation, possibly with other properties.
	Updated
	// Restarted: another incarnation of a listed server.
	Restarted
	// Stale: an earlier incarnation than the listed one; not applied yet.
	Stale
)

// confirmPeriod is how long a registration with an earlier start time must persist
// before it is applied. A delayed registration of the previous incarnation is
// overwritten by the server's next heartbeat. One that persists means that the
// server's clock was set back before a restart.
const confirmPeriod = 5 * time.Second

// unconfirmedBackend is a registration with an earlier start time than the listed
// incarnation, and since when it has persisted.
type unconfirmedBackend struct {
	backend *Backend
	since   time.Time
}

// Put applies a registration and sets its ID. old is the previous backend under
// the server's name, nil if there was none.
//
// A registration without a start time is taken to be of the listed incarnation: not
// every writer states the time, but a restarted server always does. A
// registration that adds a start time where none was known, or has another address, is
// another incarnation. A process does not change its address, and dropping valid
// state costs less than sending orders that rely on an incarnation that has ended.
func (l *List) Put(now time.Time, b *Backend) (old *Backend, change Change) {
	old = l.byName[b.Instance]
	if old != nil && b.StartedMS == 0 {
		b.StartedMS = old.StartedMS
	}
	b.ID = b.Incarnation.ID()
	if _, ok := l.draining[b.ID]; ok {
		b.Draining = true
	}
	switch {
	case old == nil:
		change = Added
	case b.StartedMS < old.StartedMS:
		l.addUnconfirmed(now, b)
		return old, Stale
	case b.StartedMS > old.StartedMS, b.Address != old.Address:
		change = Restarted
		l.removeIncarnation(old)
	default:
		change = Updated
	}
	l.setBackend(b)
	return old, change
}

// addUnconfirmed keeps a registration of an earlier incarnation until it is confirmed.
func (l *List) addUnconfirmed(now time.Time, b *Backend) {
	since := now
	if before, ok := l.unconfirmed[b.Instance]; ok && before.backend.StartedMS == b.StartedMS {
		since = before.since
	}
	l.unconfirmed[b.Instance] = unconfirmedBackend{backend: b, since: since}
}

// setBackend makes b the listed incarnation of its server.
func (l *List) setBackend(b *Backend) {
	l.byName[b.Instance], l.byID[b.ID] = b, b
	l.changed[b.ID] = true
	delete(l.missing, b.Instance)
	delete(l.unconfirmed, b.Instance)
	l.invalidate()
}

// removeIncarnation drops what is stored under the incarnation's ID.
func (l *List) removeIncarnation(b *Backend) {
	delete(l.byID, b.ID)
	delete(l.ended, b.ID)
	l.changed[b.ID] = true
	l.invalidate()
}

// endedTTL is how long the proof that an incarnation ended overrides the list. A
// registration expires after three missed heartbeats, and some seconds later if the
// store is down. The limit ensures that a wrong proof does not exclude a server
// for good.
const endedTTL = 8 * time.Second

// MarkEnded records the proof that an incarnation ended: another instance answered
// at its address. The list shows this some seconds later; until then requests for
// it would be refused. It reports false if the incarnation is not listed or is
// already marked.
func (l *List) MarkEnded(now time.Time, id string) bool {
	if l.byID[id] == nil || l.Ended(now, id) {
		return false
	}
	l.ended[id] = now.Add(endedTTL)
	return true
}

// maxEndedElsewhere is the largest share of a service's servers that may be marked as ended
// on the word of other entries. Without it one entry with a wrong view could exclude all
// servers of a service at every entry. In the deployments up to a third end at a time.
const maxEndedElsewhere = 0.5

// MarkEndedElsewhere is MarkEnded for the proof that another entry has. It reports false
// also if too large a share of the service is marked already; then this entry finds the rest
// out itself.
func (l *List) MarkEndedElsewhere(now time.Time, id string) bool {
	b := l.byID[id]
	if b == nil {
		return false
	}
	ended, all := 1, l.OfService(b.Service)
	for _, other := range all {
		if l.Ended(now, other.ID) {
			ended++
		}
	}
	return float64(ended) <= maxEndedElsewhere*float64(len(all)) && l.MarkEnded(now, id)
}

// Ended reports whether an incarnation is marked as ended.
func (l *List) Ended(now time.Time, id string) bool { return now.Before(l.ended[id]) }

// AnyEnded reports whether an incarnation may be marked as ended.
func (l *List) AnyEnded() bool { return len(l.ended) > 0 }

// drainingTTL is how long an incarnation that said that it drains is remembered when it is
// not listed any more: its registration may come back after an outage.
const drainingTTL = 5 * time.Minute

// MarkDraining records that an incarnation said itself that it drains, which holds until it
// ends. It reports false if the incarnation is not listed or is draining already.
func (l *List) MarkDraining(now time.Time, id string) bool {
	b := l.byID[id]
	if b == nil {
		return false
	}
	l.draining[id] = now
	if b.Draining {
		return false
	}
	b.Draining = true
	l.invalidate()
	return true
}

// SaidDraining returns up to most listed incarnations of a service that said themselves
// that they drain.
func (l *List) SaidDraining(service string, most int) []string {
	var ids []string
	for id := range l.draining {
		if b := l.byID[id]; b != nil && b.Service == service && len(ids) < most {
			ids = append(ids, id)
		}
	}
	return ids
}

// forgetDraining drops incarnations that have not been listed for a while.
func (l *List) forgetDraining(now time.Time) {
	for id, listedAt := range l.draining {
		if l.byID[id] != nil {
			l.draining[id] = now
		} else if now.Sub(listedAt) >= drainingTTL {
			delete(l.draining, id)
		}
	}
}

// Restored records that the store is readable again after an outage.
func (l *List) Restored(now time.Time) { l.restoredAt = now }

// Remove records that the registration of a server disappeared. The server is
// removed at once, except within the grace period after an outage if it is not
// draining: then Tick removes it unless Put adds it again. gone is the removed
// backend, nil if none was.
func (l *List) Remove(now time.Time, instance string) (gone *Backend) {
	b := l.byName[instance]
	if b == nil {
		return nil
	}
	if l.restoredAt.IsZero() || now.Sub(l.restoredAt) >= l.grace || b.Draining {
		l.removeServer(b)
		return b
	}
	l.missing[instance] = l.restoredAt.Add(l.grace)
	return nil
}

// MissingUntil returns the end of a server's grace period; ok is false if its registration has not
// disappeared.
func (l *List) MissingUntil(instance string) (until time.Time, ok bool) {
	until, ok = l.missing[instance]
	return until, ok
}

// RemoveEnded removes a server that is known to have ended, without a grace period. gone is
// the removed backend, nil if none was.
func (l *List) RemoveEnded(instance string) (gone *Backend) {
	b := l.byName[instance]
	if b != nil {
		l.removeServer(b)
	}
	return b
}

// Tick removes servers whose grace period is over and applies registrations that
// have persisted for the confirmation period. It returns the backends removed and
// those listed as a result; a server that is in both has a new incarnation.
func (l *List) Tick(now time.Time) (gone, listed []*Backend) {
	l.forgetDraining(now)
	for instance, until := range l.missing {
		if !now.Before(until) {
			b := l.byName[instance]
			l.removeServer(b)
			gone = append(gone, b)
		}
	}
	for instance, u := range l.unconfirmed {
		if now.Sub(u.since) < confirmPeriod {
			continue
		}
		if old := l.byName[instance]; old != nil {
			l.removeIncarnation(old)
			gone = append(gone, old)
		}
		l.setBackend(u.backend)
		listed = append(listed, u.backend)
	}
	return gone, listed
}

func (l *List) removeServer(b *Backend) {
	l.removeIncarnation(b)
	delete(l.byName, b.Instance)
	delete(l.missing, b.Instance)
	delete(l.unconfirmed, b.Instance)
}

// Get returns the backend with this incarnation ID, nil if it is not listed.
func (l *List) Get(id string) *Backend { return l.byID[id] }

// Named returns the backend with this server name, nil if it is not listed.
func (l *List) Named(instance string) *Backend { return l.byName[instance] }

// Len returns the number of backends.
func (l *List) Len() int { return len(l.byID) }

// OfService returns the backends of a service sorted by ID. The caller must not
// change the slice.
func (l *List) OfService(service string) []*Backend {
	if l.sorted == nil {
		l.sorted = map[string][]*Backend{}
		for _, b := range l.All() {
			l.sorted[b.Service] = append(l.sorted[b.Service], b)
		}
	}
	return l.sorted[service]
}

// ByHash returns the backends by the hash of their IDs. The result is cached until
// the list changes, so hash must always be the same function. The caller must not
// change the map.
func (l *List) ByHash(hash func(string) uint32) map[uint32]*Backend {
	if l.byHash == nil {
		l.byHash = make(map[uint32]*Backend, len(l.byID))
		for id, b := range l.byID {
			l.byHash[hash(id)] = b
		}
	}
	return l.byHash
}

// invalidate drops everything derived from the list and increments its generation.
func (l *List) invalidate() {
	l.byHash, l.sorted = nil, nil
	l.generation++
}

// Generation changes whenever the list changes.
func (l *List) Generation() uint64 { return l.generation }

// All returns all backends sorted by ID. The caller must not change the slice; later changes
// of the list don't change it either.
func (l *List) All() []*Backend {
	if len(l.changed) > 0 {
		l.all = l.merge()
		clear(l.changed)
	}
	return l.all
}

// merge returns the list sorted by ID, from l.all and the incarnations that have changed
// since. Sorting 7,000 backends takes milliseconds, and the list changes several times a
// second while servers restart.
func (l *List) merge() []*Backend {
	ids := slices.Sorted(maps.Keys(l.changed))
	merged := make([]*Backend, 0, len(l.byID))
	add := func(id string) {
		if b := l.byID[id]; b != nil {
			merged = append(merged, b)
		}
	}
	for _, b := range l.all {
		for len(ids) > 0 && ids[0] < b.ID {
			add(ids[0])
			ids = ids[1:]
		}
		if len(ids) == 0 || ids[0] != b.ID {
			merged = append(merged, b)
		}
	}
	for _, id := range ids {
		add(id)
	}
	return merged
}
