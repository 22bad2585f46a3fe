// Package roster keeps the rows in which the entries register, and derives from them
// which entry reads the platform's store and which ones pass its tables on. Entries that
// see the same rows derive the same roles, so nothing needs to be agreed on or stored.
// The package has no I/O, goroutine or clock; callers provide the locking.
package roster

import (
	"cmp"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/shard"
)

const (
	// storeReaders is the number of entries that read from the store in a large fleet; each
	// call has a cost. One of them may be cut off while another one stops.
	storeReaders = 3
	// relaysPerDataCentre is the number of entries in each data centre that the others
	// there read from. It is also how often each change is sent to a data centre.
	relaysPerDataCentre = 2
	// unresponsiveSkipTime is how long an entry that did not answer is not used as a relay.
	// The row of an entry that crashed remains; trying it first each time would delay every
	// read by a timeout.
	unresponsiveSkipTime = 5 * time.Second
	// lostRowTime is how long an entry counts whose row the store has lost. Without it, the
	// entries that remain would take over its shards and its part of shared caps.
	lostRowTime = 15 * time.Second
)

// Row is the value of an entry's row in the store.
type Row struct {
	// Address is the entry's control address.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Cores is the number of CPU cores that the VM gives the entry.
	Cores float64 `json:"cores,omitempty"`
}

// maxCores is far above the cores of any VM. Entries with a small share of the most cores do
// no work for others, so that a row with more would exclude all of them.
const maxCores = 1e5

// ParseRow decodes the value of a row. It fails when that can't be of an entry. The address may
// be empty, but not missing: an entry need not listen for others.
func ParseRow(value []byte) (Row, error) {
	var wire struct {
		Row
		Address *string `json:"address"`
	}
	if err := json.Unmarshal(value, &wire); err != nil {
		return Row{}, eris.Wrap(err, "decode entry's row")
	}
	if wire.Address == nil {
		return Row{}, eris.New("entry's row has no address")
	}
	row := wire.Row
	row.Address = *wire.Address
	if err := checkAddress(row.Address); err != nil {
		return Row{}, err
	}
	if row.Cores < 0 || row.Cores > maxCores {
		return Row{}, eris.Errorf("cores is %g, want 0 to %g", row.Cores, maxCores)
	}
	return row, nil
}

