package dialect

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/engine/blockhash"
)

// pica is the client of Pica's engines, which read their own fields from headers,
// wrap each chunk in an envelope, report their state as lines of text and send
// cache events as binary frames.
type pica struct{ *client }

// picaLowestPriority is the value of the X-Pica-Urgency header for the lowest
// priority; 0 is the highest.
const picaLowestPriority = 9

// maxPriority is the highest engine.Request.Priority.
const maxPriority = 100

// Layout of an event frame, little endian: length of the rest (4 bytes),
// incarnation (8), sequence number (8), operation (1), age in milliseconds (4),
// block hashes (8 each). picaFrameHeader is the size between the length and the
// block hashes.
const (
	picaFrameHeader = 8 + 8 + 1 + 4
	maxPicaFrame    = 16 << 20
)

// Operations in event frames.
const (
	picaOpStored  = 1
	picaOpRemoved = 2
	picaOpCleared = 3
	picaOpLost    = 255
)

type picaEnvelope struct {
	RequestID string          `json:"rid"`
	Index     uint64          `json:"n"`
	Boot      uint64          `json:"boot"`
	Weights   string          `json:"weights"`
	Fin       *picaUsage      `json:"fin"`
	Chunk     json.RawMessage `json:"chunk"`
}

type picaUsage struct {
	Prompt int `json:"p"`
	Cached int `json:"c"`
	Output int `json:"o"`
}

// State implements engine.Engine. Pica does not report Lag.
func (p *pica) State(ctx context.Context) (engine.State, error) {
	body, err := p.read(ctx, call{method: http.MethodGet, path: "/stats", opaque: true}, maxResponse)
	if err != nil {
		return engine.State{}, err
	}
	return decodePicaState(body)
}

// Submit implements engine.Engine.
func (p *pica) Submit(ctx context.Context, request engine.Request) (engine.Stream, error) {
	header := jsonHeader()
	header.Set("X-Pica-Request", request.ID)
	header.Set("X-Pica-Salt", request.Salt)
	header.Set("X-Pica-Weights", request.VersionDigest)
	header.Set("X-Pica-Lora", request.Adapter)
	header.Set("X-Pica-Urgency", strconv.Itoa(picaPriority(request.Priority)))
	response, err := p.send(ctx, call{method: http.MethodPost, path: request.Path, body: request.Body, header: header, headTime: request.HeadTime})
	if err != nil {
		return nil, err
	}
	if isStream(response) {
		return &stream{body: response.Body, events: newSSEReader(response.Body), decode: decodePicaChunk}, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return nil, eris.Wrapf(engine.ErrInterrupted, "read response: %v", err)
	}
	event, err := decodePicaEnvelope(data)
	if err == nil && !event.Last {
		err = eris.Wrap(ErrMalformed, "response without usage")
	}
	if err != nil {
		return nil, errors.Join(engine.ErrInterrupted, err)
	}
	event.Index = 0
	return &completeStream{event: event}, nil
}

func picaPriority(priority int) int {
	priority = min(max(priority, 0), maxPriority)
	return picaLowestPriority - priority*picaLowestPriority/maxPriority
}

func decodePicaChunk(wire sseEvent) (engine.Event, bool, error) {
	event, err := decodePicaEnvelope(wire.data)
	return event, err == nil, err
}

func decodePicaEnvelope(data []byte) (engine.Event, error) {
	var envelope picaEnvelope
	if err := json.Unmarshal(data, &envelope); err != nil {
		return engine.Event{}, malformed("envelope", err)
	}
	if len(envelope.Chunk) == 0 {
		return engine.Event{}, eris.Wrap(ErrMalformed, "envelope without a chunk")
	}
	event := engine.Event{
		RequestID:     envelope.RequestID,
		Index:         envelope.Index,
		Data:          envelope.Chunk,
		Incarnation:   envelope.Boot,
		VersionDigest: envelope.Weights,
	}
	if envelope.Fin != nil {
		event.Last = true
		event.Usage = engine.Usage{
			PromptTokens: envelope.Fin.Prompt,
			CachedTokens: envelope.Fin.Cached,
			OutputTokens: envelope.Fin.Output,
		}
	}
	return event, nil
}

// Cancel implements engine.Engine.
func (p *pica) Cancel(ctx context.Context, requestID string) error {
	_, err := p.read(ctx, call{method: http.MethodDelete, path: "/requests/" + url.PathEscape(requestID)}, maxResponse)
	return err
}

