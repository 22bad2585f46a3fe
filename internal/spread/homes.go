package spread

import (
	"slices"
	"sort"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// roomTenths is how many agents an entry takes at most, in tenths of the mean.
const roomTenths = 11

// homes finds the agents that an entry looks after. An agent's home is the
// first of its data centre's entries in rendezvous order that has room: taken
// by the order alone, one of 37 entries would look after twice as many agents
// as the mean and spend its whole budget for control on them. When a home can't be
// reached, the entry in front of it on the ring stands in: that entry has it as
// a neighbour and so notices within one timeout of the next change.
type homes struct {
	// near holds the listed entries by data centre, suspected ones too.
	near map[string][]Peer
	all  []Peer
	// mine: this entry itself and those it stands in for, with their data centres.
	mine    map[keys.Identity]bool
	centres map[string]bool
	count   int
}

// newHomes groups the entries once, so that the cost follows the agents of one
// data centre and not the fleet. Entries that are not live are suspected.
func newHomes(self Peer, listed, live []Peer, count int) homes {
	h := homes{near: map[string][]Peer{}, count: count, mine: map[keys.Identity]bool{}, centres: map[string]bool{}}
	h.all = append(slices.Clone(listed), self)
	sort.Slice(h.all, func(i, j int) bool { return before(h.all[i], h.all[j]) })
	for _, peer := range h.all {
		h.near[peer.DataCentre] = append(h.near[peer.DataCentre], peer)
	}
	own := slices.IndexFunc(h.all, func(p Peer) bool { return p.ID == self.ID })
	for i := range h.all {
		peer := h.all[(own+i)%len(h.all)]
		if i > 0 && slices.ContainsFunc(live, func(p Peer) bool { return p.ID == peer.ID }) {
			break
		}
		h.mine[peer.ID], h.centres[peer.DataCentre] = true, true
	}
	return h
}

// share returns the agents that this entry looks after. Every process that
// knows the same entries and agents computes the same shares; while their lists
// differ an agent may have two homes or none, and then speaks first itself.
func (h homes) share(agents []Peer) []Peer {
	byCentre := map[string][]Peer{}
	for _, agent := range agents {
		byCentre[agent.DataCentre] = append(byCentre[agent.DataCentre], agent)
	}
	var mine []Peer
	for centre, here := range byCentre {
		near := h.near[centre]
		switch {
		case len(near) < h.count:
			mine = append(mine, h.withoutRoom(here)...)
		case h.centres[centre]:
			mine = append(mine, h.withRoom(near, here)...)
		}
	}
	sort.Slice(mine, func(i, j int) bool { return mine[i].ID.Name < mine[j].ID.Name })
	return mine
}

// withRoom gives each agent of a data centre, in order of name, the first
// entries of its rendezvous order that are not full.
func (h homes) withRoom(near, agents []Peer) []Peer {
	sort.Slice(agents, func(i, j int) bool { return agents[i].ID.Name < agents[j].ID.Name })
	// In whole numbers: all processes must come to the same.
	tenths := 10 * len(near)
	room := (roomTenths*len(agents)*h.count + tenths - 1) / tenths
	taken := make(map[keys.Identity]int, len(near))
	var mine []Peer
	for _, agent := range agents {
		own := false
		for _, home := range h.choose(rank("home/"+agent.ID.Name, near), taken, room) {
			taken[home.ID]++
			own = own || h.mine[home.ID]
		}
		if own {
			mine = append(mine, agent)
		}
	}
	return mine
}

// choose takes the first entries of an order that have room. With several homes
// an agent the last agents may find too few such entries, since the homes of
// one agent differ; they go over the room rather than without a home.
func (h homes) choose(order []Peer, taken map[keys.Identity]int, room int) []Peer {
	var chosen, full []Peer
	for _, home := range order {
		if len(chosen) == h.count {
			return chosen
		}
		if taken[home.ID] < room {
			chosen = append(chosen, home)
		} else {
			full = append(full, home)
		}
	}
	return append(chosen, full[:h.count-len(chosen)]...)
}

// withoutRoom serves data centres that have too few entries: the nearest of
// all others in rendezvous order take their agents.
func (h homes) withoutRoom(agents []Peer) []Peer {
	var mine []Peer
	for _, agent := range agents {
		key := "home/" + agent.ID.Name
		_, far := split(rank(key, h.all), agent.DataCentre)
		ordered := append(rank(key, h.near[agent.DataCentre]), far...)
		ordered = ordered[:min(len(ordered), h.count)]
		if slices.ContainsFunc(ordered, func(home Peer) bool { return h.mine[home.ID] }) {
			mine = append(mine, agent)
		}
	}
	return mine
}
