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
	// stopWait bounds how long Close waits for a call to the table that is under
	// way. Broken off, a renewal may have been carried out: the row is then another
	// than the one that is to be given back.
	stopWait = 500 * time.Millisecond
)

// Keeper contends for one lease and renews it until Close. Safe for concurrent use.
type Keeper struct {
	table  platform.Table
	clock  platform.Clock
	cancel context.CancelFunc
	// stop ends the contention after the call under way, done when that is over.
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
	// contend tells whether to try for the lease now; nil: always.
	contend func() bool

	mu    sync.Mutex
	lease *Lease
}

// Keep starts to contend. clock is BootClock but in tests.
func Keep(ctx context.Context, table platform.Table, name, holder string, settings Settings, clock platform.Clock) *Keeper {
	return KeepIf(ctx, table, name, holder, settings, clock, nil)
}

// KeepIf is Keep for one of many contenders: it tries only while contend says
// so, since each look at the lease is a call to the store. A lease that is held
// is renewed in any case.
func KeepIf(ctx context.Context, table platform.Table, name, holder string, settings Settings, clock platform.Clock, contend func() bool) *Keeper {
	k := &Keeper{table: table, clock: clock, stop: make(chan struct{}), done: make(chan struct{}), lease: New(name, holder, settings), contend: contend}
	ctx, k.cancel = context.WithCancel(ctx)
	go k.run(ctx)
	return k
}

// Held returns the fencing number while the holder may act; ask before each act.
func (k *Keeper) Held() (fence uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Held(k.clock())
}

// Inherited tells whether somebody held the lease before this holder.
func (k *Keeper) Inherited() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Inherited()
}

// Close gives the lease back and stops. The holder must have stopped to act.
func (k *Keeper) Close(ctx context.Context) {
	k.finish(ctx)
	if k.inDoubt() {
		readCtx, cancel := context.WithTimeout(ctx, stopWait)
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
		klog.InfoS("Lease not given back; it lapses", "lease", k.lease.name, "committed", result.Committed, "err", err)
	}
}

// finish ends the contention: the call under way is broken off only when it
// takes too long.
func (k *Keeper) finish(ctx context.Context) {
	k.stopOnce.Do(func() { close(k.stop) })
	defer k.cancel()
	timer := time.NewTimer(stopWait)
	defer timer.Stop()
	select {
	case <-k.done:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	k.cancel()
	<-k.done
}

func (k *Keeper) inDoubt() bool {
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
		klog.ErrorS(err, "Lease not understood", "lease", k.lease.name)
	}
}
