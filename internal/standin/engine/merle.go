package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/labstack/echo/v4"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// merle is a vendor whose API is JSON throughout: its fields are in the request's
// body, cache events are JSON lines, and the cache can be listed.
type merle struct{ *Engine }

// merleFields is the field "merle" of a request's body.
type merleFields struct {
	RequestID string `json:"request_id"`
	CacheSalt string `json:"cache_salt"`
	Priority  int    `json:"priority"`
	Digest    string `json:"digest"`
	Adapter   string `json:"adapter"`
}

type merleState struct {
	Boot     uint64       `json:"boot"`
	Running  int          `json:"running"`
	Waiting  int          `json:"waiting"`
	KV       merleKV      `json:"kv"`
	Models   []merleModel `json:"models"`
	Adapters []string     `json:"adapters"`
	Role     string       `json:"role"`
	AgeMS    int64        `json:"report_age_ms"`
}

type merleKV struct {
	Used        int `json:"used"`
	Total       int `json:"total"`
	BlockTokens int `json:"block_tokens"`
}

type merleModel struct {
	Digest string `json:"digest"`
}

type merleEvent struct {
	Boot   uint64   `json:"boot"`
	Seq    uint64   `json:"seq"`
	Kind   string   `json:"kind"`
	Blocks []string `json:"blocks,omitempty"`
	AgeMS  int64    `json:"age_ms"`
}

type merleCache struct {
	Boot   uint64   `json:"boot"`
	Seq    uint64   `json:"seq"`
	Blocks []string `json:"blocks"`
}

