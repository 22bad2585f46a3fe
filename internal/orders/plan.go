// Package orders plans which model versions and adapters the backend servers
// of a pool load and unload. Plan is pure: it looks at what is declared and at
// what was last observed, and returns the orders that may be given now. The
// same function plans for a holder that just took over, so a rollout goes on
// when its holder dies.
package orders

import (
	"slices"
	"sort"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

// Server is a backend server of the pool as last observed.
type Server struct {
	Name string
	// Reachable: its agent answered lately.
	Reachable bool
	// Ready: it takes work, as its agent says.
	Ready bool
	// Draining: it is draining or shutting down, and gets no orders.
	Draining bool
	// Busy: an order to it is under way, or it is loading.
	Busy bool
	// Versions loaded, by digest.
	Versions []string
	// Adapters loaded, by name.
	Adapters []string
}

// State is a pool at one moment.
type State struct {
	Pool    *jayv1.Pool
	Servers []Server
	// MaxLoads is how many servers may load at once: the weight store's rate is
	// shared by all of them.
	MaxLoads int
}

// Order is one command to one backend server.
type Order struct {
	Server  string
	Kind    jayv1.OrderKind
	Digest  string
	Adapter string
}

// Serving tells whether the server answers new requests of the pool: it is
// ready and has the active version.
func Serving(pool *jayv1.Pool, server Server) bool {
	active := catalog.ActiveVersion(pool)
	return server.Reachable && server.Ready && !server.Draining && !server.Busy &&
		active != nil && slices.Contains(server.Versions, active.GetDigest())
}

// Done tells whether the order's effect shows at the server.
func Done(order Order, server Server) bool {
	switch order.Kind {
	case jayv1.OrderKind_ORDER_KIND_LOAD_VERSION:
		return slices.Contains(server.Versions, order.Digest)
	case jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION:
		return !slices.Contains(server.Versions, order.Digest)
	case jayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		return slices.Contains(server.Adapters, order.Adapter)
	case jayv1.OrderKind_ORDER_KIND_UNLOAD_ADAPTER:
		return !slices.Contains(server.Adapters, order.Adapter)
	}
	return false
}

// Plan returns the orders to give now, at most one per server.
//
// An order takes a server out of service for its time. A server that serves
// gets one only while more than min_ready others of the pool serve; one that
// does not serve gets its orders first, since they can only help.
func Plan(state State) []Order {
	serving := 0
	busy := 0
	for _, server := range state.Servers {
		if Serving(state.Pool, server) {
			serving++
		}
		if server.Busy {
			busy++
		}
	}
	spare := serving - int(state.Pool.GetMinReady())
	free := state.MaxLoads - busy
	var plan []Order
	for _, server := range byNeed(state) {
		if free <= 0 {
			break
		}
		order, needed := next(state.Pool, server)
		if !needed {
			continue
		}
		if Serving(state.Pool, server) {
			if spare <= 0 {
				continue
			}
			spare--
		}
		free--
		plan = append(plan, order)
	}
	return plan
}

// byNeed orders the servers that may get orders: those that do not serve
// first, then by name, so that two holders plan alike.
func byNeed(state State) []Server {
	var servers []Server
	for _, server := range state.Servers {
		if server.Reachable && !server.Draining && !server.Busy {
			servers = append(servers, server)
		}
	}
	sort.SliceStable(servers, func(i, j int) bool {
		a, b := Serving(state.Pool, servers[i]), Serving(state.Pool, servers[j])
		if a != b {
			return b
		}
		return servers[i].Name < servers[j].Name
	})
	return servers
}

// next is the most needed order of a server: the active version, the other
// declared versions, adapters, and last what is to go.
func next(pool *jayv1.Pool, server Server) (Order, bool) {
	if order, ok := missingVersion(pool, server); ok {
		return order, true
	}
	for _, adapter := range pool.GetAdapters() {
		if !slices.Contains(server.Adapters, adapter.GetName()) {
			return Order{Server: server.Name, Kind: jayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER, Digest: adapter.GetDigest(), Adapter: adapter.GetName()}, true
		}
	}
	return superfluous(pool, server)
}

func missingVersion(pool *jayv1.Pool, server Server) (Order, bool) {
	wanted := slices.Clone(pool.GetVersions())
	sort.SliceStable(wanted, func(i, j int) bool {
		return wanted[i].GetName() == pool.GetActiveVersion() && wanted[j].GetName() != pool.GetActiveVersion()
	})
	for _, version := range wanted {
		if !slices.Contains(server.Versions, version.GetDigest()) {
			return Order{Server: server.Name, Kind: jayv1.OrderKind_ORDER_KIND_LOAD_VERSION, Digest: version.GetDigest()}, true
		}
	}
	return Order{}, false
}

// superfluous finds a loaded version or adapter that is declared no more. It is
// asked only when everything declared is loaded, so the last version of a
// server is never taken away.
func superfluous(pool *jayv1.Pool, server Server) (Order, bool) {
	for _, digest := range server.Versions {
		declared := slices.ContainsFunc(pool.GetVersions(), func(v *jayv1.ModelVersion) bool { return v.GetDigest() == digest })
		if !declared {
			return Order{Server: server.Name, Kind: jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION, Digest: digest}, true
		}
	}
	for _, name := range server.Adapters {
		declared := slices.ContainsFunc(pool.GetAdapters(), func(a *jayv1.Adapter) bool { return a.GetName() == name })
		if !declared {
			return Order{Server: server.Name, Kind: jayv1.OrderKind_ORDER_KIND_UNLOAD_ADAPTER, Adapter: name}, true
		}
	}
	return Order{}, false
}
