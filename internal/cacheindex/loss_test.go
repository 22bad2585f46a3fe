package cacheindex_test

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/cacheindex"
	"github.com/jayproxy/jayproxy/internal/engine"
)

// capacity is the number of blocks that an engine caches.
const capacity = 23_000

// lruCache is the engine's true cache; it writes down what happens to it.
type lruCache struct {
	order  *list.List
	at     map[engine.BlockHash]*list.Element
	seq    uint64
	events []engine.CacheEvent
}

func newLRUCache() *lruCache {
	return &lruCache{order: list.New(), at: map[engine.BlockHash]*list.Element{}}
}

func (c *lruCache) note(kind engine.CacheEventKind, block engine.BlockHash) {
	c.seq++
	c.events = append(c.events, engine.CacheEvent{Incarnation: 1, Seq: c.seq, Kind: kind, Blocks: []engine.BlockHash{block}})
}

// use touches a prompt's blocks, the first one last, so that a prefix never
// leaves before what stands on it.
func (c *lruCache) use(blocks []engine.BlockHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		block := blocks[i]
		if e, ok := c.at[block]; ok {
			c.order.MoveToFront(e)
			continue
		}
		if len(c.at) >= capacity {
			last := c.order.Back()
			victim := c.order.Remove(last).(engine.BlockHash)
			delete(c.at, victim)
			c.note(engine.BlocksRemoved, victim)
		}
		c.at[block] = c.order.PushFront(block)
		c.note(engine.BlocksStored, block)
	}
}

func (c *lruCache) snapshot() engine.CacheSnapshot {
	blocks := make([]engine.BlockHash, 0, len(c.at))
	for block := range c.at {
		blocks = append(blocks, block)
	}
	return engine.CacheSnapshot{Incarnation: 1, Seq: c.seq, Blocks: blocks}
}

// arrival is an event on its way.
type arrival struct {
	at    time.Time
	event engine.CacheEvent
}

// network delays events by 100 to 150 ms, loses some, doubles and reorders others.
type network struct {
	random  *rand.Rand
	loss    float64
	pending []arrival
}

func (n *network) send(now time.Time, events []engine.CacheEvent) {
	for _, event := range events {
		if n.random.Float64() < n.loss {
			continue
		}
		copies := 1
		if n.random.Float64() < 0.02 {
			copies = 2
		}
		for range copies {
			delay := 100 * time.Millisecond
			if n.random.Float64() < 0.02 {
				delay += time.Duration(n.random.IntN(50)) * time.Millisecond
			}
			n.pending = append(n.pending, arrival{now.Add(delay), event})
		}
	}
}

func (n *network) arrived(now time.Time) []engine.CacheEvent {
	sort.SliceStable(n.pending, func(i, j int) bool { return n.pending[i].at.Before(n.pending[j].at) })
	due := sort.Search(len(n.pending), func(i int) bool { return n.pending[i].at.After(now) })
	var events []engine.CacheEvent
	for _, a := range n.pending[:due] {
		a.event.Age = 100 * time.Millisecond
		events = append(events, a.event)
	}
	n.pending = n.pending[due:]
	return events
}

// prompts makes nested prompts: a rulebook of 60 blocks and a document of 30.
type prompts struct {
	rulebook, document *rand.Zipf
}

func newPrompts(random *rand.Rand) *prompts {
	return &prompts{rulebook: rand.NewZipf(random, 1.1, 4, 99), document: rand.NewZipf(random, 1.05, 50, 4999)}
}

func (p *prompts) next() []engine.BlockHash {
	book, document := p.rulebook.Uint64(), p.document.Uint64()
	var blocks []engine.BlockHash
	for i := range uint64(60) {
		blocks = append(blocks, engine.BlockHash(book<<32|i))
	}
	for i := range uint64(30) {
		blocks = append(blocks, engine.BlockHash(1<<62|book<<48|document<<16|i))
	}
	return blocks
}

// picture is how well an index matches the truth, averaged over the run.
type picture struct {
	eventsPerSecond float64
	// precise is the share of claimed blocks that are cached, complete the
	// share of cached blocks that are claimed.
	precise, complete float64
	survival          time.Duration
	snapshots         uint64
}

