package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/cacheindex"
	"github.com/jayproxy/jayproxy/internal/engine"
)

const (
	// eventRetryInterval is the pause before the event stream is opened again.
	eventRetryInterval = 200 * time.Millisecond
	// repairInterval is how often the index is checked for overdue events and
	// for the need of a snapshot.
	repairInterval = 100 * time.Millisecond
	// snapshotInterval is the minimum time between two snapshots, which cost
	// processor time in the engine and in the agent.
	snapshotInterval = time.Second
	// snapshotTimeout bounds the read of one snapshot.
	snapshotTimeout = 5 * time.Second
	// seekStep is the distance in sequence numbers between two attempts to find
	// the events that an engine retains. It is less than the number of retained
	// events, so that no step skips them all.
	seekStep = 2048
	// maxSeekSteps bounds the search.
	maxSeekSteps = 1 << 14
)

// engineCache keeps the index of the engine's cache up to date.
type engineCache struct {
	engine engine.Engine

	mu      sync.Mutex
	index   *cacheindex.Index
	aliases *cacheindex.Aliases
	// snapshots is false once the engine has reported that it has none.
	snapshots bool
}

func newEngineCache(e engine.Engine, now time.Time) *engineCache {
	return &engineCache{
		engine:    e,
		index:     cacheindex.New(now, cacheindex.Options{Repair: cacheindex.Resync}),
		aliases:   cacheindex.NewAliases(cacheindex.DefaultAliases),
		snapshots: true,
	}
}

// lookup returns the length in bytes of the prompt's prefix that the engine has
// cached now, and of the prefix that was submitted to this engine before.
func (c *engineCache) lookup(now time.Time, chain []*jayv1.PrefixPoint) (cached, submitted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index.CachedBytes(now, c.aliases, chain), c.aliases.KnownBytes(chain)
}

// recordSubmitted records which of the engine's blocks correspond to the prefix
// points of a submitted prompt.
func (c *engineCache) recordSubmitted(chain []*jayv1.PrefixPoint, req engine.Request) {
	blocks, ends, err := c.engine.Blocks(req)
	if err != nil {
		klog.V(1).InfoS("prompt not added to the cache index: its block hashes could not be computed", "request", req.ID, "error", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aliases.Record(chain, blocks, ends)
	c.index.MarkUsed(time.Now(), blocks)
}

func (c *engineCache) observeIncarnation(incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index.ObserveIncarnation(incarnation)
}

func (c *engineCache) incarnation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index.Incarnation()
}

func (c *engineCache) retention(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index.Retention(now)
}

// evicting reports whether the engine has removed blocks to free space.
func (c *engineCache) evicting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index.HasEvicted()
}

// repair reads snapshots when the index needs one, and has the index treat
// overdue events as lost. It runs until the context ends.
func (c *engineCache) repair(ctx context.Context) {
	ticker := time.NewTicker(repairInterval)
	defer ticker.Stop()
	var lastSnapshot time.Time
	for {
		now := time.Now()
		c.mu.Lock()
		c.index.Tick(now)
		wanted := c.index.NeedsSnapshot() && c.snapshots
		c.mu.Unlock()
		if wanted && now.Sub(lastSnapshot) >= snapshotInterval {
			lastSnapshot = now
			c.resync(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// resync replaces the index's contents by a snapshot. For an engine without
// snapshots it switches the index to the Expire mode of repair.
func (c *engineCache) resync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	snapshot, err := c.engine.Snapshot(ctx)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(err, engine.ErrUnsupported):
		c.snapshots = false
		incarnation := c.index.Incarnation()
		c.index = cacheindex.New(now, cacheindex.Options{Repair: cacheindex.Expire})
		c.index.ObserveIncarnation(incarnation)
		c.index.StreamLost(now)
	case err != nil:
		klog.V(1).InfoS("cache snapshot could not be read", "error", err.Error())
	default:
		c.index.Snapshot(now, snapshot)
	}
}

// followEvents reads cache events until the context ends.
func (c *engineCache) followEvents(ctx context.Context) {
	for ctx.Err() == nil {
		if reader := c.openEvents(ctx); reader != nil {
			err := c.readEvents(ctx, reader)
			_ = reader.Close()
			klog.V(1).InfoS("cache event stream ended", "cause", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(eventRetryInterval):
		}
	}
}

func (c *engineCache) readEvents(ctx context.Context, reader engine.EventReader) error {
	for {
		events, err := reader.Next(ctx)
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.index.Apply(time.Now(), events)
		c.mu.Unlock()
	}
}

// openEvents subscribes after the last event in the index. When the engine no
// longer has the following events, the index is marked as lost: a snapshot then
// gives the next sequence number, and without snapshots it is searched for.
// Returns nil when no subscription was made.
func (c *engineCache) openEvents(ctx context.Context) engine.EventReader {
	c.mu.Lock()
	after := max(c.index.Next(), 1) - 1
	c.mu.Unlock()
	reader, err := c.engine.Events(ctx, after)
	if err == nil {
		return reader
	}
	if !errors.Is(err, engine.ErrGap) {
		return nil
	}
	c.mu.Lock()
	c.index.StreamLost(time.Now())
	snapshots := c.snapshots
	c.mu.Unlock()
	if snapshots {
		return nil
	}
	return c.seekEvents(ctx)
}

// seekEvents subscribes to the events that the engine still retains. Returns
// nil when it finds none.
func (c *engineCache) seekEvents(ctx context.Context) engine.EventReader {
	for i := range uint64(maxSeekSteps) {
		reader, err := c.engine.Events(ctx, i*seekStep)
		if err == nil {
			return reader
		}
		if !errors.Is(err, engine.ErrGap) {
			return nil
		}
	}
	return nil
}
