package orders_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/orders"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

func version(n int) *jayv1.ModelVersion {
	return &jayv1.ModelVersion{Name: fmt.Sprint("v", n), Digest: fmt.Sprint("d", n)}
}

// fakePool carries out orders, each within a number of steps.
type fakePool struct {
	state      orders.State
	stepsLeft  map[string]int
	inProgress map[string]orders.Order
}

func newFakePool(t *rapid.T) *fakePool {
	count := rapid.IntRange(1, 8).Draw(t, "servers")
	pool := &jayv1.Pool{
		Name: "p", ActiveVersion: "v1", Versions: []*jayv1.ModelVersion{version(1)},
		MinReady: uint32(rapid.IntRange(0, count).Draw(t, "min_ready")),
	}
	f := &fakePool{stepsLeft: map[string]int{}, inProgress: map[string]orders.Order{}}
	f.state = orders.State{Pool: pool, MaxLoads: rapid.IntRange(1, 3).Draw(t, "max loads")}
	for i := range count {
		f.state.Servers = append(f.state.Servers, orders.Server{Name: fmt.Sprint("s", i), Reachable: true, Ready: true, Versions: []string{"d1"}})
	}
	return f
}

func (f *fakePool) serving() int {
	n := 0
	for _, server := range f.state.Servers {
		if orders.Serving(f.state.Pool, server) {
			n++
		}
	}
	return n
}

// start starts the orders and marks their servers as busy.
func (f *fakePool) start(t *rapid.T, plan []orders.Order) {
	for _, order := range plan {
		for i := range f.state.Servers {
			if f.state.Servers[i].Name == order.Server {
				require.False(t, f.state.Servers[i].Busy)
				f.state.Servers[i].Busy = true
			}
		}
		f.inProgress[order.Server] = order
		f.stepsLeft[order.Server] = rapid.IntRange(1, 4).Draw(t, "steps")
	}
}

func (f *fakePool) step() {
	for i := range f.state.Servers {
		server := &f.state.Servers[i]
		if f.stepsLeft[server.Name]--; !server.Busy || f.stepsLeft[server.Name] > 0 {
			continue
		}
		server.Busy = false
		order := f.inProgress[server.Name]
		switch order.Kind {
		case jayv1.OrderKind_ORDER_KIND_LOAD_VERSION:
			server.Versions = append(server.Versions, order.Digest)
		case jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION:
			server.Versions = slices.DeleteFunc(server.Versions, func(d string) bool { return d == order.Digest })
		case jayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER:
			server.Adapters = append(server.Adapters, order.Adapter)
		case jayv1.OrderKind_ORDER_KIND_UNLOAD_ADAPTER:
			server.Adapters = slices.DeleteFunc(server.Adapters, func(a string) bool { return a == order.Adapter })
		}
	}
}

// Guards against a rollout that takes too many servers out of service. Whatever is declared and whichever servers fail,
// orders never reduce the serving servers to fewer than min_ready nor exceed MaxLoads, and a rollout ends.
func TestRolloutKeepsTheDeclaredNumberReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakePool(t)
		pool := f.state.Pool
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				next := len(pool.Versions) + 1
				if next <= 3 {
					pool.Versions = append(pool.Versions, version(next))
				}
			case 1:
				pool.Adapters = []*jayv1.Adapter{{Name: "a", Digest: "da"}}
			case 2:
				i := rapid.IntRange(0, len(f.state.Servers)-1).Draw(t, "server")
				f.state.Servers[i].Ready = !f.state.Servers[i].Ready
			case 3:
				i := rapid.IntRange(0, len(f.state.Servers)-1).Draw(t, "server")
				f.state.Servers[i].Draining = !f.state.Servers[i].Draining
			}
			before := f.serving()
			plan := orders.Plan(f.state)
			f.start(t, plan)
			if f.serving() < before {
				require.GreaterOrEqual(t, f.serving(), int(pool.GetMinReady()), "orders %v", plan)
			}
			busy := 0
			for _, server := range f.state.Servers {
				if server.Busy {
					busy++
				}
			}
			require.LessOrEqual(t, busy, f.state.MaxLoads)
			f.step()
		}
		f.requireEnd(t)
	})
}

// requireEnd checks that the rollout ends once all servers are ready, provided that
// min_ready allows at least one of them to be out of service.
func (f *fakePool) requireEnd(t *rapid.T) {
	pool := f.state.Pool
	for i := range f.state.Servers {
		f.state.Servers[i].Ready, f.state.Servers[i].Draining = true, false
	}
	if int(pool.MinReady) >= len(f.state.Servers) {
		return
	}
	for range 400 {
		f.start(t, orders.Plan(f.state))
		f.step()
	}
	for _, server := range f.state.Servers {
		for _, declared := range pool.Versions {
			require.Contains(t, server.Versions, declared.Digest)
		}
		require.Len(t, server.Versions, len(pool.Versions))
	}
}

func TestServersThatDoNotServeComeFirst(t *testing.T) {
	pool := &jayv1.Pool{ActiveVersion: "v2", Versions: []*jayv1.ModelVersion{version(1), version(2)}, MinReady: 1}
	state := orders.State{Pool: pool, MaxLoads: 1, Servers: []orders.Server{
		{Name: "a", Reachable: true, Ready: true, Versions: []string{"d2"}},
		{Name: "b", Reachable: true, Ready: true, Versions: []string{"d1"}},
		{Name: "c", Reachable: false, Ready: true},
	}}
	assert.Equal(t, []orders.Order{{Server: "b", Kind: jayv1.OrderKind_ORDER_KIND_LOAD_VERSION, Digest: "d2"}}, orders.Plan(state))
}

func TestUnloadsOnlyWhenEverythingDeclaredIsLoaded(t *testing.T) {
	pool := &jayv1.Pool{ActiveVersion: "v2", Versions: []*jayv1.ModelVersion{version(2)}, Adapters: []*jayv1.Adapter{{Name: "a", Digest: "da"}}}
	server := orders.Server{Name: "s", Reachable: true, Ready: true, Versions: []string{"d1"}}
	kinds := []jayv1.OrderKind{}
	for range 4 {
		plan := orders.Plan(orders.State{Pool: pool, MaxLoads: 1, Servers: []orders.Server{server}})
		if len(plan) == 0 {
			break
		}
		kinds = append(kinds, plan[0].Kind)
		switch plan[0].Kind {
		case jayv1.OrderKind_ORDER_KIND_LOAD_VERSION:
			server.Versions = append(server.Versions, plan[0].Digest)
		case jayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER:
			server.Adapters = append(server.Adapters, plan[0].Adapter)
		case jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION:
			server.Versions = []string{"d2"}
		}
	}
	assert.Equal(t, []jayv1.OrderKind{
		jayv1.OrderKind_ORDER_KIND_LOAD_VERSION, jayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER, jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION,
	}, kinds)
}
