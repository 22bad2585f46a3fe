package engine

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/standin"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// pica is a vendor that takes its fields in headers, reports its state as lines
// of text and cache events as binary frames, and cannot list its cache.
type pica struct{ *Engine }

// Headers of pica's API.
const (
	picaRequest = "X-Pica-Request"
	picaSalt    = "X-Pica-Salt"
	picaWeights = "X-Pica-Weights"
	picaLora    = "X-Pica-Lora"
	// picaUrgency ranges from 0, the highest priority, to 9.
	picaUrgency = "X-Pica-Urgency"
	picaEpoch   = "X-Pica-Epoch"
)

// picaLeastUrgent is the value of the urgency header for the lowest priority.
const picaLeastUrgent = 9

// Operations in pica's event frames.
const (
	picaOpStored  = 1
	picaOpRemoved = 2
	picaOpCleared = 3
	picaOpLost    = 255
)

var picaOps = map[engine.CacheEventKind]byte{
	engine.BlocksStored:  picaOpStored,
	engine.BlocksRemoved: picaOpRemoved,
	engine.CacheCleared:  picaOpCleared,
}

func (p pica) routes(router *echo.Echo) {
	router.POST("/v1/chat/completions", p.complete)
	router.POST("/v1/completions", p.complete)
	router.DELETE("/requests/:id", p.cancel)
	router.GET("/stats", p.state)
	router.GET("/kv/stream", p.events)
	router.PUT("/weights/:digest", p.order(jayv1.OrderKind_ORDER_KIND_LOAD_VERSION))
	router.DELETE("/weights/:digest", p.order(jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION))
	router.PUT("/loras/:adapter", p.order(jayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER))
	router.DELETE("/loras/:adapter", p.order(jayv1.OrderKind_ORDER_KIND_UNLOAD_ADAPTER))
	router.PUT("/role/:role", p.order(jayv1.OrderKind_ORDER_KIND_SET_ROLE))
	router.POST("/kv/read", p.export)
	router.PUT("/kv", p.importKV)
}

var picaStatus = []struct {
	err    error
	status int
}{
	{sim.ErrNotLoaded, http.StatusConflict},
	{sim.ErrBusy, http.StatusServiceUnavailable},
	{sim.ErrStaleFence, http.StatusPreconditionFailed},
	{sim.ErrGap, http.StatusRequestedRangeNotSatisfiable},
	{sim.ErrInternal, http.StatusInternalServerError},
	{sim.ErrCrashed, http.StatusInternalServerError},
}

func (p pica) fail(c echo.Context, err error) error {
	status := http.StatusBadRequest
	for _, known := range picaStatus {
		if errors.Is(err, known.err) {
			status = known.status
		}
	}
	return c.String(status, err.Error())
}

func (p pica) complete(c echo.Context) error {
	r, err := readCompletion(c)
	if err != nil {
		return p.fail(c, err)
	}
	var f framer = plain{includeUsage: r.request.StreamOptions.IncludeUsage}
	header := c.Request().Header
	if id := header.Get(picaRequest); id != "" {
		f = picaFramer{}
		r.call.ID, r.call.Salt = id, header.Get(picaSalt)
		r.call.VersionDigest, r.call.Adapter = header.Get(picaWeights), header.Get(picaLora)
	}
	urgency, err := strconv.Atoi(header.Get(picaUrgency))
	if err != nil {
		urgency = picaLeastUrgent
	}
	r.call.Priority = picaLeastUrgent - urgency
	answer, err := p.core.Submit(r.call)
	if err != nil {
		return p.fail(c, err)
	}
	return p.serve(c, r, answer, f)
}

// picaFramer wraps each chunk in an envelope that holds its position.
type picaFramer struct{}

func (picaFramer) envelope(b []byte, at position, usage *engine.Usage, json []byte) []byte {
	b = append(b, `{"rid":"`...)
	b = appendEscaped(b, at.requestID)
	b = append(b, `","n":`...)
	b = strconv.AppendInt(b, int64(at.index), 10)
	b = append(b, `,"boot":`...)
	b = strconv.AppendUint(b, at.incarnation, 10)
	b = append(b, `,"weights":"`...)
	b = appendEscaped(b, at.digest)
	b = append(b, '"')
	if usage != nil {
		b = fmt.Appendf(b, `,"fin":{"p":%d,"c":%d,"o":%d}`, usage.PromptTokens, usage.CachedTokens, usage.OutputTokens)
	}
	b = append(b, `,"chunk":`...)
	b = append(b, json...)
	return append(b, '}')
}

func (f picaFramer) chunk(b []byte, at position, json []byte) []byte {
	b = append(b, "data:"...)
	b = f.envelope(b, at, nil, json)
	return append(b, "\n\n"...)
}

