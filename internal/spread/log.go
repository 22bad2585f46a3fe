package spread

import (
	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

// maxLogged bounds the changes that a process keeps for its peers.
const maxLogged = 512

// changeLog holds the latest changes, without a hole, up to the table in
// force. It answers pulls of peers that are a little behind; others get a
// snapshot.
type changeLog struct {
	changes []*jayv1.Change
}

// follow takes over the changes by which a table came into force.
func (l *changeLog) follow(delta *jayv1.CatalogDelta, table *catalog.Table) {
	if len(l.changes) > 0 && delta.GetSnapshot() != nil && delta.GetSnapshot().GetGeneration() > l.newest() {
		l.changes = nil
	}
	for _, change := range delta.GetChanges() {
		if len(l.changes) == 0 || change.GetGeneration() == l.newest()+1 {
			l.changes = append(l.changes, change)
		}
	}
	if len(l.changes) > 0 && l.newest() != table.Generation() {
		l.changes = nil
	}
	if extra := len(l.changes) - maxLogged; extra > 0 {
		l.changes = append([]*jayv1.Change(nil), l.changes[extra:]...)
	}
}

func (l *changeLog) newest() uint64 { return l.changes[len(l.changes)-1].GetGeneration() }

// since returns what brings a peer from a generation to the table.
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
