// Package cacheindex knows which blocks one engine has cached, from a stream
// of events that come late, twice, out of order or never. It has no I/O,
// goroutine or clock; callers lock. A wrong claim costs time and nothing else:
// the engine computes what is not there, and hashes cover the workspace.
package cacheindex

import (
	"math"
	"time"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// Repair says what the index does about lost events.
type Repair int

// The ways of repair.
const (
	// Resync asks for a snapshot of the engine's cache.
	Resync Repair = iota + 1
	// Expire is for engines without snapshots: it stops claiming blocks that
	// nothing has confirmed lately.
	Expire
)

// Options of an index. Zero values take the defaults.
type Options struct {
	Repair Repair
	// ReorderWait is how long a missing event may be late before it counts as lost.
	ReorderWait time.Duration
	// MaxPending bounds the events that wait for a missing one.
	MaxPending int
}

const (
	defaultReorderWait = 200 * time.Millisecond
	defaultMaxHeld     = 4096
	// confirmShare of the survival time: a block that was used within it is
	// claimed although events were lost since.
	confirmShare = 0.9
	// stampUnit is the resolution of a block's last use. 10 ms in 32 bits reach
	// for 497 days after the index was made.
	stampUnit = 10 * time.Millisecond
	// unknownUse marks a block whose last use is not known.
	unknownUse = stamp(0)
	// resyncPatience is how long a snapshot may be outstanding before the index
	// stops claiming blocks that nothing has confirmed lately.
	resyncPatience = 5 * time.Second
	// staleShare of the survival time after its last use, a block is taken to be
	// gone without a trace: its removal was lost. Until then it is held,
	// unclaimed, because the age at which it is removed tells the survival time.
	staleShare = 2.0
	// sweepEvery is how often such blocks are looked for.
	sweepEvery = time.Second
)

func (o Options) withDefaults() Options {
	if o.Repair == 0 {
		o.Repair = Resync
	}
	if o.ReorderWait == 0 {
		o.ReorderWait = defaultReorderWait
	}
	if o.MaxPending == 0 {
		o.MaxPending = defaultMaxHeld
	}
	return o
}

// stamp is a time in units since the index was made, from 1.
type stamp uint32

// Stats count what came in.
type Stats struct {
	Events, Ignored, Lost, Snapshots uint64
}

// Index is the picture of one engine's cache. Not safe for concurrent use.
type Index struct {
	options     Options
	base        time.Time
	incarnation uint64
	// next is the sequence number that is due; 0 before the first event.
	next   uint64
	blocks map[engine.BlockHash]stamp
	held   map[uint64]dated
	// heldSince is when the oldest wait for a missing event began.
	heldSince time.Time
	// doubtAt is when events were last found to be lost; zero: the picture is whole.
	doubtAt stamp
	// doubtSince is when the picture was last whole.
	doubtSince time.Time
	// journal holds what was applied since a snapshot was asked for, so that a
	// snapshot that is a little older does not undo it.
	journal      []dated
	wantSnapshot bool
	// blind: no event has come since the stream of events was lost.
	blind    bool
	sweptAt  time.Time
	survival survivalMeter
	stats    Stats
}

// New makes an index of an engine of which nothing is known.
func New(now time.Time, options Options) *Index {
	x := &Index{options: options.withDefaults(), base: now}
	x.reset(0)
	return x
}

// reset forgets everything: the engine has come back cold.
func (x *Index) reset(incarnation uint64) {
	x.incarnation = incarnation
	x.next = 0
	x.blocks = map[engine.BlockHash]stamp{}
	x.held = map[uint64]dated{}
	x.heldSince = time.Time{}
	x.doubtAt = 0
	x.blind = false
	x.journal = nil
	x.wantSnapshot = x.options.Repair == Resync
	x.survival = survivalMeter{}
}

// Incarnation that the picture is of.
func (x *Index) Incarnation() uint64 { return x.incarnation }

// ObserveIncarnation tells the boot number that an answer or report of the engine
// carried. A newer one means that all that was cached is gone, whatever its
// events say, which may come much later.
func (x *Index) ObserveIncarnation(incarnation uint64) {
	if incarnation > x.incarnation {
		x.reset(incarnation)
	}
}

// NeedsSnapshot tells whether a snapshot would repair the picture.
func (x *Index) NeedsSnapshot() bool { return x.wantSnapshot }

// Next is the sequence number of the event that is due; 0 while none has come.
func (x *Index) Next() uint64 { return x.next }

// Len is the number of blocks held, claimed or not.
func (x *Index) Len() int { return len(x.blocks) }

// Stats of the index so far.
func (x *Index) Stats() Stats { return x.stats }

// Has tells whether the block is cached as far as is known. While events are
// known to be lost, only blocks that were used lately are claimed: an engine
// evicts what was used longest ago, so these have outlived any removal whose
// event is missing.
func (x *Index) Has(now time.Time, block engine.BlockHash) bool {
	if x.blind {
		return false
	}
	used, ok := x.blocks[block]
	return ok && (x.doubtAt == 0 || x.confirmed(now, used))
}

// confirmed tells whether a block used at the stamp may be claimed in doubt.
func (x *Index) confirmed(now time.Time, used stamp) bool {
	if x.options.Repair == Resync && now.Sub(x.doubtSince) < resyncPatience {
		return true // The snapshot is on its way.
	}
	return used > x.doubtAt || x.usedWithin(now, used, confirmShare)
}

// usedWithin tells whether a stamp is no older than a share of the survival time.
func (x *Index) usedWithin(now time.Time, used stamp, share float64) bool {
	return float64(x.since(now, used)) <= share*float64(x.Retention(now))
}

// MarkUsed tells that the engine has just computed or reused these blocks of a
// prompt. In doubt this is evidence that they are cached.
func (x *Index) MarkUsed(now time.Time, blocks []engine.BlockHash) {
	at := x.stampOf(now)
	for _, block := range blocks {
		if _, ok := x.blocks[block]; ok || x.doubtAt != 0 {
			x.blocks[block] = at
		}
	}
}

// Retention is how long a block that is not used stays cached now. 0: unknown.
func (x *Index) Retention(now time.Time) time.Duration {
	return x.survival.value(now.Sub(x.base))
}

// HasEvicted tells whether blocks have left this engine's cache since its start.
func (x *Index) HasEvicted() bool { return x.survival.count > 0 }

// Tick gives up waiting for events that are overdue and drops blocks that must
// be gone.
func (x *Index) Tick(now time.Time) {
	if !x.heldSince.IsZero() && now.Sub(x.heldSince) >= x.options.ReorderWait {
		x.skipMissing(now)
	}
	if x.doubtAt != 0 && now.Sub(x.sweptAt) >= sweepEvery {
		x.sweep(now)
	}
}

// sweep drops blocks whose removal was lost, so that they do not stay for ever.
func (x *Index) sweep(now time.Time) {
	x.sweptAt = now
	for block, used := range x.blocks {
		if !x.confirmed(now, used) && !x.usedWithin(now, used, staleShare) {
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

// CachedBlocks lists the blocks that Has answers for with true, in no order.
func (x *Index) CachedBlocks(now time.Time) []engine.BlockHash {
	claimed := make([]engine.BlockHash, 0, len(x.blocks))
	for block := range x.blocks {
		if x.Has(now, block) {
			claimed = append(claimed, block)
		}
	}
	return claimed
}
