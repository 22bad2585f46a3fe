// Package shard assigns the backend servers of each service to the entries that
// own them. The entry that owns a shard chooses among its servers for all entries.
// As it sees all requests for these servers, it knows their load and their caches,
// and what it needs from other entries does not grow with the fleet.
//
// The assignment is computed from the stored rows of the entries and the list of
// servers, which all entries read; there is no coordination and no stored
// assignment. Entries that see different lists for a while ask different owners,
// each of which knows part of the load. That may cost longer queues but gives no
// wrong results. The package has no I/O, goroutines or clock; callers provide the
// locking.
package shard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/routing"
)

const (
	// minServersPerShard is the minimum average size of a shard. In a smaller shard a
	// prefix whose preferred server is busy would often find no idle one.
	minServersPerShard = 8
	// minCoreShare is the minimum number of cores of an owner, as a share of those of
	// the entry with the most cores. Every request to a shard waits for its owner,
	// and a weak VM responds late while it serves callers.
	minCoreShare = 0.5
	// minTimeouts is the number of consecutive timeouts, and minSilence the time since
	// the first of them, after which an owner is skipped: datagrams get lost, and a
	// VM that is throttled by its CPU quota continues within a tenth of a second.
	minTimeouts = 2
	minSilence  = 60 * time.Millisecond
	// initialBackoff is how long an owner is skipped at first. The time doubles, up to
	// maxBackoff, each time that it still does not answer; each new attempt delays
	// some requests until it times out.
	initialBackoff = time.Second
	maxBackoff     = 8 * time.Second
)

// Entry is a process that may own shards.
type Entry struct {
	Name string
	// Address that placement requests to the owner are sent to.
	Address string
	// Cores of its VM.
	Cores float64
}

// Assignment maps the servers of one service to their owners. It must not be changed.
type Assignment struct {
	// Owners of the shards; empty if no entry can own one.
	Owners []Entry
	// owner is the index into Owners for each server, in the order of the server
	// list; servers are the rendezvous hashes of that list.
	owner   []int
	servers []uint64
	// hashes are the rendezvous hashes of the owners.
	hashes []uint64
	// serversOf are the indexes of each owner's servers in the list.
	serversOf [][]int
	// generation of the server list, and until when the assignment is valid.
	generation uint64
	until      time.Time
}

// unresponsiveEntry is an entry that did not answer recently.
type unresponsiveEntry struct {
	timeouts int
	// since is the time of the first of these timeouts.
	since time.Time
	// until is when it may be asked again; backoff is the length of the last skip.
	until   time.Time
	backoff time.Duration
}

const (
	// isolationTimeouts is the number of consecutive timeouts, of any owners, after
	// which an entry assumes that it is isolated from all of them: each further
	// placement request would delay a caller's request by a timeout.
	isolationTimeouts = 6
	// probeInterval is the time between two placement requests of an isolated entry.
	probeInterval = 200 * time.Millisecond
)

// Map holds the entries and computes the assignment for each service.
type Map struct {
	// timeouts is the number of consecutive timeouts of any owners; probeAt is when an
	// isolated entry may send the next placement request.
	timeouts     int
	probeAt      time.Time
	entries      []Entry
	unresponsive map[string]*unresponsiveEntry
	assignments  map[string]*Assignment
	// capacities holds what owners reported last, changes the last changes of assignments
	// that were not taken, by service.
	capacities map[string]reports
	latest     map[string]*Assignment
	changes    map[string]Change
}

// NewMap returns a map without entries.
func NewMap() *Map {
	return &Map{
		unresponsive: map[string]*unresponsiveEntry{}, assignments: map[string]*Assignment{},
		capacities: map[string]reports{}, latest: map[string]*Assignment{}, changes: map[string]Change{},
	}
}

