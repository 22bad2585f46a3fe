package cluster

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// sockets holds the callers' sockets of the entries open, as a supervisor on each VM
// does. An entry thus keeps its address when its process is killed and started
// again, and connections made in between wait for the next process.
type sockets struct {
	mu  sync.Mutex
	all map[string]*net.TCPListener
}

func newSockets() *sockets { return &sockets{all: map[string]*net.TCPListener{}} }

// listener returns a duplicate listener on the entry's socket. Closing it leaves the
// socket itself open.
func (s *sockets) listener(entry string) (net.Listener, error) {
	socket, err := s.socket(entry)
	if err != nil {
		return nil, err
	}
	file, err := socket.File()
	if err != nil {
		return nil, eris.Wrapf(err, "duplicate the socket of %s", entry)
	}
	defer func() { _ = file.Close() }()
	listener, err := net.FileListener(file)
	return listener, eris.Wrapf(err, "listen on the socket of %s", entry)
}

func (s *sockets) socket(entry string) (*net.TCPListener, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if socket := s.all[entry]; socket != nil {
		return socket, nil
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
	for _, socket := range s.all {
		_ = socket.Close()
	}
}
