package agent

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/ordergate"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/transport"
)

const (
	// watermarkKeyPrefix is followed by the backend server's name in the key of
	// the row that holds its watermark.
	watermarkKeyPrefix = "fence/"
	// orderTimeout bounds one order's call of the engine; after it the outcome is
	// indeterminate.
	orderTimeout = 60 * time.Second
	// watermarkTimeout bounds one read or write of the watermark.
	watermarkTimeout = 5 * time.Second
	// orderCheckInterval is how often waiting orders are checked.
	orderCheckInterval = 200 * time.Millisecond
)

// errWrongServer means that an order is for another backend server.
var errWrongServer = errors.New("order is not for this backend server")

// orderHandler does the I/O for the order gate.
type orderHandler struct {
	agent *Agent
	table platform.Table // nil without a platform

	mu      sync.Mutex
	gate    *ordergate.Gate
	nextID  uint64
	pending map[uint64]*pendingOrder
}

type pendingOrder struct {
	order *jayv1.Order
	done  chan error
}

func newOrderHandler(a *Agent) *orderHandler {
	h := &orderHandler{agent: a, pending: map[uint64]*pendingOrder{}, gate: ordergate.NewChecked(ordergate.DefaultSettleTime)}
	if a.settings.Platform != "" {
		h.table = platform.NewClient(a.settings.Platform, platform.ClientOptions{})
		h.gate = ordergate.New(ordergate.DefaultSettleTime)
	}
	return h
}

// watch periodically reports the engine's incarnation and the current time to
// the gate.
func (h *orderHandler) watch(ctx context.Context) {
	ticker := time.NewTicker(orderCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		incarnation := h.agent.model.cache.incarnation()
		h.update(func(now time.Time) []ordergate.Action { return h.gate.ObserveIncarnation(now, incarnation) })
	}
}

// update runs a step of the gate and then, outside the lock, the actions that it
// returned.
func (h *orderHandler) update(step func(now time.Time) []ordergate.Action) {
	h.mu.Lock()
	actions := step(time.Now())
	h.mu.Unlock()
	for _, action := range actions {
		h.perform(action)
	}
}

func (h *orderHandler) perform(action ordergate.Action) {
	switch a := action.(type) {
	case ordergate.Reply:
		h.mu.Lock()
		p := h.pending[a.ID]
		delete(h.pending, a.ID)
		h.mu.Unlock()
		if p != nil {
			p.done <- a.Err
		}
	case ordergate.ReadWatermark:
		h.agent.goTracked(h.readWatermark)
	case ordergate.WriteWatermark:
		h.agent.goTracked(func() { h.writeWatermark(a) })
	case ordergate.Forward:
		h.agent.goTracked(func() { h.forward(a.ID) })
	}
}

func (h *orderHandler) watermarkKey() string { return watermarkKeyPrefix + h.agent.settings.Name }

func (h *orderHandler) readWatermark() {
	ctx, cancel := context.WithTimeout(h.agent.ctx, watermarkTimeout)
	defer cancel()
	rows, err := h.table.Get(ctx, h.watermarkKey())
	if err != nil {
		klog.ErrorS(err, "watermark of orders could not be read", "backendServer", h.agent.settings.Name)
		h.update(func(time.Time) []ordergate.Action { return h.gate.WatermarkFailed() })
		return
	}
	var row platform.Row
	if len(rows) > 0 {
		row = rows[0]
	}
	h.applyWatermark(row)
}

func (h *orderHandler) applyWatermark(row platform.Row) {
	var watermark ordergate.Watermark
	if len(row.Value) > 0 {
		if err := json.Unmarshal(row.Value, &watermark); err != nil {
			klog.ErrorS(err, "watermark of orders could not be decoded", "row", row.Key)
			h.update(func(time.Time) []ordergate.Action { return h.gate.WatermarkFailed() })
			return
		}
	}
	h.update(func(now time.Time) []ordergate.Action { return h.gate.WatermarkRead(now, watermark, row.Version) })
}

