package routing

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeebo/xxh3"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	// averageQueueGain weighs one report in the average queue of all servers.
	averageQueueGain = 0.05
	// declineMarginMS is added to the next best cost in an offer: a decline costs a
	// round trip, so a difference below it is not worth one.
	declineMarginMS = 3
	// declineMarginShare is the same as a share of the next best cost.
	declineMarginShare = 0.05
)

// Router chooses backend servers and remembers what their answers taught. Not
// safe for concurrent use: the shell locks.
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
	// averageQueueMS is the queue that servers report of late.
	averageQueueMS float64
	// commonLateness is how late first tokens are over all servers.
	commonLateness lateness
	scratch        choice
}

// handoff is what a server was chosen for, until its first token shows.
type handoff struct {
	backend    *backend
	expectedMS float64
}

// New makes a router. An unknown policy shows as ErrUnknownPolicy in Choose.
func New(options Options) *Router {
	s, _ := strategyOf(options.Policy)
	return &Router{
		options:        options,
		strategy:       s,
		filter:         filter{membership: options.Membership},
		scorer:         scorer{dataCentre: options.DataCentre, region: options.Region, membership: options.Membership},
		random:         rand.New(rand.NewPCG(options.Seed, xxh3.HashString(options.DataCentre))),
		backends:       map[string]*backend{},
		boundSets:      map[string]*boundSet{},
		shared:         newSharedPrefixes(maxSharedPrefixes, minWidthOf(s)),
		cacheView:      newCacheView(maxObservedPoints),
		handoffs:       map[string]handoff{},
		commonLateness: lateness{ratio: 1},
	}
}

// Choose decides where to offer a request, given the offers of it that were
// refused so far. ErrNoServer when no server may take it.
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
		if ask := c.cheapest(r.strategy.probes); len(ask) > 0 {
			return Decision{ProbeServers: ask, Candidates: c.explain(), Policy: r.strategy.name}, nil
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
	// Until the answer to the offer tells the queue, the work counts as there,
	// so that requests that come together do not all go to the same server.
	best.backend.offeredMS += best.prefillMS
	decision.Server = best.backend.name
	decision.Incarnation = best.backend.signals.Incarnation
	decision.ExpectedMS = best.queueMS + best.prefillMS
	decision.Final = !r.strategy.mayDecline || c.declined >= maxDeclines || best.evidence == evidenceAsked || c.next < 0
	if c.next >= 0 {
		next := &c.candidates[c.next]
		// What the agent may compare with its own cost: the next best total
		// less the terms that stand on our side for the chosen one.
		ownTerms := best.totalMS - decision.ExpectedMS
		decision.NextBestMS = max(decision.ExpectedMS, next.totalMS-ownTerms)*(1+declineMarginShare) + declineMarginMS
	}
	return decision, nil
}

// bind binds a set to what is known of its servers.
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

// removeUnused drops what is known of servers that are in no set any more.
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

// UpdateState takes in the state that rode on an agent's answer.
func (r *Router) UpdateState(now time.Time, server string, state *jayv1.AgentState) {
	if state == nil {
		return
	}
	if r.backend(server).update(now, state) {
		r.averageQueueMS += averageQueueGain * (state.GetQueueMs() - r.averageQueueMS)
	}
}

// ObserveCache takes in an agent's exact answer about a prompt: which part of it is
// cached at the server, by the engine with the incarnation.
func (r *Router) ObserveCache(now time.Time, server string, req *Request, cachedBytes int, incarnation uint64) {
	b := r.backend(server)
	for _, point := range req.Chain {
		r.cacheView.put(point.GetHash(), observation{
			server: b, seenAt: now.UnixNano(), incarnation: incarnation,
			absent: int(point.GetBytes()) > cachedBytes,
		})
	}
}

// HandedOff takes in that a server accepted the request and promised its
// first token in expectedMS. The state that came with the acceptance, learned
// before, counts the request; its prompt will be cached there.
func (r *Router) HandedOff(now time.Time, server string, req *Request, expectedMS float64) {
	b := r.backend(server)
	b.inFlight++
	r.handoffs[req.ID] = handoff{backend: b, expectedMS: expectedMS}
	for _, point := range req.Chain {
		r.cacheView.put(point.GetHash(), observation{server: b, seenAt: now.UnixNano(), incarnation: b.signals.Incarnation})
	}
}

// Finished takes in that a request that was handed over came to its end,
// firstTokenMS after the hand-over; 0 when no token came.
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
