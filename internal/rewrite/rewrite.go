// Package rewrite remembers the latest changes of a table's rows, so that they are made
// again when the store comes back from a copy without them. Each process writes its own
// changes again; those of processes that ended are left to one process for all. The package
// does no I/O, starts no goroutine and reads no clock. It is not safe for concurrent use.
package rewrite

import (
	"maps"
	"time"
)

// Settings of a Log.
type Settings struct {
	// Keep is how long a change is remembered: longer than the copy may be old and the
	// store away.
	Keep time.Duration
	// OthersAfter is how long the changes of other processes are left to them.
	OthersAfter time.Duration
	// Max bounds the changes that are remembered; further ones are not.
	Max int
}

// change is the latest known change of a row: it was put, or removed.
type change struct {
	put, own bool
	at       time.Time
	// lost: the store's copy is without the change, which is due to be made again.
	lost bool
	due  time.Time
}

// Log holds the latest changes of the rows of one table, by key.
type Log struct {
	settings Settings
	changes  map[string]change
}

// New returns an empty log.
func New(settings Settings) *Log { return &Log{settings: settings, changes: map[string]change{}} }

// Wrote records that the store accepted a change of this process: a put, or a removal.
func (l *Log) Wrote(now time.Time, key string, put bool) {
	l.record(key, change{put: put, own: true, at: now})
}

// Learned records a change that was read from the table, or reported by another process.
func (l *Log) Learned(now time.Time, key string, put bool) {
	known, ok := l.changes[key]
	l.record(key, change{put: put, own: ok && known.own && known.put == put, at: now})
}

func (l *Log) record(key string, c change) {
	if _, ok := l.changes[key]; ok || len(l.changes) < l.settings.Max {
		l.changes[key] = c
	}
}

// Removed reports whether the row is known to be removed, and whether this process did it.
func (l *Log) Removed(key string) (removed, own bool) {
	known, ok := l.changes[key]
	return ok && !known.put, ok && known.own
}

// Restored finds the changes that the store is without in a new era, and returns their
// number. present reports whether the store has a row. This process makes its own changes
// again after delay.
func (l *Log) Restored(now time.Time, delay time.Duration, present func(key string) bool) int {
	lost := 0
	for key, c := range l.changes {
		if c.lost = c.put != present(key); c.lost {
			lost++
			c.at, c.due = now, now.Add(delay)
			if !c.own {
				c.due = c.due.Add(l.settings.OthersAfter)
			}
		}
		l.changes[key] = c
	}
	return lost
}

// Lost reports whether the store is without the latest change of a row.
func (l *Log) Lost(key string) bool { return l.changes[key].lost }

// Due returns the changes to make again now: put (true) or remove (false). Those of other
// processes are included if this one stands in for them. Each is returned once.
func (l *Log) Due(now time.Time, standsIn bool) map[string]bool {
	due := map[string]bool{}
	for key, c := range l.changes {
		if c.lost && (c.own || standsIn) && !now.Before(c.due) {
			due[key] = c.put
			c.lost = false
			l.changes[key] = c
		}
	}
	return due
}

// Tick forgets old changes.
func (l *Log) Tick(now time.Time) {
	maps.DeleteFunc(l.changes, func(_ string, c change) bool { return now.Sub(c.at) >= l.settings.Keep })
}
