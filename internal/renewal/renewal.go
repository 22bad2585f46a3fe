// Package renewal tells whether a registration that disappeared can have expired for lack of
// renewals, from the changes that were read and from when they were read. A registration that
// cannot have expired was removed by its server, or on its behalf. The package does no I/O and
// reads no clock. It is not safe for concurrent use.
package renewal

import "time"

const (
	// missedToExpire is how many intervals without a renewal end a registration.
	missedToExpire = 3
	// minSpacing is the least time between two renewals of a server, in intervals: servers
	// renew their registrations approximately once an interval.
	minSpacing = 0.95
)

// Change is one change of a registration.
type Change struct {
	Key     string
	Removed bool
}

// Log holds for each registration a moment after which it was last renewed.
type Log struct {
	interval time.Duration
	renewed  map[string]time.Time
}

// New returns an empty log of registrations that are renewed once an interval; 0: not known, so
// that any registration may have expired.
func New(interval time.Duration) *Log {
	return &Log{interval: interval, renewed: map[string]time.Time{}}
}

// Observe records changes that were made between two moments, in the order in which the store
// accepted them. from is zero if it is not known when they began.
func (l *Log) Observe(changes []Change, from, to time.Time) {
	if l.interval <= 0 || from.IsZero() {
		return
	}
	for _, change := range changes {
		if !change.Removed {
			l.renew(change.Key, from, to)
		}
	}
}

// renew records a renewal that was made between two moments. It came a spacing after the one
// before, at the earliest.
func (l *Log) renew(key string, from, to time.Time) {
	next := l.renewed[key].Add(l.spacing())
	if next.Before(from) {
		next = from
	}
	if next.After(to) {
		next = to
	}
	l.renewed[key] = next
}

func (l *Log) spacing() time.Duration { return time.Duration(minSpacing * float64(l.interval)) }

// Silence returns the longest time for which a registration may have been without a renewal
// before it was removed, at a moment at the latest; known is false without any renewal.
func (l *Log) Silence(key string, removed time.Time) (silence time.Duration, known bool) {
	renewed, known := l.renewed[key]
	return max(0, removed.Sub(renewed)), known
}

// MayHaveExpired reports whether a registration that was removed, at a moment at the latest, may
// have expired.
func (l *Log) MayHaveExpired(key string, removed time.Time) bool {
	silence, known := l.Silence(key, removed)
	return !known || silence >= missedToExpire*l.interval
}

// Forget drops a registration.
func (l *Log) Forget(key string) { delete(l.renewed, key) }

// Reset drops all registrations: the store may have lost renewals that were read.
func (l *Log) Reset() { clear(l.renewed) }