func checkAddress(address string) error {
	if address == "" {
		return nil
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return eris.Wrap(err, "invalid address")
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 || host == "" {
		return eris.Errorf("invalid address %q", address)
	}
	return nil
}

// Roster is what one entry knows of all entries.
type Roster struct {
	// node is the key of this entry's row, self its value.
	node  string
	self  Row
	seeds []string
	rows  map[string]Row
	// keptUntil is the time until which an entry whose row the store has lost counts.
	keptUntil map[string]time.Time
	// leaving holds the entries that have removed their rows and may still serve.
	leaving map[string]leavingEntry
	// drainTime is how long an entry serves at most after it has removed its row.
	drainTime time.Duration
	// confirmed is the version under which the store accepted this entry's row; 0: it was
	// read, or is not confirmed.
	confirmed uint64
	// order holds all entries, this one included, by rank; nil: to be sorted anew.
	order []ranked
	// maxFlat is the number of entries up to which each data centre has readers of its own.
	maxFlat int
	// skipUntil is the time until which an entry that did not answer is not used as a
	// relay, by address.
	skipUntil map[string]time.Time
}

// leavingEntry is an entry that has removed its row.
type leavingEntry struct {
	row   Row
	until time.Time
}

// New returns the roster of the entry whose row has the given key and value. Fleets of
// more than maxFlat entries have storeReaders readers of the store in all. An entry serves
// for drainTime at most after it has removed its row.
func New(node string, self Row, seeds []string, maxFlat int, drainTime time.Duration) *Roster {
	return &Roster{
		node: node, self: self, seeds: seeds, maxFlat: maxFlat, drainTime: drainTime,
		rows: map[string]Row{}, keptUntil: map[string]time.Time{}, leaving: map[string]leavingEntry{}, skipUntil: map[string]time.Time{},
	}
}

// SetSeeds replaces the configured addresses of other entries.
func (r *Roster) SetSeeds(seeds []string) { r.seeds = seeds }

// Put records an entry's row.
func (r *Roster) Put(node string, row Row) {
	r.rows[node] = row
	delete(r.keptUntil, node)
	delete(r.leaving, node)
	r.order = nil
}

// Remove records that an entry has removed its row, since it stops.
func (r *Roster) Remove(now time.Time, node string) {
	if row, ok := r.rows[node]; ok {
		r.leaving[node] = leavingEntry{row: row, until: now.Add(r.drainTime)}
	}
	r.drop(node)
}

func (r *Roster) drop(node string) {
	delete(r.rows, node)
	delete(r.keptUntil, node)
	r.order = nil
}

// Lose records that the store has lost an entry's row. Another entry counts for lostRowTime,
// in which it writes its row again; this one has no row from now on.
func (r *Roster) Lose(now time.Time, node string) {
	if _, ok := r.rows[node]; ok && node != r.node {
		r.keptUntil[node] = now.Add(lostRowTime)
		return
	}
	r.drop(node)
}

// Expire removes the entries that did not write their lost rows again in time, and those that
// have left. It reports whether there were any.
func (r *Roster) Expire(now time.Time) bool {
	expired := false
	for node, until := range r.keptUntil {
		if !now.Before(until) {
			r.drop(node)
			expired = true
		}
	}
	for node, entry := range r.leaving {
		if !now.Before(entry.until) {
			delete(r.leaving, node)
			expired = true
		}
	}
	return expired
}

// Registered reports whether the store has this entry's row, with its present value.
func (r *Roster) Registered() bool {
	row, ok := r.rows[r.node]
	return ok && row == r.self
}

// Confirm records that the store has accepted this entry's row under a version.
func (r *Roster) Confirm(version uint64) {
	r.Put(r.node, r.self)
	r.confirmed = version
}

// Read records that the rows were read up to a version, with this entry's row listed or not.
// A row that the store accepted and lost before it was read is not reported as removed.
func (r *Roster) Read(version uint64, listed bool) {
	if r.confirmed == 0 || version < r.confirmed {
		return
	}
	if r.confirmed = 0; !listed {
		r.drop(r.node)
	}
}

// Count returns the number of entries with a row, at least 1.
func (r *Roster) Count() int { return max(1, len(r.rows)) }

// Addresses returns the control addresses of all other entries, each once.
func (r *Roster) Addresses() []string {
	seen := map[string]bool{r.self.Address: true}
	var all []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			all = append(all, address)
		}
	}
	for _, row := range r.rows {
		add(row.Address)
	}
	for _, address := range r.seeds {
		add(address)
	}
	return all
}

// Others returns the rows of the other entries, by node.
func (r *Roster) Others() map[string]Row {
	others := maps.Clone(r.rows)
	delete(others, r.node)
	return others
}

// MarkUnresponsive excludes an entry from the relays for unresponsiveSkipTime.
func (r *Roster) MarkUnresponsive(now time.Time, address string) {
	r.skipUntil[address] = now.Add(unresponsiveSkipTime)
}

// ranked is an entry with the values that determine its rank.
type ranked struct {
	node string
	row  Row
	hash uint64
}

func rankedEntry(node string, row Row) ranked {
	return ranked{node: node, row: row, hash: xxh3.HashString(node)}
}

// compare ranks entries with more CPU cores first, as work for other entries takes CPU
// time from a weak VM's callers.
func (e ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(other.row.Cores, e.row.Cores), cmp.Compare(e.hash, other.hash))
}

