package spread

import (
	"slices"
	"time"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// Tick returns the actions that are due. It must be called at least every tenth of
// Interval, and a few times per PushGap while something changes.
func (c *Core) Tick(now time.Time) []Action {
	if c.self.ID.Role == keys.RoleAgent {
		return append(c.digestToEntry(now), c.pull(now)...)
	}
	c.updateOverlay(now)
	var actions []Action
	actions = append(actions, c.push(now)...)
	actions = append(actions, c.digestToNeighbour(now)...)
	actions = append(actions, c.digestsToAgents(now)...)
	actions = append(actions, c.readHead(now)...)
	actions = append(actions, c.readVMs(now)...)
	return append(actions, c.pull(now)...)
}

// updateOverlay recomputes neighbours and assigned agents if peers were added, removed
// or suspected, or are no longer suspected.
func (c *Core) updateOverlay(now time.Time) {
	if !c.overlayDirty && now.Before(c.nextOverlayCheck) {
		return
	}
	c.nextOverlayCheck = now.Add(c.settings.Interval)
	live := c.live(now)
	if !c.overlayDirty && slices.Equal(live, c.overlayLive) {
		return
	}
	c.overlayDirty = false
	c.overlayLive = live
	c.neighbours = neighbours(c.self, live, c.settings.FanOut)
	assignment := newAgentAssignment(c.self, c.entriesWithAddress(), live, c.settings.PreferredEntries)
	var agents []Peer
	for _, agent := range c.agents {
		if agent.peer.Address != "" {
			agents = append(agents, agent.peer)
		}
	}
	c.assignedAgents = c.assignedAgents[:0]
	for _, agent := range assignment.assigned(agents) {
		c.assignedAgents = append(c.assignedAgents, c.agents[agent.ID])
	}
}

// push sends a new generation to all neighbours that lack it, at most once per PushGap.
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
			actions = append(actions, c.sendDigest(now, state))
		}
	}
	return actions
}

// digestToNeighbour sends a digest to one neighbour per interval, in turn. Every
// nonNeighbourEvery intervals it sends one to any entry, at the cost of a handshake, so that an overlay
// that split into parts is joined again.
func (c *Core) digestToNeighbour(now time.Time) []Action {
	if now.Before(c.nextDigest) {
		return nil
	}
	c.nextDigest = now.Add(c.settings.Interval)
	candidates := c.neighbours
	const nonNeighbourEvery = 30
	c.rotation++
	if len(candidates) == 0 || c.rotation%nonNeighbourEvery == 0 {
		candidates = c.entriesWithAddress()
	}
	if len(candidates) == 0 {
		return nil
	}
	state := c.entries[candidates[c.rotation%len(candidates)].ID]
	if state == nil || state.digestInFlight {
		return nil
	}
	return []Action{c.sendDigest(now, state)}
}

// entriesWithAddress returns every entry with an address, including suspected ones.
func (c *Core) entriesWithAddress() []Peer {
	var all []Peer
	for _, state := range c.entries {
		if state.peer.Address != "" {
			all = append(all, state.peer)
		}
	}
	return rank(c.self.ID.Name, all)
}

// maxAgentDigestsPerTick bounds the digests to agents in one tick, so that a restarted
// entry doesn't connect to all its agents at once. At tickInterval it allows 40 per second.
const maxAgentDigestsPerTick = 2

// digestsToAgents sends digests to the assigned agents: at once and then every
// PullTimeout to agents that lack the generation, and every EntryToAgentInterval to
// those that are up to date.
//
// An entry that just started knows no other entry, so all agents of the fleet are
// assigned to it. To avoid a handshake with each of them when many entries restart
// at once, it sends none until the entry list was read, or until SilentAfter if the
// list can't be read.
func (c *Core) digestsToAgents(now time.Time) []Action {
	if !c.entryListRead && now.Sub(c.startedAt) < c.settings.SilentAfter {
		return nil
	}
	var actions []Action
	for _, agent := range c.assignedAgents {
		if len(actions) == maxAgentDigestsPerTick {
			break
		}
		if agent.digestInFlight && now.Sub(agent.digestSentAt) < c.settings.PullTimeout {
			continue
		}
		wait := c.settings.EntryToAgentInterval
		if agent.generation < c.generation {
			wait = c.settings.PullTimeout
		}
		behind := agent.generation < c.generation && c.pushedAt.After(agent.digestSentAt) && agent.failedAt.IsZero()
		if behind || now.Sub(agent.digestSentAt) >= wait {
			actions = append(actions, c.sendDigest(now, agent))
		}
	}
	return actions
}

func (c *Core) sendDigest(now time.Time, state *peerState) Action {
	state.digestSentAt = now
	state.digestInFlight = true
	return SendDigest{To: state.peer}
}

// readHead reads the head at pollers, and at an entry that received nothing from other
// entries for SilentAfter: it may still reach the store.
func (c *Core) readHead(now time.Time) []Action {
	if now.Before(c.nextHeadRead) {
		return nil
	}
	interval := c.settings.PollInterval
	c.nextHeadRead = now.Add(interval)
	if isHeadPoller(c.self, c.live(now), c.settings.Pollers) {
		return []Action{ReadHead{}}
	}
	if now.Sub(c.lastEntryContact) >= c.settings.SilentAfter {
		const isolatedFactor = 2
		c.nextHeadRead = now.Add(isolatedFactor * interval)
		return []Action{ReadHead{}}
	}
	return nil
}

// readVMs limits the reads of the VM list by the whole fleet: its interval grows with the
// number of entries.
func (c *Core) readVMs(now time.Time) []Action {
	if now.Before(c.nextVMRead) {
		return nil
	}
	entries := float64(len(c.entries) + 1)
	interval := time.Duration(entries / c.settings.VMReadsPerSecond * float64(time.Second))
	c.nextVMRead = now.Add(max(interval, c.settings.VMInterval))
	return []Action{ReadVMs{}}
}

// digestToEntry sends a digest of an agent to the entries it knows, one after another.
// An entry that restarted while the platform is down gets the generation from agents
// that it doesn't know of.
func (c *Core) digestToEntry(now time.Time) []Action {
	if now.Before(c.nextDigest) {
		return nil
	}
	c.nextDigest = now.Add(c.settings.AgentToEntryInterval)
	c.removeSilentEntries(now)
	if now.Sub(c.lastEntryContact) < c.settings.AgentToEntryInterval {
		// An entry contacts this agent already. A digest to another entry would cost a
		// handshake, about ten times the bytes of the digest.
		return nil
	}
	entries := c.entriesWithAddress()
	if len(entries) == 0 {
		return nil
	}
	c.rotation++
	state := c.entries[entries[c.rotation%len(entries)].ID]
	return []Action{c.sendDigest(now, state)}
}

// removeSilentEntries removes entries that an agent received nothing from for a long
// time. An agent doesn't read the VM list, so it isn't notified when entry VMs are
// replaced.
func (c *Core) removeSilentEntries(now time.Time) {
	const removeAfter = time.Hour
	for id, state := range c.entries {
		if now.Sub(state.lastReceivedAt) > removeAfter {
			delete(c.entries, id)
		}
	}
}
