// Package entry implements jay-entry: the callers' HTTP API, the handoff of
// requests to agents and the relay of their responses. It does the I/O; decisions
// are made by the packages routing, retry, quota, membership and ledger.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/control"
	"github.com/jayproxy/jayproxy/internal/ledger"
	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/quota"
	"github.com/jayproxy/jayproxy/internal/retry"
	"github.com/jayproxy/jayproxy/internal/spread"
	"github.com/jayproxy/jayproxy/internal/transport"
	"github.com/jayproxy/jayproxy/internal/warmup"
)

// requestHeaderTimeout limits the wait for the headers of a caller's request.
const requestHeaderTimeout = 10 * time.Second

// Entry is a running entry.
type Entry struct {
	settings Settings
	holder   *catalog.Holder
	creds    *transport.Credentials
	node     *transport.Node
	metrics  *metrics.Registry
	picker   *picker
	platform platform.Platform
	spread   *spread.Service
	// ready is closed when spread is set; streams of peers wait for it.
	ready   chan struct{}
	streams *streamCount
	startup *startup
	explain *explanations

	// suspects holds the crash records of requests.
	suspects *suspects

	quotaMu  sync.Mutex
	quota    *quota.Limiter
	budgetMu sync.Mutex
	budget   *retry.Budget
	ledger   *ledger.Ledger

	callers, admin *server
	operators      *operatorServer
	rollouts       atomic.Pointer[control.Service]
	started        time.Time
	// stopping: the entry reports not ready. serving: the callers' port still
	// accepts requests.
	stopping, serving atomic.Bool
	ctx               context.Context
	cancel            context.CancelFunc
	wg                sync.WaitGroup
}

// Start opens all listeners and serves. It needs neither the platform nor a
// peer: until a catalog is known, callers get a typed error.
func Start(ctx context.Context, settings Settings) (*Entry, error) {
	// Opened first, so that callers wait in the listener's backlog during the rest
	// of the start instead of being refused a connection.
	callers, err := callersListener(settings)
	if err != nil {
		return nil, err
	}
	creds, err := transport.LoadCredentials(settings.KeysDir)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	if settings.Name == "" {
		settings.Name = creds.Self().Name
	}
	e := newEntry(ctx, settings, creds)
	e.callers = newServer(callers, e.callersAPI(), settings.Limits.HeaderBytes)
	e.callers.http.ConnContext = e.callerContext
	if err := e.listen(); err != nil {
		e.Close()
		return nil, err
	}
	e.startBackground()
	klog.InfoS("entry started", "name", settings.Name, "callers", e.CallersURL(), "admin", e.AdminURL(), "quic", e.Address(),
		"afterStart", time.Since(e.started))
	return e, nil
}

func newEntry(ctx context.Context, settings Settings, creds *transport.Credentials) *Entry {
	e := &Entry{
		settings: settings, holder: settings.Holder, creds: creds,
		metrics:  metrics.New(settings.MaxLabels),
		picker:   newPicker(settings),
		ready:    make(chan struct{}),
		streams:  newStreamCount(settings.Limits),
		startup:  newStartup(settings),
		explain:  newExplanations(),
		quota:    quota.NewLimiter(),
		suspects: newSuspects(),
		budget:   retry.NewBudget(settings.Attempts.RetryShare, settings.Attempts.RetryBurst),
		started:  time.Now(),
	}
	if e.holder == nil {
		e.holder = catalog.NewHolder()
	}
	e.platform = platformOf(settings)
	e.ledger = ledger.New(e.platform, ledger.Options{
		Window: ms(settings.Ledger.WindowMS), InFlight: settings.Ledger.InFlight, Timeout: ms(settings.Ledger.SettleMS),
	})
	e.serving.Store(true)
	e.ctx, e.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return e
}

func (e *Entry) listen() error {
	var err error
	e.node, err = transport.Listen(transport.Options{Address: e.settings.Address}, e.creds, e.servePeer)
	if err != nil {
		return err
	}
	if err := e.startControl(); err != nil {
		return err
	}
	admin, err := listenTCP(e.settings.AdminAddress)
	if err != nil {
		return err
	}
	e.admin = newServer(admin, e.adminAPI(), e.settings.Limits.HeaderBytes)
	e.admin.start()
	if e.settings.CallersListener == nil {
		e.startCallers(warmup.Port{Config: e.search()})
	}
	return nil
}

