package routing

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

// DirectOptions tune the choice. Zero values take the defaults.
type DirectOptions struct {
	DataCentre string
	// MaxVersionAge beyond which a server with older weights gets nothing.
	MaxVersionAge time.Duration
	// ExclusiveServers: no other router sends requests to the servers that this one chooses
	// from, so that nothing is guessed of others and each server is looked at.
	ExclusiveServers bool
}

const (
	// prefillTokensPerMS that an engine is taken to read. First tokens came after 0.75
	// of the time that this gives on average, at 12 engines and four entries.
	prefillTokensPerMS = 50
	// recomputeMSPerToken weighs reading again what another server or the store
	// holds: the operator pays for it, and it delays all that wait behind it.
	recomputeMSPerToken = 0.2
	// copyMSPerToken weighs one more copy of a prefix, which pushes out others.
	copyMSPerToken = 0.025
	// fetchMSPerToken is how long a prefix takes over the link between engines.
	fetchMSPerToken = 0.003
	// oldVersionPenaltyMS weighs a run on weights that were replaced.
	oldVersionPenaltyMS = 250
	// versionGrace is how long after a new version was named older weights are
	// as good, and versionStep is over what time the weight then rises.
	versionGrace = 900 * time.Millisecond
	versionRamp  = 600 * time.Millisecond
	// runningRequestMS is what each request under way adds to the time of a new one, by
	// sharing the engine's steps.
	runningRequestMS = 1.5
	// otherEntryRequestMS is what a request of another entry adds: its prompt is not known.
	otherEntryRequestMS = 12
	// maxScored servers are all looked at closely in one decision; of more,
	// only those near to the prefix and sampled others that the request's id
	// picks. Entries that all look at the same servers with news of the same age
	// would all choose the same one: with 31 entries, credit on an overloaded day
	// was 0.47 with all 56 servers looked at, 0.52 with 3 others, 0.56 with one.
	maxScored      = 16
	sampledServers = 1
	// inflowWindow is the time over which the inflow of prompts is averaged.
	inflowWindow = 5 * time.Second
	// cacheShare of an engine's memory that is not taken by requests under way.
	cacheShare = 1.0
	// maxEntryFactor bounds by how much our own unread prompts at a server are
	// multiplied to stand for those of all entries: what the others sent just
	// now is in no report yet, and they choose alike. Counting it lowered late
	// answers while weights change: credit before prices 0.899 -> 0.934.
	maxEntryFactor = 6
	// estimateShare of that is added to what the others tell: 0 earned 0.732 of a day
	// with new weights, 0.5 0.736, 1 0.715.
	estimateShare = 0.5
	// reportLifetime is how long a server's word on its load counts, fading.
	reportLifetime = 2 * time.Second
	// defaultServiceMS is the guess of a plain call's service time until one was seen.
	defaultServiceMS = 40
	// meanGain weighs one result in the running means.
	meanGain = 0.1
)

// Direct chooses backend servers that are called directly, and remembers what
// it sent to them and what their answers taught. Not safe for concurrent use.
type Direct struct {
	options  DirectOptions
	loads    map[string]*directLoad
	pending  map[string]*pendingRun
	prefixes *prefixHolders
	stores   *storeIndex
	// entries that send to the same servers, this one included.
	entries int
	// savers that share the links of the stores of kept cache.
	savers int
	// inflow of prompt tokens a second that we send, over all engines.
	inflow   float64
	inflowAt time.Time
	// residenceMS is how long requests stay in an engine's memory, on average.
	residenceMS float64
	// capacity in tokens of the engines that were last chosen from, and how many.
	capacity, engines int
	// tokens that our own requests take everywhere.
	tokens int
	// unreportedTokens tokens at each server, of entries that tell nothing; for one decision.
	unreportedTokens int
	// placedHints requests that the other entries should hear of.
	placedHints []PlacedHint
	// memoryHintAt is when each other entry last told what it takes.
	memoryHintAt map[uint32]time.Time
	// prefixHints for the other entries.
	prefixHints []PrefixHint
	// eligible, lastResort and sample are scratch of one decision.
	eligible, lastResort, sample []int32
}

