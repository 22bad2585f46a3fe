// Package platformtest implements an in-memory platform with fault injection, for
// tests only.
package platformtest

import (
	"bytes"
	"context"
	"io"
	"maps"
	"sort"
	"strings"
	"sync"

	"github.com/jayproxy/jayproxy/internal/platform"
)

// Fault is the way in which a commit fails. The zero value is no fault.
type Fault int

// The faults of a commit.
const (
	Pass Fault = iota
	// Unavailable fails the commit with ErrUnavailable; it is not carried out.
	Unavailable
	// LostAnswer carries out the commit, but returns ErrUnknown.
	LostAnswer
	// LostRequest does not carry out the commit and returns ErrUnknown.
	LostRequest
)

// Memory is an in-memory platform. It is safe for concurrent use.
type Memory struct {
	mu     sync.Mutex
	era    uint64
	commit uint64
	rows   map[string]platform.Row
	// saved is the copy that Restore brings back, savedCommit its newest commit.
	saved       map[string]platform.Row
	savedCommit uint64
	objects     map[string][]byte
	vms         platform.VMList
	down        bool
	// downAfterCommit starts an outage after the current commit.
	downAfterCommit bool
	// reads and writes count the calls of the table service.
	reads, writes int
	onCommit      func(txn platform.Txn) Fault
}

var _ platform.Platform = (*Memory)(nil)

// New returns an empty platform.
func New() *Memory {
	return &Memory{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// SetDown starts or ends an outage of all services.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// SetDownAfterCommit starts an outage after the current commit. It may be called
// from the function given to OnCommit.
func (m *Memory) SetDownAfterCommit() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.downAfterCommit = true
}

// OnCommit sets a function that selects the fault of each commit; nil removes it.
// It is called without the lock held, so it may itself commit, e.g. to simulate a
// concurrent writer.
func (m *Memory) OnCommit(fault func(txn platform.Txn) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onCommit = fault
}

// Save makes a copy of the table.
func (m *Memory) Save() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.saved, m.savedCommit = maps.Clone(m.rows), m.commit
}

// Restore begins a new era of the table with the rows and the commit number of the copy.
func (m *Memory) Restore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era, m.commit, m.rows = m.era+1, m.savedCommit, map[string]platform.Row{}
	for key, row := range m.saved {
		row.Version = m.version(platform.CommitOf(row.Version))
		m.rows[key] = row
	}
}

// Version returns the version of the newest commit.
func (m *Memory) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version(m.commit)
}

// version returns the version of a commit in the present era.
func (m *Memory) version(commit uint64) uint64 {
	version, err := platform.VersionOf(m.era, commit)
	if err != nil {
		panic(err)
	}
	return version
}

// Counts returns the number of reads and writes of the table.
func (m *Memory) Counts() (reads, writes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes
}

// SetVMs replaces the list of VMs.
func (m *Memory) SetVMs(vms []platform.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = platform.VMList{Revision: m.vms.Revision + 1, Complete: true, VMs: vms}
}

// Get implements platform.Table.
func (m *Memory) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.down {
		return nil, platform.ErrUnavailable
	}
	var found []platform.Row
	for _, key := range keys {
		if row, ok := m.rows[key]; ok {
			found = append(found, row)
		}
	}
	return found, nil
}

// Range implements platform.Table.
func (m *Memory) Range(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.down {
		return nil, platform.ErrUnavailable
	}
	var found []platform.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found, nil
}

// Commit implements platform.Table.
func (m *Memory) Commit(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
	m.mu.Lock()
	hook := m.onCommit
	m.mu.Unlock()
	fault := Pass
	if hook != nil {
		fault = hook(txn)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.down || fault == Unavailable {
		return platform.TxnResult{}, platform.ErrUnavailable
	}
	if fault == LostRequest {
		return platform.TxnResult{}, platform.ErrUnknown
	}
	result := m.apply(txn)
	m.down, m.downAfterCommit = m.down || m.downAfterCommit, false
	if fault == LostAnswer {
		return platform.TxnResult{}, platform.ErrUnknown
	}
	return result, nil
}

func (m *Memory) apply(txn platform.Txn) platform.TxnResult {
	var failed []platform.Row
	for _, condition := range txn.Conditions {
		row := m.rows[condition.Key]
		if row.Version != condition.Version {
			row.Key = condition.Key
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return platform.TxnResult{Failed: failed}
	}
	m.commit++
	for _, put := range txn.Puts {
		m.rows[put.Key] = platform.Row{Key: put.Key, Value: bytes.Clone(put.Value), Version: m.version(m.commit)}
	}
	for _, key := range txn.Deletes {
		delete(m.rows, key)
	}
	return platform.TxnResult{Committed: true, Commit: m.version(m.commit)}
}

// PutObject implements platform.Objects.
func (m *Memory) PutObject(_ context.Context, key string, body []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return platform.ErrUnavailable
	}
	m.objects[key] = bytes.Clone(body)
	return nil
}

// GetObject implements platform.Objects.
func (m *Memory) GetObject(_ context.Context, key string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, platform.ErrUnavailable
	}
	body, ok := m.objects[key]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return body, nil
}

// ListObjects implements platform.Objects.
func (m *Memory) ListObjects(_ context.Context, prefix string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, platform.ErrUnavailable
	}
	var keys []string
	for key := range m.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys, nil
}

// DeleteObject implements platform.Objects.
func (m *Memory) DeleteObject(_ context.Context, key string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return platform.ErrUnavailable
	}
	delete(m.objects, key)
	return nil
}

// List implements platform.VMs.
func (m *Memory) List(_ context.Context, after uint64) (platform.VMList, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return platform.VMList{}, platform.ErrUnavailable
	}
	if after == m.vms.Revision {
		return platform.VMList{Revision: after}, nil
	}
	return m.vms, nil
}

// Stat implements platform.Weights. The store of weights is empty.
func (m *Memory) Stat(context.Context, string) (int64, error) { return 0, platform.ErrNotFound }

// Open implements platform.Weights. The store of weights is empty.
func (m *Memory) Open(context.Context, string) (io.ReadCloser, error) {
	return nil, platform.ErrNotFound
}
