package routing

import "slices"

// Names of the policies, as in settings. PolicyProbeIfUncertain is the default; the
// others are baselines and bounds for experiments.
const (
	// PolicyRandom takes any usable server.
	PolicyRandom = "random"
	// PolicyLeastLoad takes the server with the fewest requests, as last
	// reported.
	PolicyLeastLoad = "least-load"
	// PolicyHashFirst takes the preferred server of the prompt's first prefix
	// point.
	PolicyHashFirst = "hash-first"
	// PolicyHashLevel takes the preferred server of the shared prefix.
	PolicyHashLevel = "hash-level"
	// PolicyObservations chooses among random servers and those that this process
	// observed to hold a prefix of the request.
	PolicyObservations = "beliefs"
	// PolicyAssumptions extends PolicyObservations with the servers of the shared
	// prefix's rendezvous set, which are assumed to hold it.
	PolicyAssumptions = "presumption"
	// PolicyOffers extends PolicyAssumptions: agents may refuse an offer with
	// their actual cost.
	PolicyOffers = "offers"
	// PolicyProbeFour probes four candidates for their actual cost before it
	// chooses.
	PolicyProbeFour = "ask-four"
	// PolicyProbeIfUncertain probes four candidates only when that may save time;
	// otherwise it offers the request to a server that was seen to hold the
	// prefix.
	PolicyProbeIfUncertain = "ask-in-doubt"
	// PolicyProbeAll probes every server: a bound for comparison, not for
	// production.
	PolicyProbeAll = "ask-all"
)

// maxDeclines is how many refusals for cost a request may receive before its
// offer is final.
const maxDeclines = 3

// strategy implements a policy.
type strategy struct {
	name    string
	sources []source
	// decide chooses directly, for baselines that need no scores.
	decide func(r *Router, c *choice)
	// mayDecline lets agents refuse offers for cost.
	mayDecline bool
	// probes is the number of servers to probe first; probeAll probes every
	// server.
	probes   int
	probeAll bool
	// probeAboveMS is the time that probing must be able to save; negative:
	// always probe.
	probeAboveMS float64
	// minWidth is the size of a prefix's set while its request rate is low; 0
	// counts as 1.
	minWidth int
}

// defaultProbeAboveMS: when the queue and the recomputation of the shared prefix
// at the best candidate take less, probing is not worth its messages.
const defaultProbeAboveMS = 25

// probedServers is the number of servers that policies probe. It is also the
// smallest size of a prefix's set: copies of a prefix with a low request rate
// are only at these servers, so that probing them finds any copy, whichever
// process placed it, and the choice among them keeps their queues even.
const probedServers = 4

var strategies = []strategy{
	{name: PolicyRandom, decide: decideRandom},
	{name: PolicyLeastLoad, decide: decideLeastLoad},
	{name: PolicyHashFirst, decide: decideHashFirst},
	{name: PolicyHashLevel, decide: decideHashLevel},
	{name: PolicyObservations, sources: []source{fromRandom, fromObservations}},
	{name: PolicyAssumptions, sources: []source{fromRendezvous, fromRandom, fromObservations, assumeSharedHeld}},
	{name: PolicyOffers, sources: []source{fromRefusals, fromRendezvous, fromRandom, fromObservations, assumeSharedHeld}, mayDecline: true},
	{name: PolicyProbeFour, sources: []source{fromProbes, fromRendezvous, fromRandom, fromObservations, assumeSharedHeld}, probes: probedServers, probeAboveMS: -1, minWidth: probedServers},
	{name: PolicyProbeIfUncertain, sources: []source{fromRefusals, fromProbes, fromRendezvous, fromRandom, fromObservations, assumeSharedHeld}, mayDecline: true, probes: probedServers, probeAboveMS: defaultProbeAboveMS, minWidth: probedServers},
	{name: PolicyProbeAll, sources: []source{fromProbes}, probeAll: true},
}

// Policies returns the names of all policies.
func Policies() []string {
	names := make([]string, len(strategies))
	for i := range strategies {
		names[i] = strategies[i].name
	}
	return names
}

func strategyOf(name string) (*strategy, bool) {
	if name == "" {
		name = PolicyProbeIfUncertain
	}
	at := slices.IndexFunc(strategies, func(s strategy) bool { return s.name == name })
	if at < 0 {
		return nil, false
	}
	return &strategies[at], true
}

// choose makes the server the choice.
func (c *choice) choose(index int32, source string) {
	c.add(index, source)
	c.best = c.n - 1
}

func decideRandom(r *Router, c *choice) {
	r.fallback(c, sourceRandom)
}

// decideLeastLoad looks at every server: a baseline, not for large sets.
func decideLeastLoad(r *Router, c *choice) {
	best, bestLoad := int32(-1), 0
	offset := r.random.IntN(c.bound.set.Len())
	for i := range c.bound.set.Len() {
		index := int32((i + offset) % c.bound.set.Len())
		if r.filter.reason(c, index) != "" {
			continue
		}
		if load := c.bound.backends[index].load(); best < 0 || load < bestLoad {
			best, bestLoad = index, load
		}
	}
	if best >= 0 {
		c.choose(best, sourceLoad)
	}
}

func decideHashFirst(r *Router, c *choice) {
	r.decideHash(c, 0)
}

func decideHashLevel(r *Router, c *choice) {
	points, _ := sharedPoints(c.req, c.policy)
	r.decideHash(c, points[0])
}

func (r *Router) decideHash(c *choice, point int) {
	if point < len(c.req.Chain) {
		shared := r.shared.of(c.req.Chain[point].GetHash(), c.bound.set)
		for _, index := range shared.ranking.servers[:shared.ranking.length] {
			if r.filter.reason(c, index) == "" {
				c.choose(index, sourceRendezvous)
				return
			}
		}
	}
	r.fallback(c, sourceFallback)
}

// fallback chooses the first usable server from a random position on.
func (r *Router) fallback(c *choice, source string) {
	offset := r.random.IntN(c.bound.set.Len())
	for i := range c.bound.set.Len() {
		index := int32((i + offset) % c.bound.set.Len())
		if r.filter.reason(c, index) == "" {
			c.choose(index, source)
			return
		}
	}
}

func minWidthOf(s *strategy) int {
	if s == nil {
		return 1
	}
	return max(1, s.minWidth)
}
