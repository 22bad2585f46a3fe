// Package gateway implements the entry, the process that forwards callers' HTTP
// requests to backend servers. It does the I/O on sockets, tables and datagrams; packages
// without I/O make the decisions (routetable, routing, membership, retry,
// weights, rollout, mirror, lease).
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/quota"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/softwarehistory"
	"github.com/jayproxy/jayproxy/internal/weights"
)

// Dialect translates between HTTP headers and the types of package call.
type Dialect interface {
	// Decode reads a caller's header; call.ErrMalformed if that is malformed.
	Decode(h http.Header) (call.Head, error)
	// RequestHeader returns the header of a request to a backend server.
	RequestHeader(from http.Header, d call.ForwardOptions) http.Header
	// DecodeResponse reads the header of a backend server's response; ResponseHeader
	// returns the one for the caller.
	DecodeResponse(status int, h http.Header) call.ResponseHead
	ResponseHeader(from http.Header) http.Header
	// Refuse writes the header of a response by the entry itself. after is the
	// retry delay; 0: none.
	Refuse(h http.Header, requestID string, after time.Duration)
}

// Tables reads the tables that operators and backend servers write. Versions include the
// store's era (platform.VersionOf).
type Tables interface {
	// Snapshot reads a complete table, and bounds its own time. Changes waits for changes
	// after a version; its error is Ports.HistoryGone if that version is too old. Both fail
	// with call.ErrBusy if the store refused the call because it had too many.
	Snapshot(ctx context.Context, table string) (mirror.Batch, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (mirror.Batch, error)
}

// Decoder decodes the rows of the tables.
type Decoder struct {
	// OperatorTable and BackendTable are the names of the tables.
	OperatorTable string
	BackendTable  string
	// EntryTable is the table of the entries' addresses.
	EntryTable string
	// SuspectTable is the table of the requests under which servers crashed.
	SuspectTable string
	// IsConfig reports whether a key of the operator's table holds the
	// configuration.
	IsConfig func(key string) bool
	Config   func(value []byte) (*routetable.Table, error)
	// Target decodes a row that names the weights to serve; ok is false for any other row.
	Target  func(key string, value []byte) (target weights.Target, ok bool, err error)
	Backend func(id string, value []byte) (*fleet.Backend, error)
	// SameBackend reports whether two values of a backend server's row differ in
	// nothing but the heartbeat.
	SameBackend func(old, new []byte) bool
	// OlderOperatorRow and OlderBackend report whether a value of a row was written before
	// a known one, by what its writer says in it.
	OlderOperatorRow, OlderBackend func(key string, known, value []byte) bool
}

// Engines makes control calls to model engines, independent of callers'
// requests.
type Engines interface {
	Report(ctx context.Context, instance, address string) (call.Report, error)
	Order(ctx context.Context, order call.LoadOrder) (call.OrderOutcome, error)
}

// Health makes health checks of backend servers.
type Health interface {
	// Answers returns nil if an instance answers for itself, healthy or not. The error
	// wraps call.ErrOtherInstance if another one answers at the address.
	Answers(ctx context.Context, instance, address, path string) error
}

// KVStores asks KV cache stores what they hold.
type KVStores interface {
	// Changes returns what changed since the Next of an earlier result;
	// call.ErrBusy if the store runs but does not accept the call now.
	Changes(ctx context.Context, address string, since uint64) (call.KVStoreChanges, error)
}

// WeightAges records how long ago versions of a model's weights were named, for entries that
// start.
type WeightAges interface {
	// Ages returns what is recorded of a model.
	Ages(ctx context.Context, model string) ([]weights.VersionAge, error)
	// Record merges ages into the record and returns the result. Of two ages of a version the
	// greater one holds.
	Record(ctx context.Context, model string, ages []weights.VersionAge) ([]weights.VersionAge, error)
}

// SoftwareRecord records which versions of a service's software were in service, for entries
// that start.
type SoftwareRecord interface {
	// Sightings returns what is recorded of a service.
	Sightings(ctx context.Context, service string) ([]softwarehistory.Sighting, error)
	// Record merges what an entry knows into the record and returns the result.
	Record(ctx context.Context, service string, own []softwarehistory.Sighting) ([]softwarehistory.Sighting, error)
}

// Ports are the external systems that a Gateway uses.
type Ports struct {
	Dialect Dialect
	Tables  Tables
	Decoder Decoder
	Engines Engines
	Health  Health
	// KVStores may be nil.
	KVStores KVStores
	// Table holds the entries' own rows: leases, the entries' addresses and the
	// requests under which servers crashed.
	Table platform.Table
	// WeightAges may be nil.
	WeightAges WeightAges
	// Software may be nil.
	Software SoftwareRecord
	// HistoryGone is the error of Tables.Changes for a version that is too old.
	HistoryGone error
}

// Settings configure one process.
type Settings struct {
	Node       string
	DataCentre string
	// Addresses to listen on.
	CallerAddress  string
	ReadyAddress   string
	ControlAddress string
	// MetricsAddress may be empty.
	MetricsAddress string
	// HintAddress is for datagrams between entries; empty: none. All entries use
	// the same port.
	HintAddress string
	// CrossDataCentreMSPerMB is the extra latency, in milliseconds, that keeping a million
	// bytes in their data centre is worth; 0: traffic between data centres costs nothing.
	CrossDataCentreMSPerMB float64
	// Bootstrap: the whole system starts for the first time.
	Bootstrap bool
	// StoreReadsPerSecond is how many reads the store accepts from all entries; 0: no limit
	// is known.
	StoreReadsPerSecond float64
	// Seeds are control addresses of other entries.
	Seeds []string
	// Cores is the number of processor cores that the VM gives the process; 0:
	// unknown.
	Cores float64
	// MemoryBytes is the memory of the process; 0: unknown.
	MemoryBytes int64
	// Grace is the time between the signal to stop and the forced end of the
	// process.
	Grace time.Duration
	// DrainBound: a draining server gets no request later than this after it
	// announced its end.
	DrainBound time.Duration
	// RenewalInterval is how often servers renew their registrations, approximately; 0: not
	// known.
	RenewalInterval time.Duration
	// ConfigBound: a new configuration is in force everywhere within this time; 0: not
	// known.
	ConfigBound time.Duration
	// LeaseTime is the time within which two holders of a lease must not both act.
	LeaseTime time.Duration
	// VersionBound: a request must not start on weights that were replaced longer
	// ago than this.
	VersionBound time.Duration
	// VersionFleetBound is the time after weights are named by which all servers have
	// them or newer ones; 0: no bound.
	VersionFleetBound time.Duration
	// RetryRatio of the requests, plus RetrySlack more, may be sent a second time
	// in each RetryWindow, counted over all entries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Usage says how exactly all entries together keep usage caps.
	Usage quota.Bounds
	// ServerLimits says the same of the limits on requests per second that servers name,
	// in requests.
	ServerLimits quota.Bounds
}
