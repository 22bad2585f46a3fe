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

// journal numbers cache events and publishes them with the delay, loss and
// reordering that the faults demand. Core.mu guards it.
type journal struct {
	incarnation uint64
	seq         uint64
	limit       int
	random      *rand.Rand
	pending     []record
	// delayed is an event that the EventReordered fault publishes after its successor.
	delayed *engine.CacheEvent
	// ring holds the published events; first is the number of events dropped from
	// its front, and droppedSeq the highest sequence number among these.
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

// publish makes the events that are old enough available to subscribers and
// returns when the next one is due, or the zero time if there is none.
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
		published = j.applyFaults(event, faults) || published
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

// applyFaults adds one event to the ring, subject to loss, reordering and
// duplication, and reports whether it added any.
func (j *journal) applyFaults(event engine.CacheEvent, faults Faults) bool {
	if j.random.Float64() < faults.EventLoss {
		return false
	}
	if j.delayed == nil && j.random.Float64() < faults.EventReordered {
		j.delayed = &event
		return false
	}
	j.ring = append(j.ring, event)
	if j.random.Float64() < faults.EventDoubled {
		j.ring = append(j.ring, event)
	}
	if j.delayed != nil {
		j.ring = append(j.ring, *j.delayed)
		j.delayed = nil
	}
	return true
}

// trim bounds the ring. It lets the ring grow to twice the limit, so that the cost
// of the copy is spread over many events.
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

// from returns the position of the first published event after a sequence number,
// or ErrGap if events after it were dropped or it was never reached.
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
