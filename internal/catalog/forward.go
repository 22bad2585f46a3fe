package catalog

import (
	"errors"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// ErrGap means that changes between the table and the delta are missing, so
// that the delta can't be applied; the caller asks for a snapshot.
var ErrGap = errors.New("changes of the catalog are missing")

// ApplyDelta applies a delta whole and returns the newest table it leads to; the
// receiver itself when the delta brings nothing newer. Changes that the table
// already has are skipped. A gap is ErrGap: a table built over a missing
// change would claim a generation whose content it does not have.
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
			return nil, eris.Wrapf(ErrGap, "have generation %d, next change is %d", next-1, change.GetGeneration())
		}
		pending = append(pending, change)
		next++
	}
	if len(pending) == 0 {
		return base, nil
	}
	return base.applyAll(pending), nil
}

// applyAll merges consecutive changes and builds the table once.
func (t *Table) applyAll(changes []*jayv1.Change) *Table {
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
