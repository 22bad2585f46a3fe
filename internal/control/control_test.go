package control_test

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/control"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// fakeAgent answers probes and executes orders. Like an engine it takes the time
// load for each order and is not ready meanwhile. It records all orders.
type fakeAgent struct {
	name string
	node *transport.Node
	load time.Duration

	mu       sync.Mutex
	versions []string
	loading  int
	orders   []*jayv1.Order
}

func (a *fakeAgent) state() *jayv1.AgentState {
	return &jayv1.AgentState{BackendServer: a.name, Ready: a.loading == 0, VersionDigests: slices.Clone(a.versions)}
}

func (a *fakeAgent) serve(_ context.Context, _ keys.Identity, stream *transport.Stream) {
	first := &jayv1.ClientFrame{}
	if stream.Receive(first) != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	order := first.GetOrder()
	if order == nil {
		_ = stream.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_ProbeReply{ProbeReply: &jayv1.ProbeReply{State: a.state()}}})
		return
	}
	a.orders = append(a.orders, order)
	a.loading++
	time.AfterFunc(a.load, func() { a.finish(order) })
	_ = stream.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_OrderReply{OrderReply: &jayv1.OrderReply{Done: true, FenceSeen: order.GetFence(), State: a.state()}}})
}

func (a *fakeAgent) finish(order *jayv1.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loading--
	switch order.GetKind() {
	case jayv1.OrderKind_ORDER_KIND_LOAD_VERSION:
		if !slices.Contains(a.versions, order.GetDigest()) {
			a.versions = append(a.versions, order.GetDigest())
		}
	case jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION:
		a.versions = slices.DeleteFunc(a.versions, func(d string) bool { return d == order.GetDigest() })
	}
}

// testPool is one pool of fake agents and the entries that control it.
type testPool struct {
	t         *testing.T
	authority *keys.Authority
	table     *platformtest.Memory
	holder    *catalog.Holder
	agents    []*fakeAgent
}

func (s *testPool) listen(role keys.Role, name string, handler transport.Handler) *transport.Node {
	dir := filepath.Join(s.t.TempDir(), name)
	cert, err := s.authority.Issue(keys.Identity{Role: role, Name: name}, time.Hour)
	require.NoError(s.t, err)
	require.NoError(s.t, cert.Save(dir))
	creds, err := transport.LoadCredentials(dir)
	require.NoError(s.t, err)
	node, err := transport.Listen(transport.Options{Address: "127.0.0.1:0"}, creds, handler)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = node.Close() })
	return node
}

func newTestPool(t *testing.T, servers int) *testPool {
	authority, err := keys.NewAuthority(time.Hour)
	require.NoError(t, err)
	s := &testPool{t: t, authority: authority, table: platformtest.New(), holder: catalog.NewHolder()}
	for i := range servers {
		agent := &fakeAgent{name: fmt.Sprint("b", i), versions: []string{"old"}, load: 60 * time.Millisecond}
		agent.node = s.listen(keys.RoleAgent, agent.name, agent.serve)
		s.agents = append(s.agents, agent)
	}
	return s
}

func (s *testPool) declare(generation uint64, minReady uint32, active string, versions ...string) {
	pool := &jayv1.Pool{Name: "p", Model: "m", ActiveVersion: active, MinReady: minReady}
	for _, v := range versions {
		pool.Versions = append(pool.Versions, &jayv1.ModelVersion{Name: v, Digest: v})
	}
	snapshot := &jayv1.Snapshot{Generation: generation, Resources: []*jayv1.Resource{{Kind: &jayv1.Resource_Pool{Pool: pool}}}}
	for _, agent := range s.agents {
		snapshot.Resources = append(snapshot.Resources, &jayv1.Resource{Kind: &jayv1.Resource_BackendServer{BackendServer: &jayv1.BackendServer{
			Name: agent.name, Pool: "p", AgentAddress: agent.node.Address(), DataCentre: "dc", Region: "r",
		}}})
	}
	s.holder.Adopt(catalog.Build(snapshot))
}

func fastSettings() control.Settings {
	settings := control.DefaultSettings()
	settings.Interval, settings.ProbeInterval = 20*time.Millisecond, 5*time.Millisecond
	settings.SettledInterval = 50 * time.Millisecond
	settings.Lease = lease.Settings{TTL: 1500 * time.Millisecond, Margin: 500 * time.Millisecond, Renew: 200 * time.Millisecond, Watch: 200 * time.Millisecond}
	return settings
}

// detachableTable is one entry's access to the table; it fails once the entry
// has crashed.
type detachableTable struct {
	platform.Table
	detached atomic.Bool
}

