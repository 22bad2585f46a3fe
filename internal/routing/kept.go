package routing

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Engines drop a prefix within seconds: at 18 engines of 106,000 tokens the
// median was gone 3 to 6 s after its last use, and what crashes or takes new
// weights is gone at once. What was read once is therefore sent to a store of
// kept cache as well, and fetched from there.
//
// Where a token is large the store's link and room are narrow: a prompt of 9,000
// tokens of 164 KB takes 32 ms of the link, and a transfer that would wait long is
// not started. A prefix is saved once, all saves keep to a share of the link, and
// where the store drops parts early only prompts that are mostly shared are sent.
// Worth over fifteen days of load (docs/WORTH.md): no saves 0.719; each first read
// saved 0.750; only prompts that are half shared or more 0.760; with the stores'
// own words 0.776; saved again whenever a store may have dropped it 0.723.

// KVCacheStore is a store that engines send parts to and fetch them from. It holds
// a part as it was first made, under the salt that the request bore.
type KVCacheStore struct {
	Address    string
	DataCentre string
	// Hash of the address, for the rendezvous order.
	Hash uint64
	// TokensPerSecond that its link carries; 0: unknown, and nothing is saved.
	TokensPerSecond float64
}

// NewKVCacheStore describes a store whose link carries so many tokens a second.
func NewKVCacheStore(address, dataCentre string, tokensPerSecond float64) KVCacheStore {
	return KVCacheStore{Address: address, DataCentre: dataCentre, Hash: hashOf(address), TokensPerSecond: tokensPerSecond}
}

// fetchMS is how long so many tokens take from the store to a server.
func (k *KVCacheStore) fetchMS(tokens int, dataCentre string) float64 {
	if k.TokensPerSecond <= 0 {
		return float64(tokens) * fetchMSPerToken
	}
	ms := float64(tokens) / k.TokensPerSecond * float64(time.Second/time.Millisecond)
	if dataCentre != k.DataCentre {
		ms *= farTransfer
	}
	return ms
}

const (
	// savedAfter a request was placed that saves its prefix, others can fetch it:
	// it is read first, and transfers queue. Measured 0.3 to 1.5 s.
	savedAfter = 1200 * time.Millisecond
	// savedFor is how long a store is taken to hold a prefix that is fetched now
	// and then; a miss costs a millisecond. Saved again after 3 s instead, the
	// store turned over before anything was fetched.
	savedFor = 15 * time.Second
	// keptLong is how long a store should keep a part: a prefix that is in use comes
	// back within some seconds. Each part that it drops sooner raises the share of a
	// prompt that must be shared by shareStep, up to shareMost; that falls again by
	// shareRelief a second. What belongs to one request alone takes the room of
	// prefixes. In the model of TestWhatEnginesLoseComesFromTheStore tokens were read
	// again, with one store and with two: 269 k and 140 k with a share of 0.5 for
	// good, 489 k and 54 k with none, 298 k and 48 k so; twice or half of each figure
	// changes that by less than a quarter.
	keptLong    = 8 * time.Second
	shareStep   = 0.02
	shareRelief = 0.02
	shareMost   = 0.6
	// saveLinkShare of a store's link that all savers together may take; the rest
	// is for fetches, and transfers between data centres take twice as long.
	saveLinkShare = 0.8
	// farTransfer is how much longer a transfer takes between data centres.
	farTransfer = 2
	// saveBurst is for how long unused link is saved up: new weights make all
	// prefixes first ones within a second or two.
	saveBurst = 2 * time.Second
	// sureFor is how long after its last use another server is trusted to hold a
	// prefix before the store; worth at 2 s 0.758, 0.7 s 0.760, 0.3 s 0.762.
	sureFor = 300 * time.Millisecond
)

// kept is what is known of the stores: what was sent there, by us or another
// entry, and what the stores' own words add to that, some 100 ms to a second
// old; a few of their words never arrive.
type kept struct {
	// parts by keptKey.
	parts *simplelru.LRU[uint32, keptPart]
	// budgets in tokens, by the stores' addresses.
	budgets map[string]*saveBudget
	// needed share of a prompt that must be shared, as of neededAt.
	needed   float64
	neededAt time.Time
	// news are the parts that we save, for the other entries.
	news []uint32
}

// keptPart is one part at its store.
type keptPart struct {
	// savedAt is when it was last sent there; zero: not that we know.
	savedAt time.Time
	// listed: the store said that it has the part. dropped: that it has not, or
	// not whole.
	listed, dropped bool
}

// saveBudget is the tokens that may be sent to one store.
type saveBudget struct {
	tokens   float64
	filledAt time.Time
}

func newKept() *kept {
	return &kept{parts: newLRU[uint32, keptPart](rememberedPrefixes), budgets: map[string]*saveBudget{}}
}

