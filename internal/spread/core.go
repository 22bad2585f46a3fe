package spread

import (
	"sort"
	"time"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// Action is what the shell does for the core.
type Action interface{ isAction() }

// SendDigest sends a digest to a peer and reports its answer by Heard or Failed.
type SendDigest struct{ To Peer }

// Pull asks a peer for what is newer than Have.
type Pull struct {
	From Peer
	Have uint64
}

// ReadHead reads the head row of the table.
type ReadHead struct{}

// PullStore reads the changes after Have from the table.
type PullStore struct{ Have uint64 }

// ReadVMs reads the changes of the VM list.
type ReadVMs struct{}

func (SendDigest) isAction() {}
func (Pull) isAction()       {}
func (ReadHead) isAction()   {}
func (PullStore) isAction()  {}
func (ReadVMs) isAction()    {}

// Core decides whom a process tells of generations and from whom it pulls
// them. It has no I/O, goroutine or clock. Not safe for concurrent use.
type Core struct {
	self       Peer
	settings   Settings
	startedAt  time.Time
	generation uint64
	// storeHead is the highest generation that the table showed.
	storeHead uint64
	// maxTold is the highest generation that any peer told of.
	maxTold uint64
	entries map[keys.Identity]*peerState
	agents  map[keys.Identity]*peerState
	listed  []Peer // entries of the VM list and seeds, self left out
	// entriesKnown: the list was read, be it empty.
	entriesKnown bool

	// overlayDirty: members changed since neighbours and homes were computed.
	overlayDirty bool
	overlayUntil time.Time
	overlayLive  []Peer
	neighbours   []Peer
	homeAgents   []*peerState

	pushDue    bool
	pushedAt   time.Time
	nextDigest time.Time
	rotation   int
	nextHead   time.Time
	nextVMs    time.Time
	pullUntil  time.Time
	pulling    bool
	// heardEntryAt is when any other entry was last heard.
	heardEntryAt time.Time
}

// peerState is what the core knows of a peer.
type peerState struct {
	peer Peer
	// generation last heard from it.
	generation uint64
	toldAt     time.Time
	heardAt    time.Time
	failedAt   time.Time
	// introducedAt is when the peer was last told who this process is.
	introducedAt time.Time
	// inFlight: a digest is on its way.
	inFlight bool
	// pullFailed at, so that the next pull tries another peer first.
	pullFailedAt time.Time
}

// NewCore returns the core of a process that starts now.
func NewCore(now time.Time, self Peer, settings Settings) *Core {
	return &Core{
		self: self, settings: settings,
		entries: map[keys.Identity]*peerState{}, agents: map[keys.Identity]*peerState{},
		startedAt: now, heardEntryAt: now,
		// Processes that start together spread their timers over an interval.
		nextDigest: now.Add(phase(self.ID.Name, settings.Interval)),
		nextHead:   now,
		nextVMs:    now,
	}
}

// phase maps a name evenly into the interval.
func phase(name string, interval time.Duration) time.Duration {
	const steps = 1 << 16
	return time.Duration(score("phase", name)%steps) * interval / steps
}

// Generation in force, as the core was told.
func (c *Core) Generation() uint64 { return c.generation }

// SetEntries replaces the list of entries (VM list and seeds).
func (c *Core) SetEntries(entries []Peer) {
	c.entriesKnown = true
	c.listed = without(entries, c.self.ID)
	named := map[keys.Identity]bool{}
	for _, entry := range c.listed {
		named[entry.ID] = true
		c.remember(c.entries, entry)
	}
	for id := range c.entries {
		if !named[id] && len(named) > 0 {
			delete(c.entries, id)
		}
	}
	c.overlayDirty = true
}

// SetAgents replaces the list of agents, as the catalog declares them.
func (c *Core) SetAgents(agents []Peer) {
	named := map[keys.Identity]bool{}
	for _, agent := range agents {
		named[agent.ID] = true
		c.remember(c.agents, agent)
	}
	for id := range c.agents {
		if !named[id] {
			delete(c.agents, id)
		}
	}
	c.overlayDirty = true
}

func (c *Core) remember(known map[keys.Identity]*peerState, peer Peer) *peerState {
	state := known[peer.ID]
	if state == nil {
		state = &peerState{}
		known[peer.ID] = state
		c.overlayDirty = true
	}
	if state.peer != peer {
		state.peer = peer
		c.overlayDirty = true
	}
	return state
}

// Adopted says that a newer generation is in force here. The peers hear of it
// at the next tick, or at once when the last push is long enough ago.
func (c *Core) Adopted(now time.Time, generation uint64) []Action {
	if generation <= c.generation {
		return nil
	}
	c.generation = generation
	c.pushDue = true
	return c.Tick(now)
}

// ReceivedDigest takes a digest, or the answer to one. A digest tells the
// sender's address and data centre as well.
func (c *Core) ReceivedDigest(now time.Time, from Peer, generation uint64) []Action {
	state := c.known(from)
	if state == nil {
		return nil
	}
	state.inFlight = false
	return c.heard(now, state, generation)
}

// ReceivedGeneration takes a stamp on any other message. The peer's address may be unknown.
func (c *Core) ReceivedGeneration(now time.Time, from keys.Identity, generation uint64) []Action {
	if generation <= c.generation && c.fresh(now, from) {
		return nil
	}
	state := c.known(Peer{ID: from})
	if state == nil {
		return nil
	}
	return c.heard(now, state, generation)
}

// generationOf is the generation last heard from a peer, 0 when none was.
func (c *Core) generationOf(peer keys.Identity) uint64 {
	if state := c.entries[peer]; state != nil {
		return state.generation
	}
	if state := c.agents[peer]; state != nil {
		return state.generation
	}
	return 0
}

// introduceEvery is how often a peer hears again who the process is.
const introduceEvery = 10 * time.Minute

// introductionDue tells whether the peer should hear who this process is, and
// takes it as done.
func (c *Core) introductionDue(now time.Time, peer keys.Identity) bool {
	state := c.entries[peer]
	if state == nil {
		state = c.agents[peer]
	}
	if state == nil {
		return true
	}
	if !state.introducedAt.IsZero() && now.Sub(state.introducedAt) < introduceEvery {
		return false
	}
	state.introducedAt = now
	return true
}

// fresh tells whether the peer was heard lately: the stamp of each of
// thousands of messages a second then costs a map look-up.
func (c *Core) fresh(now time.Time, from keys.Identity) bool {
	state := c.entries[from]
	if state == nil {
		state = c.agents[from]
	}
	return state != nil && now.Sub(state.heardAt) < c.settings.Interval
}

func (c *Core) heard(now time.Time, state *peerState, generation uint64) []Action {
	state.heardAt = now
	if state.suspectedAt(now, c.settings.SuspectFor) {
		c.overlayDirty = true
	}
	state.failedAt = time.Time{}
	if state.peer.ID.Role == keys.RoleEntry {
		c.heardEntryAt = now
	}
	if generation > state.generation {
		state.generation = generation
	}
	c.maxTold = max(c.maxTold, generation)
	return c.pull(now)
}

// PullServed says that a peer pulled from here and was sent the generation.
func (c *Core) PullServed(now time.Time, peer Peer, generation uint64) {
	state := c.known(peer)
	if state == nil {
		return
	}
	state.heardAt = now
	state.generation = max(state.generation, generation)
}

// known finds the state of a peer and makes one for a peer that speaks first.
func (c *Core) known(peer Peer) *peerState {
	if peer.ID == c.self.ID {
		return nil
	}
	known := c.entries
	if peer.ID.Role == keys.RoleAgent {
		known = c.agents
	}
	if state := known[peer.ID]; state != nil {
		if peer.Address != "" && state.peer != peer {
			state.peer = peer
			c.overlayDirty = true
		}
		return state
	}
	return c.remember(known, peer)
}

// DigestFailed says that a digest to the peer, or its answer, did not arrive. A peer
// that lacks the generation is told once more at once: waiting for its next
// turn, or for another who tells it, is what makes the last process late when
// packets get lost. A peer that is dead costs one more digest.
func (c *Core) DigestFailed(now time.Time, peer keys.Identity) []Action {
	state := c.entries[peer]
	if state == nil {
		state = c.agents[peer]
	}
	if state == nil {
		return nil
	}
	first := !state.suspectedAt(now, c.settings.SuspectFor)
	state.inFlight = false
	state.failedAt = now
	state.introducedAt = time.Time{}
	c.overlayDirty = true
	if first && state.generation < c.generation {
		return []Action{c.tell(now, state)}
	}
	return nil
}

// PullDone says that a pull from the peer ended, well or not. The shell calls
// Adopted before it when the pull brought something newer.
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
		// It told of more than it gave. Believing it further would pull from it
		// without end.
		state.generation = c.generation
		c.recountTold()
	}
	return c.pull(now)
}

