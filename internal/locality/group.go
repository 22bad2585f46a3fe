package locality

import (
	"math"
	"time"
)

const (
	// targetUse is the part of a data centre's capacity that its demand is brought down
	// to, and up to which other data centres may fill it. The rest absorbs bursts between
	// two updates.
	targetUse = 0.9
	// Demand begins to leave above startUse of the capacity at home and stops below
	// stopUse: without the gap, demand near the limit would switch on every fluctuation.
	startUse = 0.95
	stopUse  = 0.85
	// shareWindow is the time constant of changes of the share that leaves, freeWindow that
	// of the free capacity of other data centres: one report of a few servers is far from
	// their mean load. The more requests wait there, the faster the capacity falls, by
	// yieldGain.
	shareWindow = 200 * time.Millisecond
	freeWindow  = 600 * time.Millisecond
	yieldGain   = 5
	// drainMS is the time in which work that waits at home is sent elsewhere. It corrects
	// an estimate of the demand that is too low. With a shorter time, the work that queues
	// up before the share has settled would make it overshoot by more than a tenth.
	drainMS = 3000
	// updateInterval is how often a router should update its view of the data centres, for
	// each updateServers servers that it reads for that: a view of 318 servers takes about
	// 20 us, which would slow down each choice too much at 160 requests a second.
	updateInterval = 50 * time.Millisecond
	updateServers  = 64
	// waitRetryMS is the time after which a request that waits for memory is tried again.
	waitRetryMS = 100
	// workGain is the weight of one request in the mean work.
	workGain = 0.1
	// defaultWorkMS is the work of a request until one was observed.
	defaultWorkMS = 40
	// fractionSteps is the number of values of a request's hash that decides on its share.
	fractionSteps = 1 << 32
)

// Centre is a router's view of a service's servers in one data centre.
type Centre struct {
	Name string
	// Capacity is the work that its usable servers can do at once, in servers' slots; an
	// engine does one prefill at a time. A server that is slower than usual counts less.
	Capacity float64
	// Load is how much of Capacity is in use, by requests from all data centres; it is
	// larger than Capacity while requests wait.
	Load float64
	// WaitingMS is the work that waits at its servers, in milliseconds of one slot.
	WaitingMS float64
	// MemoryUse is the share of its engines' memory in use.
	MemoryUse float64
}

// destination is another data centre and the free capacity that may be filled from home.
type destination struct {
	name string
	free float64
	// part is the share of the leaving demand that goes there.
	part float64
	// open: there was free capacity at the last update.
	open, seen bool
}

// Group is the demand of one data centre's callers for one service, as one router sees
// it, and the share of it that leaves.
type Group struct {
	home   string
	policy *Policy
	usedAt time.Time
	// demand is the work of the placed requests, refused that of requests that had to
	// wait, sent what left for each data centre.
	demand, refused flow
	sent            map[string]*flow
	workMS          float64

	updatedAt    time.Time
	share        float64
	sending      bool
	lost         bool
	destinations []destination
}

// Home returns the data centre where the demand arises.
func (g *Group) Home() string { return g.home }

// Placed records a placed request: its work in milliseconds of a slot, and its data
// centre. Negative work takes back a request that was sent elsewhere after all.
func (g *Group) Placed(now time.Time, workMS float64, to string) {
	g.demand.add(now, workMS)
	if to == g.home {
		return
	}
	if g.sent == nil {
		g.sent = map[string]*flow{}
	}
	if g.sent[to] == nil {
		g.sent[to] = &flow{}
	}
	g.sent[to].add(now, workMS)
}

// Refused records that no server had memory for a request, which is tried again.
func (g *Group) Refused(now time.Time, workMS float64) { g.refused.add(now, workMS) }

// ObserveWork records the work of a request: its prefill time, or its service time apart
// from waiting.
func (g *Group) ObserveWork(ms float64) { g.workMS = g.WorkMS() + workGain*(ms-g.WorkMS()) }

// WorkMS returns the mean work of a request.
func (g *Group) WorkMS() float64 {
	if g.workMS == 0 {
		return defaultWorkMS
	}
	return g.workMS
}

// Due reports whether a view of that many servers should be updated.
func (g *Group) Due(now time.Time, servers int) bool {
	interval := updateInterval * time.Duration(max(1, servers/updateServers))
	return g.updatedAt.IsZero() || now.Sub(g.updatedAt) >= interval
}

// Update computes the share that leaves from a view of all data centres. centres is not
// retained.
func (g *Group) Update(now time.Time, centres []Centre) {
	age := time.Minute // the first view counts fully
	if !g.updatedAt.IsZero() {
		age = now.Sub(g.updatedAt)
	}
	g.updatedAt = now
	home := Centre{Name: g.home}
	for _, c := range centres {
		if c.Name == g.home {
			home = c
		}
	}
	demand := float64(g.policy.deciders) * g.demand.value(now)
	free := g.updateFree(now, age, centres)
	wanted := g.lack(now, &home, demand)
	if demand > 0 {
		wanted = min(wanted, free/demand)
	}
	g.lost = home.Capacity <= 0
	if g.lost {
		// Nothing can stay at home, so a gradual change would only delay requests.
		g.share = wanted
	} else {
		g.share += gain(age, shareWindow) * (wanted - g.share)
	}
	g.divide(now, g.share*demand)
}

