package spread

import (
	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

// maxLoggedChanges bounds the changes that a process keeps for pulls of its peers.
const maxLoggedChanges = 512

// changeLog holds the latest changes without a gap, up to the generation in force.
// Peers that lack only these get them; others get a snapshot.
type changeLog struct {
	changes []*jayv1.Change
}

// record appends the changes of a delta that led to the table.
func (l *changeLog) record(delta *jayv1.CatalogDelta, table *catalog.Table) {
	if len(l.changes) > 0 && delta.GetSnapshot() != nil && delta.GetSnapshot().GetGeneration() > l.newestGeneration() {
		l.changes = nil
	}
	for _, change := range delta.GetChanges() {
		if len(l.changes) == 0 || change.GetGeneration() == l.newestGeneration()+1 {
			l.changes = append(l.changes, change)
		}
	}
	if len(l.changes) > 0 && l.newestGeneration() != table.Generation() {
		l.changes = nil
	}
	if excess := len(l.changes) - maxLoggedChanges; excess > 0 {
		l.changes = append([]*jayv1.Change(nil), l.changes[excess:]...)
	}
}

func (l *changeLog) newestGeneration() uint64 { return l.changes[len(l.changes)-1].GetGeneration() }

// since returns the delta from a generation to the table.
func (l *changeLog) since(generation uint64, table *catalog.Table) *jayv1.CatalogDelta {
	if generation >= table.Generation() {
		return &jayv1.CatalogDelta{}
	}
	if len(l.changes) == 0 || l.changes[0].GetGeneration() > generation+1 {
		return &jayv1.CatalogDelta{Snapshot: table.Snapshot()}
	}
	first := int(generation + 1 - l.changes[0].GetGeneration())
	return &jayv1.CatalogDelta{Changes: append([]*jayv1.Change(nil), l.changes[first:]...)}
}
