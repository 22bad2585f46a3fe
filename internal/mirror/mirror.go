// Package mirror keeps an in-memory copy of one table of the platform's store,
// so that a process can get the table from another process when the store does
// not serve it. All copies use the store's row versions, so a copy can apply
// batches from any source. The store may come back from an older copy of its rows,
// in a new era; what a copy knows better then is kept. The package does no I/O,
// starts no goroutine and reads no clock. It is not safe for concurrent use.
package mirror

import (
	"sort"

	"github.com/jayproxy/jayproxy/internal/platform"
)

// Row is one row of the table, or the record of its removal.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
	// Ended: another copy knows that the removed row had ended, rather than expired or lost
	// with the store's era. Set by Apply.
	Ended bool `json:"-"`
	// changed is the version of the row's last change to a value that is not
	// equivalent to the one before.
	changed uint64
	// origin is the version under which the value was written, as far as is known. It is of
	// an earlier era than Version while the store has an older value. held counts the
	// versions since.
	origin uint64
	held   int
}

// Batch holds the rows that changed after some version or, if Snapshot is set,
// all rows of the table. Version is the newest version that it covers.
type Batch struct {
	Rows     []Row  `json:"rows"`
	Version  uint64 `json:"version"`
	Snapshot bool   `json:"whole"`
}

// Size returns the bytes of the batch's keys and values.
func (b *Batch) Size() int {
	size := 0
	for _, row := range b.Rows {
		size += len(row.Key) + len(row.Value)
	}
	return size
}

// WithoutEras returns the batch with the store's own commit numbers for versions.
func (b *Batch) WithoutEras() Batch {
	bare := Batch{Version: platform.CommitOf(b.Version), Snapshot: b.Snapshot, Rows: make([]Row, len(b.Rows))}
	for i, row := range b.Rows {
		row.Version = platform.CommitOf(row.Version)
		bare.Rows[i] = row
	}
	return bare
}

// maxTombstones bounds the removed rows whose versions are kept for Since.
const maxTombstones = 2048

// Policy says what the values of a table's rows mean. The zero value makes no use of them:
// the store's word holds.
type Policy struct {
	// Same reports whether two values of a row mean the same; nil: none do. Such a change
	// is stored, but Apply does not report it and Since returns it only in a snapshot:
	// heartbeats change a row every second and would otherwise be most of the traffic
	// between processes.
	Same func(old, new []byte) bool
	// Older reports whether a row's writer wrote value before known, by what it says in
	// them. In a new era a copy keeps the known value then, and a row that had ended stays
	// removed, for maxHeld versions at most.
	Older func(key string, known, value []byte) bool
	// Lasting: the writer removes no rows and Older always holds, without that limit.
	Lasting bool
}

// Copy is a copy of one table. The zero value is empty, at version 0.
type Copy struct {
	rows       map[string]Row
	tombstones map[string]tombstone
	version    uint64
	// prunedAt is the version up to which removals are not known, as tombstones were
	// pruned or a snapshot was applied, which lists no removals. Since cannot list the
	// changes after an older version and returns a snapshot.
	prunedAt uint64
	// began is the version of the batch with which the copy entered its era. Rows up to it
	// may be of the store's older copy.
	began  uint64
	policy Policy
	// unseen counts the rows that came and went between two batches.
	unseen int
}

// NewCopy returns an empty copy.
func NewCopy(policy Policy) Copy { return Copy{policy: policy} }

// Version returns the newest version that the copy covers; 0: none yet.
func (c *Copy) Version() uint64 { return c.version }

// UnseenRows returns how many rows came and went between two batches, so that the copy never had
// their values. It does not count those of which a snapshot shows nothing.
func (c *Copy) UnseenRows() int { return c.unseen }

// RowVersion returns the version of a row; 0: there is none.
func (c *Copy) RowVersion(key string) uint64 { return c.rows[key].Version }

