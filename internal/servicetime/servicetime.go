// Package servicetime tells how long requests have taken lately. It does no I/O and reads no clock.
// It is not safe for concurrent use.
package servicetime

import (
	"slices"
	"time"
)

const (
	// maxSamples of a kind of request are kept, for window.
	maxSamples = 64
	window     = 30 * time.Second
	// highShare of the requests took no longer than High.
	highShare = 0.9
)

type sample struct {
	at   time.Time
	took time.Duration
}

// Log holds the durations of recent requests, by kind.
type Log struct{ samples map[string][]sample }

// New returns an empty log.
func New() *Log { return &Log{samples: map[string][]sample{}} }

// Add records a request that ended now.
func (l *Log) Add(now time.Time, kind string, took time.Duration) {
	recent := append(l.recent(now, kind), sample{now, took})
	l.samples[kind] = recent[max(0, len(recent)-maxSamples):]
}

// High returns a duration that few recent requests of a kind exceeded; 0: there are none.
func (l *Log) High(now time.Time, kind string) time.Duration {
	recent := l.recent(now, kind)
	if len(recent) == 0 {
		return 0
	}
	took := make([]time.Duration, len(recent))
	for i, s := range recent {
		took[i] = s.took
	}
	slices.Sort(took)
	return took[min(len(took)-1, int(highShare*float64(len(took))))]
}

// Expire drops what is not recent.
func (l *Log) Expire(now time.Time) {
	for kind := range l.samples {
		if recent := l.recent(now, kind); len(recent) == 0 {
			delete(l.samples, kind)
		} else {
			l.samples[kind] = recent
		}
	}
}

func (l *Log) recent(now time.Time, kind string) []sample {
	all := l.samples[kind]
	for len(all) > 0 && now.Sub(all[0].at) > window {
		all = all[1:]
	}
	return all
}
