// Package orders plans which model versions and adapters the backend servers of a
// pool load and unload. Plan is a pure function of the declared pool and the last
// observed servers, and keeps no state: a process that takes the pool's lease over
// continues the rollout of its predecessor.
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
	// Reachable: its agent has answered recently.
	Reachable bool
	// Ready: its agent reports that it accepts requests.
	Ready bool
	// Draining: it is draining or shutting down, and gets no orders.
	Draining bool
	// Busy: an order to it is in progress.
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
	// MaxLoads is how many servers may load at once, since they share the bandwidth of
	// the weight store.
	MaxLoads int
}

// Order is one command to one backend server.
type Order struct {
	Server  string
	Kind    jayv1.OrderKind
	Digest  string
	Adapter string
}

// Serving reports whether the server can serve new requests of the pool: it is
// reachable and ready, neither draining nor busy, and has the active version.
func Serving(pool *jayv1.Pool, server Server) bool {
	active := catalog.ActiveVersion(pool)
	return server.Reachable && server.Ready && !server.Draining && !server.Busy &&
		active != nil && slices.Contains(server.Versions, active.GetDigest())
}

// Done reports whether the observed server shows the effect of the order.
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
// A server is out of service while it carries an order out. A serving server gets
// an order only if at least min_ready others keep serving. Servers that do not serve
// come first, since an order to them takes no capacity away.
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
	for _, server := range candidates(state) {
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

// candidates returns the servers that may get orders: those that do not serve
// first, then by name, so that every process plans the same.
func candidates(state State) []Server {
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

// next returns the next order of a server: first loads of the active version, of
// the other declared versions and of adapters, then unloads.
func next(pool *jayv1.Pool, server Server) (Order, bool) {
	if order, ok := missingVersion(pool, server); ok {
		return order, true
	}
	for _, adapter := range pool.GetAdapters() {
		if !slices.Contains(server.Adapters, adapter.GetName()) {
			return Order{Server: server.Name, Kind: jayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER, Digest: adapter.GetDigest(), Adapter: adapter.GetName()}, true
		}
	}
	return nextUnload(pool, server)
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

// nextUnload returns an order to unload a version or adapter that is no longer
// declared. It is called only when everything declared is loaded, so that a server
// is not left without a version.
func nextUnload(pool *jayv1.Pool, server Server) (Order, bool) {
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
