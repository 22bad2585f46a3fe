package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/roster"
)

// lostProbeInterval is the time between two probes. At 810 entries each is probed every 14
// minutes, at a cost of one small call a second in the whole fleet.
const lostProbeInterval = time.Second

// removeLostEntries removes the rows of entries that are gone for good, while this entry
// holds the rollout lease, so that one entry of the fleet probes.
func (g *Gateway) removeLostEntries(ctx context.Context) {
	lost := roster.NewLost()
	g.every(ctx, lostProbeInterval, func(now time.Time) {
		lost.List(slices.Collect(maps.Keys(g.peers.others())))
		if _, holds := g.keeper.Held(); !holds {
			lost.Forget()
			return
		}
		if node, ok := lost.Next(now); ok {
			g.probeEntry(ctx, lost, node)
		}
	})
}

// probeEntry calls an entry and removes its row if it is gone for good. The row may be
// written again while the entry is probed at the address in the row before, so its version
// is read first.
func (g *Gateway) probeEntry(ctx context.Context, lost *roster.Lost, node string) {
	version := g.entries.rowVersion(node)
	row, listed := g.peers.others()[node]
	if version == 0 || !listed {
		return
	}
	if err := g.peers.call(ctx, http.MethodGet, row.Address, "/v1/weights", nil, nil); err == nil {
		lost.Answered(node)
		return
	}
	if lost.Silent(time.Now(), node, version) {
		g.removeEntry(ctx, node, version)
	}
}

// removeEntry removes the row of another entry, unless it has changed since the version.
func (g *Gateway) removeEntry(ctx context.Context, node string, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := entryPrefix + node
	result, err := g.ports.Table.Commit(ctx, platform.Txn{Conditions: []platform.Condition{{Key: key, Version: version}}, Deletes: []string{key}})
	klog.InfoS("Row of a lost entry removed", "entry", node, "rowVersion", version, "removed", err == nil && result.Committed, "err", err)
}
