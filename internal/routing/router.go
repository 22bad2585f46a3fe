package routing

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeebo/xxh3"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/locality"
)

const (
	// averageQueueGain is the weight of one report in the moving average of all
	// servers' queues.
	averageQueueGain = 0.05
	// declineMarginMS is added to the next best cost in an offer: a refusal
	// costs a round trip, so a smaller difference is not worth one.
	declineMarginMS = 3
	// declineMarginShare is a further margin, as a share of the next best cost.
	declineMarginShare = 0.05
)

// Router chooses backend servers that have an agent, from the state and the
// cached prefixes that the agents' replies reported. It is not safe for
// concurrent use.
type Router struct {
	options   Options
	strategy  *strategy
	filter    filter
	scorer    scorer
	random    *rand.Rand
	backends  map[string]*backend
	boundSets map[string]*boundSet
	shared    sharedPrefixes
	cacheView cacheView
	handoffs  map[string]handoff
	// averageQueueMS is the moving average of the queues that servers reported.
	averageQueueMS float64
	// commonLateness is the mean lateness of first tokens over all servers.
	commonLateness lateness
	scratch        choice
}

// handoff is a request that a server accepted and that has not finished.
type handoff struct {
	backend    *backend
	expectedMS float64
}

// New returns a router. If the policy is unknown, Choose returns
// ErrUnknownPolicy.
func New(options Options) *Router {
	s, _ := strategyOf(options.Policy)
	var costs *locality.Costs
	if options.CrossDataCentreMSPerMB > 0 {
		costs = locality.NewCosts(options.CrossDataCentreMSPerMB)
	}
	return &Router{
		options:        options,
		strategy:       s,
		filter:         filter{membership: options.Membership},
		scorer:         scorer{dataCentre: options.DataCentre, region: options.Region, membership: options.Membership, costs: costs},
		random:         rand.New(rand.NewPCG(options.Seed, xxh3.HashString(options.DataCentre))),
		backends:       map[string]*backend{},
		boundSets:      map[string]*boundSet{},
		shared:         newSharedPrefixes(maxSharedPrefixes, minWidthOf(s)),
		cacheView:      newCacheView(maxObservedPoints),
		handoffs:       map[string]handoff{},
		commonLateness: lateness{ratio: 1},
	}
}

// Choose decides where to offer a request, given its offers that were refused
// so far. It returns ErrNoServer when no server may take the request.
func (r *Router) Choose(now time.Time, req *Request, pool *PoolPolicy, set *Set, refusals []RefusedOffer) (Decision, error) {
	if r.strategy == nil {
		return Decision{}, eris.Wrapf(ErrUnknownPolicy, "policy %q", r.options.Policy)
	}
	if set.Len() == 0 {
		return Decision{}, ErrNoServer
	}
	c := r.begin(now, req, pool, set, refusals)
	if r.strategy.decide != nil {
		r.strategy.decide(r, c)
		r.scoreAll(c)
		return r.conclude(c)
	}
	if r.strategy.probeAll && req.Probes == nil {
		return Decision{ProbeServers: names(set), Policy: r.strategy.name}, nil
	}
	for _, find := range r.strategy.sources {
		find(r, c)
	}
	r.scoreAll(c)
	c.pick()
	if r.strategy.probes > 0 && req.Probes == nil && c.shouldProbe(r.strategy.probeAboveMS) {
		if probe := c.cheapest(r.strategy.probes); len(probe) > 0 {
			return Decision{ProbeServers: probe, Candidates: c.explain(), Policy: r.strategy.name}, nil
		}
	}
	if c.best < 0 {
		r.fallback(c, sourceFallback)
		r.scoreAll(c)
	}
	if c.shared != nil && c.best >= 0 {
		c.shared.observe(now, c.shared.includes(c.candidates[c.best].index))
	}
	return r.conclude(c)
}

func (r *Router) begin(now time.Time, req *Request, pool *PoolPolicy, set *Set, refusals []RefusedOffer) *choice {
	c := &r.scratch
	c.now, c.req, c.policy, c.bound, c.refusals = now, req, pool, r.bind(set), refusals
	c.shared, c.averageQueueMS, c.commonLateness = nil, r.averageQueueMS, r.commonLateness
	c.n, c.best, c.next, c.declined = 0, -1, -1, 0
	for i := range refusals {
		if refusals[i].Refusal == jayv1.Refusal_REFUSAL_COST {
			c.declined++
		}
	}
	return c
}

