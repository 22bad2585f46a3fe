package routing

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeebo/xxh3"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	// averageGain weighs one report in the average queue of all servers.
	averageGain = 0.05
	// askMarginMS is added to the next best cost in an offer: a decline costs a
	// round trip, so a difference below it is not worth one.
	askMarginMS = 3
	// askMarginShare is the same as a share of the next best cost.
	askMarginShare = 0.05
)

// Router chooses backend servers and remembers what their answers taught. Not
// safe for concurrent use: the shell locks.
type Router struct {
	options  Options
	strategy *strategy
	filter   filter
	scorer   scorer
	random   *rand.Rand
	backends map[string]*backend
	views    map[string]*view
	levels   levels
	beliefs  beliefs
	pending  map[string]promise
	// averageMS is the queue that servers report of late.
	averageMS float64
	// common is how late first tokens are over all servers.
	common  tardiness
	scratch choice
}

// promise is what a server was chosen for, until its first token shows.
type promise struct {
	backend    *backend
	expectedMS float64
}

// New makes a router. An unknown policy shows as ErrUnknownPolicy in Choose.
func New(options Options) *Router {
	s, _ := strategyOf(options.Policy)
	return &Router{
		options:  options,
		strategy: s,
		filter:   filter{membership: options.Membership},
		scorer:   scorer{dataCentre: options.DataCentre, region: options.Region, membership: options.Membership},
		random:   rand.New(rand.NewPCG(options.Seed, xxh3.HashString(options.DataCentre))),
		backends: map[string]*backend{},
		views:    map[string]*view{},
		levels:   newLevels(levelEntries, neighboursOf(s)),
		beliefs:  newBeliefs(beliefPrefixes),
		pending:  map[string]promise{},
		common:   tardiness{ratio: 1},
	}
}

// Choose decides where to offer a request, given the offers of it that were
// refused so far. ErrNoServer when no server may take it.
func (r *Router) Choose(now time.Time, req *Request, pool *PoolPolicy, set *Set, tried []RefusedOffer) (Decision, error) {
	if r.strategy == nil {
		return Decision{}, eris.Wrapf(ErrUnknownPolicy, "policy %q", r.options.Policy)
	}
	if set.Len() == 0 {
		return Decision{}, ErrNoServer
	}
	c := r.begin(now, req, pool, set, tried)
	if r.strategy.decide != nil {
		r.strategy.decide(r, c)
		r.scoreAll(c)
		return r.conclude(c)
	}
	if r.strategy.askAll && req.Probes == nil {
		return Decision{ProbeServers: names(set), Policy: r.strategy.name}, nil
	}
	for _, find := range r.strategy.sources {
		find(r, c)
	}
	r.scoreAll(c)
	c.pick()
	if r.strategy.ask > 0 && req.Probes == nil && c.inDoubt(r.strategy.askAboveMS) {
		if ask := c.cheapest(r.strategy.ask); len(ask) > 0 {
			return Decision{ProbeServers: ask, Candidates: c.explain(), Policy: r.strategy.name}, nil
		}
	}
	if c.best < 0 {
		r.fallback(c, sourceFallback)
		r.scoreAll(c)
	}
	if c.level != nil && c.best >= 0 {
		c.level.observe(now, c.level.holds(c.candidates[c.best].index))
	}
	return r.conclude(c)
}

func (r *Router) begin(now time.Time, req *Request, pool *PoolPolicy, set *Set, tried []RefusedOffer) *choice {
	c := &r.scratch
	c.now, c.req, c.policy, c.view, c.tried = now, req, pool, r.viewOf(set), tried
	c.level, c.averageMS, c.common = nil, r.averageMS, r.common
	c.n, c.best, c.next, c.declined = 0, -1, -1, 0
	for i := range tried {
		if tried[i].Refusal == jayv1.Refusal_REFUSAL_COST {
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
		decision.NextBestMS = max(decision.ExpectedMS, next.totalMS-ownTerms)*(1+askMarginShare) + askMarginMS
	}
	return decision, nil
}

// viewOf binds a set to what is known of its servers.
func (r *Router) viewOf(set *Set) *view {
	v := r.views[set.pool]
	if v != nil && v.set == set {
		return v
	}
	v = &view{set: set, backends: make([]*backend, set.Len())}
	for i := range set.servers {
		v.backends[i] = r.backend(set.servers[i].Name)
	}
	r.views[set.pool] = v
	r.forget()
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

// forget drops what is known of servers that are in no set any more.
func (r *Router) forget() {
	inUse := make(map[string]bool, len(r.backends))
	for _, v := range r.views {
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
	if r.backend(server).learn(now, state) {
		r.averageMS += averageGain * (state.GetQueueMs() - r.averageMS)
	}
}

// ObserveCache takes in an agent's exact answer about a prompt: which part of it is
// cached at the server, by the engine with the incarnation.
func (r *Router) ObserveCache(now time.Time, server string, req *Request, cachedBytes int, incarnation uint64) {
	b := r.backend(server)
	for _, point := range req.Chain {
		r.beliefs.put(point.GetHash(), holder{
			server: b, seen: now.UnixNano(), incarnation: incarnation,
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
	r.pending[req.ID] = promise{backend: b, expectedMS: expectedMS}
	for _, point := range req.Chain {
		r.beliefs.put(point.GetHash(), holder{server: b, seen: now.UnixNano(), incarnation: b.signals.Incarnation})
	}
}

// Finished takes in that a request that was handed over came to its end,
// firstTokenMS after the hand-over; 0 when no token came.
func (r *Router) Finished(now time.Time, server string, req *Request, firstTokenMS float64) {
	b := r.backend(server)
	b.inFlight = max(0, b.inFlight-1)
	made, ok := r.pending[req.ID]
	delete(r.pending, req.ID)
	if ok && made.backend == b && firstTokenMS > 0 {
		seen := tardinessOf(made.expectedMS, firstTokenMS)
		r.common = r.common.toward(seen, commonGain)
		b.observe(now, seen)
	}
}
