package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/membership"
	"github.com/jayproxy/jayproxy/internal/retry"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/shard"
	"github.com/jayproxy/jayproxy/internal/waitroom"
	"github.com/jayproxy/jayproxy/internal/weights"
)

const (
	// listGrace is how long an entry of the list may be missing after an outage
	// of the store: servers that are alive write themselves back within 2 s.
	listGrace = 2500 * time.Millisecond
	// versionMargin before the bound from which older weights get no request:
	// the request is still on its way then.
	versionMargin = 1500 * time.Millisecond
	// retryBudgetShare of the allowed second sends that all entries use together:
	// entries that restart have forgotten what they sent.
	retryBudgetShare = 0.7
)

// state is what an entry believes. Its parts are pure; the lock is held for
// short steps only, never over I/O.
type state struct {
	settings Settings
	table    atomic.Pointer[routetable.Table]

	mu      sync.Mutex
	list    *fleet.List
	weights *weights.Book
	members *membership.Members
	// router places our own requests where no other entry is asked, and counts all
	// of them; own places those of all entries in the shards that are ours.
	router      *routing.Direct
	shardRouter *routing.Direct
	shards      *shard.Map
	versions    map[versionKey]uint64
	switches    map[string]weightSwitch
	// orderedAt is when another entry last ordered a server, by the server's own
	// name: what it did in an earlier lifetime counts too.
	orderedAt map[string]time.Time
	// holderSeenAt is when another entry last announced or ordered a server.
	holderSeenAt time.Time
	retryBudgets map[string]*retry.Window
	entryCount   int
	// waitQueue holds the requests that wait for memory, waiters who asked.
	waitQueue *waitroom.Room
	waiters   map[string]*waiter
	// kvStores of kept cache as the engines storesOf see them.
	kvStores       []routing.KeptStore
	kvStoresEngine *routetable.Engine
	// kvStoresDown holds the addresses of stores that do not answer.
	kvStoresDown map[string]bool
	// scratch of candidatesLocked.
	scratch []routing.DirectServer
	// membersStale: the list changed since membership was last told.
	membersStale bool
	// listReady: the list was read at least once.
	listReady bool
	// suspects are requests under which servers crashed.
	suspects *suspects
	// closeIdle closes the kept connections to an address.
	closeIdle func(address string)
}

// versionKey is a model at one lifetime of a backend server.
type versionKey struct{ server, model string }

// weightSwitch is a server that is about to take new weights, or does so.
type weightSwitch struct {
	version uint64
	until   time.Time
}

func newState(settings Settings, closeIdle func(address string)) *state {
	return &state{
		settings: settings, closeIdle: closeIdle,
		list:    fleet.NewList(listGrace),
		weights: weights.NewBook(),
		members: membership.New(membership.DefaultSettings()),
		router: routing.NewDirect(routing.DirectOptions{
			DataCentre: settings.DataCentre, MaxVersionAge: settings.VersionBound - versionMargin,
		}),
		shardRouter: routing.NewDirect(routing.DirectOptions{
			DataCentre: settings.DataCentre, MaxVersionAge: settings.VersionBound - versionMargin, Sole: true,
		}),
		shards:   shard.NewMap(),
		versions: map[versionKey]uint64{},
		switches: map[string]weightSwitch{}, orderedAt: map[string]time.Time{},
		retryBudgets: map[string]*retry.Window{},
		entryCount:   1, kvStoresDown: map[string]bool{},
		waitQueue: waitroom.New(), waiters: map[string]*waiter{},
		suspects: newSuspects(),
	}
}

// adoptTable swaps the configuration for a newer one; it never goes back.
func (s *state) adoptTable(table *routetable.Table, source string) {
	for {
		old := s.table.Load()
		if old != nil && table.Version <= old.Version {
			return
		}
		if s.table.CompareAndSwap(old, table) {
			klog.InfoS("Configuration in force", "version", table.Version, "source", source)
			return
		}
	}
}

