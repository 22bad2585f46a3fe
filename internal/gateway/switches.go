package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// News of servers that change weights, from the holder of the lease to those
// that must know: the owners of shards send such a server nothing meanwhile, and
// whoever may hold the lease next must not order one that was ordered just now.

const (
	// switchesPerDatagram keeps a datagram below maxDatagram.
	switchesPerDatagram = 30
	// heartbeatInterval is the least time between two words to all that the holder is at
	// work: without any for newsLife, others contend for the lease.
	heartbeatInterval = holderTimeout / 4
)

// switchUpdate tells other entries of a server that is about to take new
// weights, takes them, or has them.
type switchUpdate struct {
	Server  string `json:"server"`
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	// ForMS is how long the server is to be left alone; 0: it has the version.
	ForMS int64 `json:"for_ms"`
	// Ordered: the holder of the lease gives the order just now.
	Ordered bool `json:"ordered,omitempty"`
	// Withdrawn: nothing came of it.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// sendSwitchUpdates tells the other entries of servers that change weights. A few
// entries are all told by calls. Of many the next holders are, and the owners of
// shards by datagrams, each word twice, as one may be lost; the others learn a
// server's weights with its offer. Told by calls to 102 others, an entry of 0.144
// cores gave 30 orders a second at best.
func (g *Gateway) sendSwitchUpdates(ctx context.Context, news []switchUpdate) {
	if len(news) == 0 {
		return
	}
	g.applySwitches(news, false)
	if !g.sharded() {
		g.peers.postSwitches(ctx, g.peers.addresses(), news)
		return
	}
	g.peers.postSwitches(ctx, g.peers.nextHolders(), news)
	words := switchDatagrams(news)
	owners := g.ownerAddresses()
	g.sendTwice(ctx, owners, words)
}

// sendTwice sends words to all targets, and once more a little later.
func (g *Gateway) sendTwice(ctx context.Context, targets []*net.UDPAddr, words []*jayv1.Datagram) {
	send := func() {
		for _, word := range words {
			g.datagrams.trySendAll(targets, word)
		}
	}
	send()
	g.spawn(func() {
		sleep(ctx, rolloutInterval)
		send()
	})
}

// ownerAddresses are where the owners of all shards are told, this one left out.
func (g *Gateway) ownerAddresses() []*net.UDPAddr {
	var addresses []string
	for _, owner := range g.state.owners(time.Now()) {
		if owner.Name != g.settings.Node {
			addresses = append(addresses, owner.Address)
		}
	}
	return g.datagrams.addressesOf(addresses)
}

// sendHeartbeat shows all others that the holder is at work.
func (g *Gateway) sendHeartbeat() {
	g.datagrams.trySendAll(g.datagrams.addressesOf(g.peers.addresses()), &jayv1.Datagram{Body: &jayv1.Datagram_Switches{Switches: &jayv1.SwitchNews{}}})
}

// switchDatagrams packs news into datagrams.
func switchDatagrams(news []switchUpdate) []*jayv1.Datagram {
	var words []*jayv1.Datagram
	for len(news) > 0 {
		n := min(len(news), switchesPerDatagram)
		word := &jayv1.SwitchNews{}
		for _, one := range news[:n] {
			word.Switches = append(word.Switches, &jayv1.Switch{
				Server: nameHash(one.Server), Model: one.Model, Version: one.Version, ForMs: uint32(one.ForMS), //nolint:gosec // seconds
				Ordered: one.Ordered, Withdrawn: one.Withdrawn,
			})
		}
		words = append(words, &jayv1.Datagram{Body: &jayv1.Datagram_Switches{Switches: word}})
		news = news[n:]
	}
	return words
}

// receiveSwitches takes in news that came by datagram.
func (g *Gateway) receiveSwitches(word *jayv1.SwitchNews) {
	g.state.recordHolderActivity(time.Now())
	g.applySwitches(g.state.switchUpdatesOf(word), true)
}

// switchUpdatesOf are the news on servers that are listed.
func (s *state) switchUpdatesOf(word *jayv1.SwitchNews) []switchUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	byHash := s.list.ByHash(nameHash)
	var news []switchUpdate
	for _, one := range word.GetSwitches() {
		if b := byHash[one.GetServer()]; b != nil {
			news = append(news, switchUpdate{
				Server: b.ID, Model: one.GetModel(), Version: one.GetVersion(), ForMS: int64(one.GetForMs()),
				Ordered: one.GetOrdered(), Withdrawn: one.GetWithdrawn(),
			})
		}
	}
	return news
}

// postSwitches sends news to other entries, without waiting for them.
func (p *peers) postSwitches(ctx context.Context, addresses []string, news []switchUpdate) {
	for _, address := range addresses {
		go func() {
			if err := p.call(ctx, http.MethodPost, address, "/v1/switches", news, nil); err != nil {
				klog.V(1).InfoS("News not told", "entry", address, "err", err)
			}
		}()
	}
}

func (g *Gateway) handleSwitches(c echo.Context) error {
	var news []switchUpdate
	if err := c.Bind(&news); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	g.applySwitches(news, true)
	return c.NoContent(http.StatusNoContent)
}

func (g *Gateway) applySwitches(news []switchUpdate, ofOther bool) {
	now := time.Now()
	for _, n := range news {
		if n.Ordered && ofOther {
			g.state.recordOrder(now, n.Server)
		}
		if n.ForMS > 0 && ofOther {
			g.state.recordHolderActivity(now)
		}
		klog.V(1).InfoS("Switch told", "server", n.Server, "version", n.Version, "forMS", n.ForMS, "withdrawn", n.Withdrawn)
		switch {
		case n.Withdrawn:
			g.state.withdrawSwitch(n.Server)
		case n.ForMS > 0:
			g.state.announceSwitch(n.Server, n.Version, now.Add(time.Duration(n.ForMS)*time.Millisecond))
		default:
			g.state.observeVersion(n.Server, n.Model, n.Version, "entry")
		}
	}
}
