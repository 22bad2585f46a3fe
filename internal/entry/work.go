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

// work is one caller's request, checked and ready to be handed over.
type work struct {
	id        string
	workspace *jayv1.Workspace
	class     jayv1.Class
	priority  uint32
	started   time.Time
	// deadline to the first byte of the answer.
	deadline time.Time

	pool     *jayv1.Pool
	service  *jayv1.Service
	model    string
	version  string
	adapter  string
	apiPath  string
	stream   bool
	maxOut   uint32
	route    *routing.Request
	policy   *routing.PoolPolicy
	method   string
	path     string
	headers  []*jayv1.Header
	body     bodySource
	keepOpen bool

	// hashes of what all attempts of its caller have in common; nil: the body is
	// not held whole.
	hashes *quarantine.Hashes

	nonRepeatable bool
	// repeatable work may be started again when its outcome is unknown.
	repeatable bool
	key        string
	// claim of the key, held while the call is under way.
	claim *ledger.Claim
}

// target names the pool or service, apart from each other.
func (w *work) target() string {
	if w.service != nil {
		return catalog.KindService + "/" + w.service.GetName()
	}
	return catalog.KindPool + "/" + w.pool.GetName()
}

func (w *work) servers(table *catalog.Table) []*jayv1.BackendServer {
	if w.service != nil {
		return table.BackendServersOfService(w.service.GetName())
	}
	return table.BackendServersOfPool(w.pool.GetName())
}

// offer makes the head of a hand-over.
func (w *work) offer(now time.Time, number uint32, d routing.Decision, generation uint64, nonce []byte) *jayv1.Offer {
	return &jayv1.Offer{
		RequestId: w.id, Attempt: number, Workspace: w.workspace.GetName(),
		Pool: w.pool.GetName(), Service: w.service.GetName(),
		Model: w.model, VersionDigest: w.version, Adapter: w.adapter,
		Class: w.class, EnginePriority: w.priority, WorkspaceWeight: max(w.workspace.GetWeight(), 1),
		DeadlineMs: remainingMS(now, w.deadline),
		Chain:      w.route.Chain, PromptBytes: uint32(w.route.PromptBytes), MaxOutputTokens: w.maxOut, //nolint:gosec // bounded by the prompt limit
		ExpectedMs: d.ExpectedMS, NextBestMs: d.NextBestMS, Final: d.Final,
		Generation: generation, Incarnation: d.Incarnation,
		NonRepeatable: w.nonRepeatable, IdempotencyKey: w.key,
		Method: w.method, Path: w.path, Headers: w.headers,
		// A body always follows, if only an empty last frame: the agent runs
		// nothing before it, so an offer whose answer is lost is proven not run.
		HasBody: true,
		Stream:  w.stream, Nonce: nonce, ApiPath: w.apiPath,
	}
}

func remainingMS(now, deadline time.Time) uint32 {
	left := deadline.Sub(now).Milliseconds()
	const most = 1 << 31
	return uint32(min(max(left, 1), most)) //nolint:gosec // bounded above
}

// bodySource gives a body piece by piece.
type bodySource interface {
	// Next returns a piece; last is true with the final one, which may be empty.
	Next() (piece []byte, last bool, err error)
	// Rewind starts again from the front, false when that is no longer possible.
	Rewind() bool
}

// pieceBytes is the size of a Data frame.
const pieceBytes = 64 << 10

// wholeBody is a body that is held whole.
type wholeBody struct {
	body []byte
	at   int
}

// Next returns the next piece.
func (b *wholeBody) Next() ([]byte, bool, error) {
	end := min(b.at+pieceBytes, len(b.body))
	piece := b.body[b.at:end]
	b.at = end
	return piece, end == len(b.body), nil
}

// Rewind always succeeds.
func (b *wholeBody) Rewind() bool {
	b.at = 0
	return true
}

// streamedBody passes a body on as it comes and keeps its front, up to a
// bound, for a further attempt.
type streamedBody struct {
	from   io.Reader
	kept   []byte
	keep   int
	at     int
	lost   bool
	ended  bool
	buffer []byte
}

func newStreamedBody(from io.Reader, keep int) *streamedBody {
	return &streamedBody{from: from, keep: keep}
}

// Next returns kept bytes first, then reads on.
func (b *streamedBody) Next() ([]byte, bool, error) {
	if b.at < len(b.kept) {
		piece := b.kept[b.at:]
		b.at = len(b.kept)
		return piece, b.ended, nil
	}
	if b.ended {
		return nil, true, nil
	}
	if b.buffer == nil {
		b.buffer = make([]byte, pieceBytes)
	}
	n, err := b.from.Read(b.buffer)
	b.ended = err == io.EOF //nolint:errorlint // io.Reader returns io.EOF itself
	if err != nil && !b.ended {
		return nil, false, err
	}
	b.remember(b.buffer[:n])
	return b.buffer[:n], b.ended, nil
}

func (b *streamedBody) remember(piece []byte) {
	if b.lost || len(b.kept)+len(piece) > b.keep {
		b.lost = true
		b.kept = nil
		b.at = 0
		return
	}
	b.kept = append(b.kept, piece...)
	b.at = len(b.kept)
}

// Rewind fails once more was read than is kept.
func (b *streamedBody) Rewind() bool {
	b.at = 0
	return !b.lost
}
