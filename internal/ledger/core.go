// Package ledger ensures that calls which must not be repeated run at most once.
// Before such a call is sent, its idempotency key is claimed by a conditional
// insert of a row into the platform's table. A call whose claim cannot be
// acquired is not sent.
//
// Core contains the logic: it groups operations into transactions and determines
// their outcome from the table's answers. It does no I/O, starts no goroutine
// and reads no clock. Ledger does the I/O.
package ledger

import (
	"bytes"
	"encoding/json"

	"github.com/jayproxy/jayproxy/internal/platform"
)

// State is the state of a claim.
type State string

// The states of a claim. If the process that owns a claim in StateClaimed is
// gone, the call may or may not have run.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
)

// Record is the value of a claim's row, encoded as JSON.
type Record struct {
	// Token is a random value that identifies the claim. After a lost answer it
	// shows whether the row was written by this claim.
	Token     string `json:"token"`
	RequestID string `json:"request_id"`
	State     State  `json:"state"`
	// ClaimedUnixMS is the time of the claim by the entry's clock, in Unix
	// milliseconds.
	ClaimedUnixMS int64 `json:"claimed_unix_ms"`
}

// OpID identifies an operation within a Core.
type OpID uint64

// Op is a conditional write of a claim's row.
type Op struct {
	ID  OpID
	Key string
	// Version is the version that the row must have; 0 if it must not exist.
	Version uint64
	// Value is the value to write; nil deletes the row.
	Value []byte
	// Attempts counts the attempts that the table refused to carry out.
	Attempts int
}

// Outcome is how an operation ended.
type Outcome int

// The outcomes of operations.
const (
	// Written means that the row was written or deleted.
	Written Outcome = iota + 1
	// Conflict means that the row has another version. Result.Row holds it.
	Conflict
	// NotApplied means that the table did not carry out the operation.
	NotApplied
	// Indeterminate means that the operation may have been carried out or may
	// still be carried out later.
	Indeterminate
)

// Result is the result of an operation. Row is the current row, as far as it is
// known.
type Result struct {
	Op      Op
	Outcome Outcome
	Row     platform.Row
}

// Batch is a group of operations that are sent as one transaction.
type Batch struct {
	Ops []Op
}

// Txn returns the transaction that carries out the batch.
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

// Keys returns the keys of the batch's rows.
func (b *Batch) Keys() []string {
	keys := make([]string, len(b.Ops))
	for i, op := range b.Ops {
		keys[i] = op.Key
	}
	return keys
}

// maxAttempts bounds the attempts of an operation while the table is unavailable.
const maxAttempts = 8

// Core groups operations into batches. It is not safe for concurrent use.
type Core struct {
	maxRows int
	pending []Op
	// inFlight holds the keys of batches in flight. A row is in at most one of
	// them, because two operations on it would make one of the batches fail.
	inFlight map[string]bool
}

// NewCore returns a Core that makes batches of at most maxRows operations.
func NewCore(maxRows int) *Core {
	return &Core{maxRows: maxRows, inFlight: map[string]bool{}}
}

// Add queues an operation.
func (c *Core) Add(op Op) { c.pending = append(c.pending, op) }

// Pending returns the number of queued operations.
func (c *Core) Pending() int { return len(c.pending) }

// Next removes the next batch from the queue and returns it, nil if no operation
// can be sent.
func (c *Core) Next() *Batch {
	batch := &Batch{}
	var rest []Op
	for _, op := range c.pending {
		if len(batch.Ops) == c.maxRows || c.inFlight[op.Key] {
			rest = append(rest, op)
			continue
		}
		c.inFlight[op.Key] = true
		batch.Ops = append(batch.Ops, op)
	}
	if len(batch.Ops) == 0 {
		return nil
	}
	c.pending = rest
	return batch
}

