package catalog

import (
	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/findings"
)

// Warnings returns warnings about a whole set of resources: rules that several earlier ones
// together shadow, limits that contradict each other, and objects that nothing uses. A set
// with warnings is accepted.
func Warnings(resources []*jayv1.Resource) findings.List {
	var found findings.List
	table := Build(&jayv1.Snapshot{Resources: resources})
	kvServices := map[string]bool{}
	for _, pool := range table.Pools() {
		kvServices[pool.GetKvService()] = true
		warnOfPool(table, pool, &found)
	}
	for _, workspace := range table.Workspaces() {
		warnOfLimits(workspace, &found)
	}
	for _, name := range table.names() {
		service := table.resources[name].GetService()
		switch {
		case service == nil:
		case service.GetKvStore() && !kvServices[service.GetName()]:
			found.Warn(name+".kv_store", "the KV cache store is not used: no pool names it as its kv_service")
		case len(table.BackendServersOfService(service.GetName())) == 0:
			found.Warn(name, "no backend server is declared for the service")
		}
	}
	for _, rule := range table.rules {
		if onlyEnginePriority(rule) && len(rule.GetServices()) > 0 && len(rule.GetModels()) == 0 {
			found.Warn(KindRule+"/"+rule.GetName()+".engine_priority", "the rule has no effect: it matches only services, which have no engines")
		}
	}
	jointlyShadowedRules(table, &found)
	return found
}

func warnOfPool(table *Table, pool *jayv1.Pool, found *findings.List) {
	name := KindPool + "/" + pool.GetName()
	servers := table.BackendServersOfPool(pool.GetName())
	if len(servers) == 0 {
		found.Warn(name, "no backend server is declared for the pool")
		return
	}
	serving := 0
	for _, server := range servers {
		if !server.GetDraining() {
			serving++
		}
	}
	if serving < int(pool.GetMinReady()) && int(pool.GetMinReady()) <= len(servers) {
		found.Warn(name+".min_ready", "min_ready is %d, but only %d of the %d backend servers are not draining", pool.GetMinReady(), serving, len(servers))
	}
}

func warnOfLimits(workspace *jayv1.Workspace, found *findings.List) {
	limits := workspace.GetLimits()
	if tokens, requests := limits.GetTokensPerSecond(), limits.GetRequestsPerSecond(); tokens > 0 && tokens < requests {
		found.Warn(KindWorkspace+"/"+workspace.GetName()+".limits.tokens_per_second", "%g is below requests_per_second, %g: a prompt has at least one token", tokens, requests)
	}
}

// onlyEnginePriority reports whether a rule has no other effect.
func onlyEnginePriority(rule *jayv1.Rule) bool {
	return rule.GetEnginePriority() > 0 && !rule.GetDeny() && rule.GetClass() == jayv1.Class_CLASS_UNSPECIFIED &&
		len(rule.GetDataCentres()) == 0 && rule.GetDeadlineMs() == 0
}
