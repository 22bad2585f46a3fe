package routing

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/locality"
)

// DirectOptions configure a Direct.
type DirectOptions struct {
	DataCentre string
	// MaxVersionAge is the age of a version, counted from the announcement of a
	// newer one, beyond which its servers get no requests; 0: no bound.
	MaxVersionAge time.Duration
	// ExclusiveServers: no other router sends requests to the servers that this
	// one chooses from. Nothing is estimated for other routers then, and every
	// server is scored.
	ExclusiveServers bool
	// Locality decides which requests may leave their data centre; nil: every server of
	// another data centre costs otherDataCentreMS.
	Locality Locality
}

const (
	// prefillTokensPerMS is the prefill rate assumed of an engine. First tokens came
	// after 0.75 of the time that it gives, on average over 12 engines.
	prefillTokensPerMS = 50
	// recomputeMSPerToken is the cost of prefilling again what another server
	// or a store holds, beyond its own time: it delays all requests queued
	// behind it.
	recomputeMSPerToken = 0.2
	// copyMSPerToken is the cost of one more copy of a prefix, which evicts
	// others.
	copyMSPerToken = 0.025
	// fetchMSPerToken is the transfer time of a prefix between engines.
	fetchMSPerToken = 0.003
	// oldVersionPenaltyMS is the cost of a run on weights that were superseded.
	oldVersionPenaltyMS = 250
	// versionGrace is how long after the announcement of a new version older
	// weights cost nothing; over versionRamp the cost then rises to
	// oldVersionPenaltyMS.
	versionGrace = 900 * time.Millisecond
	versionRamp  = 600 * time.Millisecond
	// runningRequestMS is the delay that each running request of this router
	// adds to a new one by sharing the engine's steps.
	runningRequestMS = 1.5
	// otherEntryRequestMS is the delay that a request of another entry adds;
	// its prompt is not known here.
	otherEntryRequestMS = 12
	// maxScored is the number of servers up to which all are scored in one
	// decision. Of more, only those are scored that rank first for the prefix
	// or hold it, and sampledServers others that the request's id selects.
	// Entries that score the same servers with information of the same age
	// would all choose the same one: with 31 entries and 56 servers an overloaded
	// day earned 0.47 with all scored, 0.52 with three others, 0.56 with one.
	maxScored      = 16
	sampledServers = 1
	// inflowWindow is the averaging time of the inflow of prompts.
	inflowWindow = 5 * time.Second
	// cacheShare is the share of an engine's memory that is assumed to hold
	// cached prefixes.
	cacheShare = 1.0
	// maxEntryFactor bounds the number of entries, this one included, that are
	// assumed to have as much pending prefill at a server as this one: requests
	// that other entries sent just now are in no report yet. Without it more
	// responses are late while weights change: 0.899 earned instead of 0.934.
	maxEntryFactor = 6
	// estimateShare is the share of that estimate that is added to the pending
	// prefill reported by the other entries. A day with new weights earned 0.732
	// with 0, 0.736 with 0.5 and 0.715 with 1.
	estimateShare = 0.5
	// reportLifetime is how long a load reported by a server counts, with
	// linearly falling weight.
	reportLifetime = 2 * time.Second
	// meanGain is the weight of one result in the running means.
	meanGain = 0.1
)