// Retain removes the queued operations for which keep returns false.
func (c *Core) Retain(keep func(OpID) bool) {
	kept := c.pending[:0]
	for _, op := range c.pending {
		if keep(op.ID) {
			kept = append(kept, op)
		}
	}
	c.pending = kept
}

// HandleResult processes the table's answer to a batch. Operations whose
// condition failed are conflicts. The other operations of a failed batch return
// to the front of the queue.
func (c *Core) HandleResult(batch *Batch, answer platform.TxnResult) []Result {
	c.release(batch)
	if answer.Committed {
		return resultsOf(batch, Written, func(op Op) platform.Row {
			return platform.Row{Key: op.Key, Value: op.Value, Version: answer.Commit}
		})
	}
	failed := map[string]platform.Row{}
	for _, row := range answer.Failed {
		failed[row.Key] = row
	}
	var results []Result
	var retry []Op
	for _, op := range batch.Ops {
		row, conflict := failed[op.Key]
		switch {
		case conflict && matches(op, row):
			// An earlier attempt of this operation succeeded, but its answer
			// was lost.
			results = append(results, Result{Op: op, Outcome: Written, Row: row})
		case conflict:
			results = append(results, Result{Op: op, Outcome: Conflict, Row: row})
		default:
			retry = append(retry, op)
		}
	}
	c.pending = append(retry, c.pending...)
	return results
}

// HandleUnavailable processes a batch that the table did not carry out, because
// it is down or its write rate is exhausted. Retries are safe; an operation is
// NotApplied after maxAttempts attempts.
func (c *Core) HandleUnavailable(batch *Batch) []Result {
	c.release(batch)
	var results []Result
	var retry []Op
	for _, op := range batch.Ops {
		op.Attempts++
		if op.Attempts < maxAttempts {
			retry = append(retry, op)
			continue
		}
		results = append(results, Result{Op: op, Outcome: NotApplied, Row: emptyRow(op)})
	}
	c.pending = append(retry, c.pending...)
	return results
}

// HandleLost processes a batch whose answer was lost and whose rows could not be
// read.
func (c *Core) HandleLost(batch *Batch) []Result {
	c.release(batch)
	return resultsOf(batch, Indeterminate, emptyRow)
}

// HandleRows processes the current rows of a batch whose answer was lost. The
// batch was applied completely or not at all, but others may have written since.
// A row with the operation's value was written by it; any other change of the
// row is a conflict. An unchanged row proves nothing, because the write may
// still arrive. The operation is then sent again with the same condition, which
// lets it succeed at most once.
func (c *Core) HandleRows(batch *Batch, rows []platform.Row) []Result {
	c.release(batch)
	found := map[string]platform.Row{}
	for _, row := range rows {
		found[row.Key] = row
	}
	var results []Result
	var retry []Op
	for _, op := range batch.Ops {
		row := found[op.Key]
		row.Key = op.Key
		switch {
		case matches(op, row):
			results = append(results, Result{Op: op, Outcome: Written, Row: row})
		case row.Version != op.Version:
			results = append(results, Result{Op: op, Outcome: Conflict, Row: row})
		default:
			retry = append(retry, op)
		}
	}
	c.pending = append(retry, c.pending...)
	return results
}

// matches reports whether the row is as the operation leaves it. Values contain
// the claim's token, so no other operation writes the same value.
func matches(op Op, row platform.Row) bool {
	if op.Value == nil {
		return row.Version == 0
	}
	return row.Version != 0 && bytes.Equal(op.Value, row.Value)
}

func (c *Core) release(batch *Batch) {
	for _, op := range batch.Ops {
		delete(c.inFlight, op.Key)
	}
}

func emptyRow(op Op) platform.Row { return platform.Row{Key: op.Key} }

func resultsOf(batch *Batch, outcome Outcome, row func(Op) platform.Row) []Result {
	results := make([]Result, len(batch.Ops))
	for i, op := range batch.Ops {
		results[i] = Result{Op: op, Outcome: outcome, Row: row(op)}
	}
	return results
}

func decode(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, err
}
