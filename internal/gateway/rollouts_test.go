package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/roster"
	"github.com/jayproxy/jayproxy/internal/shard"
)

// Guards against a new holder sending orders to engines that the previous holder has just
// ordered, because it was not sent these orders.
func TestReceivesOrders(t *testing.T) {
	now := time.Now()
	for node, want := range map[string]bool{"gw39": true, "gw37": true, "owner": true, "gw3": false} {
		s := newOwner(node)
		cores := map[string]float64{}
		for i := range 40 {
			cores[fmt.Sprint("gw", i)] = float64(i)
		}
		settings := Settings{Node: node, Cores: cores[node]}
		g := &Gateway{settings: settings, state: s, peers: newPeers(settings), metrics: metrics.New(8)}
		ctx, cancel := context.WithCancel(context.Background())
		g.settings.HintAddress = "127.0.0.1:0"
		g.startDatagrams(ctx)
		require.NotNil(t, g.datagrams.conn)
		for i := range 40 {
			name := fmt.Sprint("gw", i)
			g.peers.put(name, roster.Row{Address: fmt.Sprint("10.0.0.", i, ":1"), Cores: cores[name]})
		}
		s.setOwners([]shard.Entry{{Name: "owner", Cores: 1}})
		assert.Equal(t, want, g.receivesOrders(now), node)
		for i := range 40 {
			g.peers.remove(time.Now(), fmt.Sprint("gw", i))
		}
		assert.True(t, g.receivesOrders(now), "in a small fleet every entry is sent the orders")
		cancel()
	}
}
