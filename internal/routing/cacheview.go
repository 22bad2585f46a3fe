package routing

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxObservedPoints bounds the prefix points with observations.
	maxObservedPoints = 1 << 16
	// maxObservationsPerPoint bounds the servers recorded for one point.
	maxObservationsPerPoint = 4
)

// observation records that a server's agent reported a prefix point as cached
// or absent, or that a request with it was handed off there.
type observation struct {
	server      *backend
	seenAt      int64 // Unix nanoseconds: a third of the memory of a time.Time
	incarnation uint64
	absent      bool
}

// pointObservations holds the observations of one prefix point.
type pointObservations struct {
	servers [maxObservationsPerPoint]observation
}

// cacheView maps prefix points to observations; the least recently used points
// are evicted first.
type cacheView struct {
	points *simplelru.LRU[uint64, *pointObservations]
}

func newCacheView(capacity int) cacheView {
	return cacheView{points: newLRU[uint64, *pointObservations](capacity)}
}

// put stores an observation of a point, in place of the server's earlier one or
// of the oldest.
func (t cacheView) put(point uint64, seen observation) {
	observed, ok := t.points.Get(point)
	if !ok {
		observed = &pointObservations{}
		t.points.Add(point, observed)
	}
	at := 0
	for i := range observed.servers {
		if observed.servers[i].server == seen.server {
			at = i
			break
		}
		if observed.servers[i].seenAt < observed.servers[at].seenAt {
			at = i
		}
	}
	observed.servers[at] = seen
}

// observations returns the observations of a point; nil when there are none.
func (t cacheView) observations(point uint64) []observation {
	observed, ok := t.points.Peek(point)
	if !ok {
		return nil
	}
	return observed.servers[:]
}

// current reports whether an observation still applies. A different incarnation
// of the engine started with an empty cache, and a prefix that was not observed
// for longer than the server's cache retention has most likely been evicted.
func (h observation) current(now time.Time) bool {
	if h.server == nil || h.incarnation != h.server.signals.Incarnation {
		return false
	}
	return now.UnixNano()-h.seenAt <= int64(h.server.retention())
}
