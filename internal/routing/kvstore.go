package routing

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Engines evict a prefix within seconds, and lose all on a crash or with new
// weights. Prefixes are therefore also saved to KV cache stores after their
// first prefill, and fetched from there.
//
// If the KV cache of a token is large, the store's link and memory are scarce:
// an engine does not start a transfer that would wait long. A prefix is saved once, all saves stay
// within a share of the link, and while a store evicts parts early only prompts
// that are mostly shared are saved.

// KVStore is a store outside engines, to which they send the cached parts
// of prompts and from which they fetch them. It holds a part under the salt of
// the request that it was computed for.
type KVStore struct {
	Address    string
	DataCentre string
	// Hash of the address, for the rendezvous ranking.
	Hash uint64
	// TokensPerSecond that its link carries; 0: unknown, and nothing is saved.
	TokensPerSecond float64
}

// NewKVStore returns a store whose link carries that many tokens per
// second.
func NewKVStore(address, dataCentre string, tokensPerSecond float64) KVStore {
	return KVStore{Address: address, DataCentre: dataCentre, Hash: hashOf(address), TokensPerSecond: tokensPerSecond}
}

// fetchMS is the transfer time of that many tokens from the store to a server.
func (k *KVStore) fetchMS(tokens int, dataCentre string) float64 {
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
	// saveDelay is the time from the placement of a request that saves its
	// prefix until others can fetch it: prefill, and the queue of transfers. It
	// took 0.3 to 1.5 s.
	saveDelay = 1200 * time.Millisecond
	// storeRetention is how long a store is assumed to hold a saved prefix
	// without a report from the store. A failed fetch costs a millisecond,
	// whereas frequent repeated saves evict prefixes before they are fetched:
	// saved again after 3 s, the store turned over before anything was fetched.
	storeRetention = 15 * time.Second
	// minStoreRetention is how long a store should keep a part: a prefix in use
	// is requested again within some seconds. Each part that it drops sooner
	// raises the share of a prompt that must be shared for it to be saved by
	// neededShareStep, up to maxNeededShare; it falls again by neededShareDecay
	// per second. Parts that only one request uses would evict shared
	// prefixes. In the model of TestLostPrefixesComeFromStore 298,000
	// tokens were computed again with one store and 48,000 with two; 269,000 and
	// 140,000 with a fixed share of 0.5, 489,000 and 54,000 without one.
	minStoreRetention = 8 * time.Second
	neededShareStep   = 0.02
	neededShareDecay  = 0.02
	maxNeededShare    = 0.6
	// saveLinkShare is the share of a store's link for the saves of all
	// routers; the rest is for fetches and for transfers between data centres,
	// which take longer.
	saveLinkShare = 0.8
	// remoteTransferFactor is the transfer time between data centres relative
	// to one within.
	remoteTransferFactor = 2
	// saveBurst bounds the unused link time that later saves may use: with new
	// weights all prefixes are saved again within a second or two.
	saveBurst = 2 * time.Second
	// holderTrustPeriod is how long after its last use of a prefix another
	// server is preferred to the store as a source. Fifteen days were worth 0.758
	// with 2 s, 0.760 with 0.7 s and 0.762 with 0.3 s.
	holderTrustPeriod = 300 * time.Millisecond
)

// storeIndex is what is known of the stores' contents: the parts that this and
// other entries sent there, and the stores' own updates, which arrive with up
// to a second of delay and may be lost.
type storeIndex struct {
	// parts by storedPartKey.
	parts *simplelru.LRU[uint32, storedPart]
	// budgets of saves, by the stores' addresses.
	budgets map[string]*saveBudget
	// needed is the share of a prompt that must be shared for it to be saved,
	// as of neededAt.
	needed   float64
	neededAt time.Time
	// unsent are the saved parts that other entries have not been notified of.
	unsent []uint32
}

// storedPart is the state of one part at its store.
type storedPart struct {
	// savedAt is when it was last sent there; zero: no save is known.
	savedAt time.Time
	// listed: the store reported that it has the part. dropped: it reported
	// that it has not, or only an incomplete one.
	listed, dropped bool
}

// saveBudget is the number of tokens that may be sent to one store.
type saveBudget struct {
	tokens   float64
	filledAt time.Time
}

func newStoreIndex() *storeIndex {
	return &storeIndex{parts: newLRU[uint32, storedPart](maxPrefixes), budgets: map[string]*saveBudget{}}
}

