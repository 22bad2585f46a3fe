package ledger

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/platform"
)

// trimPage is the number of rows that one step looks at, read at once.
const trimPage = 500

// trimRows bounds the rows that one transaction deletes: each has a condition.
const trimRows = platform.MaxTxnRows / 2

// Pruner deletes claims that are older than they must be kept. It reads a page
// at a step, so that a table of any size is gone over with few reads a second.
// Two trimmers at once do no harm: every delete is bound to the version that
// was read. Not safe for concurrent use.
type Pruner struct {
	table platform.Table
	keep  time.Duration
	after string
}

// NewPruner makes a trimmer that keeps claims for the duration. A key that is
// repeated later runs again, so it is far longer than any caller repeats.
func NewPruner(table platform.Table, keep time.Duration) *Pruner {
	return &Pruner{table: table, keep: keep}
}

// Step looks at the next page and returns the claims deleted. After the last
// page it starts again at the first. A transaction that does not commit, since
// a claim was changed meanwhile, is left to the next round.
func (t *Pruner) Step(ctx context.Context, now time.Time) (int, error) {
	rows, err := t.table.Range(ctx, keyPrefix, t.after, trimPage)
	if err != nil {
		return 0, eris.Wrap(err, "read claims")
	}
	t.after = ""
	if len(rows) == trimPage {
		t.after = rows[len(rows)-1].Key
	}
	deleted := 0
	var txn platform.Txn
	for i, row := range rows {
		if t.due(now, row) {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
		if len(txn.Deletes) == 0 || (len(txn.Deletes) < trimRows && i < len(rows)-1) {
			continue
		}
		result, err := t.table.Commit(ctx, txn)
		if err != nil {
			return deleted, eris.Wrap(err, "delete claims")
		}
		if result.Committed {
			deleted += len(txn.Deletes)
		}
		txn = platform.Txn{}
	}
	return deleted, nil
}

// due tells whether a claim is old enough. A row that can't be read stays: it
// may stand for a call that ran.
func (t *Pruner) due(now time.Time, row platform.Row) bool {
	record, err := decode(row.Value)
	if err != nil {
		return false
	}
	return now.Sub(time.UnixMilli(record.ClaimedUnixMS)) > t.keep
}
