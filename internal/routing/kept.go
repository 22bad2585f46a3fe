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
		ms *= remoteTransferFactor
	}
	return ms
}

const (
	// saveDelay a request was placed that saves its prefix, others can fetch it:
	// it is read first, and transfers queue. Measured 0.3 to 1.5 s.
	saveDelay = 1200 * time.Millisecond
	// storeRetention is how long a store is taken to hold a prefix that is fetched now
	// and then; a miss costs a millisecond. Saved again after 3 s instead, the
	// store turned over before anything was fetched.
	storeRetention = 15 * time.Second
	// minStoreRetention is how long a store should keep a part: a prefix that is in use comes
	// back within some seconds. Each part that it drops sooner raises the share of a
	// prompt that must be shared by shareStep, up to shareMost; that falls again by
	// shareRelief a second. What belongs to one request alone takes the room of
	// prefixes. In the model of TestWhatEnginesLoseComesFromTheStore tokens were read
	// again, with one store and with two: 269 k and 140 k with a share of 0.5 for
	// good, 489 k and 54 k with none, 298 k and 48 k so; twice or half of each figure
	// changes that by less than a quarter.
	minStoreRetention = 8 * time.Second
	neededShareStep   = 0.02
	neededShareDecay  = 0.02
	maxNeededShare    = 0.6
	// saveLinkShare of a store's link that all savers together may take; the rest
	// is for fetches, and transfers between data centres take twice as long.
	saveLinkShare = 0.8
	// remoteTransferFactor is how much longer a transfer takes between data centres.
	remoteTransferFactor = 2
	// saveBurst is for how long unused link is saved up: new weights make all
	// prefixes first ones within a second or two.
	saveBurst = 2 * time.Second
	// holderTrustPeriod is how long after its last use another server is trusted to hold a
	// prefix before the store; worth at 2 s 0.758, 0.7 s 0.760, 0.3 s 0.762.
	holderTrustPeriod = 300 * time.Millisecond
)

// storeIndex is what is known of the stores: what was sent there, by us or another
// entry, and what the stores' own words add to that, some 100 ms to a second
// old; a few of their words never arrive.
type storeIndex struct {
	// parts by keptKey.
	parts *simplelru.LRU[uint32, storedPart]
	// budgets in tokens, by the stores' addresses.
	budgets map[string]*saveBudget
	// needed share of a prompt that must be shared, as of neededAt.
	needed   float64
	neededAt time.Time
	// unsent are the parts that we save, for the other entries.
	unsent []uint32
}

