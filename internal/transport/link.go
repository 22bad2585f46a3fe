package transport

import (
	"context"
	"net"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// link is a connection and the authenticated identity of its peer.
type link struct {
	conn *quic.Conn
	peer keys.Identity
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
	// Concurrent callers share one handshake with a timeout of its own, so that a caller whose
	// context ends doesn't fail the others.
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
		return nil, eris.Wrapf(err, "resolve address %q", address)
	}
	ctx, cancel := context.WithTimeout(n.ctx, n.options.DialTimeout)
	defer cancel()
	conn, err := n.quic.Dial(ctx, remote, n.creds.ClientTLS([]string{alpnProtocol}, roles...), n.quicConfig())
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", address)
	}
	l, err := n.addConnection(conn)
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

// retire excludes a link from new streams; open streams on it continue.
func (n *Node) retire(l *link) {
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
	return eris.Errorf("peer %s has a role that is not allowed, want one of %v", l.peer, roles)
}

func (n *Node) acceptLoop() {
	defer n.wg.Done()
	for {
		conn, err := n.listen.Accept(n.ctx)
		if err != nil {
			return
		}
		if _, err := n.addConnection(conn); err != nil {
			_ = conn.CloseWithError(1, "no identity")
		}
	}
}

// addConnection registers a connection and serves the streams that its peer opens.
func (n *Node) addConnection(conn *quic.Conn) (*link, error) {
	peer, err := keys.IdentityOf(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		return nil, err
	}
	l := &link{conn: conn, peer: peer}
	if !n.register(l) {
		_ = conn.CloseWithError(0, "closing")
		return nil, ErrClosed
	}
	context.AfterFunc(conn.Context(), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.links, l)
		n.closedTraffic.add(conn.ConnectionStats())
		if n.peers[peer] == l {
			delete(n.peers, peer)
		}
	})
	go n.serveLink(l)
	return l, nil
}

// register registers a connection and adds its serving goroutine to the wait group. It returns
// false if the node is closed.
//
// A shared handshake may outlive its callers and end while the node is being closed. Close
// calls markClosed under the same lock before it waits, so that no goroutine is added during
// the wait and no connection is left open.
func (n *Node) register(l *link) bool {
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
