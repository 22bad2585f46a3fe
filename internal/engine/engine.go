// Package engine defines one interface for the model engines of all vendors. Its
// implementations, the dialects, translate calls, state reports and cache events
// and make no decisions.
package engine

import (
	"context"
	"errors"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Errors that callers test with errors.Is.
var (
	// ErrNotReached means that no connection was made, so the engine did not
	// receive the request.
	ErrNotReached = errors.New("engine not reached")
	// ErrRefused means that the engine received the request and ran nothing of it.
	ErrRefused = errors.New("engine refused the request")
	// ErrInvalid means that the engine refused the request for its content, so
	// that every other engine would refuse it too. An error that matches it also
	// matches ErrRefused.
	ErrInvalid = errors.New("engine refused the request as invalid")
	// ErrInterrupted means that the call or its stream ended early. All or part of
	// the request may have run.
	ErrInterrupted = errors.New("engine response interrupted")
	// ErrStaleFence means that the engine refused an order with an old fencing
	// number.
	ErrStaleFence = errors.New("order carries an old fencing number")
	// ErrUnsupported means that the vendor's engines have no such call.
	ErrUnsupported = errors.New("not supported by this engine")
	// ErrGap means that cache events after the requested sequence number are no
	// longer available.
	ErrGap = errors.New("cache events lost")
)

// BlockHash identifies a cached block by the engine's own hash, which covers the
// salt and the complete prefix up to the block's end.
type BlockHash uint64

// State is an engine's load report.
type State struct {
	// Incarnation is a number that increases with every start of the engine's
	// process.
	Incarnation uint64
	Running     int
	Waiting     int
	// CachedBlocks is the number of cache blocks in use, out of CapacityBlocks.
	CachedBlocks   int
	CapacityBlocks int
	// BlockTokens is the number of tokens in a block.
	BlockTokens int
	Versions    []string
	Adapters    []string
	Role        string
	// Lag is the minimum age of the report; 0 when the engine does not report it.
	Lag time.Duration
}

// Request is one call of an engine. Body is the caller's JSON; the dialect adds
// the vendor's fields.
type Request struct {
	// ID is unique per attempt. The engine returns it with every event.
	ID string
	// Path is "/v1/chat/completions" or "/v1/completions".
	Path string
	Body []byte
	// Salt separates the cached blocks of workspaces.
	Salt string
	// VersionDigest identifies the weights that must run the request.
	VersionDigest string
	Adapter       string
	// Priority is 0 to 100; higher runs first.
	Priority int
	// HeadTime bounds the time from the first byte of the response's head to its end; 0: it
	// is not bounded. An engine that is busy sends no byte of it.
	HeadTime time.Duration
}

// Event is one event of a response's stream.
type Event struct {
	// RequestID is the request that the engine assigns the event to. Readers must
	// check it, since an engine may deliver events late or to the wrong stream.
	RequestID string
	// Index counts the events of the stream from 0.
	Index uint64
	// Data is the JSON of a chunk in the format that callers receive.
	Data []byte
	// Last is true for the last event of a complete response; Usage is then set.
	Last  bool
	Usage Usage
	// Incarnation and VersionDigest of the engine that produced the event.
	Incarnation   uint64
	VersionDigest string
}

// Usage has the token counts of a response, as reported by the engine.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Stream is the response to one request.
type Stream interface {
	// Next returns the next event, io.EOF after the last one, or an error that
	// matches ErrInterrupted when the stream ended early.
	Next(ctx context.Context) (Event, error)
	Close() error
}

// CacheEventKind is the kind of a change to the cache.
type CacheEventKind int

// The kinds of cache events.
const (
	BlocksStored CacheEventKind = iota + 1
	BlocksRemoved
	CacheCleared
)

// CacheEvent is one event of an engine's cache event stream. Events are delayed
// and may be duplicated, reordered or lost, which Seq makes detectable.
type CacheEvent struct {
	Incarnation uint64
	Seq         uint64
	Kind        CacheEventKind
	Blocks      []BlockHash
	// Age is the time between the event and its publication; 0 when the engine
	// does not report it.
	Age time.Duration
}

// CacheSnapshot lists all cached blocks at a sequence number.
type CacheSnapshot struct {
	Incarnation uint64
	Seq         uint64
	Blocks      []BlockHash
}

// EventReader reads cache events in the order in which they arrive.
type EventReader interface {
	Next(ctx context.Context) ([]CacheEvent, error)
	Close() error
}

// Order is a management command to the engine, such as loading a version.
type Order struct {
	Fence   uint64
	Kind    jayv1.OrderKind
	Model   string
	Digest  string
	Adapter string
	Role    string
}

// Engine is the client of one model engine.
type Engine interface {
	State(ctx context.Context) (State, error)
	Submit(ctx context.Context, req Request) (Stream, error)
	// Cancel stops a request and frees its slot. Unknown requests are no error.
	Cancel(ctx context.Context, requestID string) error
	// Events subscribes to the cache events after a sequence number of the current
	// incarnation. The error matches ErrGap when they are no longer available.
	Events(ctx context.Context, after uint64) (EventReader, error)
	// Snapshot lists all cached blocks. Some dialects return ErrUnsupported.
	Snapshot(ctx context.Context) (CacheSnapshot, error)
	// Blocks computes the engine's hashes of the blocks of a prompt, and the
	// offset in bytes at which each block ends.
	Blocks(req Request) ([]BlockHash, []int, error)
	Order(ctx context.Context, order Order) error
	// ExportKV returns the KV cache of blocks, in a format that ImportKV loads into
	// another engine of the same vendor.
	ExportKV(ctx context.Context, blocks []BlockHash) ([]byte, error)
	ImportKV(ctx context.Context, kv []byte) error
}
