package gateway

import (
	"slices"
	"time"

	"github.com/jayproxy/jayproxy/internal/roster"
	"github.com/jayproxy/jayproxy/internal/shard"
)

// What peers know of the entries: the roster's methods under the lock.

// put records an entry's row.
func (p *peers) put(node string, row roster.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Put(node, row)
}

// remove records that an entry has removed its row.
func (p *peers) remove(now time.Time, node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Remove(now, node)
}

// lose records that the store has lost an entry's row.
func (p *peers) lose(now time.Time, node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Lose(now, node)
}

// expire removes the entries that did not write their lost rows again, and those that have
// left. It reports whether there were any.
func (p *peers) expire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Expire(now)
}

// registered reports whether the store has this entry's row.
func (p *peers) registered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Registered()
}

// confirmRegistered records that the store has accepted this entry's row under a version.
func (p *peers) confirmRegistered(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Confirm(version)
}

// rowsRead records that the rows were read up to a version, this entry's listed or not.
func (p *peers) rowsRead(version uint64, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Read(version, listed)
}

// addresses returns the control addresses of all other entries, each once.
func (p *peers) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Addresses()
}

func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.SetSeeds(seeds)
}

// count returns the number of entries with a row, at least 1.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Count()
}

// markUnresponsive keeps an entry that did not answer from being used as a relay for a while.
func (p *peers) markUnresponsive(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.MarkUnresponsive(now, address)
}

// relays returns the entries from which this one reads the store's tables; see roster.Relays.
func (p *peers) relays(now time.Time) (relays []string, hops int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Relays(now)
}

// rank returns this entry's rank among all entries; -1 if it has no row.
func (p *peers) rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Rank()
}

// others returns the rows of the other entries, by node.
func (p *peers) others() map[string]roster.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Others()
}

// isRelay reports whether other entries read the store's tables from this one.
func (p *peers) isRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.IsRelay()
}

// nextHolders returns the addresses of the entries that contend first for the rollout
// lease, without this one.
func (p *peers) nextHolders() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.First(ordinaryContenders + 1)
}

// shardEntries returns all entries as candidates for owning shards.
func (p *peers) shardEntries() []shard.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.ShardEntries()
}

// servingEntries returns all entries that serve callers, with or without a row.
func (p *peers) servingEntries() []shard.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Serving()
}

// strongCount returns the number of entries that do work for others, at least 1.
func (p *peers) strongCount() int { return max(1, len(shard.Eligible(p.shardEntries()))) }

// isStrong reports whether the entry with this name does work for others.
func (p *peers) isStrong(node string) bool {
	return slices.ContainsFunc(shard.Eligible(p.shardEntries()), func(e shard.Entry) bool { return e.Name == node })
}
