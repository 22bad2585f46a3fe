package catalog

import (
	"slices"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/findings"
)

// CheckStep finds what is wrong with the step from the table to a sound set of
// resources. A pool's active version may only move to a version that was
// declared before, and the old one stays declared in that change.
//
// In one step, the pool's backend servers would have the old version alone
// while every entry asks for the new one: callers would be refused until the
// weight store has filled each of them, whatever min_ready says.
func CheckStep(table *Table, resources []*jayv1.Resource) findings.List {
	var found findings.List
	for _, resource := range resources {
		next := resource.GetPool()
		current, existed := table.Pool(next.GetName())
		if next == nil || !existed || len(table.BackendServersOfPool(next.GetName())) == 0 {
			continue
		}
		if next.GetActiveVersion() == current.GetActiveVersion() {
			continue
		}
		path := NameOf(resource)
		if !declares(current, next.GetActiveVersion()) {
			found.Add(path+".active_version", "version %q is not declared yet: declare it in one change, activate it in a later one when it is loaded", next.GetActiveVersion())
		}
		if !declares(next, current.GetActiveVersion()) {
			found.Add(path+".versions", "version %q is active until this change: keep it declared, and remove it in a later one", current.GetActiveVersion())
		}
	}
	return found
}

func declares(pool *jayv1.Pool, version string) bool {
	return slices.ContainsFunc(pool.GetVersions(), func(v *jayv1.ModelVersion) bool { return v.GetName() == version })
}