// storedPart is one part at its store.
type storedPart struct {
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

func newStoreIndex() *storeIndex {
	return &storeIndex{parts: newLRU[uint32, storedPart](maxPrefixes), budgets: map[string]*saveBudget{}}
}

// storeFor picks the store of a prefix, alike at every entry; nil without stores.
func storeFor(stores []KVCacheStore, prefix uint32) *KVCacheStore {
	var best *KVCacheStore
	var most uint64
	for i := range stores {
		if w := Rendezvous(uint64(prefix), stores[i].Hash); best == nil || w > most {
			best, most = &stores[i], w
		}
	}
	return best
}

// storedPartKey names a part under its salt at a store. Two parts may share a key:
// that costs a prompt read again, as the salt keeps them apart.
func storedPartKey(store *KVCacheStore, salt, part uint64) uint32 {
	return uint32(Rendezvous(Rendezvous(salt, part), store.Hash)) //nolint:gosec // the low half of a hash
}

// holds tells whether the store should have the part by now.
func (k *storeIndex) holds(now time.Time, key uint32) bool {
	part, ok := k.parts.Get(key)
	if !ok || part.dropped {
		return false
	}
	age := now.Sub(part.savedAt)
	return part.listed || age >= saveDelay && age < storeRetention
}

// savedOrPending tells whether the part is at the store or on its way there.
func (k *storeIndex) savedOrPending(now time.Time, key uint32) bool {
	part, ok := k.parts.Peek(key)
	age := now.Sub(part.savedAt)
	return ok && (part.listed || age < saveDelay || !part.dropped && age < storeRetention)
}

// neededShare of a prompt that must be shared for it to be saved now.
func (k *storeIndex) neededShare(now time.Time) float64 {
	return max(0, k.needed-neededShareDecay*now.Sub(k.neededAt).Seconds())
}

// recordDrop takes in that a store dropped a part. One that was not kept for long
// shows that more is sent there than it has room for.
func (k *storeIndex) recordDrop(now time.Time, part storedPart) {
	if part.savedAt.IsZero() || part.dropped || now.Sub(part.savedAt) >= minStoreRetention {
		return
	}
	k.needed, k.neededAt = min(k.neededShare(now)+neededShareStep, maxNeededShare), now
}

// allowSave takes the tokens of one save from our share of a store's link. shared is
// the share of the prompt that other requests may use.
func (k *storeIndex) allowSave(now time.Time, store *KVCacheStore, tokens int, shared float64, savers int) bool {
	rate := store.TokensPerSecond * saveLinkShare / float64(max(savers, 1))
	burstTokens := rate * saveBurst.Seconds()
	b := k.budgets[store.Address]
	if b == nil {
		b = &saveBudget{tokens: burstTokens, filledAt: now}
		k.budgets[store.Address] = b
	}
	b.tokens = min(burstTokens, b.tokens+rate*max(0, now.Sub(b.filledAt).Seconds()))
	b.filledAt = now
	// The last save may overdraw: one prompt can be larger than a small share.
	if b.tokens <= 0 || shared < k.neededShare(now) {
		return false
	}
	b.tokens -= float64(tokens)
	return true
}

// beginSave notes that we send a part to its store.
func (k *storeIndex) beginSave(now time.Time, key uint32) {
	k.parts.Add(key, storedPart{savedAt: now})
	if len(k.unsent) < maxPendingHints {
		k.unsent = append(k.unsent, key)
	}
}

// planSave decides whether the prompt is sent to the prefix's store once it is read.
func (d *Direct) planSave(now time.Time, req *DirectRequest, v *versionPlan, from sourcePlan, choice *DirectChoice) {
	if v.store == nil || len(v.levels) == 0 || from.missing == 0 {
		return
	}
	deepest := &v.levels[len(v.levels)-1]
	if d.stores.savedOrPending(now, deepest.storeKey) {
		return
	}
	shared := float64(deepest.tokens) / float64(max(req.Tokens, 1))
	if d.stores.allowSave(now, v.store, req.Tokens, shared, d.savers) {
		choice.SaveTo = v.store.Address
		d.stores.beginSave(now, deepest.storeKey)
	}
}

// cancelSave takes back a save whose prompt was not read.
func (k *storeIndex) cancelSave(key uint32) { k.parts.Remove(key) }

// TakeSavedParts returns the parts that we sent to their stores since the last call, for
// the other entries.
func (d *Direct) TakeSavedParts() []uint32 {
	parts := d.stores.unsent
	d.stores.unsent = nil
	return parts
}

// ReceiveSavedParts takes in which parts another entry sends to their stores.
func (d *Direct) ReceiveSavedParts(now time.Time, keys []uint32) {
	for _, key := range keys {
		d.stores.parts.Add(key, storedPart{savedAt: now})
	}
}

// UpdateStoredPart takes in a store's word on a part. held is false for a part that
// it dropped, if only in part.
func (d *Direct) UpdateStoredPart(now time.Time, store *KVCacheStore, salt, part string, held bool) {
	key := storedPartKey(store, hashOf(salt), hashOf(part))
	one, known := d.stores.parts.Peek(key)
	if known && !held {
		d.stores.recordDrop(now, one)
	}
	one.listed, one.dropped = held, !held
	d.stores.parts.Add(key, one)
}

// ForgetStoredParts tells that a store lost all that it kept, or can't be reached.
// Which parts were its own is not kept, so all are forgotten: the other stores'
// are sent once more, which is rare and bounded.
func (d *Direct) ForgetStoredParts() { d.stores.parts.Purge() }
