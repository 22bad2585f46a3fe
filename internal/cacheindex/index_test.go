package cacheindex_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/cacheindex"
	"github.com/jayproxy/jayproxy/internal/engine"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

var epoch = time.Unix(1_700_000_000, 0)

func stored(incarnation, seq uint64, blocks ...engine.BlockHash) engine.CacheEvent {
	return engine.CacheEvent{Incarnation: incarnation, Seq: seq, Kind: engine.BlocksStored, Blocks: blocks}
}

func removed(incarnation, seq uint64, blocks ...engine.BlockHash) engine.CacheEvent {
	return engine.CacheEvent{Incarnation: incarnation, Seq: seq, Kind: engine.BlocksRemoved, Blocks: blocks}
}

func apply(x *cacheindex.Index, events ...engine.CacheEvent) { x.Apply(epoch, events) }

func newIndex(repair cacheindex.Repair) *cacheindex.Index {
	return cacheindex.New(epoch, cacheindex.Options{Repair: repair})
}

// Late events of an earlier incarnation must not report blocks of a restarted engine as cached.
func TestEventsOfEarlierIncarnationAreIgnored(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	apply(x, stored(1, 1, 10), stored(1, 2, 11))
	require.True(t, x.Has(epoch, 10))
	apply(x, stored(2, 1, 20))
	assert.False(t, x.Has(epoch, 10))
	apply(x, stored(1, 3, 12))
	assert.False(t, x.Has(epoch, 12))
	assert.True(t, x.Has(epoch, 20))
}

// An answer may carry a new incarnation before any of its events arrive. It clears the index.
func TestNewIncarnationClearsIndex(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	apply(x, stored(1, 1, 10))
	x.ObserveIncarnation(2)
	assert.False(t, x.Has(epoch, 10))
	apply(x, stored(1, 2, 11))
	assert.False(t, x.Has(epoch, 11))
	assert.False(t, x.Snapshot(epoch, engine.CacheSnapshot{Incarnation: 1, Seq: 9, Blocks: []engine.BlockHash{10}}))
}

// A duplicate of the event that stored a block must not restore it after its removal.
func TestDuplicateEventsRestoreNothing(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	apply(x, stored(1, 1, 10), removed(1, 2, 10), stored(1, 1, 10))
	assert.False(t, x.Has(epoch, 10))
}

// Events that arrive out of order are applied by sequence number.
func TestReorderedEventsAreAppliedInOrder(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	apply(x, stored(1, 1, 10), stored(1, 3, 10), removed(1, 2, 10), removed(1, 5, 11), stored(1, 4, 11))
	assert.True(t, x.Has(epoch, 10))
	assert.False(t, x.Has(epoch, 11))
}

func TestPendingRemovalsApplyImmediately(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	apply(x, stored(1, 1, 10), removed(1, 3, 10))
	assert.False(t, x.Has(epoch, 10))
}

// A snapshot repairs the index after a removal event was lost.
func TestGapIsRepairedBySnapshot(t *testing.T) {
	x := newIndex(cacheindex.Resync)
	require.True(t, x.NeedsSnapshot())
	require.True(t, x.Snapshot(epoch, engine.CacheSnapshot{Incarnation: 1, Seq: 0}))
	apply(x, stored(1, 1, 10, 11), stored(1, 3, 12))
	require.False(t, x.NeedsSnapshot(), "the missing event may only be late")
	later := epoch.Add(time.Second)
	x.Tick(later)
	require.True(t, x.NeedsSnapshot())
	assert.True(t, x.Has(later, 12))
	x.Apply(later, []engine.CacheEvent{stored(1, 4, 13), removed(1, 5, 11)})
	require.True(t, x.Snapshot(later, engine.CacheSnapshot{Incarnation: 1, Seq: 4, Blocks: []engine.BlockHash{11, 12, 13}}))
	assert.False(t, x.Has(later, 10), "its removal was lost")
	assert.False(t, x.Has(later, 11), "it was removed after the snapshot")
	assert.True(t, x.Has(later, 13))
	x.Apply(later, []engine.CacheEvent{stored(1, 2, 10)})
	assert.False(t, x.Has(later, 10), "an event from before the snapshot is ignored")
}

func TestOutdatedSnapshotIsRejected(t *testing.T) {
	x := newIndex(cacheindex.Resync)
	require.True(t, x.Snapshot(epoch, engine.CacheSnapshot{Incarnation: 1, Seq: 5, Blocks: []engine.BlockHash{10}}))
	assert.False(t, x.Snapshot(epoch, engine.CacheSnapshot{Incarnation: 1, Seq: 3}))
	assert.True(t, x.Has(epoch, 10))
}

// After lost events on an engine without snapshots, only recently used blocks are reported.
func TestGapWithoutSnapshotsExpiresUnconfirmedBlocks(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	x.Apply(at(0), []engine.CacheEvent{stored(1, 1, 10, 11, 12)})
	x.Apply(at(20), []engine.CacheEvent{removed(1, 2, 12)}) // blocks are retained for 20 s
	x.MarkUsed(at(20), []engine.BlockHash{11})
	x.Apply(at(21), []engine.CacheEvent{stored(1, 4, 13)})
	x.Tick(at(22))
	assert.False(t, x.Has(at(22), 10), "last used longer ago than 0.9 of the retention")
	assert.True(t, x.Has(at(22), 11))
	assert.True(t, x.Has(at(22), 13))
	assert.False(t, x.Has(at(39), 11))
	x.MarkUsed(at(40), []engine.BlockHash{10})
	assert.True(t, x.Has(at(40), 10), "the engine has just computed it")
}

