package main

import (
	"context"
	"fmt"
	"os"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/transport"
)

const (
	keyValidity = time.Hour
	// idleInterval is how long the CPU time of idle connections is measured.
	idleInterval = 6 * time.Second
)

func transportMeasurements() []measurement {
	return []measurement{
		{
			name: "connection_idle_bytes", xUnit: "connection", yUnit: "bytes of memory, both ends",
			counts:  doubled(16, 4),
			measure: func(n int) (float64, error) { return connectionMemory(n, 0) },
		},
		{
			name: "connection_open_bytes", xUnit: "connection with one stream", yUnit: "bytes of memory, both ends",
			counts:  doubled(16, 4),
			measure: func(n int) (float64, error) { return connectionMemory(n, 1) },
		},
		{
			name: "connection_handshake_bytes", xUnit: "connection", yUnit: "bytes to open it, both directions, headers included",
			counts: doubled(8, 4), measure: handshakeBytes,
		},
		{
			name: "connection_idle_cpu", xUnit: "connection", yUnit: "microseconds of CPU a second, both ends",
			counts: doubled(32, 4), measure: connectionIdleCPU,
		},
	}
}

// fleet is one client node and several server nodes in this process.
type fleet struct {
	client  *transport.Node
	servers []*transport.Node
	streams []*transport.Stream
	dir     string
}

func newFleet(n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir}
	authority, err := keys.NewAuthority(keyValidity)
	if err != nil {
		return nil, err
	}
	listen := func(role keys.Role, name string) (*transport.Node, error) {
		cert, err := authority.Issue(keys.Identity{Role: role, Name: name}, keyValidity)
		if err != nil {
			return nil, err
		}
		if err := cert.Save(dir); err != nil {
			return nil, err
		}
		creds, err := transport.LoadCredentials(dir)
		if err != nil {
			return nil, err
		}
		return transport.Listen(transport.Options{Address: "127.0.0.1:0"}, creds, serveStream)
	}
	if f.client, err = listen(keys.RoleEntry, "entry"); err != nil {
		return nil, err
	}
	for i := range n {
		server, err := listen(keys.RoleAgent, fmt.Sprintf("agent-%d", i))
		if err != nil {
			return nil, err
		}
		f.servers = append(f.servers, server)
	}
	return f, nil
}

// serveStream answers each frame until the peer ends the stream.
func serveStream(_ context.Context, _ keys.Identity, s *transport.Stream) {
	var in jayv1.ClientFrame
	for s.Receive(&in) == nil {
		if s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_Status{Status: &jayv1.ProcessStatus{Role: "agent"}}}) != nil {
			return
		}
	}
}

// connect opens a connection to every server and leaves the given number of streams
// open on each.
func (f *fleet) connect(streams int) error {
	for _, server := range f.servers {
		for i := range max(streams, 1) {
			s, err := f.client.Open(context.Background(), server.Address(), keys.RoleAgent)
			if err != nil {
				return err
			}
			if err := s.Send(&jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Status{Status: &jayv1.StatusQuery{}}}); err != nil {
				return err
			}
			if err := s.Receive(&jayv1.ServerFrame{}); err != nil {
				return err
			}
			if i >= streams {
				_ = s.CloseSend()
				continue
			}
			f.streams = append(f.streams, s)
		}
	}
	return nil
}

func (f *fleet) close() {
	_ = f.client.Close()
	for _, server := range f.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(f.dir)
}

func connectionMemory(n, streams int) (float64, error) {
	f, err := newFleet(n)
	if err != nil {
		return 0, err
	}
	defer f.close()
	return heapOf(func() (any, error) { return f, f.connect(streams) })
}

func connectionIdleCPU(n int) (float64, error) {
	f, err := newFleet(n)
	if err != nil {
		return 0, err
	}
	defer f.close()
	if err := f.connect(0); err != nil {
		return 0, err
	}
	before := cpuSeconds()
	time.Sleep(idleInterval)
	const microseconds = 1e6
	return (cpuSeconds() - before) / idleInterval.Seconds() * microseconds, nil
}

// handshakeBytes returns the bytes sent and received to open n connections, each with
// one small request.
func handshakeBytes(n int) (float64, error) {
	f, err := newFleet(n)
	if err != nil {
		return 0, err
	}
	defer f.close()
	if err := f.connect(0); err != nil {
		return 0, err
	}
	t := f.client.Traffic()
	return float64(t.BytesSent + t.BytesReceived + headersPerPacket*(t.PacketsSent+t.PacketsReceived)), nil
}
