package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	// hintInterval is how long hints are collected for one datagram. Until it is sent,
	// other entries do not know that a prefix is being computed.
	hintInterval = 20 * time.Millisecond
	// loadHintInterval is the least time between two hints on prompts that wait for
	// prefill.
	loadHintInterval = 100 * time.Millisecond
	// memoryHintInterval is the least time between two hints on the engine memory used by
	// this entry's requests, which use it for seconds.
	memoryHintInterval = 500 * time.Millisecond
	// shareHintInterval is the least time between two hints on the demand and use of
	// workspaces.
	shareHintInterval = 500 * time.Millisecond
	// hintBytesPerSecondPerPeer limits the hints to one other entry, maxHintBytesPerSecond
	// those to all of them. Four entries that sent 2 KB/s in all earned 0.776 of a day
	// with new weights, with 4 KB/s 0.796, with 8 KB/s no more.
	hintBytesPerSecondPerPeer = 1300
	maxHintBytesPerSecond     = 32 << 10
	// maxHintsBytes leaves room in a datagram for what surrounds the hints.
	maxHintsBytes = maxDatagramBytes - 16
	// hintBurst is the time for which unused bytes are accumulated.
	hintBurst = time.Second
	// factReserveBytes is how far facts on servers may overdraw the accumulated bytes, which
	// later hints then lack: a fact that waits costs refused requests at every entry. To
	// report 16 ended servers to 25 entries takes 2,600 bytes.
	factReserveBytes = 8 << 10
	// prefixBudgetShare is the share of the accumulated bytes that hints on load must leave
	// to prefixes. Without a hint, an entry estimates the load from its own requests.
	prefixBudgetShare = 0.5
	// maxUnshardedEntries is the number of entries up to which all entries send hints to
	// each other. With 20 and more, an overload was served worse by views from hints than by
	// owners of shards, who know each prompt (docs/design/0007-lost-engines.md).
	maxUnshardedEntries = 17
	// maxFlatEntries is the number of entries up to which each data centre has readers of
	// the store of its own: a second hop takes longer than short bounds on the age of data.
	maxFlatEntries = 26
)

// hints informs other entries of where prefixes are computed, and of the load and memory
// use of servers. It uses datagrams: a hint is worthless once it is late, and a lost one
// costs a repeated prefill.
type hints struct {
	gateway *Gateway
	// self identifies this entry in hints.
	self uint32

	mu      sync.Mutex
	targets []*net.UDPAddr
	// budget is the number of bytes that may be sent, refilled over time.
	budget       float64
	refilledAt   time.Time
	loadsSentAt  time.Time
	memorySentAt time.Time
	// handedOverAt is when this entry last passed on prefixes of its shards.
	handedOverAt  time.Time
	holdersSentAt time.Time
	sharesSentAt  time.Time
	// postponed holds the prefixes that the budget did not allow to be sent yet.
	postponed *jayv1.Hints
}

func newHints(g *Gateway) *hints {
	return &hints{gateway: g, self: nameHash(g.settings.Node), refilledAt: time.Now()}
}

// startHints starts sending hints if the datagram port is open.
func (g *Gateway) startHints(ctx context.Context) {
	if g.datagrams.conn != nil {
		g.spawn(func() { g.every(ctx, hintInterval, g.hints.send) })
	}
}

// setTargets sets the control addresses of the other entries.
func (h *hints) setTargets(addresses []string) {
	targets := h.gateway.datagrams.addressesOf(addresses)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets = targets
}

func (h *hints) send(now time.Time) {
	if h.gateway.sharded() {
		h.sendToOwners(now)
		return
	}
	h.mu.Lock()
	targets := h.targets
	rate := float64(min(hintBytesPerSecondPerPeer*len(targets), maxHintBytesPerSecond))
	full := rate * hintBurst.Seconds()
	h.budget = min(full, h.budget+rate*now.Sub(h.refilledAt).Seconds())
	h.refilledAt = now
	loadsDue := now.Sub(h.loadsSentAt) >= loadHintInterval
	memoryDue := now.Sub(h.memorySentAt) >= memoryHintInterval
	h.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	h.sendShares(now, targets)
	message := h.buildMessage(now, loadsDue, memoryDue)
	if message == nil {
		return
	}
	h.sendAll(now, message, targets, prefixBudgetShare*full)
}