// gain is the weight of a new value in a mean with that time constant, after a time.
func gain(age, window time.Duration) float64 {
	return 1 - math.Exp(-max(0, float64(age))/float64(window))
}

// lack returns the share of the demand that home has no capacity for.
func (g *Group) lack(now time.Time, home *Centre, demand float64) float64 {
	if home.Capacity <= 0 {
		return 1
	}
	waitingMS := home.WaitingMS + float64(g.policy.deciders)*g.refused.value(now)*waitRetryMS
	needed := demand + waitingMS/drainMS
	use := max(needed/home.Capacity, home.MemoryUse)
	g.sending = use > startUse || g.sending && use > stopUse
	if !g.sending || demand <= 0 {
		return 0
	}
	lack := max((needed-targetUse*home.Capacity)/demand, 1-targetUse/max(home.MemoryUse, targetUse))
	return min(max(lack, 0), 1)
}

// updateFree updates the free capacity of the other data centres, beside what their own
// callers and those of third data centres use, and returns its sum.
func (g *Group) updateFree(now time.Time, age time.Duration, centres []Centre) float64 {
	for i := range g.destinations {
		g.destinations[i].seen = false
	}
	sum := 0.0
	for i := range centres {
		c := &centres[i]
		if c.Name == g.home || c.Capacity <= 0 {
			continue
		}
		sent := 0.0
		if f := g.sent[c.Name]; f != nil {
			sent = float64(g.policy.deciders) * f.value(now)
		}
		free := targetUse*c.Capacity - max(0, c.Load-sent)
		free = max(0, min(free, (1-c.MemoryUse/startUse)*c.Capacity))
		d := g.destination(c.Name, free)
		d.seen, d.open = true, free > 0
		window := time.Duration(float64(freeWindow) / (1 + yieldGain*max(0, c.Load/c.Capacity-1)))
		d.free += gain(age, window) * (free - d.free)
		sum += d.free
	}
	kept := g.destinations[:0]
	for _, d := range g.destinations {
		if d.seen {
			kept = append(kept, d)
		}
	}
	g.destinations = kept
	return sum
}

// destination returns the record of a data centre, a new one with that free capacity.
func (g *Group) destination(name string, free float64) *destination {
	for i := range g.destinations {
		if g.destinations[i].name == name {
			return &g.destinations[i]
		}
	}
	g.destinations = append(g.destinations, destination{name: name, free: free})
	return &g.destinations[len(g.destinations)-1]
}

// divide sets the parts of the leaving demand by destination: by free capacity and
// nearness, but none more than its free capacity.
func (g *Group) divide(now time.Time, leaving float64) {
	weights, given := 0.0, 0.0
	for i := range g.destinations {
		d := &g.destinations[i]
		d.part = d.free / max(g.policy.PathMS(now, Pair{g.home, d.name}), DefaultPathMS)
		weights += d.part
	}
	if weights == 0 {
		return
	}
	spare := 0.0
	for i := range g.destinations {
		d := &g.destinations[i]
		d.part = min(d.free, leaving*d.part/weights)
		given += d.part
		spare += d.free - d.part
	}
	if rest := min(leaving-given, spare); rest > 0 && spare > 0 {
		for i := range g.destinations {
			d := &g.destinations[i]
			d.part += rest * (d.free - d.part) / spare
		}
		given += rest
	}
	for i := range g.destinations {
		d := &g.destinations[i]
		if given > 0 {
			d.part /= given
		} else {
			d.part = d.free / (spare + given)
		}
	}
}

// Verdict is the decision on one request.
type Verdict struct {
	// To is the data centre that the request may leave for because of capacity; empty:
	// it stays, unless its prefix is elsewhere.
	To string
	// Lost: no server of the home data centre can be used. If To is empty as well, the
	// other data centres have no capacity free for the request.
	Lost bool
}

// Decide returns the decision on a request with the given hash. The hash instead of a
// random number gives a request that is tried again the same decision while the share
// does not change. again: a server has refused or failed the request; while demand leaves,
// it need not find out which servers at home are full.
func (g *Group) Decide(hash uint64, again bool) Verdict {
	v := Verdict{Lost: g.lost}
	mayLeave := float64(hash>>32)/fractionSteps < g.share || again && (g.sending || g.lost)
	if !mayLeave {
		return v
	}
	at := float64(hash&(fractionSteps-1)) / fractionSteps
	for i := range g.destinations {
		d := &g.destinations[i]
		if d.part <= 0 {
			continue
		}
		v.To = d.name
		if at -= d.part; at < 0 {
			break
		}
	}
	return v
}

// HasFree reports whether a data centre had capacity free for this group's demand at the
// last update.
func (g *Group) HasFree(name string) bool {
	for i := range g.destinations {
		if g.destinations[i].name == name {
			return g.destinations[i].open
		}
	}
	return false
}

// Share returns the share of the demand that leaves for lack of capacity.
func (g *Group) Share() float64 { return g.share }
