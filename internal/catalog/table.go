// Package catalog holds the resources that operators declare: workspaces, pools
// with their versions and adapters, services, backend servers and rules. A Table
// is one immutable generation of them; each change builds a new Table.
package catalog

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Kinds of resources, as in names of the form kind/name.
const (
	KindWorkspace     = "workspace"
	KindPool          = "pool"
	KindService       = "service"
	KindBackendServer = "backend_server"
	KindRule          = "rule"
)

// Kinds lists the kinds of resources.
var Kinds = []string{KindWorkspace, KindPool, KindService, KindBackendServer, KindRule}

// IsKind reports whether name is the name of a kind of resources.
func IsKind(name string) bool { return newDecl(name) != nil }

// KindOf returns a resource's kind, "" for an empty resource.
func KindOf(resource *jayv1.Resource) string {
	kind, _, _ := strings.Cut(NameOf(resource), "/")
	return kind
}

// Table is one generation of the catalog, indexed for look-ups. It is immutable.
type Table struct {
	generation       uint64
	resources        map[string]*jayv1.Resource
	workspaceByKey   map[string]*jayv1.Workspace
	poolByName       map[string]*jayv1.Pool
	poolByModel      map[string]*jayv1.Pool
	serversByPool    map[string][]*jayv1.BackendServer
	serversByService map[string][]*jayv1.BackendServer
	rules            []*jayv1.Rule
}

// Build returns the table of a snapshot.
func Build(snapshot *jayv1.Snapshot) *Table {
	t := &Table{
		generation:       snapshot.GetGeneration(),
		resources:        make(map[string]*jayv1.Resource, len(snapshot.GetResources())),
		workspaceByKey:   map[string]*jayv1.Workspace{},
		poolByName:       map[string]*jayv1.Pool{},
		poolByModel:      map[string]*jayv1.Pool{},
		serversByPool:    map[string][]*jayv1.BackendServer{},
		serversByService: map[string][]*jayv1.BackendServer{},
	}
	for _, resource := range snapshot.GetResources() {
		t.resources[NameOf(resource)] = resource
	}
	for _, name := range t.names() {
		t.index(t.resources[name])
	}
	sort.SliceStable(t.rules, func(i, j int) bool {
		return t.rules[i].GetPriority() > t.rules[j].GetPriority()
	})
	return t
}

func (t *Table) index(resource *jayv1.Resource) {
	switch kind := resource.GetKind().(type) {
	case *jayv1.Resource_Workspace:
		for _, key := range kind.Workspace.GetKeys() {
			t.workspaceByKey[key.GetId()] = kind.Workspace
		}
	case *jayv1.Resource_Pool:
		t.poolByName[kind.Pool.GetName()] = kind.Pool
		t.poolByModel[kind.Pool.GetModel()] = kind.Pool
	case *jayv1.Resource_BackendServer:
		server := kind.BackendServer
		if pool := server.GetPool(); pool != "" {
			t.serversByPool[pool] = append(t.serversByPool[pool], server)
		}
		if service := server.GetService(); service != "" {
			t.serversByService[service] = append(t.serversByService[service], server)
		}
	case *jayv1.Resource_Rule:
		t.rules = append(t.rules, kind.Rule)
	}
}

