package cluster

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// sockets holds the callers' sockets of the entries, as a supervisor on each VM
// does: an entry keeps its address while its process is killed and started
// again, no other process can come by it meanwhile, and whoever connects in
// between waits for the next process.
type sockets struct {
	mu  sync.Mutex
	all map[string]*net.TCPListener
}

func newSockets() *sockets { return &sockets{all: map[string]*net.TCPListener{}} }

// listener returns a listener of its own on the entry's socket, which a process
// may close; the socket stays.
func (s *sockets) listener(entry string) (net.Listener, error) {
	held, err := s.held(entry)
	if err != nil {
		return nil, err
	}
	file, err := held.File()
	if err != nil {
		return nil, eris.Wrapf(err, "duplicate the socket of %s", entry)
	}
	defer func() { _ = file.Close() }()
	listener, err := net.FileListener(file)
	return listener, eris.Wrapf(err, "listen on the socket of %s", entry)
}

func (s *sockets) held(entry string) (*net.TCPListener, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.all[entry]; held != nil {
		return held, nil
	}
	opened, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, eris.Wrapf(err, "open a socket for %s", entry)
	}
	s.all[entry] = opened
	return opened, nil
}

func (s *sockets) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.all {
		_ = held.Close()
	}
}
