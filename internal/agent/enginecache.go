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
	// eventRetry is the pause before the stream of events is opened again.
	eventRetry = 200 * time.Millisecond
	// cacheTick is how often overdue events are given up.
	cacheTick = 100 * time.Millisecond
	// snapshotEvery is the least time between two snapshots: one takes the
	// engine and the agent some milliseconds for 23,000 blocks.
	snapshotEvery = time.Second
	// snapshotTimeout bounds the reading of one.
	snapshotTimeout = 5 * time.Second
	// seekStep is less than the events that engines keep for late readers, and
	// seekTries bounds the search for the place where they start.
	seekStep  = 2048
	seekTries = 1 << 14
)

// engineCache keeps the index of the engine's cache up to date.
type engineCache struct {
	engine engine.Engine

	mu      sync.Mutex
	index   *cacheindex.Index
	aliases *cacheindex.Aliases
	// snapshots: the engine has them.
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

// look returns how much of a prompt's start is cached now, and how much was
// submitted here before.
func (c *engineCache) look(now time.Time, chain []*jayv1.PrefixPoint) (cached, known int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index.CachedBytes(now, c.aliases, chain), c.aliases.KnownBytes(chain)
}

// submitted learns which of the engine's blocks stand for the points of the
// prompt that was just handed over.
func (c *engineCache) submitted(chain []*jayv1.PrefixPoint, req engine.Request) {
	blocks, ends, err := c.engine.Blocks(req)
	if err != nil {
		klog.V(1).InfoS("blocks of a prompt not known", "request", req.ID, "error", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aliases.Record(chain, blocks, ends)
	c.index.MarkUsed(time.Now(), blocks)
}

func (c *engineCache) sawIncarnation(incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index.ObserveIncarnation(incarnation)
}

func (c *engineCache) incarnation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index.Incarnation()
}

func (c *engineCache) survival(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index.Retention(now)
}

// evicting tells whether the engine has removed blocks to make room.
func (c *engineCache) evicting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index.HasEvicted()
}

// repair reads snapshots when the index asks for them, and gives up overdue events.
func (c *engineCache) repair(ctx context.Context) {
	ticker := time.NewTicker(cacheTick)
	defer ticker.Stop()
	var lastSnapshot time.Time
	for {
		now := time.Now()
		c.mu.Lock()
		c.index.Tick(now)
		wanted := c.index.NeedsSnapshot() && c.snapshots
		c.mu.Unlock()
		if wanted && now.Sub(lastSnapshot) >= snapshotEvery {
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

// resync reads a snapshot. An engine that has none is followed by forgetting.
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
		klog.V(1).InfoS("no snapshot of the cache", "error", err.Error())
	default:
		c.index.Snapshot(now, snapshot)
	}
}

// follow reads cache events until the context ends.
func (c *engineCache) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if reader := c.open(ctx); reader != nil {
			err := c.read(ctx, reader)
			_ = reader.Close()
			klog.V(1).InfoS("cache events ended", "cause", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(eventRetry):
		}
	}
}

func (c *engineCache) read(ctx context.Context, reader engine.EventReader) error {
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

// open subscribes where the index stands. When the engine no longer has those
// events, the picture is lost; a snapshot tells where to go on, and without
// one the place is searched for.
func (c *engineCache) open(ctx context.Context) engine.EventReader {
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
	return c.seek(ctx)
}

// seek finds the events that the engine still keeps.
func (c *engineCache) seek(ctx context.Context) engine.EventReader {
	for i := range uint64(seekTries) {
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
