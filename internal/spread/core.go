package spread

import (
	"sort"
	"time"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// Action is an I/O operation that Core asks Service to carry out.
type Action interface{ isAction() }

// SendDigest sends a digest to a peer. The caller reports the result with
// ReceivedDigest or DigestFailed.
type SendDigest struct{ To Peer }

// Pull requests the catalog changes after generation Have from a peer.
type Pull struct {
	From Peer
	Have uint64
}

// ReadHead reads the highest generation in the catalog store.
type ReadHead struct{}

// PullStore reads the changes after generation Have from the catalog store.
type PullStore struct{ Have uint64 }

// ReadVMs reads the changes of the VM list.
type ReadVMs struct{}

func (SendDigest) isAction() {}
func (Pull) isAction()       {}
func (ReadHead) isAction()   {}
func (PullStore) isAction()  {}
func (ReadVMs) isAction()    {}

// Core decides which peers a process sends digests to and where it pulls newer
// generations from. It has no I/O, goroutine or clock. Not safe for concurrent use.
type Core struct {
	self       Peer
	settings   Settings
	startedAt  time.Time
	generation uint64
	// storeHead is the highest generation seen in the catalog store.
	storeHead uint64
	// maxReported is the highest generation that any peer reported.
	maxReported uint64
	entries     map[keys.Identity]*peerState
	agents      map[keys.Identity]*peerState
	listed      []Peer // entries of the VM list, without this process
	// entryListRead: the list of entries was read at least once, even if it was empty.
	entryListRead bool

	// overlayDirty: peers changed since neighbours and assignedAgents were computed. The
	// overlay is the graph of entries and the neighbours they send digests to.
	overlayDirty     bool
	nextOverlayCheck time.Time
	overlayLive      []Peer
	neighbours       []Peer
	assignedAgents   []*peerState

	pushDue      bool
	pushedAt     time.Time
	nextDigest   time.Time
	rotation     int
	nextHeadRead time.Time
	nextVMRead   time.Time
	pullDeadline time.Time
	pulling      bool
	// lastEntryContact is when a message from any other entry last arrived.
	lastEntryContact time.Time
}

// peerState is the view of one peer.
type peerState struct {
	peer Peer
	// generation is the highest one that the peer reported.
	generation     uint64
	digestSentAt   time.Time
	lastReceivedAt time.Time
	failedAt       time.Time
	// identitySentAt is when a digest last carried this process's identity and address.
	identitySentAt time.Time
	// digestInFlight: a digest was sent and neither answered nor failed yet.
	digestInFlight bool
	// pullFailedAt makes the next pull prefer another peer.
	pullFailedAt time.Time
}

// NewCore returns the core of a process that starts at now.
func NewCore(now time.Time, self Peer, settings Settings) *Core {
	return &Core{
		self: self, settings: settings,
		entries: map[keys.Identity]*peerState{}, agents: map[keys.Identity]*peerState{},
		startedAt: now, lastEntryContact: now,
		// Processes that start together distribute their first digests over an interval.
		nextDigest:   now.Add(startOffset(self.ID.Name, settings.Interval)),
		nextHeadRead: now,
		nextVMRead:   now,
	}
}

// startOffset maps a name to a pseudorandom, evenly distributed offset within the interval.
func startOffset(name string, interval time.Duration) time.Duration {
	const steps = 1 << 16
	return time.Duration(rendezvousWeight("phase", name)%steps) * interval / steps
}

// Generation returns the generation in force, as last passed to Adopted.
func (c *Core) Generation() uint64 { return c.generation }

// SetEntries replaces the list of entries. An empty list keeps the peers already known.
func (c *Core) SetEntries(entries []Peer) {
	c.entryListRead = true
	c.listed = excluding(entries, c.self.ID)
	named := map[keys.Identity]bool{}
	for _, entry := range c.listed {
		named[entry.ID] = true
		c.upsertPeer(c.entries, entry)
	}
	for id := range c.entries {
		if !named[id] && len(named) > 0 {
			delete(c.entries, id)
		}
	}
	c.overlayDirty = true
}

// SetAgents replaces the list of agents that the catalog declares.
func (c *Core) SetAgents(agents []Peer) {
	named := map[keys.Identity]bool{}
	for _, agent := range agents {
		named[agent.ID] = true
		c.upsertPeer(c.agents, agent)
	}
	for id := range c.agents {
		if !named[id] {
			delete(c.agents, id)
		}
	}
	c.overlayDirty = true
}

func (c *Core) upsertPeer(known map[keys.Identity]*peerState, peer Peer) *peerState {
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

// Adopted records that a newer generation is in force in this process. Digests to
// peers are due at the next tick, or at once if PushGap has passed since the last push.
func (c *Core) Adopted(now time.Time, generation uint64) []Action {
	if generation <= c.generation {
		return nil
	}
	c.generation = generation
	c.pushDue = true
	return c.Tick(now)
}

// ReceivedDigest processes a digest or the answer to one. A digest may also carry
// the sender's address and data centre.
func (c *Core) ReceivedDigest(now time.Time, from Peer, generation uint64) []Action {
	state := c.stateOf(from)
	if state == nil {
		return nil
	}
	state.digestInFlight = false
	return c.receivedFrom(now, state, generation)
}

// ReceivedGeneration processes the generation attached to any other message. The
// peer's address may be unknown.
func (c *Core) ReceivedGeneration(now time.Time, from keys.Identity, generation uint64) []Action {
	if generation <= c.generation && c.recentlyReceived(now, from) {
		return nil
	}
	state := c.stateOf(Peer{ID: from})
	if state == nil {
		return nil
	}
	return c.receivedFrom(now, state, generation)
}

// generationOf returns the highest generation that a peer reported, or 0.
func (c *Core) generationOf(peer keys.Identity) uint64 {
	if state := c.entries[peer]; state != nil {
		return state.generation
	}
	if state := c.agents[peer]; state != nil {
		return state.generation
	}
	return 0
}

// identityInterval is the time after which a digest carries the process's identity again.
const identityInterval = 10 * time.Minute

// identityDue reports whether the next digest to the peer must carry this process's
// identity and address, and records them as sent.
func (c *Core) identityDue(now time.Time, peer keys.Identity) bool {
	state := c.entries[peer]
	if state == nil {
		state = c.agents[peer]
	}
	if state == nil {
		return true
	}
	if !state.identitySentAt.IsZero() && now.Sub(state.identitySentAt) < identityInterval {
		return false
	}
	state.identitySentAt = now
	return true
}

// recentlyReceived reports whether a message of the peer arrived within the last
// Interval. This keeps the cost per message to one map lookup.
func (c *Core) recentlyReceived(now time.Time, from keys.Identity) bool {
	state := c.entries[from]
	if state == nil {
		state = c.agents[from]
	}
	return state != nil && now.Sub(state.lastReceivedAt) < c.settings.Interval
}

func (c *Core) receivedFrom(now time.Time, state *peerState, generation uint64) []Action {
	state.lastReceivedAt = now
	if state.suspectedAt(now, c.settings.SuspectFor) {
		c.overlayDirty = true
	}
	state.failedAt = time.Time{}
	if state.peer.ID.Role == keys.RoleEntry {
		c.lastEntryContact = now
	}
	if generation > state.generation {
		state.generation = generation
	}
	c.maxReported = max(c.maxReported, generation)
	return c.pull(now)
}

// PullServed records that a peer pulled from this process and was sent the generation.
func (c *Core) PullServed(now time.Time, peer Peer, generation uint64) {
	state := c.stateOf(peer)
	if state == nil {
		return
	}
	state.lastReceivedAt = now
	state.generation = max(state.generation, generation)
}

// stateOf returns the state of a peer and adds a peer that is not known yet. It
// returns nil for this process itself.
func (c *Core) stateOf(peer Peer) *peerState {
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
	return c.upsertPeer(known, peer)
}

// DigestFailed records that a digest to the peer, or its answer, was lost. After
// the first failure a peer that lacks the generation is sent one more digest at
// once, so that a single lost packet doesn't delay it until its next turn.
func (c *Core) DigestFailed(now time.Time, peer keys.Identity) []Action {
	state := c.entries[peer]
	if state == nil {
		state = c.agents[peer]
	}
	if state == nil {
		return nil
	}
	newlySuspected := !state.suspectedAt(now, c.settings.SuspectFor)
	state.digestInFlight = false
	state.failedAt = now
	state.identitySentAt = time.Time{}
	c.overlayDirty = true
	if newlySuspected && state.generation < c.generation {
		return []Action{c.sendDigest(now, state)}
	}
	return nil
}

// suspectedAt reports whether the last exchange with the peer failed less than
// suspectFor ago.
func (p *peerState) suspectedAt(now time.Time, suspectFor time.Duration) bool {
	return !p.failedAt.IsZero() && now.Sub(p.failedAt) < suspectFor
}

// live returns the entries that have an address and are not suspected, sorted by name.
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
