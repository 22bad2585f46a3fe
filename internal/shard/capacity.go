package shard

import (
	"math"
	"slices"
	"time"
)

const (
	// capacityLifetime is how long a reported capacity counts: an engine that ended has
	// started again, or is no longer listed, some seconds later.
	capacityLifetime = time.Second
	// minShareLeft is the share of its servers that an owner must have left to be asked
	// for all of its prefixes. A prefix that moves is fetched or prefilled again, so that a
	// small loss is better met by the other servers of the shard. In the model of
	// TestOwnersServeAnOutage, where single engines end, the net share was 0.905 with 0.4 and
	// 0.902 with 0.6 and 0.8, with the busiest engine at up to 1.21, 1.18 and 1.19 of the mean;
	// where whole shards end, there was no difference.
	minShareLeft = 0.6
	// maxAsked is the number of owners that are asked for one request.
	maxAsked = 2
)

// Capacity is what an owner reports of its shard with an offer.
type Capacity struct {
	// Left is the number of servers that can take requests, of Total listed ones.
	Left, Total int
	// PrefillMS is the mean pending prefill at those left.
	PrefillMS float64
}

// reportedCapacity is a capacity and when it was received.
type reportedCapacity struct {
	Capacity
	at time.Time
}

// OwnerReported records the capacity of an owner's shard of a service.
func (m *Map) OwnerReported(now time.Time, service, owner string, capacity Capacity) {
	if m.capacities[service] == nil {
		m.capacities[service] = reports{}
	}
	m.capacities[service][owner] = reportedCapacity{capacity, now}
}

// reports are the last reports of owners, by name.
type reports map[string]reportedCapacity

// capacity returns the last report of an owner, with its pending prefill as it is now unless
// more was added; false: there is none, or it is too old.
func (r reports) capacity(now time.Time, owner string) (Capacity, bool) {
	if len(r) == 0 {
		return Capacity{}, false
	}
	c, ok := r[owner]
	age := now.Sub(c.at)
	c.PrefillMS = max(0, c.PrefillMS-float64(age)/float64(time.Millisecond))
	return c.Capacity, ok && age < capacityLifetime
}

// NextOwner returns the owner to ask for a prefix after those asked already; false: none is
// to be asked. offered: one of them offered a server, at which the request would wait.
//
// Owners are asked in the order of OwnersFor, except that one which has lost most of its
// servers gets only as many prefixes as correspond to those left: if w is the rank, between
// 0 and 1, of the best of n servers, w^(n/left) is distributed as the rank of the best of
// left servers. So prefixes move only from such owners, and all entries that have received
// the same reports move the same ones. Of the next two owners, the one with the least
// pending prefill is asked if there is an offer already. keep, if not nil, selects the
// servers that count, by their indexes in the list.
func (m *Map) NextOwner(now time.Time, service string, a *Assignment, prefix uint64, keep func(i int) bool, asked []string, offered bool) (Entry, bool) {
	if len(asked) >= maxAsked {
		return Entry{}, false
	}
	reported := m.capacities[service]
	first, second, firstRank, secondRank := -1, -1, 0.0, 0.0
	for i, w := range a.ranks(prefix, keep) {
		owner := a.Owners[i].Name
		if slices.Contains(asked, owner) {
			continue
		}
		c, ok := reported.capacity(now, owner)
		switch rank := rankWith(w, c, ok); {
		case rank > firstRank:
			first, firstRank, second, secondRank = i, rank, first, firstRank
		case rank > secondRank:
			second, secondRank = i, rank
		}
	}
	if first < 0 {
		return Entry{}, false
	}
	if offered && second >= 0 && reported.lessPrefill(now, a.Owners[second].Name, a.Owners[first].Name) {
		first = second
	}
	return a.Owners[first], true
}

// rankWith returns an owner's rank between 0 and 1, given its reported capacity.
func rankWith(w uint64, c Capacity, reported bool) float64 {
	rank := float64(w) / math.MaxUint64
	if reported && float64(c.Left) < minShareLeft*float64(c.Total) {
		rank = math.Pow(rank, float64(c.Total)/float64(c.Left))
	}
	return rank
}

// lessPrefill reports whether one owner is known to have less pending prefill than another.
func (r reports) lessPrefill(now time.Time, owner, than string) bool {
	a, ok := r.capacity(now, owner)
	b, okThan := r.capacity(now, than)
	return ok && okThan && a.PrefillMS < b.PrefillMS
}

// Change is a change of a service's assignment.
type Change struct {
	Before, After *Assignment
}

// recordChange records a new assignment. Reports for the one before no longer apply.
func (m *Map) recordChange(service string, after *Assignment) {
	before := m.latest[service]
	m.latest[service] = after
	delete(m.capacities, service)
	if before == nil {
		return
	}
	if c, ok := m.changes[service]; ok {
		before = c.Before
	}
	m.changes[service] = Change{before, after}
}

// TakeChange returns the change of a service's assignment since the last call; false: none.
func (m *Map) TakeChange(service string) (Change, bool) {
	c, ok := m.changes[service]
	delete(m.changes, service)
	return c, ok
}

// MovedTo returns the owner to which the change moved a prefix of an owner; false: the
// prefix was not this owner's, or still is.
func (c *Change) MovedTo(prefix uint64, owner string) (Entry, bool) {
	after := c.After.OwnersFor(prefix)
	if len(after) == 0 || after[0].Name == owner {
		return Entry{}, false
	}
	if !slices.ContainsFunc(c.Before.OwnersFor(prefix), func(e Entry) bool { return e.Name == owner }) {
		return Entry{}, false
	}
	return after[0], true
}