// NewDirect makes a router that knows nothing.
func NewDirect(options DirectOptions) *Direct {
	return &Direct{
		options: options, loads: map[string]*directLoad{}, pending: map[string]*pendingRun{},
		memoryHintAt: map[uint32]time.Time{},
		prefixes:     newPrefixHolders(), stores: newStoreIndex(), residenceMS: defaultResidenceMS,
	}
}

// SetEntries tells how many entries send to the same servers, and save to the
// same stores.
func (d *Direct) SetEntries(n int) { d.entries, d.savers = n, n }

// SetSavers tells how many routers save to the same stores, of one that is the
// sole router of its servers.
func (d *Direct) SetSavers(n int) { d.savers = n }

// Choose decides where to send a request, and counts it there until Finished.
// tried servers are left out. ErrNoServer when none may take it, ErrNoRoom when
// it should wait. The servers are read only, and not kept.
func (d *Direct) Choose(now time.Time, req *DirectRequest, servers []DirectServer, tried []string) (DirectChoice, error) {
	usable := d.filter(servers, tried)
	if len(usable) == 0 {
		return DirectChoice{}, ErrNoServer
	}
	if req.SuspectKey != 0 {
		usable = firstRanked(req.SuspectKey, servers, usable)
	}
	d.unreportedTokens = d.estimateUnreported(now)
	p := d.plan(now, req, servers, usable)
	best, bestTotal := usable[0], math.Inf(1)
	var bestTerms DirectTerms
	for _, index := range d.sampleServers(req, servers, usable, p) {
		terms := d.score(now, req, &servers[index], p)
		if total := terms.Total(); total < bestTotal {
			best, bestTotal, bestTerms = index, total, terms
		}
	}
	if req.MayWait && bestTerms.MemoryMS > maxMemoryWaitMS {
		return DirectChoice{}, ErrNoFreeMemory
	}
	if math.IsInf(bestTotal, 1) {
		return DirectChoice{}, ErrNoServer
	}
	choice := d.conclude(now, req, &servers[best], p, bestTerms)
	choice.Candidates = len(usable)
	d.commit(now, req, &choice, p)
	if p != nil {
		cached := p.forVersion(choice.Server.Version).heldBy(choice.Server.ID)
		d.updateRetention(now, req.Tokens-cached+req.OutputTokens, servers)
	}
	return choice, nil
}

// updateRetention estimates how long engines keep a prefix that is not used: their
// memory over what all entries send. A belief that is older points to nothing,
// and a fetch from there reads the prefix again.
func (d *Direct) updateRetention(now time.Time, tokens int, servers []DirectServer) {
	if age := now.Sub(d.inflowAt).Seconds(); age > 0 && !d.inflowAt.IsZero() {
		d.inflow *= math.Exp(-age / inflowWindow.Seconds())
	}
	d.inflowAt = now
	d.inflow += float64(tokens) / inflowWindow.Seconds()
	capacity := 0
	for i := range servers {
		capacity += servers[i].KVTokens
	}
	d.capacity, d.engines = capacity, len(servers)
	if capacity == 0 {
		return
	}
	cacheTokens := float64(capacity) * cacheShare / (d.inflow * float64(max(d.entries, 1)))
	d.prefixes.retention = min(max(time.Duration(cacheTokens*float64(time.Second)), minRetention), maxRetention)
}

// Retention is how long engines are thought to keep an unused prefix.
func (d *Direct) Retention() time.Duration { return d.prefixes.retention }

// filter leaves the indexes of the servers that may serve. Servers that change
// weights, or that failed of late, are taken when there is nothing else.
func (d *Direct) filter(servers []DirectServer, tried []string) []int32 {
	d.eligible, d.lastResort = d.eligible[:0], d.lastResort[:0]
	for i := range servers {
		s := &servers[i]
		switch {
		case s.Full, contains(tried, s.ID):
		case d.options.MaxVersionAge > 0 && s.VersionAge > d.options.MaxVersionAge:
		case s.Switching || !s.Usable:
			d.lastResort = append(d.lastResort, int32(i)) //nolint:gosec // an index of a short list
		default:
			d.eligible = append(d.eligible, int32(i)) //nolint:gosec // an index of a short list
		}
	}
	if len(d.eligible) > 0 {
		return d.eligible
	}
	return d.lastResort
}