// After the event stream was lost, no block is reported until the next event arrives.
func TestNoBlockIsReportedWithoutEvents(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	apply(x, stored(1, 1, 10))
	x.StreamLost(epoch)
	x.MarkUsed(epoch, []engine.BlockHash{10})
	assert.False(t, x.Has(epoch, 10))
	apply(x, stored(1, 900, 11))
	assert.True(t, x.Has(epoch, 11))
}

// A late removal of a block that the engine has computed again must not delete it.
func TestRemovalBeforeLastUseIsIgnored(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	x.Apply(at(0), []engine.CacheEvent{stored(1, 1, 10)})
	x.MarkUsed(at(5), []engine.BlockHash{10})
	late := removed(1, 2, 10)
	late.Age = 2 * time.Second
	x.Apply(at(6), []engine.CacheEvent{late})
	assert.True(t, x.Has(at(6), 10))
}

func TestRetentionFollowsRemovals(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	seq := uint64(0)
	for i := range 2000 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		seq++
		x.Apply(now, []engine.CacheEvent{stored(1, seq, engine.BlockHash(i))})
		if i >= 50 {
			seq++
			x.Apply(now, []engine.CacheEvent{removed(1, seq, engine.BlockHash(i-50))})
		}
	}
	assert.InDelta(t, 5, x.Retention(epoch.Add(200*time.Second)).Seconds(), 0.1)
	assert.InDelta(t, 100, x.Retention(epoch.Add(300*time.Second)).Seconds(), 1, "nothing was removed for 100 s")
}

func TestCachedBytesEndAtTheFirstMissingPoint(t *testing.T) {
	x, aliases := newIndex(cacheindex.Expire), cacheindex.NewAliases(100)
	chain := []*jayv1.PrefixPoint{{Hash: 1, Bytes: 30}, {Hash: 2, Bytes: 64}, {Hash: 3, Bytes: 200}, {Hash: 4, Bytes: 256}}
	aliases.Record(chain, []engine.BlockHash{10, 11, 12, 13}, []int{64, 128, 192, 256})
	assert.Zero(t, x.CachedBytes(epoch, aliases, chain))
	apply(x, stored(1, 1, 10, 11, 12, 13))
	assert.Equal(t, 256, x.CachedBytes(epoch, aliases, chain))
	apply(x, removed(1, 2, 13))
	assert.Equal(t, 192, x.CachedBytes(epoch, aliases, chain))
	apply(x, removed(1, 3, 10))
	assert.Zero(t, x.CachedBytes(epoch, aliases, chain), "an engine reuses no block whose start is missing")
	assert.Zero(t, x.CachedBytes(epoch, aliases, []*jayv1.PrefixPoint{{Hash: 99, Bytes: 64}}))
}

// With events reordered and duplicated but none lost, the index equals the cache.
func TestIndexIsExactOnceAllEventsArrived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := map[engine.BlockHash]bool{}
		var events []engine.CacheEvent
		for seq := uint64(1); seq <= 40; seq++ {
			block := engine.BlockHash(rapid.IntRange(0, 9).Draw(t, "block"))
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				clear(truth)
				events = append(events, engine.CacheEvent{Incarnation: 1, Seq: seq, Kind: engine.CacheCleared})
			case 1, 2, 3, 4:
				delete(truth, block)
				events = append(events, removed(1, seq, block))
			default:
				truth[block] = true
				events = append(events, stored(1, seq, block))
			}
		}
		arrival := rapid.Permutation(append(events[1:], events...)).Draw(t, "arrival")
		x := newIndex(cacheindex.Expire)
		apply(x, events[0])
		for _, event := range arrival {
			apply(x, event)
		}
		for block := range engine.BlockHash(10) {
			require.Equal(t, truth[block], x.Has(epoch, block), "block %d", block)
		}
		require.Zero(t, x.Stats().Lost)
	})
}

// FuzzEvents feeds arbitrary events: the index must not panic and its size stays bounded.
func FuzzEvents(f *testing.F) {
	f.Add([]byte{1, 1, 0, 5, 1, 3, 1, 5, 2, 1, 0, 7})
	f.Fuzz(func(t *testing.T, script []byte) {
		for _, repair := range []cacheindex.Repair{cacheindex.Resync, cacheindex.Expire} {
			x := cacheindex.New(epoch, cacheindex.Options{Repair: repair, MaxPending: 4})
			highest := uint64(0)
			for i := 0; i+3 < len(script); i += 4 {
				now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
				incarnation, seq, block := uint64(script[i]), uint64(script[i+1]), engine.BlockHash(script[i+3])
				highest = max(highest, incarnation)
				if script[i+2] == 9 {
					x.Snapshot(now, engine.CacheSnapshot{Incarnation: incarnation, Seq: seq, Blocks: []engine.BlockHash{block}})
					continue
				}
				kind := engine.CacheEventKind(script[i+2] % 4)
				x.Apply(now, []engine.CacheEvent{{Incarnation: incarnation, Seq: seq, Kind: kind, Blocks: []engine.BlockHash{block}}})
			}
			require.Equal(t, highest, x.Incarnation())
			require.LessOrEqual(t, x.Len(), 256)
		}
	})
}
