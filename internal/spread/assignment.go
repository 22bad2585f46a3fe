package spread

import (
	"slices"
	"sort"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// capacityTenths is the maximum number of agents per entry, in tenths of the mean.
const capacityTenths = 11

// agentAssignment computes the agents that this entry sends digests to. The
// preferred entry of an agent is the first one in its data centre, in rendezvous
// order, that is below capacity. Without the capacity limit some entries would be
// assigned about twice the mean.
//
// While a preferred entry is unreachable, its predecessor on the ring replaces it.
// The predecessor has it as a neighbour and detects the failure within one timeout
// of the next change.
type agentAssignment struct {
	// byDataCentre holds the listed entries and this one, including suspected ones;
	// ring holds them in ring order.
	byDataCentre map[string][]Peer
	ring         []Peer
	// covered: this entry and those it replaces; coveredCentres: their data centres.
	covered        map[keys.Identity]bool
	coveredCentres map[string]bool
	perAgent       int
}

// newAgentAssignment groups the entries once, so that the cost of assigned depends
// on the agents of the covered data centres and not on the fleet. Listed entries
// that are not live are suspected.
func newAgentAssignment(self Peer, listed, live []Peer, perAgent int) agentAssignment {
	a := agentAssignment{byDataCentre: map[string][]Peer{}, perAgent: perAgent, covered: map[keys.Identity]bool{}, coveredCentres: map[string]bool{}}
	a.ring = append(slices.Clone(listed), self)
	sort.Slice(a.ring, func(i, j int) bool { return ringLess(a.ring[i], a.ring[j]) })
	for _, peer := range a.ring {
		a.byDataCentre[peer.DataCentre] = append(a.byDataCentre[peer.DataCentre], peer)
	}
	selfIndex := slices.IndexFunc(a.ring, func(p Peer) bool { return p.ID == self.ID })
	for i := range a.ring {
		peer := a.ring[(selfIndex+i)%len(a.ring)]
		if i > 0 && slices.ContainsFunc(live, func(p Peer) bool { return p.ID == peer.ID }) {
			break
		}
		a.covered[peer.ID], a.coveredCentres[peer.DataCentre] = true, true
	}
	return a
}

// assigned returns the agents that this entry sends digests to, sorted by name.
// Processes with the same lists of entries and agents compute the same result.
// While the lists differ, an agent may be assigned to two entries or to none; in
// the latter case it sends a digest to an entry itself.
func (a agentAssignment) assigned(agents []Peer) []Peer {
	byCentre := map[string][]Peer{}
	for _, agent := range agents {
		byCentre[agent.DataCentre] = append(byCentre[agent.DataCentre], agent)
	}
	var result []Peer
	for centre, local := range byCentre {
		entries := a.byDataCentre[centre]
		switch {
		case len(entries) < a.perAgent:
			result = append(result, a.assignAcrossCentres(local)...)
		case a.coveredCentres[centre]:
			result = append(result, a.assignWithinCapacity(entries, local)...)
		}
	}
	sort.Slice(result, func(i, j int) bool { return result[i].ID.Name < result[j].ID.Name })
	return result
}

// assignWithinCapacity assigns each agent of a data centre, in order of name, to the
// first entries of its rendezvous order that are below capacity. The key prefix
// "home/" gives agents an order of their own; all processes must use the same.
func (a agentAssignment) assignWithinCapacity(entries, agents []Peer) []Peer {
	sort.Slice(agents, func(i, j int) bool { return agents[i].ID.Name < agents[j].ID.Name })
	// Integer arithmetic, so that all processes compute the same value.
	tenths := 10 * len(entries)
	capacity := (capacityTenths*len(agents)*a.perAgent + tenths - 1) / tenths
	load := make(map[keys.Identity]int, len(entries))
	var result []Peer
	for _, agent := range agents {
		covered := false
		for _, entry := range a.chooseEntries(rank("home/"+agent.ID.Name, entries), load, capacity) {
			load[entry.ID]++
			covered = covered || a.covered[entry.ID]
		}
		if covered {
			result = append(result, agent)
		}
	}
	return result
}

// chooseEntries returns the first perAgent entries of an order that are below
// capacity. With several entries per agent too few of them may be left for the
// last agents; these then exceed the capacity.
func (a agentAssignment) chooseEntries(order []Peer, load map[keys.Identity]int, capacity int) []Peer {
	var chosen, full []Peer
	for _, entry := range order {
		if len(chosen) == a.perAgent {
			return chosen
		}
		if load[entry.ID] < capacity {
			chosen = append(chosen, entry)
		} else {
			full = append(full, entry)
		}
	}
	return append(chosen, full[:a.perAgent-len(chosen)]...)
}

// assignAcrossCentres handles data centres with fewer than perAgent entries: the
// missing ones are taken from other data centres, in rendezvous order.
func (a agentAssignment) assignAcrossCentres(agents []Peer) []Peer {
	var result []Peer
	for _, agent := range agents {
		key := "home/" + agent.ID.Name
		_, remote := splitByDataCentre(rank(key, a.ring), agent.DataCentre)
		candidates := append(rank(key, a.byDataCentre[agent.DataCentre]), remote...)
		candidates = candidates[:min(len(candidates), a.perAgent)]
		if slices.ContainsFunc(candidates, func(entry Peer) bool { return a.covered[entry.ID] }) {
			result = append(result, agent)
		}
	}
	return result
}
