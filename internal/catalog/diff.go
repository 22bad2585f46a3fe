package catalog

import (
	"sort"

	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Difference is what turns one set of resources into another. Names are
// kind/name and sorted.
type Difference struct {
	Created []string `json:"created,omitempty"`
	Updated []string `json:"updated,omitempty"`
	Deleted []string `json:"deleted,omitempty"`
	// Put holds the created and updated resources in order of name.
	Put []*jayv1.Resource `json:"-"`
}

// Empty tells whether both sets are the same.
func (d Difference) Empty() bool { return len(d.Put) == 0 && len(d.Deleted) == 0 }

// Diff compares the table with a declared set. Resources that the set does not
// name are deleted only when prune is set.
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

// finish sorts the names and collects the resources to put.
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

// DiffDelete is the difference that deletes the named resources, as far as
// they exist.
func DiffDelete(table *Table, names ...string) Difference {
	var d Difference
	for _, name := range names {
		if _, ok := table.resources[name]; ok {
			d.Deleted = append(d.Deleted, name)
		}
	}
	return d.finish(nil)
}

// ResourcesAfter returns the whole set of resources that the table holds once the
// difference is applied, in no order.
func (t *Table) ResourcesAfter(d Difference) []*jayv1.Resource {
	gone := make(map[string]bool, len(d.Deleted)+len(d.Put))
	for _, name := range d.Deleted {
		gone[name] = true
	}
	for _, resource := range d.Put {
		gone[NameOf(resource)] = true
	}
	all := make([]*jayv1.Resource, 0, len(t.resources)+len(d.Put))
	for name, resource := range t.resources {
		if !gone[name] {
			all = append(all, resource)
		}
	}
	return append(all, d.Put...)
}
