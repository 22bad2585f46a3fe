// Package cacheindex tracks which blocks one engine has cached, from a stream of events that
// may be late, duplicated, reordered or lost. It has no I/O, goroutine or clock; callers
// lock. A wrong result costs only time: the engine computes blocks that are missing, and
// block hashes include the workspace, so that no block of another workspace matches.
package cacheindex

import (
	"math"
	"time"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// Repair selects how the index recovers from lost events.
type Repair int

// Repair modes.
const (
	// Resync requests a snapshot of the engine's cache.
	Resync Repair = iota + 1
	// Expire is for engines without snapshots: blocks that weren't used recently are no
	// longer reported as cached.
	Expire
)

// Options configures an Index. Zero values select the defaults.
type Options struct {
	Repair Repair
	// ReorderWait is how long a missing event is waited for before it counts as lost.
	ReorderWait time.Duration
	// MaxPending bounds the events that wait for a missing one, and the journal.
	MaxPending int
}

const (
	defaultReorderWait = 200 * time.Millisecond
	defaultMaxPending  = 4096
	// confirmedFactor of the retention: a block used within it is reported as cached
	// although events were lost since.
	confirmedFactor = 0.9
	// stampUnit is the resolution of the time of last use. 10 ms in 32 bits cover 497 days
	// from the creation of the index.
	stampUnit = 10 * time.Millisecond
	// unknownUse marks a block whose last use is unknown.
	unknownUse = stamp(0)
	// snapshotTimeout is how long blocks are reported as usual while a snapshot is
	// outstanding. After it, blocks that weren't used recently are not reported.
	snapshotTimeout = 5 * time.Second
	// staleFactor of the retention after its last use a block counts as removed by a lost
	// event. It is kept until then, because its age at removal contributes to the
	// retention.
	staleFactor = 2.0
	// sweepInterval is the time between two searches for such blocks.
	sweepInterval = time.Second
)

func (o Options) withDefaults() Options {
	if o.Repair == 0 {
		o.Repair = Resync
	}
	if o.ReorderWait == 0 {
		o.ReorderWait = defaultReorderWait
	}
	if o.MaxPending == 0 {
		o.MaxPending = defaultMaxPending
	}
	return o
}

// stamp is a time since the creation of the index, in stampUnit, starting at 1.
type stamp uint32

// Stats counts the events and snapshots received.
type Stats struct {
	Events, Ignored, Lost, Snapshots uint64
}

// Index is a view of one engine's cache. Not safe for concurrent use.
type Index struct {
	options     Options
	base        time.Time
	incarnation uint64
	// next is the expected sequence number; 0 before the first event.
	next    uint64
	blocks  map[engine.BlockHash]stamp
	pending map[uint64]timedEvent
	// gapSince is when the wait for the current missing event began; zero if there is none.
	gapSince time.Time
	// incompleteAt is when events were last lost; 0 if the view is complete.
	incompleteAt stamp
	// incompleteSince is when the view became incomplete.
	incompleteSince time.Time
	// journal holds the events applied since a snapshot was requested, so that they can be
	// applied again to a snapshot that is slightly older.
	journal        []timedEvent
	snapshotNeeded bool
	// streamLost: no event has arrived since the stream of events was lost.
	streamLost bool
	sweptAt    time.Time
	retention  retentionEstimator
	stats      Stats
}

// New returns an index of an engine whose cache content is unknown.
func New(now time.Time, options Options) *Index {
	x := &Index{options: options.withDefaults(), base: now}
	x.reset(0)
	return x
}

// reset clears the index: the engine has restarted with an empty cache.
func (x *Index) reset(incarnation uint64) {
	x.incarnation = incarnation
	x.next = 0
	x.blocks = map[engine.BlockHash]stamp{}
	x.pending = map[uint64]timedEvent{}
	x.gapSince = time.Time{}
	x.incompleteAt = 0
	x.streamLost = false
	x.journal = nil
	x.snapshotNeeded = x.options.Repair == Resync
	x.retention = retentionEstimator{}
}

// Incarnation returns the engine incarnation that the index describes.
func (x *Index) Incarnation() uint64 { return x.incarnation }

// ObserveIncarnation processes the incarnation in an answer or report of the engine. A
// higher one clears the index: the engine's cache is empty since its restart, and the
// events of the new incarnation may arrive much later.
func (x *Index) ObserveIncarnation(incarnation uint64) {
	if incarnation > x.incarnation {
		x.reset(incarnation)
	}
}

// NeedsSnapshot reports whether a snapshot is requested.
func (x *Index) NeedsSnapshot() bool { return x.snapshotNeeded }

// Next returns the sequence number of the next event; 0 before the first one.
func (x *Index) Next() uint64 { return x.next }

// Len returns the number of blocks held, including those not reported as cached.
func (x *Index) Len() int { return len(x.blocks) }

// Stats returns the counts since the index was created.
func (x *Index) Stats() Stats { return x.stats }

// Has reports whether the block is cached as far as is known. While events are lost, only
// recently used blocks are reported: engines evict the least recently used blocks, so these
// are still cached whatever removals were missed.
func (x *Index) Has(now time.Time, block engine.BlockHash) bool {
	if x.streamLost {
		return false
	}
	used, ok := x.blocks[block]
	return ok && (x.incompleteAt == 0 || x.confirmed(now, used))
}

// confirmed reports whether a block used at the stamp is reported as cached while the view
// is incomplete.
func (x *Index) confirmed(now time.Time, used stamp) bool {
	if x.options.Repair == Resync && now.Sub(x.incompleteSince) < snapshotTimeout {
		return true // A snapshot is expected soon.
	}
	return used > x.incompleteAt || x.usedWithin(now, used, confirmedFactor)
}

// usedWithin reports whether a stamp is at most factor times the retention old.
func (x *Index) usedWithin(now time.Time, used stamp, factor float64) bool {
	return float64(x.since(now, used)) <= factor*float64(x.Retention(now))
}

// MarkUsed records that the engine has just computed or reused these blocks. While the view
// is incomplete it adds blocks that are not held.
func (x *Index) MarkUsed(now time.Time, blocks []engine.BlockHash) {
	at := x.stampOf(now)
	for _, block := range blocks {
		if _, ok := x.blocks[block]; ok || x.incompleteAt != 0 {
			x.blocks[block] = at
		}
	}
}

// Retention returns how long an unused block currently stays cached. Before the first
// removal it is the age of the index.
func (x *Index) Retention(now time.Time) time.Duration {
	return x.retention.value(now.Sub(x.base))
}

// HasEvicted reports whether blocks were removed from the engine's cache in this incarnation.
func (x *Index) HasEvicted() bool { return x.retention.count > 0 }

// Tick stops waiting for overdue events and deletes blocks that must be gone.
func (x *Index) Tick(now time.Time) {
	if !x.gapSince.IsZero() && now.Sub(x.gapSince) >= x.options.ReorderWait {
		x.skipGap(now)
	}
	if x.incompleteAt != 0 && now.Sub(x.sweptAt) >= sweepInterval {
		x.sweep(now)
	}
}

// sweep deletes blocks whose removal was lost.
func (x *Index) sweep(now time.Time) {
	x.sweptAt = now
	for block, used := range x.blocks {
		if !x.confirmed(now, used) && !x.usedWithin(now, used, staleFactor) {
			delete(x.blocks, block)
		}
	}
}

func (x *Index) stampOf(now time.Time) stamp {
	units := now.Sub(x.base) / stampUnit
	return stamp(min(max(units, 0), math.MaxUint32-1)) + 1
}

func (x *Index) since(now time.Time, used stamp) time.Duration {
	at := x.stampOf(now)
	if used >= at {
		return 0
	}
	return time.Duration(at-used) * stampUnit
}

// CachedBlocks returns the blocks for which Has returns true, in no order.
func (x *Index) CachedBlocks(now time.Time) []engine.BlockHash {
	cached := make([]engine.BlockHash, 0, len(x.blocks))
	for block := range x.blocks {
		if x.Has(now, block) {
			cached = append(cached, block)
		}
	}
	return cached
}
