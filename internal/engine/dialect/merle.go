package dialect

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/engine/blockhash"
)

// merle is the client of Merle's engines. All its messages are JSON. Merle's own
// fields are in the member "merle" of a request body; the id of a server-sent
// event holds the fields that parseMerleID reads.
type merle struct{ *client }

type merleFields struct {
	RequestID string `json:"request_id"`
	CacheSalt string `json:"cache_salt"`
	Priority  int    `json:"priority"`
	Digest    string `json:"digest"`
	Adapter   string `json:"adapter"`
}

type merleState struct {
	Boot    uint64 `json:"boot"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	KV      struct {
		Used        int `json:"used"`
		Total       int `json:"total"`
		BlockTokens int `json:"block_tokens"`
	} `json:"kv"`
	Models []struct {
		Digest string `json:"digest"`
	} `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	AgeMS    int64    `json:"report_age_ms"`
}

type merleEvent struct {
	Boot   uint64   `json:"boot"`
	Seq    uint64   `json:"seq"`
	Kind   string   `json:"kind"`
	Blocks []string `json:"blocks"`
	AgeMS  int64    `json:"age_ms"`
}

type merleOrder struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

type merleBlocks struct {
	Blocks []string `json:"blocks"`
}

type usageBody struct {
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

var merleOrders = map[jayv1.OrderKind]string{
	jayv1.OrderKind_ORDER_KIND_LOAD_VERSION:   "load_version",
	jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION: "unload_version",
	jayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER:   "load_adapter",
	jayv1.OrderKind_ORDER_KIND_UNLOAD_ADAPTER: "unload_adapter",
	jayv1.OrderKind_ORDER_KIND_SET_ROLE:       "set_role",
}

// State implements engine.Engine.
func (m *merle) State(ctx context.Context) (engine.State, error) {
	body, err := m.read(ctx, call{method: http.MethodGet, path: "/state"}, maxResponse)
	if err != nil {
		return engine.State{}, err
	}
	return decodeMerleState(body)
}

func decodeMerleState(body []byte) (engine.State, error) {
	var report merleState
	if err := json.Unmarshal(body, &report); err != nil {
		return engine.State{}, malformed("state", err)
	}
	state := engine.State{
		Incarnation:    report.Boot,
		Running:        report.Running,
		Waiting:        report.Waiting,
		CachedBlocks:   report.KV.Used,
		CapacityBlocks: report.KV.Total,
		BlockTokens:    report.KV.BlockTokens,
		Adapters:       report.Adapters,
		Role:           report.Role,
		Lag:            time.Duration(report.AgeMS) * time.Millisecond,
	}
	for _, model := range report.Models {
		state.Versions = append(state.Versions, model.Digest)
	}
	return state, nil
}

// Submit implements engine.Engine.
func (m *merle) Submit(ctx context.Context, request engine.Request) (engine.Stream, error) {
	body, err := withMerleFields(request)
	if err != nil {
		return nil, err
	}
	submit := call{method: http.MethodPost, path: request.Path, body: body, header: jsonHeader(), headTime: request.HeadTime}
	response, err := m.send(ctx, submit)
	if err != nil {
		return nil, err
	}
	if isStream(response) {
		return &stream{body: response.Body, events: newSSEReader(response.Body), decode: decodeMerleChunk}, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return nil, eris.Wrapf(engine.ErrInterrupted, "read response: %v", err)
	}
	event, err := decodeMerleResponse(response.Header.Get("X-Merle-Id"), data)
	if err != nil {
		return nil, errors.Join(engine.ErrInterrupted, err)
	}
	return &completeStream{event: event}, nil
}

// withMerleFields appends the member "merle" to a JSON object. It is the last
// member and sets every field, because the engine's decoder uses the last of
// several members with a name: a caller can't inject a member of that name to
// read another workspace's cache.
func withMerleFields(request engine.Request) ([]byte, error) {
	body := bytes.TrimSpace(request.Body)
	if len(body) < 2 || body[0] != '{' || body[len(body)-1] != '}' {
		return nil, eris.Wrap(engine.ErrRefused, "request body is not a JSON object")
	}
	fields, err := json.Marshal(merleFields{
		RequestID: request.ID,
		CacheSalt: request.Salt,
		Priority:  request.Priority,
		Digest:    request.VersionDigest,
		Adapter:   request.Adapter,
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode merle fields")
	}
	inside := bytes.TrimSpace(body[1 : len(body)-1])
	joined := make([]byte, 0, len(body)+len(fields)+16)
	joined = append(joined, '{')
	if len(inside) > 0 {
		joined = append(joined, inside...)
		joined = append(joined, ',')
	}
	joined = append(joined, `"merle":`...)
	joined = append(joined, fields...)
	return append(joined, '}'), nil
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}

func decodeMerleChunk(wire sseEvent) (engine.Event, bool, error) {
	if string(wire.data) == "[DONE]" {
		return engine.Event{}, false, nil
	}
	event, err := parseMerleID(wire.id)
	if err != nil {
		return event, false, err
	}
	event.Data = wire.data
	if wire.kind != "usage" {
		return event, true, nil
	}
	event.Last = true
	event.Usage, err = decodeUsage(wire.data)
	return event, true, err
}

func decodeMerleResponse(id string, data []byte) (engine.Event, error) {
	event, err := parseMerleID(id)
	if err != nil {
		return event, err
	}
	event.Data, event.Last, event.Index = data, true, 0
	event.Usage, err = decodeUsage(data)
	return event, err
}

// parseMerleID parses an event id of the form boot:index:digest:request, in which
// digest and request are query-escaped.
func parseMerleID(id string) (engine.Event, error) {
	fields := strings.Split(id, ":")
	if len(fields) != 4 {
		return engine.Event{}, eris.Wrap(ErrMalformed, "event id does not have four fields")
	}
	boot, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		return engine.Event{}, malformed("event id", err)
	}
	index, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return engine.Event{}, malformed("event id", err)
	}
	digest, err := url.QueryUnescape(fields[2])
	if err != nil {
		return engine.Event{}, malformed("event id", err)
	}
	request, err := url.QueryUnescape(fields[3])
	if err != nil {
		return engine.Event{}, malformed("event id", err)
	}
	return engine.Event{RequestID: request, Index: index, Incarnation: boot, VersionDigest: digest}, nil
}

