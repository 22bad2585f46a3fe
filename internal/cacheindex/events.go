package cacheindex

import (
	"slices"
	"time"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// Apply takes events in the order of their arrival.
func (x *Index) Apply(now time.Time, events []engine.CacheEvent) {
	for _, event := range events {
		x.stats.Events++
		x.take(now, event)
	}
	x.Tick(now)
}

// dated is an event with the time at which it happened, as far as its age tells.
type dated struct {
	engine.CacheEvent
	at time.Time
}

// take judges one event.
//
// Events of an earlier boot describe blocks that are gone; taken for news,
// they would send requests to a cold engine. Events that came before would put
// back what has been removed since. Both are ignored. An event from further on
// waits for the ones between.
func (x *Index) take(now time.Time, event engine.CacheEvent) {
	if event.Incarnation < x.incarnation {
		x.stats.Ignored++
		return
	}
	x.ObserveIncarnation(event.Incarnation)
	x.blind = false
	if x.next == 0 {
		x.begin(now, event)
	}
	happened := dated{CacheEvent: event, at: now.Add(-event.Age)}
	switch {
	case event.Seq < x.next:
		x.stats.Ignored++
	case event.Seq > x.next:
		x.hold(now, happened)
	default:
		x.apply(happened)
		x.next++
		x.drain(now)
	}
}

// begin starts at the first event of a boot. Numbers start at 1, so a later
// one means that some came before and are not known.
func (x *Index) begin(now time.Time, event engine.CacheEvent) {
	x.next = event.Seq
	if event.Seq > 1 {
		x.doubt(now)
	}
}

// hold keeps an event that came too early. What it removes is gone in any
// case, so this much is applied at once.
func (x *Index) hold(now time.Time, event dated) {
	if len(x.held) == 0 {
		x.heldSince = now
	}
	x.held[event.Seq] = event
	if event.Kind == engine.BlocksRemoved {
		for _, block := range event.Blocks {
			x.remove(event.at, block, event.Age)
		}
	}
	if len(x.held) > x.options.MaxPending {
		x.skipMissing(now)
	}
}

// drain applies the held events that are due.
func (x *Index) drain(now time.Time) {
	for {
		event, ok := x.held[x.next]
		if !ok {
			break
		}
		delete(x.held, x.next)
		x.apply(event)
		x.next++
		x.heldSince = now
	}
	if len(x.held) == 0 {
		x.heldSince = time.Time{}
	}
}

// skipMissing gives the missing events up as lost.
func (x *Index) skipMissing(now time.Time) {
	oldest := uint64(0)
	for seq := range x.held {
		if oldest == 0 || seq < oldest {
			oldest = seq
		}
	}
	x.stats.Lost += oldest - x.next
	x.next = oldest
	x.doubt(now)
	x.drain(now)
}

// StreamLost tells that the stream of events can't be continued where it was.
// Nothing is claimed until one arrives again: without removals, all that was
// ever stored would seem to be there still.
func (x *Index) StreamLost(now time.Time) {
	x.blind = true
	x.doubt(now)
	x.next = 0
	x.held = map[uint64]dated{}
	x.heldSince = time.Time{}
}

// doubt notes that the picture may be wrong from now on.
func (x *Index) doubt(now time.Time) {
	if x.doubtAt == 0 {
		x.doubtSince = now
	}
	x.doubtAt = x.stampOf(now)
	if x.options.Repair == Resync && !x.wantSnapshot {
		x.wantSnapshot = true
		x.journal = nil
	}
}

func (x *Index) apply(event dated) {
	x.change(event)
	if x.wantSnapshot && len(x.journal) < x.options.MaxPending {
		x.journal = append(x.journal, event)
	}
}

// change makes the event's change to the picture.
func (x *Index) change(event dated) {
	switch event.Kind {
	case engine.BlocksStored:
		at := x.stampOf(event.at)
		for _, block := range event.Blocks {
			x.blocks[block] = max(at, x.blocks[block])
		}
	case engine.BlocksRemoved:
		for _, block := range event.Blocks {
			x.remove(event.at, block, event.Age)
		}
	case engine.CacheCleared:
		x.blocks = map[engine.BlockHash]stamp{}
	}
}

// remove takes a block out, unless it was used after it was removed: the event
// is late, and the engine has computed the block again since. Its own event of
// that may be lost. Taken at face value, such removals would also say that
// blocks live for no time at all.
func (x *Index) remove(at time.Time, block engine.BlockHash, age time.Duration) {
	used, ok := x.blocks[block]
	if !ok {
		return
	}
	if age > 0 && used > x.stampOf(at) {
		return
	}
	delete(x.blocks, block)
	if used != unknownUse {
		x.survival.add(at.Sub(x.base), x.since(at, used))
	}
}

// Snapshot replaces the picture by the engine's own. False: it is of an
// earlier boot, or older than what has been applied and can be applied again.
// Events at or before its number are ignored from now on.
func (x *Index) Snapshot(now time.Time, snapshot engine.CacheSnapshot) bool {
	if snapshot.Incarnation < x.incarnation {
		return false
	}
	x.ObserveIncarnation(snapshot.Incarnation)
	if !x.reaches(snapshot.Seq) {
		return false
	}
	blocks := make(map[engine.BlockHash]stamp, len(snapshot.Blocks))
	for _, block := range snapshot.Blocks {
		blocks[block] = x.blocks[block]
	}
	x.blocks = blocks
	x.stats.Snapshots++
	x.doubtAt = 0
	x.blind = false
	for _, event := range x.journal {
		if event.Seq > snapshot.Seq {
			x.change(event)
		}
	}
	x.wantSnapshot, x.journal = false, nil
	x.next = max(x.next, snapshot.Seq+1)
	for seq := range x.held {
		if seq < x.next {
			delete(x.held, seq)
		}
	}
	x.drain(now)
	return true
}

// reaches tells whether the journal can lead from the snapshot's number to
// what has been applied, without a hole.
func (x *Index) reaches(seq uint64) bool {
	if x.next == 0 || seq+1 >= x.next {
		return true
	}
	wanted := x.next - seq - 1
	have := uint64(0)
	for _, event := range slices.Backward(x.journal) {
		if event.Seq != x.next-1-have {
			break
		}
		have++
	}
	return have >= wanted
}
