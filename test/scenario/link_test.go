package scenario_test

import (
	"net"
	"sync"
	"sync/atomic"
)

// maxDatagram is the largest UDP payload.
const maxDatagram = 1 << 16

// link is a UDP proxy between the entries and one agent that drops all datagrams while
// cut is set.
type link struct {
	front *net.UDPConn
	back  *net.UDPAddr
	cut   atomic.Bool

	mu    sync.Mutex
	peers map[string]*net.UDPConn
}

// newLink starts a proxy on a free port that forwards to the address back.
func newLink(back string) (*link, error) {
	to, err := net.ResolveUDPAddr("udp", back)
	if err != nil {
		return nil, err
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	l := &link{front: front, back: to, peers: map[string]*net.UDPConn{}}
	go l.forward()
	return l, nil
}

func (l *link) address() string { return l.front.LocalAddr().String() }

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.front.Close()
	for _, peer := range l.peers {
		_ = peer.Close()
	}
}

func (l *link) forward() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := l.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		peer, err := l.peer(from)
		if err == nil && !l.cut.Load() {
			_, _ = peer.Write(buffer[:n])
		}
	}
}

// peer returns the socket that represents one entry to the agent.
func (l *link) peer(from *net.UDPAddr) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if peer, ok := l.peers[from.String()]; ok {
		return peer, nil
	}
	peer, err := net.DialUDP("udp", nil, l.back)
	if err != nil {
		return nil, err
	}
	l.peers[from.String()] = peer
	go l.backward(peer, from)
	return peer, nil
}

func (l *link) backward(peer *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := peer.Read(buffer)
		if isClosed(err) {
			return
		}
		// An ICMP refusal is also a read error: the agent is not running, but may return.
		if err == nil && !l.cut.Load() {
			_, _ = l.front.WriteToUDP(buffer[:n], to)
		}
	}
}
