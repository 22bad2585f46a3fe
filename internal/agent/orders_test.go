package agent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/ordergate"
	"github.com/jayproxy/jayproxy/internal/standin/platform"
)

func (fix *fixture) order(order *jayv1.Order) *jayv1.OrderReply {
	fix.t.Helper()
	order.BackendServer = "b1"
	s := fix.open()
	defer func() { _ = s.CloseSend() }()
	send(fix.t, s, &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Order{Order: order}})
	return receive(fix.t, s).GetOrderReply()
}

func loadOrder(fence, seq uint64, version string) *jayv1.Order {
	return &jayv1.Order{Fence: fence, Seq: seq, Kind: jayv1.OrderKind_ORDER_KIND_LOAD_VERSION, Digest: version}
}

// Guards against undoing a rollout: an order of an earlier lease holder arrives after one of the
// next holder, the agent was replaced in between, and the engine does not check fencing.
func TestOrderOfExpiredLeaseHolderIsRefusedByNextAgent(t *testing.T) {
	table, err := platform.Start(platform.Options{})
	require.NoError(t, err)
	t.Cleanup(table.Close)
	with := func(s *agent.Settings) { s.Platform = table.URL() }

	first := newFixture(t, with)
	reply := first.order(loadOrder(8, 1, "new"))
	require.True(t, reply.GetDone(), reply.GetError())
	assert.EqualValues(t, 8, reply.GetFenceSeen())
	first.agent.Close()

	second := newFixture(t, with)
	reply = second.order(loadOrder(7, 9, "old"))
	assert.False(t, reply.GetDone())
	assert.Contains(t, reply.GetError(), ordergate.ErrStale.Error())
	assert.EqualValues(t, 8, reply.GetFenceSeen())
	assert.Empty(t, second.engine.ordered())
}

func TestOrdersNeedTableOrEngineThatChecksFencing(t *testing.T) {
	holder := catalog.NewHolder()
	fix := newFixture(t, func(s *agent.Settings) { s.Catalog = holder })
	reply := fix.order(loadOrder(1, 1, "new"))
	assert.Contains(t, reply.GetError(), ordergate.ErrNoWatermark.Error())
	holder.Adopt(catalog.Build(&jayv1.Snapshot{Generation: 1, Resources: []*jayv1.Resource{
		{Kind: &jayv1.Resource_BackendServer{BackendServer: &jayv1.BackendServer{Name: "b1", Pool: "p1", ChecksFencing: true}}},
	}}))
	reply = fix.order(loadOrder(1, 1, "new"))
	assert.True(t, reply.GetDone(), reply.GetError())
}

// Guards against a later order that overtakes one that the engine is still
// executing.
func TestOrdersReachTheEngineOneAtATime(t *testing.T) {
	table, err := platform.Start(platform.Options{})
	require.NoError(t, err)
	t.Cleanup(table.Close)
	fix := newFixture(t, func(s *agent.Settings) { s.Platform = table.URL() })
	slow := make(chan struct{})
	fix.engine.set(func(f *fakeEngine) {
		f.order = func(order engine.Order) error {
			if order.Digest == "slow" {
				<-slow
			}
			return nil
		}
	})
	replies := make(chan *jayv1.OrderReply, 2)
	go func() { replies <- fix.order(loadOrder(1, 1, "slow")) }()
	require.Eventually(t, func() bool { return len(fix.engine.ordered()) == 1 }, 5*time.Second, time.Millisecond)
	go func() { replies <- fix.order(loadOrder(1, 2, "next")) }()
	require.Never(t, func() bool { return len(fix.engine.ordered()) > 1 }, 100*time.Millisecond, 5*time.Millisecond)
	close(slow)
	for range 2 {
		reply := <-replies
		assert.True(t, reply.GetDone(), reply.GetError())
	}
	ordered := fix.engine.ordered()
	require.Len(t, ordered, 2)
	assert.Equal(t, "next", ordered[1].Digest)
}
