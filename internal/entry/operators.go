// Package entry is the shell of an entry process.
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

// operatorHeaderTimeout bounds the wait for a request's headers.
const operatorHeaderTimeout = 10 * time.Second

// operatorDeps is what the operators' listener needs of an entry.
type operatorDeps struct {
	// Address to listen on, IP:port.
	Address     string
	Credentials *transport.Credentials
	// Operator is the service behind it; its Closing is set here.
	Operator operator.Options
}

// operatorServer serves the operators' calls over HTTPS with client
// certificates of the roles viewer and operator.
type operatorServer struct {
	listener net.Listener
	server   *http.Server
	closing  chan struct{}
	once     sync.Once
}

// newOperatorServer listens and starts to serve.
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
			klog.ErrorS(err, "Operators' listener ended")
		}
	}()
	return s, nil
}

// URL is the base address of the operators' calls.
func (s *operatorServer) URL() string { return "https://" + s.listener.Addr().String() }

// Shutdown ends watches and waits for running calls.
func (s *operatorServer) Shutdown(ctx context.Context) error {
	s.once.Do(func() { close(s.closing) })
	return eris.Wrap(s.server.Shutdown(ctx), "shut the operators' listener down")
}

// Close cuts all calls.
func (s *operatorServer) Close() { _ = s.server.Close() }
