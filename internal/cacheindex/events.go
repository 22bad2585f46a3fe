package cacheindex

import (
	"slices"
	"time"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// Apply processes events in the order of their arrival.
func (x *Index) Apply(now time.Time, events []engine.CacheEvent) {
	for _, event := range events {
		x.stats.Events++
		x.process(now, event)
	}
	x.Tick(now)
}

// timedEvent is an event and the time at which it happened: its arrival minus its age.
type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

// process applies, buffers or ignores one event. Events of an earlier incarnation describe
// blocks that are gone. Events below the expected sequence number were applied already; again
// they could restore blocks that were removed since. Both are ignored. An event above the
// expected number waits for the missing ones.
func (x *Index) process(now time.Time, event engine.CacheEvent) {
	if event.Incarnation < x.incarnation {
		x.stats.Ignored++
		return
	}
	x.ObserveIncarnation(event.Incarnation)
	x.streamLost = false
	if x.next == 0 {
		x.start(now, event)
	}
	timed := timedEvent{CacheEvent: event, at: now.Add(-event.Age)}
	switch {
	case event.Seq < x.next:
		x.stats.Ignored++
	case event.Seq > x.next:
		x.buffer(now, timed)
	default:
		x.apply(timed)
		x.next++
		x.applyPending(now)
	}
}

// start sets the expected sequence number at the first event of an incarnation. Numbers
// start at 1, so a higher one means that earlier events were missed.
func (x *Index) start(now time.Time, event engine.CacheEvent) {
	x.next = event.Seq
	if event.Seq > 1 {
		x.markIncomplete(now)
	}
}

// buffer keeps an event whose predecessors are missing. Its removals are applied at once,
// as the blocks are gone in any case.
func (x *Index) buffer(now time.Time, event timedEvent) {
	if len(x.pending) == 0 {
		x.gapSince = now
	}
	x.pending[event.Seq] = event
	if event.Kind == engine.BlocksRemoved {
		for _, block := range event.Blocks {
			x.remove(event.at, block, event.Age)
		}
	}
	if len(x.pending) > x.options.MaxPending {
		x.skipGap(now)
	}
}

// applyPending applies the pending events that follow without a gap.
func (x *Index) applyPending(now time.Time) {
	for {
		event, ok := x.pending[x.next]
		if !ok {
			break
		}
		delete(x.pending, x.next)
		x.apply(event)
		x.next++
		x.gapSince = now
	}
	if len(x.pending) == 0 {
		x.gapSince = time.Time{}
	}
}

// skipGap counts the missing events as lost and continues with the pending ones.
func (x *Index) skipGap(now time.Time) {
	lowest := uint64(0)
	for seq := range x.pending {
		if lowest == 0 || seq < lowest {
			lowest = seq
		}
	}
	x.stats.Lost += lowest - x.next
	x.next = lowest
	x.markIncomplete(now)
	x.applyPending(now)
}

// StreamLost records that the event stream can't be resumed where it ended. No block is
// reported as cached until the next event arrives, since removals would go unnoticed.
func (x *Index) StreamLost(now time.Time) {
	x.streamLost = true
	x.markIncomplete(now)
	x.next = 0
	x.pending = map[uint64]timedEvent{}
	x.gapSince = time.Time{}
}

// markIncomplete records that events were lost at now and, in Resync mode, requests a snapshot.
func (x *Index) markIncomplete(now time.Time) {
	if x.incompleteAt == 0 {
		x.incompleteSince = now
	}
	x.incompleteAt = x.stampOf(now)
	if x.options.Repair == Resync && !x.snapshotNeeded {
		x.snapshotNeeded = true
		x.journal = nil
	}
}

func (x *Index) apply(event timedEvent) {
	x.update(event)
	if x.snapshotNeeded && len(x.journal) < x.options.MaxPending {
		x.journal = append(x.journal, event)
	}
}

// update applies an event to the set of blocks.
func (x *Index) update(event timedEvent) {
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

// remove deletes a block, unless it was used after the time of the removal: the event is
// then late, and the engine has computed the block again since. Counting such a removal
// would also make the retention too short.
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
		x.retention.add(at.Sub(x.base), x.since(at, used))
	}
}

// Snapshot replaces the set of blocks by the engine's own and applies later events from the
// journal again. It returns false if the snapshot is of an earlier incarnation, or so old
// that the journal doesn't hold all events after it. Events up to the snapshot's sequence
// number are ignored from now on.
func (x *Index) Snapshot(now time.Time, snapshot engine.CacheSnapshot) bool {
	if snapshot.Incarnation < x.incarnation {
		return false
	}
	x.ObserveIncarnation(snapshot.Incarnation)
	if !x.journalCovers(snapshot.Seq) {
		return false
	}
	blocks := make(map[engine.BlockHash]stamp, len(snapshot.Blocks))
	for _, block := range snapshot.Blocks {
		blocks[block] = x.blocks[block]
	}
	x.blocks = blocks
	x.stats.Snapshots++
	x.incompleteAt = 0
	x.streamLost = false
	for _, event := range x.journal {
		if event.Seq > snapshot.Seq {
			x.update(event)
		}
	}
	x.snapshotNeeded, x.journal = false, nil
	x.next = max(x.next, snapshot.Seq+1)
	for seq := range x.pending {
		if seq < x.next {
			delete(x.pending, seq)
		}
	}
	x.applyPending(now)
	return true
}

// journalCovers reports whether the journal holds all applied events after seq.
func (x *Index) journalCovers(seq uint64) bool {
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
