package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

const (
	// connectTime bounds the opening of a connection to a backend server.
	connectTime = 250 * time.Millisecond
	// silenceTime is how long bytes sent to one may stay unacknowledged.
	silenceTime = 1200 * time.Millisecond
	// stateTick lets beliefs lapse and closes idle connections.
	stateTick = 250 * time.Millisecond
	// firstConfigWait: callers are let in without a configuration after this
	// time, and hear 503 until there is one.
	firstConfigWait = 5 * time.Second
	// maxMetricLabels bounds the names of routes in metrics.
	maxMetricLabels = 256
	// headerBytes and headerTime bound heads until a configuration says otherwise.
	headerBytes = 16 << 10
	headerTime  = 5 * time.Second
	idleTime    = 60 * time.Second
	// The balancer asks once a second and needs two refusals; then no new
	// callers come, and what is on its way arrives within drainOnWay.
	drainQuestions = 2
	drainOnWay     = 500 * time.Millisecond
	// drainAtMost is when connections are closed though the balancer has not
	// asked: its questions may be lost.
	drainAtMost = 3500 * time.Millisecond
	// drainReserve of the grace time is kept for the end of the process.
	drainReserve = 700 * time.Millisecond
	drainStep    = 20 * time.Millisecond
)

// Gateway is one running process. Stop it with Shutdown.
type Gateway struct {
	settings Settings
	ports    Ports
	state    *state
	pool     *upstream.Pool
	metrics  *metrics.Registry
	peers    *peers
	hints    *hints
	// datagrams between entries, placing what it asks of them.
	datagrams *datagrams
	placing   *placing
	feeds     []*feed
	keeper    *lease.Keeper

	callers  *http.Server
	inner    []*http.Server
	active   atomic.Int64
	stopping atomic.Bool
	// open: callers' address is listened on.
	open atomic.Bool
	// notReadyAnswers counts answers to the balancer since the signal to stop.
	notReadyAnswers atomic.Int64

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Start opens the process's addresses and begins to follow the tables.
func Start(ctx context.Context, settings Settings, ports Ports) (*Gateway, error) {
	pool := upstream.NewPool(connectTime, silenceTime)
	g := &Gateway{
		settings: settings, ports: ports, pool: pool,
		state: newState(settings, pool.Forget), metrics: metrics.New(maxMetricLabels),
	}
	g.peers = newPeers(settings)
	g.placing = newPlacing(g)
	ctx, g.cancel = context.WithCancel(ctx)
	if err := g.listenInner(); err != nil {
		return nil, err
	}
	g.startDatagrams(ctx)
	g.startHints(ctx)
	g.follow(ctx)
	g.awaitConfig(ctx)
	if err := g.listenCallers(); err != nil {
		return nil, err
	}
	klog.InfoS("Started", "node", settings.Node, "dataCentre", settings.DataCentre, "callers", settings.CallerAddress, "ready", g.state.ready())
	return g, nil
}

// spawn runs a task until the process stops.
func (g *Gateway) spawn(task func()) {
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		task()
	}()
}

// awaitConfig waits a little for the first configuration, which sets the
// limits of callers' connections.
func (g *Gateway) awaitConfig(ctx context.Context) {
	until := time.Now().Add(firstConfigWait)
	for !g.state.ready() && time.Now().Before(until) && ctx.Err() == nil {
		time.Sleep(drainStep)
	}
}

func (g *Gateway) listenCallers() error {
	listener, err := net.Listen("tcp", g.settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	g.callers = &http.Server{
		Handler: g, MaxHeaderBytes: headerBytes, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime,
		ErrorLog: quietLog(), ConnState: noteCallerState, ConnContext: withCallerConn,
	}
	if table := g.state.table.Load(); table != nil {
		limits := table.Limits
		if limits.HeaderBytes > 0 {
			g.callers.MaxHeaderBytes = limits.HeaderBytes
		}
		if limits.HeaderTimeout > 0 {
			g.callers.ReadHeaderTimeout = limits.HeaderTimeout
		}
		if limits.IdleTimeout > 0 {
			g.callers.IdleTimeout = limits.IdleTimeout
		}
	}
	g.serve(g.callers, callerListener{listener})
	g.open.Store(true)
	return nil
}

func (g *Gateway) serve(server *http.Server, listener net.Listener) {
	g.spawn(func() {
		if err := server.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Server ended", "address", listener.Addr())
		}
	})
}

