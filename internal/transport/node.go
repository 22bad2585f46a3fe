// Package transport carries typed messages between processes of the system, over QUIC with
// mutual TLS. It opens connections on demand, closes idle ones and authenticates peers; it
// never retries. A link is a QUIC connection to an authenticated peer.
package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// ErrNoConnection means that no connection to the peer is open.
var ErrNoConnection = errors.New("no connection to the peer")

// ErrClosed means that the node was closed.
var ErrClosed = errors.New("node is closed")

// Options configures a Node. Zero values select the defaults.
type Options struct {
	// Address to listen on, IP:port. The UDP socket also serves outgoing connections.
	Address string
	// DialTimeout bounds the handshake with a peer.
	DialTimeout time.Duration
	// LinkTimeout: a link counts as lost if neither a frame nor a heartbeat arrives on an open
	// stream for this long.
	LinkTimeout time.Duration
	// IdleTimeout: both ends drop a connection that carried no packet for this long, without
	// sending one.
	IdleTimeout time.Duration
	// MaxStreams is the number of streams that a peer may have open on a connection.
	MaxStreams int64
}

const (
	defaultDialTimeout = 2 * time.Second
	defaultLinkTimeout = 6 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultMaxStreams  = 10000
	// Receive windows in bytes: streamWindowBytes per stream, linkWindowBytes for all streams
	// of a connection. A caller that doesn't read fills the window of its stream. The window
	// of the connection is far larger, so that a few such callers don't block the other
	// responses from the same backend server. Memory is used only for data that was received
	// and not read.
	streamWindowBytes = 256 << 10
	linkWindowBytes   = 256 << 20
)

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.LinkTimeout == 0 {
		o.LinkTimeout = defaultLinkTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxStreams == 0 {
		o.MaxStreams = defaultMaxStreams
	}
	return o
}

// Handler serves one incoming stream. The stream is closed when the handler returns and must
// not be used afterwards.
type Handler func(ctx context.Context, peer keys.Identity, stream *Stream)

// Node holds all links of a process: one UDP socket, a listener and outgoing connections. The
// handler receives the streams that peers open, whichever side dialled the connection.
type Node struct {
	options Options
	creds   *Credentials
	handler Handler
	socket  *net.UDPConn
	quic    *quic.Transport
	listen  *quic.Listener
	ctx     context.Context
	cancel  context.CancelFunc
	dialing singleflight.Group
	// Stats counts the frames of all streams of the node.
	Stats Stats

	mu            sync.Mutex
	dialed        map[string]*link        // by address
	peers         map[keys.Identity]*link // latest connection of each peer
	links         map[*link]struct{}      // every open connection
	closedTraffic Traffic                 // of closed connections
	// closed: new connections are rejected.
	closed bool
	wg     sync.WaitGroup
}

// Traffic counts what a node's connections carried, including QUIC's own packets.
type Traffic struct {
	BytesSent, PacketsSent         uint64
	BytesReceived, PacketsReceived uint64
}

func (t *Traffic) add(s quic.ConnectionStats) {
	t.BytesSent += s.BytesSent
	t.PacketsSent += s.PacketsSent
	t.BytesReceived += s.BytesReceived
	t.PacketsReceived += s.PacketsReceived
}

// Listen opens the node's socket and starts to accept connections from peers whose certificate
// is issued by the authority for the role entry or agent.
func Listen(options Options, creds *Credentials, handler Handler) (*Node, error) {
	options = options.withDefaults()
	address, err := net.ResolveUDPAddr("udp", options.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "resolve listen address %q", options.Address)
	}
	reset, err := creds.resetKey()
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", options.Address)
	}
	n := &Node{
		options: options, creds: creds, handler: handler, socket: socket,
		quic:   &quic.Transport{Conn: socket, StatelessResetKey: reset},
		dialed: map[string]*link{}, peers: map[keys.Identity]*link{},
		links: map[*link]struct{}{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	serverTLS := creds.ServerTLS([]string{alpnProtocol}, keys.RoleEntry, keys.RoleAgent)
	n.listen, err = n.quic.Listen(serverTLS, n.quicConfig())
	if err != nil {
		return nil, eris.Wrap(err, "start QUIC listener")
	}
	n.wg.Add(1)
	go n.acceptLoop()
	return n, nil
}

func (n *Node) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: n.options.DialTimeout,
		MaxIdleTimeout:       n.options.IdleTimeout,
		MaxIncomingStreams:   n.options.MaxStreams,
		// Path MTU discovery sends about ten packets of up to 1.4 KB on each new connection, more
		// than the bandwidth that a node may use for control in several seconds.
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         streamWindowBytes,
		InitialConnectionReceiveWindow: linkWindowBytes,
		MaxConnectionReceiveWindow:     linkWindowBytes,

		// 0-RTT data can be replayed by the network.
		Allow0RTT: false,
	}
}

// Address returns the local address of the socket.
func (n *Node) Address() string { return n.socket.LocalAddr().String() }

// Open opens a stream to the process at the address, which must have one of the roles. It
// dials if there is no connection yet.
func (n *Node) Open(ctx context.Context, address string, roles ...keys.Role) (*Stream, error) {
	l, err := n.dial(ctx, address, roles)
	if err != nil {
		return nil, err
	}
	return n.openOn(ctx, l)
}

// Connect dials the process at the address, which must have one of the roles, unless there is
// a connection already.
func (n *Node) Connect(ctx context.Context, address string, roles ...keys.Role) error {
	_, err := n.dial(ctx, address, roles)
	return err
}

// OpenPeer opens a stream on the open connection of a peer, whichever side dialled it. It
// returns ErrNoConnection if there is none.
func (n *Node) OpenPeer(ctx context.Context, peer keys.Identity) (*Stream, error) {
	n.mu.Lock()
	l := n.peers[peer]
	n.mu.Unlock()
	if l == nil {
		return nil, ErrNoConnection
	}
	return n.openOn(ctx, l)
}

// Peers returns the identities of peers with an open connection.
func (n *Node) Peers() []keys.Identity {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := make([]keys.Identity, 0, len(n.peers))
	for peer := range n.peers {
		peers = append(peers, peer)
	}
	return peers
}

// Traffic returns what all connections of the node carried so far, without UDP and IP headers
// (28 bytes per packet over IPv4).
func (n *Node) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := n.closedTraffic
	for l := range n.links {
		total.add(l.conn.ConnectionStats())
	}
	return total
}

// Close closes all connections and waits for the handlers.
func (n *Node) Close() error {
	n.cancel()
	for _, l := range n.markClosed() {
		_ = l.conn.CloseWithError(0, "closing")
	}
	_ = n.listen.Close()
	err := n.quic.Close()
	_ = n.socket.Close()
	n.wg.Wait()
	return err
}

// markClosed makes the node reject new connections and returns the open ones.
func (n *Node) markClosed() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	open := make([]*link, 0, len(n.links))
	for l := range n.links {
		open = append(open, l)
	}
	return open
}
