// Package transport carries typed messages between the system's own processes
// over QUIC with mutual TLS. It opens connections on use, closes idle ones and
// knows who the peer is; it never retries and decides nothing.
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

// ErrNoConnection means that no connection to the named peer is open.
var ErrNoConnection = errors.New("no connection to the peer")

// ErrClosed means that the node was closed.
var ErrClosed = errors.New("node is closed")

// Options of a node. Zero values take the defaults.
type Options struct {
	// Address to listen on, IP:port; one UDP socket serves both directions.
	Address string
	// DialTimeout bounds the handshake with a peer that may be gone.
	DialTimeout time.Duration
	// LinkTimeout without a frame or heartbeat on an open stream means that the
	// link is lost.
	LinkTimeout time.Duration
	// IdleTimeout: a connection without any packet for this long is dropped by
	// both ends, which costs no packet.
	IdleTimeout time.Duration
	// MaxStreams that a peer may have open at once on a connection.
	MaxStreams int64
}

const (
	defaultDialTimeout = 2 * time.Second
	defaultLinkTimeout = 6 * time.Second
	defaultIdleClose   = 30 * time.Second
	defaultMaxStreams  = 10000
	// streamWindow bounds what a peer may send ahead on one stream, linkWindow
	// on all streams of a connection. A caller that does not read fills its
	// stream's window; were the link's not far larger, a few such callers would
	// stop every other answer from the same backend server. The memory is only
	// taken by what is really held up.
	streamWindow = 256 << 10
	linkWindow   = 256 << 20
)

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.LinkTimeout == 0 {
		o.LinkTimeout = defaultLinkTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleClose
	}
	if o.MaxStreams == 0 {
		o.MaxStreams = defaultMaxStreams
	}
	return o
}

// Handler serves one incoming stream. The stream is ended when it returns, and
// nothing may use it afterwards.
type Handler func(ctx context.Context, peer keys.Identity, stream *Stream)

// Node is a process's end of all its links: one UDP socket, a listener and the
// connections it dialled. Streams that peers open arrive at the handler,
// whoever dialled the connection.
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
	// Stats of all streams of the node.
	Stats Stats

	mu     sync.Mutex
	dialed map[string]*link        // by address
	peers  map[keys.Identity]*link // latest connection of each peer
	links  map[*link]struct{}      // every open connection
	past   Traffic                 // of connections that are over
	// closed: no connection is taken in any more.
	closed bool
	wg     sync.WaitGroup
}

// Traffic is what a node's connections carried, QUIC's own packets included.
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

type link struct {
	conn *quic.Conn
	peer keys.Identity
}

// Listen opens the node's socket and starts to accept. Peers need a
// certificate of the authority with role entry or agent.
func Listen(options Options, creds *Credentials, handler Handler) (*Node, error) {
	options = options.withDefaults()
	address, err := net.ResolveUDPAddr("udp", options.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen address %q", options.Address)
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
	serverTLS := creds.ServerTLS([]string{nextProto}, keys.RoleEntry, keys.RoleAgent)
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
		// A search for the largest packet sends some ten packets of up to 1.4 KB
		// on each new connection, more than a node may spend on control in seconds.
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: linkWindow,
		MaxConnectionReceiveWindow:     linkWindow,

		// 0-RTT data can be replayed by the network.
		Allow0RTT: false,
	}
}

// Address is the socket's own address.
func (n *Node) Address() string { return n.socket.LocalAddr().String() }

// Open opens a stream to the process at the address, which must show one of the roles.
func (n *Node) Open(ctx context.Context, address string, roles ...keys.Role) (*Stream, error) {
	l, err := n.dial(ctx, address, roles)
	if err != nil {
		return nil, err
	}
	return n.openOn(ctx, l)
}

// OpenPeer opens a stream on the open connection of a peer, whoever dialled it.
func (n *Node) OpenPeer(ctx context.Context, peer keys.Identity) (*Stream, error) {
	n.mu.Lock()
	l := n.peers[peer]
	n.mu.Unlock()
	if l == nil {
		return nil, ErrNoConnection
	}
	return n.openOn(ctx, l)
}

// Peers lists the identities with an open connection.
func (n *Node) Peers() []keys.Identity {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := make([]keys.Identity, 0, len(n.peers))
	for peer := range n.peers {
		peers = append(peers, peer)
	}
	return peers
}

