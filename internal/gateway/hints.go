package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/routing"
)

const (
	// hintPause collects hints for one datagram. It bounds how long another
	// entry does not know that a prefix is being read.
	hintPause = 20 * time.Millisecond
	// loadPause is the least time between two words on our unread prompts.
	loadPause = 100 * time.Millisecond
	// memoryPause is the least time between two words on the memory that our
	// requests take: they take it for seconds.
	memoryPause = 500 * time.Millisecond
	// hintBytesPerPeer a second is what all hints to one other entry may take,
	// hintBytesAtMost what those to all of them may. Four entries that told 2 KB/s
	// in all earned 0.776 of a day with new weights, with 4 KB/s 0.796, with 8 KB/s 0.791.
	hintBytesPerPeer = 1300
	hintBytesAtMost  = 32 << 10
	// hintBurst is for how long unused bytes are saved up.
	hintBurst = time.Second
	// prefixReserve, a share of the saved bytes, is kept for prefixes: what waits where
	// is guessed from our own requests when it is not told.
	prefixReserve = 0.5
	// tellAllAtMost entries tell each other all: with more, what one may send
	// leaves less than hintBytesPerPeer for each of the others.
	tellAllAtMost = hintBytesAtMost/hintBytesPerPeer + 1
)

// hints tells other entries where prefixes are read and what waits where.
// Datagrams, not streams: a hint is worth nothing once it is late, and a lost
// one costs a prompt that is read again.
type hints struct {
	gateway *Gateway
	self    uint32

	mu      sync.Mutex
	targets []*net.UDPAddr
	// budget of bytes, filled over time.
	budget   float64
	filledAt time.Time
	loadsAt  time.Time
	memoryAt time.Time
	// waiting are prefixes that the budget did not allow to tell yet.
	waiting *jayv1.Hints
}

// startHints begins to tell, where the port for datagrams is open.
func (g *Gateway) startHints(ctx context.Context) {
	g.hints = &hints{gateway: g, self: uint32(xxh3.HashString(g.settings.Node)), filledAt: time.Now()} //nolint:gosec // the low half of a hash
	if g.datagrams.conn != nil {
		g.spawn(func() { g.every(ctx, hintPause, g.hints.send) })
	}
}

// setEntries tells where the other entries are.
func (h *hints) setEntries(addresses []string) {
	targets := h.gateway.datagrams.addressesOf(addresses)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets = targets
}

func (h *hints) send(now time.Time) {
	if h.gateway.sharded() {
		return
	}
	h.mu.Lock()
	targets := h.targets
	rate := float64(min(hintBytesPerPeer*len(targets), hintBytesAtMost))
	full := rate * hintBurst.Seconds()
	h.budget = min(full, h.budget+rate*now.Sub(h.filledAt).Seconds())
	h.filledAt = now
	loadsDue := now.Sub(h.loadsAt) >= loadPause
	memoryDue := now.Sub(h.memoryAt) >= memoryPause
	h.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	message := h.message(loadsDue, memoryDue)
	if message == nil {
		return
	}
	h.sendAll(now, message, targets, prefixReserve*full)
}

// message is what there is to tell; nil when nothing.
func (h *hints) message(loadsDue, memoryDue bool) *jayv1.Hints {
	s := h.gateway.state
	s.mu.Lock()
	news, placed, saved := s.router.TakePrefixHints(), s.router.TakePlacedHints(), s.router.TakeSavedParts()
	var loads []routing.LoadHint
	if loadsDue {
		loads = s.router.LoadHints()
	}
	var memory []routing.MemoryHint
	if memoryDue {
		memory = s.router.MemoryHints()
	}
	s.mu.Unlock()
	h.mu.Lock()
	message := h.waiting
	h.waiting = nil
	h.mu.Unlock()
	if message == nil && len(news) == 0 && len(loads) == 0 && len(memory) == 0 && len(placed) == 0 && len(saved) == 0 {
		return nil
	}
	if message == nil {
		message = &jayv1.Hints{Entry: h.self}
	}
	for _, n := range news {
		message.Prefix = append(message.Prefix, n.Prefix)
		message.PrefixServer = append(message.PrefixServer, nameHash(n.Server))
		message.PrefixReadyMs = append(message.PrefixReadyMs, uint32(n.ReadyIn.Milliseconds())) //nolint:gosec // below a minute
	}
	message.Saved = append(message.Saved, saved...)
	for _, l := range loads {
		message.LoadServer = append(message.LoadServer, nameHash(l.Server))
		message.LoadMs = append(message.LoadMs, uint32(l.PrefillMS))
	}
	message.HasMemory = len(memory) > 0
	for _, m := range memory {
		message.MemoryServer = append(message.MemoryServer, nameHash(m.Server))
		message.MemoryKilotokens = append(message.MemoryKilotokens, kilotokens(m.Tokens))
	}
	for _, one := range placed {
		message.PlacedServer = append(message.PlacedServer, nameHash(one.Server))
		message.PlacedKilotokens = append(message.PlacedKilotokens, kilotokens(one.Tokens))
		message.PlacedReadMs = append(message.PlacedReadMs, uint32(one.PrefillMS))
	}
	return message
}

