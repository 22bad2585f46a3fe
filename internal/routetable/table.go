// Package routetable holds what operators configure for forwarded calls: routes,
// services, workspaces and limits. A Table is immutable; a process replaces it only by
// one of a higher version. The package does no I/O, starts no goroutine and reads no
// clock.
package routetable

import (
	"sort"
	"strings"
	"time"

	"github.com/jayproxy/jayproxy/internal/quota"
)

// Kind is the kind of a route. It determines whether a call may run more than once.
type Kind int

// The kinds of route.
const (
	// Once: a call may run at most once.
	Once Kind = iota
	// Idempotent: a call may run more than once.
	Idempotent
	// Stream: the response is a stream of events. A call may run at most once unless the
	// route is resumable.
	Stream
)

// Target is a service that a route sends a part of its calls to.
type Target struct {
	Service string
	// Weight of the service, relative to the route's other targets.
	Weight float64
}

// Route is one route of the table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits; 0: no limit.
	Timeout time.Duration
	// LatencyTarget is the latency objective of a response.
	LatencyTarget time.Duration
	// GapTarget is the objective for the time between two events of a stream.
	GapTarget time.Duration
	// EventTimeout is how long callers wait for the first or next event of a stream
	// before they abandon it; 0: until their deadline.
	EventTimeout time.Duration
	// Priority of the route's calls; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the attempts of a call that may have run.
	MaxAttempts int
	// Public: calls need no API key.
	Public bool
	// Sticky: calls carry prompts whose prefixes backend servers cache.
	Sticky bool
	// Resumable: a stream may be continued by another backend server.
	Resumable bool
}

// Repeatable reports whether a call may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// KVCapacityTokens is how many tokens the KV cache of one engine can hold.
	KVCapacityTokens int
	// TokenBytes is the size of one token's KV cache in bytes.
	TokenBytes int
	// MaxEventCalls is how many event calls to one engine may be open at once, from all
	// callers together.
	MaxEventCalls int
	Models        []string
}

// KVStore is a KV cache store: it keeps KV cache outside the engines.
type KVStore struct {
	Address    string
	DataCentre string
	// CapacityTokens is how many tokens it can hold.
	CapacityTokens int
	// LinkBytes is the rate of its network link in bytes per second; 0: unknown.
	LinkBytes float64
}

// Service is a group of backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections one backend server accepts in total; 0:
	// unknown.
	MaxConns int
	// Engine is nil for services without model engines.
	Engine *Engine
	// KVStore is nil unless the service is a KV cache store.
	KVStore *KVStore
}

// Workspace is a customer of the fleet, identified by its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated: it shares no cached prefixes with other workspaces.
	Isolated bool
	Usage    Usage
	// Account of the workspace's usage cap; set by New.
	Account quota.Account
}

// Limits bound the requests of callers. A field that is zero sets no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version    uint64
	Limits     Limits
	Workspaces []Workspace
	Services   map[string]*Service
	// KVStores are the KV cache stores, sorted by the names of their services. Every store
	// serves all engines.
	KVStores []KVStore
	// routes and services are the declared ones, in their order. Services may be declared
	// twice; Services holds the last of them.
	routes   []Route
	services []Service
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*Route
	// byKey holds the workspace of each API key, byAccount that of each usage cap.
	byKey     map[string]*Workspace
	byAccount map[quota.Account]*Workspace
	// sharedScope is the CacheScope of workspaces that are not isolated.
	sharedScope string
	// priorityRanks ranks all priorities that requests to model engines can have.
	priorityRanks map[requestPriority]int
	// enginePriorities are the distinct priorities of the routes to model engines.
	enginePriorities []int
}

// New builds a table. The table keeps references to the slices, which must not change
// afterwards.
func New(version uint64, limits Limits, routes []Route, services []Service, workspaces []Workspace) *Table {
	t := &Table{
		Version: version, Limits: limits, Workspaces: workspaces, routes: routes, services: services,
		Services: make(map[string]*Service, len(services)),
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Workspace{}, byAccount: map[quota.Account]*Workspace{},
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &routes[i])
	}
	for _, hostRoutes := range t.byHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	for i := range services {
		t.Services[services[i].Name] = &services[i]
	}
	for i := range workspaces {
		for _, key := range workspaces[i].Keys {
			t.byKey[key] = &workspaces[i]
		}
	}
	t.assignAccounts()
	t.sharedScope = sharedScopeOf(workspaces)
	t.KVStores = kvStoresOf(services)
	t.rankPriorities()
	return t
}

func kvStoresOf(services []Service) []KVStore {
	var storeServices []*Service
	for i := range services {
		if services[i].KVStore != nil {
			storeServices = append(storeServices, &services[i])
		}
	}
	sort.Slice(storeServices, func(i, j int) bool { return storeServices[i].Name < storeServices[j].Name })
	stores := make([]KVStore, 0, len(storeServices))
	for _, service := range storeServices {
		stores = append(stores, *service.KVStore)
	}
	return stores
}

// DeclaredRoutes returns all routes in the order in which they are declared. The caller
// must not change them.
func (t *Table) DeclaredRoutes() []Route { return t.routes }

// DeclaredServices returns all services in the order in which they are declared. The
// caller must not change them.
func (t *Table) DeclaredServices() []Service { return t.services }

// Match returns the host's route with the longest prefix of the path, nil if there is
// none. host may include a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RequiresKeys reports whether calls on routes that are not public need an API key.
func (t *Table) RequiresKeys() bool { return len(t.Workspaces) > 0 }

// WorkspaceOf returns the workspace of an API key, nil if there is none.
func (t *Table) WorkspaceOf(key string) *Workspace { return t.byKey[key] }
