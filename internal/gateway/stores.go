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
	// storePause between two questions to a store, for each entry that asks: all
	// of them together ask it no more often than some twenty times a second. While a
	// store is down a fetch from it holds an engine up for some hundred ms.
	storePause        = 500 * time.Millisecond
	storePausePerPeer = 50 * time.Millisecond
	// storeCallTime bounds a question.
	storeCallTime = 400 * time.Millisecond
)

// storeWatch is what an entry knows of one store of kept cache.
type storeWatch struct {
	epoch, next uint64
	down        bool
}

// watchStores follows what the stores of kept cache take in and drop, and
// whether they are there.
func (g *Gateway) watchStores(ctx context.Context) {
	if g.ports.KeptStores == nil {
		return
	}
	watches := map[string]*storeWatch{}
	for ctx.Err() == nil {
		if table := g.state.table.Load(); table != nil && g.decides() {
			for _, store := range table.Stores {
				w := watches[store.Address]
				if w == nil {
					w = &storeWatch{}
					watches[store.Address] = w
				}
				g.askStore(ctx, store.Address, w)
			}
		}
		sleep(ctx, max(storePause, storePausePerPeer*time.Duration(g.deciders())))
	}
}

// askStore takes in what one store says, or that it says nothing.
func (g *Gateway) askStore(ctx context.Context, address string, w *storeWatch) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTime)
	defer cancel()
	changes, err := g.ports.KeptStores.Changes(callCtx, address, w.next)
	switch {
	case errors.Is(err, call.ErrBusy), ctx.Err() != nil:
		return
	case err != nil:
		g.metrics.Count("kept_store", "not_answered", 1)
		if !w.down {
			w.down = true
			klog.InfoS("Store of kept cache lost", "store", address, "epoch", w.epoch, "err", err)
			g.state.storeDown(address, true)
		}
		return
	}
	if w.down {
		klog.InfoS("Store of kept cache regained", "store", address, "epoch", changes.Epoch)
		g.state.storeDown(address, false)
	}
	if w.epoch != 0 && w.epoch != changes.Epoch {
		klog.InfoS("Store of kept cache started again, empty", "store", address, "epoch", changes.Epoch, "before", w.epoch)
		g.state.storesEmptied()
	}
	*w = storeWatch{epoch: changes.Epoch, next: changes.Next}
	g.state.storeChanged(address, changes.Parts)
}

// storeDown takes a store out of decisions, or back into them, empty.
func (s *state) storeDown(address string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storesDown[address] = down
	s.storesOf = nil
	s.storesEmptiedLocked()
}

func (s *state) storesEmptied() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storesEmptiedLocked()
}

func (s *state) storesEmptiedLocked() {
	for _, router := range s.routers() {
		router.ForgetStoredParts()
	}
}

func (s *state) storeChanged(address string, parts []call.PartChange) {
	if len(parts) == 0 {
		return
	}
	now := time.Now()
	store := routing.NewKVCacheStore(address, "", 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		for _, router := range s.routers() {
			router.UpdateStoredPart(now, &store, part.Salt, part.Part, !part.Dropped)
		}
	}
}