// sendShares sends the demand and use of workspaces in a datagram of its own, so that a
// message with many prefixes is not too long for one.
func (h *hints) sendShares(now time.Time, targets []*net.UDPAddr) {
	h.mu.Lock()
	due := now.Sub(h.sharesSentAt) >= shareHintInterval
	h.mu.Unlock()
	if !due {
		return
	}
	s := h.gateway.state
	s.mu.Lock()
	message := s.shareHintsLocked(now, h.self)
	s.mu.Unlock()
	if message == nil {
		return
	}
	size := float64((proto.Size(message) + datagramOverheadBytes) * len(targets))
	h.mu.Lock()
	affordable := size <= h.budget
	if affordable {
		h.budget -= size
		h.sharesSentAt = now
	}
	h.mu.Unlock()
	if affordable {
		h.gateway.datagrams.trySendAll(targets, &jayv1.Datagram{Body: &jayv1.Datagram_Hints{Hints: message}})
		h.gateway.metrics.Count("hints", "shares sent", int64(len(targets)))
	}
}

// sendAll sends the message to all targets if the budget allows. Loads are left out if the
// message would use the reserve. If the rest still exceeds the budget, it is postponed.
func (h *hints) sendAll(now time.Time, message *jayv1.Hints, targets []*net.UDPAddr, reserve float64) {
	if proto.Size(message) > maxHintsBytes {
		h.sendFacts(message, targets)
	}
	size := (proto.Size(message) + datagramOverheadBytes) * len(targets)
	h.mu.Lock()
	if float64(size) > h.budget-reserve && len(message.GetLoadServer()) > 0 {
		message.LoadServer, message.LoadMs = nil, nil
		size = (proto.Size(message) + datagramOverheadBytes) * len(targets)
	}
	affordable := float64(size) <= h.budget && hasHints(message)
	if affordable {
		h.budget -= float64(size)
	}
	if len(message.GetLoadServer()) > 0 {
		h.loadsSentAt = now
	}
	if message.GetHasMemory() && affordable {
		h.memorySentAt = now
	}
	h.mu.Unlock()
	if !affordable {
		h.sendFacts(message, targets)
		h.postpone(message)
		return
	}
	datagram := &jayv1.Datagram{Body: &jayv1.Datagram_Hints{Hints: message}}
	h.gateway.datagrams.trySendAll(targets, datagram)
	h.gateway.metrics.Count("hints", "sent", int64(len(targets)))
}

// sendFacts sends the facts of a message that the budget does not allow, and takes them out
// of it.
func (h *hints) sendFacts(message *jayv1.Hints, targets []*net.UDPAddr) {
	if message.GetFacts() == nil {
		return
	}
	urgent := &jayv1.Hints{Entry: h.self, Facts: message.GetFacts()}
	message.Facts = nil
	size := float64((proto.Size(urgent) + datagramOverheadBytes) * len(targets))
	h.mu.Lock()
	affordable := size <= h.budget+factReserveBytes
	if affordable {
		h.budget -= size
	}
	h.mu.Unlock()
	if !affordable {
		h.gateway.metrics.Count("server_facts", "not sent", int64(factCount(urgent.GetFacts())))
		return
	}
	h.gateway.datagrams.trySendAll(targets, &jayv1.Datagram{Body: &jayv1.Datagram_Hints{Hints: urgent}})
	h.gateway.metrics.Count("hints", "sent", int64(len(targets)))
}

func hasHints(message *jayv1.Hints) bool {
	return len(message.GetPrefix())+len(message.GetLoadServer())+len(message.GetMemoryServer())+len(message.GetPlacedServer())+len(message.GetSaved())+len(message.GetUnreachedServer()) > 0 || message.GetFacts() != nil
}

// postpone keeps the prefixes of a message until the budget allows them to be sent.
func (h *hints) postpone(message *jayv1.Hints) {
	h.gateway.metrics.Count("hints", "postponed", int64(len(message.GetPrefix())))
	h.mu.Lock()
	defer h.mu.Unlock()
	message.LoadServer, message.LoadMs = nil, nil
	message.MemoryServer, message.MemoryKilotokens, message.HasMemory = nil, nil, false
	message.PlacedServer, message.PlacedKilotokens, message.PlacedReadMs = nil, nil, nil
	h.postponed = message
}

func nameHash(name string) uint32 { return uint32(xxh3.HashString(name)) } //nolint:gosec // the low half of a hash
