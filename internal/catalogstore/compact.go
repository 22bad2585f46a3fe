package catalogstore

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// maxSnapshots is the number of snapshots kept, so that a reader still finds the
// objects that it has listed when a new one is written.
const maxSnapshots = 3

// Compact writes a snapshot of the table if one is due, and prunes old changes and
// snapshots. Processes may compact concurrently: the content of a snapshot is
// determined by its generation, and pruning is idempotent.
func (s *Store) Compact(ctx context.Context, table *catalog.Table) error {
	s.mu.Lock()
	last := s.snapshotGeneration
	s.mu.Unlock()
	if table.Generation() < last+s.options.SnapshotEvery {
		return nil
	}
	newest, err := s.newestSnapshotGeneration(ctx)
	if err != nil {
		return err
	}
	if table.Generation() >= newest+s.options.SnapshotEvery {
		body, err := proto.MarshalOptions{Deterministic: true}.Marshal(table.Snapshot())
		if err != nil {
			return eris.Wrap(err, "encode snapshot")
		}
		if err := s.objects.PutObject(ctx, snapshotKey(table.Generation()), body); err != nil {
			return eris.Wrap(err, "write snapshot of the catalog")
		}
		newest = table.Generation()
	}
	s.mu.Lock()
	s.snapshotGeneration = newest
	s.mu.Unlock()
	if err := s.pruneChanges(ctx, newest); err != nil {
		return err
	}
	return s.pruneSnapshots(ctx)
}

func (s *Store) newestSnapshotGeneration(ctx context.Context) (uint64, error) {
	keys, err := s.objects.ListObjects(ctx, SnapshotPrefix)
	if err != nil {
		return 0, eris.Wrap(err, "list snapshots of the catalog")
	}
	if len(keys) == 0 {
		return 0, nil
	}
	generation, err := strconv.ParseUint(strings.TrimPrefix(keys[len(keys)-1], SnapshotPrefix), 10, 64)
	return generation, eris.Wrap(err, "parse generation in the key of a snapshot")
}

// pruneChanges deletes changes that are older than ChangeRetention and below a
// written snapshot. The change of the snapshot's generation is kept, so that a
// reader that is behind finds a row and detects the gap before it.
func (s *Store) pruneChanges(ctx context.Context, snapshot uint64) error {
	const rowsPerChange = 2
	const batch = platform.MaxTxnRows / rowsPerChange
	cutoff := s.options.Now().Add(-s.options.ChangeRetention)
	for {
		rows, err := s.table.Range(ctx, DeltaPrefix, "", batch)
		if err != nil {
			return eris.Wrap(err, "read changes to prune")
		}
		var txn platform.Txn
		for _, row := range rows {
			change, err := decodeChange(row)
			if err != nil {
				return err
			}
			if change.GetGeneration() >= snapshot || time.UnixMilli(change.GetAcceptedUnixMs()).After(cutoff) {
				break
			}
			txn.Deletes = append(txn.Deletes, row.Key, ChangePrefix+change.GetChangeId())
		}
		if len(txn.Deletes) == 0 {
			return nil
		}
		if _, err := s.table.Commit(ctx, txn); err != nil {
			return eris.Wrap(err, "prune changes")
		}
	}
}

func (s *Store) pruneSnapshots(ctx context.Context) error {
	keys, err := s.objects.ListObjects(ctx, SnapshotPrefix)
	if err != nil {
		return eris.Wrap(err, "list snapshots of the catalog")
	}
	for i := 0; i < len(keys)-maxSnapshots; i++ {
		if err := s.objects.DeleteObject(ctx, keys[i]); err != nil {
			return eris.Wrapf(err, "delete %s", keys[i])
		}
	}
	return nil
}
