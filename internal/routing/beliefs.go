package routing

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxObservedPoints bounds the prefix points that are remembered.
	maxObservedPoints = 1 << 16
	// maxObservationsPerPoint bounds the servers remembered for one point.
	maxObservationsPerPoint = 4
)

// observation is one server that was seen to hold, or not to hold, a prefix point.
type observation struct {
	server      *backend
	seenAt      int64 // Unix nanoseconds: a third of the memory of a time.Time
	incarnation uint64
	absent      bool
}

// pointObservations is what was seen of one prefix point.
type pointObservations struct {
	servers [maxObservationsPerPoint]observation
}

// cacheView maps prefix points to the servers that hold them, least recently
// used points forgotten first.
type cacheView struct {
	points *simplelru.LRU[uint64, *pointObservations]
}

func newCacheView(capacity int) cacheView {
	return cacheView{points: newLRU[uint64, *pointObservations](capacity)}
}

// put remembers what a server's answer said of a point; the stalest holder
// makes room.
func (t cacheView) put(point uint64, seen observation) {
	entry, ok := t.points.Get(point)
	if !ok {
		entry = &pointObservations{}
		t.points.Add(point, entry)
	}
	at := 0
	for i := range entry.servers {
		if entry.servers[i].server == seen.server {
			at = i
			break
		}
		if entry.servers[i].seenAt < entry.servers[at].seenAt {
			at = i
		}
	}
	entry.servers[at] = seen
}

// observations returns the observations of a point, nil when nothing is known.
func (t cacheView) observations(point uint64) []observation {
	entry, ok := t.points.Peek(point)
	if !ok {
		return nil
	}
	return entry.servers[:]
}

// current tells whether a holder may still be relied on. A belief about an
// earlier incarnation is about a cache that is gone: the engine came back
// cold. One older than the cache's survival time has most likely been evicted.
func (h observation) current(now time.Time) bool {
	if h.server == nil || h.incarnation != h.server.signals.Incarnation {
		return false
	}
	return now.UnixNano()-h.seenAt <= int64(h.server.retention())
}
