package routing

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	// maxSharedPrefixes bounds the shared prefixes whose order and width are kept.
	maxSharedPrefixes = 1 << 13
	// defaultSharedLevel is the message boundary used when none is declared.
	defaultSharedLevel = 2
	// outsideShareGain weighs one request in the share of requests that left the set.
	outsideShareGain = 0.05
	// widenAbove and narrowBelow are shares of requests that were better
	// served outside the prefix's own set.
	widenAbove  = 0.25
	narrowBelow = 0.05
	// widthChangeInterval is the least time between two changes of width.
	widthChangeInterval = time.Second
	// maxWidth leaves room in the order for the servers behind the set.
	maxWidth = maxRanked - 4
)

// The fixed offsets in bytes that stand for levels in prompts of one message.
var sharedOffsets = [...]uint32{4096, 16384}

// sharedPrefix is a shared prefix: its rendezvous order in the set and how many
// servers of the order hold it at its present rate.
type sharedPrefix struct {
	set          *Set
	ranking      ranking
	width        int
	minWidth     int
	outsideShare float64
	changedAt    time.Time
}

// sharedPrefixes keeps the shared prefixes that are in use.
type sharedPrefixes struct {
	entries *simplelru.LRU[uint64, *sharedPrefix]
	// minWidth is the width of a prefix that is not hot.
	minWidth int
}

func newSharedPrefixes(capacity, minWidth int) sharedPrefixes {
	return sharedPrefixes{entries: newLRU[uint64, *sharedPrefix](capacity), minWidth: minWidth}
}

// of returns the level of a prefix point. The order is computed once a set,
// so that hot prefixes cost no pass over the fleet.
func (l sharedPrefixes) of(point uint64, set *Set) *sharedPrefix {
	entry, ok := l.entries.Get(point)
	if !ok {
		entry = &sharedPrefix{width: l.minWidth, minWidth: l.minWidth}
		l.entries.Add(point, entry)
	}
	if entry.set != set {
		entry.set = set
		set.rank(point, &entry.ranking)
	}
	return entry
}

// observe learns from a choice whether the set is wide enough. A prefix whose
// requests keep being served better outside its set is too hot for it.
func (l *sharedPrefix) observe(now time.Time, inside bool) {
	outside := 0.0
	if !inside {
		outside = 1
	}
	l.outsideShare += outsideShareGain * (outside - l.outsideShare)
	if now.Sub(l.changedAt) < widthChangeInterval {
		return
	}
	switch {
	case l.outsideShare > widenAbove && l.width < min(maxWidth, l.ranking.length):
		l.width++
	case l.outsideShare < narrowBelow && l.width > l.minWidth && now.Sub(l.changedAt) > 10*widthChangeInterval:
		l.width--
	default:
		return
	}
	l.changedAt = now
	l.outsideShare = (widenAbove + narrowBelow) / 2
}

// includes tells whether the server is in the prefix's own set.
func (l *sharedPrefix) includes(server int32) bool {
	for _, member := range l.ranking.servers[:min(l.width, l.ranking.length)] {
		if member == server {
			return true
		}
	}
	return false
}

// sharedPoints returns the indexes into the chain of the levels that requests
// share, the main one first; n of them count.
func sharedPoints(req *Request, policy *PoolPolicy) (points [2]int, n int) {
	if len(req.Chain) == 0 {
		return points, 0
	}
	if len(req.Levels) >= 2 {
		declared := policy.SharedLevel
		if declared <= 0 {
			declared = defaultSharedLevel
		}
		// The last boundary is the whole prompt, which hardly two share.
		at := min(declared, len(req.Levels)-1)
		points[0] = req.Levels[at-1]
		return points, 1
	}
	for _, offset := range sharedOffsets {
		if at, ok := pointAt(req.Chain, offset); ok {
			points[n] = at
			n++
		}
	}
	if n == 0 {
		n = 1 // a short prompt: its first point
	}
	return points, n
}

func pointAt(chain []*jayv1.PrefixPoint, offset uint32) (int, bool) {
	for i, point := range chain {
		if point.GetBytes() == offset {
			return i, true
		}
	}
	return 0, false
}
