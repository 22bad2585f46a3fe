package catalog

import (
	"slices"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/findings"
)

// CheckStep returns the findings of a change from the table to a valid set of
// resources. A change may activate only a version that was declared before, and
// must keep the previously active one declared.
//
// Otherwise entries would send requests for the new version while the backend
// servers have only the old one loaded, and callers would be refused until the
// new one is loaded, regardless of min_ready.
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
			found.Add(path+".active_version", "version %q is not declared yet: declare it in one change, and activate it in a later one once it is loaded", next.GetActiveVersion())
		}
		if !declares(next, current.GetActiveVersion()) {
			found.Add(path+".versions", "version %q is active until this change: keep it declared, and remove it in a later change", current.GetActiveVersion())
		}
	}
	return found
}

func declares(pool *jayv1.Pool, version string) bool {
	return slices.ContainsFunc(pool.GetVersions(), func(v *jayv1.ModelVersion) bool { return v.GetName() == version })
}