func (r *Router) scoreAll(c *choice) {
	for i := range c.candidates[:c.n] {
		cand := &c.candidates[i]
		cand.filtered = r.filter.reason(c, cand.index)
		r.scorer.score(c, cand)
	}
}

func (r *Router) conclude(c *choice) (Decision, error) {
	decision := Decision{Policy: r.strategy.name, Candidates: c.explain()}
	if c.best < 0 {
		return decision, ErrNoServer
	}
	best := &c.candidates[c.best]
	// The work counts as queued there until the reply reports the queue, so
	// that concurrent requests do not all go to the same server.
	best.backend.offeredMS += best.prefillMS
	decision.Server = best.backend.name
	decision.Incarnation = best.backend.signals.Incarnation
	decision.ExpectedMS = best.queueMS + best.prefillMS
	decision.Final = !r.strategy.mayDecline || c.declined >= maxDeclines || best.evidence == evidenceProbed || c.next < 0
	if c.next >= 0 {
		next := &c.candidates[c.next]
		// The agent compares this with its own cost, which lacks the terms that
		// only this process adds: subtract those of the chosen server.
		ownTerms := best.totalMS - decision.ExpectedMS
		decision.NextBestMS = max(decision.ExpectedMS, next.totalMS-ownTerms)*(1+declineMarginShare) + declineMarginMS
	}
	return decision, nil
}

// bind pairs the servers of a set with their backends.
func (r *Router) bind(set *Set) *boundSet {
	v := r.boundSets[set.pool]
	if v != nil && v.set == set {
		return v
	}
	v = &boundSet{set: set, backends: make([]*backend, set.Len())}
	for i := range set.servers {
		v.backends[i] = r.backend(set.servers[i].Name)
	}
	r.boundSets[set.pool] = v
	r.removeUnused()
	return v
}

func (r *Router) backend(name string) *backend {
	b, ok := r.backends[name]
	if !ok {
		b = &backend{name: name}
		r.backends[name] = b
	}
	return b
}

// removeUnused drops the backends that are in no set any more.
func (r *Router) removeUnused() {
	inUse := make(map[string]bool, len(r.backends))
	for _, v := range r.boundSets {
		for _, b := range v.backends {
			inUse[b.name] = true
		}
	}
	for name := range r.backends {
		if !inUse[name] {
			delete(r.backends, name)
		}
	}
}

func names(set *Set) []string {
	all := make([]string, set.Len())
	for i := range set.servers {
		all[i] = set.servers[i].Name
	}
	return all
}

// UpdateState records the state that came with an agent's reply.
func (r *Router) UpdateState(now time.Time, server string, state *jayv1.AgentState) {
	if state == nil {
		return
	}
	if r.backend(server).update(now, state) {
		r.averageQueueMS += averageQueueGain * (state.GetQueueMs() - r.averageQueueMS)
	}
}

// ObserveCache records how much of a request's prompt an agent reported as
// cached at its server, by the given incarnation of the engine.
func (r *Router) ObserveCache(now time.Time, server string, req *Request, cachedBytes int, incarnation uint64) {
	b := r.backend(server)
	for _, point := range req.Chain {
		r.cacheView.put(point.GetHash(), observation{
			server: b, seenAt: now.UnixNano(), incarnation: incarnation,
			absent: int(point.GetBytes()) > cachedBytes,
		})
	}
}

// HandedOff records that a server accepted the request and expects its first
// token after expectedMS. Call UpdateState with the state of the same reply
// before: it counts the request already. The prompt is taken to be cached there
// from now on.
func (r *Router) HandedOff(now time.Time, server string, req *Request, expectedMS float64) {
	b := r.backend(server)
	b.inFlight++
	r.handoffs[req.ID] = handoff{backend: b, expectedMS: expectedMS}
	for _, point := range req.Chain {
		r.cacheView.put(point.GetHash(), observation{server: b, seenAt: now.UnixNano(), incarnation: b.signals.Incarnation})
	}
}

// Finished records the end of a request that was handed off. firstTokenMS is
// the time from handoff to first token; 0 when no token came.
func (r *Router) Finished(now time.Time, server string, req *Request, firstTokenMS float64) {
	b := r.backend(server)
	b.inFlight = max(0, b.inFlight-1)
	expected, ok := r.handoffs[req.ID]
	delete(r.handoffs, req.ID)
	if ok && expected.backend == b && firstTokenMS > 0 {
		seen := latenessOf(expected.expectedMS, firstTokenMS)
		r.commonLateness = r.commonLateness.toward(seen, commonLatenessGain)
		b.observeFirstToken(now, seen)
	}
}