func (c *Core) recountTold() {
	c.maxTold = 0
	for _, known := range []map[keys.Identity]*peerState{c.entries, c.agents} {
		for _, state := range known {
			c.maxTold = max(c.maxTold, state.generation)
		}
	}
}

// StorePullDone says that reading changes from the table ended. When it failed,
// the head is forgotten until it is read again, so that an outage is not met
// with a loop of reads.
func (c *Core) StorePullDone(now time.Time, ok bool) []Action {
	c.pulling = false
	if !ok {
		c.storeHead = 0
	}
	return c.pull(now)
}

// HeadRead takes the head generation that the table showed.
func (c *Core) HeadRead(now time.Time, generation uint64) []Action {
	if generation > c.storeHead {
		c.storeHead = generation
	}
	return c.pull(now)
}

// pull asks for what is newer, one pull at a time. A process that is behind
// asks the peer that told of the highest generation, and the table when it
// showed a higher one than every peer that answers.
func (c *Core) pull(now time.Time) []Action {
	if c.pulling && now.Before(c.pullUntil) {
		return nil
	}
	if c.maxTold <= c.generation && c.storeHead <= c.generation {
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
	c.pullUntil = now.Add(c.settings.PullTimeout)
}

// pullPauseShare of PullTimeout passes before a peer is asked again whose pull
// failed: most pulls fail by a lost packet, and a process that is behind should
// not wait for another's word.
const pullPauseShare = 4

// newestPeer is the peer with the highest generation above our own; of
// several, entries of the same data centre first. A peer whose pull failed
// just now is passed over for a moment, so that another is asked first.
func (c *Core) newestPeer(now time.Time) *peerState {
	var best *peerState
	for _, known := range []map[keys.Identity]*peerState{c.entries, c.agents} {
		for _, state := range known {
			if state.generation <= c.generation || now.Sub(state.pullFailedAt) < c.settings.PullTimeout/pullPauseShare {
				continue
			}
			if best == nil || c.preferred(state, best) {
				best = state
			}
		}
	}
	return best
}

func (c *Core) preferred(a, b *peerState) bool {
	if a.generation != b.generation {
		return a.generation > b.generation
	}
	if aNear, bNear := a.peer.DataCentre == c.self.DataCentre, b.peer.DataCentre == c.self.DataCentre; aNear != bNear {
		return aNear
	}
	return score(c.self.ID.Name, a.peer.ID.Name) > score(c.self.ID.Name, b.peer.ID.Name)
}

// suspectedAt tells whether the last word of the peer is a failure that is young.
func (p *peerState) suspectedAt(now time.Time, suspectFor time.Duration) bool {
	return !p.failedAt.IsZero() && now.Sub(p.failedAt) < suspectFor
}

// live returns the entries that are not suspected, in order of name.
func (c *Core) live(now time.Time) []Peer {
	var live []Peer
	for _, state := range c.entries {
		if !state.suspectedAt(now, c.settings.SuspectFor) && state.peer.Address != "" {
			live = append(live, state.peer)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID.Name < live[j].ID.Name })
	return live
}
