// Package feedsource decides from where an entry reads a table of the platform's store:
// from the store itself or only from relays, the entries that pass it on. Every read of
// the store is a call of which a fleet may make only so many a second; if each entry made
// all of its own, their number would grow with the fleet, and after a simultaneous start
// of all entries with the fleet times the size of the table. The package has no I/O,
// goroutine or clock; callers provide the locking.
package feedsource

import "time"

// Outcome is the result of an attempt to read a table through relays.
type Outcome int

// The outcomes.
const (
	// NoRelay: this entry is one that reads from the store.
	NoRelay Outcome = iota
	// Unavailable: no relay answered, or none has data yet.
	Unavailable
	// Fresh: a relay returned recent data.
	Fresh
	// Stale: a relay answered, but its data is too old.
	Stale
)

const (
	// callPausePerEntry and maxCallPause limit how often an entry reads from the store
	// while its relays have no recent data, or the store has too many calls. Relays detect
	// an outage first; without the limit 103 entries called an unreachable store 7,000
	// times in eight seconds.
	callPausePerEntry = 100 * time.Millisecond
	maxCallPause      = 3 * time.Second
	// startCalls is how many calls an entry makes at least that reads all tables from the
	// store, and maxStartTime how long the store may take to accept those of all entries.
	// If it would take longer, only the relays read from it.
	startCalls   = 5
	maxStartTime = 200 * time.Millisecond
	// startPatience is how long an entry waits then for its relays to have data, at least;
	// the longest wait is twice that, so that not all entries end it at once.
	startPatience = 2 * time.Second
)

// Settings describe the start of a process.
type Settings struct {
	// Bootstrap: the whole system starts for the first time, and has no callers yet.
	Bootstrap bool
	// ReadsPerSecond is how many reads the store accepts from the whole fleet; 0: no limit
	// is known.
	ReadsPerSecond float64
	// Spread in [0, 1) differs between entries.
	Spread float64
}

// Source is the source of one table.
type Source struct {
	settings Settings
	// triedAt is when the table was first tried to be read.
	triedAt time.Time
	// calledAt is when the store was last called. busy: it refused that call because it
	// had too many.
	calledAt time.Time
	busy     bool
}

// New returns the source of a table of a process that starts.
func New(settings Settings) Source { return Source{settings: settings} }

// MayCallStore reports whether to call the store after the relays were tried. hasData:
// the table was read before. entries is the number of entries in the fleet.
func (s *Source) MayCallStore(now time.Time, relays Outcome, hasData bool, entries int) bool {
	if s.triedAt.IsZero() {
		s.triedAt = now
	}
	switch {
	case relays == NoRelay:
		return true
	case relays == Fresh:
		return false
	case !hasData && now.Before(s.patientUntil(entries)):
		return false
	case relays == Stale || s.busy:
		return now.Sub(s.calledAt) >= callPause(entries)
	}
	return true
}

// patientUntil is until when a table that was never read is read from relays only.
func (s *Source) patientUntil(entries int) time.Time {
	if !s.Crowded(entries) {
		return s.triedAt
	}
	return s.triedAt.Add(time.Duration((1 + s.settings.Spread) * float64(startPatience)))
}

// Crowded reports whether a first read should leave the store to the relays: all entries
// start, or would ask the store for more than it soon accepts if they did.
func (s *Source) Crowded(entries int) bool {
	limit := s.settings.ReadsPerSecond
	return s.settings.Bootstrap || limit > 0 && float64(entries*startCalls) > limit*maxStartTime.Seconds()
}

// Called records a call of the store. busy: the store refused it because it had too many.
func (s *Source) Called(now time.Time, busy bool) { s.calledAt, s.busy = now, busy }

// callPause is the least time between two calls of one entry while all entries may call.
func callPause(entries int) time.Duration {
	return min(time.Duration(entries)*callPausePerEntry, maxCallPause)
}
