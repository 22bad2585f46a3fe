package spread

import (
	"sort"

	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// Peer is a process of the fleet: an entry or an agent.
type Peer struct {
	ID         keys.Identity
	Address    string
	DataCentre string
	Region     string
}

// rendezvousWeight returns the weight of a pair of names. Processes with the same
// names compute the same order without communication.
func rendezvousWeight(a, b string) uint64 { return xxh3.HashString(a + "\x00" + b) }

// rank sorts peers by their rendezvous weight under the key, highest first.
func rank(key string, peers []Peer) []Peer {
	type weighted struct {
		peer   Peer
		weight uint64
	}
	all := make([]weighted, len(peers))
	for i, peer := range peers {
		all[i] = weighted{peer: peer, weight: rendezvousWeight(key, peer.ID.Name)}
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

// neighbours returns the fanOut entries that self pushes new generations to. The
// first is the successor on a ring of all entries, which keeps the graph
// connected; half of the rest are in the data centre of self. The result changes
// only if the entries do, so that connections stay open: a handshake costs more
// bytes than a minute of digests.
func neighbours(self Peer, entries []Peer, fanOut int) []Peer {
	others := excluding(entries, self.ID)
	if len(others) <= fanOut {
		return others
	}
	chosen := []Peer{successor(self, others)}
	local, remote := splitByDataCentre(rank(self.ID.Name, others), self.DataCentre)
	for len(chosen) < fanOut {
		preferLocal := len(chosen)%2 == 1
		if (preferLocal || len(remote) == 0) && len(local) > 0 {
			chosen, local = appendUnique(chosen, local[0]), local[1:]
			continue
		}
		chosen, remote = appendUnique(chosen, remote[0]), remote[1:]
	}
	return chosen
}

// successor returns the next entry on a ring sorted by region, data centre and name.
func successor(self Peer, others []Peer) Peer {
	ring := append([]Peer(nil), others...)
	sort.Slice(ring, func(i, j int) bool { return ringLess(ring[i], ring[j]) })
	for _, peer := range ring {
		if ringLess(self, peer) {
			return peer
		}
	}
	return ring[0]
}

func ringLess(a, b Peer) bool {
	if a.Region != b.Region {
		return a.Region < b.Region
	}
	if a.DataCentre != b.DataCentre {
		return a.DataCentre < b.DataCentre
	}
	return a.ID.Name < b.ID.Name
}

func appendUnique(chosen []Peer, peer Peer) []Peer {
	for _, c := range chosen {
		if c.ID == peer.ID {
			return chosen
		}
	}
	return append(chosen, peer)
}

func excluding(peers []Peer, id keys.Identity) []Peer {
	var rest []Peer
	for _, peer := range peers {
		if peer.ID != id {
			rest = append(rest, peer)
		}
	}
	return rest
}

// splitByDataCentre separates the peers of a data centre from the others, keeping the order.
func splitByDataCentre(peers []Peer, dataCentre string) (local, remote []Peer) {
	for _, peer := range peers {
		if peer.DataCentre == dataCentre {
			local = append(local, peer)
		} else {
			remote = append(remote, peer)
		}
	}
	return local, remote
}

// isHeadPoller reports whether self is one of the entries of its data centre that
// poll the head generation in the store.
func isHeadPoller(self Peer, live []Peer, pollers int) bool {
	local, _ := splitByDataCentre(append(excluding(live, self.ID), self), self.DataCentre)
	for i, peer := range rank("poll/"+self.DataCentre, local) {
		if i == pollers {
			return false
		}
		if peer.ID == self.ID {
			return true
		}
	}
	return false
}