// watch runs an engine for 90 virtual seconds and compares once a second after
// the first 50. At most one snapshot a second is read, 20 ms old. After 70
// seconds the load grows by a factor.
func watch(repair cacheindex.Repair, loss, surge float64) picture {
	const (
		step             = 10 * time.Millisecond
		requestsPerStep  = 0.19
		seconds, warm    = 90, 50
		snapshotEvery    = 100
		stepsPerSecond   = int(time.Second / step)
		snapshotLagSteps = 2
	)
	random := rand.New(rand.NewPCG(7, 11))
	cache, net, prompts := newLRUCache(), &network{random: random, loss: loss}, newPrompts(random)
	x := cacheindex.New(epoch, cacheindex.Options{Repair: repair})
	var sum picture
	var snapshot engine.CacheSnapshot
	var backlog float64
	snapshotAt, count := -1, 0
	for i := range seconds * stepsPerSecond {
		now := epoch.Add(time.Duration(i) * step)
		rate := requestsPerStep
		if i >= (seconds+warm)/2*stepsPerSecond {
			rate *= surge
		}
		for backlog += rate; backlog >= 1; backlog-- {
			blocks := prompts.next()
			cache.use(blocks)
			x.MarkUsed(now, blocks)
		}
		net.send(now, cache.events)
		if i >= warm*stepsPerSecond {
			count += len(cache.events)
		}
		cache.events = nil
		x.Apply(now, net.arrived(now))
		if i == snapshotAt {
			x.Snapshot(now, snapshot)
		}
		if x.NeedsSnapshot() && i >= snapshotAt+snapshotEvery {
			snapshot, snapshotAt = cache.snapshot(), i+snapshotLagSteps
		}
		if i >= warm*stepsPerSecond && i%stepsPerSecond == 0 {
			precise, complete := compare(now, x, cache)
			sum.precise += precise
			sum.complete += complete
		}
	}
	measured := float64(seconds - warm)
	return picture{
		eventsPerSecond: float64(count) / measured, precise: sum.precise / measured, complete: sum.complete / measured,
		survival: x.Retention(epoch.Add(seconds * time.Second)), snapshots: x.Stats().Snapshots,
	}
}

func compare(now time.Time, x *cacheindex.Index, cache *lruCache) (precise, complete float64) {
	claimed, right := 0, 0
	for _, block := range x.CachedBlocks(now) {
		claimed++
		if _, ok := cache.at[block]; ok {
			right++
		}
	}
	return float64(right) / float64(claimed), float64(right) / float64(len(cache.at))
}

// An entry is told that a prompt is cached where it is not: events are lost,
// and the picture drifts from the truth.
func TestClaimedBlocksAreCachedUnderLoss(t *testing.T) {
	for _, repair := range []cacheindex.Repair{cacheindex.Resync, cacheindex.Expire} {
		name := map[cacheindex.Repair]string{cacheindex.Resync: "resync", cacheindex.Expire: "forget"}[repair]
		for _, run := range []struct{ loss, surge float64 }{{0, 1}, {0.01, 1}, {0.5, 1}, {0.5, 3}} {
			p := watch(repair, run.loss, run.surge)
			t.Logf("%s, %2.0f%% lost, load %.0f, %.0f events/s: claimed and cached %.4f, cached and claimed %.4f, survival %.1f s, %d snapshots",
				name, run.loss*100, run.surge, p.eventsPerSecond, p.precise, p.complete, p.survival.Seconds(), p.snapshots)
			assert.InDelta(t, 1200*(1+run.surge)/2, p.eventsPerSecond, 300)
			assert.Greater(t, p.precise, 0.97)
			assert.Greater(t, p.complete, 0.85)
		}
	}
}

func BenchmarkApply(b *testing.B) {
	for _, blocks := range []int{5_750, 11_500, 23_000, 46_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			x := fill(blocks)
			seq := uint64(blocks)
			events := make([]engine.CacheEvent, 2)
			one := make([]engine.BlockHash, 2)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += 2 {
				one[0], one[1] = engine.BlockHash(seq), engine.BlockHash(seq-uint64(blocks))
				events[0] = engine.CacheEvent{Incarnation: 1, Seq: seq + 1, Kind: engine.BlocksStored, Blocks: one[:1]}
				events[1] = engine.CacheEvent{Incarnation: 1, Seq: seq + 2, Kind: engine.BlocksRemoved, Blocks: one[1:]}
				x.Apply(epoch, events)
				seq += 2
			}
		})
	}
}

func fill(blocks int) *cacheindex.Index {
	x := cacheindex.New(epoch, cacheindex.Options{Repair: cacheindex.Expire})
	for i := range blocks {
		x.Apply(epoch, []engine.CacheEvent{{
			Incarnation: 1, Seq: uint64(i + 1), Kind: engine.BlocksStored, Blocks: []engine.BlockHash{engine.BlockHash(i)},
		}})
	}
	return x
}

func BenchmarkMemory(b *testing.B) {
	for _, blocks := range []int{5_750, 11_500, 23_000, 46_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				x := fill(blocks)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(x)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(blocks), "bytes/block")
		})
	}
}