func (t *Table) names() []string {
	names := make([]string, 0, len(t.resources))
	for name := range t.resources {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// NameOf returns a resource's name as kind/name, "" for an empty resource.
func NameOf(resource *jayv1.Resource) string {
	switch kind := resource.GetKind().(type) {
	case *jayv1.Resource_Workspace:
		return KindWorkspace + "/" + kind.Workspace.GetName()
	case *jayv1.Resource_Pool:
		return KindPool + "/" + kind.Pool.GetName()
	case *jayv1.Resource_Service:
		return KindService + "/" + kind.Service.GetName()
	case *jayv1.Resource_BackendServer:
		return KindBackendServer + "/" + kind.BackendServer.GetName()
	case *jayv1.Resource_Rule:
		return KindRule + "/" + kind.Rule.GetName()
	}
	return ""
}

// Generation returns the generation of the table; 0 before anything was
// declared.
func (t *Table) Generation() uint64 { return t.generation }

// Snapshot returns the table as a message, with the resources in order of name.
func (t *Table) Snapshot() *jayv1.Snapshot {
	snapshot := &jayv1.Snapshot{Generation: t.generation}
	for _, name := range t.names() {
		snapshot.Resources = append(snapshot.Resources, t.resources[name])
	}
	return snapshot
}

// Resource looks a resource up by kind/name.
func (t *Table) Resource(name string) (*jayv1.Resource, bool) {
	resource, ok := t.resources[name]
	return resource, ok
}

// Workspace looks a workspace up by name.
func (t *Table) Workspace(name string) (*jayv1.Workspace, bool) {
	resource, ok := t.resources[KindWorkspace+"/"+name]
	return resource.GetWorkspace(), ok
}

// WorkspaceOfKey returns the workspace that owns the key with the public id.
func (t *Table) WorkspaceOfKey(id string) (*jayv1.Workspace, bool) {
	workspace, ok := t.workspaceByKey[id]
	return workspace, ok
}

// Workspaces returns all workspaces in order of name.
func (t *Table) Workspaces() []*jayv1.Workspace {
	var all []*jayv1.Workspace
	for _, name := range t.names() {
		if w := t.resources[name].GetWorkspace(); w != nil {
			all = append(all, w)
		}
	}
	return all
}

// Pool looks a pool up by name.
func (t *Table) Pool(name string) (*jayv1.Pool, bool) {
	pool, ok := t.poolByName[name]
	return pool, ok
}

// PoolOfModel returns the pool that serves the model that callers name in their
// requests.
func (t *Table) PoolOfModel(model string) (*jayv1.Pool, bool) {
	pool, ok := t.poolByModel[model]
	return pool, ok
}

// Pools returns all pools in order of name.
func (t *Table) Pools() []*jayv1.Pool {
	var all []*jayv1.Pool
	for _, name := range t.names() {
		if p := t.resources[name].GetPool(); p != nil {
			all = append(all, p)
		}
	}
	return all
}

// Service looks a service up by name.
func (t *Table) Service(name string) (*jayv1.Service, bool) {
	resource, ok := t.resources[KindService+"/"+name]
	return resource.GetService(), ok
}

// BackendServer looks a backend server up by name.
func (t *Table) BackendServer(name string) (*jayv1.BackendServer, bool) {
	resource, ok := t.resources[KindBackendServer+"/"+name]
	return resource.GetBackendServer(), ok
}

// BackendServersOfPool returns a pool's backend servers in order of name.
func (t *Table) BackendServersOfPool(pool string) []*jayv1.BackendServer {
	return t.serversByPool[pool]
}

// BackendServersOfService returns a service's backend servers in order of name.
func (t *Table) BackendServersOfService(service string) []*jayv1.BackendServer {
	return t.serversByService[service]
}

// BackendServers returns all backend servers in order of name.
func (t *Table) BackendServers() []*jayv1.BackendServer {
	var all []*jayv1.BackendServer
	for _, name := range t.names() {
		if b := t.resources[name].GetBackendServer(); b != nil {
			all = append(all, b)
		}
	}
	return all
}

// ActiveVersion returns the version that new requests of the pool use, or nil if
// active_version names no declared version.
func ActiveVersion(pool *jayv1.Pool) *jayv1.ModelVersion {
	for _, version := range pool.GetVersions() {
		if version.GetName() == pool.GetActiveVersion() {
			return version
		}
	}
	return nil
}

// Traffic is what rules match on. Exactly one of Model and Service is set.
type Traffic struct {
	Workspace  string
	Model      string
	Service    string
	ClassLabel string
}

// Match returns the first rule that matches, in descending order of priority and
// then by name, or nil.
func (t *Table) Match(traffic Traffic) *jayv1.Rule {
	for _, rule := range t.rules {
		if matches(rule, traffic) {
			return rule
		}
	}
	return nil
}

func matches(rule *jayv1.Rule, traffic Traffic) bool {
	if rule.GetClassLabel() != "" && rule.GetClassLabel() != traffic.ClassLabel {
		return false
	}
	if !emptyOrContains(rule.GetWorkspaces(), traffic.Workspace) {
		return false
	}
	// A rule that names only models matches no services, and the reverse.
	namesTargets := len(rule.GetModels())+len(rule.GetServices()) > 0
	if !namesTargets {
		return true
	}
	if traffic.Model != "" {
		return len(rule.GetModels()) > 0 && emptyOrContains(rule.GetModels(), traffic.Model)
	}
	return len(rule.GetServices()) > 0 && emptyOrContains(rule.GetServices(), traffic.Service)
}

// emptyOrContains reports whether the list is empty or contains the value.
func emptyOrContains(list []string, value string) bool {
	if len(list) == 0 {
		return true
	}
	for _, candidate := range list {
		if candidate == value {
			return true
		}
	}
	return false
}

// NonRepeatable reports whether a call of the service may run at most once.
// Declared path prefixes match whole path elements.
func NonRepeatable(service *jayv1.Service, method, path string) bool {
	for _, call := range service.GetNonRepeatable() {
		if call.GetMethod() != "" && !strings.EqualFold(call.GetMethod(), method) {
			continue
		}
		prefix := strings.Trim(call.GetPathPrefix(), "/")
		trimmed := strings.Trim(path, "/")
		if prefix == "" || trimmed == prefix || strings.HasPrefix(trimmed, prefix+"/") {
			return true
		}
	}
	return false
}

// ApplyChange returns the table after a change. It is an error if the change does
// not make the next generation.
func (t *Table) ApplyChange(change *jayv1.Change) (*Table, error) {
	if change.GetGeneration() != t.generation+1 {
		return nil, eris.Errorf("change makes generation %d, but the table is at generation %d", change.GetGeneration(), t.generation)
	}
	resources := make(map[string]*jayv1.Resource, len(t.resources))
	for name, resource := range t.resources {
		resources[name] = resource
	}
	for _, name := range change.GetDelete() {
		delete(resources, name)
	}
	for _, resource := range change.GetPut() {
		resources[NameOf(resource)] = resource
	}
	snapshot := &jayv1.Snapshot{Generation: change.GetGeneration()}
	for _, resource := range resources {
		snapshot.Resources = append(snapshot.Resources, resource)
	}
	return Build(snapshot), nil
}

// Holder holds the table in force in a process. Its generation never decreases.
// It is safe for concurrent use.
type Holder struct {
	table atomic.Pointer[Table]
	mu    sync.Mutex
	next  chan struct{}
}

// NewHolder returns a holder of an empty table of generation 0.
func NewHolder() *Holder {
	h := &Holder{next: make(chan struct{})}
	h.table.Store(Build(&jayv1.Snapshot{}))
	return h
}

// Next returns a channel that is closed when a newer table is adopted. Call Next
// before Current, so that no adoption is missed.
func (h *Holder) Next() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next
}

// Current returns the table in force.
func (h *Holder) Current() *Table { return h.table.Load() }

// Adopt puts a table in force if it is newer than the current one, and reports
// whether it did. A delayed answer, for example of a peer that was suspended,
// must not restore an older configuration.
func (h *Holder) Adopt(table *Table) bool {
	for {
		current := h.table.Load()
		if table.generation <= current.generation {
			return false
		}
		if h.table.CompareAndSwap(current, table) {
			h.notifyChanged()
			return true
		}
	}
}

func (h *Holder) notifyChanged() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.next)
	h.next = make(chan struct{})
}
