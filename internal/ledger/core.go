// Package ledger keeps the at-most-once claims of calls that may not be
// repeated, as rows of the platform's table. A claim is taken by a conditional
// insert before the call is handed over; whoever can't take it does not call.
//
// Core decides, without I/O, goroutine or clock: which operations go into a
// transaction and what each answer of the table means for them. Ledger does
// the I/O.
package ledger

import (
	"bytes"
	"encoding/json"

	"github.com/jayproxy/jayproxy/internal/platform"
)

// State of a claim.
type State string

// The states of a claim's row. A row that is claimed and whose owner is gone
// says that the call may have run.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
)

// Record is the value of a claim's row.
type Record struct {
	// Token is the owner's own random value: a lost answer is settled by
	// reading the row and comparing it.
	Token     string `json:"token"`
	RequestID string `json:"request_id"`
	State     State  `json:"state"`
	// ClaimedUnixMS is when the claim was taken, by the entry's clock.
	ClaimedUnixMS int64 `json:"claimed_unix_ms"`
}

// OpID names an operation within a Core.
type OpID uint64

// Op is one conditional write of a claim's row.
type Op struct {
	ID  OpID
	Key string
	// Version that the row must have; 0: it must not exist.
	Version uint64
	// Value to write; nil deletes the row.
	Value []byte
	// Attempts that the table refused without carrying anything out.
	Attempts int
}

// Outcome is how an operation ended.
type Outcome int

// The verdicts.
const (
	// Written: the row is as the operation says.
	Written Outcome = iota + 1
	// Conflict: the row has another version; Row is what stands there.
	Conflict
	// NotApplied: the table did not carry it out.
	NotApplied
	// Indeterminate: it may or may not have been carried out, or may still be.
	Indeterminate
)

// Result of an operation.
type Result struct {
	Op      Op
	Outcome Outcome
	Row     platform.Row
}

// Batch is a transaction under way.
type Batch struct {
	Ops []Op
}

// Txn is the batch for the table.
func (b *Batch) Txn() platform.Txn {
	var txn platform.Txn
	for _, op := range b.Ops {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: op.Key, Version: op.Version})
		if op.Value == nil {
			txn.Deletes = append(txn.Deletes, op.Key)
			continue
		}
		txn.Puts = append(txn.Puts, platform.Put{Key: op.Key, Value: op.Value})
	}
	return txn
}

// Keys of the batch's rows.
func (b *Batch) Keys() []string {
	keys := make([]string, len(b.Ops))
	for i, op := range b.Ops {
		keys[i] = op.Key
	}
	return keys
}

// maxTries of an operation that the table refuses to carry out.
const maxTries = 8

// Core gathers operations into batches. Not safe for concurrent use.
type Core struct {
	maxRows int
	waiting []Op
	// busy holds the keys that are in a batch under way: two operations on one
	// row never travel at once, or one of them would fail the other's batch.
	busy map[string]bool
}

// NewCore makes batches of at most maxRows operations.
func NewCore(maxRows int) *Core {
	return &Core{maxRows: maxRows, busy: map[string]bool{}}
}

// Add puts an operation in the queue.
func (c *Core) Add(op Op) { c.waiting = append(c.waiting, op) }

// Pending is the number of operations in no batch yet.
func (c *Core) Pending() int { return len(c.waiting) }

// Next takes the next batch, nil when nothing can go.
func (c *Core) Next() *Batch {
	batch := &Batch{}
	var left []Op
	for _, op := range c.waiting {
		if len(batch.Ops) == c.maxRows || c.busy[op.Key] {
			left = append(left, op)
			continue
		}
		c.busy[op.Key] = true
		batch.Ops = append(batch.Ops, op)
	}
	if len(batch.Ops) == 0 {
		return nil
	}
	c.waiting = left
	return batch
}

