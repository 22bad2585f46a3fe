package sim

import (
	"math/rand/v2"
	"time"

	"github.com/jayproxy/jayproxy/internal/engine"
)

type record struct {
	event engine.CacheEvent
	at    time.Time
}

// journal numbers cache events and publishes them as badly as the faults say.
// The engine's lock guards it.
type journal struct {
	incarnation uint64
	seq         uint64
	limit       int
	random      *rand.Rand
	pending     []record
	held        *engine.CacheEvent
	// ring holds the published events; first is the number of those dropped
	// from its front, and droppedSeq the highest sequence number among these.
	ring        []engine.CacheEvent
	first       int
	droppedSeq  uint64
	subscribers map[*Subscription]struct{}
}

func newJournal(incarnation uint64, limit int, random *rand.Rand) *journal {
	return &journal{incarnation: incarnation, limit: limit, random: random, subscribers: map[*Subscription]struct{}{}}
}

func (j *journal) add(now time.Time, kind engine.CacheEventKind, blocks []engine.BlockHash) {
	if len(blocks) == 0 && kind != engine.CacheCleared {
		return
	}
	j.seq++
	event := engine.CacheEvent{Incarnation: j.incarnation, Seq: j.seq, Kind: kind, Blocks: blocks}
	j.pending = append(j.pending, record{event: event, at: now})
}

// publish moves the events that are old enough to the subscribers and returns
// when the next one is due, or the zero time.
func (j *journal) publish(now time.Time, faults Faults) time.Time {
	delay := time.Duration(faults.EventDelayMS) * time.Millisecond
	published := false
	for len(j.pending) > 0 {
		due := j.pending[0].at.Add(delay)
		if due.After(now) {
			break
		}
		event := j.pending[0].event
		event.Age = now.Sub(j.pending[0].at)
		j.pending = j.pending[1:]
		published = j.distort(event, faults) || published
	}
	if published {
		j.trim()
		for s := range j.subscribers {
			s.signal()
		}
	}
	if len(j.pending) == 0 {
		return time.Time{}
	}
	return j.pending[0].at.Add(delay)
}

// distort applies loss, reordering and doubling to one event.
func (j *journal) distort(event engine.CacheEvent, faults Faults) bool {
	if j.random.Float64() < faults.EventLoss {
		return false
	}
	if j.held == nil && j.random.Float64() < faults.EventReordered {
		j.held = &event
		return false
	}
	j.ring = append(j.ring, event)
	if j.random.Float64() < faults.EventDoubled {
		j.ring = append(j.ring, event)
	}
	if j.held != nil {
		j.ring = append(j.ring, *j.held)
		j.held = nil
	}
	return true
}

// trim bounds the ring; it lets it grow to twice the limit, so that the copy
// costs little an event.
func (j *journal) trim() {
	if len(j.ring) < 2*j.limit {
		return
	}
	drop := len(j.ring) - j.limit
	for _, event := range j.ring[:drop] {
		j.droppedSeq = max(j.droppedSeq, event.Seq)
	}
	j.ring = append([]engine.CacheEvent(nil), j.ring[drop:]...)
	j.first += drop
}

// from finds the place in the ring where events after a sequence number start.
func (j *journal) from(after uint64) (int, error) {
	if after < j.droppedSeq || after > j.seq {
		return 0, ErrGap
	}
	for i, event := range j.ring {
		if event.Seq > after {
			return j.first + i, nil
		}
	}
	return j.first + len(j.ring), nil
}
