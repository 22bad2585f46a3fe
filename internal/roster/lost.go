package roster

import (
	"maps"
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
	// nodes are all entries but the one that probes, sorted; nil: not listed yet.
	nodes []string
	// appeared holds the entries that were not listed at first and not probed since. The
	// row of one that ended may have come back with the store.
	appeared map[string]bool
	// last is the node that was probed last in the round over all nodes.
	last   string
	silent map[string]*silence
}

// silence is an entry that did not answer.
type silence struct {
	// version is that of the entry's row.
	version         uint64
	since, probedAt time.Time
	probes          int
}

// NewLost returns a Lost that has probed nobody.
func NewLost() *Lost { return &Lost{silent: map[string]*silence{}, appeared: map[string]bool{}} }

// List records all entries but the one that probes. It is also called while this entry does
// not probe.
func (l *Lost) List(nodes []string) {
	sorted := slices.Sorted(slices.Values(nodes))
	if sorted == nil {
		sorted = []string{}
	}
	gone := func(node string) bool {
		_, listed := slices.BinarySearch(sorted, node)
		return !listed
	}
	maps.DeleteFunc(l.silent, func(node string, _ *silence) bool { return gone(node) })
	maps.DeleteFunc(l.appeared, func(node string, _ bool) bool { return gone(node) })
	for _, node := range sorted {
		if _, known := slices.BinarySearch(l.nodes, node); !known && l.nodes != nil {
			l.appeared[node] = true
		}
	}
	l.nodes = sorted
}

// Forget forgets the probes, when another entry probes.
func (l *Lost) Forget() { clear(l.silent) }

// Next returns the entry to probe now: one that did not answer some time ago, one that has
// appeared, or the next in the round over all.
func (l *Lost) Next(now time.Time) (node string, ok bool) {
	for node, s := range l.silent {
		if now.Sub(s.probedAt) >= reprobePause {
			return node, true
		}
	}
	for node := range l.appeared {
		delete(l.appeared, node)
		return node, true
	}
	if len(l.nodes) == 0 {
		return "", false
	}
	at, found := slices.BinarySearch(l.nodes, l.last)
	if found {
		at++
	}
	l.last = l.nodes[at%len(l.nodes)]
	_, waits := l.silent[l.last]
	return l.last, !waits
}

// Answered records that an entry answered a probe.
func (l *Lost) Answered(node string) { delete(l.silent, node) }

// Silent records that an entry did not answer a probe, and reports whether its row may be
// removed. version is that of its row before the probe: an entry that wrote its row again
// may have another address.
func (l *Lost) Silent(now time.Time, node string, version uint64) bool {
	s := l.silent[node]
	if s == nil || s.version != version {
		s = &silence{version: version, since: now}
		l.silent[node] = s
	}
	s.probes, s.probedAt = s.probes+1, now
	few := len(l.silent) <= max(1, int(maxSilentShare*float64(len(l.nodes)+1)))
	return few && s.probes >= lostProbes && now.Sub(s.since) >= lostAfter
}
