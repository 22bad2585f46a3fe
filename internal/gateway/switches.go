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

// The holder of the lease sends updates on servers that change weights. Owners of shards
// send no requests to such a server meanwhile, and the next holder must not order a server
// again that was ordered a moment ago.

const (
	// switchesPerDatagram keeps a datagram below maxDatagramBytes.
	switchesPerDatagram = 30
	// heartbeatInterval is the least time between two heartbeats of the holder. After
	// holderTimeout without one, other entries contend for the lease.
	heartbeatInterval = holderTimeout / 4
)

// switchUpdate informs other entries that a server is about to load new weights, loads
// them, or has them.
type switchUpdate struct {
	Server  string `json:"server"`
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	// ForMS is how long the server should get no requests; 0: it has the version.
	ForMS int64 `json:"for_ms"`
	// Ordered: the holder of the lease is sending the load order.
	Ordered bool `json:"ordered,omitempty"`
	// Withdrawn: the announced change will not take place.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// sendSwitchUpdates sends updates to the other entries. In a small fleet all of them get
// HTTP calls, and a datagram each: a call takes a busy entry longer than the 120 ms for
// which a server gets no requests before its order. In a large one the next holders do: with calls to 102 others an entry of 0.144
// cores sent 30 orders a second at best. Owners of shards get datagrams, each twice in case one is lost. The others
// learn a server's weights from offers.
func (g *Gateway) sendSwitchUpdates(ctx context.Context, updates []switchUpdate) {
	if len(updates) == 0 {
		return
	}
	g.applySwitches(updates, false)
	datagrams := switchDatagrams(updates)
	if !g.sharded() {
		g.sendToEntries(datagrams)
		g.peers.postSwitches(ctx, g.peers.addresses(), updates)
		return
	}
	g.peers.postSwitches(ctx, g.peers.nextHolders(), updates)
	owners := g.ownerAddresses()
	g.sendTwice(ctx, owners, datagrams)
}

// sendToEntries sends datagrams to all other entries.
func (g *Gateway) sendToEntries(datagrams []*jayv1.Datagram) {
	if g.datagrams.conn == nil {
		return
	}
	targets := g.datagrams.addressesOf(g.peers.addresses())
	for _, datagram := range datagrams {
		g.datagrams.trySendAll(targets, datagram)
	}
}

// sendTwice sends datagrams to all targets, and once more after rolloutInterval.
func (g *Gateway) sendTwice(ctx context.Context, targets []*net.UDPAddr, datagrams []*jayv1.Datagram) {
	send := func() {
		for _, datagram := range datagrams {
			g.datagrams.trySendAll(targets, datagram)
		}
	}
	send()
	g.spawn(func() {
		sleep(ctx, rolloutInterval)
		send()
	})
}

// ownerAddresses returns the datagram addresses of the owners of all shards, without this
// entry.
func (g *Gateway) ownerAddresses() []*net.UDPAddr {
	var addresses []string
	for _, owner := range g.state.owners(time.Now()) {
		if owner.Name != g.settings.Node {
			addresses = append(addresses, owner.Address)
		}
	}
	return g.datagrams.addressesOf(addresses)
}

// sendHeartbeat shows all other entries that this holder is active.
func (g *Gateway) sendHeartbeat() {
	g.datagrams.trySendAll(g.datagrams.addressesOf(g.peers.addresses()), &jayv1.Datagram{Body: &jayv1.Datagram_Switches{Switches: &jayv1.SwitchNews{}}})
}

// switchDatagrams packs updates into datagrams.
func switchDatagrams(updates []switchUpdate) []*jayv1.Datagram {
	var datagrams []*jayv1.Datagram
	for len(updates) > 0 {
		n := min(len(updates), switchesPerDatagram)
		message := &jayv1.SwitchNews{}
		for _, one := range updates[:n] {
			message.Switches = append(message.Switches, &jayv1.Switch{
				Server: nameHash(one.Server), Model: one.Model, Version: one.Version, ForMs: uint32(one.ForMS), //nolint:gosec // a few seconds
				Ordered: one.Ordered, Withdrawn: one.Withdrawn,
			})
		}
		datagrams = append(datagrams, &jayv1.Datagram{Body: &jayv1.Datagram_Switches{Switches: message}})
		updates = updates[n:]
	}
	return datagrams
}

// receiveSwitches applies updates received by datagram.
func (g *Gateway) receiveSwitches(message *jayv1.SwitchNews) {
	g.state.recordHolderActivity(time.Now())
	g.applySwitches(g.state.switchUpdatesOf(message), true)
}

// switchUpdatesOf decodes the updates on servers that are listed.
func (s *state) switchUpdatesOf(message *jayv1.SwitchNews) []switchUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	byHash := s.list.ByHash(nameHash)
	var updates []switchUpdate
	for _, one := range message.GetSwitches() {
		if b := byHash[one.GetServer()]; b != nil {
			updates = append(updates, switchUpdate{
				Server: b.ID, Model: one.GetModel(), Version: one.GetVersion(), ForMS: int64(one.GetForMs()),
				Ordered: one.GetOrdered(), Withdrawn: one.GetWithdrawn(),
			})
		}
	}
	return updates
}

// postSwitches sends updates to other entries by HTTP, without waiting for their responses.
func (p *peers) postSwitches(ctx context.Context, addresses []string, updates []switchUpdate) {
	for _, address := range addresses {
		go func() {
			if err := p.call(ctx, http.MethodPost, address, "/v1/switches", updates, nil); err != nil {
				klog.V(1).InfoS("Switch updates not sent", "entry", address, "err", err)
			}
		}()
	}
}

func (g *Gateway) handleSwitches(c echo.Context) error {
	var updates []switchUpdate
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxPeerResponseBytes)
	if err := c.Bind(&updates); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	g.applySwitches(updates, true)
	return c.NoContent(http.StatusNoContent)
}

func (g *Gateway) applySwitches(updates []switchUpdate, fromOther bool) {
	now := time.Now()
	for _, update := range updates {
		if update.Ordered && fromOther {
			g.state.recordOrder(now, update.Server)
		}
		if update.ForMS > 0 && fromOther {
			g.state.recordHolderActivity(now)
		}
		klog.V(1).InfoS("Switch update applied", "server", update.Server, "version", update.Version, "forMS", update.ForMS, "withdrawn", update.Withdrawn)
		switch {
		case update.ForMS > 0 && update.Version <= g.state.versionOf(update.Server, update.Model):
			// The update comes late: the server has loaded the version. Applied, it would keep
			// requests away from it.
		case update.Withdrawn:
			g.state.withdrawSwitch(update.Server)
		case update.ForMS > 0 && update.Ordered:
			g.state.recordLoad(now, &update)
		case update.ForMS > 0:
			g.state.announceSwitch(update.Server, update.Version, now.Add(time.Duration(update.ForMS)*time.Millisecond))
		default:
			g.state.observeVersion(update.Server, update.Model, update.Version, "entry")
		}
	}
}
