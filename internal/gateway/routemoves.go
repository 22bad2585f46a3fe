package gateway

import (
	"slices"
	"time"

	"github.com/jayproxy/jayproxy/internal/routetable"
)

// routeMoveTime is how long moves of routes are kept, longer than a stream may be taken up.
const routeMoveTime = 10 * time.Minute

// routeMoves is when routes last led to other services than now, by host and path prefix. Times
// are since boot.
type routeMoves map[routeKey]time.Time

type routeKey struct{ host, prefix string }

func keyOf(r *routetable.Route) routeKey { return routeKey{r.Host, r.Prefix} }

// note records which resumable routes of a new table lead to other services than before. A route
// that was not there may take over paths of another.
func (m routeMoves) note(now time.Time, before, after *routetable.Table) {
	for key, at := range m {
		if now.Sub(at) > routeMoveTime {
			delete(m, key)
		}
	}
	old := map[routeKey][]string{}
	for _, route := range before.DeclaredRoutes() {
		old[keyOf(&route)] = servicesOf(&route)
	}
	for _, route := range after.DeclaredRoutes() {
		if isResumable(&route) && !slices.Equal(old[keyOf(&route)], servicesOf(&route)) {
			m[keyOf(&route)] = now
		}
	}
}

// hadOnlyService reports whether a route has led to one service only in the time before now, as
// far as this process has seen its configurations.
func (m routeMoves) hadOnlyService(now time.Time, route *routetable.Route, within time.Duration) bool {
	movedAt, moved := m[keyOf(route)]
	return len(servicesOf(route)) == 1 && (!moved || now.Sub(movedAt) >= within)
}

// servicesOf returns the services that a route leads to, sorted.
func servicesOf(route *routetable.Route) []string {
	var services []string
	for _, target := range route.Targets {
		if target.Weight > 0 && !slices.Contains(services, target.Service) {
			services = append(services, target.Service)
		}
	}
	slices.Sort(services)
	return services
}
