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

// An engine crashes and comes back cold. Its last events from before arrive
// afterwards; requests would be sent there for a prefix that nobody holds.
func TestEventsOfAnOldBootAreIgnored(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	apply(x, stored(1, 1, 10), stored(1, 2, 11))
	require.True(t, x.Has(epoch, 10))
	apply(x, stored(2, 1, 20))
	assert.False(t, x.Has(epoch, 10))
	apply(x, stored(1, 3, 12))
	assert.False(t, x.Has(epoch, 12))
	assert.True(t, x.Has(epoch, 20))
}

// The engine's answer shows the new boot before any event of it has come.
func TestIncarnationInAnAnswerClearsAll(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	apply(x, stored(1, 1, 10))
	x.ObserveIncarnation(2)
	assert.False(t, x.Has(epoch, 10))
	apply(x, stored(1, 2, 11))
	assert.False(t, x.Has(epoch, 11))
	assert.False(t, x.Snapshot(epoch, engine.CacheSnapshot{Incarnation: 1, Seq: 9, Blocks: []engine.BlockHash{10}}))
}

// A block is evicted, and the event that stored it comes a second time.
func TestDoubledEventsPutNothingBack(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	apply(x, stored(1, 1, 10), removed(1, 2, 10), stored(1, 1, 10))
	assert.False(t, x.Has(epoch, 10))
}

// Removal and storing of a block arrive in the wrong order.
func TestReorderedEventsAreAppliedInOrder(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	apply(x, stored(1, 1, 10), stored(1, 3, 10), removed(1, 2, 10), removed(1, 5, 11), stored(1, 4, 11))
	assert.True(t, x.Has(epoch, 10))
	assert.False(t, x.Has(epoch, 11))
}

func TestRemovalsOfHeldEventsCountAtOnce(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	apply(x, stored(1, 1, 10), removed(1, 3, 10))
	assert.False(t, x.Has(epoch, 10))
}

// A removal is lost. Without repair the index would claim the block for ever.
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
	assert.False(t, x.Has(later, 10), "an event from before the snapshot says nothing new")
}

func TestSnapshotThatIsTooOldIsNotTaken(t *testing.T) {
	x := newIndex(cacheindex.Resync)
	require.True(t, x.Snapshot(epoch, engine.CacheSnapshot{Incarnation: 1, Seq: 5, Blocks: []engine.BlockHash{10}}))
	assert.False(t, x.Snapshot(epoch, engine.CacheSnapshot{Incarnation: 1, Seq: 3}))
	assert.True(t, x.Has(epoch, 10))
}

// A removal is lost on an engine without snapshots. The block is claimed only
// as long as its last use makes it likely.
func TestGapWithoutSnapshotsForgetsWhatNothingConfirms(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	x.Apply(at(0), []engine.CacheEvent{stored(1, 1, 10, 11, 12)})
	x.Apply(at(20), []engine.CacheEvent{removed(1, 2, 12)}) // blocks survive for 20 s
	x.MarkUsed(at(20), []engine.BlockHash{11})
	x.Apply(at(21), []engine.CacheEvent{stored(1, 4, 13)})
	x.Tick(at(22))
	assert.False(t, x.Has(at(22), 10), "not used for longer than half of the survival time")
	assert.True(t, x.Has(at(22), 11))
	assert.True(t, x.Has(at(22), 13))
	assert.False(t, x.Has(at(39), 11))
	x.MarkUsed(at(40), []engine.BlockHash{10})
	assert.True(t, x.Has(at(40), 10), "the engine has just computed it")
}

// The stream of events ends and can't be continued; blocks are evicted unseen.
func TestNothingIsClaimedWithoutEvents(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	apply(x, stored(1, 1, 10))
	x.StreamLost(epoch)
	x.MarkUsed(epoch, []engine.BlockHash{10})
	assert.False(t, x.Has(epoch, 10))
	apply(x, stored(1, 900, 11))
	assert.True(t, x.Has(epoch, 11))
}

// The removal of a block arrives after the engine has computed it again, and
// the event of that is lost: a hot prefix would count as missing.
func TestRemovalBeforeTheLastUseIsOldNews(t *testing.T) {
	x := newIndex(cacheindex.Expire)
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	x.Apply(at(0), []engine.CacheEvent{stored(1, 1, 10)})
	x.MarkUsed(at(5), []engine.BlockHash{10})
	late := removed(1, 2, 10)
	late.Age = 2 * time.Second
	x.Apply(at(6), []engine.CacheEvent{late})
	assert.True(t, x.Has(at(6), 10))
}

func TestSurvivalFollowsTheRemovals(t *testing.T) {
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

// TestPictureIsExactOnceAllEventsHaveCome shuffles and doubles the events of a
// cache within the reorder window; nothing is lost.
func TestPictureIsExactOnceAllEventsHaveCome(t *testing.T) {
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

// FuzzEvents feeds events that no engine would send: no panic, and the memory
// stays within what was sent and the bound on held events.
func FuzzEvents(f *testing.F) {
	f.Add([]byte{1, 1, 0, 5, 1, 3, 1, 5, 2, 1, 0, 7})
	f.Fuzz(func(t *testing.T, script []byte) {
		for _, repair := range []cacheindex.Repair{cacheindex.Resync, cacheindex.Expire} {
			x := cacheindex.New(epoch, cacheindex.Options{Repair: repair, MaxPending: 4})
			highest := uint64(0)
			for i := 0; i+3 < len(script); i += 4 {
				now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
				boot, seq, block := uint64(script[i]), uint64(script[i+1]), engine.BlockHash(script[i+3])
				highest = max(highest, boot)
				if script[i+2] == 9 {
					x.Snapshot(now, engine.CacheSnapshot{Incarnation: boot, Seq: seq, Blocks: []engine.BlockHash{block}})
					continue
				}
				kind := engine.CacheEventKind(script[i+2] % 4)
				x.Apply(now, []engine.CacheEvent{{Incarnation: boot, Seq: seq, Kind: kind, Blocks: []engine.BlockHash{block}}})
			}
			require.Equal(t, highest, x.Incarnation())
			require.LessOrEqual(t, x.Len(), 256)
		}
	})
}