// nameVersion takes in that an operator named new weights.
func (s *state) nameVersion(now time.Time, named weights.Named, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.weights.Name(now, named) {
		klog.InfoS("New weights named", "model", named.Model, "version", named.Version, "source", source)
	}
}

// mergeWeightHistory takes in another entry's history of named versions.
func (s *state) mergeWeightHistory(now time.Time, steps map[string][]weights.Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for model, of := range steps {
		s.weights.Learn(now, model, of)
	}
}

// tick lets what is too old lapse.
func (s *state) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone, listed := s.list.Tick(now)
	for _, b := range gone {
		s.forgetIncarnationLocked(now, b, "missing after outage, or of a later lifetime than its entry tells")
	}
	for _, b := range listed {
		klog.InfoS("Entry of an earlier lifetime stands; taken", "server", b.ID, "address", b.Address)
		s.initListedLocked(b)
		s.membersStale = true
	}
	s.refreshMembersLocked(now)
	for instance, at := range s.orderedAt {
		if now.Sub(at) >= s.settings.LeaseTime {
			delete(s.orderedAt, instance)
		}
	}
	for id, sw := range s.switches {
		if !now.Before(sw.until) {
			delete(s.switches, id)
		}
	}
	s.members.Tick(now)
	s.shardRouter.Expire(now)
}

// routers are all that believe something of the servers.
func (s *state) routers() [2]*routing.Direct { return [2]*routing.Direct{s.router, s.shardRouter} }

// cacheClearedLocked takes in that a server holds no cached part any more.
func (s *state) cacheClearedLocked(server string) {
	for _, router := range s.routers() {
		router.Emptied(server)
	}
}

// observeVersionLocked takes in a version that a server has. A lifetime's version
// only rises, so the highest word is the newest, whatever its way.
func (s *state) observeVersionLocked(server, model string, version uint64, source string) {
	key := versionKey{server, model}
	if version <= s.versions[key] {
		return
	}
	klog.V(1).InfoS("Weights of a server", "server", server, "model", model, "version", version, "before", s.versions[key], "source", source)
	if s.versions[key] != 0 {
		s.cacheClearedLocked(server)
	}
	s.versions[key] = version
	if sw, ok := s.switches[server]; ok && version >= sw.version {
		delete(s.switches, server)
	}
}

// announceSwitch takes in that a server is about to take new weights.
func (s *state) announceSwitch(server string, version uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches[server] = weightSwitch{version: version, until: until}
}

// recordOrder takes in that another entry orders a server.
func (s *state) recordOrder(now time.Time, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderedAt[fleet.InstanceOf(server)] = now
}

// recordHolderActivity takes in that another entry changes weights.
func (s *state) recordHolderActivity(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holderSeenAt = now
}

// withdrawSwitch takes in that nothing came of it.
func (s *state) withdrawSwitch(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.switches, server)
}

// inferNextVersion takes in that a server has not the weights that it was believed
// to have, but did not say which. A lifetime's version only rises, so where one
// newer version is named it has that one; it may be asked again at once. False:
// it can't be told.
func (s *state) inferNextVersion(server, model string, believed uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.weights.Newest(model) != believed+1 {
		return false
	}
	s.observeVersionLocked(server, model, believed+1, "refusal")
	return true
}

// observeVersion takes in a version from an answer, a report or another entry.
func (s *state) observeVersion(server, model string, version uint64, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list.Get(server) != nil {
		s.observeVersionLocked(server, model, version, source)
	}
}

// candidatesLocked lists the backend servers of a service for a decision. The
// list is good until the next call.
func (s *state) candidatesLocked(now time.Time, service *routetable.Service, model string) []routing.DirectServer {
	servers := s.scratch[:0]
	for _, b := range s.list.Of(service.Name) {
		if s.mayServe(now, b) {
			servers = append(servers, s.serverLocked(now, service, model, b))
		}
	}
	s.scratch = servers
	return servers
}

