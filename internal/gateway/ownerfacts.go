package gateway

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/shard"
	"github.com/jayproxy/jayproxy/internal/sharedfact"
)

// With more than maxUnshardedEntries entries, facts about servers go to the owners of their
// shards: with PlacementProgress for a request that the owner placed, otherwise by a
// datagram from here. Owners add them to their offers, for the entries that place requests
// without asking them.

// ownerBurst is the time for which unused bytes of messages to owners are accumulated: an
// entry that owns 8 engines passes on up to 3 KB when a third of all engines ends.
const ownerBurst = 4 * time.Second

const (
	// maxOwnerHintFactor applies up to manyOwners owners. From manyOwners times this factor
	// on, an entry sends no more than to a single other entry in a small fleet.
	maxOwnerHintFactor = 4
	manyOwners         = 16
)

// sendToOwners sends the pending facts to the owners of the servers' shards, and what this
// entry knows of prefixes to their new owners, within hintBytesPerSecondPerPeer in all.
// Facts on servers of this entry's shards are kept for its offers.
func (h *hints) sendToOwners(now time.Time) {
	rate := float64(hintBytesPerSecondPerPeer) * h.gateway.state.ownerHintFactor(now)
	h.mu.Lock()
	h.budget = min(rate*ownerBurst.Seconds(), h.budget+rate*now.Sub(h.refilledAt).Seconds())
	h.refilledAt = now
	h.mu.Unlock()
	for owner, facts := range h.gateway.state.takeFactsByOwner(now) {
		label := "sent"
		if !h.sendToOwner(owner, &jayv1.Hints{Entry: h.self, Facts: encodeFacts(facts)}) {
			label = "not sent"
		}
		h.gateway.countFacts(map[string]int{label: len(facts)})
	}
	h.handOver(now)
	h.announceHolders(now)
}

// ownerHintFactor returns by how much messages to owners may exceed hintBytesPerSecondPerPeer:
// few owners have many prefixes in common, while many are sent a datagram for each.
func (s *state) ownerHintFactor(now time.Time) float64 {
	table := s.table.Load()
	if table == nil {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	owners := 1
	for name, service := range table.Services {
		if service.Engine != nil {
			owners = max(owners, len(s.assignmentLocked(now, name).Owners))
		}
	}
	return max(1, min(maxOwnerHintFactor, maxOwnerHintFactor*manyOwners/float64(owners)))
}

// sendToOwner sends a message if the budget allows.
func (h *hints) sendToOwner(owner shard.Entry, message *jayv1.Hints) bool {
	size := float64(proto.Size(message) + datagramOverheadBytes)
	h.mu.Lock()
	affordable := size <= h.budget
	if affordable {
		h.budget -= size
	}
	h.mu.Unlock()
	if affordable {
		h.gateway.datagrams.trySend(h.gateway.datagrams.addressOf(owner.Address), &jayv1.Datagram{Body: &jayv1.Datagram_Hints{Hints: message}})
	}
	return affordable
}

// takeFactsByOwner takes the pending facts that other entries must be told, by the owner of
// the server's shard.
func (s *state) takeFactsByOwner(now time.Time) map[shard.Entry][]sharedfact.Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.facts.Pending() {
		return nil
	}
	byOwner := map[shard.Entry][]sharedfact.Fact{}
	for _, f := range s.facts.Take(now) {
		switch owner, ok := s.ownerOfLocked(now, f.Server); {
		case !ok:
		case owner.Name == s.settings.Node:
			s.shardFacts.Add(now, f)
		default:
			byOwner[owner] = append(byOwner[owner], f)
		}
	}
	return byOwner
}

// ownerOfLocked returns the owner of a listed server's shard.
func (s *state) ownerOfLocked(now time.Time, server string) (shard.Entry, bool) {
	b := s.list.Get(server)
	if b == nil {
		return shard.Entry{}, false
	}
	return s.assignmentLocked(now, b.Service).OwnerOf(b.Hash)
}

// keepShardFactsLocked keeps received facts on servers of this entry's shards for its
// offers, unless its own view has rejected them.
func (s *state) keepShardFactsLocked(now time.Time, m *jayv1.ServerFacts) {
	if m == nil || !factsWellFormed(m) {
		return
	}
	facts, _ := s.decodeFactsLocked(m)
	for _, f := range facts {
		if owner, ok := s.ownerOfLocked(now, f.Server); ok && owner.Name == s.settings.Node && s.holdsLocked(now, f) {
			s.shardFacts.Add(now, f)
		}
	}
}

// holdsLocked reports whether a fact is in force in this entry's view.
func (s *state) holdsLocked(now time.Time, f sharedfact.Fact) bool {
	switch f.Kind {
	case sharedfact.Ended:
		return s.list.Ended(now, f.Server)
	case sharedfact.NotListening:
		return !s.members.Usable(f.Server)
	case sharedfact.Loading:
		return now.Before(s.switches[f.Server].until)
	}
	return s.versions[versionKey{f.Server, f.Model}] >= f.Version
}

// factsForOffer returns the facts that an offer to an entry carries; nil: none.
func (s *state) factsForOffer(now time.Time, to *net.UDPAddr) *jayv1.ServerFacts {
	if to == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return encodeFacts(s.shardFacts.For(now, to.AddrPort()))
}

// receiveOwnerFacts applies the facts that an owner's offer carries.
func (g *Gateway) receiveOwnerFacts(now time.Time, m *jayv1.ServerFacts) {
	if m == nil {
		return
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	g.countFacts(s.receiveFactsLocked(now, m, 0))
}
