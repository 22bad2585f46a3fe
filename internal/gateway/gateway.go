package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/endproof"
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/responselimit"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

const (
	// connectTimeout bounds opening a connection to a backend server.
	connectTimeout = 250 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails.
	ackTimeout = 1200 * time.Millisecond
	// stateTickInterval is the pause between two removals of expired state and idle
	// connections.
	stateTickInterval = 250 * time.Millisecond
	// firstConfigTimeout is how long Start waits for a first configuration. After
	// that callers are accepted and receive 503 until a configuration arrives.
	firstConfigTimeout = 5 * time.Second
	// maxMetricLabels bounds the number of distinct route names in metrics.
	maxMetricLabels = 256
	// Limits of the internal servers, and of callers' connections until a
	// configuration sets them.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// The load balancer probes readiness once a second and removes an entry after
	// two failed probes. Requests already on their way arrive within
	// drainArrivalTime.
	minNotReadyProbes = 2
	drainArrivalTime  = 500 * time.Millisecond
	// maxProbeWait bounds the wait for these probes, which may get lost.
	maxProbeWait = 3500 * time.Millisecond
	// shutdownReserve is the part of the grace period left for the end of the
	// process.
	shutdownReserve = 700 * time.Millisecond
	// leaveTimeout bounds the calls to the store of an entry that stops. It is less than the
	// wait for probes usually takes, so that the entry is not away longer for these calls.
	leaveTimeout          = 1500 * time.Millisecond
	conditionPollInterval = 20 * time.Millisecond
)

// Gateway is one running entry process. Stop it with Shutdown.
type Gateway struct {
	settings  Settings
	startedAt time.Time
	ports     Ports
	state     *state
	pool      *upstream.Pool
	// endChecks are the checks whether servers still run when their responses end.
	endChecks *endproof.Checks
	metrics   *metrics.Registry
	peers     *peers
	hints     *hints
	// datagrams carries messages between entries; placements sends placement
	// requests over it.
	datagrams  *datagrams
	placements *placementClient
	// usage enforces the usage caps of workspaces, limits those that servers name.
	usage, limits *sharedQuota
	origins       *streamOrigins
	// mergeSoftware asks for the record of software versions to be merged now.
	mergeSoftware chan struct{}
	bodies        *bodyMemory
	load          controlLoad
	feeds         []*feed
	// backends is the feed of the list of servers.
	backends *feed
	// entries is the feed of the entries' rows. unregistered signals that this entry's own
	// row is missing in it.
	entries      *feed
	entriesEra   tableEra
	unregistered chan struct{}
	// suspected is the feed of the rows of suspects.
	suspected *feed
	// storeAway: the store could not be asked to accept this entry's row.
	storeAway atomic.Bool
	keeper    *lease.Keeper

	callerServer    *http.Server
	internalServers []*http.Server
	active          atomic.Int64
	// callerConnections counts callers' open connections.
	callerConnections atomic.Int64
	stopping          atomic.Bool
	stop              *stopTime
	// callersListening: the callers' address is open.
	callersListening atomic.Bool
	// notReadyResponses counts readiness probes answered with 503 since shutdown
	// began.
	notReadyResponses atomic.Int64

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// ErrStopped is returned by Start when its context ends before callers are accepted.
var ErrStopped = errors.New("stopped before callers were accepted")

// Start opens the process's addresses and begins to follow the store's tables. It returns
// ErrStopped when startCtx ends before callers are accepted; after that only Shutdown ends the
// gateway.
func Start(startCtx context.Context, settings Settings, ports Ports) (*Gateway, error) {
	started := time.Now()
	pool := upstream.NewPool(connectTimeout, ackTimeout)
	g := &Gateway{
		settings: settings, startedAt: started, ports: ports, pool: pool,
		state: newState(settings, pool.CloseIdle), metrics: metrics.New(maxMetricLabels),
		unregistered: make(chan struct{}, 1), mergeSoftware: make(chan struct{}, 1), endChecks: endproof.NewChecks(), stop: newStopTime(),
	}
	g.ports.Tables = countedTables{ports.Tables, &g.load}
	g.ports.Table = countedTable{ports.Table, &g.load}
	g.peers = newPeers(settings)
	g.placements, g.hints = newPlacementClient(g), newHints(g)
	g.origins, g.bodies = newStreamOrigins(g), newBodyMemory(settings.MemoryBytes, g.openConnections)
	g.usage, g.limits = newSharedQuota(g, usageSource(g)), newSharedQuota(g, serverLimitSource(g))
	ctx, cancel := context.WithCancel(context.WithoutCancel(startCtx))
	g.cancel = cancel
	if err := g.listenInternal(); err != nil {
		return nil, err
	}
	g.startDatagrams(ctx)
	g.startHints(ctx)
	g.startBackgroundTasks(ctx)
	g.awaitConfig(startCtx)
	if startCtx.Err() != nil {
		g.abandonStart(ctx)
		return nil, ErrStopped
	}
	if err := g.listenCallers(); err != nil {
		return nil, err
	}
	klog.InfoS("Started", "node", settings.Node, "dataCentre", settings.DataCentre, "callers", settings.CallerAddress, "ready", g.state.ready(), "tookMS", time.Since(started).Milliseconds())
	return g, nil
}

// abandonStart ends a gateway that accepts no callers yet.
func (g *Gateway) abandonStart(ctx context.Context) {
	g.stopping.Store(true)
	<-g.leaveStore(ctx)
	g.cancel()
	for _, server := range g.internalServers {
		_ = server.Close()
	}
}

// spawn runs task in a goroutine that g.tasks counts.
func (g *Gateway) spawn(task func()) {
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		task()
	}()
}

