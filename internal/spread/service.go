// Package spread brings each accepted generation of the catalog to every
// process. Core decides whom to tell and whom to ask; Service does the I/O.
// It accepts nothing and never moves a process backwards.
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

// Store is what the service reads of the platform; *catalogstore.Store has it.
type Store interface {
	Head(ctx context.Context) (uint64, error)
	After(ctx context.Context, generation uint64) (*jayv1.CatalogDelta, error)
	LoadSnapshot(ctx context.Context) (*catalog.Table, error)
}

// Options of a service.
type Options struct {
	// Self is the process's own identity; its role decides what the service does.
	Self       keys.Identity
	DataCentre string
	Region     string
	// Address of the process's own QUIC listener.
	Address string
	// Incarnation is the process's boot number.
	Incarnation uint64
	Settings    Settings
	Node        *transport.Node
	Holder      *catalog.Holder
	// Store is nil at agents.
	Store Store
	// VMs is nil at agents.
	VMs platform.VMs
	// Seeds are addresses of entries to ask while no other is known.
	Seeds []string
	// OnVMs gets each answer of the VM list that holds something.
	OnVMs func(platform.VMList)
	// OnUpdates gets the news of other processes' digests.
	OnUpdates func(from keys.Identity, news []*jayv1.MemberNews)
	// Updates is what the process's digests carry; keep it small.
	Updates func() []*jayv1.MemberNews
	// OnCrashes gets the requests under which engines crashed, of other processes'
	// digests; Crashes are those that ours carry. all: those that a process which
	// has just started must know too. Both may be nil.
	OnCrashes func(news []*jayv1.CrashNews)
	Crashes   func(all bool) []*jayv1.CrashNews
	// Draining tells whether the process is shutting down.
	Draining func() bool
	// FillStatus adds what else the process tells of itself in a status; may be nil.
	FillStatus func(*jayv1.ProcessStatus)
	// Now is the clock; nil: time.Now.
	Now platform.Clock
}

// tickEvery is how often the shell asks the core what is due.
const tickEvery = 50 * time.Millisecond

// agentTickEvery is the same at agents, which have little to do.
const agentTickEvery = 500 * time.Millisecond

// Service is the shell around a Core. Safe for concurrent use.
type Service struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	loaded  chan struct{}
	once    sync.Once

	mu     sync.Mutex
	core   *Core
	log    changeLog
	vms    map[string]platform.VM
	vmsRev uint64
	seedAt time.Time
	closed bool

	started time.Time
}

// Start runs the service until Close or the end of the context.
func Start(ctx context.Context, options Options) (*Service, error) {
	if options.Node == nil || options.Holder == nil {
		return nil, eris.New("spread needs a node and a holder")
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Settings == (Settings{}) {
		options.Settings = DefaultSettings()
	}
	s := &Service{options: options, started: options.Now(), loaded: make(chan struct{}), vms: map[string]platform.VM{}}
	s.ctx, s.cancel = context.WithCancel(ctx)
	self := Peer{ID: options.Self, Address: options.Address, DataCentre: options.DataCentre, Region: options.Region}
	s.core = NewCore(options.Now(), self, options.Settings)
	s.core.Adopted(options.Now(), options.Holder.Current().Generation())
	s.wg.Add(2)
	go s.load()
	go s.tick()
	return s, nil
}

// Close stops the service and waits for its exchanges.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
}

// enter counts a goroutine in, unless the service is closed.
func (s *Service) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	return true
}

// Loaded is closed when a starting process has the newest generation that it
// could find, or has waited StartWait for it.
func (s *Service) Loaded() <-chan struct{} { return s.loaded }

// Since returns what brings a peer or watcher from a generation to the table
// in force here.
func (s *Service) Since(generation uint64) *jayv1.CatalogDelta {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.since(generation, s.options.Holder.Current())
}

