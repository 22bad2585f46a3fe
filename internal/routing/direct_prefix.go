package routing

import (
	"strconv"
	"time"
)

// PrefixSource says where a server gets a prompt's shared prefix from.
type PrefixSource int

// The sources.
const (
	// SourceNone: it is in no place known to us, and not the server's to hold.
	SourceNone PrefixSource = iota
	// SourceHeld: the server itself, by one of our requests.
	SourceHeld
	// SourceHolder: another server that holds it.
	SourceHolder
	// SourcePending: another server reads it just now.
	SourcePending
	// SourceStore: a store of kept cache.
	SourceStore
	// SourcePreferred: the server is first in the prefix's order.
	SourcePreferred
)

var sourceNames = [...]string{"none", "held", "holder", "coming", "store", "home"}

// String is the word for logs.
func (s PrefixSource) String() string { return sourceNames[s] }

// prefixPlan is what one decision knows of the request's prefix, for each
// version of the weights that a candidate has.
type prefixPlan struct {
	tokens   int
	versions []versionPlan
}

// forVersion returns the plan of a version; there are few.
func (p *prefixPlan) forVersion(version uint64) *versionPlan {
	for i := range p.versions {
		if p.versions[i].version == version {
			return &p.versions[i]
		}
	}
	return nil
}

// near tells whether the server is one of the first in the prefix's order, or
// holds part of it.
func (p *prefixPlan) near(s *DirectServer) bool {
	v := p.forVersion(s.Version)
	if v.preferred == s || v.second == s {
		return true
	}
	return len(v.levels) > 0 && holdsPrefix(v.levels[len(v.levels)-1].holders, s.ID)
}

// sourcePlan a prefix at one server.
type sourcePlan struct {
	kind    PrefixSource
	address string
	// fetched and missing tokens: from another server, and to be read; of these,
	// duplicated are those that another server reads just now.
	fetched, missing, duplicated int
}

// versionPlan is the prefix under one salt.
type versionPlan struct {
	version uint64
	salt    string
	// levels of the prefix, outermost first; each is held only with those before.
	levels []levelPlan
	// preferred is the first candidate of the rendezvous order of the deepest level,
	// second the one behind it: every entry sends the first request there.
	preferred, second *DirectServer
	// last server that held the whole prefix; it may have dropped it.
	last holderRecord
	// store of the prefix, nil without; stored tokens of the prefix it should have.
	store           *KVCacheStore
	storedTokens    int
	preferredWeight uint64
	secondWeight    uint64
}

// levelPlan is one nested part of the prefix.
type levelPlan struct {
	key uint32
	// part is the hash of the level's own part.
	part uint64
	// tokens of the prefix up to and with this level.
	tokens  int
	holders []holderRecord
	// storeKey names the level's own part at the prefix's store.
	storeKey uint32
}

// deepestKey returns the key of the whole prefix; 0 when there is none.
func (v *versionPlan) deepestKey() uint32 {
	if len(v.levels) == 0 {
		return 0
	}
	return v.levels[len(v.levels)-1].key
}

// heldBy counts the tokens that the server is believed to hold.
func (v *versionPlan) heldBy(server string) int {
	for i := len(v.levels) - 1; i >= 0; i-- {
		if holdsPrefix(v.levels[i].holders, server) {
			return v.levels[i].tokens
		}
	}
	return 0
}

// readyHolder returns the last used holder of the deepest level that another server
// holds ready, and how many tokens it has; 0 when none is known.
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

// pendingTokens counts the tokens of the prefix that another server reads just
// now: they can't be fetched yet, and would be read twice here.
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

// plan returns nil for a request without a prompt.
func (d *Direct) plan(now time.Time, req *DirectRequest, servers []DirectServer, usable []int32) *prefixPlan {
	if req.Tokens == 0 {
		return nil
	}
	p := &prefixPlan{}
	for _, part := range req.Prefix {
		p.tokens += part.Tokens
	}
	for _, index := range usable {
		s := &servers[index]
		v := p.forVersion(s.Version)
		if v == nil {
			p.versions = append(p.versions, d.versionPlan(now, req, s.Version))
			v = &p.versions[len(p.versions)-1]
		}
		v.rank(s)
	}
	return p
}

// rank places a candidate in the rendezvous order.
func (v *versionPlan) rank(s *DirectServer) {
	w := Rendezvous(uint64(v.deepestKey()), s.Hash)
	switch {
	case v.preferred == nil || w > v.preferredWeight:
		v.second, v.secondWeight = v.preferred, v.preferredWeight
		v.preferred, v.preferredWeight = s, w
	case v.second == nil || w > v.secondWeight:
		v.second, v.secondWeight = s, w
	}
}

func (d *Direct) versionPlan(now time.Time, req *DirectRequest, version uint64) versionPlan {
	v := versionPlan{version: version, salt: Salt(version, req.IsolatedWorkspace)}
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
	d.planStore(now, req.Stores, salt, &v)
	return v
}

// levelKey of a chain of parts under their salt; 0 is kept for none.
func levelKey(chain uint64) uint32 { return uint32(chain) | 1 } //nolint:gosec // the low half of a hash

// planStore finds out what the prefix's store should have of it.
func (d *Direct) planStore(now time.Time, stores []KVCacheStore, salt uint64, v *versionPlan) {
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

// Salt under which engines keep parts. Parts made under other weights, or by
// an isolated workspace, stand under another salt: a fetch or a store that
// checks neither can then hand out nothing wrong.
func Salt(version uint64, isolatedWorkspace string) string {
	salt := "v" + strconv.FormatUint(version, 10)
	if isolatedWorkspace != "" {
		salt += "/" + isolatedWorkspace
	}
	return salt
}

// scorePrefix weighs what the server must read, fetch or copy of the prompt.
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
	if from.kind == SourceNone {
		from.duplicated = from.missing
	}
	t.RecomputeMS += float64(from.duplicated) * recomputeMSPerToken
}

// source finds out where the server gets the prefix from.
func (p *prefixPlan) source(now time.Time, v *versionPlan, s *DirectServer) sourcePlan {
	held := v.heldBy(s.ID)
	if held == p.tokens {
		// It fetches nothing that it has: the store stands in for what it dropped.
		// Without that worth fell by 0.008.
		return sourcePlan{kind: SourceHeld, address: v.storeAddress(p.tokens)}
	}
	from := v.elsewhere(now, s.ID, held)
	from.missing = p.tokens - held - from.fetched
	from.duplicated = max(0, v.pendingTokens(now, s.ID)-held-from.fetched)
	switch {
	case from.missing == 0:
		return from
	case from.duplicated == from.missing:
		// It is being read elsewhere just now: nothing can be fetched yet.
		from.kind = SourcePending
	case s == v.preferred:
		from.kind = SourcePreferred
		if from.address == "" && v.second != nil {
			from.address = v.second.Address
		}
	default:
		// Another entry may have sent it to its home.
		from.kind, from.address = SourceNone, v.preferred.Address
	}
	if v.last.server != "" && v.last.server != s.ID {
		// It may have dropped the prefix by now; asking costs a millisecond.
		from.address = v.last.address
	}
	return from
}

// elsewhere finds the other server or the store that has most of the prefix
// beyond what the server holds. Servers drop what they hold within seconds, so
// that the store is asked rather than one that used it some time ago.
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
		return sourcePlan{kind: SourceHolder, address: other.address, fetched: theirs - held}
	}
	return sourcePlan{}
}

// storeAddress of the prefix's store if it should have so many tokens of it.
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