// Retain drops the waiting operations that keep does not name.
func (c *Core) Retain(keep func(OpID) bool) {
	kept := c.waiting[:0]
	for _, op := range c.waiting {
		if keep(op.ID) {
			kept = append(kept, op)
		}
	}
	c.waiting = kept
}

// HandleResult takes the table's answer to a batch. An operation whose condition
// failed is a conflict; the rest of its batch, which failed only with it, goes
// back to the front of the queue.
func (c *Core) HandleResult(batch *Batch, answer platform.TxnResult) []Result {
	c.release(batch)
	if answer.Committed {
		return verdicts(batch, Written, func(op Op) platform.Row {
			return platform.Row{Key: op.Key, Value: op.Value, Version: answer.Commit}
		})
	}
	failed := map[string]platform.Row{}
	for _, row := range answer.Failed {
		failed[row.Key] = row
	}
	var results []Result
	var again []Op
	for _, op := range batch.Ops {
		row, conflict := failed[op.Key]
		switch {
		case conflict && owns(op, row):
			// An earlier try of this very operation, whose answer was lost,
			// had taken effect.
			results = append(results, Result{Op: op, Outcome: Written, Row: row})
		case conflict:
			results = append(results, Result{Op: op, Outcome: Conflict, Row: row})
		default:
			again = append(again, op)
		}
	}
	c.waiting = append(again, c.waiting...)
	return results
}

// HandleUnavailable takes in that the table carried nothing of the batch out: it is
// down, or its rate is used up. Sending again is safe and done a few times.
func (c *Core) HandleUnavailable(batch *Batch) []Result {
	c.release(batch)
	var results []Result
	var again []Op
	for _, op := range batch.Ops {
		op.Attempts++
		if op.Attempts < maxTries {
			again = append(again, op)
			continue
		}
		results = append(results, Result{Op: op, Outcome: NotApplied, Row: noRow(op)})
	}
	c.waiting = append(again, c.waiting...)
	return results
}

// HandleLost takes in that the answer to a batch was lost and that its rows could
// not be read either.
func (c *Core) HandleLost(batch *Batch) []Result {
	c.release(batch)
	return verdicts(batch, Indeterminate, noRow)
}

// HandleRows takes the rows of a batch whose answer was lost. The batch was applied
// whole or not at all, but others may have written since. A row that shows the
// operation's own value settles it; one that shows another's is a conflict. A
// row that shows neither proves nothing, because the write may still arrive:
// it is sent again under the same condition, which holds at most once.
func (c *Core) HandleRows(batch *Batch, rows []platform.Row) []Result {
	c.release(batch)
	found := map[string]platform.Row{}
	for _, row := range rows {
		found[row.Key] = row
	}
	var results []Result
	var again []Op
	for _, op := range batch.Ops {
		row := found[op.Key]
		row.Key = op.Key
		switch {
		case owns(op, row):
			results = append(results, Result{Op: op, Outcome: Written, Row: row})
		case row.Version != op.Version:
			results = append(results, Result{Op: op, Outcome: Conflict, Row: row})
		default:
			again = append(again, op)
		}
	}
	c.waiting = append(again, c.waiting...)
	return results
}

// owns tells whether the row shows what the operation writes. Values carry the
// owner's token, so no other operation writes the same.
func owns(op Op, row platform.Row) bool {
	if op.Value == nil {
		return row.Version == 0
	}
	return row.Version != 0 && bytes.Equal(op.Value, row.Value)
}

func (c *Core) release(batch *Batch) {
	for _, op := range batch.Ops {
		delete(c.busy, op.Key)
	}
}

func noRow(op Op) platform.Row { return platform.Row{Key: op.Key} }

func verdicts(batch *Batch, verdict Outcome, row func(Op) platform.Row) []Result {
	results := make([]Result, len(batch.Ops))
	for i, op := range batch.Ops {
		results[i] = Result{Op: op, Outcome: verdict, Row: row(op)}
	}
	return results
}

func decode(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, err
}
