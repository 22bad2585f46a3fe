package transport_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// udpProxy forwards datagrams between one client and a server. After dropAll it discards them.
type udpProxy struct {
	front    *net.UDPConn
	back     *net.UDPConn
	dropping atomic.Bool

	mu     sync.Mutex
	client *net.UDPAddr
}

func newUDPProxy(t *testing.T, server string) *udpProxy {
	t.Helper()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	target, err := net.ResolveUDPAddr("udp", server)
	require.NoError(t, err)
	back, err := net.DialUDP("udp", nil, target)
	require.NoError(t, err)
	r := &udpProxy{front: front, back: back}
	go r.toServer()
	go r.toClient()
	t.Cleanup(func() {
		_ = front.Close()
		_ = back.Close()
	})
	return r
}

func (r *udpProxy) address() string { return r.front.LocalAddr().String() }

func (r *udpProxy) dropAll() { r.dropping.Store(true) }

func (r *udpProxy) toServer() {
	buffer := make([]byte, 65536)
	for {
		n, from, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.client = from
		r.mu.Unlock()
		if !r.dropping.Load() {
			_, _ = r.back.Write(buffer[:n])
		}
	}
}

func (r *udpProxy) toClient() {
	buffer := make([]byte, 65536)
	for {
		n, err := r.back.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		client := r.client
		r.mu.Unlock()
		if client != nil && !r.dropping.Load() {
			_, _ = r.front.WriteToUDP(buffer[:n], client)
		}
	}
}