// ranking returns all entries by rank, this one with or without a row.
func (r *Roster) ranking() []ranked {
	if r.order != nil {
		return r.order
	}
	r.order = append(r.order, rankedEntry(r.node, r.self))
	for node, row := range r.rows {
		if node != r.node {
			r.order = append(r.order, rankedEntry(node, row))
		}
	}
	slices.SortFunc(r.order, ranked.compare)
	return r.order
}

// before returns the addresses of the entries that rank before this one and that include
// accepts, at most n, and whether there are n of them.
func (r *Roster) before(n int, include func(Row) bool) (addresses []string, found bool) {
	for _, entry := range r.ranking() {
		if entry.node == r.node {
			break
		}
		if include(entry.row) {
			addresses = append(addresses, entry.row.Address)
		}
		if len(addresses) == n {
			return addresses, true
		}
	}
	return nil, false
}

// Rank returns this entry's rank among all entries; -1 if it has no row.
func (r *Roster) Rank() int {
	if _, ok := r.rows[r.node]; !ok {
		return -1
	}
	return slices.IndexFunc(r.ranking(), func(e ranked) bool { return e.node == r.node })
}

// First returns the addresses of the n entries that rank first, without this one.
func (r *Roster) First(n int) []string {
	first := r.ranking()
	var addresses []string
	for _, entry := range first[:min(len(first), n)] {
		if entry.node != r.node {
			addresses = append(addresses, entry.row.Address)
		}
	}
	return addresses
}

// Relays returns the entries from which this one reads the store's tables, and the number
// of entries between those and the store. It returns none if this entry reads from the store
// itself. In large fleets the first few entries read from the store, the first of each
// data centre read from these, and the others from the first of their data centre. In
// small fleets the first of each data centre read from the store: that takes few calls,
// and a second hop would exceed the bound of two seconds on the age of the data. A relay
// always ranks before the entries that read from it, so entries that see different rows
// never wait for each other.
func (r *Roster) Relays(now time.Time) (relays []string, hops int) {
	responsive := func(row Row) bool { return !now.Before(r.skipUntil[row.Address]) }
	nearby := func(row Row) bool { return row.DataCentre == r.self.DataCentre && responsive(row) }
	large := r.Count() > r.maxFlat
	if relays, ok := r.before(relaysPerDataCentre, nearby); ok {
		if large {
			hops = 1
		}
		return r.rotated(relays), hops
	}
	if !large {
		return nil, 0
	}
	relays, _ = r.before(storeReaders, responsive)
	return r.rotated(relays), 0
}

// rotated returns the relays in an order that differs between entries, so that each relay
// is the first of about as many entries.
func (r *Roster) rotated(relays []string) []string {
	if len(relays) == 0 {
		return nil
	}
	first := int(xxh3.HashString(r.node) % uint64(len(relays)))
	return slices.Concat(relays[first:], relays[:first])
}

// IsRelay reports whether other entries read the store's tables from this one.
func (r *Roster) IsRelay() bool {
	nearby := func(row Row) bool { return row.DataCentre == r.self.DataCentre }
	if _, behind := r.before(relaysPerDataCentre, nearby); !behind {
		return len(r.rows) > relaysPerDataCentre
	}
	_, behind := r.before(storeReaders, everyEntry)
	return !behind && len(r.rows) > r.maxFlat
}

func everyEntry(Row) bool { return true }

// ShardEntries returns all entries as candidates for owning shards.
func (r *Roster) ShardEntries() []shard.Entry {
	entries := make([]shard.Entry, 0, len(r.rows))
	for node, row := range r.rows {
		entries = append(entries, shardEntry(node, row))
	}
	return entries
}

// Serving returns all entries that serve callers: those with a row, and those that have
// removed theirs and may still drain. Amounts that all entries share are divided by their
// number.
func (r *Roster) Serving() []shard.Entry {
	entries := r.ShardEntries()
	for node, entry := range r.leaving {
		entries = append(entries, shardEntry(node, entry.row))
	}
	return entries
}

func shardEntry(node string, row Row) shard.Entry {
	return shard.Entry{Name: node, Address: row.Address, Cores: row.Cores}
}
