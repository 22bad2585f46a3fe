// Package entry is the shell of jay-entry: the callers' HTTP API, the hand-over
// of requests to agents and the relay of their answers. It does the I/O; the
// decisions are the packages routing, retry, quota, membership and ledger.
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
)

// headerPatience bounds the wait for a caller's request head.
const headerPatience = 10 * time.Second

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
	// ready is closed when spread is set; peers that come earlier wait.
	ready   chan struct{}
	streams *streamCount
	startup *startup
	explain *explanations

	// crashes are requests under which engines crashed.
	crashes *crashes

	quotaMu  sync.Mutex
	quota    *quota.Limiter
	budgetMu sync.Mutex
	budget   *retry.Budget
	ledger   *ledger.Ledger

	callers, admin *server
	operators      *operatorServer
	rollouts       atomic.Pointer[control.Service]
	started        time.Time
	// stopping: not ready any more. serving: the callers' port still takes requests.
	stopping, serving atomic.Bool
	ctx               context.Context
	cancel            context.CancelFunc
	wg                sync.WaitGroup
}

// Start opens all listeners and serves. It needs neither the platform nor a
// peer: without a catalog callers get a typed refusal until one is known.
func Start(ctx context.Context, settings Settings) (*Entry, error) {
	// Before anything else: from here on callers wait in the listener's queue for
	// as long as the rest takes. Opened last, it would refuse them meanwhile.
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
	if err := e.listen(); err != nil {
		e.Close()
		return nil, err
	}
	e.background()
	klog.InfoS("entry serves", "name", settings.Name, "callers", e.CallersURL(), "admin", e.AdminURL(), "quic", e.Address(),
		"afterStart", time.Since(e.started))
	return e, nil
}

func newEntry(ctx context.Context, settings Settings, creds *transport.Credentials) *Entry {
	e := &Entry{
		settings: settings, holder: settings.Holder, creds: creds,
		metrics: metrics.New(settings.MaxLabels),
		picker:  newPicker(settings),
		ready:   make(chan struct{}),
		streams: newStreamCount(settings.Limits),
		startup: newStartup(settings),
		explain: newExplanations(),
		quota:   quota.NewLimiter(),
		crashes: newCrashes(),
		budget:  retry.NewBudget(settings.Attempts.RetryShare, settings.Attempts.RetryBurst),
		started: time.Now(),
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
	e.callers.start()
	return nil
}

func (e *Entry) background() {
	e.goWith(e.watchStart)
	e.goWith(e.watchMembers)
	e.goWith(e.trimClaims)
	e.goWith(func(ctx context.Context) { e.creds.Watch(ctx, ms(e.settings.Timeouts.KeysReloadMS)) })
}

func (e *Entry) goWith(run func(ctx context.Context)) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		run(e.ctx)
	}()
}

// CallersURL is the base URL of the callers' API.
func (e *Entry) CallersURL() string { return e.callers.url() }

// OperatorsURL is the base URL of the operators' calls.
func (e *Entry) OperatorsURL() string { return e.operators.URL() }

// AdminURL is the base URL of the admin pages.
func (e *Entry) AdminURL() string { return e.admin.url() }

// Address is the QUIC listener, IP:port.
func (e *Entry) Address() string { return e.node.Address() }

// Catalog is the holder of the catalog in force.
func (e *Entry) Catalog() *catalog.Holder { return e.holder }

// Shutdown stops without cutting a request: it turns not ready, goes on
// serving while the balancer takes notice, then refuses new requests and waits
// for those under way. An error means that the context ended first.
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

// Close stops at once and cuts what is under way.
func (e *Entry) Close() {
	e.stopping.Store(true)
	// First of all: whoever came while the rest ends, which may take long on a
	// busy machine, would be taken in by an entry that only cuts them off. With
	// the port closed they go to another entry, or wait for this one's successor.
	e.callers.close()
	e.cancel()
	e.stopRollouts()
	if e.spread != nil {
		e.spread.Close()
	}
	if e.operators != nil {
		e.operators.Close()
	}
	e.admin.close()
	if e.node != nil {
		_ = e.node.Close()
	}
	e.ledger.Close()
	e.wg.Wait()
}

// server is an HTTP server on a listener of its own.
type server struct {
	http     *http.Server
	listener net.Listener
}

// callersListener is the socket that the settings hand in, or a new one.
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
	// net/http cuts off far beyond the bound, without a typed error; up to
	// there the handler refuses with one.
	const hardLimit = 4
	return &server{
		listener: listener,
		http: &http.Server{
			Handler: handler, ReadHeaderTimeout: headerPatience, MaxHeaderBytes: hardLimit * headerBytes,
		},
	}
}

// start serves the connections that wait already and those that come.
func (s *server) start() {
	go func() {
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "HTTP listener ended", "address", s.listener.Addr().String())
		}
	}()
}

func (s *server) url() string { return "http://" + s.listener.Addr().String() }

// drain closes the listener and waits for the requests under way.
func (s *server) drain(ctx context.Context) error { return s.http.Shutdown(ctx) }

// close closes the listener, also one that was never served, and cuts all connections.
func (s *server) close() {
	if s != nil {
		_ = s.http.Close()
		_ = s.listener.Close()
	}
}
