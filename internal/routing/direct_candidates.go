package routing

import (
	"math"
	"slices"
)

// filter returns the indexes of the servers that may serve, in ascending order, and sums up
// the memory of all. Servers that load weights or are not usable are returned only when
// there are no others, and those that are known to refuse requests not at all.
func (d *Direct) filter(servers []DirectServer, software uint32, tried []string) []int32 {
	// Almost all servers are eligible: their indexes are stored without growing the list.
	eligible, lastResort, refusing := slices.Grow(d.eligible[:0], len(servers))[:len(servers)], d.lastResort[:0], d.refusing[:0]
	n, tokens, maxAge := 0, 0, d.options.MaxVersionAge
	if maxAge <= 0 {
		maxAge = math.MaxInt64
	}
	for i := range servers {
		s, index := &servers[i], int32(i) //nolint:gosec // an index of a short list
		tokens += s.KVTokens
		switch {
		case s.Full, s.VersionAge > maxAge, software != 0 && s.Software != software, len(tried) > 0 && slices.Contains(tried, s.ID):
		case s.Usable && !s.Switching && !s.Refusing:
			eligible[n] = index
			n++
		case s.Refusing && s.Usable:
			refusing = append(refusing, index)
		default:
			lastResort = append(lastResort, index)
		}
	}
	eligible = eligible[:n]
	d.listedTokens = tokens
	d.eligible, d.lastResort, d.refusing = eligible, lastResort, refusing
	if len(eligible) > 0 {
		return eligible
	}
	return lastResort
}

// firstRanked returns the server that ranks first for a key; it is the same at
// every entry.
func firstRanked(key uint64, servers []DirectServer, usable []int32) []int32 {
	first := 0
	for i := range usable {
		if Rendezvous(key, servers[usable[i]].Hash) > Rendezvous(key, servers[usable[first]].Hash) {
			first = i
		}
	}
	return usable[first : first+1]
}

// sampleServers returns the servers to score: all of a small pool; of a large one those that
// rank first for the prefix or hold it, in the order of the list, and others that the
// request's id selects.
func (d *Direct) sampleServers(req *DirectRequest, servers []DirectServer, usable []int32, p *prefixPlan) []int32 {
	if p == nil || d.options.ExclusiveServers || len(usable) <= maxScored {
		return usable
	}
	d.sample = d.sample[:0]
	for i := range p.versions {
		d.sampleNear(servers, usable, &p.versions[i])
	}
	slices.Sort(d.sample)
	d.sample = slices.Compact(d.sample)
	step := len(usable) / sampledServers
	for at := int(hashOf(req.ID) % uint64(step)); at < len(usable); at += step {
		d.sample = append(d.sample, usable[at])
	}
	return d.sample
}

// sampleNear adds to the sample the usable servers with a version that rank first for the
// prefix, and those that hold all of it.
func (d *Direct) sampleNear(servers []DirectServer, usable []int32, v *versionPlan) {
	d.sample = append(d.sample, v.preferredIndex)
	if v.second != nil {
		d.sample = append(d.sample, v.secondIndex)
	}
	if len(v.levels) == 0 {
		return
	}
	holders := v.levels[len(v.levels)-1].holders
	for i := range holders {
		at := d.indexOf(servers, holders[i].server)
		if at < 0 || servers[at].Version != v.version {
			continue
		}
		if _, found := slices.BinarySearch(usable, at); found {
			d.sample = append(d.sample, at)
		}
	}
}

// indexOf returns the index of a server in the list; -1 if it is not there. The list rarely
// changes between two requests, so the last known index is tried first.
func (d *Direct) indexOf(servers []DirectServer, id string) int32 {
	l := d.loads[id]
	if l != nil && int(l.index) < len(servers) && servers[l.index].ID == id {
		return l.index
	}
	for i := range servers {
		if servers[i].ID != id {
			continue
		}
		index := int32(i) //nolint:gosec // an index of a short list
		if l != nil {
			l.index = index
		}
		return index
	}
	return -1
}
