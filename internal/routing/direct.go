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
	// tokensPerMS that an engine is taken to read. First tokens came after 0.75
	// of the time that this gives on average, at 12 engines and four entries.
	tokensPerMS = 50
	// rereadMSPerToken weighs reading again what another server or the store
	// holds: the operator pays for it, and it delays all that wait behind it.
	rereadMSPerToken = 0.2
	// copyMSPerToken weighs one more copy of a prefix, which pushes out others.
	copyMSPerToken = 0.025
	// fetchMSPerToken is how long a prefix takes over the link between engines.
	fetchMSPerToken = 0.003
	// oldVersionMS weighs a run on weights that were replaced.
	oldVersionMS = 250
	// versionFree is how long after a new version was named older weights are
	// as good, and versionStep is over what time the weight then rises.
	versionFree = 900 * time.Millisecond
	versionStep = 600 * time.Millisecond
	// runMS is what each request under way adds to the time of a new one, by
	// sharing the engine's steps.
	runMS = 1.5
	// otherMS is what a request of another entry adds: its prompt is not known.
	otherMS = 12
	// scoredAtMost servers are all looked at closely in one decision; of more,
	// only those near to the prefix and sampled others that the request's id
	// picks. Entries that all look at the same servers with news of the same age
	// would all choose the same one: with 31 entries, credit on an overloaded day
	// was 0.47 with all 56 servers looked at, 0.52 with 3 others, 0.56 with one.
	scoredAtMost = 16
	sampled      = 1
	// inflowMemory is the time over which the inflow of prompts is averaged.
	inflowMemory = 5 * time.Second
	// keptShare of an engine's memory that is not taken by requests under way.
	keptShare = 1.0
	// maxEntryFactor bounds by how much our own unread prompts at a server are
	// multiplied to stand for those of all entries: what the others sent just
	// now is in no report yet, and they choose alike. Counting it lowered late
	// answers while weights change: credit before prices 0.899 -> 0.934.
	maxEntryFactor = 6
	// guessShare of that is added to what the others tell: 0 earned 0.732 of a day
	// with new weights, 0.5 0.736, 1 0.715.
	guessShare = 0.5
	// reportLife is how long a server's word on its load counts, fading.
	reportLife = 2 * time.Second
	// plainMS is the guess of a plain call's service time until one was seen.
	plainMS = 40
	// meanGain weighs one result in the running means.
	meanGain = 0.1
)

// Direct chooses backend servers that are called directly, and remembers what
// it sent to them and what their answers taught. Not safe for concurrent use.
type Direct struct {
	options  DirectOptions
	loads    map[string]*directLoad
	pending  map[string]*pendingRun
	prefixes *holders
	kept     *kept
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
	// unheard tokens at each server, of entries that tell nothing; for one decision.
	unheard int
	// placed requests that the other entries should hear of.
	placed []PlacedHint
	// memoryHeard is when each other entry last told what it takes.
	memoryHeard map[uint32]time.Time
	// news for the other entries.
	news []PrefixHint
	// good, poor and few are scratch of one decision.
	good, poor, few []int32
}

// NewDirect makes a router that knows nothing.
func NewDirect(options DirectOptions) *Direct {
	return &Direct{
		options: options, loads: map[string]*directLoad{}, pending: map[string]*pendingRun{},
		memoryHeard: map[uint32]time.Time{},
		prefixes:    newHolders(), kept: newKept(), residenceMS: residenceGuess,
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
		usable = firstOf(req.SuspectKey, servers, usable)
	}
	d.unheard = d.unheardTokens(now)
	p := d.plan(now, req, servers, usable)
	best, bestTotal := usable[0], math.Inf(1)
	var bestTerms DirectTerms
	for _, index := range d.narrow(req, servers, usable, p) {
		terms := d.score(now, req, &servers[index], p)
		if total := terms.Total(); total < bestTotal {
			best, bestTotal, bestTerms = index, total, terms
		}
	}
	if req.MayWait && bestTerms.MemoryMS > waitMS {
		return DirectChoice{}, ErrNoFreeMemory
	}
	if math.IsInf(bestTotal, 1) {
		return DirectChoice{}, ErrNoServer
	}
	choice := d.conclude(now, req, &servers[best], p, bestTerms)
	choice.Candidates = len(usable)
	d.commit(now, req, &choice, p)
	if p != nil {
		held := p.byVer(choice.Server.Version).heldBy(choice.Server.ID)
		d.countInflow(now, req.Tokens-held+req.OutputTokens, servers)
	}
	return choice, nil
}

