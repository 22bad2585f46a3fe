package routing

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	// maxSharedPrefixes bounds the shared prefixes whose ranking and width are
	// kept.
	maxSharedPrefixes = 1 << 13
	// defaultSharedLevel is the message boundary that ends the shared prefix
	// when the pool declares none; 1 is the end of the first message.
	defaultSharedLevel = 2
	// outsideShareGain is the weight of one request in the share of requests
	// that were placed outside the prefix's set.
	outsideShareGain = 0.05
	// widenAbove and narrowBelow are the shares of requests placed outside the
	// prefix's set at which the set grows and shrinks.
	widenAbove  = 0.25
	narrowBelow = 0.05
	// widthChangeInterval is the shortest time between two changes of width.
	widthChangeInterval = time.Second
	// maxWidth leaves ranked servers beyond the set as candidates.
	maxWidth = maxRanked - 4
)

// sharedOffsets are the sizes in bytes of the shared prefixes of a prompt that
// consists of a single message.
var sharedOffsets = [...]uint32{4096, 16384}

// sharedPrefix is the rendezvous ranking of the servers for a prefix that
// requests share. The first width servers of the ranking are the prefix's set:
// they should hold the prefix at its present request rate.
type sharedPrefix struct {
	set          *Set
	ranking      ranking
	width        int
	minWidth     int
	outsideShare float64
	changedAt    time.Time
}

// sharedPrefixes holds the shared prefixes in use.
type sharedPrefixes struct {
	prefixes *simplelru.LRU[uint64, *sharedPrefix]
	// minWidth is the width of a prefix whose request rate is low.
	minWidth int
}

func newSharedPrefixes(capacity, minWidth int) sharedPrefixes {
	return sharedPrefixes{prefixes: newLRU[uint64, *sharedPrefix](capacity), minWidth: minWidth}
}

// of returns the shared prefix of a prefix point. Its ranking is computed once
// per set, so that frequent prefixes need no pass over all servers.
func (l sharedPrefixes) of(point uint64, set *Set) *sharedPrefix {
	prefix, ok := l.prefixes.Get(point)
	if !ok {
		prefix = &sharedPrefix{width: l.minWidth, minWidth: l.minWidth}
		l.prefixes.Add(point, prefix)
	}
	if prefix.set != set {
		prefix.set = set
		set.rank(point, &prefix.ranking)
	}
	return prefix
}

// observe adapts the width to whether a request was placed inside the set: when
// many requests are served better outside, the set is too small.
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

// includes reports whether the server is in the prefix's set.
func (l *sharedPrefix) includes(server int32) bool {
	for _, member := range l.ranking.servers[:min(l.width, l.ranking.length)] {
		if member == server {
			return true
		}
	}
	return false
}

// sharedPoints returns the indexes into the chain of the prefixes that requests
// share, the main one first; only the first n are valid.
func sharedPoints(req *Request, policy *PoolPolicy) (points [2]int, n int) {
	if len(req.Chain) == 0 {
		return points, 0
	}
	if len(req.Levels) >= 2 {
		declared := policy.SharedLevel
		if declared <= 0 {
			declared = defaultSharedLevel
		}
		// The last boundary ends the whole prompt, which is rarely shared.
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
