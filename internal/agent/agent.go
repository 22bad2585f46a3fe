// Package agent is the process beside one backend server. It has the last word
// on what its backend server takes on: it admits or refuses offers, hands work
// to the engine or service, relays the answer and keeps it for readers that
// lost their link. The decisions are made by pure packages; this one does the
// I/O around them.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/charts"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/spread"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// maxMetricLabels bounds the workspaces and classes that metrics keep apart.
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
	// bodyBytes that all attempts hold together.
	bodyBytes atomic.Int64
	wg        sync.WaitGroup
	mu        sync.Mutex
	closed    bool
}

// Start runs an agent until Shutdown or Close. The context bounds the start only.
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
		return eris.New("settings name both an engine and a service")
	case s.Engine.URL != "":
		if s.OpenEngine == nil {
			return eris.New("no dialects are linked in")
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
	return eris.New("settings name neither an engine nor a service")
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

// goRun runs a function that Close waits for. After Close it does nothing:
// timers of attempts may still fire then.
func (a *Agent) goTracked(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.wg.Go(f)
}

// Address of the agent's QUIC listener, ip:port.
func (a *Agent) Address() string { return a.node.Address() }

// AdminURL of the port for health, metrics and debugging.
func (a *Agent) AdminURL() string { return "http://" + a.adminListener.Addr().String() }

// StartDrain refuses new work from now on and says so with every answer.
func (a *Agent) StartDrain() {
	if !a.draining.Swap(true) {
		klog.InfoS("leaving, no new work is taken", "backendServer", a.settings.Name)
	}
}

// isLeaving tells whether new work is refused: the agent was told to stop, or
// an operator drains the backend server.
func (a *Agent) isDraining() bool {
	server, _ := a.catalog.Current().BackendServer(a.settings.Name)
	return a.draining.Load() || server.GetDraining()
}

// Shutdown refuses new work, waits until every accepted request has ended and
// its reader has the whole answer, and stops. When the context or the drain
// time ends first, what still runs is cut; the error says so.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.StartDrain()
	ctx, cancel := context.WithTimeout(ctx, millis(a.settings.DrainMS))
	defer cancel()
	a.attempts.close()
	err := a.attempts.waitEmpty(ctx)
	a.Close()
	return eris.Wrap(err, "drain")
}

// Close stops at once, as a crash would.
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

// state is the agent's own view, sent with every answer.
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