// storeOf picks the store of a prefix, alike at every entry; nil without stores.
func storeOf(stores []KVCacheStore, prefix uint32) *KVCacheStore {
	var best *KVCacheStore
	var most uint64
	for i := range stores {
		if w := Rendezvous(uint64(prefix), stores[i].Hash); best == nil || w > most {
			best, most = &stores[i], w
		}
	}
	return best
}

// keptKey names a part under its salt at a store. Two parts may share a key:
// that costs a prompt read again, as the salt keeps them apart.
func keptKey(store *KVCacheStore, salt, part uint64) uint32 {
	return uint32(Rendezvous(Rendezvous(salt, part), store.Hash)) //nolint:gosec // the low half of a hash
}

// holds tells whether the store should have the part by now.
func (k *kept) holds(now time.Time, key uint32) bool {
	part, ok := k.parts.Get(key)
	if !ok || part.dropped {
		return false
	}
	age := now.Sub(part.savedAt)
	return part.listed || age >= savedAfter && age < savedFor
}

// known tells whether the part is at the store or on its way there.
func (k *kept) known(now time.Time, key uint32) bool {
	part, ok := k.parts.Peek(key)
	age := now.Sub(part.savedAt)
	return ok && (part.listed || age < savedAfter || !part.dropped && age < savedFor)
}

// neededShare of a prompt that must be shared for it to be saved now.
func (k *kept) neededShare(now time.Time) float64 {
	return max(0, k.needed-shareRelief*now.Sub(k.neededAt).Seconds())
}

// noteDrop takes in that a store dropped a part. One that was not kept for long
// shows that more is sent there than it has room for.
func (k *kept) noteDrop(now time.Time, part keptPart) {
	if part.savedAt.IsZero() || part.dropped || now.Sub(part.savedAt) >= keptLong {
		return
	}
	k.needed, k.neededAt = min(k.neededShare(now)+shareStep, shareMost), now
}

// allow takes the tokens of one save from our share of a store's link. shared is
// the share of the prompt that other requests may use.
func (k *kept) allow(now time.Time, store *KVCacheStore, tokens int, shared float64, savers int) bool {
	rate := store.TokensPerSecond * saveLinkShare / float64(max(savers, 1))
	most := rate * saveBurst.Seconds()
	b := k.budgets[store.Address]
	if b == nil {
		b = &saveBudget{tokens: most, filledAt: now}
		k.budgets[store.Address] = b
	}
	b.tokens = min(most, b.tokens+rate*max(0, now.Sub(b.filledAt).Seconds()))
	b.filledAt = now
	// The last save may overdraw: one prompt can be larger than a small share.
	if b.tokens <= 0 || shared < k.neededShare(now) {
		return false
	}
	b.tokens -= float64(tokens)
	return true
}

// begin notes that we send a part to its store.
func (k *kept) begin(now time.Time, key uint32) {
	k.parts.Add(key, keptPart{savedAt: now})
	if len(k.news) < maxNewsHints {
		k.news = append(k.news, key)
	}
}

// save decides whether the prompt is sent to the prefix's store once it is read.
func (d *Direct) save(now time.Time, req *DirectRequest, v *versionPlan, from sourceOf, choice *DirectChoice) {
	if v.store == nil || len(v.levels) == 0 || from.missing == 0 {
		return
	}
	deepest := &v.levels[len(v.levels)-1]
	if d.kept.known(now, deepest.kept) {
		return
	}
	shared := float64(deepest.tokens) / float64(max(req.Tokens, 1))
	if d.kept.allow(now, v.store, req.Tokens, shared, d.savers) {
		choice.SaveTo = v.store.Address
		d.kept.begin(now, deepest.kept)
	}
}

// notSaved takes back a save whose prompt was not read.
func (k *kept) notSaved(key uint32) { k.parts.Remove(key) }

// TakeSavedParts returns the parts that we sent to their stores since the last call, for
// the other entries.
func (d *Direct) TakeSavedParts() []uint32 {
	news := d.kept.news
	d.kept.news = nil
	return news
}

// ReceiveSavedParts takes in which parts another entry sends to their stores.
func (d *Direct) ReceiveSavedParts(now time.Time, keys []uint32) {
	for _, key := range keys {
		d.kept.parts.Add(key, keptPart{savedAt: now})
	}
}

// UpdateStoredPart takes in a store's word on a part. held is false for a part that
// it dropped, if only in part.
func (d *Direct) UpdateStoredPart(now time.Time, store *KVCacheStore, salt, part string, held bool) {
	key := keptKey(store, hashOf(salt), hashOf(part))
	one, known := d.kept.parts.Peek(key)
	if known && !held {
		d.kept.noteDrop(now, one)
	}
	one.listed, one.dropped = held, !held
	d.kept.parts.Add(key, one)
}

// ForgetStoredParts tells that a store lost all that it kept, or can't be reached.
// Which parts were its own is not kept, so all are forgotten: the other stores'
// are sent once more, which is rare and bounded.
func (d *Direct) ForgetStoredParts() { d.kept.parts.Purge() }