func (e *Entry) startBackground() {
	if e.settings.CallersListener != nil {
		e.runInBackground(e.acceptCallers)
	}
	e.runInBackground(e.watchStart)
	e.runInBackground(e.watchMembership)
	e.runInBackground(e.pruneClaims)
	e.runInBackground(func(ctx context.Context) { e.creds.Watch(ctx, ms(e.settings.Timeouts.KeysReloadMS)) })
}

func (e *Entry) runInBackground(run func(ctx context.Context)) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		run(e.ctx)
	}()
}

// CallersURL is the base URL of the callers' API.
func (e *Entry) CallersURL() string { return e.callers.url() }

// OperatorsURL is the base URL of the operators' API.
func (e *Entry) OperatorsURL() string { return e.operators.URL() }

// AdminURL is the base URL of the admin pages.
func (e *Entry) AdminURL() string { return e.admin.url() }

// Address is the address of the QUIC listener, IP:port.
func (e *Entry) Address() string { return e.node.Address() }

// Catalog returns the holder of the catalog in force.
func (e *Entry) Catalog() *catalog.Holder { return e.holder }

// Shutdown stops gracefully: it reports not ready, continues to serve for the
// grace period of the load balancer, then refuses new requests and waits for
// those in flight. An error means that the context ended first.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.stopping.Store(true)
	pause(ctx, ms(e.settings.Timeouts.GraceMS))
	err := e.callers.drain(ctx)
	e.serving.Store(false)
	if err == nil {
		err = e.streams.wait(ctx)
	}
	if e.operators != nil {
		_ = e.operators.Shutdown(ctx)
	}
	e.stopRollouts()
	e.Close()
	return err
}

// Close stops at once and aborts the requests in flight.
func (e *Entry) Close() {
	e.stopping.Store(true)
	began := time.Now()
	// First, since the rest may take long on a busy machine: callers that connect
	// meanwhile would be accepted only to be cut off. With the port closed they
	// reach another entry, or wait for the successor of this one.
	e.callers.stopListening()
	e.cancel()
	// At the same time, since each part waits for goroutines of its own: in turn,
	// their waits add up to a time in which nobody serves this VM's callers.
	var parts sync.WaitGroup
	for _, closePart := range []func(){e.callers.close, e.stopRollouts, e.closeSpread, e.closeOperators, e.admin.close, e.closeNode} {
		parts.Go(closePart)
	}
	parts.Wait()
	e.ledger.Close()
	e.wg.Wait()
	e.closePlatform()
	klog.InfoS("entry closed", "name", e.settings.Name, "took", time.Since(began), "afterStart", time.Since(e.started),
		"configured", e.holder.Current().Generation() > 0)
}

func (e *Entry) closeSpread() {
	if e.spread != nil {
		e.spread.Close()
	}
}

func (e *Entry) closeOperators() {
	if e.operators != nil {
		e.operators.Close()
	}
}

func (e *Entry) closeNode() {
	if e.node == nil {
		return
	}
	if err := e.node.Close(); err != nil {
		klog.ErrorS(err, "QUIC node not closed cleanly", "name", e.settings.Name)
	}
}

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

// callersListener returns the listener of the settings, or opens one.
func callersListener(settings Settings) (net.Listener, error) {
	if settings.CallersListener != nil {
		return settings.CallersListener, nil
	}
	return listenTCP(settings.CallersAddress)
}

func listenTCP(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, eris.Wrapf(err, "listen on %s", address)
}

func newServer(listener net.Listener, handler http.Handler, headerBytes int) *server {
	// net/http rejects oversized headers without a typed error. Its limit is
	// above the entry's own, so that the handler can reject most of them with one.
	const hardLimitFactor = 4
	return &server{
		listener: listener,
		http: &http.Server{
			Handler: handler, ReadHeaderTimeout: requestHeaderTimeout, MaxHeaderBytes: hardLimitFactor * headerBytes,
		},
	}
}

// start serves connections, those already in the listener's backlog included.
func (s *server) start() {
	go func() {
		// stopListening closes the listener before the server.
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			klog.ErrorS(err, "HTTP server stopped", "address", s.listener.Addr().String())
		}
	}()
}

func (s *server) url() string { return "http://" + s.listener.Addr().String() }

// drain closes the listener and waits for the requests in flight.
func (s *server) drain(ctx context.Context) error { return s.http.Shutdown(ctx) }

// stopListening closes the listener; connections stay open.
func (s *server) stopListening() { _ = s.listener.Close() }

// close closes all connections and the listener, even if it was never served.
func (s *server) close() {
	if s != nil {
		_ = s.http.Close()
		_ = s.listener.Close()
	}
}