// Direct chooses among backend servers that are called without an agent, from
// the requests that it placed, the servers' responses and the hints of other
// entries. It is not safe for concurrent use.
type Direct struct {
	options  DirectOptions
	loads    map[string]*directLoad
	pending  map[string]*pendingRun
	prefixes *prefixHolders
	stores   *storeIndex
	// entries that send to the same servers, this one included.
	entries int
	// savers is the number of routers that save to the same KV cache stores.
	savers int
	// inflow of prompt and output tokens per second from this router, over all
	// engines, as of inflowAt.
	inflow   float64
	inflowAt time.Time
	// placedWork is the prefill work that this router places.
	placedWork workRate
	// residenceMS is the mean time that requests occupy an engine's memory.
	residenceMS float64
	// capacity is the total memory, in tokens, of the engines in the last
	// choice; engines is their number.
	capacity, engines int
	// listedTokens is the total memory, in tokens, of the servers in the current decision.
	listedTokens int
	// tokens that the requests of this router occupy, over all servers.
	tokens int
	// unreportedTokens is the estimate, for the current decision, of the tokens
	// that entries without a recent memory hint occupy at each server.
	unreportedTokens int
	// pool sums up, for the current decision on a request without a prompt, the service
	// times of the usable servers.
	pool poolServiceTime
	// placedHints for the other entries.
	placedHints []PlacedHint
	// memoryHintAt is the time of the last memory hints from each other entry.
	memoryHintAt map[uint32]time.Time
	// prefixHints for the other entries.
	prefixHints []PrefixHint
	// Scratch lists of one decision: servers that may serve, those taken only
	// when there are no such servers, those that refuse requests for now, and
	// those to score.
	eligible, lastResort, refusing, sample []int32
	// crossing of the current decision between data centres; centres, local and scored are
	// its scratch lists.
	crossing      crossing
	centres       []locality.Centre
	local, scored []int32
}

// NewDirect returns a router without any load or holders recorded.
func NewDirect(options DirectOptions) *Direct {
	return &Direct{
		options: options, loads: map[string]*directLoad{}, pending: map[string]*pendingRun{},
		memoryHintAt: map[uint32]time.Time{},
		prefixes:     newPrefixHolders(), stores: newStoreIndex(), residenceMS: defaultResidenceMS,
	}
}

// SetEntries sets the number of entries that send to the same servers and save
// to the same KV cache stores.
func (d *Direct) SetEntries(n int) { d.entries, d.savers = n, n }

// SetSavers sets the number of routers that save to the same KV cache stores,
// for a router with ExclusiveServers.
func (d *Direct) SetSavers(n int) { d.savers = n }

// Choose decides where to send a request, and counts it at that server until
// Finished. Servers in tried and those of another software version are excluded. It returns
// ErrNoServer when no server may take the request, ErrNoFreeMemory or ErrLongQueue when
// the request should wait, and a TooLateError when none can respond in its TimeLeft.
// The servers are neither changed nor retained.
func (d *Direct) Choose(now time.Time, req *DirectRequest, servers []DirectServer, tried []string) (DirectChoice, error) {
	usable := d.filter(servers, req.Software, tried)
	if len(usable) == 0 && len(d.refusing) > 0 {
		if req.MayWait {
			return DirectChoice{}, ErrNoFreeMemory
		}
		usable = d.refusing
	}
	if len(usable) == 0 {
		return DirectChoice{}, ErrNoServer
	}
	if req.SuspectKey != 0 {
		usable = firstRanked(req.SuspectKey, servers, usable)
	}
	all := usable
	usable = d.beginCrossing(now, req, servers, usable, tried)
	d.unreportedTokens = d.estimateUnreported(now)
	p := d.plan(now, req, servers, usable)
	if p == nil {
		d.pool = d.poolServiceTime(servers, usable)
	}
	best, bestTotal, bestTerms := d.bestOf(now, req, servers, d.sampleServers(req, servers, usable, p), p)
	if d.crossing.group != nil && p != nil && len(all) > len(usable) {
		d.crossing.setWait(&bestTerms, bestTotal)
		if other, total, terms := d.bestOf(now, req, servers, d.elsewhere(req, servers, all, p), p); total < bestTotal {
			best, bestTotal, bestTerms = other, total, terms
		}
	}
	if math.IsInf(bestTotal, 1) && len(all) > len(usable) {
		d.widenCrossing()
		usable = all
		p = d.plan(now, req, servers, usable)
		best, bestTotal, bestTerms = d.bestOf(now, req, servers, d.sampleServers(req, servers, usable, p), p)
	}
	if TooLate(bestTerms.expectedMS(), req.TimeLeft) {
		var err error
		if best, bestTerms, err = d.bestInTime(now, req, servers, usable, p); err != nil {
			return DirectChoice{}, err
		}
	}
	switch {
	case req.MayWait && bestTerms.MemoryMS > maxMemoryWaitMS, d.mustAwaitOthers(req):
		d.refusedCrossing(now, req)
		return DirectChoice{}, ErrNoFreeMemory
	case req.MayWait && waitsOutside(req, &bestTerms):
		return DirectChoice{}, ErrLongQueue
	}
	if math.IsInf(bestTotal, 1) {
		return DirectChoice{}, ErrNoServer
	}
	choice := d.conclude(now, req, &servers[best], p, bestTerms)
	choice.Candidates = len(usable)
	choice.Leaves = d.leaveReason(&choice.Server, p)
	d.commit(now, req, &choice, p)
	if p != nil {
		cached := p.forVersion(choice.Server.Version).heldBy(choice.Server.ID)
		d.updateRetention(now, req.Tokens-cached+req.OutputTokens, len(servers))
	}
	return choice, nil
}