// awaitConfig waits up to firstConfigTimeout for the first configuration, which
// sets the limits of callers' connections.
func (g *Gateway) awaitConfig(ctx context.Context) {
	awaitUntil(ctx, time.Now().Add(firstConfigTimeout), g.state.ready)
}

func (g *Gateway) listenCallers() error {
	listener, err := net.Listen("tcp", g.settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	g.callerServer = &http.Server{
		Handler: g, MaxHeaderBytes: defaultHeaderBytes, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		ErrorLog: discardLog(), ConnState: g.trackCaller, ConnContext: withCallerConn,
	}
	if table := g.state.table.Load(); table != nil {
		limits := table.Limits
		if limits.HeaderBytes > 0 {
			g.callerServer.MaxHeaderBytes = limits.HeaderBytes
		}
		if limits.HeaderTimeout > 0 {
			g.callerServer.ReadHeaderTimeout = limits.HeaderTimeout
		}
		if limits.IdleTimeout > 0 {
			g.callerServer.IdleTimeout = limits.IdleTimeout
		}
	}
	g.serve(g.callerServer, callerListener{listener})
	g.callersListening.Store(true)
	return nil
}

// trackCaller is the http.Server's ConnState hook.
func (g *Gateway) trackCaller(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		g.callerConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		g.callerConnections.Add(-1)
	case http.StateActive, http.StateIdle:
	}
	trackCallerState(conn, state)
}

// openConnections returns how many connections to callers and backend servers are open.
func (g *Gateway) openConnections() int64 { return g.callerConnections.Load() + g.pool.OpenTotal() }

func (g *Gateway) serve(server *http.Server, listener net.Listener) {
	g.spawn(func() {
		if err := server.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "HTTP server failed", "address", listener.Addr())
		}
	})
}

// listenInternal opens the readiness, control and metrics addresses.
func (g *Gateway) listenInternal() error {
	handlers := map[string]http.Handler{}
	if g.settings.ReadyAddress != "" {
		handlers[g.settings.ReadyAddress] = http.HandlerFunc(g.serveReady)
	}
	if g.settings.ControlAddress != "" {
		handlers[g.settings.ControlAddress] = g.controlRoutes()
	}
	if g.settings.MetricsAddress != "" {
		mux := echo.New()
		mux.GET("/metrics", g.serveMetrics)
		handlers[g.settings.MetricsAddress] = mux
	}
	for address, handler := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", address)
		}
		server := &http.Server{
			Handler: handler, MaxHeaderBytes: responselimit.MaxHeadBytes, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
			ErrorLog: discardLog(),
		}
		g.internalServers = append(g.internalServers, server)
		g.serve(server, listener)
	}
	return nil
}

// serveMetrics updates the gauges and writes all metrics as text.
func (g *Gateway) serveMetrics(c echo.Context) error {
	g.updateGauges(time.Now())
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
	c.Response().WriteHeader(http.StatusOK)
	g.metrics.WriteText(c.Response())
	return nil
}