func decodeUsage(data []byte) (engine.Usage, error) {
	var body usageBody
	if err := json.Unmarshal(data, &body); err != nil {
		return engine.Usage{}, malformed("usage", err)
	}
	return engine.Usage{
		PromptTokens: body.Usage.PromptTokens,
		CachedTokens: body.Usage.Details.CachedTokens,
		OutputTokens: body.Usage.CompletionTokens,
	}, nil
}

// Cancel implements engine.Engine.
func (m *merle) Cancel(ctx context.Context, requestID string) error {
	return m.post(ctx, "/cancel", merleFields{RequestID: requestID})
}

func (m *merle) post(ctx context.Context, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, path)
	}
	_, err = m.read(ctx, call{method: http.MethodPost, path: path, body: body, header: jsonHeader()}, maxResponse)
	return err
}

// Events implements engine.Engine.
func (m *merle) Events(ctx context.Context, after uint64) (engine.EventReader, error) {
	path := "/events?after=" + strconv.FormatUint(after, 10)
	body, err := m.open(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return nil, mapStatus(err, http.StatusGone, engine.ErrGap)
	}
	lines := bufio.NewReaderSize(body, readBufferSize)
	return &eventReader{body: body, read: func() (engine.CacheEvent, error) {
		line, err := readLine(lines)
		if err != nil {
			return engine.CacheEvent{}, err
		}
		return decodeMerleEvent(line)
	}, buffered: lines.Buffered}, nil
}

func decodeMerleEvent(line []byte) (engine.CacheEvent, error) {
	var wire merleEvent
	if err := json.Unmarshal(line, &wire); err != nil {
		return engine.CacheEvent{}, malformed("cache event", err)
	}
	event := engine.CacheEvent{
		Incarnation: wire.Boot,
		Seq:         wire.Seq,
		Age:         time.Duration(wire.AgeMS) * time.Millisecond,
	}
	switch wire.Kind {
	case "stored":
		event.Kind = engine.BlocksStored
	case "removed":
		event.Kind = engine.BlocksRemoved
	case "cleared":
		event.Kind = engine.CacheCleared
	case "lost":
		return event, engine.ErrGap
	default:
		return event, eris.Wrapf(ErrMalformed, "cache event of kind %q", wire.Kind)
	}
	blocks, err := parseHexBlocks(wire.Blocks)
	event.Blocks = blocks
	return event, err
}

func parseHexBlocks(texts []string) ([]engine.BlockHash, error) {
	blocks := make([]engine.BlockHash, len(texts))
	for i, text := range texts {
		hash, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return nil, malformed("block hash", err)
		}
		blocks[i] = engine.BlockHash(hash)
	}
	return blocks, nil
}

// Snapshot implements engine.Engine.
func (m *merle) Snapshot(ctx context.Context) (engine.CacheSnapshot, error) {
	body, err := m.read(ctx, call{method: http.MethodGet, path: "/cache"}, maxResponse)
	if err != nil {
		return engine.CacheSnapshot{}, err
	}
	return decodeMerleSnapshot(body)
}

func decodeMerleSnapshot(body []byte) (engine.CacheSnapshot, error) {
	var wire merleEvent
	if err := json.Unmarshal(body, &wire); err != nil {
		return engine.CacheSnapshot{}, malformed("cache snapshot", err)
	}
	blocks, err := parseHexBlocks(wire.Blocks)
	return engine.CacheSnapshot{Incarnation: wire.Boot, Seq: wire.Seq, Blocks: blocks}, err
}

// Blocks implements engine.Engine.
func (m *merle) Blocks(request engine.Request) ([]engine.BlockHash, []int, error) {
	return blocks(blockhash.Merle, request)
}

// Order implements engine.Engine. It returns when the engine has accepted the
// order; the state report shows when a load is done.
func (m *merle) Order(ctx context.Context, order engine.Order) error {
	err := m.post(ctx, "/orders", merleOrder{
		Fence:   order.Fence,
		Kind:    merleOrders[order.Kind],
		Model:   order.Model,
		Digest:  order.Digest,
		Adapter: order.Adapter,
		Role:    order.Role,
	})
	return mapStatus(err, http.StatusConflict, engine.ErrStaleFence)
}

// ExportKV implements engine.Engine.
func (m *merle) ExportKV(ctx context.Context, blocks []engine.BlockHash) ([]byte, error) {
	texts := make([]string, len(blocks))
	for i, hash := range blocks {
		texts[i] = strconv.FormatUint(uint64(hash), 16)
	}
	body, err := json.Marshal(merleBlocks{Blocks: texts})
	if err != nil {
		return nil, eris.Wrap(err, "encode blocks to export")
	}
	return m.read(ctx, call{method: http.MethodPost, path: "/kv/export", body: body, header: jsonHeader(), opaque: true}, maxKV)
}

// ImportKV implements engine.Engine.
func (m *merle) ImportKV(ctx context.Context, kv []byte) error {
	_, err := m.read(ctx, call{method: http.MethodPost, path: "/kv/import", body: kv}, maxResponse)
	return err
}