// storeFor returns the store of a prefix, the same at every entry; nil without
// stores.
func storeFor(stores []KVStore, prefix uint32) *KVStore {
	var best *KVStore
	var most uint64
	for i := range stores {
		if w := Rendezvous(uint64(prefix), stores[i].Hash); best == nil || w > most {
			best, most = &stores[i], w
		}
	}
	return best
}

// storedPartKey returns the key of a part under its salt at a store. If two
// parts share a key, a prompt may be prefilled again; the salt prevents that a
// wrong part is used.
func storedPartKey(store *KVStore, salt, part uint64) uint32 {
	return uint32(Rendezvous(Rendezvous(salt, part), store.Hash)) //nolint:gosec // the low half of a hash
}

// holds reports whether the store should have the part now.
func (k *storeIndex) holds(now time.Time, key uint32) bool {
	part, ok := k.parts.Get(key)
	if !ok || part.dropped {
		return false
	}
	age := now.Sub(part.savedAt)
	return part.listed || age >= saveDelay && age < storeRetention
}

// savedOrPending reports whether the part is at the store or on its way there.
func (k *storeIndex) savedOrPending(now time.Time, key uint32) bool {
	part, ok := k.parts.Peek(key)
	age := now.Sub(part.savedAt)
	return ok && (part.listed || age < saveDelay || !part.dropped && age < storeRetention)
}

// neededShare returns the share of a prompt that must be shared for it to be
// saved now.
func (k *storeIndex) neededShare(now time.Time) float64 {
	return max(0, k.needed-neededShareDecay*now.Sub(k.neededAt).Seconds())
}

// recordDrop records that a store dropped a part. A part dropped early shows
// that more is sent to the store than it has room for.
func (k *storeIndex) recordDrop(now time.Time, part storedPart) {
	if part.savedAt.IsZero() || part.dropped || now.Sub(part.savedAt) >= minStoreRetention {
		return
	}
	k.needed, k.neededAt = min(k.neededShare(now)+neededShareStep, maxNeededShare), now
}

// allowSave takes the tokens of one save from this router's share of a store's
// link, and reports whether it may be sent. shared is the share of the prompt
// that other requests may use.
func (k *storeIndex) allowSave(now time.Time, store *KVStore, tokens int, shared float64, savers int) bool {
	rate := store.TokensPerSecond * saveLinkShare / float64(max(savers, 1))
	burstTokens := rate * saveBurst.Seconds()
	b := k.budgets[store.Address]
	if b == nil {
		b = &saveBudget{tokens: burstTokens, filledAt: now}
		k.budgets[store.Address] = b
	}
	b.tokens = min(burstTokens, b.tokens+rate*max(0, now.Sub(b.filledAt).Seconds()))
	b.filledAt = now
	// The last save may overdraw the budget: one prompt can be larger than it.
	if b.tokens <= 0 || shared < k.neededShare(now) {
		return false
	}
	b.tokens -= float64(tokens)
	return true
}

// beginSave records that a part is sent to its store.
func (k *storeIndex) beginSave(now time.Time, key uint32) {
	k.parts.Add(key, storedPart{savedAt: now})
	if len(k.unsent) < maxPendingHints {
		k.unsent = append(k.unsent, key)
	}
}

// planSave decides whether the prompt is saved to the prefix's store after its
// prefill.
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

// cancelSave removes a save whose prompt was not prefilled.
func (k *storeIndex) cancelSave(key uint32) { k.parts.Remove(key) }

// TakeSavedParts returns the keys of the parts saved since the last call, for
// the other entries.
func (d *Direct) TakeSavedParts() []uint32 {
	parts := d.stores.unsent
	d.stores.unsent = nil
	return parts
}

// ReceiveSavedParts records the parts that another entry saves.
func (d *Direct) ReceiveSavedParts(now time.Time, keys []uint32) {
	for _, key := range keys {
		d.stores.parts.Add(key, storedPart{savedAt: now})
	}
}

// UpdateStoredPart records a store's update on a part. held is false for a part
// that it dropped, even if only in part.
func (d *Direct) UpdateStoredPart(now time.Time, store *KVStore, salt, part string, held bool) {
	key := storedPartKey(store, hashOf(salt), hashOf(part))
	one, known := d.stores.parts.Peek(key)
	if known && !held {
		d.stores.recordDrop(now, one)
	}
	one.listed, one.dropped = held, !held
	d.stores.parts.Add(key, one)
}

// ForgetStoredParts drops the contents of all stores, after one lost its parts
// or became unreachable. Parts are not recorded by store, so those of other
// stores are saved once more.
func (d *Direct) ForgetStoredParts() { d.stores.parts.Purge() }