func (t *detachableTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if t.detached.Load() {
		return nil, platform.ErrUnavailable
	}
	return t.Table.Get(ctx, keys...)
}

func (t *detachableTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if t.detached.Load() {
		return platform.TxnResult{}, platform.ErrUnavailable
	}
	return t.Table.Commit(ctx, txn)
}

// testEntry is an entry that can crash, that is, stop without releasing its
// leases.
type testEntry struct {
	*control.Service
	table *detachableTable
}

func (e *testEntry) crash() {
	e.table.detached.Store(true)
	e.Close()
}

func (s *testPool) entry(ctx context.Context, name string, candidates ...string) *testEntry {
	table := &detachableTable{Table: s.table}
	node := s.listen(keys.RoleEntry, name, func(context.Context, keys.Identity, *transport.Stream) {})
	service, err := control.Start(ctx, control.Options{
		Name: name, Incarnation: "1", Settings: fastSettings(), Node: node, Holder: s.holder, Table: table,
		Candidates: func(string, int) []string { return candidates }, Clock: time.Now,
	})
	require.NoError(s.t, err)
	s.t.Cleanup(service.Close)
	return &testEntry{Service: service, table: table}
}

func (s *testPool) countAgents(ok func(*fakeAgent) bool) int {
	n := 0
	for _, agent := range s.agents {
		agent.mu.Lock()
		if ok(agent) {
			n++
		}
		agent.mu.Unlock()
	}
	return n
}

func hasLoaded(digests ...string) func(*fakeAgent) bool {
	return func(a *fakeAgent) bool {
		have := slices.Clone(a.versions)
		slices.Sort(have)
		return a.loading == 0 && slices.Equal(have, digests)
	}
}

// Guards against a rollout that stops when the entry that holds the lease
// crashes, falls below min_ready, or mixes orders of the old and new lease holder.
func TestRolloutContinuesWhenTheLeaseHolderCrashes(t *testing.T) {
	s := newTestPool(t, 6)
	s.declare(1, 4, "old", "old", "new")
	first := s.entry(t.Context(), "entry-1", "entry-1", "entry-2")
	second := s.entry(t.Context(), "entry-2", "entry-1", "entry-2")
	minReady := len(s.agents)
	trackReady := func(done func() bool) func() bool {
		return func() bool {
			minReady = min(minReady, s.countAgents(func(a *fakeAgent) bool { return a.loading == 0 }))
			return done()
		}
	}
	halfLoaded := func() bool { return s.countAgents(hasLoaded("new", "old")) >= 2 }
	require.Eventually(t, trackReady(halfLoaded), 10*time.Second, 2*time.Millisecond)
	leases := append(first.Leases(), second.Leases()...)
	assert.Equal(t, []string{"pool/p"}, leases)
	if len(second.Leases()) > 0 {
		second.crash()
	} else {
		first.crash()
	}
	require.Eventually(t, trackReady(func() bool { return s.countAgents(hasLoaded("new", "old")) == 6 }), 10*time.Second, 2*time.Millisecond)
	s.declare(2, 4, "new", "new")
	require.Eventually(t, trackReady(func() bool { return s.countAgents(hasLoaded("new")) == 6 }), 10*time.Second, 2*time.Millisecond)
	assert.GreaterOrEqual(t, minReady, 4, "fewest ready backend servers during the rollout")
	for _, agent := range s.agents {
		highest, seq := uint64(0), uint64(0)
		for _, order := range agent.orders {
			require.GreaterOrEqual(t, order.GetFence(), highest)
			require.True(t, order.GetFence() > highest || order.GetSeq() > seq)
			highest, seq = order.GetFence(), order.GetSeq()
		}
	}
}

// Guards against orders sent after the lease expired in an outage of the
// platform's table, and against orders that are not resumed after the outage.
func TestNoOrdersWithoutALease(t *testing.T) {
	s := newTestPool(t, 2)
	s.declare(1, 0, "old", "old")
	service := s.entry(t.Context(), "entry-1", "entry-1")
	require.Eventually(t, func() bool { return len(service.Leases()) == 1 }, 5*time.Second, 5*time.Millisecond)
	s.table.SetDown(true)
	require.Eventually(t, func() bool { return len(service.Leases()) == 0 }, 5*time.Second, 5*time.Millisecond)
	s.declare(2, 0, "old", "old", "new")
	require.Never(t, func() bool { return s.countAgents(func(a *fakeAgent) bool { return len(a.orders) > 0 }) > 0 }, 300*time.Millisecond, 5*time.Millisecond)
	s.table.SetDown(false)
	require.Eventually(t, func() bool { return s.countAgents(hasLoaded("new", "old")) == 2 }, 10*time.Second, 5*time.Millisecond)
}
