package gateway

import (
	"context"
	"net/http"
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
		if _, holds := g.keeper.Held(); !holds {
			lost = roster.NewLost()
			return
		}
		rows := g.peers.others()
		nodes := make([]string, 0, len(rows))
		for node := range rows {
			nodes = append(nodes, node)
		}
		node, ok := lost.Next(now, nodes)
		if !ok {
			return
		}
		if err := g.peers.call(ctx, http.MethodGet, rows[node].Address, "/v1/weights", nil, nil); err == nil {
			lost.Answered(node)
			return
		}
		if lost.Silent(time.Now(), node, len(nodes)+1) {
			g.removeEntry(ctx, node)
		}
	})
}

// removeEntry removes the row of another entry, unless it has changed.
func (g *Gateway) removeEntry(ctx context.Context, node string) {
	version := g.entries.rowVersion(node)
	if version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := entryPrefix + node
	result, err := g.ports.Table.Commit(ctx, platform.Txn{Conditions: []platform.Condition{{Key: key, Version: version}}, Deletes: []string{key}})
	klog.InfoS("Row of a lost entry removed", "entry", node, "rowVersion", version, "removed", err == nil && result.Committed, "err", err)
}
