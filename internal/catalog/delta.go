package catalog

import (
	"errors"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// ErrGap means that a delta can't be applied because changes between the table
// and the delta are missing. The caller needs a snapshot.
var ErrGap = errors.New("changes of the catalog are missing")

// ApplyDelta returns the table after all changes of the delta, or the receiver if
// the delta has nothing newer. Changes that the table already includes are
// skipped. The error is ErrGap if a change is missing: the result would lack
// part of the content of its generation.
func (t *Table) ApplyDelta(delta *jayv1.CatalogDelta) (*Table, error) {
	base := t
	if snapshot := delta.GetSnapshot(); snapshot.GetGeneration() > t.generation {
		base = Build(snapshot)
	}
	var pending []*jayv1.Change
	next := base.generation + 1
	for _, change := range delta.GetChanges() {
		if change.GetGeneration() < next {
			continue
		}
		if change.GetGeneration() > next {
			return nil, eris.Wrapf(ErrGap, "table is at generation %d, next change makes generation %d", next-1, change.GetGeneration())
		}
		pending = append(pending, change)
		next++
	}
	if len(pending) == 0 {
		return base, nil
	}
	return base.applyChanges(pending), nil
}

// applyChanges applies consecutive changes and builds only the last table.
func (t *Table) applyChanges(changes []*jayv1.Change) *Table {
	resources := make(map[string]*jayv1.Resource, len(t.resources))
	for name, resource := range t.resources {
		resources[name] = resource
	}
	for _, change := range changes {
		for _, name := range change.GetDelete() {
			delete(resources, name)
		}
		for _, resource := range change.GetPut() {
			resources[NameOf(resource)] = resource
		}
	}
	snapshot := &jayv1.Snapshot{Generation: changes[len(changes)-1].GetGeneration()}
	for _, resource := range resources {
		snapshot.Resources = append(snapshot.Resources, resource)
	}
	return Build(snapshot)
}
