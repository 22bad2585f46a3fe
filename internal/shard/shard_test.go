package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/shard"
)

var start = time.Unix(1000, 0)

// serverHashes of so many servers.
func serverHashes(n int) func() []uint64 {
	return func() []uint64 {
		var hashes []uint64
		for i := range n {
			hashes = append(hashes, routing.ServerHash(fmt.Sprint("s", i)))
		}
		return hashes
	}
}

// entriesOf names so many entries with as many cores each.
func entriesOf(prefix string, n int, cores float64) []shard.Entry {
	var entries []shard.Entry
	for i := range n {
		entries = append(entries, shard.Entry{Name: fmt.Sprint(prefix, i), Address: fmt.Sprint(prefix, i, ":1"), Cores: cores})
	}
	return entries
}

func mapOf(entries []shard.Entry) *shard.Map {
	m := shard.NewMap()
	m.SetEntries(entries)
	return m
}

// ownersOf each server by name.
func ownersOf(d *shard.Assignment, servers int) []string {
	owners := make([]string, servers)
	for i := range owners {
		for _, o := range d.Owners {
			if d.Owns(o.Name, i) {
				owners[i] = o.Name
			}
		}
	}
	return owners
}

// Callers waited behind the decisions of all others: a VM with a seventh of a core
// owned as many servers as one with most of a core, and answered late.
func TestOnlyStrongEntriesOwnShards(t *testing.T) {
	entries := append(entriesOf("weak", 88, 0.144), entriesOf("strong", 15, 0.8)...)
	d := mapOf(entries).Assignment(start, "models", 1, serverHashes(180))
	require.Len(t, d.Owners, 15)
	for _, o := range d.Owners {
		assert.Contains(t, o.Name, "strong")
	}
	for i, owner := range ownersOf(d, 180) {
		assert.NotEmpty(t, owner, i)
	}
}

func TestShardsAreNotSmall(t *testing.T) {
	m := mapOf(entriesOf("e", 100, 1))
	assert.Len(t, m.Assignment(start, "models", 1, serverHashes(48)).Owners, 6)
	assert.Len(t, m.Assignment(start, "bookings", 1, serverHashes(9)).Owners, 1, "each service is divided by itself")
	assert.Empty(t, mapOf(nil).Assignment(start, "models", 1, serverHashes(9)).OwnersFor(7))
}

// An owner that is lost takes its own shard with it, and no other: the rest
// would be read anew at servers that another owner chooses.
func TestALostOwnerMovesItsOwnServersOnly(t *testing.T) {
	entries := entriesOf("e", 12, 1)
	before := mapOf(entries).Assignment(start, "models", 1, serverHashes(200))
	lost := before.Owners[3].Name
	var left []shard.Entry
	for _, e := range entries {
		if e.Name != lost {
			left = append(left, e)
		}
	}
	after := mapOf(left).Assignment(start, "models", 1, serverHashes(200))
	old, now := ownersOf(before, 200), ownersOf(after, 200)
	for i := range old {
		if old[i] != lost {
			assert.Equal(t, old[i], now[i], "server %d", i)
		}
	}
}

// An owner froze. Each request that asked it waited for nothing, for as long as
// its row stood: seconds, or for good where it was lost.
func TestASilentOwnerIsPassedOver(t *testing.T) {
	m := mapOf(entriesOf("e", 6, 1))
	division := func(now time.Time) *shard.Assignment { return m.Assignment(now, "models", 1, serverHashes(48)) }
	name := division(start).OwnersFor(7)[0].Name
	assert.False(t, m.OwnerTimedOut(start, name), "one datagram may be lost")
	assert.False(t, m.OwnerTimedOut(start.Add(10*time.Millisecond), name), "it may wait for its processor")
	silent := start.Add(80 * time.Millisecond)
	assert.True(t, m.OwnerTimedOut(silent, name))
	assert.NotEqual(t, name, division(silent).OwnersFor(7)[0].Name)
	again := silent.Add(1100 * time.Millisecond)
	assert.Equal(t, name, division(again).OwnersFor(7)[0].Name, "it is tried again")
	assert.True(t, m.OwnerTimedOut(again, name))
	assert.NotEqual(t, name, division(again.Add(1500 * time.Millisecond)).OwnersFor(7)[0].Name, "longer each time")
	m.OwnerAnswered(name)
	assert.Equal(t, name, division(again.Add(1600 * time.Millisecond)).OwnersFor(7)[0].Name, "a late answer shows that it is there")
}

// An entry was cut off from all others. Each of its requests waited for one owner
// after the other.
func TestAnEntryThatIsCutOffDecidesAlone(t *testing.T) {
	m := mapOf(entriesOf("e", 30, 1))
	now := start
	for i := range cutOff {
		assert.True(t, m.MayAsk(now), i)
		m.OwnerTimedOut(now, fmt.Sprint("e", i))
		now = now.Add(time.Millisecond)
	}
	assert.True(t, m.MayAsk(now), "it tries now and then")
	assert.False(t, m.MayAsk(now))
	assert.True(t, m.MayAsk(now.Add(time.Second)))
	m.OwnerAnswered("e20")
	assert.True(t, m.MayAsk(now.Add(time.Second)))
	assert.True(t, m.MayAsk(now.Add(time.Second)), "somebody answers")
}

// cutOff is how many misses in a row show it.
const cutOff = 6

// All entries ask the same two owners for a prefix, whatever order they heard of
// each other in.
func TestAllEntriesAskAlike(t *testing.T) {
	entries := entriesOf("e", 20, 1)
	var turned []shard.Entry
	for i := range entries {
		turned = append(turned, entries[(i+7)%len(entries)])
	}
	one := mapOf(entries).Assignment(start, "models", 1, serverHashes(160))
	other := mapOf(turned).Assignment(start, "models", 1, serverHashes(160))
	for prefix := range uint64(50) {
		asked := one.OwnersFor(prefix)
		require.Len(t, asked, 2)
		assert.NotEqual(t, asked[0].Name, asked[1].Name)
		assert.Equal(t, asked, other.OwnersFor(prefix))
	}
}

func TestANewListIsDividedAnew(t *testing.T) {
	m := mapOf(entriesOf("e", 4, 1))
	first := m.Assignment(start, "models", 1, serverHashes(40))
	assert.Same(t, first, m.Assignment(start, "models", 1, serverHashes(50)))
	assert.NotSame(t, first, m.Assignment(start, "models", 2, serverHashes(50)))
}

// sizes of fleets: servers and owners.
var sizes = []struct{ servers, owners int }{{180, 15}, {1000, 100}, {7000, 810}}

// BenchmarkAsked is what a request costs the entry that asks.
func BenchmarkAsked(b *testing.B) {
	for _, size := range sizes {
		d := mapOf(entriesOf("e", size.owners, 1)).Assignment(start, "models", 1, serverHashes(size.servers))
		b.Run(fmt.Sprint(size.servers), func(b *testing.B) {
			for i := range b.N {
				d.OwnersFor(uint64(i)) //nolint:gosec // a count
			}
		})
	}
}

// BenchmarkDivision is what a change of the list costs each entry.
func BenchmarkDivision(b *testing.B) {
	for _, size := range sizes {
		m, hashes := mapOf(entriesOf("e", size.owners, 1)), serverHashes(size.servers)()
		b.Run(fmt.Sprint(size.servers), func(b *testing.B) {
			for i := range b.N {
				m.Assignment(start, "models", uint64(i)+2, func() []uint64 { return hashes }) //nolint:gosec // a count
			}
		})
	}
}
