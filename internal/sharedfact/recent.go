package sharedfact

import (
	"net/netip"
	"time"
)

const (
	// recentFor is how long an owner adds a fact to its offers. Entries that ask it later
	// find out themselves or from the list of servers.
	recentFor = time.Second
	// maxPerOffer is the number of facts that one offer carries, at most 80 bytes.
	maxPerOffer = 4
	// offeredPerSecond bounds the facts in all offers of an owner: at 4 to 5 bytes for most
	// of them, half of the 2 KB/s that an entry of a large fleet may send.
	offeredPerSecond = 200
	// maxRecent bounds the memory when very many servers end at once.
	maxRecent = 256
)

type recentFact struct {
	Fact
	at     time.Time
	number uint64
}

// Recent holds the facts that an owner of a shard adds to its offers, each once for every
// entry that asks it.
type Recent struct {
	facts  []recentFact
	number uint64
	// told holds the number of the last fact given to each entry.
	told map[netip.AddrPort]uint64
	// budget is the number of facts that may be given now, refilled over time.
	budget     float64
	refilledAt time.Time
}

// NewRecent returns an empty Recent.
func NewRecent() *Recent { return &Recent{told: map[netip.AddrPort]uint64{}} }

// Add records a fact on a server of the owner's shards.
func (r *Recent) Add(now time.Time, fact Fact) {
	r.expire(now)
	for _, f := range r.facts {
		if f.Fact == fact {
			return
		}
	}
	if len(r.facts) < maxRecent {
		r.number++
		r.facts = append(r.facts, recentFact{fact, now, r.number})
	}
}

// For returns the facts to add to an offer for an entry that it was not given yet.
func (r *Recent) For(now time.Time, entry netip.AddrPort) []Fact {
	r.expire(now)
	if len(r.facts) == 0 {
		return nil
	}
	r.budget = min(offeredPerSecond, r.budget+offeredPerSecond*now.Sub(r.refilledAt).Seconds())
	r.refilledAt = now
	var facts []Fact
	for _, f := range r.facts {
		if f.number <= r.told[entry] {
			continue
		}
		if len(facts) == maxPerOffer || r.budget < 1 {
			break
		}
		r.budget--
		r.told[entry] = f.number
		facts = append(facts, f.Fact)
	}
	return facts
}

// expire drops old facts, and what was given to whom once there are none.
func (r *Recent) expire(now time.Time) {
	n := 0
	for n < len(r.facts) && now.Sub(r.facts[n].at) >= recentFor {
		n++
	}
	r.facts = r.facts[n:]
	if len(r.facts) == 0 {
		clear(r.told)
	}
}
