package gateway

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/routing"
)

const (
	// kvStorePollPause is the least pause between two polls of the KV cache stores by one
	// entry. kvStorePollPausePerPeer limits the rate of all polling entries together to
	// about twenty a second. Polls must be frequent, as a fetch from a store that is down
	// delays an engine by some hundred milliseconds.
	kvStorePollPause        = 500 * time.Millisecond
	kvStorePollPausePerPeer = 50 * time.Millisecond
	// kvStoreCallTimeout bounds a poll.
	kvStoreCallTimeout = 400 * time.Millisecond
)

// kvStoreWatch is the state of polling one KV cache store.
type kvStoreWatch struct {
	// epoch identifies one run of the store, next is the position to poll from.
	epoch, next uint64
	down        bool
}

// watchKVStores polls the KV cache stores for what they add and drop, and detects whether
// they answer.
func (g *Gateway) watchKVStores(ctx context.Context) {
	if g.ports.KVStores == nil {
		return
	}
	watches := map[string]*kvStoreWatch{}
	for ctx.Err() == nil {
		if table := g.state.table.Load(); table != nil && g.isDeciding() {
			for _, store := range table.KVStores {
				w := watches[store.Address]
				if w == nil {
					w = &kvStoreWatch{}
					watches[store.Address] = w
				}
				g.pollKVStore(ctx, store.Address, w)
			}
		}
		sleep(ctx, max(kvStorePollPause, kvStorePollPausePerPeer*time.Duration(g.decidingEntries())))
	}
}

// pollKVStore applies the changes reported by one store, or records that it did not
// respond.
func (g *Gateway) pollKVStore(ctx context.Context, address string, w *kvStoreWatch) {
	callCtx, cancel := context.WithTimeout(ctx, kvStoreCallTimeout)
	defer cancel()
	changes, err := g.ports.KVStores.Changes(callCtx, address, w.next)
	switch {
	case errors.Is(err, call.ErrBusy), ctx.Err() != nil:
		return
	case err != nil:
		g.metrics.Count("kept_store", "not_answered", 1)
		g.countExceeded(err)
		if !w.down {
			w.down = true
			klog.InfoS("KV cache store lost", "store", address, "epoch", w.epoch, "err", err)
			g.state.setKVStoreDown(address, true)
		}
		return
	}
	if w.down {
		klog.InfoS("KV cache store regained", "store", address, "epoch", changes.Epoch)
		g.state.setKVStoreDown(address, false)
	}
	if w.epoch != 0 && w.epoch != changes.Epoch {
		klog.InfoS("KV cache store restarted empty", "store", address, "epoch", changes.Epoch, "before", w.epoch)
		g.state.kvStoresCleared()
	}
	*w = kvStoreWatch{epoch: changes.Epoch, next: changes.Next}
	g.state.kvStoreChanged(address, changes.Parts)
}

// setKVStoreDown excludes a store from placement or includes it again, and clears the
// recorded contents of all stores.
func (s *state) setKVStoreDown(address string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kvStoresDown[address] = down
	s.kvStoresEngine = nil
	s.kvStoresClearedLocked()
}

func (s *state) kvStoresCleared() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kvStoresClearedLocked()
}

func (s *state) kvStoresClearedLocked() {
	for _, router := range s.routers() {
		router.ForgetStoredParts()
	}
}

func (s *state) kvStoreChanged(address string, parts []call.PartChange) {
	if len(parts) == 0 {
		return
	}
	now := time.Now()
	store := routing.NewKVStore(address, "", 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		for _, router := range s.routers() {
			router.UpdateStoredPart(now, &store, part.Salt, part.Part, !part.Dropped)
		}
	}
}
