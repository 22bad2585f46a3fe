// Package gateway is the shell that forwards callers' HTTP calls to backend
// servers that are called directly: it reads and writes sockets, feeds and
// lists, and asks the pure packages for every decision (routetable, routing,
// membership, retry, weights, rollout, mirror, lease).
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/weights"
)

// Dialect decodes and encodes the heads of calls.
type Dialect interface {
	// Decode reads a caller's head; call.ErrMalformed when it can't be understood.
	Decode(h http.Header) (call.Head, error)
	// Forward makes the head for a backend server.
	Forward(from http.Header, d call.ForwardOptions) http.Header
	// Answer reads the head of a backend server's answer, Back makes the caller's.
	Answer(status int, h http.Header) call.Answer
	Back(from http.Header) http.Header
	// Refuse writes the head of a refusal of our own.
	Refuse(h http.Header, requestID string, after time.Duration)
}

// Tables reads the tables that operators and backend servers write.
type Tables interface {
	// Whole reads a table; Changes waits for what changed after a version, and
	// is ErrHistory when that is too long ago.
	Whole(ctx context.Context, table string) (mirror.Batch, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (mirror.Batch, error)
}

// Decoder turns rows into what they declare.
type Decoder struct {
	// OperatorTable and BackendTable are the names of the tables.
	OperatorTable string
	BackendTable  string
	// EntryTable is where entries write their addresses.
	EntryTable string
	// SuspectTable is where entries write under which requests servers crashed.
	SuspectTable string
	// IsConfig tells whether a key of the operator's table holds the configuration.
	IsConfig func(key string) bool
	Config   func(value []byte) (*routetable.Table, error)
	// Named reads a row that names weights; ok is false when it is none.
	Named   func(key string, value []byte) (named weights.Target, ok bool, err error)
	Backend func(id string, value []byte) (*fleet.Backend, error)
	// SameBackend tells whether two values of an entry of the list differ in
	// nothing but its heartbeat.
	SameBackend func(old, new []byte) bool
}

// Engines calls model engines beside the requests.
type Engines interface {
	Report(ctx context.Context, instance, address string) (call.Report, error)
	Order(ctx context.Context, order call.LoadOrder) (call.OrderOutcome, error)
}

// KeptStores asks stores of kept cache what they hold.
type KeptStores interface {
	// Changes since an earlier answer's Next; call.ErrBusy when the store is there
	// but takes no such call now.
	Changes(ctx context.Context, address string, since uint64) (call.StoreChanges, error)
}

// Ports are the outside systems.
type Ports struct {
	Dialect Dialect
	Tables  Tables
	Decoder Decoder
	Engines Engines
	// KeptStores may be nil.
	KeptStores KeptStores
	// Table holds our own rows: leases, the entries' addresses and the requests
	// under which servers crashed.
	Table platform.Table
	// HistoryGone is the error of Tables.Changes for a version too long ago.
	HistoryGone error
}

// Settings of one process.
type Settings struct {
	Node       string
	DataCentre string
	// Addresses to listen on.
	CallerAddress  string
	ReadyAddress   string
	ControlAddress string
	// MetricsAddress may be empty.
	MetricsAddress string
	// HintAddress for datagrams between entries; empty: none. All entries use one port.
	HintAddress string
	// Seeds are control addresses of other entries.
	Seeds []string
	// Cores that the VM gives the process; 0: not known.
	Cores float64
	// Grace between the signal to stop and the end of the process.
	Grace time.Duration
	// DrainBound: a leaving server gets no request later than this after its word.
	DrainBound time.Duration
	// LeaseTime within which two holders must not both act.
	LeaseTime time.Duration
	// VersionBound: a request must not begin on weights replaced longer ago.
	VersionBound time.Duration
	// RetryRatio of the requests and RetrySlack more may be sent a second time
	// in one window, over all entries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}
