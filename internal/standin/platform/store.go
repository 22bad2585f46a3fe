package platform

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jayproxy/jayproxy/internal/platform"
)

// table is the transactional table. One lock makes transactions serializable; the
// commit number is the version of all rows that a transaction writes.
type table struct {
	mu     sync.Mutex
	commit uint64
	rows   map[string]platform.Row
}

func newTable() *table { return &table{rows: map[string]platform.Row{}} }

func (t *table) get(keys []string) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

func (t *table) scan(request platform.RangeRequest) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []platform.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, request.Prefix) && key > request.After {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if request.Limit > 0 && len(rows) > request.Limit {
		rows = rows[:request.Limit]
	}
	return rows
}

func (t *table) apply(txn platform.Txn) platform.TxnResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var failed []platform.Row
	for _, condition := range txn.Conditions {
		row, ok := t.rows[condition.Key]
		if !ok {
			row = platform.Row{Key: condition.Key}
		}
		if row.Version != condition.Version {
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return platform.TxnResult{Failed: failed}
	}
	t.commit++
	for _, put := range txn.Puts {
		t.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Version: t.commit}
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	return platform.TxnResult{Committed: true, Commit: t.commit}
}

// objects is the object store.
type objects struct {
	mu     sync.Mutex
	bodies map[string][]byte
}

func newObjects() *objects { return &objects{bodies: map[string][]byte{}} }

func (o *objects) put(key string, body []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bodies[key] = body
}

func (o *objects) get(key string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	body, ok := o.bodies[key]
	return body, ok
}

func (o *objects) remove(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.bodies, key)
}

func (o *objects) list(prefix string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	keys := []string{}
	for key := range o.bodies {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// vmHistory is the number of changes kept to answer with deltas.
const vmHistory = 1024

type vmChange struct {
	revision uint64
	at       time.Time
	vm       platform.VM
}

// vms is the list of VMs. A change becomes visible once it is older than the lag.
type vms struct {
	mu       sync.Mutex
	revision uint64
	// base is the list as of revision baseRevision, the last change dropped from changes.
	base         map[string]platform.VM
	baseRevision uint64
	changes      []vmChange
}

func newVMs() *vms { return &vms{base: map[string]platform.VM{}} }

func (v *vms) set(now time.Time, vm platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.revision++
	v.changes = append(v.changes, vmChange{revision: v.revision, at: now, vm: vm})
	if len(v.changes) > vmHistory {
		v.base[v.changes[0].vm.Name] = v.changes[0].vm
		v.baseRevision = v.changes[0].revision
		v.changes = v.changes[1:]
	}
}

func (v *vms) list(now time.Time, lag time.Duration, after uint64) platform.VMList {
	v.mu.Lock()
	defer v.mu.Unlock()
	visible := v.changes
	for i, change := range v.changes {
		if now.Sub(change.at) < lag {
			visible = v.changes[:i]
			break
		}
	}
	visibleRevision := v.baseRevision
	if len(visible) > 0 {
		visibleRevision = visible[len(visible)-1].revision
	}
	full := after == 0 || after < v.baseRevision || after > visibleRevision
	merged := map[string]platform.VM{}
	if full {
		for name, vm := range v.base {
			merged[name] = vm
		}
	}
	for _, change := range visible {
		if full || change.revision > after {
			merged[change.vm.Name] = change.vm
		}
	}
	return platform.VMList{Revision: visibleRevision, Complete: full, VMs: sortedVMs(merged)}
}

func sortedVMs(merged map[string]platform.VM) []platform.VM {
	list := make([]platform.VM, 0, len(merged))
	for _, vm := range merged {
		list = append(list, vm)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
