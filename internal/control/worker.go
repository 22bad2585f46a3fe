package control

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/charts"
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/orders"
)

// Events of charts/order.toml.
const (
	eventAccept   = "accept"
	eventRefuse   = "refuse"
	eventNoAnswer = "no_answer"
	eventSeen     = "seen"
	eventTimeout  = "timeout"
)

var chart = charts.Must("order")

// worker contends for the lease of one pool, and probes its backend servers and
// sends orders to them while the lease is held.
type worker struct {
	options Options
	pool    string
	keeper  *lease.Keeper
	cancel  context.CancelFunc
	done    chan struct{}

	// The fields below are used by the worker's goroutine only. Those up to
	// backoffUntil, except probeCount, are reset when the fence changes.
	fence      uint64
	seq        uint64
	probeCount int
	observed   map[string]observation
	pending    map[string]pendingOrder
	// backoffUntil holds, by name of a server that refused an order, the time
	// before which it gets no further order.
	backoffUntil map[string]time.Time
	// idleProbes counts the probes since an order was last due or pending, or the
	// pool's declaration changed.
	idleProbes int
	lastPool   *jayv1.Pool
	nextProbe  time.Time
}

// refusalBackoff is the pause before an agent that refused an order gets
// another.
const refusalBackoff = 5 * time.Second

// observation is the state that a backend server's agent last reported.
type observation struct {
	state *jayv1.AgentState
	at    time.Time
}

// pendingOrder is an order that was sent and whose effect has not been observed.
// state is a state of charts/order.toml.
type pendingOrder struct {
	order orders.Order
	state string
	since time.Time
}

func startWorker(ctx context.Context, options Options, pool string) *worker {
	w := &worker{options: options, pool: pool, done: make(chan struct{})}
	name := LeasePrefix + pool
	w.keeper = lease.Keep(context.WithoutCancel(ctx), options.Table, name, options.Name+"/"+options.Incarnation, options.Settings.Lease, options.Clock)
	ctx, w.cancel = context.WithCancel(ctx)
	go w.run(ctx)
	return w
}

// close stops the worker before it releases the lease, so that no order of this
// worker is in flight when the next holder takes the lease.
func (w *worker) close(ctx context.Context) {
	w.cancel()
	<-w.done
	w.keeper.Close(ctx)
}

func (w *worker) run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(w.options.Settings.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		fence, held := w.keeper.Held()
		if !held {
			continue
		}
		if fence != w.fence {
			w.reset(fence)
		}
		if w.probeDue() {
			w.reconcile(ctx)
		}
	}
}

// reset clears the state of an older fence, because another holder may have sent
// orders since.
func (w *worker) reset(fence uint64) {
	klog.InfoS("Lease taken", "lease", LeasePrefix+w.pool, "entry", w.options.Name, "fence", fence)
	w.fence, w.seq = fence, 0
	w.observed = map[string]observation{}
	w.pending = map[string]pendingOrder{}
	w.backoffUntil = map[string]time.Time{}
}

// probeDue reports whether to probe at this tick. A pool is settled once every
// backend server was probed and no order was due; it is then probed only every
// SettledInterval, since most probes of a large pool open a new connection.
func (w *worker) probeDue() bool {
	now := w.options.Clock()
	table := w.options.Holder.Current()
	if pool, _ := table.Pool(w.pool); pool != w.lastPool {
		w.lastPool, w.idleProbes = pool, 0
	}
	settled := w.idleProbes > len(table.BackendServersOfPool(w.pool))
	if settled && now.Before(w.nextProbe) {
		return false
	}
	w.nextProbe = now.Add(w.options.Settings.SettledInterval)
	return true
}

// reconcile probes one backend server and sends the orders that are due.
func (w *worker) reconcile(ctx context.Context) {
	table := w.options.Holder.Current()
	pool, ok := table.Pool(w.pool)
	servers := table.BackendServersOfPool(w.pool)
	if !ok || len(servers) == 0 {
		return
	}
	w.probe(ctx, w.nextToProbe(servers))
	state := orders.State{Pool: pool, MaxLoads: w.options.Settings.MaxLoads}
	addresses := map[string]string{}
	for _, server := range servers {
		state.Servers = append(state.Servers, w.view(server))
		addresses[server.GetName()] = server.GetAgentAddress()
	}
	plan := orders.Plan(state)
	w.idleProbes++
	if len(plan) > 0 || len(w.pending) > 0 {
		w.idleProbes = 0
	}
	for _, order := range plan {
		// Checked before each order: this process may have been suspended, and
		// another may hold the lease now. If the lease is lost after this check,
		// only the agent's check of the fence can stop the order.
		if fence, held := w.keeper.Held(); !held || fence != w.fence {
			return
		}
		if w.options.Clock().Before(w.backoffUntil[order.Server]) {
			continue
		}
		w.sendOrder(ctx, order, pool.GetModel(), addresses[order.Server])
	}
}

