package ledger_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/ledger"
	"github.com/jayproxy/jayproxy/internal/platform"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

func insert(id int, key string) ledger.Op {
	return ledger.Op{ID: ledger.OpID(id), Key: key, Value: fmt.Appendf(nil, "token-%d", id)}
}

// Guards against a conflict on one key that fails the other claims of the same
// transaction.
func TestAConflictDoesNotFailTheRestOfItsBatch(t *testing.T) {
	core := ledger.NewCore(128)
	for i := range 40 {
		core.Add(insert(i, fmt.Sprintf("k%d", i)))
	}
	batch := core.Next()
	require.Len(t, batch.Ops, 40)
	row := platform.Row{Key: "k7", Value: []byte("someone"), Version: 3}
	results := core.HandleResult(batch, platform.TxnResult{Failed: []platform.Row{row}})
	require.Equal(t, []ledger.Result{{Op: insert(7, "k7"), Outcome: ledger.Conflict, Row: row}}, results)
	again := core.Next()
	require.Len(t, again.Ops, 39)
	for _, result := range core.HandleResult(again, platform.TxnResult{Committed: true, Commit: 9}) {
		assert.Equal(t, ledger.Written, result.Outcome)
		assert.EqualValues(t, 9, result.Row.Version)
	}
}

func TestOperationsOnOneKeyAreNotBatchedTogether(t *testing.T) {
	core := ledger.NewCore(128)
	core.Add(insert(1, "k"))
	core.Add(insert(2, "k"))
	first := core.Next()
	assert.Len(t, first.Ops, 1)
	assert.Nil(t, core.Next())
	core.HandleResult(first, platform.TxnResult{Committed: true, Commit: 1})
	assert.Len(t, core.Next().Ops, 1)
}

// Guards against a wrong outcome after a lost answer. An absent row proves
// nothing, because the write may still arrive, so the write is sent again.
func TestALostAnswerIsResolvedByReadingTheRow(t *testing.T) {
	core := ledger.NewCore(128)
	core.Add(insert(1, "mine"))
	core.Add(insert(2, "theirs"))
	core.Add(insert(3, "absent"))
	batch := core.Next()
	results := core.HandleRows(batch, []platform.Row{
		{Key: "mine", Value: []byte("token-1"), Version: 5},
		{Key: "theirs", Value: []byte("token-9"), Version: 4},
	})
	require.Len(t, results, 2)
	assert.Equal(t, ledger.Written, results[0].Outcome)
	assert.EqualValues(t, 5, results[0].Row.Version)
	assert.Equal(t, ledger.Conflict, results[1].Outcome)

	again := core.Next()
	require.Equal(t, []string{"absent"}, again.Keys())
	late := platform.Row{Key: "absent", Value: []byte("token-3"), Version: 6}
	results = core.HandleResult(again, platform.TxnResult{Failed: []platform.Row{late}})
	require.Len(t, results, 1)
	assert.Equal(t, ledger.Written, results[0].Outcome, "the first attempt was applied late")
}

// modelTable is an in-memory table. delayed holds transactions that are applied
// later.
type modelTable struct {
	rows    map[string]platform.Row
	commit  uint64
	delayed []platform.Txn
}

func (m *modelTable) apply(txn platform.Txn) platform.TxnResult {
	var failed []platform.Row
	for _, c := range txn.Conditions {
		if row := m.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return platform.TxnResult{Failed: failed}
	}
	m.commit++
	for _, p := range txn.Puts {
		m.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: m.commit}
	}
	return platform.TxnResult{Committed: true, Commit: m.commit}
}

func (m *modelTable) read(keys []string) []platform.Row {
	var rows []platform.Row
	for _, key := range keys {
		if row, ok := m.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// Loses answers and delays writes at random. At most one operation per key may
// be reported as Written, and the row must hold its value.
func TestAtMostOneClaimOfAKeyIsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &modelTable{rows: map[string]platform.Row{}}
		cores := []*ledger.Core{ledger.NewCore(4), ledger.NewCore(4)}
		written := map[string]ledger.OpID{}
		record := func(results []ledger.Result) {
			for _, r := range results {
				if r.Outcome != ledger.Written {
					continue
				}
				if first, ok := written[r.Op.Key]; ok && first != r.Op.ID {
					t.Fatalf("key %s reported as written by %d and %d", r.Op.Key, first, r.Op.ID)
				}
				written[r.Op.Key] = r.Op.ID
			}
		}
		for id := range rapid.IntRange(1, 60).Draw(t, "steps") {
			core := cores[rapid.IntRange(0, 1).Draw(t, "entry")]
			core.Add(insert(id, fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(t, "key"))))
			if rapid.Bool().Draw(t, "gather") {
				continue
			}
			batch := core.Next()
			if batch == nil {
				continue
			}
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0: // Answer lost, rows read.
				table.apply(batch.Txn())
				record(core.HandleRows(batch, table.read(batch.Keys())))
			case 1: // Request delayed, rows read before it is applied.
				table.delayed = append(table.delayed, batch.Txn())
				record(core.HandleRows(batch, table.read(batch.Keys())))
			case 2: // Answer lost, rows not readable.
				table.apply(batch.Txn())
				record(core.HandleLost(batch))
			case 3:
				record(core.HandleUnavailable(batch))
			default:
				record(core.HandleResult(batch, table.apply(batch.Txn())))
			}
			if len(table.delayed) > 0 && rapid.Bool().Draw(t, "arrive") {
				table.apply(table.delayed[0])
				table.delayed = table.delayed[1:]
			}
		}
		for key, id := range written {
			if got := string(table.rows[key].Value); got != fmt.Sprintf("token-%d", id) {
				t.Fatalf("key %s reported as written by %d, row holds %s", key, id, got)
			}
		}
	})
}
