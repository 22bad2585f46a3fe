// Package spread distributes each accepted generation of the catalog to every
// process. Core decides which peers to contact; Service does the I/O. The package
// accepts no changes itself and never moves a process to an older generation.
package spread

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// Store reads the catalog from the platform; *catalogstore.Store implements it.
type Store interface {
	Head(ctx context.Context) (uint64, error)
	After(ctx context.Context, generation uint64) (*jayv1.CatalogDelta, error)
	LoadSnapshot(ctx context.Context) (*catalog.Table, error)
}

// Options configures a Service.
type Options struct {
	// Self is the identity of this process. Its role decides what the service does.
	Self       keys.Identity
	DataCentre string
	Region     string
	// Address of this process's QUIC listener, as peers reach it.
	Address string
	// Incarnation number of this process, higher after each restart.
	Incarnation uint64
	Settings    Settings
	Node        *transport.Node
	Holder      *catalog.Holder
	// Store is nil at agents.
	Store Store
	// VMs is nil at agents.
	VMs platform.VMs
	// Seeds are addresses of entries or agents to contact while no other entry, or no generation, is known.
	Seeds []string
	// OnVMs receives each answer of the VM list that isn't empty.
	OnVMs func(platform.VMList)
	// OnUpdates receives the member updates in the digests of other processes; may be nil.
	OnUpdates func(from keys.Identity, updates []*jayv1.MemberNews)
	// Updates returns the member updates for this process's digests; may be nil. They are
	// sent with every digest, so they must be few.
	Updates func() []*jayv1.MemberNews
	// OnCrashes receives the crash records in the digests of other processes; Crashes
	// returns those for this process's digests. all: also the records that only a
	// newly started process lacks. Both may be nil.
	OnCrashes func(crashes []*jayv1.CrashNews)
	Crashes   func(all bool) []*jayv1.CrashNews
	// Draining reports whether the process is shutting down; may be nil.
	Draining func() bool
	// FillStatus adds fields to the status of this process; may be nil.
	FillStatus func(*jayv1.ProcessStatus)
	// Now is the clock; nil means time.Now.
	Now platform.Clock
}

// tickInterval is the time between two calls of Core.Tick at an entry.
const tickInterval = 50 * time.Millisecond

// agentTickInterval is the time between two calls of Core.Tick at an agent.
const agentTickInterval = 500 * time.Millisecond

// Service runs a Core and carries out its actions. Safe for concurrent use.
type Service struct {
	options    Options
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	loaded     chan struct{}
	loadedOnce sync.Once

	mu              sync.Mutex
	core            *Core
	log             changeLog
	vms             map[string]platform.VM
	vmRevision      uint64
	nextSeedContact time.Time
	closed          bool

	startedAt time.Time
}

// Start runs the service until Close is called or the context ends.
func Start(ctx context.Context, options Options) (*Service, error) {
	if options.Node == nil || options.Holder == nil {
		return nil, eris.New("spread: options Node and Holder are required")
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Settings == (Settings{}) {
		options.Settings = DefaultSettings()
	}
	s := &Service{options: options, startedAt: options.Now(), loaded: make(chan struct{}), vms: map[string]platform.VM{}}
	s.ctx, s.cancel = context.WithCancel(ctx)
	self := Peer{ID: options.Self, Address: options.Address, DataCentre: options.DataCentre, Region: options.Region}
	s.core = NewCore(options.Now(), self, options.Settings)
	s.core.Adopted(options.Now(), options.Holder.Current().Generation())
	s.wg.Add(2)
	go s.load()
	go s.tick()
	return s, nil
}

// Close stops the service and waits for its goroutines.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
}

// addWorker adds a goroutine to the wait group. It returns false if the service is closed.
func (s *Service) addWorker() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	return true
}

// Loaded returns a channel that is closed when a starting process has the newest
// generation that it could find, or has waited StartWait for it.
func (s *Service) Loaded() <-chan struct{} { return s.loaded }

// Since returns the delta from a generation to the one in force in this process.
func (s *Service) Since(generation uint64) *jayv1.CatalogDelta {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.since(generation, s.options.Holder.Current())
}

// ReceivedGeneration processes the generation attached to any message of a peer.
func (s *Service) ReceivedGeneration(peer keys.Identity, generation uint64) {
	s.mu.Lock()
	actions := s.core.ReceivedGeneration(s.options.Now(), peer, generation)
	s.mu.Unlock()
	s.run(actions)
}