// countInflow estimates how long engines keep a prefix that is not used: their
// memory over what all entries send. A belief that is older points to nothing,
// and a fetch from there reads the prefix again.
func (d *Direct) countInflow(now time.Time, tokens int, servers []DirectServer) {
	if age := now.Sub(d.inflowAt).Seconds(); age > 0 && !d.inflowAt.IsZero() {
		d.inflow *= math.Exp(-age / inflowMemory.Seconds())
	}
	d.inflowAt = now
	d.inflow += float64(tokens) / inflowMemory.Seconds()
	capacity := 0
	for i := range servers {
		capacity += servers[i].KVTokens
	}
	d.capacity, d.engines = capacity, len(servers)
	if capacity == 0 {
		return
	}
	kept := float64(capacity) * keptShare / (d.inflow * float64(max(d.entries, 1)))
	d.prefixes.survival = min(max(time.Duration(kept*float64(time.Second)), heldAtLeast), heldAtMost)
}

// Retention is how long engines are thought to keep an unused prefix.
func (d *Direct) Retention() time.Duration { return d.prefixes.survival }

// filter leaves the indexes of the servers that may serve. Servers that change
// weights, or that failed of late, are taken when there is nothing else.
func (d *Direct) filter(servers []DirectServer, tried []string) []int32 {
	d.good, d.poor = d.good[:0], d.poor[:0]
	for i := range servers {
		s := &servers[i]
		switch {
		case s.Full, contains(tried, s.ID):
		case d.options.MaxVersionAge > 0 && s.VersionAge > d.options.MaxVersionAge:
		case s.Switching || !s.Usable:
			d.poor = append(d.poor, int32(i)) //nolint:gosec // an index of a short list
		default:
			d.good = append(d.good, int32(i)) //nolint:gosec // an index of a short list
		}
	}
	if len(d.good) > 0 {
		return d.good
	}
	return d.poor
}

// firstOf leaves the server that is first in a key's order, alike at every entry.
func firstOf(key uint64, servers []DirectServer, usable []int32) []int32 {
	first := 0
	for i := range usable {
		if Rendezvous(key, servers[usable[i]].Hash) > Rendezvous(key, servers[usable[first]].Hash) {
			first = i
		}
	}
	return usable[first : first+1]
}

// narrow bounds the servers that are scored in a large pool.
func (d *Direct) narrow(req *DirectRequest, servers []DirectServer, usable []int32, p *prefixPlan) []int32 {
	if p == nil || d.options.ExclusiveServers || len(usable) <= scoredAtMost {
		return usable
	}
	d.few = d.few[:0]
	for i, index := range usable {
		if p != nil && p.near(&servers[index]) {
			d.few = append(d.few, usable[i])
		}
	}
	step := len(usable) / sampled
	for at := int(hashOf(req.ID) % uint64(step)); at < len(usable); at += step {
		d.few = append(d.few, usable[at])
	}
	return d.few
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
	run := &pendingRun{server: choice.Server.ID, readMS: choice.Terms.PrefillMS, at: now, until: req.ExpiresAt}
	l.readMS += run.readMS
	if p != nil {
		run.tokens = memoryOf(req)
		l.tokens += run.tokens
		d.tokens += run.tokens
		d.notePlaced(choice.Server.ID, run.tokens, run.readMS)
		v := p.byVer(choice.Server.Version)
		if choice.SaveTo != "" {
			run.saves = v.levels[len(v.levels)-1].kept
		}
		for _, level := range v.levels {
			run.keys = append(run.keys, level.key)
			if d.prefixes.coming(now, level.key, choice.Server.ID, choice.Server.Address, never) {
				d.note(level.key, choice.Server.ID, durationOf(choice.ExpectedMS))
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
	if s.DataCentre != d.dataCentreOf(req) {
		t.DistanceMS = otherDataCentreMS
	}
	t.VersionMS = d.versionMS(s.VersionAge, t.QueueMS+t.PrefillMS+t.MemoryMS)
	if weight := max(s.Weight, leastWeight); weight < 1 {
		t.PenaltyMS = (t.QueueMS + t.PrefillMS + slownessFloor) * (1/weight - 1)
	}
	return t
}

// conclude makes the choice of the best server.
func (d *Direct) conclude(now time.Time, req *DirectRequest, s *DirectServer, p *prefixPlan, terms DirectTerms) DirectChoice {
	choice := DirectChoice{Server: *s, Terms: terms, ExpectedMS: terms.QueueMS + terms.PrefillMS + terms.MemoryMS}
	if p == nil {
		return choice
	}
	v := p.byVer(s.Version)
	choice.Salt, choice.Prefix = v.salt, v.deepest()
	from := p.source(now, v, s)
	choice.Source, choice.FetchFrom = from.kind, from.address
	d.save(now, req, v, from, &choice)
	return choice
}

func (d *Direct) dataCentreOf(req *DirectRequest) string {
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
	if age <= versionFree {
		return 0
	}
	if d.options.MaxVersionAge > 0 && age+durationOf(lateFactor*expectedMS) > d.options.MaxVersionAge {
		return math.Inf(1)
	}
	return oldVersionMS * min(1, float64(age-versionFree)/float64(versionStep))
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
