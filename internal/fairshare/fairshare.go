// Package fairshare divides capacity among workspaces. It records the demand and the use
// of each workspace, adds what other entries report, and computes weighted max-min fair
// shares: a workspace that asks for less than its part gets all that it asks for, and the
// others divide the rest by their weights.
//
// Shares are computed for each priority separately, since requests of different priorities
// do not compete: the more urgent ones always go first. The capacity of a priority is what
// is used at it, so no server's capacity needs to be known. A workspace is above its share
// only while the demand exceeds the capacity.
//
// The package has no I/O, goroutines or clock; callers provide the locking.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// averagingTime is the time constant of demand and use. A workspace that begins to
	// send 7.5 times its usual load uses twice its usual after a sixth of it. In the test
	// with 28 owners the others kept 0.973 of their usual service with 3 s, 1.000 with 10 s,
	// which leaves less to chance where requests are few.
	averagingTime = 10 * time.Second
	// ReportLifetime is how long a report of another entry counts. An entry that is cut
	// off then decides by its own requests.
	ReportLifetime = 2 * time.Second
	// refreshInterval is the least time between two computations of the shares, so that
	// their cost does not depend on the rate of requests. One takes a quarter of a
	// millisecond with 220 workspaces at three priorities.
	refreshInterval = 200 * time.Millisecond
	// MaxReported is how many workspaces an entry reports at most.
	MaxReported = 16
	// maxReports bounds the entries whose reports are kept; more do not exchange hints.
	maxReports = 32
	// levels is the number of priorities.
	levels = 10
	// margin covers the rounding of sums. It is no larger, as a workspace that asks for a
	// hundredth of the capacity would otherwise wait behind one that floods it.
	margin = 1e-6
	// noiseFactor is by how many standard deviations a workspace's demand must exceed its
	// share, unless it asks for the most. An owner of few servers sees few requests of each
	// workspace.
	noiseFactor = 2
	// minRate is the rate in tokens per second below which a workspace is forgotten.
	minRate = 0.1
)

// Key is what demand and use are counted by.
type Key struct {
	// Workspace is the number of a configured workspace.
	Workspace uint32
	// Priority of the requests; 0 is the highest.
	Priority int
}

// Load is the demand and use of a workspace at one priority, in tokens per second.
type Load struct {
	Key
	Demand, Use float64
	// Waiting: a request that is not above the workspace's share waits for capacity.
	Waiting bool
}

// counter counts tokens with exponential decay.
type counter struct {
	demand, use float64
	// squares is the sum of the squares of demand, of which the variance of the demand
	// follows.
	squares   float64
	at        time.Time
	waitingAt time.Time
}

func (c *counter) decay(now time.Time) {
	elapsed := now.Sub(c.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / averagingTime.Seconds())
	c.demand, c.use, c.squares, c.at = c.demand*factor, c.use*factor, c.squares*factor*factor, now
}

func perSecond(tokens float64) float64 { return tokens / averagingTime.Seconds() }

// report is what another entry last reported.
type report struct {
	at    time.Time
	loads []Load
}

// claim is the sum over all entries of what one workspace asks for and uses.
type claim struct {
	workspace           uint32
	demand, use, weight float64
	// remoteDemand and remoteUse are the parts that other entries reported.
	remoteDemand, remoteUse float64
}

// Shares holds the demand and use of workspaces and their shares. Its size is bounded by
// the number of configured workspaces and of reporting entries.
type Shares struct {
	weights  map[uint32]float64
	own      map[Key]*counter
	reports  map[uint32]report
	claims   map[Key]claim
	shortage shortage
	// perWeight is, by priority, the share of a workspace of weight 1; infinite where the
	// demand does not exceed the capacity.
	perWeight [levels]float64
	// largest is, by priority, the workspace with the largest demand for its weight.
	largest     [levels]uint32
	refreshedAt time.Time
	// outdated: the workspaces have changed since.
	outdated bool
}

// New returns shares without workspaces.
func New() *Shares {
	s := &Shares{own: map[Key]*counter{}, reports: map[uint32]report{}, claims: map[Key]claim{}, outdated: true}
	for i := range s.perWeight {
		s.perWeight[i] = math.Inf(1)
	}
	return s
}

// SetWeights sets the workspaces that compete, by their numbers. With fewer than two,
// nothing is counted and none is ever above its share.
func (s *Shares) SetWeights(weights map[uint32]float64) {
	s.weights, s.outdated = weights, true
	for key := range s.own {
		if !s.counts(key) {
			delete(s.own, key)
		}
	}
}

// Active reports whether workspaces compete.
func (s *Shares) Active() bool { return len(s.weights) > 1 }

func (s *Shares) counts(key Key) bool {
	return s.Active() && s.weights[key.Workspace] > 0 && key.Priority >= 0 && key.Priority < levels
}

func (s *Shares) counter(now time.Time, key Key) *counter {
	c := s.own[key]
	if c == nil {
		c = &counter{at: now}
		s.own[key] = c
	}
	c.decay(now)
	return c
}

// Demand counts a request that arrived.
func (s *Shares) Demand(now time.Time, key Key, tokens float64) {
	if s.counts(key) {
		c := s.counter(now, key)
		c.demand += tokens
		c.squares += tokens * tokens
	}
}

// Use counts a request that was placed at a server.
func (s *Shares) Use(now time.Time, key Key, tokens float64) {
	if s.counts(key) {
		s.counter(now, key).use += tokens
	}
}

// Unuse takes back the use of a request that did not run.
func (s *Shares) Unuse(now time.Time, key Key, tokens float64) {
	if s.counts(key) {
		c := s.counter(now, key)
		c.use = max(c.use-tokens, 0)
	}
}

