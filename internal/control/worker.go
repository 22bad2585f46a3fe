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

// worker works for one pool while its lease is held.
type worker struct {
	options Options
	pool    string
	keeper  *lease.Keeper
	cancel  context.CancelFunc
	done    chan struct{}

	// The rest is of the fence and used by the worker's goroutine only.
	fence    uint64
	seq      uint64
	next     int
	observed map[string]observation
	pending  map[string]pending
	// refused holds the time before which a server that refused gets no order.
	refused map[string]time.Time
	// quiet counts probes since anything was to be done or was declared anew.
	quiet     int
	declared  *jayv1.Pool
	nextProbe time.Time
}

// refusedPause keeps an agent that refuses from being asked without end.
const refusedPause = 5 * time.Second

// observation is what a backend server's agent last told.
type observation struct {
	state *jayv1.AgentState
	at    time.Time
}

// pending is an order under way.
type pending struct {
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

// close stops the work first and gives the lease back after it: the next
// holder must not find orders of this one on their way.
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
			w.begin(fence)
		}
		if w.probeDue() {
			w.step(ctx)
		}
	}
}

// begin forgets what was known under an older fence: another holder may have
// worked meanwhile.
func (w *worker) begin(fence uint64) {
	klog.InfoS("Lease taken", "lease", LeasePrefix+w.pool, "entry", w.options.Name, "fence", fence)
	w.fence, w.seq = fence, 0
	w.observed = map[string]observation{}
	w.pending = map[string]pending{}
	w.refused = map[string]time.Time{}
}

// probeDue is true at each interval while something is to be done or was not
// yet looked at, and seldom in a settled pool: most probes of a large pool cost
// a new connection.
func (w *worker) probeDue() bool {
	now := w.options.Clock()
	table := w.options.Holder.Current()
	if pool, _ := table.Pool(w.pool); pool != w.declared {
		w.declared, w.quiet = pool, 0
	}
	settled := w.quiet > len(table.BackendServersOfPool(w.pool))
	if settled && now.Before(w.nextProbe) {
		return false
	}
	w.nextProbe = now.Add(w.options.Settings.SettledInterval)
	return true
}

// step observes one backend server and gives the orders that are due.
func (w *worker) step(ctx context.Context) {
	table := w.options.Holder.Current()
	pool, ok := table.Pool(w.pool)
	servers := table.BackendServersOfPool(w.pool)
	if !ok || len(servers) == 0 {
		return
	}
	w.probe(ctx, w.toProbe(servers))
	state := orders.State{Pool: pool, MaxLoads: w.options.Settings.MaxLoads}
	addresses := map[string]string{}
	for _, server := range servers {
		state.Servers = append(state.Servers, w.view(server))
		addresses[server.GetName()] = server.GetAgentAddress()
	}
	plan := orders.Plan(state)
	w.quiet++
	if len(plan) > 0 || len(w.pending) > 0 {
		w.quiet = 0
	}
	for _, order := range plan {
		// Asked before each order: this process may have been stopped since the
		// last line, and another may hold the lease by now. Between here and the
		// agent only the gate there can tell.
		if fence, held := w.keeper.Held(); !held || fence != w.fence {
			return
		}
		if w.options.Clock().Before(w.refused[order.Server]) {
			continue
		}
		w.give(ctx, order, pool.GetModel(), addresses[order.Server])
	}
}

// toProbe takes the servers in turn, and one with an order under way every
// other time.
func (w *worker) toProbe(servers []*jayv1.BackendServer) *jayv1.BackendServer {
	w.next++
	if w.next%2 == 0 {
		busy := slices.DeleteFunc(slices.Clone(servers), func(s *jayv1.BackendServer) bool {
			_, under := w.pending[s.GetName()]
			return !under
		})
		if len(busy) > 0 {
			return busy[w.next/2%len(busy)]
		}
	}
	return servers[w.next%len(servers)]
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
	under, ok := w.pending[server]
	if !ok {
		return
	}
	switch {
	case orders.Done(under.order, orders.Server{Versions: state.GetVersionDigests(), Adapters: state.GetAdapters()}):
		w.fire(server, under, eventSeen)
	case now.Sub(under.since) >= w.options.Settings.OrderTimeout:
		w.fire(server, under, eventTimeout)
	}
}

// fire moves an order on and forgets it at its end.
func (w *worker) fire(server string, under pending, event string) {
	state, err := chart.Next(under.state, event)
	if err != nil {
		klog.ErrorS(err, "Order in a state that has no such event", "server", server)
		return
	}
	under.state = state
	w.pending[server] = under
	if chart.Final(state) {
		delete(w.pending, server)
		klog.InfoS("Order ended", "server", server, "kind", under.order.Kind.String(), "digest", under.order.Digest, "outcome", state, "fence", w.fence)
	}
}

// view is a backend server as the planner sees it. What is too old counts for
// nothing: a server that may be down must not count as ready.
func (w *worker) view(server *jayv1.BackendServer) orders.Server {
	_, under := w.pending[server.GetName()]
	view := orders.Server{Name: server.GetName(), Draining: server.GetDraining(), Busy: under}
	seen, ok := w.observed[server.GetName()]
	if !ok || w.options.Clock().Sub(seen.at) > w.options.Settings.StaleAfter {
		return view
	}
	view.Reachable = true
	view.Ready = seen.state.GetReady()
	view.Draining = view.Draining || seen.state.GetLeaving()
	view.Versions = seen.state.GetVersionDigests()
	view.Adapters = seen.state.GetAdapters()
	return view
}

func (w *worker) give(ctx context.Context, order orders.Order, model, address string) {
	w.seq++
	under := pending{order: order, state: chart.Initial(), since: w.options.Clock()}
	w.pending[order.Server] = under
	answer, err := ask(ctx, w.options.Node, address, &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Order{Order: &jayv1.Order{
		Fence: w.fence, Seq: w.seq, BackendServer: order.Server, Kind: order.Kind,
		Model: model, Digest: order.Digest, Adapter: order.Adapter,
	}}}, w.options.Settings.AnswerTimeout)
	reply := answer.GetOrderReply()
	switch {
	case err != nil:
		w.fire(order.Server, under, eventNoAnswer)
	case !reply.GetDone():
		klog.InfoS("Order refused", "server", order.Server, "kind", order.Kind.String(), "err", reply.GetError(), "fence", w.fence, "fenceSeen", reply.GetFenceSeen())
		w.refused[order.Server] = w.options.Clock().Add(refusedPause)
		w.fire(order.Server, under, eventRefuse)
	default:
		w.fire(order.Server, under, eventAccept)
		w.observe(order.Server, reply.GetState())
	}
}
