package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/shard"
)

// Guards against a new holder sending orders to engines that the previous holder has just
// ordered, because it was not sent these orders.
func TestReceivesOrders(t *testing.T) {
	now := time.Now()
	for node, want := range map[string]bool{"gw39": true, "gw37": true, "owner": true, "gw3": false} {
		s := newOwner(node)
		g := &Gateway{settings: Settings{Node: node}, state: s, peers: newTestPeers(node, 40), metrics: metrics.New(8)}
		ctx, cancel := context.WithCancel(context.Background())
		g.settings.HintAddress = "127.0.0.1:0"
		g.startDatagrams(ctx)
		require.NotNil(t, g.datagrams.conn)
		for i := range 40 {
			row := g.peers.rows[fmt.Sprint("gw", i)]
			row.Cores = float64(i)
			g.peers.rows[fmt.Sprint("gw", i)] = row
		}
		s.setOwners([]shard.Entry{{Name: "owner", Cores: 1}})
		assert.Equal(t, want, g.receivesOrders(now), node)
		g.peers.rows = map[string]entryRow{}
		assert.True(t, g.receivesOrders(now), "in a small fleet every entry is sent the orders")
		cancel()
	}
}