// firstRanked leaves the server that is first in a key's order, alike at every entry.
func firstRanked(key uint64, servers []DirectServer, usable []int32) []int32 {
	first := 0
	for i := range usable {
		if Rendezvous(key, servers[usable[i]].Hash) > Rendezvous(key, servers[usable[first]].Hash) {
			first = i
		}
	}
	return usable[first : first+1]
}

// sampleServers bounds the servers that are scored in a large pool.
func (d *Direct) sampleServers(req *DirectRequest, servers []DirectServer, usable []int32, p *prefixPlan) []int32 {
	if p == nil || d.options.ExclusiveServers || len(usable) <= maxScored {
		return usable
	}
	d.sample = d.sample[:0]
	for i, index := range usable {
		if p != nil && p.near(&servers[index]) {
			d.sample = append(d.sample, usable[i])
		}
	}
	step := len(usable) / sampledServers
	for at := int(hashOf(req.ID) % uint64(step)); at < len(usable); at += step {
		d.sample = append(d.sample, usable[at])
	}
	return d.sample
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// commit counts the chosen request at its server.
func (d *Direct) commit(now time.Time, req *DirectRequest, choice *DirectChoice, p *prefixPlan) {
	l := d.load(choice.Server.ID)
	l.running++
	run := &pendingRun{server: choice.Server.ID, prefillMS: choice.Terms.PrefillMS, at: now, expiresAt: req.ExpiresAt}
	l.prefillMS += run.prefillMS
	if p != nil {
		run.tokens = memoryOf(req)
		l.tokens += run.tokens
		d.tokens += run.tokens
		d.recordPlaced(choice.Server.ID, run.tokens, run.prefillMS)
		v := p.forVersion(choice.Server.Version)
		if choice.SaveTo != "" {
			run.savedPart = v.levels[len(v.levels)-1].storeKey
		}
		for _, level := range v.levels {
			run.keys = append(run.keys, level.key)
			if d.prefixes.add(now, level.key, choice.Server.ID, choice.Server.Address, never) {
				d.recordHint(level.key, choice.Server.ID, durationOf(choice.ExpectedMS))
			}
		}
	}
	d.pending[req.ID] = run
}

func (d *Direct) score(now time.Time, req *DirectRequest, s *DirectServer, p *prefixPlan) DirectTerms {
	var t DirectTerms
	t.QueueMS = d.queueMS(now, s, p == nil)
	if p != nil {
		d.scorePrefix(now, req, s, p, &t)
		t.MemoryMS = d.memoryMS(now, s, req)
	}
	if s.DataCentre != d.originDataCentre(req) {
		t.DistanceMS = otherDataCentreMS
	}
	t.VersionMS = d.versionMS(s.VersionAge, t.QueueMS+t.PrefillMS+t.MemoryMS)
	if weight := max(s.Weight, minWeight); weight < 1 {
		t.PenaltyMS = (t.QueueMS + t.PrefillMS + slownessFloorMS) * (1/weight - 1)
	}
	return t
}

// conclude makes the choice of the best server.
func (d *Direct) conclude(now time.Time, req *DirectRequest, s *DirectServer, p *prefixPlan, terms DirectTerms) DirectChoice {
	choice := DirectChoice{Server: *s, Terms: terms, ExpectedMS: terms.QueueMS + terms.PrefillMS + terms.MemoryMS}
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

// lateFactor of the expected time to the first token after which a request may
// begin: behind a queue that is longer than believed it began on weights that
// had to be gone by then.
const lateFactor = 2

// versionMS rises from nothing to its weight around the moment from which a
// run on older weights is worth less. It is infinite where the request may begin
// only when older weights must not be used any more.
func (d *Direct) versionMS(age time.Duration, expectedMS float64) float64 {
	if age <= versionGrace {
		return 0
	}
	if d.options.MaxVersionAge > 0 && age+durationOf(lateFactor*expectedMS) > d.options.MaxVersionAge {
		return math.Inf(1)
	}
	return oldVersionPenaltyMS * min(1, float64(age-versionGrace)/float64(versionRamp))
}

// durationOf milliseconds.
func durationOf(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ServerHash is the rendezvous hash of a server's name, alike at every entry.
func ServerHash(id string) uint64 { return hashOf(id) }

func hashOf(texts ...string) uint64 {
	var h xxh3.Hasher
	for _, text := range texts {
		_, _ = h.WriteString(text) // A hash takes all.
		_, _ = h.WriteString("\x00")
	}
	return h.Sum64()
}
