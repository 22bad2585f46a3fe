// Package shard divides the backend servers of each service among the entries.
// The entry that owns a shard chooses among its servers for all entries: it
// alone hears of every request there, so it knows their load and what they
// keep, and what it has to be told does not grow with the fleet.
//
// Who owns what follows from the rows of the entries and the list of servers,
// which all entries read: nothing is agreed on or kept. Entries that see
// different lists for a while ask different owners, each of which knows a part;
// that costs a longer queue, never a wrong answer. It has no I/O, goroutine or
// clock; callers lock.
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
	// leastServers of a shard on average: with fewer the choice within it is poor,
	// as a prefix whose server is busy should find an idle one in the same shard.
	leastServers = 8
	// strongShare of the cores of the strongest entry that an owner has at least.
	// Every request to a shard waits for its owner, and a weak VM answers late
	// while it serves callers.
	strongShare = 0.5
	// missesAtLeast in a row, over silentAtLeast, after which an owner is passed
	// over: datagrams are lost now and then, and a VM that has used up its
	// processor time goes on within a tenth of a second.
	missesAtLeast = 2
	silentAtLeast = 60 * time.Millisecond
	// silentFirst is for how long it is passed over at first, doubled up to
	// silentAtMost each time that it is still silent: each try costs the requests
	// of that moment the time that an answer is waited for.
	silentFirst  = time.Second
	silentAtMost = 8 * time.Second
)

// Entry is a process that may own shards.
type Entry struct {
	Name string
	// Address that it is asked at.
	Address string
	// Cores that its VM gives it.
	Cores float64
}

// Assignment of the servers of one service. It must not be changed.
type Assignment struct {
	// Owners of the shards; empty: nobody can own one.
	Owners []Entry
	// owner of each server, an index into Owners, in the order of the list that
	// the division was made from; servers are their rendezvous hashes.
	owner   []int
	servers []uint64
	// owned are the places of each owner's servers in that list.
	owned [][]int
	// generation of that list, and until when the division holds.
	generation uint64
	until      time.Time
}

// silence is an entry that did not answer of late.
type silence struct {
	misses int
	// since is when the first of the misses was seen.
	since time.Time
	// until is when it may be asked again, pause for how long it was passed over.
	until time.Time
	pause time.Duration
}

const (
	// cutOffAfter misses in a row of whatever owners an entry takes itself to be cut
	// off from all: each question would cost its request the time of an answer.
	cutOffAfter = 6
	// probePause between two questions meanwhile.
	probePause = 200 * time.Millisecond
)

// Map tells who owns what.
type Map struct {
	// misses in a row of all owners; probeAt is when the next question may go out
	// in spite of them.
	misses    int
	probeAt   time.Time
	entries   []Entry
	silent    map[string]*silence
	divisions map[string]*Assignment
}

// NewMap knows no entry.
func NewMap() *Map {
	return &Map{silent: map[string]*silence{}, divisions: map[string]*Assignment{}}
}

// SetEntries takes in all entries, this one included.
func (m *Map) SetEntries(entries []Entry) {
	m.entries = entries
	for name := range m.silent {
		if !slices.ContainsFunc(entries, func(e Entry) bool { return e.Name == name }) {
			delete(m.silent, name)
		}
	}
	m.changed()
}

func (m *Map) changed() { clear(m.divisions) }

// OwnerTimedOut takes in that an owner did not answer in time. True: it is passed over
// from now on.
func (m *Map) OwnerTimedOut(now time.Time, name string) bool {
	m.misses++
	s := m.silent[name]
	if s == nil {
		s = &silence{since: now}
		m.silent[name] = s
	}
	s.misses++
	if s.misses < missesAtLeast || now.Sub(s.since) < silentAtLeast || now.Before(s.until) {
		return false
	}
	s.pause = min(max(2*s.pause, silentFirst), silentAtMost)
	s.until = now.Add(s.pause)
	m.changed()
	return true
}

// OwnerAnswered takes in that an owner answered.
func (m *Map) OwnerAnswered(name string) {
	m.misses = 0
	s := m.silent[name]
	if s == nil {
		return
	}
	delete(m.silent, name)
	if !s.until.IsZero() {
		m.changed()
	}
}