// bestOf returns the server with the lowest score, its score, and the terms of that. The
// score is infinite if none may serve.
func (d *Direct) bestOf(now time.Time, req *DirectRequest, servers []DirectServer, sample []int32, p *prefixPlan) (best int32, bestTotal float64, bestTerms DirectTerms) {
	bestTotal = math.Inf(1)
	for _, index := range sample {
		terms := d.score(now, req, &servers[index], p)
		if total := terms.Total(); total < bestTotal {
			best, bestTotal, bestTerms = index, total, terms
		}
	}
	return best, bestTotal, bestTerms
}

// updateRetention estimates how long engines keep an unused prefix: their
// memory divided by the inflow from all entries. A holder record that is older
// is likely wrong, and a fetch from that server would end in another prefill.
func (d *Direct) updateRetention(now time.Time, tokens, engines int) {
	if age := now.Sub(d.inflowAt).Seconds(); age > 0 && !d.inflowAt.IsZero() {
		d.inflow *= math.Exp(-age / inflowWindow.Seconds())
	}
	d.inflowAt = now
	d.inflow += float64(tokens) / inflowWindow.Seconds()
	d.capacity, d.engines = d.listedTokens, engines
	if d.capacity == 0 {
		return
	}
	cacheTokens := float64(d.capacity) * cacheShare / (d.inflow * float64(max(d.entries, 1)))
	d.prefixes.retention = min(max(time.Duration(cacheTokens*float64(time.Second)), minRetention), maxRetention)
}

// Retention returns the estimate of how long engines keep an unused prefix.
func (d *Direct) Retention() time.Duration { return d.prefixes.retention }

// commit counts the chosen request at its server.
func (d *Direct) commit(now time.Time, req *DirectRequest, choice *DirectChoice, p *prefixPlan) {
	l := d.load(choice.Server.ID)
	run := &pendingRun{
		server: choice.Server.ID, prefillMS: choice.Terms.PrefillMS, serviceFactor: l.serviceFactor(now, choice.Server.Slots),
		priority: req.Priority, expectedMS: choice.ExpectedMS - choice.Terms.CorrectionMS,
		at: now, expiresAt: req.ExpiresAt,
	}
	l.running++
	l.placedSince++
	l.addPrefill(run)
	if p != nil {
		run.tokens = memoryOf(req)
		d.placedWork.add(now, run.prefillMS)
		l.tokens += run.tokens
		d.tokens += run.tokens
		d.recordPlaced(run)
		v := p.forVersion(choice.Server.Version)
		run.keys = make([]uint32, 0, len(v.levels))
		if choice.SaveTo != "" {
			run.savedPart = v.levels[len(v.levels)-1].storeKey
		}
		if d.options.ExclusiveServers {
			run.owner = req.OwnerKey()
		}
		for i := range v.levels {
			key := v.levels[i].key
			run.keys = append(run.keys, key)
			if d.prefixes.add(now, key, holderRecord{server: choice.Server.ID, address: choice.Server.Address, owner: run.owner, readyAt: never}) {
				d.recordHint(PrefixHint{Prefix: key, Owner: run.owner, Server: choice.Server.ID, ReadyIn: durationOf(choice.ExpectedMS)})
			}
		}
	}
	d.recordCrossing(now, choice, run, p)
	d.pending[req.ID] = run
}