// updateGauges sets the gauges of current state, such as the age of each table
// and what is left of each retry budget.
func (g *Gateway) updateGauges(now time.Time) {
	g.updateUsageGauges()
	for _, f := range g.feeds {
		version := f.version()
		g.metrics.Gauge("store_era", f.table, int64(platform.EraOf(version)))         //nolint:gosec // a count
		g.metrics.Gauge("belief_version", f.table, int64(platform.CommitOf(version))) //nolint:gosec // a count
		g.metrics.Gauge("belief_age_ms", f.table, g.tableAge(f).Milliseconds())
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	g.metrics.Gauge("backend_servers", "listed", int64(s.list.Len()))
	g.metrics.Gauge("backend_servers", "switching", int64(len(s.switches)))
	g.metrics.Gauge("prefix_survival_ms", "estimate", s.router.Retention().Milliseconds())
	for service, budget := range s.retryBudgets {
		g.metrics.Gauge("retry_budget", service, int64(budget.Usage(lease.BootClock()).Available))
	}
	for _, model := range s.targets.Models() {
		g.metrics.Gauge("weights_named", model, int64(s.targets.Newest(model))) //nolint:gosec // a count
	}
	suspects, quarantined := s.suspects.counts()
	g.metrics.Gauge("suspected_requests", "known", int64(suspects))
	g.metrics.Gauge("suspected_requests", "held", int64(quarantined))
	g.metrics.Gauge("servers_limited", "known", int64(s.limits.Count()))
	g.metrics.Gauge("requests_active", "all", g.active.Load())
	g.metrics.Gauge("requests_waiting", "memory", int64(s.waitQueue.Len()))
	heldBytes, askedBytes := g.bodies.sums()
	g.metrics.Gauge("body_memory_bytes", "held", heldBytes)
	g.metrics.Gauge("body_memory_bytes", "waited for", askedBytes)
	g.metrics.Gauge("connections_opened", "all", g.pool.Opened())
	g.metrics.Gauge("connections_open", "callers", g.callerConnections.Load())
	g.metrics.Gauge("connections_open", "backend servers", g.pool.OpenTotal())
}

// serveReady answers the load balancer's readiness probes.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() {
		g.notReadyResponses.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !g.callersListening.Load() || !g.state.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Shutdown stops the process without interrupting requests. It reports not
// ready, tells callers to close their connections, keeps serving until the load balancer has
// noticed, closes the listener and idle connections, and waits for running requests until the grace period
// ends. Requests that can't be served by then are rejected, and those that still run get a final response. It does not wait for a moment without requests before it closes the
// listener: while other entries stop too, callers may keep arriving until the
// end, and the last requests would be cut off.
func (g *Gateway) Shutdown(ctx context.Context) error {
	started := time.Now()
	end := started.Add(g.settings.Grace - shutdownReserve)
	klog.InfoS("Stopping", "active", g.active.Load(), "until", end)
	g.stopping.Store(true)
	g.stop.begin(end)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	left := g.leaveStore(ctx)
	g.shareRetrySlack()
	g.callerServer.SetKeepAlivesEnabled(false)
	awaitUntil(ctx, started.Add(maxProbeWait), func() bool { return g.notReadyResponses.Load() >= minNotReadyProbes })
	sleep(ctx, drainArrivalTime)
	err := g.callerServer.Shutdown(ctx)
	// http.Server.Shutdown does not wait for connections whose Close a callerConn
	// ignored.
	awaitUntil(ctx, end, func() bool { return g.active.Load() == 0 })
	select {
	case <-left:
	case <-ctx.Done():
	}
	klog.InfoS("Stopped", "active", g.active.Load(), "tookMS", time.Since(started).Milliseconds(), "err", err)
	g.cancel()
	for _, server := range g.internalServers {
		_ = server.Close()
	}
	return nil
}

// leaveStore releases the rollout lease and removes this entry's row, which callers do not
// wait for: the store may be slow or give no answer. The channel is closed when both are
// done or given up.
func (g *Gateway) leaveStore(ctx context.Context) <-chan struct{} {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	var calls sync.WaitGroup
	if g.keeper != nil {
		calls.Go(func() { g.keeper.Close(ctx) })
	}
	calls.Go(func() { g.unregister(ctx) })
	done := make(chan struct{})
	go func() {
		calls.Wait()
		cancel()
		close(done)
	}()
	return done
}

// Reload applies the settings that may change at run time: the seeds.
func (g *Gateway) Reload(settings Settings) {
	g.peers.setSeeds(settings.Seeds)
	g.applyRoster()
	klog.InfoS("Settings reloaded", "seeds", settings.Seeds)
}
