package routing

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPrefixes bounds the prefixes whose holders are known.
	maxPrefixes = 1 << 13
	// maxHolders kept of one prefix; the oldest word goes first.
	maxHolders = 6
	// maxRetention and heldAtLeast bound how long a holder is believed without
	// being used; between them the engines' memory and the traffic decide.
	maxRetention = 20 * time.Second
	minRetention = 1500 * time.Millisecond
	// pendingTimeout bounds how long a prefix may take to be read.
	pendingTimeout = 5 * time.Second
)

// holderRecord is the belief that a server holds a prefix, from our own requests.
type holderRecord struct {
	server  string
	address string
	// usedAt of the last use.
	usedAt time.Time
	// readyAt is when the prefix has been read there, so that it can be fetched:
	// with the first token of our own request, or as another entry expects.
	readyAt time.Time
}

func (h *holderRecord) ready(now time.Time) bool { return !h.readyAt.After(now) }

// never is the readyAt of a prefix whose reading has not shown its end.
var never = time.Unix(1<<40, 0)

// prefixHolders remembers where prefixes were sent.
type prefixHolders struct {
	records *simplelru.LRU[uint32, []holderRecord]
	// retention is how long engines keep what is not used, about.
	retention time.Duration
}

func newPrefixHolders() *prefixHolders {
	return &prefixHolders{records: newLRU[uint32, []holderRecord](maxPrefixes), retention: maxRetention}
}

// lookup returns who is believed to hold or read the prefix, and who held it
// last but may have dropped it since.
func (h *prefixHolders) lookup(now time.Time, key uint32) (live []holderRecord, last holderRecord) {
	all, _ := h.records.Get(key)
	for _, one := range all {
		if one.usedAt.After(last.usedAt) && one.ready(now) {
			last = one
		}
		age := now.Sub(one.usedAt)
		if one.ready(now) && age < h.retention || !one.ready(now) && age < pendingTimeout {
			live = append(live, one)
		}
	}
	return live, last
}

// add notes that a request that reads the prefix was sent to a server. It
// tells whether that is new.
func (h *prefixHolders) add(now time.Time, key uint32, server, address string, readyAt time.Time) bool {
	all, _ := h.lookup(now, key)
	for i := range all {
		if all[i].server == server {
			all[i].usedAt = now
			if readyAt.Before(all[i].readyAt) {
				all[i].readyAt = readyAt
			}
			h.records.Add(key, all)
			return false
		}
	}
	if len(all) >= maxHolders {
		all = all[1:]
	}
	h.records.Add(key, append(all, holderRecord{server: server, address: address, usedAt: now, readyAt: readyAt}))
	return true
}

// markReady notes that a server has read the prefix.
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

// removePending notes that a request ended before its prompt was read.
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