// Report replaces what another entry reported before.
func (s *Shares) Report(now time.Time, entry uint32, loads []Load) {
	if _, known := s.reports[entry]; !s.Active() || !known && len(s.reports) >= maxReports {
		return
	}
	var kept []Load
	for _, load := range loads[:min(len(loads), MaxReported)] {
		if s.counts(load.Key) && isRate(load.Demand) && isRate(load.Use) {
			kept = append(kept, load)
		}
	}
	s.reports[entry] = report{now, kept}
	for _, load := range kept {
		if load.Waiting && !s.Standing(now, load.Key).Above() {
			s.shortage.elsewhere(now, load.Priority)
		}
	}
}

func isRate(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 1) }

// Largest returns the workspaces of this entry with the largest demand, for a report.
func (s *Shares) Largest(now time.Time) []Load {
	loads := make([]Load, 0, len(s.own))
	for key, c := range s.own {
		c.decay(now)
		loads = append(loads, Load{Key: key, Demand: perSecond(c.demand), Use: perSecond(c.use), Waiting: now.Sub(c.waitingAt) <= waitingTime})
	}
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Workspace, b.Workspace))
	})
	return loads[:min(len(loads), MaxReported)]
}

// Standing is how a workspace's use compares with its share, in tokens per second.
type Standing struct {
	// Share is infinite while the demand does not exceed the capacity.
	Share, Use, Demand float64
	// Noise is the standard deviation of the demand as random arrivals cause it; 0 for the
	// workspace with the largest demand for its weight.
	Noise float64
}

// Above reports whether the workspace uses more than its share, and asks for more by more
// than chance.
func (st Standing) Above() bool {
	return st.Use > st.Share*(1+margin) && st.Demand > st.Share+noiseFactor*st.Noise
}

// Excess is by how much the use exceeds the share; negative if it is below.
func (st Standing) Excess() float64 { return st.Use - st.Share }

// Standing returns how a workspace stands at a priority.
func (s *Shares) Standing(now time.Time, key Key) Standing {
	if !s.counts(key) {
		return Standing{Share: math.Inf(1)}
	}
	s.refresh(now)
	total := s.claims[key]
	standing := Standing{Share: s.perWeight[key.Priority] * s.weights[key.Workspace], Use: total.remoteUse, Demand: total.remoteDemand}
	if c := s.own[key]; c != nil {
		c.decay(now)
		demand := perSecond(c.demand)
		standing.Use += perSecond(c.use)
		standing.Demand += demand
		// The requests at other entries are taken to be of the same sizes.
		standing.Noise = perSecond(math.Sqrt(c.squares * standing.Demand / max(demand, minRate)))
	}
	if key.Workspace == s.largest[key.Priority] {
		standing.Noise = 0
	}
	return standing
}

// refresh computes the shares anew if they are no longer recent.
func (s *Shares) refresh(now time.Time) {
	if !s.outdated && now.Sub(s.refreshedAt) < refreshInterval {
		return
	}
	s.refreshedAt, s.outdated = now, false
	clear(s.claims)
	s.addOwn(now)
	s.addReports(now)
	var byPriority [levels][]claim
	for key, c := range s.claims {
		c.workspace, c.weight = key.Workspace, s.weights[key.Workspace]
		// Use above demand is of requests that were counted elsewhere when they arrived.
		c.demand = max(c.demand, c.use)
		byPriority[key.Priority] = append(byPriority[key.Priority], c)
	}
	for priority, claims := range byPriority {
		s.perWeight[priority], s.largest[priority] = sharePerWeight(claims)
	}
}

func (s *Shares) addOwn(now time.Time) {
	for key, c := range s.own {
		c.decay(now)
		if perSecond(max(c.demand, c.use)) < minRate {
			delete(s.own, key)
			continue
		}
		s.claims[key] = claim{demand: perSecond(c.demand), use: perSecond(c.use)}
	}
}

func (s *Shares) addReports(now time.Time) {
	for entry, r := range s.reports {
		if now.Sub(r.at) >= ReportLifetime {
			delete(s.reports, entry)
			continue
		}
		for _, load := range r.loads {
			if !s.counts(load.Key) {
				continue
			}
			c := s.claims[load.Key]
			c.demand, c.use = c.demand+load.Demand, c.use+load.Use
			c.remoteDemand, c.remoteUse = c.remoteDemand+load.Demand, c.remoteUse+load.Use
			s.claims[load.Key] = c
		}
	}
}

// sharePerWeight returns the share of weight 1 with which the claims add up to the
// capacity, their total use: each gets its demand, but no more than its weight times that
// share. It is infinite if the capacity suffices for all, or if only one claims it. It also
// returns the workspace with the largest demand for its weight.
func sharePerWeight(claims []claim) (share float64, largest uint32) {
	capacity, demand := 0.0, 0.0
	for _, c := range claims {
		capacity, demand = capacity+c.use, demand+c.demand
	}
	if len(claims) < 2 || demand <= capacity*(1+margin) {
		return math.Inf(1), 0
	}
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	largest = claims[len(claims)-1].workspace
	weight := 0.0
	for _, c := range claims {
		weight += c.weight
	}
	for _, c := range claims {
		if c.demand*weight > capacity*c.weight {
			break
		}
		capacity, weight = capacity-c.demand, weight-c.weight
	}
	return capacity / weight, largest
}

// Size returns the numbers of counters and of other entries' reports that are held.
func (s *Shares) Size() (counters, reports int) { return len(s.own), len(s.reports) }
