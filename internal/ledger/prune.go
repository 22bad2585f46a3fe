package ledger

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/platform"
)

// pageRows is the number of rows that one step reads.
const pageRows = 500

// maxDeletes bounds the rows deleted by one transaction. Each deletion also needs
// a condition, so it counts twice against platform.MaxTxnRows.
const maxDeletes = platform.MaxTxnRows / 2

// Pruner deletes claims after their retention period. Each step reads one page,
// so that a table of any size is scanned with few reads per second. Several
// processes may prune at once, because a row is deleted only if it still has the
// version that was read. A Pruner is not safe for concurrent use.
type Pruner struct {
	table     platform.Table
	retention time.Duration
	after     string
}

// NewPruner returns a pruner that keeps claims for the duration. A call that is
// repeated later runs again, so the duration must be longer than any caller
// retries.
func NewPruner(table platform.Table, retention time.Duration) *Pruner {
	return &Pruner{table: table, retention: retention}
}

// Step scans the next page and returns the number of claims deleted. After the
// last page it starts again at the first. If a transaction does not commit,
// because a claim has changed, its claims are left to the next scan.
func (p *Pruner) Step(ctx context.Context, now time.Time) (int, error) {
	rows, err := p.table.Range(ctx, keyPrefix, p.after, pageRows)
	if err != nil {
		return 0, eris.Wrap(err, "read claims to prune")
	}
	p.after = ""
	if len(rows) == pageRows {
		p.after = rows[len(rows)-1].Key
	}
	deleted := 0
	var txn platform.Txn
	for i, row := range rows {
		if p.expired(now, row) {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
		if len(txn.Deletes) == 0 || (len(txn.Deletes) < maxDeletes && i < len(rows)-1) {
			continue
		}
		result, err := p.table.Commit(ctx, txn)
		if err != nil {
			return deleted, eris.Wrap(err, "delete expired claims")
		}
		if result.Committed {
			deleted += len(txn.Deletes)
		}
		txn = platform.Txn{}
	}
	return deleted, nil
}

// expired reports whether the retention period of a claim is over. A row that
// cannot be decoded is kept, because its call may have run.
func (p *Pruner) expired(now time.Time, row platform.Row) bool {
	record, err := decode(row.Value)
	if err != nil {
		return false
	}
	return now.Sub(time.UnixMilli(record.ClaimedUnixMS)) > p.retention
}
