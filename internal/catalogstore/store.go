// Package catalogstore keeps the catalog in the platform's table and object store.
// It accepts changes and reads them back, but does not put them in force.
//
// Rows of the table:
//
//	catalog/head                 {generation}: the newest accepted generation
//	catalog/delta/<generation>   the change that made the generation
//	catalog/change/<change id>   {generation, digest}: detects repeated changes
//
// Objects: catalog/snapshot/<generation>.
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

// Keys and key prefixes of rows and objects.
const (
	HeadKey        = "catalog/head"
	DeltaPrefix    = "catalog/delta/"
	ChangePrefix   = "catalog/change/"
	SnapshotPrefix = "catalog/snapshot/"
)

const (
	defaultSnapshotEvery   = 256
	defaultChangeRetention = 24 * time.Hour
	defaultAttempts        = 32
	// pageSize is the maximum number of changes in one read.
	pageSize = 500
)

// Options of a Store. Zero values mean the defaults in parentheses.
type Options struct {
	// SnapshotEvery is the number of generations between snapshots (256).
	SnapshotEvery uint64
	// ChangeRetention is how long changes and their ids are kept in the table at
	// least (24 h). A repeat of a change after that may not be recognised.
	ChangeRetention time.Duration
	// Attempts is the maximum number of attempts to accept a change when others
	// are accepted concurrently (32).
	Attempts int
	Now      platform.Clock
	// Check returns the findings of a whole set of resources (none).
	Check func([]*jayv1.Resource) findings.List
}

func (o Options) withDefaults() Options {
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	if o.ChangeRetention == 0 {
		o.ChangeRetention = defaultChangeRetention
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

// Store reads and writes the catalog of one platform. It is safe for concurrent
// use.
type Store struct {
	table   platform.Table
	objects platform.Objects
	options Options

	mu sync.Mutex
	// cached is the newest table that this process has read or built. It may be
	// older than the head.
	cached *catalog.Table
	// snapshotGeneration is the generation of the newest snapshot known to be
	// written.
	snapshotGeneration uint64
}

// New returns a store that uses the table and objects of a platform.
func New(table platform.Table, objects platform.Objects, options Options) *Store {
	return &Store{
		table: table, objects: objects, options: options.withDefaults(),
		cached: catalog.Build(&jayv1.Snapshot{}),
	}
}

// headRow is the value of the head row.
type headRow struct {
	Generation uint64 `json:"generation"`
}

// changeRow is the value of the row of a change id.
type changeRow struct {
	Generation uint64 `json:"generation"`
	Digest     []byte `json:"digest"`
}

// Head returns the newest accepted generation, 0 if nothing was ever accepted.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	rows, err := s.table.Get(ctx, HeadKey)
	if err != nil {
		return 0, eris.Wrap(err, "read head of the catalog")
	}
	head, _, err := decodeHead(rows)
	return head.Generation, err
}

// After returns the delta from a generation to the head: the changes in order, or
// a snapshot and the changes after it if older changes were pruned or are many.
// An empty delta means that the generation is the head.
func (s *Store) After(ctx context.Context, generation uint64) (*jayv1.CatalogDelta, error) {
	changes, err := s.readPage(ctx, generation)
	if err != nil {
		return nil, err
	}
	pruned := len(changes) > 0 && changes[0].GetGeneration() != generation+1
	if !pruned && len(changes) < pageSize {
		return &jayv1.CatalogDelta{Changes: changes}, nil
	}
	// Prefer a snapshot to many rows: processes that restart at the same time
	// would otherwise exhaust the read capacity of the table.
	snapshot, err := s.newestSnapshot(ctx)
	switch {
	case err == nil && snapshot.GetGeneration() > generation:
		changes, err = s.readChanges(ctx, snapshot.GetGeneration())
		return &jayv1.CatalogDelta{Snapshot: snapshot, Changes: changes}, err
	case pruned:
		return nil, err
	}
	changes, err = s.readChanges(ctx, generation)
	return &jayv1.CatalogDelta{Changes: changes}, err
}

// Load returns the newest accepted table.
func (s *Store) Load(ctx context.Context) (*catalog.Table, error) {
	s.mu.Lock()
	cached := s.cached
	s.mu.Unlock()
	delta, err := s.After(ctx, cached.Generation())
	if err != nil {
		return nil, err
	}
	table, err := cached.ApplyDelta(delta)
	if err != nil {
		return nil, err
	}
	s.updateCache(table)
	return table, nil
}

// LoadSnapshot returns the newest snapshot in the object store, which may be older
// than the head. A starting process uses it while the table is unavailable.
func (s *Store) LoadSnapshot(ctx context.Context) (*catalog.Table, error) {
	snapshot, err := s.newestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return catalog.Build(snapshot), nil
}

func (s *Store) updateCache(table *catalog.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table.Generation() > s.cached.Generation() {
		s.cached = table
	}
}

// readChanges reads all changes after a generation, in order. Only the oldest rows
// are ever pruned, so the changes that remain are consecutive.
func (s *Store) readChanges(ctx context.Context, after uint64) ([]*jayv1.Change, error) {
	var all []*jayv1.Change
	for {
		page, err := s.readPage(ctx, after)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < pageSize {
			return all, nil
		}
		after = page[len(page)-1].GetGeneration()
	}
}

// readPage reads up to pageSize changes after a generation, in order.
func (s *Store) readPage(ctx context.Context, after uint64) ([]*jayv1.Change, error) {
	rows, err := s.table.Range(ctx, DeltaPrefix, deltaKey(after), pageSize)
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
	// Newest first. A snapshot may have been deleted since the keys were listed;
	// newer ones then exist.
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
		if snapshotKey(snapshot.GetGeneration()) != keys[i] {
			return nil, eris.Errorf("object %s holds generation %d", keys[i], snapshot.GetGeneration())
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
		return nil, eris.Errorf("row %s holds the change of generation %d", row.Key, change.GetGeneration())
	}
	return change, nil
}
