package routing

import (
	"strconv"
	"time"
)

// PrefixSource says where a server gets a prompt's shared prefix from. The
// numbers are sent to other entries.
type PrefixSource int

// The sources.
const (
	// SourceNone: no known server or store has it, and the server is not the
	// preferred one for it.
	SourceNone PrefixSource = iota
	// SourceHeld: the server itself holds it or is prefilling it.
	SourceHeld
	// SourceHolder: another server that holds it.
	SourceHolder
	// SourcePending: another server is prefilling it.
	SourcePending
	// SourceStore: a KV cache store.
	SourceStore
	// SourcePreferred: no known server or store has it, but the server is the
	// preferred one for it.
	SourcePreferred
)

var sourceNames = [...]string{"none", "held", "holder", "coming", "store", "home"}

// String returns the source's name in logs.
func (s PrefixSource) String() string { return sourceNames[s] }

// prefixPlan is what one decision knows of the request's prefix, for each
// version of the weights among the candidates.
type prefixPlan struct {
	tokens   int
	versions []versionPlan
	// router decides whether a source in another data centre is too far, tokenBytes is
	// the size of a cached token; nil without a Locality.
	router     *Direct
	tokenBytes int
}

// forVersion returns the plan of a version; nil when there is none.
func (p *prefixPlan) forVersion(version uint64) *versionPlan {
	for i := range p.versions {
		if p.versions[i].version == version {
			return &p.versions[i]
		}
	}
	return nil
}

// sourcePlan says how one server gets the prefix.
type sourcePlan struct {
	kind    PrefixSource
	address string
	// server that is fetched from; empty: a store, or none.
	server string
	// fetched tokens come from another server or a store, missing ones must be
	// prefilled. duplicated are the missing tokens that another server is
	// prefilling.
	fetched, missing, duplicated int
}

// versionPlan is the prefix under the salt of one version.
type versionPlan struct {
	version uint64
	salt    string
	// levels of the prefix, outermost first; each includes those before it.
	levels []levelPlan
	// preferred and second are the candidates that rank first for the deepest
	// level. Every entry sends the first request with the prefix to the
	// preferred one.
	preferred, second           *DirectServer
	preferredIndex, secondIndex int32
	// last is the server that used the deepest level last; it may have evicted
	// it.
	last holderRecord
	// store of the prefix, nil without one; storedTokens of the prefix should
	// be there.
	store           *KVStore
	storedTokens    int
	preferredWeight uint64
	secondWeight    uint64
}

// levelPlan is one nested part of the prefix.
type levelPlan struct {
	key uint32
	// part is the hash of the level's own part.
	part uint64
	// tokens of the prefix up to and including this level.
	tokens  int
	holders []holderRecord
	// storeKey is the key of the level's own part at the prefix's store.
	storeKey uint32
}

// deepestKey returns the key of the complete prefix; 0 when there is none.
func (v *versionPlan) deepestKey() uint32 {
	if len(v.levels) == 0 {
		return 0
	}
	return v.levels[len(v.levels)-1].key
}

// heldBy returns the number of prefix tokens that the server should hold,
// including those that it is prefilling.
func (v *versionPlan) heldBy(server string) int {
	for i := len(v.levels) - 1; i >= 0; i-- {
		if holdsPrefix(v.levels[i].holders, server) {
			return v.levels[i].tokens
		}
	}
	return 0
}

// readyHolder returns the most recently used holder, other than server, from
// which the deepest level can be fetched, and the number of tokens that it has;
// 0 when none is known.
func (v *versionPlan) readyHolder(now time.Time, server string) (holderRecord, int) {
	for i := len(v.levels) - 1; i >= 0; i-- {
		var found holderRecord
		for _, one := range v.levels[i].holders {
			if one.ready(now) && one.server != server && one.usedAt.After(found.usedAt) {
				found = one
			}
		}
		if found.server != "" {
			return found, v.levels[i].tokens
		}
	}
	return holderRecord{}, 0
}

