// Package catalogstore keeps the catalog in the platform's service: the head
// row, one row per change, and snapshots in the object store. It accepts
// changes there and reads them back; it puts nothing in force.
//
// Rows: catalog/head {generation}; catalog/delta/<generation> the change that
// made it; catalog/change/<change id> {generation, digest} so that a change is
// accepted once. Object: catalog/snapshot/<generation>.
package catalogstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/findings"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// Keys and prefixes in the platform's service.
const (
	HeadKey        = "catalog/head"
	DeltaPrefix    = "catalog/delta/"
	ChangePrefix   = "catalog/change/"
	SnapshotPrefix = "catalog/snapshot/"
)

const (
	defaultSnapshotEvery = 256
	defaultKeepChanges   = 24 * time.Hour
	defaultAttempts      = 32
	// rangeLimit is the number of changes read at once.
	rangeLimit = 500
)

// Options of a store. Zero values take the defaults.
type Options struct {
	// SnapshotEvery is the number of generations between snapshots (256).
	SnapshotEvery uint64
	// ChangeRetention: changes younger than this stay in the table, and a repeat
	// of their change id is recognised (24 h).
	ChangeRetention time.Duration
	// Attempts bounds the tries of one acceptance against racing ones (32).
	Attempts int
	Now      platform.Clock
	// Check finds the faults of a whole set of resources; nil accepts any.
	Check func([]*jayv1.Resource) findings.List
}

func (o Options) withDefaults() Options {
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	if o.ChangeRetention == 0 {
		o.ChangeRetention = defaultKeepChanges
	}
	if o.Attempts == 0 {
		o.Attempts = defaultAttempts
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Check == nil {
		o.Check = func([]*jayv1.Resource) findings.List { return nil }
	}
	return o
}

// Store reads and writes the catalog of one platform. Safe for concurrent use.
type Store struct {
	table   platform.Table
	objects platform.Objects
	options Options

	mu sync.Mutex
	// known is the newest table put together here; a cache, never trusted
	// without the head row beside it.
	known *catalog.Table
	// snapshotAt is the newest snapshot known to be written.
	snapshotAt uint64
}

// New returns a store over the platform.
func New(table platform.Table, objects platform.Objects, options Options) *Store {
	return &Store{
		table: table, objects: objects, options: options.withDefaults(),
		known: catalog.Build(&jayv1.Snapshot{}),
	}
}

// headRow is the value of the head row.
type headRow struct {
	Generation uint64 `json:"generation"`
}

// changeRow is the value of a change id's row.
type changeRow struct {
	Generation uint64 `json:"generation"`
	Digest     []byte `json:"digest"`
}

// Head returns the newest accepted generation, 0 when nothing was declared.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	rows, err := s.table.Get(ctx, HeadKey)
	if err != nil {
		return 0, eris.Wrap(err, "read head of the catalog")
	}
	head, _, err := decodeHead(rows)
	return head.Generation, err
}

// After returns what brings a reader of the generation to the head: the
// changes in order, or a snapshot and the changes after it when older ones
// were trimmed or are many. An empty delta means that the reader has the head.
func (s *Store) After(ctx context.Context, generation uint64) (*jayv1.CatalogDelta, error) {
	changes, err := s.page(ctx, generation)
	if err != nil {
		return nil, err
	}
	trimmed := len(changes) > 0 && changes[0].GetGeneration() != generation+1
	if !trimmed && len(changes) < rangeLimit {
		return &jayv1.CatalogDelta{Changes: changes}, nil
	}
	// A day's changes are thousands of rows. Were each process of a herd that
	// restarts to read them all, the table's reads would not do for minutes.
	snapshot, err := s.newestSnapshot(ctx)
	switch {
	case err == nil && snapshot.GetGeneration() > generation:
		changes, err = s.changes(ctx, snapshot.GetGeneration())
		return &jayv1.CatalogDelta{Snapshot: snapshot, Changes: changes}, err
	case trimmed:
		return nil, err
	}
	changes, err = s.changes(ctx, generation)
	return &jayv1.CatalogDelta{Changes: changes}, err
}

// Load returns the newest accepted table.
func (s *Store) Load(ctx context.Context) (*catalog.Table, error) {
	s.mu.Lock()
	known := s.known
	s.mu.Unlock()
	delta, err := s.After(ctx, known.Generation())
	if err != nil {
		return nil, err
	}
	table, err := known.ApplyDelta(delta)
	if err != nil {
		return nil, err
	}
	s.remember(table)
	return table, nil
}

// LoadSnapshot returns the newest snapshot of the object store: what a
// starting process gets while the table service is down. It may be old.
func (s *Store) LoadSnapshot(ctx context.Context) (*catalog.Table, error) {
	snapshot, err := s.newestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return catalog.Build(snapshot), nil
}

func (s *Store) remember(table *catalog.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table.Generation() > s.known.Generation() {
		s.known = table
	}
}

// changes reads all change rows above a generation, in order. The rows run on
// without a hole; only the oldest may have been trimmed.
func (s *Store) changes(ctx context.Context, after uint64) ([]*jayv1.Change, error) {
	var all []*jayv1.Change
	for {
		page, err := s.page(ctx, after)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < rangeLimit {
			return all, nil
		}
		after = page[len(page)-1].GetGeneration()
	}
}

// page is one read of change rows.
func (s *Store) page(ctx context.Context, after uint64) ([]*jayv1.Change, error) {
	rows, err := s.table.Range(ctx, DeltaPrefix, deltaKey(after), rangeLimit)
	if err != nil {
		return nil, eris.Wrapf(err, "read changes after generation %d", after)
	}
	changes := make([]*jayv1.Change, 0, len(rows))
	for _, row := range rows {
		change, err := decodeChange(row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func (s *Store) newestSnapshot(ctx context.Context) (*jayv1.Snapshot, error) {
	keys, err := s.objects.ListObjects(ctx, SnapshotPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "list snapshots of the catalog")
	}
	// Newest first; one that was deleted meanwhile has a newer one after it.
	for i := len(keys) - 1; i >= 0; i-- {
		body, err := s.objects.GetObject(ctx, keys[i])
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, eris.Wrapf(err, "read %s", keys[i])
		}
		snapshot := &jayv1.Snapshot{}
		if err := proto.Unmarshal(body, snapshot); err != nil {
			return nil, eris.Wrapf(err, "decode %s", keys[i])
		}
		return snapshot, nil
	}
	return nil, eris.Wrap(platform.ErrNotFound, "no snapshot of the catalog")
}

func deltaKey(generation uint64) string { return fmt.Sprintf("%s%020d", DeltaPrefix, generation) }

func snapshotKey(generation uint64) string {
	return fmt.Sprintf("%s%020d", SnapshotPrefix, generation)
}

func decodeHead(rows []platform.Row) (headRow, uint64, error) {
	var head headRow
	for _, row := range rows {
		if row.Key != HeadKey {
			continue
		}
		err := json.Unmarshal(row.Value, &head)
		return head, row.Version, eris.Wrap(err, "decode head of the catalog")
	}
	return head, 0, nil
}

func decodeChange(row platform.Row) (*jayv1.Change, error) {
	change := &jayv1.Change{}
	if err := proto.Unmarshal(row.Value, change); err != nil {
		return nil, eris.Wrapf(err, "decode %s", row.Key)
	}
	if deltaKey(change.GetGeneration()) != row.Key {
		return nil, eris.Errorf("%s holds the change of generation %d", row.Key, change.GetGeneration())
	}
	return change, nil
}
