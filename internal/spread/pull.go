package spread

import (
	"time"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// PullDone records that a pull from the peer ended; ok is false if it failed. If the
// pull brought a newer generation, Adopted must be called first.
func (c *Core) PullDone(now time.Time, from keys.Identity, ok bool) []Action {
	c.pulling = false
	state := c.entries[from]
	if state == nil {
		state = c.agents[from]
	}
	switch {
	case state == nil:
	case !ok:
		state.pullFailedAt = now
	case state.generation > c.generation:
		// The peer reported a higher generation than it served. Lowering the reported
		// value prevents an endless loop of pulls from it.
		state.generation = c.generation
		c.recomputeMaxReported()
	}
	return c.pull(now)
}

func (c *Core) recomputeMaxReported() {
	c.maxReported = 0
	for _, known := range []map[keys.Identity]*peerState{c.entries, c.agents} {
		for _, state := range known {
			c.maxReported = max(c.maxReported, state.generation)
		}
	}
}

// StorePullDone records that reading changes from the store ended; ok is false if it
// failed. The head is then reset until it is read again, so that an outage doesn't
// cause a loop of reads.
func (c *Core) StorePullDone(now time.Time, ok bool) []Action {
	c.pulling = false
	if !ok {
		c.storeHead = 0
	}
	return c.pull(now)
}

// HeadRead processes the head generation read from the store.
func (c *Core) HeadRead(now time.Time, generation uint64) []Action {
	if generation > c.storeHead {
		c.storeHead = generation
	}
	return c.pull(now)
}

// pull starts a pull if a newer generation is known, one at a time. It uses the
// peer that reported the highest generation, or the store if its head is higher
// than that of every peer that can be asked.
func (c *Core) pull(now time.Time) []Action {
	if c.pulling && now.Before(c.pullDeadline) {
		return nil
	}
	if c.maxReported <= c.generation && c.storeHead <= c.generation {
		return nil
	}
	best := c.newestPeer(now)
	switch {
	case best != nil && best.generation >= c.storeHead:
		c.startPull(now)
		return []Action{Pull{From: best.peer, Have: c.generation}}
	case c.storeHead > c.generation:
		c.startPull(now)
		return []Action{PullStore{Have: c.generation}}
	case best != nil:
		c.startPull(now)
		return []Action{Pull{From: best.peer, Have: c.generation}}
	}
	return nil
}

func (c *Core) startPull(now time.Time) {
	c.pulling = true
	c.pullDeadline = now.Add(c.settings.PullTimeout)
}

// pullRetryDivisor: a peer whose pull failed is skipped for PullTimeout divided by
// this value. It is short because most pulls fail due to a lost packet.
const pullRetryDivisor = 4

// newestPeer returns the peer with the highest generation above this process's
// own, preferring entries and agents of the same data centre. Peers whose pull
// failed recently are skipped. It returns nil if there is none.
func (c *Core) newestPeer(now time.Time) *peerState {
	var best *peerState
	for _, known := range []map[keys.Identity]*peerState{c.entries, c.agents} {
		for _, state := range known {
			if state.generation <= c.generation || now.Sub(state.pullFailedAt) < c.settings.PullTimeout/pullRetryDivisor {
				continue
			}
			if best == nil || c.isBetterSource(state, best) {
				best = state
			}
		}
	}
	return best
}

func (c *Core) isBetterSource(a, b *peerState) bool {
	if a.generation != b.generation {
		return a.generation > b.generation
	}
	if aLocal, bLocal := a.peer.DataCentre == c.self.DataCentre, b.peer.DataCentre == c.self.DataCentre; aLocal != bLocal {
		return aLocal
	}
	return rendezvousWeight(c.self.ID.Name, a.peer.ID.Name) > rendezvousWeight(c.self.ID.Name, b.peer.ID.Name)
}
