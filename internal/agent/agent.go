// Package agent implements the process that runs beside one backend server. It
// admits or refuses offers, passes accepted requests to the engine or service,
// relays the response and buffers it so that an entry whose stream was lost can
// resume it. Decisions are made by packages without I/O; this one does the I/O
// for them.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/charts"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/spread"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// maxMetricLabels bounds the distinct workspace and class labels in metrics.
const maxMetricLabels = 300

// Agent is a running agent.
type Agent struct {
	settings         Settings
	started          time.Time
	ctx              context.Context
	stop             context.CancelFunc
	node             *transport.Node
	admin            *http.Server
	adminListener    net.Listener
	catalog          *catalog.Holder
	metrics          *metrics.Registry
	attempts         *attemptRegistry
	inFlightPrefixes *inFlightPrefixes
	scheduler        *scheduler
	model            *modelBackend   // nil beside a plain service
	service          *serviceBackend // nil beside a model engine
	orders           *orderHandler
	spread           *spread.Service
	ready            chan struct{} // closed when spread is set
	draining         atomic.Bool
	// stopping: Shutdown was called.
	stopping atomic.Bool
	// bodies bounds the total size of the request bodies held by all attempts.
	bodies *semaphore.Weighted
	wg     sync.WaitGroup
	mu     sync.Mutex
	closed bool
}

// Start starts an agent, which runs until Shutdown or Close. The context is not
// used.
func Start(_ context.Context, settings Settings) (*Agent, error) {
	if _, err := charts.All(); err != nil {
		return nil, err
	}
	creds, err := transport.LoadCredentials(settings.Keys)
	if err != nil {
		return nil, eris.Wrap(err, "load keys")
	}
	a := &Agent{
		settings:         settings,
		started:          time.Now(),
		catalog:          settings.Catalog,
		metrics:          metrics.New(maxMetricLabels),
		attempts:         newAttemptRegistry(settings.Replay.TotalBytes),
		inFlightPrefixes: newInFlightPrefixes(),
		bodies:           semaphore.NewWeighted(int64(settings.Queue.Bytes)),
		ready:            make(chan struct{}),
	}
	if a.catalog == nil {
		a.catalog = catalog.NewHolder()
	}
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.scheduler = newScheduler(a.ctx, settings.Queue, a.perform)
	if err := a.openBackend(); err != nil {
		a.stop()
		return nil, err
	}
	a.orders = newOrderHandler(a)
	if err := a.listen(creds); err != nil {
		a.stop()
		return nil, err
	}
	if err := a.startSpread(creds); err != nil {
		a.Close()
		return nil, err
	}
	a.goTracked(func() { creds.Watch(a.ctx, millis(settings.KeyReloadMS)) })
	a.goTracked(func() { a.scheduler.loop() })
	if a.model != nil {
		a.goTracked(func() { a.model.poll(a.ctx) })
		a.goTracked(func() { a.model.cache.followEvents(a.ctx) })
		a.goTracked(func() { a.model.cache.repair(a.ctx) })
		a.goTracked(func() { a.orders.watch(a.ctx) })
	}
	klog.InfoS("agent started", "backendServer", settings.Name, "address", a.Address(), "admin", a.AdminURL())
	return a, nil
}

func (a *Agent) openBackend() error {
	s := a.settings
	switch {
	case s.Engine.URL != "" && s.Service.URL != "":
		return eris.New("settings have both engine.url and service.url; exactly one is required")
	case s.Engine.URL != "":
		if s.OpenEngine == nil {
			return eris.New("settings have engine.url, but OpenEngine is not set")
		}
		opened, err := s.OpenEngine(s.Engine.Vendor, s.Engine.URL)
		if err != nil {
			return eris.Wrapf(err, "open engine %s", s.Engine.URL)
		}
		a.model = newModelBackend(opened, s)
		return nil
	case s.Service.URL != "":
		service, err := newServiceBackend(s.Service.URL)
		a.service = service
		return err
	}
	return eris.New("settings have neither engine.url nor service.url; exactly one is required")
}

func (a *Agent) listen(creds *transport.Credentials) error {
	var err error
	if a.adminListener, err = net.Listen("tcp", a.settings.Admin); err != nil {
		return eris.Wrapf(err, "listen on %s", a.settings.Admin)
	}
	a.node, err = transport.Listen(transport.Options{Address: a.settings.Listen}, creds, a.serveStream)
	if err != nil {
		_ = a.adminListener.Close()
		return err
	}
	a.admin = &http.Server{Handler: a.adminHandler(), ReadHeaderTimeout: adminHeaderTimeout}
	a.goTracked(func() { _ = a.admin.Serve(a.adminListener) })
	return nil
}

// goTracked runs f in a goroutine that Close waits for. After Close it does
// nothing, since timers of attempts may still fire.
func (a *Agent) goTracked(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.wg.Go(f)
}

// Address returns the address of the agent's QUIC listener, ip:port.
func (a *Agent) Address() string { return a.node.Address() }

// AdminURL returns the base URL for health, metrics and debugging.
func (a *Agent) AdminURL() string { return "http://" + a.adminListener.Addr().String() }

// StartDrain refuses all later offers and marks the agent as draining in every
// state that it sends.
func (a *Agent) StartDrain() {
	if !a.draining.Swap(true) {
		klog.InfoS("draining, new offers are refused", "backendServer", a.settings.Name)
	}
}

// isDraining reports whether new offers are refused, because the agent is
// stopping or an operator drains the backend server.
func (a *Agent) isDraining() bool {
	server, _ := a.catalog.Current().BackendServer(a.settings.Name)
	return a.draining.Load() || server.GetDraining()
}

// Shutdown refuses new offers, waits until every accepted request has ended and
// its complete response was read or has expired, and stops the agent. When the
// context or the drain timeout ends first, it interrupts what still runs and
// returns an error.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.StartDrain()
	ctx, cancel := context.WithTimeout(ctx, millis(a.settings.DrainMS))
	defer cancel()
	a.stopping.Store(true)
	a.attempts.close()
	for _, att := range a.attempts.all() {
		if att.ended() {
			a.discardUnread(att.id, 0) // The retention is shorter from now on.
		}
	}
	err := a.attempts.waitEmpty(ctx)
	a.Close()
	return eris.Wrap(err, "wait for accepted requests to end")
}

// Close stops the agent at once and interrupts running requests.
func (a *Agent) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.stop()
	if a.spread != nil {
		a.spread.Close()
	}
	_ = a.node.Close()
	_ = a.admin.Close()
	a.wg.Wait()
}

// state returns the load and readiness that the agent sends with every reply.
func (a *Agent) state() *jayv1.AgentState {
	load := a.scheduler.load()
	state := &jayv1.AgentState{
		BackendServer: a.settings.Name,
		Generation:    a.catalog.Current().Generation(),
		Running:       uint32(load.Running),
		Queued:        uint32(load.Queued),
		Slots:         uint32(load.Slots),
		QueueMs:       load.QueueMS,
		Leaving:       a.isDraining(),
		Ready:         true,
	}
	state.PrefillTokensPerSecond = a.scheduler.prefillRate()
	if a.model != nil {
		a.model.fillState(state)
	}
	return state
}