func (d *Direct) score(now time.Time, req *DirectRequest, s *DirectServer, p *prefixPlan) DirectTerms {
	var t DirectTerms
	l := d.load(s.ID)
	d.setQueue(now, req, l, s, p == nil, &t)
	if p != nil {
		d.scorePrefix(now, req, s, p, &t)
		t.MemoryMS = d.memoryMS(now, s, req)
		if req.Ranked {
			t.CorrectionMS = l.late.correctionMS(now, req.Priority)
		}
	}
	if p != nil && d.options.ExclusiveServers {
		t.InterruptMS = l.interruptMS(t.PrefillMS)
	}
	t.SlowdownMS = l.slowdownMS(now, t.QueueMS+t.PrefillMS)
	t.DistanceMS = d.distanceMS(now, req, s, p, &t)
	t.VersionMS = d.versionMS(s.VersionAge, t.QueueMS+t.PrefillMS+t.MemoryMS)
	if weight := max(s.Weight, minWeight); weight < 1 {
		t.PenaltyMS = (t.QueueMS + t.PrefillMS + ratioFloorMS) * (1/weight - 1)
	}
	return t
}

// conclude builds the choice for the best server.
func (d *Direct) conclude(now time.Time, req *DirectRequest, s *DirectServer, p *prefixPlan, terms DirectTerms) DirectChoice {
	choice := DirectChoice{Server: *s, Terms: terms, ExpectedMS: terms.expectedMS()}
	if p == nil {
		return choice
	}
	v := p.forVersion(s.Version)
	choice.Salt, choice.Prefix = v.salt, v.deepestKey()
	from := p.source(now, v, s)
	choice.Source, choice.FetchFrom = from.kind, from.address
	d.planSave(now, req, v, from, &choice)
	return choice
}

func (d *Direct) originDataCentre(req *DirectRequest) string {
	if req.DataCentre != "" {
		return req.DataCentre
	}
	return d.options.DataCentre
}

// lateFactor times the expected time to the first token is the delay allowed
// for in the check against MaxVersionAge: a queue may be longer than estimated,
// and the request must not begin on weights that are too old by then.
const lateFactor = 2

// versionMS returns the cost of superseded weights. It is infinite where the
// weights may exceed MaxVersionAge before the request begins.
func (d *Direct) versionMS(age time.Duration, expectedMS float64) float64 {
	if age <= versionGrace {
		return 0
	}
	if d.options.MaxVersionAge > 0 && age+durationOf(lateFactor*expectedMS) > d.options.MaxVersionAge {
		return math.Inf(1)
	}
	return oldVersionPenaltyMS * min(1, float64(age-versionGrace)/float64(versionRamp))
}

// durationOf converts milliseconds.
func durationOf(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ServerHash returns the rendezvous hash of a server's id; it is the same at
// every entry.
func ServerHash(id string) uint64 { return hashOf(id) }

func hashOf(texts ...string) uint64 {
	// For an ID, one call of Hash takes 22 ns and a Hasher, with its buffer of a kilobyte, 67.
	var buffer [128]byte
	joined := buffer[:0]
	for _, text := range texts {
		joined = append(append(joined, text...), 0)
	}
	return xxh3.Hash(joined)
}