// Accepted applies a change that this process got accepted in the store.
func (s *Service) Accepted(change *jayv1.Change) {
	if err := s.adopt(&jayv1.CatalogDelta{Changes: []*jayv1.Change{change}}); err != nil {
		// The change doesn't follow the generation in force: another entry's change was
		// accepted before it. Both are read from the store.
		s.mu.Lock()
		actions := s.core.HeadRead(s.options.Now(), change.GetGeneration())
		s.mu.Unlock()
		s.run(actions)
	}
}

// adopt applies a delta if it leads to a newer generation.
func (s *Service) adopt(delta *jayv1.CatalogDelta) error {
	s.mu.Lock()
	table, err := s.options.Holder.Current().ApplyDelta(delta)
	if err != nil {
		s.mu.Unlock()
		return err
	}
	if !s.options.Holder.Adopt(table) {
		s.mu.Unlock()
		return nil
	}
	s.log.record(delta, table)
	s.core.SetAgents(agentsOf(table))
	actions := s.core.Adopted(s.options.Now(), table.Generation())
	s.mu.Unlock()
	klog.InfoS("Catalog generation in force", "process", s.options.Self.String(), "generation", table.Generation())
	s.run(actions)
	return nil
}

// agentsOf returns the agents of the backend servers in a table.
func agentsOf(table *catalog.Table) []Peer {
	servers := table.BackendServers()
	agents := make([]Peer, 0, len(servers))
	for _, server := range servers {
		agents = append(agents, Peer{
			ID:      keys.Identity{Role: keys.RoleAgent, Name: server.GetName()},
			Address: server.GetAgentAddress(), DataCentre: server.GetDataCentre(), Region: server.GetRegion(),
		})
	}
	return agents
}

// load loads the catalog at start from the store, or else from peers, or else from
// the snapshot in the object store. Peers are contacted by tick meanwhile.
func (s *Service) load() {
	defer s.wg.Done()
	defer s.loadedOnce.Do(func() { close(s.loaded) })
	ctx, cancel := context.WithTimeout(s.ctx, s.options.Settings.StartWait)
	defer cancel()
	if s.options.Store != nil && s.loadFromStore(ctx) {
		return
	}
	if s.awaitPeer(ctx) || s.options.Store == nil {
		return
	}
	s.loadSnapshot()
}

// loadFromStore reports whether the catalog was read from the store.
func (s *Service) loadFromStore(ctx context.Context) bool {
	delta, err := s.options.Store.After(ctx, s.options.Holder.Current().Generation())
	if err == nil {
		err = s.adopt(delta)
	}
	if err != nil {
		klog.ErrorS(err, "Reading the catalog from the store failed; waiting for peers, then loading the snapshot", "process", s.options.Self.String())
	}
	return err == nil
}

// awaitPeer waits until the highest generation reported by peers is in force here.
// It returns false if the context ends first.
func (s *Service) awaitPeer(ctx context.Context) bool {
	for {
		next := s.options.Holder.Next()
		if s.caughtUpWithPeers() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-next:
		}
	}
}

// loadSnapshot loads the snapshot in the object store. A snapshot may be hundreds of
// generations old, so it is loaded only if no peer answered: it would put rules
// that were replaced since in force again.
func (s *Service) loadSnapshot() {
	ctx, cancel := context.WithTimeout(s.ctx, s.options.Settings.StartWait)
	defer cancel()
	table, err := s.options.Store.LoadSnapshot(ctx)
	if err == nil {
		err = s.adopt(&jayv1.CatalogDelta{Snapshot: table.Snapshot()})
	}
	if err != nil {
		klog.ErrorS(err, "Loading the catalog snapshot failed; waiting for the store or peers", "process", s.options.Self.String())
	}
}

func (s *Service) caughtUpWithPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.maxReported > 0 && s.core.maxReported <= s.core.generation
}

func (s *Service) tick() {
	defer s.wg.Done()
	interval := tickInterval
	if s.options.Self.Role == keys.RoleAgent {
		interval = agentTickInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		now := s.options.Now()
		actions := s.core.Tick(now)
		seedsDue := s.seedsDue(now)
		s.mu.Unlock()
		s.run(actions)
		if seedsDue {
			s.contactSeeds()
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