// ReceivedGeneration takes the generation that any message of a peer was stamped with.
func (s *Service) ReceivedGeneration(peer keys.Identity, generation uint64) {
	s.mu.Lock()
	actions := s.core.ReceivedGeneration(s.options.Now(), peer, generation)
	s.mu.Unlock()
	s.run(actions)
}

// Accepted puts a change in force here that this process got accepted.
func (s *Service) Accepted(change *jayv1.Change) {
	if err := s.adopt(&jayv1.CatalogDelta{Changes: []*jayv1.Change{change}}); err != nil {
		// Another entry's change came between; the store has both.
		s.mu.Lock()
		actions := s.core.HeadRead(s.options.Now(), change.GetGeneration())
		s.mu.Unlock()
		s.run(actions)
	}
}

// adopt puts what a delta leads to in force, if it is newer.
func (s *Service) adopt(delta *jayv1.CatalogDelta) error {
	s.mu.Lock()
	table, err := s.options.Holder.Current().Forward(delta)
	if err != nil {
		s.mu.Unlock()
		return err
	}
	if !s.options.Holder.Adopt(table) {
		s.mu.Unlock()
		return nil
	}
	s.log.follow(delta, table)
	s.core.SetAgents(agentsOf(table))
	actions := s.core.Adopted(s.options.Now(), table.Generation())
	s.mu.Unlock()
	klog.InfoS("Catalog generation in force", "process", s.options.Self.String(), "generation", table.Generation())
	s.run(actions)
	return nil
}

// agentsOf lists the agents that a table declares, by their backend servers.
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

// load takes the highest generation of table, peers and object store. Peers
// answer through the ticks that run meanwhile.
func (s *Service) load() {
	defer s.wg.Done()
	defer s.once.Do(func() { close(s.loaded) })
	ctx, cancel := context.WithTimeout(s.ctx, s.options.Settings.StartWait)
	defer cancel()
	if s.options.Store != nil && s.loadFromTable(ctx) {
		return
	}
	if s.awaitPeer(ctx) || s.options.Store == nil {
		return
	}
	s.loadSnapshot()
}

// loadFromTable tells whether the table answered.
func (s *Service) loadFromTable(ctx context.Context) bool {
	delta, err := s.options.Store.After(ctx, s.options.Holder.Current().Generation())
	if err == nil {
		err = s.adopt(delta)
	}
	if err != nil {
		klog.ErrorS(err, "Table does not tell the catalog; asking peers, then the object store", "process", s.options.Self.String())
	}
	return err == nil
}

// awaitPeer waits until a peer's generation is in force here.
func (s *Service) awaitPeer(ctx context.Context) bool {
	for {
		next := s.options.Holder.Next()
		if s.peerWasHeard() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-next:
		}
	}
}

// loadSnapshot is the last resort. A snapshot is up to some hundred
// generations old: taken before the peers were asked, it would bring back, at
// this process and for as long as they need to answer, what was replaced since.
func (s *Service) loadSnapshot() {
	ctx, cancel := context.WithTimeout(s.ctx, s.options.Settings.StartWait)
	defer cancel()
	table, err := s.options.Store.LoadSnapshot(ctx)
	if err == nil {
		err = s.adopt(&jayv1.CatalogDelta{Snapshot: table.Snapshot()})
	}
	if err != nil {
		klog.ErrorS(err, "No snapshot of the catalog; waiting for table or peers", "process", s.options.Self.String())
	}
}

func (s *Service) peerWasHeard() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.maxTold > 0 && s.core.maxTold <= s.core.generation
}

func (s *Service) tick() {
	defer s.wg.Done()
	every := tickEvery
	if s.options.Self.Role == keys.RoleAgent {
		every = agentTickEvery
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		now := s.options.Now()
		actions := s.core.Tick(now)
		greet := s.greetDue(now)
		s.mu.Unlock()
		s.run(actions)
		if greet {
			s.greetSeeds()
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
