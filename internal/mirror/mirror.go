// Package mirror keeps an in-memory copy of one table of the platform's store,
// so that a process can get the table from another process when the store does
// not serve it. All copies use the store's row versions, so a copy can apply
// batches from any source. The package does no I/O, starts no goroutine and
// reads no clock. It is not safe for concurrent use.
package mirror

import "sort"

// Row is one row of the table, or the record of its removal.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
	// changed is the version of the row's last change to a value that is not
	// equivalent to the one before.
	changed uint64
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

// maxTombstones bounds the removed rows whose versions are kept for Since.
const maxTombstones = 2048

// Copy is a copy of one table. The zero value is empty, at version 0.
type Copy struct {
	rows       map[string]Row
	tombstones map[string]uint64
	version    uint64
	// prunedAt is the version up to which removals are not known, as tombstones were
	// pruned or a snapshot was applied, which lists no removals. Since cannot list the
	// changes after an older version and returns a snapshot.
	prunedAt uint64
	// equivalent reports whether two values of a row mean the same; nil: none do.
	equivalent func(old, new []byte) bool
}

// NewCopy returns an empty copy. equivalent reports whether two values of a row
// mean the same. Such a change is stored, but Apply does not report it and Since
// returns it only in a snapshot: heartbeats change a row every second and would
// otherwise be most of the traffic between processes.
func NewCopy(equivalent func(old, new []byte) bool) Copy { return Copy{equivalent: equivalent} }

// Version returns the newest version that the copy covers; 0: none yet.
func (c *Copy) Version() uint64 { return c.version }

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
// back to an older version, and a snapshot older than the copy is ignored: its
// source may lag behind.
func (c *Copy) Apply(batch Batch) []Row {
	if c.rows == nil {
		c.rows, c.tombstones = map[string]Row{}, map[string]uint64{}
	}
	if batch.Snapshot && batch.Version < c.version {
		return nil
	}
	var changed []Row
	listed := make(map[string]bool, len(batch.Rows))
	for _, row := range batch.Rows {
		listed[row.Key] = true
		if c.applyRow(row) {
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

func (c *Copy) applyRow(row Row) bool {
	if row.Version <= c.rows[row.Key].Version || row.Version <= c.tombstones[row.Key] {
		return false
	}
	old, existed := c.rows[row.Key]
	if !row.Removed {
		delete(c.tombstones, row.Key)
		row.changed = row.Version
		unchanged := existed && c.equivalent != nil && c.equivalent(old.Value, row.Value)
		if unchanged {
			row.changed = old.changed
		}
		c.rows[row.Key] = row
		return !unchanged
	}
	delete(c.rows, row.Key)
	c.tombstones[row.Key] = row.Version
	return existed
}

// removeUnlisted removes the rows that a snapshot does not list.
func (c *Copy) removeUnlisted(listed map[string]bool, version uint64) []Row {
	var removed []Row
	for key := range c.rows {
		if listed[key] {
			continue
		}
		delete(c.rows, key)
		c.tombstones[key] = version
		removed = append(removed, Row{Key: key, Version: version, Removed: true})
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
	c.tombstones = map[string]uint64{}
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
	for key, version := range c.tombstones {
		if version > after {
			batch.Rows = append(batch.Rows, Row{Key: key, Version: version, Removed: true})
		}
	}
	return batch
}
