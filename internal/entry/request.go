package entry

import (
	"io"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/ledger"
	"github.com/jayproxy/jayproxy/internal/quarantine"
	"github.com/jayproxy/jayproxy/internal/routing"
)

// callerRequest is one caller's request, checked and ready for handoff.
type callerRequest struct {
	id        string
	workspace *jayv1.Workspace
	class     jayv1.Class
	priority  uint32
	started   time.Time
	// deadline for the first byte of the response.
	deadline time.Time

	pool      *jayv1.Pool
	service   *jayv1.Service
	model     string
	version   string
	adapter   string
	apiPath   string
	stream    bool
	maxOut    uint32
	route     *routing.Request
	policy    *routing.PoolPolicy
	method    string
	path      string
	headers   []*jayv1.Header
	body      bodySource
	resumable bool

	// hashes identify repeated requests of the same caller with the same content;
	// nil when the body is not buffered completely.
	hashes *quarantine.Hashes

	nonRepeatable bool
	// repeatable: the request may run again when its outcome is unknown.
	repeatable bool
	key        string
	// claim on the idempotency key, nil when the call needs none.
	claim *ledger.Claim
}

// target returns a name of the pool or service that is unique across both kinds.
func (request *callerRequest) target() string {
	if request.service != nil {
		return catalog.KindService + "/" + request.service.GetName()
	}
	return catalog.KindPool + "/" + request.pool.GetName()
}

func (request *callerRequest) servers(table *catalog.Table) []*jayv1.BackendServer {
	if request.service != nil {
		return table.BackendServersOfService(request.service.GetName())
	}
	return table.BackendServersOfPool(request.pool.GetName())
}

// offer returns the Offer message that starts a handoff.
func (request *callerRequest) offer(now time.Time, number uint32, d routing.Decision, generation uint64, nonce []byte) *jayv1.Offer {
	return &jayv1.Offer{
		RequestId: request.id, Attempt: number, Workspace: request.workspace.GetName(),
		Pool: request.pool.GetName(), Service: request.service.GetName(),
		Model: request.model, VersionDigest: request.version, Adapter: request.adapter,
		Class: request.class, EnginePriority: request.priority, WorkspaceWeight: max(request.workspace.GetWeight(), 1),
		DeadlineMs: remainingMS(now, request.deadline),
		Chain:      request.route.Chain, PromptBytes: uint32(request.route.PromptBytes), MaxOutputTokens: request.maxOut, //nolint:gosec // bounded by the prompt limit
		ExpectedMs: d.ExpectedMS, NextBestMs: d.NextBestMS, Final: d.Final,
		Generation: generation, Incarnation: d.Incarnation,
		NonRepeatable: request.nonRepeatable, IdempotencyKey: request.key,
		Method: request.method, Path: request.path, Headers: request.headers,
		// A body always follows, at least an empty last frame. The agent runs
		// nothing before it, so an offer whose reply is lost has not run.
		HasBody: true,
		Stream:  request.stream, Nonce: nonce, ApiPath: request.apiPath,
	}
}

func remainingMS(now, deadline time.Time) uint32 {
	remaining := deadline.Sub(now).Milliseconds()
	const maxMS = 1 << 31
	return uint32(min(max(remaining, 1), maxMS)) //nolint:gosec // bounded above
}

// bodySource reads a request body piece by piece.
type bodySource interface {
	// Next returns a piece; last is true with the final one, which may be empty.
	Next() (piece []byte, last bool, err error)
	// Rewind restarts from the beginning, false when that is no longer possible.
	Rewind() bool
}

// pieceBytes is the maximum size of a Data frame.
const pieceBytes = 64 << 10

// bufferedBody is a body that is completely in memory.
type bufferedBody struct {
	body   []byte
	offset int
}

// Next returns the next piece.
func (b *bufferedBody) Next() ([]byte, bool, error) {
	end := min(b.offset+pieceBytes, len(b.body))
	piece := b.body[b.offset:end]
	b.offset = end
	return piece, end == len(b.body), nil
}

// Rewind always succeeds.
func (b *bufferedBody) Rewind() bool {
	b.offset = 0
	return true
}

// streamedBody reads a body as it arrives and keeps its beginning, up to a
// limit, for a further attempt.
type streamedBody struct {
	reader     io.Reader
	kept       []byte
	maxKept    int
	offset     int
	overflowed bool
	ended      bool
	buffer     []byte
}

func newStreamedBody(reader io.Reader, maxKept int) *streamedBody {
	return &streamedBody{reader: reader, maxKept: maxKept}
}

// Next returns the kept bytes first, then continues to read.
func (b *streamedBody) Next() ([]byte, bool, error) {
	if b.offset < len(b.kept) {
		piece := b.kept[b.offset:]
		b.offset = len(b.kept)
		return piece, b.ended, nil
	}
	if b.ended {
		return nil, true, nil
	}
	if b.buffer == nil {
		b.buffer = make([]byte, pieceBytes)
	}
	n, err := b.reader.Read(b.buffer)
	b.ended = err == io.EOF //nolint:errorlint // io.Reader returns io.EOF itself
	if err != nil && !b.ended {
		return nil, false, err
	}
	b.keepFront(b.buffer[:n])
	return b.buffer[:n], b.ended, nil
}

func (b *streamedBody) keepFront(piece []byte) {
	if b.overflowed || len(b.kept)+len(piece) > b.maxKept {
		b.overflowed = true
		b.kept = nil
		b.offset = 0
		return
	}
	b.kept = append(b.kept, piece...)
	b.offset = len(b.kept)
}

// Rewind fails once more bytes were read than may be kept.
func (b *streamedBody) Rewind() bool {
	b.offset = 0
	return !b.overflowed
}
