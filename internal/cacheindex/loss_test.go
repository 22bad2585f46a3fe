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

// capacityBlocks is the number of blocks that the engine caches.
const capacityBlocks = 23_000

// lruCache is the engine's actual cache; it records its events.
type lruCache struct {
	order    *list.List
	elements map[engine.BlockHash]*list.Element
	seq      uint64
	events   []engine.CacheEvent
}

func newLRUCache() *lruCache {
	return &lruCache{order: list.New(), elements: map[engine.BlockHash]*list.Element{}}
}

func (c *lruCache) record(kind engine.CacheEventKind, block engine.BlockHash) {
	c.seq++
	c.events = append(c.events, engine.CacheEvent{Incarnation: 1, Seq: c.seq, Kind: kind, Blocks: []engine.BlockHash{block}})
}

// use marks a prompt's blocks as used, from last to first, so that no block is evicted before
// its successors in the prompt.
func (c *lruCache) use(blocks []engine.BlockHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		block := blocks[i]
		if e, ok := c.elements[block]; ok {
			c.order.MoveToFront(e)
			continue
		}
		if len(c.elements) >= capacityBlocks {
			last := c.order.Back()
			victim := c.order.Remove(last).(engine.BlockHash)
			delete(c.elements, victim)
			c.record(engine.BlocksRemoved, victim)
		}
		c.elements[block] = c.order.PushFront(block)
		c.record(engine.BlocksStored, block)
	}
}

func (c *lruCache) snapshot() engine.CacheSnapshot {
	blocks := make([]engine.BlockHash, 0, len(c.elements))
	for block := range c.elements {
		blocks = append(blocks, block)
	}
	return engine.CacheSnapshot{Incarnation: 1, Seq: c.seq, Blocks: blocks}
}

// delivery is an event and the time of its arrival.
type delivery struct {
	at    time.Time
	event engine.CacheEvent
}

// network delays events by 100 to 150 ms, and loses, duplicates and reorders some.
type network struct {
	random  *rand.Rand
	loss    float64
	pending []delivery
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
			n.pending = append(n.pending, delivery{now.Add(delay), event})
		}
	}
}

func (n *network) deliver(now time.Time) []engine.CacheEvent {
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

// prompts generates prompts of a shared prefix of 60 blocks (rulebook) and a document of 30.
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

// accuracy compares an index with the actual cache, averaged over the run.
type accuracy struct {
	eventsPerSecond float64
	// precision is the share of reported blocks that are cached, recall the share of cached
	// blocks that are reported.
	precision, recall float64
	retention         time.Duration
	snapshots         uint64
}

// simulate runs an engine for 90 virtual seconds and compares index and cache once a second
// after the first 50. At most one snapshot a second is read, 20 ms old. After 70 seconds the
// load is multiplied by loadFactor.
func simulate(repair cacheindex.Repair, loss, loadFactor float64) accuracy {
	const (
		step                   = 10 * time.Millisecond
		requestsPerStep        = 0.19
		seconds, warmUpSeconds = 90, 50
		snapshotIntervalSteps  = 100
		stepsPerSecond         = int(time.Second / step)
		snapshotLagSteps       = 2
	)
	random := rand.New(rand.NewPCG(7, 11))
	cache, net, prompts := newLRUCache(), &network{random: random, loss: loss}, newPrompts(random)
	x := cacheindex.New(epoch, cacheindex.Options{Repair: repair})
	var sum accuracy
	var snapshot engine.CacheSnapshot
	var backlog float64
	snapshotAt, count := -1, 0
	for i := range seconds * stepsPerSecond {
		now := epoch.Add(time.Duration(i) * step)
		rate := requestsPerStep
		if i >= (seconds+warmUpSeconds)/2*stepsPerSecond {
			rate *= loadFactor
		}
		for backlog += rate; backlog >= 1; backlog-- {
			blocks := prompts.next()
			cache.use(blocks)
			x.MarkUsed(now, blocks)
		}
		net.send(now, cache.events)
		if i >= warmUpSeconds*stepsPerSecond {
			count += len(cache.events)
		}
		cache.events = nil
		x.Apply(now, net.deliver(now))
		if i == snapshotAt {
			x.Snapshot(now, snapshot)
		}
		if x.NeedsSnapshot() && i >= snapshotAt+snapshotIntervalSteps {
			snapshot, snapshotAt = cache.snapshot(), i+snapshotLagSteps
		}
		if i >= warmUpSeconds*stepsPerSecond && i%stepsPerSecond == 0 {
			precision, recall := measureAccuracy(now, x, cache)
			sum.precision += precision
			sum.recall += recall
		}
	}
	measuredSeconds := float64(seconds - warmUpSeconds)
	return accuracy{
		eventsPerSecond: float64(count) / measuredSeconds, precision: sum.precision / measuredSeconds, recall: sum.recall / measuredSeconds,
		retention: x.Retention(epoch.Add(seconds * time.Second)), snapshots: x.Stats().Snapshots,
	}
}

func measureAccuracy(now time.Time, x *cacheindex.Index, cache *lruCache) (precision, recall float64) {
	reported, correct := 0, 0
	for _, block := range x.CachedBlocks(now) {
		reported++
		if _, ok := cache.elements[block]; ok {
			correct++
		}
	}
	return float64(correct) / float64(reported), float64(correct) / float64(len(cache.elements))
}

// With lost events, most reported blocks must be cached and most cached blocks reported.
func TestReportedBlocksAreCachedUnderLoss(t *testing.T) {
	for _, repair := range []cacheindex.Repair{cacheindex.Resync, cacheindex.Expire} {
		name := map[cacheindex.Repair]string{cacheindex.Resync: "resync", cacheindex.Expire: "expire"}[repair]
		for _, run := range []struct{ loss, loadFactor float64 }{{0, 1}, {0.01, 1}, {0.5, 1}, {0.5, 3}} {
			p := simulate(repair, run.loss, run.loadFactor)
			t.Logf("%s, %2.0f%% lost, load %.0f, %.0f events/s: precision %.4f, recall %.4f, retention %.1f s, %d snapshots",
				name, run.loss*100, run.loadFactor, p.eventsPerSecond, p.precision, p.recall, p.retention.Seconds(), p.snapshots)
			assert.InDelta(t, 1200*(1+run.loadFactor)/2, p.eventsPerSecond, 300)
			assert.Greater(t, p.precision, 0.97)
			assert.Greater(t, p.recall, 0.85)
		}
	}
}

func BenchmarkApply(b *testing.B) {
	for _, blocks := range []int{5_750, 11_500, 23_000, 46_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			x := fill(blocks)
			seq := uint64(blocks)
			events := make([]engine.CacheEvent, 2)
			eventBlocks := make([]engine.BlockHash, 2)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += 2 {
				eventBlocks[0], eventBlocks[1] = engine.BlockHash(seq), engine.BlockHash(seq-uint64(blocks))
				events[0] = engine.CacheEvent{Incarnation: 1, Seq: seq + 1, Kind: engine.BlocksStored, Blocks: eventBlocks[:1]}
				events[1] = engine.CacheEvent{Incarnation: 1, Seq: seq + 2, Kind: engine.BlocksRemoved, Blocks: eventBlocks[1:]}
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