// Rows returns the rows, sorted by key.
func (c *Copy) Rows() []Row {
	rows := make([]Row, 0, len(c.rows))
	for _, row := range c.rows {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// Apply applies a batch and returns the rows that it changed. A row never goes
// back to an older version. The source of a batch older than the copy lags behind, or has
// not heard of the store's era yet; it adds only values that are newer by the policy.
func (c *Copy) Apply(batch Batch) []Row {
	if c.rows == nil {
		c.rows, c.tombstones = map[string]Row{}, map[string]tombstone{}
	}
	lagging := batch.Version < c.version && (batch.Snapshot || platform.EraOf(batch.Version) < platform.EraOf(c.version))
	if lagging && c.policy.Older == nil {
		return nil
	}
	if platform.EraOf(batch.Version) > platform.EraOf(c.version) {
		c.began = batch.Version
	}
	var changed []Row
	listed := make(map[string]bool, len(batch.Rows))
	for _, row := range batch.Rows {
		listed[row.Key] = true
		if c.wasRemoved(row) {
			continue
		}
		if c.applyRow(&row) {
			changed = append(changed, row)
		}
	}
	if batch.Snapshot {
		changed = append(changed, c.removeUnlisted(listed, batch.Version)...)
		c.prunedAt = max(c.prunedAt, batch.Version)
	}
	c.version = max(c.version, batch.Version)
	c.pruneTombstones()
	return changed
}

// wasRemoved reports whether a row is missing in the copy though its version is covered. The
// copy may have lost the record of the removal, or have had the table from another copy.
func (c *Copy) wasRemoved(row Row) bool {
	_, known := c.rows[row.Key]
	return !known && row.Version <= c.version && !c.policy.Lasting
}

// applyRow applies a row and reports whether that changed the copy.
func (c *Copy) applyRow(row *Row) bool {
	old, existed := c.rows[row.Key]
	switch {
	case row.Removed:
		return c.applyRemoval(row, old, existed)
	case existed && row.Version <= old.Version:
		return c.correct(*row, old)
	case !existed && c.staysRemoved(*row):
		return false
	case existed && c.keeps(*row, old):
		old.Version, old.held = row.Version, old.held+1
		c.rows[row.Key] = old
		return false
	}
	delete(c.tombstones, row.Key)
	row.changed, row.origin = row.Version, row.Version
	same := existed && c.policy.Same != nil && c.policy.Same(old.Value, row.Value)
	if same {
		row.changed = old.changed
	}
	if existed && string(old.Value) == string(row.Value) {
		row.origin = old.origin
	}
	c.rows[row.Key] = *row
	return !same
}

func (c *Copy) applyRemoval(row *Row, old Row, existed bool) bool {
	if existed && row.Version <= old.Version {
		row.Ended = c.correctRemoval(*row, old)
		return row.Ended
	}
	if row.Version <= c.tombstones[row.Key].version {
		return false
	}
	if !existed && c.version > 0 && row.Version > c.version {
		c.unseen++
	}
	delete(c.rows, row.Key)
	c.tombstones[row.Key] = tombstone{version: row.Version, changed: row.Version, origin: row.Version, last: old.Value, ended: true}
	return existed
}

// removeUnlisted removes the rows that a snapshot does not list, unless they are newer. What
// the store lost with a new era has not ended, and stays if the table's rows are lasting. A
// row of the store's older copy that another copy of this era lacks has ended.
func (c *Copy) removeUnlisted(listed map[string]bool, version uint64) []Row {
	var removed []Row
	for key, row := range c.rows {
		lost := platform.EraOf(row.origin) < platform.EraOf(version)
		if listed[key] || row.Version > version || lost && c.policy.Lasting {
			continue
		}
		delete(c.rows, key)
		c.tombstones[key] = tombstone{version: version, changed: version, origin: version, last: row.Value, ended: !lost}
		ended := !lost && row.Version <= c.began && c.policy.Older != nil
		removed = append(removed, Row{Key: key, Version: version, Removed: true, Ended: ended})
	}
	sort.Slice(removed, func(i, j int) bool { return removed[i].Key < removed[j].Key })
	return removed
}

// pruneTombstones drops all tombstones when there are too many. Since then
// returns a snapshot for older versions.
func (c *Copy) pruneTombstones() {
	if len(c.tombstones) <= maxTombstones {
		return
	}
	c.prunedAt = c.version
	c.tombstones = map[string]tombstone{}
}

// Covers reports whether Since can list the changes after a version.
func (c *Copy) Covers(after uint64) bool { return after > 0 && after >= c.prunedAt }

// Since returns the rows that changed after a version, or a snapshot if the copy does
// not cover the changes after it.
func (c *Copy) Since(after uint64) Batch {
	batch := Batch{Version: c.version, Snapshot: !c.Covers(after)}
	for _, row := range c.Rows() {
		if batch.Snapshot || row.changed > after {
			batch.Rows = append(batch.Rows, row)
		}
	}
	if batch.Snapshot {
		return batch
	}
	for key, t := range c.tombstones {
		if t.changed > after {
			batch.Rows = append(batch.Rows, t.row(key))
		}
	}
	return batch
}
