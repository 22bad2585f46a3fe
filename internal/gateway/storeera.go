package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// What an entry does when the store comes back from an older copy of its rows, in a new era.

const (
	// peerRounds is how often an entry asks another one for what it knows in a new era,
	// with peerRoundPause between: the others may not have read the store yet, or start.
	peerRounds     = 3
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
	changed := f.copy.Apply(batch)
	f.apply(now, changed, source)
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
		g.interruptOtherPolls(f)
	}
}

// enterEra applies the store's first batch of an era, and asks other entries for what they
// know better. An entry that starts knows nothing yet and asks before it applies the batch:
// otherwise it could serve by an older configuration until they answer.
func (g *Gateway) enterEra(ctx context.Context, f *feed, batch mirror.Batch) {
	var known mirror.Batch
	var peer string
	if f.version() == 0 {
		known, peer = g.askPeer(ctx, firstReadTimeout, f)
	}
	g.applyBatch(f, batch, sourceStore)
	if known.Version > 0 {
		g.applyBatch(f, known, peer)
	}
	g.spawn(func() {
		for range peerRounds {
			if known, peer := g.askPeer(ctx, peerTimeout, f); known.Version > 0 {
				g.applyBatch(f, known, peer)
			}
			sleep(ctx, peerRoundPause)
		}
	})
}

// askPeer returns the complete table of another entry; its version is 0 if none answered.
func (g *Gateway) askPeer(ctx context.Context, begin time.Duration, f *feed) (batch mirror.Batch, peer string) {
	batch, peer, err := g.peers.pull(ctx, begin, f.table, 0)
	if err != nil {
		klog.V(1).InfoS("Table could not be read from any other entry", "table", f.table, "err", err)
		return mirror.Batch{}, ""
	}
	return batch, peer
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
