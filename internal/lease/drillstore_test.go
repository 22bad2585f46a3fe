package lease_test

import (
	"maps"

	"github.com/jayproxy/jayproxy/internal/platform"
)

// drillStore is a store that comes back from a copy at times: rows, and the counter that
// row versions are taken from, go back, and the era rises.
type drillStore struct {
	era, counter uint64
	rows         map[string]platform.Row
	copies       []drillCopy
	late         []platform.Txn
}

type drillCopy struct {
	counter uint64
	rows    map[string]platform.Row
}

func newDrillStore() *drillStore {
	s := &drillStore{era: 1, rows: map[string]platform.Row{}}
	s.save()
	return s
}

// save makes a copy of the present state.
func (s *drillStore) save() {
	s.copies = append(s.copies, drillCopy{counter: s.counter, rows: maps.Clone(s.rows)})
}

// restore brings back the copy made the given number of copies ago. Copies made since
// are lost, too.
func (s *drillStore) restore(back int) {
	at := max(0, len(s.copies)-1-back)
	s.copies = s.copies[:at+1]
	s.era++
	s.counter, s.rows = s.copies[at].counter, maps.Clone(s.copies[at].rows)
}

// write changes a row of another table.
func (s *drillStore) write() { s.counter++ }

// apply carries out a transaction with the store's own versions.
func (s *drillStore) apply(txn platform.Txn) (uint64, bool) {
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return 0, false
		}
	}
	s.counter++
	for _, put := range txn.Puts {
		s.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Version: s.counter}
	}
	return s.counter, true
}

// applyLate carries out one of the transactions whose answers were lost.
func (s *drillStore) applyLate(i int) {
	s.apply(s.late[i])
	s.late = append(s.late[:i], s.late[i+1:]...)
}

// drillClient is one process's client of the store. It combines the era and the store's
// versions, and knows the newest era of the answers that it got.
type drillClient struct {
	store *drillStore
	era   uint64
}

func combined(era, commit uint64) uint64 {
	version, err := platform.VersionOf(era, commit)
	if err != nil {
		panic(err)
	}
	return version
}

// get reads a row; nil: it does not exist.
func (c *drillClient) get(key string) *platform.Row {
	c.era = c.store.era
	row, ok := c.store.rows[key]
	if !ok {
		return nil
	}
	row.Version = combined(c.era, row.Version)
	return &row
}

// raw returns the transaction with the store's own versions, and false if a condition is
// of an older era than the client knows.
func (c *drillClient) raw(txn platform.Txn) (platform.Txn, bool) {
	raw := platform.Txn{Puts: txn.Puts}
	for _, condition := range txn.Conditions {
		if condition.Version != 0 && platform.EraOf(condition.Version) < c.era {
			return raw, false
		}
		condition.Version = platform.CommitOf(condition.Version)
		raw.Conditions = append(raw.Conditions, condition)
	}
	return raw, true
}

// commit sends a transaction. A lost request may be carried out later.
func (c *drillClient) commit(txn platform.Txn, lostRequest, lostAnswer bool) (platform.TxnResult, error) {
	raw, current := c.raw(txn)
	if !current {
		return platform.TxnResult{}, nil
	}
	if lostRequest {
		c.store.late = append(c.store.late, raw)
		return platform.TxnResult{}, platform.ErrUnknown
	}
	commit, committed := c.store.apply(raw)
	if lostAnswer {
		return platform.TxnResult{}, platform.ErrUnknown
	}
	c.era = c.store.era
	for _, condition := range txn.Conditions {
		if committed && condition.Version != 0 && platform.EraOf(condition.Version) < c.era {
			return platform.TxnResult{}, platform.ErrUnknown
		}
	}
	if !committed {
		return platform.TxnResult{}, nil
	}
	return platform.TxnResult{Committed: true, Commit: combined(c.era, commit)}, nil
}