// Events implements engine.Engine.
func (p *pica) Events(ctx context.Context, after uint64) (engine.EventReader, error) {
	path := "/kv/stream?from=" + strconv.FormatUint(after, 10)
	body, err := p.open(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return nil, mapStatus(err, http.StatusRequestedRangeNotSatisfiable, engine.ErrGap)
	}
	frames := bufio.NewReaderSize(body, readBufferSize)
	return &eventReader{body: body, read: func() (engine.CacheEvent, error) {
		return readPicaFrame(frames)
	}, buffered: frames.Buffered}, nil
}

func readPicaFrame(r io.Reader) (engine.CacheEvent, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return engine.CacheEvent{}, err
	}
	length := binary.LittleEndian.Uint32(size[:])
	if length < picaFrameHeader || length > maxPicaFrame || (length-picaFrameHeader)%8 != 0 {
		return engine.CacheEvent{}, eris.Wrapf(ErrMalformed, "event frame of %d bytes", length)
	}
	// The buffer grows as data arrives, so that a false length does not allocate
	// memory.
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, r, int64(length)); err != nil {
		return engine.CacheEvent{}, io.ErrUnexpectedEOF
	}
	return decodePicaFrame(frame.Bytes())
}

func decodePicaFrame(b []byte) (engine.CacheEvent, error) {
	event := engine.CacheEvent{
		Incarnation: binary.LittleEndian.Uint64(b),
		Seq:         binary.LittleEndian.Uint64(b[8:]),
		Age:         time.Duration(binary.LittleEndian.Uint32(b[17:])) * time.Millisecond,
	}
	switch b[16] {
	case picaOpStored:
		event.Kind = engine.BlocksStored
	case picaOpRemoved:
		event.Kind = engine.BlocksRemoved
	case picaOpCleared:
		event.Kind = engine.CacheCleared
	case picaOpLost:
		return event, engine.ErrGap
	default:
		return event, eris.Wrapf(ErrMalformed, "event operation %d", b[16])
	}
	rest := b[picaFrameHeader:]
	event.Blocks = make([]engine.BlockHash, 0, len(rest)/8)
	for ; len(rest) >= 8; rest = rest[8:] {
		event.Blocks = append(event.Blocks, engine.BlockHash(binary.LittleEndian.Uint64(rest)))
	}
	return event, nil
}

// Snapshot implements engine.Engine. Pica has no such call.
func (p *pica) Snapshot(context.Context) (engine.CacheSnapshot, error) {
	return engine.CacheSnapshot{}, engine.ErrUnsupported
}

// Blocks implements engine.Engine.
func (p *pica) Blocks(request engine.Request) ([]engine.BlockHash, []int, error) {
	return blocks(blockhash.Pica, request)
}

// Order implements engine.Engine. It returns when the engine has accepted the
// order; the state report shows when a load is done.
func (p *pica) Order(ctx context.Context, order engine.Order) error {
	method, path := http.MethodPut, ""
	switch order.Kind {
	case jayv1.OrderKind_ORDER_KIND_LOAD_VERSION:
		path = "/weights/" + url.PathEscape(order.Digest)
	case jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION:
		method, path = http.MethodDelete, "/weights/"+url.PathEscape(order.Digest)
	case jayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		path = "/loras/" + url.PathEscape(order.Adapter)
	case jayv1.OrderKind_ORDER_KIND_UNLOAD_ADAPTER:
		method, path = http.MethodDelete, "/loras/"+url.PathEscape(order.Adapter)
	case jayv1.OrderKind_ORDER_KIND_SET_ROLE:
		path = "/role/" + url.PathEscape(order.Role)
	default:
		return eris.Wrapf(engine.ErrUnsupported, "order %v", order.Kind)
	}
	header := http.Header{"X-Pica-Epoch": {strconv.FormatUint(order.Fence, 10)}}
	_, err := p.read(ctx, call{method: method, path: path, header: header}, maxResponse)
	return mapStatus(err, http.StatusPreconditionFailed, engine.ErrStaleFence)
}

// ExportKV implements engine.Engine.
func (p *pica) ExportKV(ctx context.Context, blocks []engine.BlockHash) ([]byte, error) {
	body := make([]byte, 0, 8*len(blocks))
	for _, hash := range blocks {
		body = binary.LittleEndian.AppendUint64(body, uint64(hash))
	}
	return p.read(ctx, call{method: http.MethodPost, path: "/kv/read", body: body, opaque: true}, maxKV)
}

// ImportKV implements engine.Engine.
func (p *pica) ImportKV(ctx context.Context, kv []byte) error {
	_, err := p.read(ctx, call{method: http.MethodPut, path: "/kv", body: kv}, maxResponse)
	return err
}