// nextToProbe returns the servers in turn. Every second probe goes to a server
// with a pending order, if there is one.
func (w *worker) nextToProbe(servers []*jayv1.BackendServer) *jayv1.BackendServer {
	w.probeCount++
	if w.probeCount%2 == 0 {
		withOrder := slices.DeleteFunc(slices.Clone(servers), func(s *jayv1.BackendServer) bool {
			_, hasOrder := w.pending[s.GetName()]
			return !hasOrder
		})
		if len(withOrder) > 0 {
			return withOrder[w.probeCount/2%len(withOrder)]
		}
	}
	return servers[w.probeCount%len(servers)]
}

func (w *worker) probe(ctx context.Context, server *jayv1.BackendServer) {
	state, err := probe(ctx, w.options, w.pool, server)
	if err != nil {
		delete(w.observed, server.GetName())
		return
	}
	w.observe(server.GetName(), state)
}

func (w *worker) observe(server string, state *jayv1.AgentState) {
	if state == nil || state.GetBackendServer() != server {
		return
	}
	now := w.options.Clock()
	w.observed[server] = observation{state: state, at: now}
	current, ok := w.pending[server]
	if !ok {
		return
	}
	switch {
	case orders.Done(current.order, orders.Server{Versions: state.GetVersionDigests(), Adapters: state.GetAdapters()}):
		w.transition(server, current, eventSeen)
	case now.Sub(current.since) >= w.options.Settings.OrderTimeout:
		w.transition(server, current, eventTimeout)
	}
}

// transition applies an event to a pending order, and removes the order when it
// reaches a final state.
func (w *worker) transition(server string, current pendingOrder, event string) {
	state, err := chart.Next(current.state, event)
	if err != nil {
		klog.ErrorS(err, "Order state has no transition for the event", "server", server)
		return
	}
	current.state = state
	w.pending[server] = current
	if chart.Final(state) {
		delete(w.pending, server)
		klog.InfoS("Order ended", "server", server, "kind", current.order.Kind.String(), "digest", current.order.Digest, "outcome", state, "fence", w.fence)
	}
}

// view returns a backend server as input of the planner. A server without an
// observation younger than StaleAfter may be down, and counts as unreachable and
// not ready.
func (w *worker) view(server *jayv1.BackendServer) orders.Server {
	_, busy := w.pending[server.GetName()]
	view := orders.Server{Name: server.GetName(), Draining: server.GetDraining(), Busy: busy}
	observed, ok := w.observed[server.GetName()]
	if !ok || w.options.Clock().Sub(observed.at) > w.options.Settings.StaleAfter {
		return view
	}
	view.Reachable = true
	view.Ready = observed.state.GetReady()
	view.Draining = view.Draining || observed.state.GetLeaving()
	view.Versions = observed.state.GetVersionDigests()
	view.Adapters = observed.state.GetAdapters()
	return view
}

// sendOrder sends an order and records it as pending until its effect is
// observed, it is refused, or OrderTimeout has passed.
func (w *worker) sendOrder(ctx context.Context, order orders.Order, model, address string) {
	w.seq++
	current := pendingOrder{order: order, state: chart.Initial(), since: w.options.Clock()}
	w.pending[order.Server] = current
	frame, err := roundTrip(ctx, w.options.Node, address, &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Order{Order: &jayv1.Order{
		Fence: w.fence, Seq: w.seq, BackendServer: order.Server, Kind: order.Kind,
		Model: model, Digest: order.Digest, Adapter: order.Adapter,
	}}}, w.options.Settings.AnswerTimeout)
	reply := frame.GetOrderReply()
	switch {
	case err != nil:
		w.transition(order.Server, current, eventNoAnswer)
	case !reply.GetDone():
		klog.InfoS("Order refused", "server", order.Server, "kind", order.Kind.String(), "err", reply.GetError(), "fence", w.fence, "fenceSeen", reply.GetFenceSeen())
		w.backoffUntil[order.Server] = w.options.Clock().Add(refusalBackoff)
		w.transition(order.Server, current, eventRefuse)
	default:
		w.transition(order.Server, current, eventAccept)
		w.observe(order.Server, reply.GetState())
	}
}