// pendingTokens returns the number of prefix tokens that another server is
// prefilling: they can't be fetched yet, and would be prefilled twice here.
func (v *versionPlan) pendingTokens(now time.Time, server string) int {
	for i := len(v.levels) - 1; i >= 0; i-- {
		for _, one := range v.levels[i].holders {
			if !one.ready(now) && one.server != server {
				return v.levels[i].tokens
			}
		}
	}
	return 0
}

// plan returns the prefix plan of a request; nil when it has no prompt.
func (d *Direct) plan(now time.Time, req *DirectRequest, servers []DirectServer, usable []int32) *prefixPlan {
	if req.Tokens == 0 {
		return nil
	}
	p := &prefixPlan{}
	if d.crossing.group != nil {
		p.router, p.tokenBytes = d, req.TokenBytes
	}
	for _, part := range req.Prefix {
		p.tokens += part.Tokens
	}
	var v *versionPlan
	// key and bound are the deepest key of v, and the weight that a server must exceed to be
	// one of its first two; both are copies, as all servers are compared with them.
	var key, bound, version uint64
	for _, index := range usable {
		s := &servers[index]
		if version != s.Version || v == nil {
			v, version = d.planFor(now, req, p, s.Version), s.Version
			key, bound = uint64(v.deepestKey()), v.secondWeight
		}
		if w := Rendezvous(key, s.Hash); w > bound || v.second == nil {
			v.rank(s, index, w)
			bound = v.secondWeight
		}
	}
	return p
}

// planFor returns the plan of a version, a new one if there is none yet.
func (d *Direct) planFor(now time.Time, req *DirectRequest, p *prefixPlan, version uint64) *versionPlan {
	if v := p.forVersion(version); v != nil {
		return v
	}
	p.versions = append(p.versions, d.versionPlan(now, req, version))
	return &p.versions[len(p.versions)-1]
}

// rank updates preferred and second with a candidate and its rendezvous weight.
func (v *versionPlan) rank(s *DirectServer, index int32, weight uint64) {
	switch {
	case v.preferred == nil || weight > v.preferredWeight:
		v.second, v.secondIndex, v.secondWeight = v.preferred, v.preferredIndex, v.preferredWeight
		v.preferred, v.preferredIndex, v.preferredWeight = s, index, weight
	case v.second == nil || weight > v.secondWeight:
		v.second, v.secondIndex, v.secondWeight = s, index, weight
	}
}

func (d *Direct) versionPlan(now time.Time, req *DirectRequest, version uint64) versionPlan {
	v := versionPlan{version: version, salt: Salt(version, req.CacheScope), levels: make([]levelPlan, 0, len(req.Prefix))}
	salt := hashOf(v.salt)
	tokens, chain := 0, salt
	for _, part := range req.Prefix {
		tokens += part.Tokens
		hash := hashOf(part.ID)
		chain = Rendezvous(chain, hash)
		key := levelKey(chain)
		live, last := d.prefixes.lookup(now, key)
		v.levels = append(v.levels, levelPlan{key: key, part: hash, tokens: tokens, holders: live})
		v.last = last
	}
	d.planStore(now, req.KVStores, salt, &v)
	return v
}

// levelKey returns the key of a chain of parts under their salt; never 0, which
// means none.
func levelKey(chain uint64) uint32 { return uint32(chain) | 1 } //nolint:gosec // the low half of a hash

// planStore sets the prefix's store and how much of the prefix it should have.
func (d *Direct) planStore(now time.Time, stores []KVStore, salt uint64, v *versionPlan) {
	if v.store = storeFor(stores, v.deepestKey()); v.store == nil {
		return
	}
	for i := range v.levels {
		level := &v.levels[i]
		level.storeKey = storedPartKey(v.store, salt, level.part)
		if d.stores.holds(now, level.storeKey) {
			v.storedTokens = level.tokens
		}
	}
}

// Salt returns the salt under which engines cache a prompt's parts. Parts
// computed with other weights, or in another scope, have a different salt, so that
// an engine or store that checks neither can't return a wrong part.
func Salt(version uint64, scope string) string {
	return "v" + strconv.FormatUint(version, 10) + scope
}

