package lease

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/platform"
)

const (
	keeperTick   = 200 * time.Millisecond
	tableTimeout = 2 * time.Second
	// closeWait is how long Close waits for a call in flight before it cancels it.
	// A canceled renewal may still take effect and change the row's version, on
	// which the write that releases the lease depends.
	closeWait = 500 * time.Millisecond
	// closeTimeout bounds Close: the waits for a call in flight, before and after it is
	// canceled, a read and a write.
	closeTimeout = 3*closeWait + tableTimeout
)

// Keeper contends for one lease and renews it until Close. It is safe for
// concurrent use.
type Keeper struct {
	table  platform.Table
	clock  platform.Clock
	cancel context.CancelFunc
	// stop is closed to end the loop after the call in flight, done when the loop
	// has ended.
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
	// contend reports whether to try for the lease now; nil: always.
	contend func() bool

	mu    sync.Mutex
	lease *Lease
}

// Keep starts to contend for a lease. clock is BootClock except in tests.
func Keep(ctx context.Context, table platform.Table, name, holder string, settings Settings, clock platform.Clock) *Keeper {
	return KeepIf(ctx, table, name, holder, settings, clock, nil)
}

// KeepIf is like Keep, but tries for the lease only while contend returns true:
// with many contenders the reads of the lease would load the store. A lease that
// is held is renewed in any case.
func KeepIf(ctx context.Context, table platform.Table, name, holder string, settings Settings, clock platform.Clock, contend func() bool) *Keeper {
	k := &Keeper{table: table, clock: clock, stop: make(chan struct{}), done: make(chan struct{}), lease: New(name, holder, settings), contend: contend}
	ctx, k.cancel = context.WithCancel(ctx)
	go k.run(ctx)
	return k
}

// Held returns the fencing number, and ok while the holder may act. Call it before
// each action that requires the lease.
func (k *Keeper) Held() (fence uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Held(k.clock())
}

// Inherited reports whether the lease had an earlier holder.
func (k *Keeper) Inherited() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Inherited()
}

// Close stops contending and releases the lease, within closeTimeout. A lease whose release
// is not answered by then may be held until it expires. The holder must not act any more when
// Close is called.
func (k *Keeper) Close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if !k.finish(ctx) {
		klog.InfoS("Lease not released: a call on it has not returned", "lease", k.lease.name)
		return
	}
	if k.uncertain() {
		readCtx, cancel := context.WithTimeout(ctx, closeWait)
		k.read(readCtx)
		cancel()
	}
	k.mu.Lock()
	action := k.lease.Release(k.clock())
	k.mu.Unlock()
	if action == nil {
		return
	}
	result, err := k.table.Commit(ctx, *action.Commit)
	if err != nil || !result.Committed {
		klog.InfoS("Lease not released; others can take it when it expires", "lease", k.lease.name, "committed", result.Committed, "err", err)
	}
}

// finish ends the loop and reports whether it has ended. It cancels the call in flight after
// closeWait, or when ctx ends.
func (k *Keeper) finish(ctx context.Context) bool {
	k.stopOnce.Do(func() { close(k.stop) })
	defer k.cancel()
	timer := time.NewTimer(closeWait)
	defer timer.Stop()
	select {
	case <-k.done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	k.cancel()
	timer.Reset(closeWait)
	select {
	case <-k.done:
		return true
	case <-timer.C:
		return false
	}
}

func (k *Keeper) uncertain() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Uncertain()
}

func (k *Keeper) run(ctx context.Context) {
	defer close(k.done)
	ticker := time.NewTicker(keeperTick)
	defer ticker.Stop()
	for {
		k.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-k.stop:
			return
		case <-ticker.C:
		}
	}
}

func (k *Keeper) step(ctx context.Context) {
	k.mu.Lock()
	if k.contend != nil && k.lease.Idle() && !k.contend() {
		k.mu.Unlock()
		return
	}
	action := k.lease.Tick(k.clock())
	k.mu.Unlock()
	if action == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if action.Commit != nil {
		result, err := k.table.Commit(ctx, *action.Commit)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.lease.CommitDone(k.clock(), result, err)
		return
	}
	k.read(ctx)
}

func (k *Keeper) read(ctx context.Context) {
	rows, err := k.table.Get(ctx, k.lease.Key())
	var row *platform.Row
	if len(rows) > 0 {
		row = &rows[0]
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.lease.ReadDone(k.clock(), row, err); err != nil {
		klog.ErrorS(err, "Cannot decode the row of a lease", "lease", k.lease.name)
	}
}
