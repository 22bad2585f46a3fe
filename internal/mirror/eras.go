package mirror

import "github.com/jayproxy/jayproxy/internal/platform"

// What a copy keeps when the store begins a new era with older rows.

// maxHeld bounds the versions of a row that a copy does not accept in a new era because it
// knows a newer value. A writer that is alive writes its row again and again.
const maxHeld = 3

// tombstone records the removal of a row.
type tombstone struct {
	// version is the newest version under which the row is known to be removed, origin that
	// of its removal.
	version, origin uint64
	// changed is the version after which readers of the copy have to hear of it.
	changed uint64
	// last is the row's last value. ended: the row was removed, rather than lost with the
	// store's era.
	last  []byte
	ended bool
	// held counts the versions of the row that were not accepted since.
	held int
}

// row returns the record of the removal.
func (t tombstone) row(key string) Row { return Row{Key: key, Version: t.version, Removed: true} }

// Known returns a snapshot with the removals that the copy remembers, for a copy that has
// just entered an era.
func (c *Copy) Known() Batch {
	batch := c.Since(0)
	for key, t := range c.tombstones {
		if t.ended {
			batch.Rows = append(batch.Rows, t.row(key))
		}
	}
	return batch
}

// keeps reports whether the known value of a row stays, as the store has an older one under
// a newer version.
func (c *Copy) keeps(row, known Row) bool {
	if c.policy.Older == nil {
		return false
	}
	restored := platform.EraOf(known.origin) < platform.EraOf(row.Version) && known.held < maxHeld
	return (restored || c.policy.Lasting) && c.policy.Older(row.Key, known.Value, row.Value)
}

// staysRemoved reports whether a row of the store is ignored: its version is older than the
// removal, or it is a row that had ended before the store's era began.
func (c *Copy) staysRemoved(row Row) bool {
	t, ok := c.tombstones[row.Key]
	if !ok {
		return false
	}
	if row.Version <= t.version {
		return true
	}
	restored := platform.EraOf(t.origin) < platform.EraOf(row.Version) && t.held < maxHeld
	if !restored || !t.ended || c.policy.Older == nil || c.policy.Lasting {
		return false
	}
	// The first version may be the store's older copy of a value that was never read here.
	if t.held > 0 && c.policy.Older(row.Key, row.Value, t.last) {
		return false
	}
	t.version, t.changed, t.held = row.Version, row.Version, t.held+1
	c.tombstones[row.Key] = t
	return true
}

// correct takes the value of a row from another copy that knows a newer one, under the same
// version or one of an earlier era. It reports whether the row has changed.
func (c *Copy) correct(row, known Row) bool {
	if c.policy.Older == nil || !c.policy.Lasting && !mayCorrect(row, known) || string(row.Value) == string(known.Value) || !c.policy.Older(row.Key, row.Value, known.Value) {
		return false
	}
	known.Value, known.held = row.Value, 0
	// Two values under one version: the store's value of this era is the older one.
	known.origin = 0
	// Readers of this copy may have asked for changes up to its version already.
	known.changed = c.version + 1
	c.rows[row.Key] = known
	return true
}

// mayCorrect reports whether the version of a row leaves open which value is newer.
func mayCorrect(row, known Row) bool {
	return row.Version == known.Version || platform.EraOf(row.Version) < platform.EraOf(known.Version)
}

// correctRemoval removes a row of the store's older copy that another copy knows to have
// ended. It reports whether the row has changed.
func (c *Copy) correctRemoval(row, known Row) bool {
	if c.policy.Older == nil || c.policy.Lasting || !mayCorrect(row, known) || known.Version > c.began {
		return false
	}
	delete(c.rows, row.Key)
	// Readers of this copy may have asked for changes up to its version already.
	c.tombstones[row.Key] = tombstone{version: known.Version, changed: c.version + 1, origin: row.Version, last: known.Value, ended: true, held: 1}
	return true
}
