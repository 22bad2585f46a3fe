package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// What an entry does when the store comes back from an older copy of its rows, in a new era.

const (
	// peerRounds is how often an entry asks askedPeers others for what they know in a new
	// era, with peerRoundPause between: they may not have read the store yet, or start.
	peerRounds     = 3
	askedPeers     = 3
	peerRoundPause = time.Second
)

// applyBatch applies a batch to the copy and to this entry's view, one batch at a time.
func (g *Gateway) applyBatch(f *feed, batch mirror.Batch, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if held := f.copy.Version(); held > 0 && platform.EraOf(batch.Version) > platform.EraOf(held) {
		g.eraChanged(now, f, held, batch.Version, source)
	}
	held, unseen := f.copy.Version(), f.copy.UnseenRows()
	if f.table == g.ports.Decoder.BackendTable {
		g.state.noteRenewals(batch, held, f.complete.moment(), lease.BootClock())
	}
	changed := f.copy.Apply(batch)
	f.apply(now, changed, source)
	if f.table != g.ports.Decoder.BackendTable {
		return
	}
	if held > 0 {
		g.state.noteUnseenServers(batch.Snapshot && batch.Version > held, f.copy.UnseenRows()-unseen)
	}
	g.state.observeSoftware()
}

// eraChanged logs and counts a new era of the store. Servers whose registrations it has lost
// register again, so the list keeps them for its grace period. Reads that block may wait
// for versions of the era before.
func (g *Gateway) eraChanged(now time.Time, f *feed, held, version uint64, source string) {
	g.metrics.Count("store_eras", f.table, 1)
	klog.InfoS("Store era changed", "table", f.table, "from", platform.EraOf(held), "to", platform.EraOf(version),
		"version", platform.CommitOf(version), "held", platform.CommitOf(held), "source", source)
	if f.table == g.ports.Decoder.BackendTable {
		g.state.listRestored(now)
		g.state.forgetRenewals()
		g.interruptOtherPolls(f)
	}
}

// enterEra applies the store's first batch of an era, and asks other entries for what they
// know better. An entry that starts knows nothing yet and asks before it applies the batch:
// otherwise it could serve by an older configuration until they answer.
func (g *Gateway) enterEra(ctx context.Context, f *feed, batch mirror.Batch) {
	var known []peerBatch
	if f.version() == 0 {
		known = g.askPeers(ctx, firstReadTimeout, f)
	}
	g.applyBatch(f, batch, sourceStore)
	g.applyKnown(f, known)
	g.spawn(func() {
		for range peerRounds {
			g.applyKnown(f, g.askPeers(ctx, peerTimeout, f))
			sleep(ctx, peerRoundPause)
		}
	})
}

// peerBatch is what another entry knows of a table.
type peerBatch struct {
	mirror.Batch
	peer string
}

// askPeers asks some other entries at once for what they know of a table; the responses must
// begin within the given time.
func (g *Gateway) askPeers(ctx context.Context, begin time.Duration, f *feed) []peerBatch {
	addresses := g.peers.addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	known := make([]peerBatch, min(len(addresses), askedPeers))
	var asked sync.WaitGroup
	for i := range known {
		asked.Go(func() {
			response, err := g.peers.table(ctx, begin, addresses[i], f.table, wholeTable)
			if err != nil {
				klog.V(1).InfoS("Table could not be read from another entry", "table", f.table, "entry", addresses[i], "err", err)
				return
			}
			known[i] = peerBatch{response.Batch, addresses[i]}
		})
	}
	asked.Wait()
	return known
}

func (g *Gateway) applyKnown(f *feed, known []peerBatch) {
	for _, batch := range known {
		if batch.Version > 0 {
			g.applyBatch(f, batch.Batch, batch.peer)
		}
	}
}

// interruptOtherPolls ends the blocking reads of the other tables.
func (g *Gateway) interruptOtherPolls(f *feed) {
	for _, other := range g.feeds {
		if other != f {
			other.interruptPoll()
		}
	}
}

// listRestored records that the store is readable again after it may have lost registrations.
func (s *state) listRestored(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Restored(now)
}
