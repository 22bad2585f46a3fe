package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/shard"
)

// Who does what for others, by the rows of all entries: entries with the same rows
// find the same ones, so that nothing is agreed on or kept.

const (
	// storeReaders of all entries ask the store itself: each of its calls has a
	// price. One of them may be cut off and another stop at the same time.
	storeReaders = 3
	// relaysPerDataCentre entries read from those for the others there: a word to a
	// data centre crosses to it that often.
	relaysPerDataCentre = 2
)

// rankedEntry is a place among the entries.
type rankedEntry struct {
	node, address string
	cores         float64
	hash          uint64
}

// compare puts the strongest VMs first: what the first of them do for all others
// takes a weak one from its callers.
func (r rankedEntry) compare(other rankedEntry) int {
	if order := cmp.Compare(other.cores, r.cores); order != 0 {
		return order
	}
	return cmp.Compare(r.hash, other.hash)
}

// ranking are this entry, where its row was seen, and those others that keep says.
func (p *peers) ranking(keep func(entryRow) bool) []rankedEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []rankedEntry
	for node, entry := range p.rows {
		if node == p.node || keep(entry) {
			all = append(all, rankedEntry{node: node, address: entry.Address, cores: entry.Cores, hash: xxh3.HashString(node)})
		}
	}
	slices.SortFunc(all, rankedEntry.compare)
	return all
}

// rank of this entry among those that keep says, and the addresses of those before
// it; -1 when its own row was not seen.
func (p *peers) rank(keep func(entryRow) bool) (rank int, before []string) {
	for i, entry := range p.ranking(keep) {
		if entry.node == p.node {
			return i, before
		}
		before = append(before, entry.address)
	}
	return -1, nil
}

// everyEntry keeps all of them.
func everyEntry(entryRow) bool { return true }

// relays are the entries that this one reads the store's tables from, and how many
// there are between those and the store; none when it asks the store itself. In
// large fleets the first few ask the store, the first of each data centre ask those,
// and the others ask the first of theirs. In small ones the first of each data
// centre ask the store: that is few calls, and a bound of two seconds is kept with
// no second step between.
func (p *peers) relays(now time.Time) (relays []string, between int) {
	answers := func(e entryRow) bool { return !now.Before(p.skipUntil[e.Address]) }
	rank, before := p.rank(func(e entryRow) bool { return e.DataCentre == p.dataCentre && answers(e) })
	large := p.count() > maxUnshardedEntries
	if rank >= relaysPerDataCentre {
		if large {
			between = 1
		}
		return before[:relaysPerDataCentre], between
	}
	rank, before = p.rank(answers)
	if large && rank >= storeReaders {
		return before[:storeReaders], 0
	}
	return nil, 0
}

// ownRowSeen tells whether this entry's own row was seen.
func (p *peers) ownRowSeen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.rows[p.node]
	return ok
}

// nextHolders are the addresses of the entries that try for the lease of orders
// first, this one left out.
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

// shardEntries are all entries, as those that may own shards.
func (p *peers) shardEntries() []shard.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := make([]shard.Entry, 0, len(p.rows))
	for node, entry := range p.rows {
		entries = append(entries, shard.Entry{Name: node, Address: entry.Address, Cores: entry.Cores})
	}
	return entries
}

// strongCount counts the entries that do work for others.
func (p *peers) strongCount() int { return max(1, len(shard.Strong(p.shardEntries()))) }

// isStrong tells whether this entry is one of them.
func (p *peers) isStrong() bool {
	return slices.ContainsFunc(shard.Strong(p.shardEntries()), func(e shard.Entry) bool { return e.Name == p.node })
}
