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

// keepSnapshots is how many snapshots stay, so that a reader of the list still
// finds its object while a new one is written.
const keepSnapshots = 3

// Compact writes a snapshot of the table when one is due and trims what it
// makes superfluous. Any number of processes may compact at once: a snapshot's
// content is fixed by its generation, and trimming twice changes nothing.
func (s *Store) Compact(ctx context.Context, table *catalog.Table) error {
	s.mu.Lock()
	last := s.snapshotAt
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
	s.snapshotAt = newest
	s.mu.Unlock()
	if err := s.trimChanges(ctx, newest); err != nil {
		return err
	}
	return s.trimSnapshots(ctx)
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
	return generation, eris.Wrap(err, "name of a snapshot")
}

// trimChanges deletes old changes below a written snapshot. The change of the
// snapshot's own generation stays, so that a reader that is behind always
// finds a row and sees the gap in front of it.
func (s *Store) trimChanges(ctx context.Context, snapshot uint64) error {
	const rowsPerChange = 2
	const batch = platform.MaxTxnRows / rowsPerChange
	oldest := s.options.Now().Add(-s.options.ChangeRetention)
	for {
		rows, err := s.table.Range(ctx, DeltaPrefix, "", batch)
		if err != nil {
			return eris.Wrap(err, "read changes to trim")
		}
		var txn platform.Txn
		for _, row := range rows {
			change, err := decodeChange(row)
			if err != nil {
				return err
			}
			if change.GetGeneration() >= snapshot || time.UnixMilli(change.GetAcceptedUnixMs()).After(oldest) {
				break
			}
			txn.Deletes = append(txn.Deletes, row.Key, ChangePrefix+change.GetChangeId())
		}
		if len(txn.Deletes) == 0 {
			return nil
		}
		if _, err := s.table.Commit(ctx, txn); err != nil {
			return eris.Wrap(err, "trim changes")
		}
	}
}

func (s *Store) trimSnapshots(ctx context.Context) error {
	keys, err := s.objects.ListObjects(ctx, SnapshotPrefix)
	if err != nil {
		return eris.Wrap(err, "list snapshots of the catalog")
	}
	for i := 0; i < len(keys)-keepSnapshots; i++ {
		if err := s.objects.DeleteObject(ctx, keys[i]); err != nil {
			return eris.Wrapf(err, "delete %s", keys[i])
		}
	}
	return nil
}