// MayAsk tells whether owners may be asked now; an entry that is cut off from all
// of them tries only now and then.
func (m *Map) MayAsk(now time.Time) bool {
	if m.misses < cutOffAfter {
		return true
	}
	if now.Before(m.probeAt) {
		return false
	}
	m.probeAt = now.Add(probePause)
	return true
}

// Assignment returns who owns which of a service's servers. generation names the
// list that hashes returns: the rendezvous hashes of the servers, in its order.
func (m *Map) Assignment(now time.Time, service string, generation uint64, hashes func() []uint64) *Assignment {
	if d := m.divisions[service]; d != nil && d.generation == generation && now.Before(d.until) {
		return d
	}
	alive, until := m.alive(now)
	d := &Assignment{servers: hashes(), generation: generation, until: until}
	d.Owners = owners(service, len(d.servers), alive)
	d.divide()
	m.divisions[service] = d
	return d
}

// forever is until when a division holds that no silence bounds.
var forever = time.Unix(math.MaxInt32, 0)

// alive are the entries that are not passed over now, and until when that holds.
func (m *Map) alive(now time.Time) (alive []Entry, until time.Time) {
	until = forever
	for _, e := range m.entries {
		s := m.silent[e.Name]
		if s == nil || !now.Before(s.until) {
			alive = append(alive, e)
			continue
		}
		if s.until.Before(until) {
			until = s.until
		}
	}
	return alive, until
}

// Eligible are the entries that do work for others: those with a good part of the
// cores of the strongest.
func Eligible(entries []Entry) []Entry {
	most := 0.0
	for _, e := range entries {
		most = max(most, e.Cores)
	}
	var strong []Entry
	for _, e := range entries {
		if e.Cores >= strongShare*most {
			strong = append(strong, e)
		}
	}
	return strong
}

// owners picks the entries that own a shard of a service: strong ones, no more
// than there are shards of a useful size, by their rendezvous order, so that one
// that is lost changes nothing for the others.
func owners(service string, servers int, entries []Entry) []Entry {
	strong := Eligible(entries)
	key := xxh3.HashString(service)
	slices.SortFunc(strong, func(a, b Entry) int {
		return cmp.Compare(routing.Rendezvous(key, xxh3.HashString(b.Name)), routing.Rendezvous(key, xxh3.HashString(a.Name)))
	})
	return strong[:min(len(strong), max(1, servers/leastServers))]
}

// divide gives each server its owner.
func (d *Assignment) divide() {
	if len(d.Owners) == 0 {
		return
	}
	hashes := make([]uint64, len(d.Owners))
	for i, e := range d.Owners {
		hashes[i] = xxh3.HashString(e.Name)
	}
	d.owner = make([]int, len(d.servers))
	d.owned = make([][]int, len(d.Owners))
	for i, server := range d.servers {
		best := uint64(0)
		for k, owner := range hashes {
			if w := routing.Rendezvous(server, owner); w >= best {
				best, d.owner[i] = w, k
			}
		}
		d.owned[d.owner[i]] = append(d.owned[d.owner[i]], i)
	}
}

// OwnersFor returns the owners to ask for a prefix, the first one first: that of the
// first server in the prefix's rendezvous order, and that of the first server
// behind it that another entry owns. All entries with the same lists ask alike.
func (d *Assignment) OwnersFor(prefix uint64) []Entry {
	if len(d.Owners) == 0 {
		return nil
	}
	best := make([]uint64, len(d.Owners))
	for i, server := range d.servers {
		owner := d.owner[i]
		best[owner] = max(best[owner], routing.Rendezvous(prefix, server))
	}
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
			asked = append(asked, d.Owners[i])
		}
	}
	return asked
}

// ServersOf returns the places of an entry's servers in the list. It must not be changed.
func (d *Assignment) ServersOf(name string) []int {
	for k := range d.Owners {
		if d.Owners[k].Name == name {
			return d.owned[k]
		}
	}
	return nil
}

// Owns tells whether an entry owns the i-th server of the list.
func (d *Assignment) Owns(name string, i int) bool {
	return i < len(d.owner) && d.Owners[d.owner[i]].Name == name
}
