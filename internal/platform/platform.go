// Package platform defines the services of the platform that the router uses:
// the transactional table, the object store, the list of VMs and the store of
// model weights. It also contains the HTTP client, which is the only way in
// which processes access the platform.
package platform

import (
	"context"
	"errors"
	"io"
	"time"
)

// Errors that callers test with errors.Is.
var (
	// ErrUnavailable means that the call was not carried out and may be repeated.
	ErrUnavailable = errors.New("platform unavailable, nothing was done")
	// ErrUnknown means that the call may or may not have taken effect, e.g. because
	// the answer to a write was lost. The caller can find out by reading.
	ErrUnknown = errors.New("outcome of the platform call unknown")
	// ErrNotFound means that the object, row or weight does not exist.
	ErrNotFound = errors.New("not found on the platform")
)

// Row is a row of the table. Version identifies the commit of its last write; see
// VersionOf. Versions increase over the whole table, also when it comes back from an older
// copy, so they can serve as fencing tokens.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition is a precondition of a transaction: the row's version must equal
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

// Txn is a transaction, which is applied completely or not at all. It counts as
// one write against the platform's rate limit, whatever its size (at most
// MaxTxnRows rows).
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// MaxTxnRows bounds the number of rows in a transaction.
const MaxTxnRows = 128

// TxnResult is the platform's answer to a transaction.
type TxnResult struct {
	Committed bool `json:"committed"`
	// Commit is the version of every row written.
	Commit uint64 `json:"commit"`
	// Failed holds the current rows of the conditions that were not met. A row
	// that does not exist has Version 0.
	Failed []Row `json:"failed,omitempty"`
}

// Table is the transactional table service. Transactions are serializable. The
// service is limited to several hundred transactions and about two thousand
// reads per second and may be unavailable.
type Table interface {
	// Get returns the rows with the keys. Rows that do not exist are left out.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Range returns up to limit rows whose key has the prefix and is greater than
	// after, in key order.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. The error is ErrUnknown if the answer was
	// lost.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// Objects is the object store.
type Objects interface {
	PutObject(ctx context.Context, key string, body []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	ListObjects(ctx context.Context, prefix string) ([]string, error)
	DeleteObject(ctx context.Context, key string) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive     VMState = "live"
	VMDraining VMState = "leaving"
	VMGone     VMState = "gone"
)

// VM is an element of the platform's list of VMs.
type VM struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Role is "entry" or "backend".
	Role  string  `json:"role"`
	State VMState `json:"state"`
	// Incarnation increases when the VM is replaced under the same name.
	Incarnation uint64 `json:"incarnation"`
}

// VMList is the list of VMs or the changes since a revision.
type VMList struct {
	Revision uint64 `json:"revision"`
	// Complete is true if VMs is the complete list and not only the changes since
	// the requested revision.
	Complete bool `json:"whole"`
	VMs      []VM `json:"vms"`
}

// VMs is the platform's list of live and draining VMs. It usually lags by
// seconds, sometimes by half a minute.
type VMs interface {
	// List returns the changes after the revision, or the complete list if the
	// revision is 0 or too old.
	List(ctx context.Context, after uint64) (VMList, error)
}

// Weights is the rate-limited store of model weights.
type Weights interface {
	// Stat returns the size of the weights with the digest, in bytes.
	Stat(ctx context.Context, digest string) (int64, error)
	// Open streams the weights with the digest. The caller must close the reader.
	Open(ctx context.Context, digest string) (io.ReadCloser, error)
}

// Platform combines all services of the platform.
type Platform interface {
	Table
	Objects
	VMs
	Weights
}

// Clock returns the current time. It is time.Now except in tests.
type Clock func() time.Time
