package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/operator"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// operatorHeaderTimeout limits the wait for the headers of a request.
const operatorHeaderTimeout = 10 * time.Second

// operatorDeps are the dependencies of the operators' server.
type operatorDeps struct {
	// Address to listen on, IP:port.
	Address     string
	Credentials *transport.Credentials
	// Operator configures the operator service. newOperatorServer sets its Closing.
	Operator operator.Options
}

// operatorServer serves the operators' API over HTTPS to clients with a
// certificate of the role viewer or operator.
type operatorServer struct {
	listener net.Listener
	server   *http.Server
	closing  chan struct{}
	once     sync.Once
}

// newOperatorServer opens the listener and starts to serve.
func newOperatorServer(deps operatorDeps) (*operatorServer, error) {
	listener, err := net.Listen("tcp", deps.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for operators on %s", deps.Address)
	}
	s := &operatorServer{listener: listener, closing: make(chan struct{})}
	deps.Operator.Closing = s.closing
	s.server = &http.Server{
		Handler:           operator.Handler(operator.New(deps.Operator)),
		TLSConfig:         deps.Credentials.ServerTLS([]string{"h2", "http/1.1"}, keys.RoleViewer, keys.RoleOperator),
		ReadHeaderTimeout: operatorHeaderTimeout,
	}
	go func() {
		if err := s.server.ServeTLS(listener, "", ""); !eris.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Operators' server stopped")
		}
	}()
	return s, nil
}

// URL is the base URL of the operators' API.
func (s *operatorServer) URL() string { return "https://" + s.listener.Addr().String() }

// Shutdown ends watch streams and waits for running calls.
func (s *operatorServer) Shutdown(ctx context.Context) error {
	s.once.Do(func() { close(s.closing) })
	return eris.Wrap(s.server.Shutdown(ctx), "shut the operators' listener down")
}

// Close aborts all calls.
func (s *operatorServer) Close() { _ = s.server.Close() }
