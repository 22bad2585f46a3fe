// Package routetable holds what operators declare for forwarded calls: routes,
// services, workspaces and limits. A Table is immutable; a process swaps it
// whole and only for a higher version. It has no I/O, goroutine or clock.
package routetable

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind int

// The kinds of route.
const (
	// Once: a call may run at most once.
	Once Kind = iota
	// Idempotent: a call may run more than once.
	Idempotent
	// Stream: the answer is a series of events; runs at most once unless the
	// route is resumable.
	Stream
)

// Target is a service that a route sends a share of its calls to.
type Target struct {
	Service string
	// Weight is the share among the route's targets, any unit.
	Weight float64
}

// Route is one entry of the table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time a caller is kept waiting; 0: none.
	Timeout time.Duration
	// Target latency within which an answer is worth its full credit.
	Target time.Duration
	// GapTarget is the longest pause between events that is still on time.
	GapTarget time.Duration
	// EventTimeout is after how long without an event callers leave a stream,
	// before its first one too; 0: only at their deadline.
	EventTimeout time.Duration
	// Priority: 0 is the highest.
	Priority    int
	Targets     []Target
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Sticky routes carry prompts whose prefixes are cached.
	Sticky bool
	// Resumable streams may go on at another backend server.
	Resumable bool
}

// Repeatable tells whether a call may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine is what a service's model engines can do.
type Engine struct {
	Slots            int
	KVCapacityTokens int
	TokenBytes       int
	// MaxEventCalls is how many event calls one engine holds at once, from all callers.
	MaxEventCalls int
	Models        []string
}

// KVStore is a store of kept KV cache.
type KVStore struct {
	Address    string
	DataCentre string
	// CapacityTokens that it has room for.
	CapacityTokens int
	// LinkBytes that its link carries a second; 0: unknown.
	LinkBytes float64
}

// Service is a group of backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections one backend server takes from all callers; 0: unknown.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
	// KVStore is nil but for stores of kept KV cache.
	KVStore *KVStore
}

// Workspace is a customer of the fleet.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces the route's where HasPriority.
	Priority    int
	HasPriority bool
	// Isolated workspaces share no cached prefix with any other.
	Isolated bool
}

// Limits bound what a caller may send. Zero means no limit of its own.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one configuration.
type Table struct {
	Version    uint64
	Limits     Limits
	Workspaces []Workspace
	Services   map[string]*Service
	// Stores of kept KV cache, in order of their services' names. Services name no
	// store of their own, so all serve all engines.
	Stores []KVStore
	// byHost holds the routes of a host, longest prefix first.
	byHost map[string][]*Route
	// byKey finds the workspace of a key.
	byKey map[string]*Workspace
	// urgencies ranks what routes and workspaces declare.
	urgencies map[urgency]int
	// enginePriorities of the routes to model engines, each once.
	enginePriorities []int
}

// New builds a table. It keeps the slices.
func New(version uint64, limits Limits, routes []Route, services []Service, workspaces []Workspace) *Table {
	t := &Table{
		Version: version, Limits: limits, Workspaces: workspaces,
		Services: make(map[string]*Service, len(services)),
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Workspace{},
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &routes[i])
	}
	for _, of := range t.byHost {
		sort.SliceStable(of, func(i, j int) bool { return len(of[i].Prefix) > len(of[j].Prefix) })
	}
	for i := range services {
		t.Services[services[i].Name] = &services[i]
	}
	for i := range workspaces {
		for _, key := range workspaces[i].Keys {
			t.byKey[key] = &workspaces[i]
		}
	}
	t.Stores = storesOf(services)
	t.rankUrgencies()
	return t
}

func storesOf(services []Service) []KVStore {
	var with []*Service
	for i := range services {
		if services[i].KVStore != nil {
			with = append(with, &services[i])
		}
	}
	sort.Slice(with, func(i, j int) bool { return with[i].Name < with[j].Name })
	stores := make([]KVStore, 0, len(with))
	for _, service := range with {
		stores = append(stores, *service.KVStore)
	}
	return stores
}

// Match returns the route of a host with the longest prefix that begins the
// path, nil when there is none. host may carry a port.
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

// RequiresKeys tells whether calls on routes that are not public carry a key.
func (t *Table) RequiresKeys() bool { return len(t.Workspaces) > 0 }

// WorkspaceOf returns the workspace that holds the key, nil when none does.
func (t *Table) WorkspaceOf(key string) *Workspace { return t.byKey[key] }