type merleOrder struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Digest  string `json:"digest"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

type merleBlocks struct {
	Blocks []string `json:"blocks"`
}

var merleKinds = map[engine.CacheEventKind]string{
	engine.BlocksStored:  "stored",
	engine.BlocksRemoved: "removed",
	engine.CacheCleared:  "cleared",
}

var merleOrders = map[string]jayv1.OrderKind{
	"load_version":   jayv1.OrderKind_ORDER_KIND_LOAD_VERSION,
	"unload_version": jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION,
	"load_adapter":   jayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER,
	"unload_adapter": jayv1.OrderKind_ORDER_KIND_UNLOAD_ADAPTER,
	"set_role":       jayv1.OrderKind_ORDER_KIND_SET_ROLE,
}

func (m merle) routes(router *echo.Echo) {
	router.POST("/v1/chat/completions", m.complete)
	router.POST("/v1/completions", m.complete)
	router.GET("/state", m.state)
	router.GET("/events", m.events)
	router.GET("/cache", m.snapshot)
	router.POST("/cancel", m.cancel)
	router.POST("/orders", m.order)
	router.POST("/kv/export", m.export)
	router.POST("/kv/import", m.importKV)
}

var merleStatus = []struct {
	err    error
	status int
	kind   string
}{
	{sim.ErrNotLoaded, http.StatusNotFound, "not_loaded"},
	{sim.ErrBusy, http.StatusTooManyRequests, "busy"},
	{sim.ErrStaleFence, http.StatusConflict, "stale_fence"},
	{sim.ErrGap, http.StatusGone, "events_gone"},
	{sim.ErrInvalid, http.StatusBadRequest, "invalid"},
	{sim.ErrInternal, http.StatusInternalServerError, "internal"},
	{sim.ErrCrashed, http.StatusInternalServerError, "crashed"},
}

func (m merle) fail(c echo.Context, err error) error {
	status, kind := http.StatusBadRequest, "invalid"
	for _, known := range merleStatus {
		if errors.Is(err, known.err) {
			status, kind = known.status, known.kind
		}
	}
	return c.JSON(status, map[string]map[string]string{"error": {"type": kind, "message": err.Error()}})
}

func (m merle) complete(c echo.Context) error {
	r, err := readCompletion(c)
	if err != nil {
		return m.fail(c, err)
	}
	var f framer = plain{includeUsage: r.request.StreamOptions.IncludeUsage}
	if fields := r.request.Merle; fields != nil {
		f = merleFramer{}
		r.call.ID, r.call.Salt, r.call.Priority = fields.RequestID, fields.CacheSalt, fields.Priority
		r.call.VersionDigest, r.call.Adapter = fields.Digest, fields.Adapter
	}
	answer, err := m.core.Submit(r.call)
	if err != nil {
		return m.fail(c, err)
	}
	return m.serve(c, r, answer, f)
}

// merleFramer writes the position of an event into its id line as
// boot:index:digest:request, the last two escaped as in a query.
type merleFramer struct{}

func appendMerleID(b []byte, at position) []byte {
	b = strconv.AppendUint(b, at.incarnation, 10)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(at.index), 10)
	b = append(b, ':')
	b = append(b, url.QueryEscape(at.digest)...)
	b = append(b, ':')
	return append(b, url.QueryEscape(at.requestID)...)
}

func (merleFramer) chunk(b []byte, at position, json []byte) []byte {
	b = append(b, "id: "...)
	b = appendMerleID(b, at)
	b = append(b, '\n')
	return appendData(b, json)
}

func (f merleFramer) end(b []byte, at position, _ engine.Usage, json []byte) []byte {
	b = append(b, "event: usage\n"...)
	b = f.chunk(b, at, json)
	return append(b, "data: [DONE]\n\n"...)
}

func (merleFramer) sendComplete(c echo.Context, answer *completeAnswer) error {
	c.Response().Header().Set("X-Merle-Id", string(appendMerleID(nil, answer.at)))
	return c.JSONBlob(http.StatusOK, answer.json)
}

func (m merle) state(c echo.Context) error {
	state := m.core.State()
	report := merleState{
		Boot:     state.Incarnation,
		Running:  state.Running,
		Waiting:  state.Waiting,
		KV:       merleKV{Used: state.CachedBlocks, Total: state.CapacityBlocks, BlockTokens: state.BlockTokens},
		Models:   []merleModel{},
		Adapters: state.Adapters,
		Role:     state.Role,
		AgeMS:    state.Lag.Milliseconds(),
	}
	for _, digest := range state.Versions {
		report.Models = append(report.Models, merleModel{Digest: digest})
	}
	return c.JSON(http.StatusOK, report)
}

func hexBlocks(blocks []engine.BlockHash) []string {
	list := make([]string, len(blocks))
	for i, hash := range blocks {
		list[i] = strconv.FormatUint(uint64(hash), 16)
	}
	return list
}

func (m merle) events(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return m.fail(c, sim.ErrInvalid)
	}
	subscription, err := m.core.Subscribe(after)
	if err != nil {
		return m.fail(c, err)
	}
	defer subscription.Close()
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "application/x-ndjson")
	response.WriteHeader(http.StatusOK)
	response.Flush()
	encoder := json.NewEncoder(response)
	for {
		events, err := subscription.Next(c.Request().Context())
		if errors.Is(err, sim.ErrGap) {
			return encoder.Encode(merleEvent{Kind: "lost"})
		}
		if err != nil {
			return nil
		}
		for _, event := range events {
			line := merleEvent{
				Boot:   event.Incarnation,
				Seq:    event.Seq,
				Kind:   merleKinds[event.Kind],
				Blocks: hexBlocks(event.Blocks),
				AgeMS:  event.Age.Milliseconds(),
			}
			if err := encoder.Encode(line); err != nil {
				return nil
			}
		}
		response.Flush()
	}
}

func (m merle) snapshot(c echo.Context) error {
	snapshot := m.core.Snapshot()
	return c.JSON(http.StatusOK, merleCache{
		Boot:   snapshot.Incarnation,
		Seq:    snapshot.Seq,
		Blocks: hexBlocks(snapshot.Blocks),
	})
}

func (m merle) cancel(c echo.Context) error {
	var fields merleFields
	if err := json.NewDecoder(c.Request().Body).Decode(&fields); err != nil {
		return m.fail(c, sim.ErrInvalid)
	}
	m.core.Cancel(fields.RequestID)
	return c.NoContent(http.StatusNoContent)
}

func (m merle) order(c echo.Context) error {
	var order merleOrder
	if err := json.NewDecoder(c.Request().Body).Decode(&order); err != nil {
		return m.fail(c, sim.ErrInvalid)
	}
	err := m.core.Order(engine.Order{
		Fence:   order.Fence,
		Kind:    merleOrders[order.Kind],
		Model:   order.Model,
		Digest:  order.Digest,
		Adapter: order.Adapter,
		Role:    order.Role,
	})
	if err != nil {
		return m.fail(c, err)
	}
	return c.NoContent(http.StatusAccepted)
}

func (m merle) export(c echo.Context) error {
	var request merleBlocks
	if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxBody)).Decode(&request); err != nil {
		return m.fail(c, sim.ErrInvalid)
	}
	blocks := make([]engine.BlockHash, 0, len(request.Blocks))
	for _, text := range request.Blocks {
		hash, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return m.fail(c, sim.ErrInvalid)
		}
		blocks = append(blocks, engine.BlockHash(hash))
	}
	if err := m.awaitTransfer(c.Request().Context(), len(blocks)); err != nil {
		return nil
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, m.core.Export(blocks))
}

func (m merle) importKV(c echo.Context) error {
	if err := m.importBody(c); err != nil {
		return m.fail(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

// importBody imports the KV cache in a request's body.
func (e *Engine) importBody(c echo.Context) error {
	kv, err := io.ReadAll(io.LimitReader(c.Request().Body, maxKV))
	if err != nil {
		return err
	}
	n, err := e.core.Import(kv)
	if err != nil {
		return err
	}
	return e.awaitTransfer(c.Request().Context(), n)
}

// maxKV bounds the body of an import, in bytes.
const maxKV = 1 << 30
