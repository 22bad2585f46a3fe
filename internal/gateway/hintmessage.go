package gateway

import (
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/routing"
)

// addPrefixHints adds hints on the holders of prefixes to a message, without the prefixes' owners.
func addPrefixHints(message *jayv1.Hints, prefixes []routing.PrefixHint) {
	for _, p := range prefixes {
		message.Prefix = append(message.Prefix, p.Prefix)
		message.PrefixServer = append(message.PrefixServer, nameHash(p.Server))
		message.PrefixReadyMs = append(message.PrefixReadyMs, uint32(p.ReadyIn.Milliseconds())) //nolint:gosec // below a minute
	}
}

// buildMessage returns the hints to send, or nil if there are none.
func (h *hints) buildMessage(now time.Time, loadsDue, memoryDue bool) *jayv1.Hints {
	s := h.gateway.state
	s.mu.Lock()
	prefixes, placed, saved := s.router.TakePrefixHints(), s.router.TakePlacedHints(), s.router.TakeSavedParts()
	var loads []routing.LoadHint
	if loadsDue {
		loads = s.router.LoadHints()
	}
	var memory []routing.MemoryHint
	if memoryDue {
		memory = s.router.MemoryHints()
	}
	unreached := s.takeUnreachedLocked()
	facts := encodeFacts(s.facts.Take(now))
	s.mu.Unlock()
	h.gateway.countFacts(map[string]int{"sent": factCount(facts)})
	h.mu.Lock()
	message := h.postponed
	h.postponed = nil
	h.mu.Unlock()
	if message == nil && facts == nil && len(unreached) == 0 && len(prefixes) == 0 && len(loads) == 0 && len(memory) == 0 && len(placed) == 0 && len(saved) == 0 {
		return nil
	}
	if message == nil {
		message = &jayv1.Hints{Entry: h.self}
	}
	addPrefixHints(message, prefixes)
	message.Facts = facts
	message.Saved = append(message.Saved, saved...)
	for _, server := range unreached {
		message.UnreachedServer = append(message.UnreachedServer, nameHash(server))
	}
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

// kilo is the number of tokens in a kilotoken, the unit of token counts in hints.
const kilo = 1000

func kilotokens(tokens int) uint32 { return uint32((tokens + kilo/2) / kilo) } //nolint:gosec // bounded by an engine's memory
