// Package mirror keeps a copy of one table of the platform's store in memory,
// so that a process which the store turns away can be fed by another. All
// copies count in the store's own versions, so a batch from any source fits.
// It has no I/O, goroutine or clock; callers lock.
package mirror

import "sort"

// Row is one row of the table, or the mark of its removal.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
	// changed is the version at which the row last changed in a way that matters.
	changed uint64
}

// Batch is what changed after some version, or with Whole the table at one
// moment. Version is the newest version that it covers.
type Batch struct {
	Rows     []Row  `json:"rows"`
	Version  uint64 `json:"version"`
	Snapshot bool   `json:"whole"`
}

// maxRemoved bounds the marks of removed rows that are kept for others.
const maxRemoved = 2048

// Copy is one table. The zero value is empty and knows nothing.
type Copy struct {
	rows    map[string]Row
	removed map[string]uint64
	version uint64
	// floor: changes up to here may be forgotten; older questions get the whole table.
	floor uint64
	// same tells whether two values of a row mean the same; nil: none do.
	same func(old, new []byte) bool
}

// NewCopy makes an empty copy. same tells whether two values of a row mean the
// same: such changes are taken in, but handed on to nobody. Heartbeats change
// a row every second, and would be most of what others are told.
func NewCopy(same func(old, new []byte) bool) Copy { return Copy{same: same} }

// Version is the newest version that the copy covers; 0: nothing is known yet.
func (c *Copy) Version() uint64 { return c.version }

// Rows returns the rows in order of keys.
func (c *Copy) Rows() []Row {
	all := make([]Row, 0, len(c.rows))
	for _, row := range c.rows {
		all = append(all, row)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

// Apply takes in a batch and returns the rows that changed by it. A row never
// goes back to an older version: a source may be behind, and its whole table
// may lack what is known here already.
func (c *Copy) Apply(batch Batch) []Row {
	if c.rows == nil {
		c.rows, c.removed = map[string]Row{}, map[string]uint64{}
	}
	if batch.Snapshot && batch.Version < c.version {
		return nil
	}
	var changed []Row
	named := make(map[string]bool, len(batch.Rows))
	for _, row := range batch.Rows {
		named[row.Key] = true
		if c.take(row) {
			changed = append(changed, row)
		}
	}
	if batch.Snapshot {
		changed = append(changed, c.drop(named, batch.Version)...)
	}
	c.version = max(c.version, batch.Version)
	c.trim()
	return changed
}

func (c *Copy) take(row Row) bool {
	if row.Version <= c.rows[row.Key].Version || row.Version <= c.removed[row.Key] {
		return false
	}
	old, had := c.rows[row.Key]
	if !row.Removed {
		delete(c.removed, row.Key)
		row.changed = row.Version
		equal := had && c.same != nil && c.same(old.Value, row.Value)
		if equal {
			row.changed = old.changed
		}
		c.rows[row.Key] = row
		return !equal
	}
	delete(c.rows, row.Key)
	c.removed[row.Key] = row.Version
	return had
}

// drop removes the rows that a whole table does not name.
func (c *Copy) drop(named map[string]bool, version uint64) []Row {
	var gone []Row
	for key := range c.rows {
		if named[key] {
			continue
		}
		delete(c.rows, key)
		c.removed[key] = version
		gone = append(gone, Row{Key: key, Version: version, Removed: true})
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Key < gone[j].Key })
	return gone
}

// trim forgets all marks when there are too many: who asks for less than the
// floor gets the whole table instead.
func (c *Copy) trim() {
	if len(c.removed) <= maxRemoved {
		return
	}
	c.floor = c.version
	c.removed = map[string]uint64{}
}

// Since returns what changed after a version.
func (c *Copy) Since(after uint64) Batch {
	batch := Batch{Version: c.version, Snapshot: after == 0 || after < c.floor}
	for _, row := range c.Rows() {
		if batch.Snapshot || row.changed > after {
			batch.Rows = append(batch.Rows, row)
		}
	}
	if batch.Snapshot {
		return batch
	}
	for key, version := range c.removed {
		if version > after {
			batch.Rows = append(batch.Rows, Row{Key: key, Version: version, Removed: true})
		}
	}
	return batch
}