// scorePrefix sets the terms for what the server must prefill, fetch or copy of
// the prompt.
func (d *Direct) scorePrefix(now time.Time, req *DirectRequest, s *DirectServer, p *prefixPlan, t *DirectTerms) {
	t.PrefillMS = float64(max(0, req.Tokens-p.tokens)) / prefillTokensPerMS
	if p.tokens == 0 {
		return
	}
	from := p.source(now, p.forVersion(s.Version), s)
	if from.kind == SourceStore {
		t.PrefillMS += p.forVersion(s.Version).store.fetchMS(from.fetched, s.DataCentre)
	} else {
		t.PrefillMS += float64(from.fetched) * fetchMSPerToken
	}
	t.PrefillMS += float64(from.missing) / prefillTokensPerMS
	t.RecomputeMS = float64(from.fetched) * copyMSPerToken
	switch {
	case from.kind != SourceNone:
	case d.options.ExclusiveServers:
		// The preferred server may still hold a prefix whose record has expired.
		t.RecomputeMS += float64(from.missing) * copyMSPerToken
	default:
		// Another entry may have sent the prefix to the preferred server just now.
		from.duplicated = from.missing
	}
	t.RecomputeMS += float64(from.duplicated) * recomputeMSPerToken
}

// source returns how the server gets the prefix.
func (p *prefixPlan) source(now time.Time, v *versionPlan, s *DirectServer) sourcePlan {
	held := v.heldBy(s.ID)
	if held == p.tokens {
		// The server fetches only what it lacks: the store is the fallback if
		// it has evicted the prefix. Without it worth fell by 0.008.
		return sourcePlan{kind: SourceHeld, address: v.storeAddress(p.tokens)}
	}
	from := v.elsewhere(now, s.ID, held)
	if p.tooFar(&from, s) {
		from = sourcePlan{}
	}
	from.missing = p.tokens - held - from.fetched
	from.duplicated = max(0, v.pendingTokens(now, s.ID)-held-from.fetched)
	switch {
	case from.missing == 0:
		return from
	case from.duplicated == from.missing:
		// Nothing can be fetched until that prefill ends.
		from.kind = SourcePending
	case s == v.preferred:
		from.kind = SourcePreferred
		if from.address == "" && v.second != nil {
			from.address = v.second.Address
		}
	default:
		// Another entry may have sent the prefix to the preferred server.
		from.kind, from.address = SourceNone, v.preferred.Address
	}
	if v.last.server != "" && v.last.server != s.ID && !p.isRemote(v.last.server, s) {
		// It may have evicted the prefix; a failed fetch costs a millisecond.
		from.address = v.last.address
	}
	return from
}

// elsewhere returns the other server or the store that has most of the prefix
// beyond what the server holds. Servers evict prefixes within seconds, so that
// the store is preferred to a server that has not used the prefix recently.
func (v *versionPlan) elsewhere(now time.Time, server string, held int) sourcePlan {
	other, theirs := v.readyHolder(now, server)
	recent := theirs > 0 && now.Sub(other.usedAt) <= holderTrustPeriod
	if v.storedTokens > theirs || v.storedTokens == theirs && !recent {
		theirs = v.storedTokens
		if theirs > held {
			return sourcePlan{kind: SourceStore, address: v.store.Address, fetched: theirs - held}
		}
		return sourcePlan{}
	}
	if theirs > held {
		return sourcePlan{kind: SourceHolder, address: other.address, server: other.server, fetched: theirs - held}
	}
	return sourcePlan{}
}

// storeAddress returns the address of the prefix's store if it should have that
// many tokens of the prefix; else empty.
func (v *versionPlan) storeAddress(tokens int) string {
	if v.store == nil || v.storedTokens < tokens {
		return ""
	}
	return v.store.Address
}

func holdsPrefix(all []holderRecord, server string) bool {
	for i := range all {
		if all[i].server == server {
			return true
		}
	}
	return false
}
