package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/shard"
)

// The roles of entries follow from the rows of all entries. Entries that see the same rows
// derive the same roles, so nothing needs to be agreed on or stored.

const (
	// storeReaders is the number of entries that read from the store in a large fleet; each
	// call has a cost. One of them may be cut off while another one stops.
	storeReaders = 3
	// relaysPerDataCentre is the number of entries in each data centre that the others
	// there read from. It is also how often each change is sent to a data centre.
	relaysPerDataCentre = 2
)

// rankedEntry is an entry with the values that determine its rank.
type rankedEntry struct {
	node, address string
	cores         float64
	hash          uint64
}

// compare ranks entries with more CPU cores first, as work for other entries takes CPU
// time from a weak VM's callers.
func (r rankedEntry) compare(other rankedEntry) int {
	if order := cmp.Compare(other.cores, r.cores); order != 0 {
		return order
	}
	return cmp.Compare(r.hash, other.hash)
}

// ranking returns this entry, if its row was seen, and the other entries that include
// accepts, in order of rank.
func (p *peers) ranking(include func(entryRow) bool) []rankedEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []rankedEntry
	for node, entry := range p.rows {
		if node == p.node || include(entry) {
			all = append(all, rankedEntry{node: node, address: entry.Address, cores: entry.Cores, hash: xxh3.HashString(node)})
		}
	}
	slices.SortFunc(all, rankedEntry.compare)
	return all
}

// rank returns this entry's rank among the entries that include accepts, and the addresses
// of those before it. The rank is -1 if this entry's own row was not seen.
func (p *peers) rank(include func(entryRow) bool) (rank int, before []string) {
	for i, entry := range p.ranking(include) {
		if entry.node == p.node {
			return i, before
		}
		before = append(before, entry.address)
	}
	return -1, nil
}

// everyEntry accepts all entries.
func everyEntry(entryRow) bool { return true }

// relays returns the entries from which this one reads the store's tables, and the number
// of entries between those and the store. It returns none if this entry reads from the store
// itself. In large fleets the first few entries read from the store, the first of each
// data centre read from these, and the others from the first of their data centre. In
// small fleets the first of each data centre read from the store: that takes few calls,
// and a second hop would exceed the bound of two seconds on the age of the data.
func (p *peers) relays(now time.Time) (relays []string, hops int) {
	responsive := func(e entryRow) bool { return !now.Before(p.skipUntil[e.Address]) }
	rank, before := p.rank(func(e entryRow) bool { return e.DataCentre == p.dataCentre && responsive(e) })
	large := p.count() > maxUnshardedEntries
	if rank >= relaysPerDataCentre {
		if large {
			hops = 1
		}
		return before[:relaysPerDataCentre], hops
	}
	rank, before = p.rank(responsive)
	if large && rank >= storeReaders {
		return before[:storeReaders], 0
	}
	return nil, 0
}

// ownRowSeen reports whether this entry's own row was seen.
func (p *peers) ownRowSeen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.rows[p.node]
	return ok
}

// nextHolders returns the addresses of the entries that contend first for the rollout
// lease, without this one.
func (p *peers) nextHolders() []string {
	first := p.ranking(everyEntry)
	var addresses []string
	for _, entry := range first[:min(len(first), ordinaryContenders+1)] {
		if entry.node != p.node {
			addresses = append(addresses, entry.address)
		}
	}
	return addresses
}

// shardEntries returns all entries as candidates for owning shards.
func (p *peers) shardEntries() []shard.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := make([]shard.Entry, 0, len(p.rows))
	for node, entry := range p.rows {
		entries = append(entries, shard.Entry{Name: node, Address: entry.Address, Cores: entry.Cores})
	}
	return entries
}

// strongCount returns the number of entries that do work for others, at least 1.
func (p *peers) strongCount() int { return max(1, len(shard.Eligible(p.shardEntries()))) }

// isStrong reports whether this entry does work for others.
func (p *peers) isStrong() bool {
	return slices.ContainsFunc(shard.Eligible(p.shardEntries()), func(e shard.Entry) bool { return e.Name == p.node })
}
