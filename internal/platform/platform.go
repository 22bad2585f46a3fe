// Package platform is what the system uses of the platform: the transactional
// table, the object store, the list of VMs and the weight store. The
// interfaces live here together with the HTTP client; a process never talks to
// the platform any other way.
package platform

import (
	"context"
	"errors"
	"io"
	"time"
)

// Errors that callers test with errors.Is.
var (
	// ErrUnavailable means that the call was not carried out. Sending it again is safe.
	ErrUnavailable = errors.New("platform unavailable, nothing was done")
	// ErrUnknown means that the call may or may not have taken effect, e.g. the answer
	// was lost after the write. The caller settles it by reading.
	ErrUnknown = errors.New("outcome of the platform call unknown")
	// ErrNotFound means that the object, row or weight does not exist.
	ErrNotFound = errors.New("not found on the platform")
)

// Row is one row of the table. Version is the commit number of the write that
// made it, so versions rise over the whole table and serve as fencing numbers.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition must hold for a transaction to commit: the row's version equals
// Version. Version 0 means that the row must not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is applied whole or not at all. It counts as one write against the
// platform's rate, whatever its size (at most MaxTxnRows rows).
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// MaxTxnRows bounds the rows of one transaction.
const MaxTxnRows = 128

// TxnResult tells whether a transaction committed.
type TxnResult struct {
	Committed bool `json:"committed"`
	// Commit is the commit number, the version of every row written.
	Commit uint64 `json:"commit"`
	// Failed holds the current rows of the conditions that did not hold; a row
	// that does not exist has Version 0.
	Failed []Row `json:"failed,omitempty"`
}

// Table is the transactional table service: serializable transactions, several
// hundred a second, about two thousand reads a second, both with outages.
type Table interface {
	// Get reads rows in one read; absent rows are left out.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Range reads rows with the prefix and a key above after, in key order.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. ErrUnknown when its answer was lost.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// Objects is the object store.
type Objects interface {
	PutObject(ctx context.Context, key string, body []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	ListObjects(ctx context.Context, prefix string) ([]string, error)
	DeleteObject(ctx context.Context, key string) error
}

// VMState is what the platform says of a VM.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive     VMState = "live"
	VMDraining VMState = "leaving"
	VMGone     VMState = "gone"
)

// VM is one entry of the platform's list.
type VM struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Role is "entry" or "backend".
	Role  string  `json:"role"`
	State VMState `json:"state"`
	// Incarnation rises when the VM is replaced under the same name.
	Incarnation uint64 `json:"incarnation"`
}

// VMList is a part of the list.
type VMList struct {
	Revision uint64 `json:"revision"`
	// Complete: VMs holds the whole list, not only the changes since the revision asked for.
	Complete bool `json:"whole"`
	VMs      []VM `json:"vms"`
}

// VMs is the platform's list of live and leaving VMs. It lags, by seconds as a
// rule and by half a minute on a bad day.
type VMs interface {
	// List returns the changes after the revision, or all when it is 0 or too old.
	List(ctx context.Context, after uint64) (VMList, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Stat returns the size in bytes of the weights with the digest.
	Stat(ctx context.Context, digest string) (int64, error)
	// Open streams them, at the rate the store grants.
	Open(ctx context.Context, digest string) (io.ReadCloser, error)
}

// Platform is all of it.
type Platform interface {
	Table
	Objects
	VMs
	Weights
}

// Clock tells the time; shells pass time.Now, tests a fake.
type Clock func() time.Time
