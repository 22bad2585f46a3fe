package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Capacity is how much of the capacity of the servers that may serve is in use.
type Capacity struct {
	// Used is the share of the capacity that arriving requests take; above 1, more
	// arrive than can be served.
	Used float64
	// Waiting is the number of requests that wait because no server has capacity for
	// them.
	Waiting int
}

// Bounds are the time bounds of a rollout; 0: none.
type Bounds struct {
	// Version is how long after a newer version was named requests may begin on older
	// weights.
	Version time.Duration
	// Fleet is how long after a version was named all servers must have it or a newer
	// one.
	Fleet time.Duration
}

const (
	// Capacity is short from shortUse on, until less than freeUse is used: the servers
	// that load at full pace take up to a fifth of it.
	shortUse = 0.75
	freeUse  = 0.6
	// Capacity is also short from one waiting request for serversPerWaiting servers on.
	serversPerWaiting = 4
	// sendMargin is how long before Bounds.Version entries send no more requests to a
	// server with older weights: requests wait at servers before they begin.
	sendMargin = 1500 * time.Millisecond
	// repeatMargin is the time for an order that is lost once, or carried out seconds
	// late.
	repeatMargin = 4500 * time.Millisecond
	// tickMargin is added to the time of a load: orders are sent at ticks.
	tickMargin = 100 * time.Millisecond
)

// Reason is why a number of servers may load at a time.
type Reason int

// The reasons.
const (
	// CapacityFree: as many load as are allowed.
	CapacityFree Reason = iota
	// CapacityShort: as many load as the bounds need.
	CapacityShort
	// BoundsNear: capacity is short, but the bounds need as many as are allowed.
	BoundsNear
)

var reasonNames = [...]string{"capacity_free", "capacity_short", "bounds_near"}

// String returns the name for logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Pace is how many servers load at a time, and why.
type Pace struct {
	// Loads is the number of servers that may load at a time. Needed is the least
	// number that keeps the bounds, Most the number while capacity is free.
	Loads, Needed, Most int
	Reason              Reason
	// Oldest is the time since the oldest weights still in use were replaced.
	Oldest time.Duration
}

// Short reports whether capacity is short.
func (p *Pace) Short() bool { return p.Reason != CapacityFree }

// decidePace returns how many servers load at a time: as many as are allowed while
// capacity is free, as many as the bounds need while it is short. left holds the servers with
// older weights, responsive is the
// number of servers that answer, wasShort the decision before.
func decidePace(in *Input, left *timesLeft, loadTime time.Duration, responsive int, wasShort bool) Pace {
	pace := Pace{Most: MaxConcurrentLoads(responsive), Oldest: left.oldest}
	pace.Needed = min(left.neededLoads(loadTime+tickMargin), pace.Most)
	pace.Loads = pace.Most
	if in.Bounds.Version == 0 || !isShort(in.Capacity, responsive, wasShort) {
		return pace
	}
	pace.Loads, pace.Reason = pace.Needed, CapacityShort
	if pace.Needed == pace.Most {
		pace.Reason = BoundsNear
	}
	return pace
}

func isShort(c Capacity, servers int, wasShort bool) bool {
	limit := shortUse
	if wasShort {
		limit = freeUse
	}
	return c.Used >= limit || c.Waiting > 0 && c.Waiting*serversPerWaiting >= servers
}

// timeGroup is a number of servers that have the same time left.
type timeGroup struct {
	left    time.Duration
	servers int
}

// timesLeft holds the times until the servers with older weights should have the target version,
// and the age of the oldest weights. Servers with the same weights have the same time left, so
// that there are few groups.
type timesLeft struct {
	groups []timeGroup
	oldest time.Duration
	// last is the index of the group that was added to last.
	last int
}

// add adds a server.
func (t *timesLeft) add(left, age time.Duration) {
	t.oldest = max(t.oldest, age)
	if t.last >= len(t.groups) || t.groups[t.last].left != left {
		t.last = slices.IndexFunc(t.groups, func(g timeGroup) bool { return g.left == left })
	}
	if t.last < 0 {
		t.last = len(t.groups)
		t.groups = append(t.groups, timeGroup{left: left})
	}
	t.groups[t.last].servers++
}

// timeLeft returns the time until a server should have the target version, with margins
// for an order that is lost.
func timeLeft(in *Input, s *Server) time.Duration {
	left := in.Bounds.Version - sendMargin - repeatMargin - s.Age
	if in.Bounds.Fleet > 0 {
		left = min(left, in.Bounds.Fleet-repeatMargin-in.TargetAge)
	}
	return left
}

// neededLoads returns how many servers must load at a time so that each has loaded
// within the time that it has left.
func (t *timesLeft) neededLoads(loadTime time.Duration) int {
	slices.SortFunc(t.groups, func(a, b timeGroup) int { return cmp.Compare(a.left, b.left) })
	needed, servers := 0, 0
	for _, g := range t.groups {
		servers += g.servers
		rounds := max(1, int(g.left/loadTime))
		needed = max(needed, (servers-1+rounds)/rounds)
	}
	return needed
}