// candidatesAtLocked lists those at some places in the list of the service.
func (s *state) candidatesAtLocked(now time.Time, service *routetable.Service, model string, places []int) []routing.DirectServer {
	all, servers := s.list.Of(service.Name), s.scratch[:0]
	for _, i := range places {
		if s.mayServe(now, all[i]) {
			servers = append(servers, s.serverLocked(now, service, model, all[i]))
		}
	}
	s.scratch = servers
	return servers
}

// mayServe tells whether a listed server may get requests at all.
func (s *state) mayServe(now time.Time, b *fleet.Backend) bool {
	return !b.Draining && !s.list.Ended(now, b.ID)
}

// serverLocked is a listed server as a decision sees it.
func (s *state) serverLocked(now time.Time, service *routetable.Service, model string, b *fleet.Backend) routing.DirectServer {
	_, changing := s.switches[b.ID]
	one := routing.DirectServer{
		ID: b.ID, Instance: b.Instance, Hash: b.Hash, Address: b.Address, DataCentre: b.DataCentre, Slots: b.Slots, Switching: changing,
		Usable: s.members.Usable(b.ID), Weight: s.members.Weight(b.ID),
	}
	if model == "" {
		return one
	}
	if service.Engine != nil {
		one.KVTokens = service.Engine.KVCapacityTokens
	}
	one.Version = s.versions[versionKey{b.ID, model}]
	one.VersionAge = s.weights.Age(now, model, one.Version)
	return one
}

// kvStoresLocked lists the stores of kept cache for a decision. The list is read
// only, made anew with each configuration and for each kind of engine.
func (s *state) kvStoresLocked(table *routetable.Table, engine *routetable.Engine) []routing.KeptStore {
	if s.kvStoresEngine == engine {
		return s.kvStores
	}
	s.kvStoresEngine, s.kvStores = engine, nil
	for _, store := range table.Stores {
		if s.kvStoresDown[store.Address] {
			continue
		}
		perSecond := 0.0
		if engine.TokenBytes > 0 {
			perSecond = store.LinkBytes / float64(engine.TokenBytes)
		}
		s.kvStores = append(s.kvStores, routing.NewKeptStore(store.Address, store.DataCentre, perSecond))
	}
	return s.kvStores
}

// recordArrival counts a caller's request for a service; it earns part of a second send.
func (s *state) recordArrival(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudgetLocked(service).Request(now)
}

// takeRetry takes a second send from the service's budget.
func (s *state) takeRetry(now time.Time, service string, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudgetLocked(service).Allow(now, deadline, minUsefulTime)
}

func (s *state) retryBudgetLocked(service string) *retry.Window {
	b, ok := s.retryBudgets[service]
	if !ok {
		b = retry.NewWindow(s.retryLimits())
		s.retryBudgets[service] = b
	}
	return b
}

// retryLimits are this entry's share of the allowed second sends.
func (s *state) retryLimits() retry.Limits {
	return retry.Limits{
		Span:  s.settings.RetryWindow,
		Ratio: s.settings.RetryRatio * retryBudgetShare,
		Slack: s.settings.RetrySlack * retryBudgetShare / float64(max(s.entryCount, 1)),
	}
}

// setEntryCount tells how many entries share the budgets.
func (s *state) setEntryCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n == s.entryCount {
		return
	}
	klog.InfoS("Entries that share the retry budget", "count", n, "before", s.entryCount)
	s.entryCount = n
	s.router.SetEntries(n)
	for _, b := range s.retryBudgets {
		b.SetLimits(s.retryLimits())
	}
}

// observeAnswer takes in what an answer says of its server.
func (s *state) observeAnswer(now time.Time, server, model string, answer *call.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list.Get(server) == nil {
		return
	}
	if answer.HasLoad {
		s.router.Told(now, server, answer.Load)
	}
	if model != "" && answer.Version > 0 {
		s.observeVersionLocked(server, model, answer.Version, "answer")
	}
}

func (s *state) ready() bool {
	if s.table.Load() == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listReady
}
