package catalog

import (
	"sort"

	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Difference is the difference between two sets of resources. Names are of the
// form kind/name and sorted.
type Difference struct {
	Created []string `json:"created,omitempty"`
	Updated []string `json:"updated,omitempty"`
	Deleted []string `json:"deleted,omitempty"`
	// Put holds the created and updated resources in order of name.
	Put []*jayv1.Resource `json:"-"`
}

// Empty reports whether both sets are the same.
func (d Difference) Empty() bool { return len(d.Put) == 0 && len(d.Deleted) == 0 }

// Diff returns the difference from the table to a declared set. Resources that
// are not in the set are deleted only if prune is true.
func Diff(table *Table, declared []*jayv1.Resource, prune bool) Difference {
	var d Difference
	wanted := make(map[string]*jayv1.Resource, len(declared))
	for _, resource := range declared {
		wanted[NameOf(resource)] = resource
	}
	for name, resource := range wanted {
		current, exists := table.resources[name]
		switch {
		case !exists:
			d.Created = append(d.Created, name)
		case !proto.Equal(current, resource):
			d.Updated = append(d.Updated, name)
		}
	}
	if prune {
		for name := range table.resources {
			if _, ok := wanted[name]; !ok {
				d.Deleted = append(d.Deleted, name)
			}
		}
	}
	return d.finish(wanted)
}

// finish sorts the names and fills Put from the declared resources.
func (d Difference) finish(wanted map[string]*jayv1.Resource) Difference {
	sort.Strings(d.Created)
	sort.Strings(d.Updated)
	sort.Strings(d.Deleted)
	names := append(append([]string{}, d.Created...), d.Updated...)
	sort.Strings(names)
	for _, name := range names {
		d.Put = append(d.Put, wanted[name])
	}
	return d
}

// DiffDelete returns the difference that deletes those of the named resources
// that exist.
func DiffDelete(table *Table, names ...string) Difference {
	var d Difference
	for _, name := range names {
		if _, ok := table.resources[name]; ok {
			d.Deleted = append(d.Deleted, name)
		}
	}
	return d.finish(nil)
}

// ResourcesAfter returns all resources of the table after the difference, in no
// particular order.
func (t *Table) ResourcesAfter(d Difference) []*jayv1.Resource {
	replaced := make(map[string]bool, len(d.Deleted)+len(d.Put))
	for _, name := range d.Deleted {
		replaced[name] = true
	}
	for _, resource := range d.Put {
		replaced[NameOf(resource)] = true
	}
	all := make([]*jayv1.Resource, 0, len(t.resources)+len(d.Put))
	for name, resource := range t.resources {
		if !replaced[name] {
			all = append(all, resource)
		}
	}
	return append(all, d.Put...)
}
