package routing

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPrefixes bounds the prefixes whose holders are recorded.
	maxPrefixes = 1 << 13
	// maxHolders bounds the holders of one prefix; the oldest record is dropped
	// first.
	maxHolders = 6
	// minRetention and maxRetention bound how long a holder counts after its
	// last use; within them the retention is estimated from the engines' memory
	// and the traffic.
	maxRetention = 20 * time.Second
	minRetention = 1500 * time.Millisecond
	// pendingTimeout is how long a prefix counts as being prefilled.
	pendingTimeout = 5 * time.Second
)

// holderRecord says that a server holds a prefix or is prefilling it.
type holderRecord struct {
	server  string
	address string
	// owner is the key of the prefix's owners, see PrefixHint.
	owner uint32
	// usedAt is the time of the last request with the prefix.
	usedAt time.Time
	// readyAt is when the prefix can be fetched: at the first token of this
	// router's request, or when another entry expects it.
	readyAt time.Time
}

func (h *holderRecord) ready(now time.Time) bool { return !h.readyAt.After(now) }

// never is the readyAt of a prefix whose prefill has not ended.
var never = time.Unix(1<<40, 0)

// prefixHolders records which servers hold a prefix, by the prefix's key.
type prefixHolders struct {
	records *simplelru.LRU[uint32, []holderRecord]
	// retention estimates how long engines keep an unused prefix.
	retention time.Duration
}

func newPrefixHolders() *prefixHolders {
	return &prefixHolders{records: newLRU[uint32, []holderRecord](maxPrefixes), retention: maxRetention}
}

// lookup returns the servers that should hold or be prefilling the prefix, and
// the one that used it last, which may have evicted it.
func (h *prefixHolders) lookup(now time.Time, key uint32) (live []holderRecord, last holderRecord) {
	all, _ := h.records.Get(key)
	for i := range all {
		one := &all[i]
		if one.usedAt.After(last.usedAt) && one.ready(now) {
			last = *one
		}
		if h.live(now, one) {
			if live == nil {
				live = make([]holderRecord, 0, len(all))
			}
			live = append(live, *one)
		}
	}
	return live, last
}

// live reports whether a server should still hold or be prefilling the prefix.
func (h *prefixHolders) live(now time.Time, one *holderRecord) bool {
	age := now.Sub(one.usedAt)
	if one.ready(now) {
		return age < h.retention
	}
	return age < pendingTimeout
}

// add records that a request with the prefix was sent to a server now. It reports
// whether the server was not recorded yet.
func (h *prefixHolders) add(now time.Time, key uint32, holder holderRecord) bool {
	all, _ := h.records.Get(key)
	all = slices.DeleteFunc(all, func(one holderRecord) bool { return !h.live(now, &one) })
	for i := range all {
		if all[i].server == holder.server {
			all[i].usedAt = now
			if holder.readyAt.Before(all[i].readyAt) {
				all[i].readyAt = holder.readyAt
			}
			h.records.Add(key, all)
			return false
		}
	}
	if len(all) >= maxHolders {
		all = slices.Delete(all, 0, 1)
	}
	holder.usedAt = now
	h.records.Add(key, append(all, holder))
	return true
}

// markReady records that a server has prefilled the prefix.
func (h *prefixHolders) markReady(now time.Time, key uint32, server string) {
	all, _ := h.records.Get(key)
	for i := range all {
		if all[i].server == server {
			all[i].usedAt = now
			if !all[i].ready(now) {
				all[i].readyAt = now
			}
		}
	}
}

// removePending records that a request ended before its prompt was prefilled.
func (h *prefixHolders) removePending(now time.Time, key uint32, server string) {
	all, ok := h.records.Get(key)
	if !ok {
		return
	}
	var kept []holderRecord
	for _, one := range all {
		if one.server != server || one.ready(now) {
			kept = append(kept, one)
		}
	}
	h.records.Add(key, kept)
}

// removeServer drops a server from all prefixes.
func (h *prefixHolders) removeServer(server string) {
	for _, key := range h.records.Keys() {
		all, _ := h.records.Peek(key)
		var kept []holderRecord
		for _, one := range all {
			if one.server != server {
				kept = append(kept, one)
			}
		}
		h.records.Add(key, kept)
	}
}