// SetEntries sets all entries, including this one.
func (m *Map) SetEntries(entries []Entry) {
	m.entries = entries
	for name := range m.unresponsive {
		if !slices.ContainsFunc(entries, func(e Entry) bool { return e.Name == name }) {
			delete(m.unresponsive, name)
		}
	}
	m.invalidate()
}

func (m *Map) invalidate() { clear(m.assignments) }

// OwnerTimedOut records that an owner did not answer in time. It reports whether
// the owner is skipped from now on and was not before.
func (m *Map) OwnerTimedOut(now time.Time, name string) bool {
	m.timeouts++
	u := m.unresponsive[name]
	if u == nil {
		u = &unresponsiveEntry{since: now}
		m.unresponsive[name] = u
	}
	u.timeouts++
	if u.timeouts < minTimeouts || now.Sub(u.since) < minSilence || now.Before(u.until) {
		return false
	}
	u.backoff = min(max(2*u.backoff, initialBackoff), maxBackoff)
	u.until = now.Add(u.backoff)
	m.invalidate()
	return true
}

// OwnerAnswered records that an owner answered.
func (m *Map) OwnerAnswered(name string) {
	m.timeouts = 0
	u := m.unresponsive[name]
	if u == nil {
		return
	}
	delete(m.unresponsive, name)
	if !u.until.IsZero() {
		m.invalidate()
	}
}

// MayAsk reports whether owners may be asked now. For an isolated entry it returns
// true once per probe interval, which that call uses up.
func (m *Map) MayAsk(now time.Time) bool {
	if m.timeouts < isolationTimeouts {
		return true
	}
	if now.Before(m.probeAt) {
		return false
	}
	m.probeAt = now.Add(probeInterval)
	return true
}

// Assignment returns the assignment for a service's servers. hashes returns the
// rendezvous hashes of the server list, and generation identifies that list.
func (m *Map) Assignment(now time.Time, service string, generation uint64, hashes func() []uint64) *Assignment {
	if a := m.assignments[service]; a != nil && a.generation == generation && now.Before(a.until) {
		return a
	}
	available, until := m.available(now)
	a := &Assignment{servers: hashes(), generation: generation, until: until}
	a.Owners = owners(service, len(a.servers), available)
	a.assign(m.latest[service])
	m.assignments[service] = a
	m.recordChange(service, a)
	return a
}

// forever is the validity of an assignment while no entry is skipped.
var forever = time.Unix(math.MaxInt32, 0)

// available returns the entries that are not skipped now, and until when that holds.
func (m *Map) available(now time.Time) (available []Entry, until time.Time) {
	until = forever
	for _, e := range m.entries {
		u := m.unresponsive[e.Name]
		if u == nil || !now.Before(u.until) {
			available = append(available, e)
			continue
		}
		if u.until.Before(until) {
			until = u.until
		}
	}
	return available, until
}

// Eligible returns the entries that may do work for others: those with at least
// minCoreShare of the cores of the entry with the most.
func Eligible(entries []Entry) []Entry {
	maxCores := 0.0
	for _, e := range entries {
		maxCores = max(maxCores, e.Cores)
	}
	var eligible []Entry
	for _, e := range entries {
		if e.Cores >= minCoreShare*maxCores {
			eligible = append(eligible, e)
		}
	}
	return eligible
}

// owners selects the entries that own a shard of a service: eligible ones, as many as
// there are shards of the minimum size, in rendezvous order, so that the loss of an
// entry does not affect the selection of others.
func owners(service string, servers int, entries []Entry) []Entry {
	eligible := Eligible(entries)
	key := xxh3.HashString(service)
	ranks := make([]uint64, len(eligible))
	order := make([]int, len(eligible))
	for i, e := range eligible {
		ranks[i], order[i] = routing.Rendezvous(key, xxh3.HashString(e.Name)), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ranks[b], ranks[a]) })
	selected := make([]Entry, min(len(eligible), max(1, servers/minServersPerShard)))
	for i := range selected {
		selected[i] = eligible[order[i]]
	}
	return selected
}

