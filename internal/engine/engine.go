// Package engine hides the vendors' dialects behind one interface. A dialect
// translates calls, state reports and cache events; it decides nothing.
package engine

import (
	"context"
	"errors"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Errors that callers test with errors.Is.
var (
	// ErrNotReached means: the engine did not see the request (refused connection).
	ErrNotReached = errors.New("engine not reached")
	// ErrRefused means: the engine saw the request and ran nothing of it.
	ErrRefused = errors.New("engine refused the request")
	// ErrInvalid means: the engine refused the request for what it says, so that
	// every other engine would, too. It comes together with ErrRefused.
	ErrInvalid = errors.New("engine refused the request as invalid")
	// ErrInterrupted means: the stream ended before its end; part of it may have run.
	ErrInterrupted = errors.New("engine stream broken")
	// ErrStaleFence means: the engine refused an order with an old fencing number.
	ErrStaleFence = errors.New("order carries an old fencing number")
	// ErrUnsupported means: the dialect has no such call.
	ErrUnsupported = errors.New("not supported by this engine")
	// ErrGap means: the event stream lost entries after the sequence number asked for.
	ErrGap = errors.New("cache events lost")
)

// BlockHash names a cached block in the engine's own terms. It covers the salt
// and the whole prefix up to the block's end.
type BlockHash uint64

// State is an engine's load report. Lag tells how old it is at least.
type State struct {
	// Incarnation is the boot number of the engine process.
	Incarnation uint64
	Running     int
	Waiting     int
	// CachedBlocks of CapacityBlocks are in use.
	CachedBlocks   int
	CapacityBlocks int
	// BlockTokens is the number of tokens in a block.
	BlockTokens int
	Versions    []string
	Adapters    []string
	Role        string
	Lag         time.Duration
}

// Request is one call of an engine. Body is the caller's JSON with the
// fields that the dialect adds.
type Request struct {
	// ID is unique per attempt and returned with every event of the stream.
	ID string
	// Path is "/v1/chat/completions" or "/v1/completions".
	Path string
	Body []byte
	// Salt keeps workspaces' cached blocks apart.
	Salt string
	// VersionDigest of the weights that must answer.
	VersionDigest string
	Adapter       string
	// Priority 0 to 100, higher first.
	Priority int
}

// Event is one step of an answer's stream.
type Event struct {
	// RequestID that the engine says the event belongs to. A reader checks it:
	// an engine may deliver late or crossed answers.
	RequestID string
	// Index counts the events of the stream from 0.
	Index uint64
	// Data is the JSON of a chunk in the shape that callers get.
	Data []byte
	// Last: the stream is whole; Usage is set.
	Last  bool
	Usage Usage
	// Incarnation and VersionDigest that made the event.
	Incarnation   uint64
	VersionDigest string
}

// Usage is what an answer cost, as the engine counted it.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Stream is one answer under way.
type Stream interface {
	// Next returns the next event, ErrBroken when the engine ended early.
	Next(ctx context.Context) (Event, error)
	Close() error
}

// CacheEventKind says what happened to blocks.
type CacheEventKind int

// The kinds of cache events.
const (
	BlocksStored CacheEventKind = iota + 1
	BlocksRemoved
	CacheCleared
)

// CacheEvent is one entry of an engine's event stream. Events come late, may
// come twice or out of order, and some never come: Seq shows it.
type CacheEvent struct {
	Incarnation uint64
	Seq         uint64
	Kind        CacheEventKind
	Blocks      []BlockHash
	// Age is the time between the event and its publication, as far as the engine tells.
	Age time.Duration
}

// CacheSnapshot is the whole cache at a sequence number.
type CacheSnapshot struct {
	Incarnation uint64
	Seq         uint64
	Blocks      []BlockHash
}

// EventReader reads cache events in the order of their arrival.
type EventReader interface {
	Next(ctx context.Context) ([]CacheEvent, error)
	Close() error
}

// Order is a command to the engine.
type Order struct {
	Fence   uint64
	Kind    jayv1.OrderKind
	Model   string
	Digest  string
	Adapter string
	Role    string
}

// Engine is one model engine as the agent beside it sees it.
type Engine interface {
	State(ctx context.Context) (State, error)
	Submit(ctx context.Context, req Request) (Stream, error)
	// Cancel stops a request and frees its slot; unknown requests are no error.
	Cancel(ctx context.Context, requestID string) error
	// Events subscribes to cache events after a sequence number of the current incarnation.
	Events(ctx context.Context, after uint64) (EventReader, error)
	// Snapshot reads the whole cache; ErrUnsupported in some dialects.
	Snapshot(ctx context.Context) (CacheSnapshot, error)
	// Blocks computes the hashes of the blocks of a prompt in the engine's own
	// terms, and the prompt bytes that each block ends at.
	Blocks(req Request) ([]BlockHash, []int, error)
	Order(ctx context.Context, order Order) error
	// ExportKV returns the KV cache of blocks; ImportKV loads it.
	ExportKV(ctx context.Context, blocks []BlockHash) ([]byte, error)
	ImportKV(ctx context.Context, kv []byte) error
}