// kilo is the unit in which memory is told.
const kilo = 1000

func kilotokens(tokens int) uint32 { return uint32((tokens + kilo/2) / kilo) } //nolint:gosec // an engine's memory

func nameHash(name string) uint32 { return uint32(xxh3.HashString(name)) } //nolint:gosec // the low half of a hash

// sendAll sends the message to every entry, as far as the budget reaches:
// without loads first, then not at all.
func (h *hints) sendAll(now time.Time, message *jayv1.Hints, targets []*net.UDPAddr, reserve float64) {
	size := (proto.Size(message) + overheadBytes) * len(targets)
	h.mu.Lock()
	if float64(size) > h.budget-reserve && len(message.GetLoadServer()) > 0 {
		message.LoadServer, message.LoadMs = nil, nil
		size = (proto.Size(message) + overheadBytes) * len(targets)
	}
	affordable := float64(size) <= h.budget && worthSending(message)
	if affordable {
		h.budget -= float64(size)
	}
	if len(message.GetLoadServer()) > 0 {
		h.loadsAt = now
	}
	if message.GetHasMemory() && affordable {
		h.memoryAt = now
	}
	h.mu.Unlock()
	if !affordable {
		h.postpone(message)
		return
	}
	word := &jayv1.Datagram{Body: &jayv1.Datagram_Hints{Hints: message}}
	h.gateway.datagrams.tellAll(targets, word)
	h.gateway.metrics.Count("hints", "sent", int64(len(targets)))
}

func worthSending(message *jayv1.Hints) bool {
	return len(message.GetPrefix())+len(message.GetLoadServer())+len(message.GetMemoryServer())+len(message.GetPlacedServer())+len(message.GetSaved()) > 0
}

// postpone keeps prefixes until the budget allows to tell them.
func (h *hints) postpone(message *jayv1.Hints) {
	h.gateway.metrics.Count("hints", "postponed", int64(len(message.GetPrefix())))
	h.mu.Lock()
	defer h.mu.Unlock()
	message.LoadServer, message.LoadMs = nil, nil
	message.MemoryServer, message.MemoryKilotokens, message.HasMemory = nil, nil, false
	message.PlacedServer, message.PlacedKilotokens, message.PlacedReadMs = nil, nil, nil
	h.waiting = message
}

func (h *hints) take(message *jayv1.Hints) {
	servers, ready := message.GetPrefixServer(), message.GetPrefixReadyMs()
	if len(servers) != len(message.GetPrefix()) || len(ready) != len(servers) || !sameLengths(message) {
		h.gateway.metrics.Count("hints", "malformed", 1)
		return
	}
	s := h.gateway.state
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	byHash := s.list.ByHash(nameHash)
	var prefixes []routing.PrefixHint
	for i, key := range message.GetPrefix() {
		if b := byHash[servers[i]]; b != nil {
			prefixes = append(prefixes, routing.PrefixHint{Prefix: key, Server: b.ID, Address: b.Address, ReadyIn: time.Duration(ready[i]) * time.Millisecond})
		}
	}
	s.router.ReceivePrefixHints(now, prefixes)
	s.router.ReceiveSavedParts(now, message.GetSaved())
	if message.GetHasMemory() {
		s.router.ReceiveMemoryHints(now, message.GetEntry(), memoryOf(message, byHash))
	}
	s.router.ReceivePlacedHints(now, message.GetEntry(), placedOf(message, byHash))
	if len(message.GetLoadServer()) == 0 {
		return
	}
	var loads []routing.LoadHint
	for i, hash := range message.GetLoadServer() {
		if b := byHash[hash]; b != nil {
			loads = append(loads, routing.LoadHint{Server: b.ID, PrefillMS: float64(message.GetLoadMs()[i])})
		}
	}
	s.router.ReceiveLoadHints(now, message.GetEntry(), loads)
}

// sameLengths tells whether the lists that belong together are of one length.
func sameLengths(message *jayv1.Hints) bool {
	placed := len(message.GetPlacedServer())
	return len(message.GetLoadMs()) == len(message.GetLoadServer()) && len(message.GetMemoryKilotokens()) == len(message.GetMemoryServer()) &&
		len(message.GetPlacedKilotokens()) == placed && len(message.GetPlacedReadMs()) == placed
}

func memoryOf(message *jayv1.Hints, byHash map[uint32]*fleet.Backend) []routing.MemoryHint {
	var hints []routing.MemoryHint
	for i, hash := range message.GetMemoryServer() {
		if b := byHash[hash]; b != nil {
			hints = append(hints, routing.MemoryHint{Server: b.ID, Tokens: int(message.GetMemoryKilotokens()[i]) * kilo})
		}
	}
	return hints
}

func placedOf(message *jayv1.Hints, byHash map[uint32]*fleet.Backend) []routing.PlacedHint {
	var hints []routing.PlacedHint
	for i, hash := range message.GetPlacedServer() {
		if b := byHash[hash]; b != nil {
			hints = append(hints, routing.PlacedHint{
				Server: b.ID, Tokens: int(message.GetPlacedKilotokens()[i]) * kilo, PrefillMS: float64(message.GetPlacedReadMs()[i]),
			})
		}
	}
	return hints
}
