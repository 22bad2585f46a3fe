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
	// fencePrefix is followed by the backend server's name in the key of its floor.
	fencePrefix = "fence/"
	// orderTimeout bounds one order's call of the engine; then its outcome is unknown.
	orderTimeout = 60 * time.Second
	// floorTimeout bounds one call of the table.
	floorTimeout = 5 * time.Second
	// orderTick is how often orders that wait for a slow engine are looked at.
	orderTick = 200 * time.Millisecond
)

// errOrderInvalid means that an order does not concern this backend server.
var errOrderInvalid = errors.New("order is not for this backend server")

// orderDesk does the I/O around the gate.
type orderDesk struct {
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

func newOrderDesk(a *Agent) *orderDesk {
	d := &orderDesk{agent: a, pending: map[uint64]*pendingOrder{}, gate: ordergate.NewChecked(ordergate.DefaultSettleTime)}
	if a.settings.Platform != "" {
		d.table = platform.NewClient(a.settings.Platform, platform.ClientOptions{})
		d.gate = ordergate.New(ordergate.DefaultSettleTime)
	}
	return d
}

// watch tells the gate of the engine's boots and of time passing.
func (d *orderDesk) watch(ctx context.Context) {
	ticker := time.NewTicker(orderTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		incarnation := d.agent.model.cache.incarnation()
		d.with(func(now time.Time) []ordergate.Action { return d.gate.ObserveIncarnation(now, incarnation) })
	}
}

// with runs a step of the gate and then, outside the lock, what it asked for.
func (d *orderDesk) with(step func(now time.Time) []ordergate.Action) {
	d.mu.Lock()
	actions := step(time.Now())
	d.mu.Unlock()
	for _, action := range actions {
		d.perform(action)
	}
}

func (d *orderDesk) perform(action ordergate.Action) {
	switch a := action.(type) {
	case ordergate.Reply:
		d.mu.Lock()
		p := d.pending[a.ID]
		delete(d.pending, a.ID)
		d.mu.Unlock()
		if p != nil {
			p.done <- a.Err
		}
	case ordergate.ReadWatermark:
		d.agent.goRun(d.readFloor)
	case ordergate.WriteWatermark:
		d.agent.goRun(func() { d.writeFloor(a) })
	case ordergate.Forward:
		d.agent.goRun(func() { d.pass(a.ID) })
	}
}

func (d *orderDesk) key() string { return fencePrefix + d.agent.settings.Name }

func (d *orderDesk) readFloor() {
	ctx, cancel := context.WithTimeout(d.agent.ctx, floorTimeout)
	defer cancel()
	rows, err := d.table.Get(ctx, d.key())
	if err != nil {
		klog.ErrorS(err, "floor of orders not read", "backendServer", d.agent.settings.Name)
		d.with(func(time.Time) []ordergate.Action { return d.gate.WatermarkFailed() })
		return
	}
	var row platform.Row
	if len(rows) > 0 {
		row = rows[0]
	}
	d.tookFloor(row)
}

func (d *orderDesk) tookFloor(row platform.Row) {
	var floor ordergate.Watermark
	if len(row.Value) > 0 {
		if err := json.Unmarshal(row.Value, &floor); err != nil {
			klog.ErrorS(err, "floor of orders not understood", "row", row.Key)
			d.with(func(time.Time) []ordergate.Action { return d.gate.WatermarkFailed() })
			return
		}
	}
	d.with(func(now time.Time) []ordergate.Action { return d.gate.WatermarkRead(now, floor, row.Version) })
}

// writeFloor raises the floor before the order is passed. A write whose answer
// was lost counts as failed: the order is refused, and the next one reads the
// row first.
func (d *orderDesk) writeFloor(action ordergate.WriteWatermark) {
	value, err := json.Marshal(action.Watermark)
	if err != nil {
		d.with(func(time.Time) []ordergate.Action { return d.gate.WatermarkFailed() })
		return
	}
	ctx, cancel := context.WithTimeout(d.agent.ctx, floorTimeout)
	defer cancel()
	result, err := d.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: d.key(), Version: action.Version}},
		Puts:       []platform.Put{{Key: d.key(), Value: value}},
	})
	switch {
	case err != nil:
		klog.ErrorS(err, "floor of orders not written", "backendServer", d.agent.settings.Name)
		d.with(func(time.Time) []ordergate.Action { return d.gate.WatermarkFailed() })
	case result.Committed:
		d.with(func(now time.Time) []ordergate.Action { return d.gate.WatermarkWritten(now, result.Commit) })
	case len(result.Failed) > 0:
		d.tookFloor(result.Failed[0])
	default:
		d.with(func(time.Time) []ordergate.Action { return d.gate.WatermarkFailed() })
	}
}

// pass hands an order to the engine.
func (d *orderDesk) pass(id uint64) {
	d.mu.Lock()
	order := d.pending[id].order
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(d.agent.ctx, orderTimeout)
	defer cancel()
	err := d.agent.model.engine.Order(ctx, engine.Order{
		Fence: order.GetFence(), Kind: order.GetKind(), Model: order.GetModel(), Digest: order.GetDigest(),
		Adapter: order.GetAdapter(), Role: order.GetRole(),
	})
	refused := errors.Is(err, engine.ErrNotReached) || errors.Is(err, engine.ErrRefused) ||
		errors.Is(err, engine.ErrStaleFence) || errors.Is(err, engine.ErrUnsupported)
	if err != nil && !refused {
		err = eris.Wrapf(ordergate.ErrIndeterminate, "%v", err)
	}
	klog.InfoS("order passed", "backendServer", d.agent.settings.Name, "kind", order.GetKind().String(),
		"fence", order.GetFence(), "seq", order.GetSeq(), "error", err)
	d.with(func(now time.Time) []ordergate.Action { return d.gate.Forwarded(now, err, refused) })
}

// submit brings an order through the gate and waits for its end.
func (d *orderDesk) submit(ctx context.Context, order *jayv1.Order) error {
	server, declared := d.agent.catalog.Current().BackendServer(d.agent.settings.Name)
	switch {
	case order.GetBackendServer() != d.agent.settings.Name || d.agent.model == nil:
		return errOrderInvalid
	case d.table == nil && (!declared || !server.GetChecksFencing()):
		return ordergate.ErrNoWatermark
	}
	p := &pendingOrder{order: order, done: make(chan error, 1)}
	d.with(func(now time.Time) []ordergate.Action {
		d.nextID++
		d.pending[d.nextID] = p
		return d.gate.Propose(now, d.nextID, ordergate.Number{Fence: order.GetFence(), Seq: order.GetSeq()})
	})
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ordergate.ErrIndeterminate
	}
}

// serveOrder answers an order with its outcome and the highest fence seen.
func (a *Agent) serveOrder(ctx context.Context, order *jayv1.Order, s *transport.Stream) {
	err := a.orders.submit(ctx, order)
	if err == nil && a.model != nil {
		a.model.read(a.ctx) // The state sent back shows what the order changed.
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