// listenInner opens what the balancer, other entries and operators ask.
func (g *Gateway) listenInner() error {
	handlers := map[string]http.Handler{}
	if g.settings.ReadyAddress != "" {
		handlers[g.settings.ReadyAddress] = http.HandlerFunc(g.answerReady)
	}
	if g.settings.ControlAddress != "" {
		handlers[g.settings.ControlAddress] = g.controlRoutes()
	}
	if g.settings.MetricsAddress != "" {
		mux := echo.New()
		mux.GET("/metrics", g.giveMetrics)
		handlers[g.settings.MetricsAddress] = mux
	}
	for address, handler := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", address)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, ErrorLog: quietLog()}
		g.inner = append(g.inner, server)
		g.serve(server, listener)
	}
	return nil
}

// giveMetrics writes all metrics as text, gauges as of now.
func (g *Gateway) giveMetrics(c echo.Context) error {
	g.gauges(time.Now())
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
	c.Response().WriteHeader(http.StatusOK)
	g.metrics.WriteText(c.Response())
	return nil
}

// gauges shows how old each belief is, and what is left of each budget.
func (g *Gateway) gauges(now time.Time) {
	for _, f := range g.feeds {
		g.metrics.Gauge("belief_version", f.table, int64(f.version())) //nolint:gosec // a count
		g.metrics.Gauge("belief_age_ms", f.table, g.tableAge(now, f).Milliseconds())
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	g.metrics.Gauge("backend_servers", "listed", int64(s.list.Len()))
	g.metrics.Gauge("backend_servers", "switching", int64(len(s.switches)))
	g.metrics.Gauge("prefix_survival_ms", "estimate", s.router.Retention().Milliseconds())
	for service, budget := range s.budgets {
		g.metrics.Gauge("retry_budget", service, int64(budget.Left(now)))
	}
	for _, model := range s.book.Models() {
		g.metrics.Gauge("weights_named", model, int64(s.book.Newest(model))) //nolint:gosec // a count
	}
	known, held := s.suspects.counts()
	g.metrics.Gauge("suspected_requests", "known", int64(known))
	g.metrics.Gauge("suspected_requests", "held", int64(held))
	g.metrics.Gauge("requests_active", "all", g.active.Load())
	g.metrics.Gauge("requests_waiting", "memory", int64(s.room.Len()))
	g.metrics.Gauge("connections_opened", "all", g.pool.Opened())
}

// answerReady tells the balancer whether callers may come.
func (g *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() {
		g.notReadyAnswers.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !g.open.Load() || !g.state.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Shutdown ends without cutting a request: it stops being ready, goes on to
// answer until the balancer has seen that, closes the listener and idle
// connections, and waits for what is under way. It does not wait for a moment
// without requests: while others stop too, callers would come until the end,
// and the last of them would be cut.
func (g *Gateway) Shutdown(ctx context.Context) error {
	begun := time.Now()
	end := begun.Add(g.settings.Grace - drainReserve)
	klog.InfoS("Stopping", "active", g.active.Load(), "until", end)
	g.stopping.Store(true)
	if g.keeper != nil {
		g.keeper.Close(ctx)
	}
	g.unregister(ctx)
	g.callers.SetKeepAlivesEnabled(false)
	for time.Since(begun) < drainAtMost && ctx.Err() == nil && g.notReadyAnswers.Load() < drainQuestions {
		time.Sleep(drainStep)
	}
	sleep(ctx, drainOnWay)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := g.callers.Shutdown(ctx)
	// Shutdown no longer counts a connection whose close a callerConn ignored.
	for g.active.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, drainStep)
	}
	klog.InfoS("Stopped", "active", g.active.Load(), "tookMS", time.Since(begun).Milliseconds(), "err", err)
	g.cancel()
	for _, server := range g.inner {
		_ = server.Close()
	}
	return nil
}

// Reload takes in settings that may change while the process runs.
func (g *Gateway) Reload(settings Settings) {
	g.peers.setSeeds(settings.Seeds)
	klog.InfoS("Settings reloaded", "seeds", settings.Seeds)
}
