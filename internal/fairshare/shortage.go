package fairshare

import "time"

const (
	// waitingTime is how long a request counts as waiting after it found no capacity:
	// until then it has tried again, at the latest after 100 ms and the time of an
	// exchange with an owner.
	waitingTime = 250 * time.Millisecond
	// elsewhereTime is waitingTime for requests that wait at other entries, which report
	// twice a second.
	elsewhereTime = 700 * time.Millisecond
)

// shortage holds, by priority, when a request that is not above its workspace's share last
// found no capacity: here, and at other entries.
type shortage struct {
	hereAt, elsewhereAt [levels]time.Time
}

func (s *shortage) elsewhere(now time.Time, priority int) { s.elsewhereAt[priority] = now }

// NoCapacity records that a request found no capacity. One above its workspace's share has
// no claim to more, and is not counted.
func (s *Shares) NoCapacity(now time.Time, key Key) {
	if !s.counts(key) || s.Standing(now, key).Above() {
		return
	}
	s.shortage.hereAt[key.Priority] = now
	s.counter(now, key).waitingAt = now
}

// Yields reports whether a request must leave free capacity to others: it is above its
// workspace's share, and one that is not, of the same or a higher priority, waits here.
func (s *Shares) Yields(now time.Time, key Key) bool {
	return s.yields(now, key, &s.shortage.hereAt, waitingTime)
}

// YieldsElsewhere is Yields for requests that wait at other entries.
func (s *Shares) YieldsElsewhere(now time.Time, key Key) bool {
	return s.yields(now, key, &s.shortage.elsewhereAt, elsewhereTime)
}

func (s *Shares) yields(now time.Time, key Key, short *[levels]time.Time, lasting time.Duration) bool {
	if !s.counts(key) {
		return false
	}
	for _, at := range short[:key.Priority+1] {
		if now.Sub(at) <= lasting {
			return s.Standing(now, key).Above()
		}
	}
	return false
}

// Short reports whether requests wait here or at another entry, so that reports are worth
// their bytes.
func (s *Shares) Short(now time.Time) bool {
	for priority := range levels {
		if now.Sub(s.shortage.hereAt[priority]) <= ReportLifetime || now.Sub(s.shortage.elsewhereAt[priority]) <= ReportLifetime {
			return true
		}
	}
	return false
}

// YieldedRounds is how many rounds of placements there are to one in which requests that
// yield to those at other entries are placed too. Meanwhile each other entry has had a
// round of its own. Capacity that nobody else takes stays idle for no longer.
const YieldedRounds = 3