// Traffic returns what all connections of the node carried so far. UDP and IP
// headers are not in it: 28 bytes a packet over IPv4.
func (n *Node) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := n.past
	for l := range n.links {
		total.add(l.conn.ConnectionStats())
	}
	return total
}

// Close cuts all connections and waits for the handlers.
func (n *Node) Close() error {
	n.cancel()
	for _, l := range n.shut() {
		_ = l.conn.CloseWithError(0, "closing")
	}
	_ = n.listen.Close()
	err := n.quic.Close()
	_ = n.socket.Close()
	n.wg.Wait()
	return err
}

// shut takes no connection in from now on and returns those that are open.
func (n *Node) shut() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	open := make([]*link, 0, len(n.links))
	for l := range n.links {
		open = append(open, l)
	}
	return open
}

func (n *Node) openOn(ctx context.Context, l *link) (*Stream, error) {
	s, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, eris.Wrapf(err, "open stream to %s", l.peer)
	}
	return newStream(n, l, s), nil
}

func (n *Node) dial(ctx context.Context, address string, roles []keys.Role) (*link, error) {
	n.mu.Lock()
	l := n.dialed[address]
	n.mu.Unlock()
	if l != nil && l.conn.Context().Err() == nil {
		return l, checkRole(l, roles)
	}
	// Callers that come together share one handshake, bounded by its own
	// timeout: the first caller giving up must not fail the others.
	done := n.dialing.DoChan(address, func() (any, error) { return n.handshake(address, roles) })
	select {
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "dial %s", address)
	case result := <-done:
		if result.Err != nil {
			return nil, result.Err
		}
		l = result.Val.(*link)
		return l, checkRole(l, roles)
	}
}

func (n *Node) handshake(address string, roles []keys.Role) (*link, error) {
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "address %q", address)
	}
	ctx, cancel := context.WithTimeout(n.ctx, n.options.DialTimeout)
	defer cancel()
	conn, err := n.quic.Dial(ctx, remote, n.creds.ClientTLS([]string{nextProto}, roles...), n.quicConfig())
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", address)
	}
	l, err := n.adopt(conn)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.dialed[address] = l
	n.mu.Unlock()
	context.AfterFunc(conn.Context(), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.dialed[address] == l {
			delete(n.dialed, address)
		}
	})
	return l, nil
}

// forget keeps new streams off a link; those that are open on it stay.
func (n *Node) forget(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, known := range n.dialed {
		if known == l {
			delete(n.dialed, address)
		}
	}
	if n.peers[l.peer] == l {
		delete(n.peers, l.peer)
	}
}

func checkRole(l *link, roles []keys.Role) error {
	for _, role := range roles {
		if l.peer.Role == role {
			return nil
		}
	}
	return eris.Errorf("%s has the wrong role, want one of %v", l.peer, roles)
}

func (n *Node) acceptLoop() {
	defer n.wg.Done()
	for {
		conn, err := n.listen.Accept(n.ctx)
		if err != nil {
			return
		}
		if _, err := n.adopt(conn); err != nil {
			_ = conn.CloseWithError(1, "no identity")
		}
	}
}

// adopt registers a connection and serves the streams that its peer opens.
func (n *Node) adopt(conn *quic.Conn) (*link, error) {
	peer, err := keys.IdentityOf(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		return nil, err
	}
	l := &link{conn: conn, peer: peer}
	if !n.enter(l) {
		_ = conn.CloseWithError(0, "closing")
		return nil, ErrClosed
	}
	context.AfterFunc(conn.Context(), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.links, l)
		n.past.add(conn.ConnectionStats())
		if n.peers[peer] == l {
			delete(n.peers, peer)
		}
	})
	go n.serveLink(l)
	return l, nil
}

// enter registers a connection and counts its server in, unless the node is
// closed.
//
// A handshake that callers share goes on after they have gone, and may end
// just as the node is closed. Counted in after Close had begun to wait, its
// streams' handlers would outlive the process's end, and nobody would close the
// connection. Close shuts the node under the same lock before it waits.
func (n *Node) enter(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.peers[l.peer] = l
	n.links[l] = struct{}{}
	n.wg.Add(1)
	return true
}

func (n *Node) serveLink(l *link) {
	defer n.wg.Done()
	for {
		s, err := l.conn.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		n.wg.Add(1)
		go func() {
			defer n.wg.Done()
			stream := newStream(n, l, s)
			n.handler(s.Context(), l.peer, stream)
			stream.finish()
		}()
	}
}
