package spread

import (
	"slices"
	"time"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// Tick returns what is due at the time. The shell calls it a few times per
// PushGap while something changes, and at least every tenth of Interval.
func (c *Core) Tick(now time.Time) []Action {
	if c.self.ID.Role == keys.RoleAgent {
		return append(c.agentDigest(now), c.pull(now)...)
	}
	c.renewOverlay(now)
	var actions []Action
	actions = append(actions, c.push(now)...)
	actions = append(actions, c.digest(now)...)
	actions = append(actions, c.tellAgents(now)...)
	actions = append(actions, c.readHead(now)...)
	actions = append(actions, c.readVMs(now)...)
	return append(actions, c.pull(now)...)
}

// renewOverlay computes neighbours and homes again when members changed, also
// when a suspicion ran out.
func (c *Core) renewOverlay(now time.Time) {
	if !c.overlayDirty && now.Before(c.overlayUntil) {
		return
	}
	c.overlayUntil = now.Add(c.settings.Interval)
	live := c.live(now)
	if !c.overlayDirty && slices.Equal(live, c.overlayLive) {
		return
	}
	c.overlayDirty = false
	c.overlayLive = live
	c.neighbours = neighbours(c.self, live, c.settings.FanOut)
	homes := newHomes(c.self, c.addressed(), live, c.settings.PreferredEntries)
	var agents []Peer
	for _, agent := range c.agents {
		if agent.peer.Address != "" {
			agents = append(agents, agent.peer)
		}
	}
	c.homeAgents = c.homeAgents[:0]
	for _, agent := range homes.share(agents) {
		c.homeAgents = append(c.homeAgents, c.agents[agent.ID])
	}
}

// push tells all neighbours of a new generation at once, but bursts only once
// per PushGap.
func (c *Core) push(now time.Time) []Action {
	if !c.pushDue || now.Sub(c.pushedAt) < c.settings.PushGap {
		return nil
	}
	c.pushDue = false
	c.pushedAt = now
	var actions []Action
	for _, peer := range c.neighbours {
		state := c.entries[peer.ID]
		if state != nil && state.generation < c.generation {
			actions = append(actions, c.tell(now, state))
		}
	}
	return actions
}

// digest tells one neighbour after the other, one per interval, and now and
// then an entry that is none: a split of the overlay heals that way. Such an
// entry costs a handshake, some 7 KB.
func (c *Core) digest(now time.Time) []Action {
	if now.Before(c.nextDigest) {
		return nil
	}
	c.nextDigest = now.Add(c.settings.Interval)
	candidates := c.neighbours
	const strangerEvery = 30
	c.rotation++
	if len(candidates) == 0 || c.rotation%strangerEvery == 0 {
		candidates = c.addressed()
	}
	if len(candidates) == 0 {
		return nil
	}
	state := c.entries[candidates[c.rotation%len(candidates)].ID]
	if state == nil || state.inFlight {
		return nil
	}
	return []Action{c.tell(now, state)}
}

// addressed lists every entry with an address, suspected ones too.
func (c *Core) addressed() []Peer {
	var all []Peer
	for _, state := range c.entries {
		if state.peer.Address != "" {
			all = append(all, state.peer)
		}
	}
	return rank(c.self.ID.Name, all)
}

// agentsATick bounds the agents told at one tick of 50 ms: 40 a second, twice
// as many as an entry looks after in the largest data centre planned.
const agentsATick = 2

// tellAgents tells the agents that this entry looks after: at once when they
// are behind, again each timeout until they answer with the generation, and
// rarely when they are up to date.
//
// An entry that just started knows no other entry and would look after every
// agent of the fleet: a herd of restarts would shake hands with all of them at
// once. It therefore waits until it knows the others, or for a while when there
// is nobody to tell it, and tells a few agents a tick.
func (c *Core) tellAgents(now time.Time) []Action {
	if !c.entriesKnown && now.Sub(c.startedAt) < c.settings.SilentAfter {
		return nil
	}
	var actions []Action
	for _, agent := range c.homeAgents {
		if len(actions) == agentsATick {
			break
		}
		if agent.inFlight && now.Sub(agent.toldAt) < c.settings.PullTimeout {
			continue
		}
		wait := c.settings.EntryToAgentInterval
		if agent.generation < c.generation {
			wait = c.settings.PullTimeout
		}
		behind := agent.generation < c.generation && c.pushedAt.After(agent.toldAt) && agent.failedAt.IsZero()
		if behind || now.Sub(agent.toldAt) >= wait {
			actions = append(actions, c.tell(now, agent))
		}
	}
	return actions
}

func (c *Core) tell(now time.Time, state *peerState) Action {
	state.toldAt = now
	state.inFlight = true
	return SendDigest{To: state.peer}
}

// readHead is due for the pollers of a data centre, and for an entry that has
// heard no other entry for a while: cut off from them it may still reach the table.
func (c *Core) readHead(now time.Time) []Action {
	if now.Before(c.nextHead) {
		return nil
	}
	interval := c.settings.PollInterval
	c.nextHead = now.Add(interval)
	if pollsHead(c.self, c.live(now), c.settings.Pollers) {
		return []Action{ReadHead{}}
	}
	if now.Sub(c.heardEntryAt) >= c.settings.SilentAfter {
		const aloneFactor = 2
		c.nextHead = now.Add(aloneFactor * interval)
		return []Action{ReadHead{}}
	}
	return nil
}

// readVMs keeps the fleet's reads of the VM list under its bound: the more
// entries, the rarer each reads.
func (c *Core) readVMs(now time.Time) []Action {
	if now.Before(c.nextVMs) {
		return nil
	}
	entries := float64(len(c.entries) + 1)
	interval := time.Duration(entries / c.settings.VMReadsPerSecond * float64(time.Second))
	c.nextVMs = now.Add(max(interval, c.settings.VMInterval))
	return []Action{ReadVMs{}}
}

// agentDigest is an agent's rare word to the entries it knows, one after the
// other: an entry that restarted with the platform down learns of the
// generation from agents that it does not know of.
func (c *Core) agentDigest(now time.Time) []Action {
	if now.Before(c.nextDigest) {
		return nil
	}
	c.nextDigest = now.Add(c.settings.AgentToEntryInterval)
	c.forgetSilent(now)
	if now.Sub(c.heardEntryAt) < c.settings.AgentToEntryInterval {
		// Some entry looks after this agent. A digest to another one would cost
		// a handshake, ten times as many bytes as the digest itself.
		return nil
	}
	entries := c.addressed()
	if len(entries) == 0 {
		return nil
	}
	c.rotation++
	state := c.entries[entries[c.rotation%len(entries)].ID]
	return []Action{c.tell(now, state)}
}

// forgetSilent drops entries that an agent has not heard for long: entry VMs
// are replaced by the thousand, and an agent reads no list of them.
func (c *Core) forgetSilent(now time.Time) {
	const forgetAfter = time.Hour
	for id, state := range c.entries {
		if now.Sub(state.heardAt) > forgetAfter {
			delete(c.entries, id)
		}
	}
}
