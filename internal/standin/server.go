// Package standin holds the code shared by the stand-ins of the platform, the
// engines and the services: an HTTP server that can go down and come back up on
// its address, and faults that are set over HTTP. The stand-ins are for tests and
// development only.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// listenTimeout bounds the attempts of Up to listen on the address again, and
// listenRetryInterval is the pause between two of them.
const (
	listenTimeout       = 5 * time.Second
	listenRetryInterval = 20 * time.Millisecond
)

// ErrClosed means that the server was closed and cannot be brought up again.
var ErrClosed = errors.New("stand-in closed")

type connKey struct{}

// Server serves one handler on one address until Close. Down and Up stop and
// resume listening, as a crash and a restart of the process would.
type Server struct {
	http    *http.Server
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
}

// Start listens on an "ip:port" address; port 0 selects a free port.
func Start(listen string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", listen)
	}
	s := &Server{address: listener.Addr().String(), conns: map[net.Conn]struct{}{}}
	s.http = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
		ConnState:         s.track,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	s.serve(listener)
	return s, nil
}

// URL returns the base URL, without a trailing slash.
func (s *Server) URL() string { return "http://" + s.address }

func (s *Server) serve(listener net.Listener) {
	s.listener = listener
	go func() { _ = s.http.Serve(listener) }()
}

func (s *Server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// Down refuses new connections and closes all open ones, except the connection
// that the request context ctx belongs to, so that the request that triggered it
// still gets its response.
func (s *Server) Down(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own, _ := ctx.Value(connKey{}).(net.Conn)
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
	for conn := range s.conns {
		if conn != own {
			_ = conn.Close()
		}
	}
}

// Up listens again on the same address, retrying for a few seconds while the
// address is in use. It does nothing when the server is already listening.
func (s *Server) Up() error {
	deadline := time.Now().Add(listenTimeout)
	for {
		err := s.tryUp()
		if err == nil || errors.Is(err, ErrClosed) || time.Now().After(deadline) {
			return err
		}
		time.Sleep(listenRetryInterval)
	}
}

func (s *Server) tryUp() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	if s.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return eris.Wrapf(err, "listen again on %s", s.address)
	}
	s.serve(listener)
	return nil
}

// Close stops the server permanently and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.http.Close()
}