// assign sets the owner of each server. Servers that before lists under the same owners keep
// theirs: with 810 owners, finding one takes more than a microsecond. before may be nil.
func (a *Assignment) assign(before *Assignment) {
	if len(a.Owners) == 0 {
		return
	}
	a.owner = make([]int, len(a.servers))
	a.hashes = make([]uint64, len(a.Owners))
	for i, e := range a.Owners {
		a.hashes[i] = xxh3.HashString(e.Name)
	}
	var known []uint64
	if before != nil && slices.Equal(a.hashes, before.hashes) {
		known = before.servers
	}
	next := 0
	for i, server := range a.servers {
		// Both lists are sorted by server ID, so known ones follow each other.
		if skipped := slices.Index(known[next:], server); skipped >= 0 {
			next += skipped
			a.owner[i] = before.owner[next]
			next++
			continue
		}
		a.owner[i] = a.firstOwner(server)
	}
	a.groupByOwner()
}

// firstOwner returns the index of the owner that ranks first for a server.
func (a *Assignment) firstOwner(server uint64) int {
	best, first := uint64(0), 0
	for k, owner := range a.hashes {
		if w := routing.Rendezvous(server, owner); w >= best {
			best, first = w, k
		}
	}
	return first
}

// groupByOwner sets serversOf from owner.
func (a *Assignment) groupByOwner() {
	counts := make([]int, len(a.Owners))
	for _, owner := range a.owner {
		counts[owner]++
	}
	indexes := make([]int, len(a.owner))
	a.serversOf = make([][]int, len(a.Owners))
	for k, count := range counts {
		if count > 0 {
			a.serversOf[k], indexes = indexes[:0:count], indexes[count:]
		}
	}
	for i, owner := range a.owner {
		a.serversOf[owner] = append(a.serversOf[owner], i)
	}
}

// OwnersFor returns the owners to ask for a prefix, in order: the owner of the
// prefix's first server in rendezvous order, and the owner of the next server that
// another entry owns. All entries with the same lists ask the same owners.
func (a *Assignment) OwnersFor(prefix uint64) []Entry {
	best := a.ranks(prefix, nil)
	first, second := -1, -1
	for i, w := range best {
		switch {
		case w == 0:
		case first < 0 || w > best[first]:
			first, second = i, first
		case second < 0 || w > best[second]:
			second = i
		}
	}
	var asked []Entry
	for _, i := range []int{first, second} {
		if i >= 0 {
			asked = append(asked, a.Owners[i])
		}
	}
	return asked
}

// ranks returns the rank for a prefix of the best server of each owner, 0 for an owner
// without servers. keep, if not nil, selects the servers that count, by their indexes in the
// list.
func (a *Assignment) ranks(prefix uint64, keep func(i int) bool) []uint64 {
	best := make([]uint64, len(a.Owners))
	if len(a.Owners) == 0 {
		return best
	}
	for i, server := range a.servers {
		if keep != nil && !keep(i) {
			continue
		}
		owner := a.owner[i]
		best[owner] = max(best[owner], routing.Rendezvous(prefix, server))
	}
	return best
}

// ServersOf returns the indexes of an entry's servers in the list. The result must not be changed.
func (a *Assignment) ServersOf(name string) []int {
	for k := range a.Owners {
		if a.Owners[k].Name == name {
			return a.serversOf[k]
		}
	}
	return nil
}

// OwnerOf returns the owner of the server with this rendezvous hash; false: it is not in the
// list.
func (a *Assignment) OwnerOf(server uint64) (Entry, bool) {
	i := slices.Index(a.servers, server)
	if i < 0 || i >= len(a.owner) {
		return Entry{}, false
	}
	return a.Owners[a.owner[i]], true
}

// Owns reports whether an entry owns the i-th server of the list.
func (a *Assignment) Owns(name string, i int) bool {
	return i < len(a.owner) && a.Owners[a.owner[i]].Name == name
}