func (f picaFramer) end(b []byte, at position, usage engine.Usage, json []byte) []byte {
	b = append(b, "data:"...)
	b = f.envelope(b, at, &usage, json)
	return append(b, "\n\n"...)
}

func (f picaFramer) sendComplete(c echo.Context, answer *completeAnswer) error {
	return c.JSONBlob(http.StatusOK, f.envelope(nil, answer.at, &answer.usage, answer.json))
}

func (p pica) cancel(c echo.Context) error {
	p.core.Cancel(standin.Param(c, "id"))
	return c.NoContent(http.StatusNoContent)
}

func (p pica) state(c echo.Context) error {
	state := p.core.State()
	var b strings.Builder
	fmt.Fprintf(&b, "pica_boot %d\n", state.Incarnation)
	fmt.Fprintf(&b, "pica_requests{state=\"active\"} %d\n", state.Running)
	fmt.Fprintf(&b, "pica_requests{state=\"pending\"} %d\n", state.Waiting)
	usage := float64(state.CachedBlocks) / float64(state.CapacityBlocks)
	fmt.Fprintf(&b, "pica_kv_usage_ratio %g\n", usage)
	fmt.Fprintf(&b, "pica_kv_blocks %d\n", state.CapacityBlocks)
	fmt.Fprintf(&b, "pica_kv_block_tokens %d\n", state.BlockTokens)
	for _, digest := range state.Versions {
		fmt.Fprintf(&b, "pica_weights{digest=%q} 1\n", digest)
	}
	for _, adapter := range state.Adapters {
		fmt.Fprintf(&b, "pica_lora{name=%q} 1\n", adapter)
	}
	fmt.Fprintf(&b, "pica_role{name=%q} 1\n", state.Role)
	return c.String(http.StatusOK, b.String())
}

// events streams frames: length of the rest (4 bytes), incarnation (8), sequence
// number (8), operation (1), age in milliseconds (4), block hashes (8 each); all
// little endian.
func (p pica) events(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil {
		return p.fail(c, sim.ErrInvalid)
	}
	subscription, err := p.core.Subscribe(after)
	if err != nil {
		return p.fail(c, err)
	}
	defer subscription.Close()
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, echo.MIMEOctetStream)
	response.WriteHeader(http.StatusOK)
	response.Flush()
	var buffer []byte
	for {
		events, err := subscription.Next(c.Request().Context())
		if errors.Is(err, sim.ErrGap) {
			_, err := response.Write(appendPicaFrame(nil, engine.CacheEvent{}, picaOpLost))
			return err
		}
		if err != nil {
			return nil
		}
		buffer = buffer[:0]
		for _, event := range events {
			buffer = appendPicaFrame(buffer, event, picaOps[event.Kind])
		}
		if _, err := response.Write(buffer); err != nil {
			return nil
		}
		response.Flush()
	}
}

// picaFrameHead is the size in bytes of a frame without its length and its hashes.
const picaFrameHead = 8 + 8 + 1 + 4

func appendPicaFrame(b []byte, event engine.CacheEvent, op byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(picaFrameHead+8*len(event.Blocks)))
	b = binary.LittleEndian.AppendUint64(b, event.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, event.Seq)
	b = append(b, op)
	b = binary.LittleEndian.AppendUint32(b, uint32(event.Age.Milliseconds()))
	for _, hash := range event.Blocks {
		b = binary.LittleEndian.AppendUint64(b, uint64(hash))
	}
	return b
}

func (p pica) order(kind jayv1.OrderKind) echo.HandlerFunc {
	return func(c echo.Context) error {
		fence, err := strconv.ParseUint(c.Request().Header.Get(picaEpoch), 10, 64)
		if err != nil {
			return p.fail(c, sim.ErrInvalid)
		}
		err = p.core.Order(engine.Order{
			Fence:   fence,
			Kind:    kind,
			Digest:  standin.Param(c, "digest"),
			Adapter: standin.Param(c, "adapter"),
			Role:    standin.Param(c, "role"),
		})
		if err != nil {
			return p.fail(c, err)
		}
		return c.NoContent(http.StatusAccepted)
	}
}

func (p pica) export(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody))
	if err != nil || len(body)%8 != 0 {
		return p.fail(c, sim.ErrInvalid)
	}
	blocks := make([]engine.BlockHash, 0, len(body)/8)
	for ; len(body) > 0; body = body[8:] {
		blocks = append(blocks, engine.BlockHash(binary.LittleEndian.Uint64(body)))
	}
	if err := p.awaitTransfer(c.Request().Context(), len(blocks)); err != nil {
		return nil
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, p.core.Export(blocks))
}

func (p pica) importKV(c echo.Context) error {
	if err := p.importBody(c); err != nil {
		return p.fail(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}
