package routing

import (
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// rememberedPrefixes bounds the prefixes whose holders are known.
	rememberedPrefixes = 1 << 13
	// maxHolders kept of one prefix; the oldest word goes first.
	maxHolders = 6
	// heldFor is how long a holder is believed without being used: engines
	// drop what was not used for some seconds.
	heldFor = 20 * time.Second
	// freshHolder is how long after its last use a holder is preferred to the store.
	freshHolder = 4 * time.Second
	// comingFor bounds how long a prefix may take to be read.
	comingFor = 5 * time.Second
)

// holding is the belief that a server holds a prefix, from our own requests.
type holding struct {
	server  string
	address string
	// at of the last use; ready is false until the first token of the request
	// that reads the prefix there: nothing can be fetched before.
	at    time.Time
	ready bool
}

// holders remembers where prefixes were sent.
type holders struct {
	of *simplelru.LRU[uint64, []holding]
	// saved prefixes were sent to the store.
	saved *simplelru.LRU[uint64, time.Time]
}

func newHolders() *holders {
	of, err := simplelru.NewLRU[uint64, []holding](rememberedPrefixes, nil)
	if err != nil {
		panic(err) // Only a size below 1 is refused.
	}
	saved, err := simplelru.NewLRU[uint64, time.Time](rememberedPrefixes, nil)
	if err != nil {
		panic(err) // Only a size below 1 is refused.
	}
	return &holders{of: of, saved: saved}
}

func (h *holders) live(now time.Time, key uint64) []holding {
	all, _ := h.of.Get(key)
	var live []holding
	for _, one := range all {
		age := now.Sub(one.at)
		if one.ready && age < heldFor || !one.ready && age < comingFor {
			live = append(live, one)
		}
	}
	return live
}

// coming notes that a request that reads the prefix was sent to a server.
func (h *holders) coming(now time.Time, key uint64, server, address string) {
	all := h.live(now, key)
	for i := range all {
		if all[i].server == server {
			all[i].at = now
			h.of.Add(key, all)
			return
		}
	}
	if len(all) >= maxHolders {
		all = all[1:]
	}
	h.of.Add(key, append(all, holding{server: server, address: address, at: now}))
}

func (h *holders) held(now time.Time, key uint64, server string) {
	all, _ := h.of.Get(key)
	for i := range all {
		if all[i].server == server {
			all[i].ready, all[i].at = true, now
		}
	}
}

// lost notes that a request ended before its prompt was read.
func (h *holders) lost(key uint64, server string) {
	all, ok := h.of.Get(key)
	if !ok {
		return
	}
	var kept []holding
	for _, one := range all {
		if one.server != server || one.ready {
			kept = append(kept, one)
		}
	}
	h.of.Add(key, kept)
}

// forget drops a server from all prefixes.
func (h *holders) forget(server string) {
	for _, key := range h.of.Keys() {
		all, _ := h.of.Peek(key)
		var kept []holding
		for _, one := range all {
			if one.server != server {
				kept = append(kept, one)
			}
		}
		h.of.Add(key, kept)
	}
}

// prefixPlan is what one decision knows of the request's prefix, for each
// version of the weights that a candidate has.
type prefixPlan struct {
	tokens int
	store  string
	byVer  map[uint64]*versionPlan
}

type versionPlan struct {
	salt string
	key  uint64
	// home is the first candidate of the rendezvous order: every entry sends
	// the first request for the prefix there.
	home    string
	holders []holding
	ready   *holding
	saved   bool
}

func (p *prefixPlan) keyOf(version uint64) uint64 { return p.byVer[version].key }

// plan returns nil for a request without a prompt.
func (d *Direct) plan(now time.Time, req *DirectRequest, usable []DirectServer, store string) *prefixPlan {
	if req.Tokens == 0 {
		return nil
	}
	p := &prefixPlan{store: store, byVer: map[uint64]*versionPlan{}}
	name := ""
	for _, part := range req.Prefix {
		p.tokens += part.Tokens
		name = part.ID
	}
	best := map[uint64]uint64{}
	for i := range usable {
		s := &usable[i]
		v := p.byVer[s.Version]
		if v == nil {
			v = d.versionPlan(now, req, s.Version, name)
			p.byVer[s.Version] = v
		}
		if w := mix(v.key, hashOf(s.ID)); v.home == "" || w > best[s.Version] {
			v.home, best[s.Version] = s.ID, w
		}
	}
	return p
}

func (d *Direct) versionPlan(now time.Time, req *DirectRequest, version uint64, name string) *versionPlan {
	v := &versionPlan{salt: Salt(version, req.Wall)}
	v.key = hashOf(v.salt, name)
	v.holders = d.prefixes.live(now, v.key)
	for i := range v.holders {
		if v.holders[i].ready && (v.ready == nil || v.holders[i].at.After(v.ready.at)) {
			v.ready = &v.holders[i]
		}
	}
	_, v.saved = d.prefixes.saved.Get(v.key)
	return v
}

// Salt under which engines keep parts. Parts made under other weights, or by
// an isolated workspace, stand under another salt: a fetch or a store that
// checks neither can then hand out nothing wrong.
func Salt(version uint64, wall string) string {
	salt := "v" + strconv.FormatUint(version, 10)
	if wall != "" {
		salt += "/" + wall
	}
	return salt
}

// scorePrefix weighs what the server must read, fetch or copy of the prompt.
func (d *Direct) scorePrefix(now time.Time, req *DirectRequest, s *DirectServer, p *prefixPlan, choice *DirectChoice) {
	v := p.byVer[s.Version]
	t := &choice.Terms
	own := float64(max(0, req.Tokens-p.tokens)) / tokensPerMS
	shared := float64(p.tokens)
	choice.Salt = v.salt
	t.ReadMS = own
	if p.tokens == 0 {
		return
	}
	if p.store != "" && !v.saved {
		choice.SaveTo = p.store
	}
	// A server that is believed to hold the prefix may have dropped it: asking
	// the store for what is there already costs a millisecond at most.
	choice.FetchFrom = p.store
	switch {
	case holds(v.holders, s.ID):
		return
	case v.ready != nil:
		if p.store == "" || now.Sub(v.ready.at) < freshHolder {
			choice.FetchFrom = v.ready.address
		}
		t.ReadMS += shared * fetchMSPerToken
		t.RereadMS = shared * copyMSPerToken
	case len(v.holders) > 0:
		// It is being read elsewhere just now: nothing can be fetched yet.
		t.ReadMS += shared / tokensPerMS
		t.RereadMS = shared * rereadMSPerToken
	default:
		t.ReadMS += shared / tokensPerMS
		if s.ID != v.home {
			t.RereadMS = shared * rereadMSPerToken
		}
	}
}

func holds(all []holding, server string) bool {
	for i := range all {
		if all[i].server == server {
			return true
		}
	}
	return false
}

// Saved notes that a prefix was sent to the store with a request that ran.
func (d *Direct) Saved(now time.Time, request string) {
	if run := d.pending[request]; run != nil && run.key != 0 {
		d.prefixes.saved.Add(run.key, now)
	}
}