// writeWatermark raises the watermark before the order is forwarded. A write
// whose response was lost counts as failed: the order is refused, and the row is
// read again before the next one.
func (h *orderHandler) writeWatermark(action ordergate.WriteWatermark) {
	value, err := json.Marshal(action.Watermark)
	if err != nil {
		h.update(func(time.Time) []ordergate.Action { return h.gate.WatermarkFailed() })
		return
	}
	ctx, cancel := context.WithTimeout(h.agent.ctx, watermarkTimeout)
	defer cancel()
	result, err := h.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: h.watermarkKey(), Version: action.Version}},
		Puts:       []platform.Put{{Key: h.watermarkKey(), Value: value}},
	})
	switch {
	case err != nil:
		klog.ErrorS(err, "watermark of orders could not be written", "backendServer", h.agent.settings.Name)
		h.update(func(time.Time) []ordergate.Action { return h.gate.WatermarkFailed() })
	case result.Committed:
		h.update(func(now time.Time) []ordergate.Action { return h.gate.WatermarkWritten(now, result.Commit) })
	case len(result.Failed) > 0:
		h.applyWatermark(result.Failed[0])
	default:
		h.update(func(time.Time) []ordergate.Action { return h.gate.WatermarkFailed() })
	}
}

// forward sends an order to the engine.
func (h *orderHandler) forward(id uint64) {
	h.mu.Lock()
	order := h.pending[id].order
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(h.agent.ctx, orderTimeout)
	defer cancel()
	err := h.agent.model.engine.Order(ctx, engine.Order{
		Fence: order.GetFence(), Kind: order.GetKind(), Model: order.GetModel(), Digest: order.GetDigest(),
		Adapter: order.GetAdapter(), Role: order.GetRole(),
	})
	refused := errors.Is(err, engine.ErrNotReached) || errors.Is(err, engine.ErrRefused) ||
		errors.Is(err, engine.ErrStaleFence) || errors.Is(err, engine.ErrUnsupported)
	if err != nil && !refused {
		err = eris.Wrapf(ordergate.ErrIndeterminate, "%v", err)
	}
	klog.InfoS("order forwarded", "backendServer", h.agent.settings.Name, "kind", order.GetKind().String(),
		"fence", order.GetFence(), "seq", order.GetSeq(), "error", err)
	h.update(func(now time.Time) []ordergate.Action { return h.gate.Forwarded(now, err, refused) })
}

// submit proposes an order to the gate and waits for its result.
func (h *orderHandler) submit(ctx context.Context, order *jayv1.Order) error {
	server, declared := h.agent.catalog.Current().BackendServer(h.agent.settings.Name)
	switch {
	case order.GetBackendServer() != h.agent.settings.Name || h.agent.model == nil:
		return errWrongServer
	case h.table == nil && (!declared || !server.GetChecksFencing()):
		return ordergate.ErrNoWatermark
	}
	p := &pendingOrder{order: order, done: make(chan error, 1)}
	h.update(func(now time.Time) []ordergate.Action {
		h.nextID++
		h.pending[h.nextID] = p
		return h.gate.Propose(now, h.nextID, ordergate.Number{Fence: order.GetFence(), Seq: order.GetSeq()})
	})
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ordergate.ErrIndeterminate
	}
}

// serveOrder replies to an order with its outcome and the highest fence seen.
func (a *Agent) serveOrder(ctx context.Context, order *jayv1.Order, s *transport.Stream) {
	err := a.orders.submit(ctx, order)
	if err == nil && a.model != nil {
		a.model.readState(a.ctx) // The state in the reply includes the order's effect.
	}
	a.orders.mu.Lock()
	fence := a.orders.gate.Highest().Fence
	a.orders.mu.Unlock()
	reply := &jayv1.OrderReply{Done: err == nil, FenceSeen: fence, State: a.state()}
	if err != nil {
		reply.Error = err.Error()
	}
	_ = s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_OrderReply{OrderReply: reply}})
}
