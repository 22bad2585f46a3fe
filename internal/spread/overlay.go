package spread

import (
	"sort"

	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// Peer is another process: an entry or an agent.
type Peer struct {
	ID         keys.Identity
	Address    string
	DataCentre string
	Region     string
}

// score is the rendezvous weight of a pair: every process that knows the same
// names computes the same order, without a word between them.
func score(a, b string) uint64 { return xxh3.HashString(a + "\x00" + b) }

// rank orders peers by their rendezvous weight under the key, highest first.
func rank(key string, peers []Peer) []Peer {
	type weighted struct {
		peer   Peer
		weight uint64
	}
	all := make([]weighted, len(peers))
	for i, peer := range peers {
		all[i] = weighted{peer: peer, weight: score(key, peer.ID.Name)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].weight != all[j].weight {
			return all[i].weight > all[j].weight
		}
		return all[i].peer.ID.Name < all[j].peer.ID.Name
	})
	ranked := make([]Peer, len(all))
	for i, w := range all {
		ranked[i] = w.peer
	}
	return ranked
}

// neighbours picks the entries that self tells of new generations. The first
// is the successor on a ring over all entries, so that the graph is connected
// whatever the others are; half of the rest are of self's own data centre.
// They stay the same while the members do, so that links stay open: a
// handshake costs more bytes than a minute of digests.
func neighbours(self Peer, entries []Peer, fanOut int) []Peer {
	others := without(entries, self.ID)
	if len(others) <= fanOut {
		return others
	}
	chosen := []Peer{successor(self, others)}
	near, far := split(rank(self.ID.Name, others), self.DataCentre)
	for len(chosen) < fanOut {
		preferNear := len(chosen)%2 == 1
		if (preferNear || len(far) == 0) && len(near) > 0 {
			chosen, near = appendNew(chosen, near[0]), near[1:]
			continue
		}
		chosen, far = appendNew(chosen, far[0]), far[1:]
	}
	return chosen
}

// successor is the next entry on a ring ordered by region, data centre, name.
func successor(self Peer, others []Peer) Peer {
	ring := append([]Peer(nil), others...)
	sort.Slice(ring, func(i, j int) bool { return before(ring[i], ring[j]) })
	for _, peer := range ring {
		if before(self, peer) {
			return peer
		}
	}
	return ring[0]
}

func before(a, b Peer) bool {
	if a.Region != b.Region {
		return a.Region < b.Region
	}
	if a.DataCentre != b.DataCentre {
		return a.DataCentre < b.DataCentre
	}
	return a.ID.Name < b.ID.Name
}

func appendNew(chosen []Peer, peer Peer) []Peer {
	for _, c := range chosen {
		if c.ID == peer.ID {
			return chosen
		}
	}
	return append(chosen, peer)
}

func without(peers []Peer, id keys.Identity) []Peer {
	var rest []Peer
	for _, peer := range peers {
		if peer.ID != id {
			rest = append(rest, peer)
		}
	}
	return rest
}

// split parts peers into those of the data centre and the others, order kept.
func split(peers []Peer, dataCentre string) (near, far []Peer) {
	for _, peer := range peers {
		if peer.DataCentre == dataCentre {
			near = append(near, peer)
		} else {
			far = append(far, peer)
		}
	}
	return near, far
}

// pollsHead tells whether self is among the first pollers of its data centre.
func pollsHead(self Peer, live []Peer, pollers int) bool {
	near, _ := split(append(without(live, self.ID), self), self.DataCentre)
	for i, peer := range rank("poll/"+self.DataCentre, near) {
		if i == pollers {
			return false
		}
		if peer.ID == self.ID {
			return true
		}
	}
	return false
}
