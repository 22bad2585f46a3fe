package routing

import "slices"

// Policies by name. PolicyAskInDoubt is the product's; the others are
// baselines, earlier versions and bounds for experiments.
const (
	// PolicyRandom takes any usable server.
	PolicyRandom = "random"
	// PolicyLeastLoad takes the server with the fewest requests, as last reported.
	PolicyLeastLoad = "least-load"
	// PolicyHashFirst takes the rendezvous server of the prompt's first block.
	PolicyHashFirst = "hash-first"
	// PolicyHashLevel takes the rendezvous server of the shared level.
	PolicyHashLevel = "hash-level"
	// PolicyBeliefs goes by what this process saw alone.
	PolicyBeliefs = "beliefs"
	// PolicyPresumption adds the rendezvous set and what it is presumed to hold.
	PolicyPresumption = "presumption"
	// PolicyOffers adds that agents may decline at once with their true cost.
	PolicyOffers = "offers"
	// PolicyAskFour asks four candidates for their true cost before it chooses.
	PolicyAskFour = "ask-four"
	// PolicyAskInDoubt asks four only when that may save time, and otherwise
	// offers to a server that was seen to hold the prefix.
	PolicyAskInDoubt = "ask-in-doubt"
	// PolicyAskAll asks every server: full knowledge, a bound and not a product.
	PolicyAskAll = "ask-all"
)

// maxDeclines is how many refusals for cost a request may meet before its
// offer can no longer be declined for cost.
const maxDeclines = 3

// strategy is what a policy is made of.
type strategy struct {
	name    string
	sources []source
	// decide replaces scoring for the baselines that need none.
	decide func(r *Router, c *choice)
	// mayDecline lets agents refuse for cost.
	mayDecline bool
	// probes is the number of servers to probe first; askAll probes every one.
	probes   int
	probeAll bool
	// probeAboveMS: no agent is asked when less than this can be saved. Negative:
	// always ask.
	probeAboveMS float64
	// minWidth is how many servers of a prefix's order hold it while it is
	// not hot; 0 counts as 1.
	minWidth int
}

// defaultProbeAboveMS in milliseconds: a wait and a recomputation of a shared level that
// are expected to stay below it are not worth the messages of four questions.
const defaultProbeAboveMS = 25

// probedServers of the asking policies. Copies of a prefix that is not
// hot lie on these first servers of its order only, so that asking them finds
// any copy, whichever process placed it; the choice among four keeps queues even.
const probedServers = 4

var strategies = []strategy{
	{name: PolicyRandom, decide: decideRandom},
	{name: PolicyLeastLoad, decide: decideLeastLoad},
	{name: PolicyHashFirst, decide: decideHashFirst},
	{name: PolicyHashLevel, decide: decideHashLevel},
	{name: PolicyBeliefs, sources: []source{fromRandom, fromObservations}},
	{name: PolicyPresumption, sources: []source{fromRendezvous, fromRandom, fromObservations, presume}},
	{name: PolicyOffers, sources: []source{fromRefusals, fromRendezvous, fromRandom, fromObservations, presume}, mayDecline: true},
	{name: PolicyAskFour, sources: []source{fromProbes, fromRendezvous, fromRandom, fromObservations, presume}, probes: probedServers, probeAboveMS: -1, minWidth: probedServers},
	{name: PolicyAskInDoubt, sources: []source{fromRefusals, fromProbes, fromRendezvous, fromRandom, fromObservations, presume}, mayDecline: true, probes: probedServers, probeAboveMS: defaultProbeAboveMS, minWidth: probedServers},
	{name: PolicyAskAll, sources: []source{fromProbes}, probeAll: true},
}

// Policies lists the names of all policies.
func Policies() []string {
	names := make([]string, len(strategies))
	for i := range strategies {
		names[i] = strategies[i].name
	}
	return names
}

func strategyOf(name string) (*strategy, bool) {
	if name == "" {
		name = PolicyAskInDoubt
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

// decideLeastLoad looks at every server: a baseline, not meant for large sets.
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

// fallback takes the first usable server after a random one.
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
