package gateway

import (
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/routing"
)

// receive applies the hints of another entry.
func (h *hints) receive(message *jayv1.Hints) {
	if !sameLengths(message) {
		h.gateway.metrics.Count("hints", "malformed", 1)
		return
	}
	s := h.gateway.state
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h.gateway.countFacts(s.receiveFactsLocked(now, message.GetFacts(), message.GetEntry()))
	s.keepShardFactsLocked(now, message.GetFacts())
	byHash := s.list.ByHash(nameHash)
	prefixes := prefixHints(message, byHash)
	for _, server := range message.GetUnreachedServer() {
		if b := byHash[server]; b != nil {
			s.members.FailedElsewhere(now, b.ID)
		}
	}
	if message.GetForOwner() {
		s.shardRouter.ReceivePrefixHints(now, prefixes)
		h.gateway.metrics.Count("prefix_holders", "received as owner", int64(len(prefixes)))
		return
	}
	if !s.receiveSharesLocked(now, message) {
		h.gateway.metrics.Count("hints", "malformed shares", 1)
	}
	s.router.ReceivePrefixHints(now, prefixes)
	s.router.ReceiveSavedParts(now, message.GetSaved())
	if message.GetHasMemory() {
		s.router.ReceiveMemoryHints(now, message.GetEntry(), memoryHints(message, byHash))
	}
	s.router.ReceivePlacedHints(now, message.GetEntry(), placedHints(message, byHash))
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

// sameLengths reports whether the lists that belong together have the same length. The owners of
// prefixes are left out between entries that own no shards.
func sameLengths(message *jayv1.Hints) bool {
	prefixes, placed, owners := len(message.GetPrefix()), len(message.GetPlacedServer()), len(message.GetPrefixOwner())
	return len(message.GetPrefixServer()) == prefixes && len(message.GetPrefixReadyMs()) == prefixes && (owners == 0 || owners == prefixes) &&
		len(message.GetLoadMs()) == len(message.GetLoadServer()) && len(message.GetMemoryKilotokens()) == len(message.GetMemoryServer()) &&
		len(message.GetPlacedKilotokens()) == placed && len(message.GetPlacedReadMs()) == placed
}

func prefixHints(message *jayv1.Hints, byHash map[uint32]*fleet.Backend) []routing.PrefixHint {
	var hints []routing.PrefixHint
	for i, key := range message.GetPrefix() {
		b := byHash[message.GetPrefixServer()[i]]
		if b == nil {
			continue
		}
		hint := routing.PrefixHint{Prefix: key, Server: b.ID, Address: b.Address, ReadyIn: time.Duration(message.GetPrefixReadyMs()[i]) * time.Millisecond}
		if owners := message.GetPrefixOwner(); len(owners) > 0 {
			hint.Owner = owners[i]
		}
		hints = append(hints, hint)
	}
	return hints
}

func memoryHints(message *jayv1.Hints, byHash map[uint32]*fleet.Backend) []routing.MemoryHint {
	var hints []routing.MemoryHint
	for i, hash := range message.GetMemoryServer() {
		if b := byHash[hash]; b != nil {
			hints = append(hints, routing.MemoryHint{Server: b.ID, Tokens: int(message.GetMemoryKilotokens()[i]) * kilo})
		}
	}
	return hints
}

func placedHints(message *jayv1.Hints, byHash map[uint32]*fleet.Backend) []routing.PlacedHint {
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
