package gateway

import (
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/shard"
)

// When servers or entries end or begin, requests with some prefixes go to another owner,
// which does not know which servers hold them: they would be prefilled again although a
// server of another shard holds them. The owner before sends it what it knows. For the same
// reason an owner tells the other owner that is asked for a prefix of each new holder: which of
// the two is asked follows their free capacity.

const (
	// handoverInterval is the least time between two searches for prefixes that moved.
	handoverInterval = 500 * time.Millisecond
	// handoverRanks bounds the work of one search: ranks computed of servers for prefixes,
	// of 3 ns each.
	handoverRanks = 200_000
	// maxHandoverPrefixes bounds the prefixes looked at in one search, the last used first.
	maxHandoverPrefixes = 512
	// maxHandoverHints is the number of prefixes in one datagram, of 9 to 12 bytes each.
	maxHandoverHints = 64
	// holderHintInterval is the least time between two messages on new holders.
	holderHintInterval = 100 * time.Millisecond
	// holderOwners is the number of owners that may be asked for a prefix.
	holderOwners = 2
)

// handOver sends what this entry knows of prefixes that now belong to other owners.
func (h *hints) handOver(now time.Time) {
	if now.Sub(h.handedOverAt) < handoverInterval {
		return
	}
	moved := h.gateway.state.takeMovedPrefixes(now)
	if len(moved) == 0 {
		return
	}
	h.handedOverAt = now
	sent, dropped := h.sendHolders(moved)
	klog.InfoS("Prefixes handed over to their new owners", "owners", len(moved), "sent", sent, "dropped", dropped)
	h.gateway.metrics.Count("prefix_holders", "handed over", int64(sent))
	h.gateway.metrics.Count("prefix_holders", "dropped", int64(dropped))
}

// announceHolders tells other owners which servers of this entry's shards hold their prefixes
// since the last call.
func (h *hints) announceHolders(now time.Time) {
	if now.Sub(h.holdersSentAt) < holderHintInterval {
		return
	}
	h.holdersSentAt = now
	sent, dropped := h.sendHolders(h.gateway.state.takeNewHolders(now))
	h.gateway.metrics.Count("prefix_holders", "announced", int64(sent))
	h.gateway.metrics.Count("prefix_holders", "not announced", int64(dropped))
}

// sendHolders sends hints on the holders of prefixes to owners, as far as the budget allows.
func (h *hints) sendHolders(byOwner map[shard.Entry][]routing.PrefixHint) (sent, dropped int) {
	for owner, prefixes := range byOwner {
		for len(prefixes) > 0 {
			n := min(len(prefixes), maxHandoverHints)
			if h.sendToOwner(owner, handoverMessage(h.self, prefixes[:n])) {
				sent += n
			} else {
				dropped += n
			}
			prefixes = prefixes[n:]
		}
	}
	return sent, dropped
}

func handoverMessage(self uint32, prefixes []routing.PrefixHint) *jayv1.Hints {
	message := &jayv1.Hints{Entry: self, ForOwner: true}
	addPrefixHints(message, prefixes)
	for _, p := range prefixes {
		message.PrefixOwner = append(message.PrefixOwner, p.Owner)
	}
	return message
}

// takeMovedPrefixes returns the holders of prefixes of this entry's shards that have moved
// since the last call, by their new owners.
func (s *state) takeMovedPrefixes(now time.Time) map[shard.Entry][]routing.PrefixHint {
	table := s.table.Load()
	if table == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	moved := map[shard.Entry][]routing.PrefixHint{}
	for name, service := range table.Services {
		if service.Engine == nil {
			continue
		}
		s.assignmentLocked(now, name)
		if change, ok := s.shards.TakeChange(name); ok {
			s.addMovedLocked(now, name, &change, moved)
		}
	}
	return moved
}

// addMovedLocked adds the holders of prefixes that a change of a service's shards moved.
func (s *state) addMovedLocked(now time.Time, service string, change *shard.Change, moved map[shard.Entry][]routing.PrefixHint) {
	if len(change.Before.ServersOf(s.settings.Node)) == 0 {
		return
	}
	most := min(maxHandoverPrefixes, handoverRanks/max(len(s.list.OfService(service)), 1))
	for _, hint := range s.shardRouter.HolderHints(now, most) {
		if s.list.Get(hint.Server) == nil {
			continue
		}
		if owner, ok := change.MovedTo(uint64(hint.Owner), s.settings.Node); ok {
			moved[owner] = append(moved[owner], hint)
		}
	}
}

// takeNewHolders returns the holders of prefixes that this entry's shards have got since the
// last call, by the other owners that may be asked for these prefixes.
func (s *state) takeNewHolders(now time.Time) map[shard.Entry][]routing.PrefixHint {
	s.mu.Lock()
	defer s.mu.Unlock()
	byOwner := map[shard.Entry][]routing.PrefixHint{}
	for _, hint := range s.shardRouter.TakePrefixHints() {
		b := s.list.Get(hint.Server)
		if b == nil {
			continue
		}
		owners := s.assignmentLocked(now, b.Service).OwnersFor(uint64(hint.Owner))
		for _, owner := range owners[:min(len(owners), holderOwners)] {
			if owner.Name != s.settings.Node {
				byOwner[owner] = append(byOwner[owner], hint)
			}
		}
	}
	return byOwner
}
