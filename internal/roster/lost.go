package roster

import (
	"slices"
	"time"
)

const (
	// lostAfter is how long an entry must have been silent, and lostProbes how many probes
	// in a row it must have left unanswered, before its row is removed. An entry that was
	// only cut off registers again.
	lostAfter  = time.Minute
	lostProbes = 3
	// reprobePause is the pause between two probes of an entry that did not answer.
	reprobePause = 15 * time.Second
	// maxSilentShare of the entries may be silent when a row is removed: if more are, the
	// entry that probes has rather lost its own link.
	maxSilentShare = 0.1
)

// Lost finds the entries that are gone for good, whose rows nobody else removes. They
// would be counted in all that entries share, and tried as relays, for ever.
type Lost struct {
	// last is the node that was probed last in the round over all nodes.
	last   string
	silent map[string]*silence
}

// silence is an entry that did not answer.
type silence struct {
	since, probedAt time.Time
	probes          int
}

// NewLost returns a Lost that has probed nobody.
func NewLost() *Lost { return &Lost{silent: map[string]*silence{}} }

// Next returns the entry to probe now: one that did not answer some time ago, or the next
// in the round over all. nodes are all entries but the one that probes.
func (l *Lost) Next(now time.Time, nodes []string) (node string, ok bool) {
	for node := range l.silent {
		if !slices.Contains(nodes, node) {
			delete(l.silent, node)
		}
	}
	for node, s := range l.silent {
		if now.Sub(s.probedAt) >= reprobePause {
			return node, true
		}
	}
	if len(nodes) == 0 {
		return "", false
	}
	sorted := slices.Sorted(slices.Values(nodes))
	at, found := slices.BinarySearch(sorted, l.last)
	if found {
		at++
	}
	l.last = sorted[at%len(sorted)]
	_, waits := l.silent[l.last]
	return l.last, !waits
}

// Answered records that an entry answered a probe.
func (l *Lost) Answered(node string) { delete(l.silent, node) }

// Silent records that an entry did not answer a probe, and reports whether its row may be
// removed. entries is the number of all entries.
func (l *Lost) Silent(now time.Time, node string, entries int) bool {
	s := l.silent[node]
	if s == nil {
		s = &silence{since: now}
		l.silent[node] = s
	}
	s.probes, s.probedAt = s.probes+1, now
	few := len(l.silent) <= max(1, int(maxSilentShare*float64(entries)))
	return few && s.probes >= lostProbes && now.Sub(s.since) >= lostAfter
}
