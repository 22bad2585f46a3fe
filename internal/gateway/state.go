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
	// budgetShare of the allowed second sends that all entries use together:
	// entries that restart have forgotten what they sent.
	budgetShare = 0.7
)

// state is what an entry believes. Its parts are pure; the lock is held for
// short steps only, never over I/O.
type state struct {
	settings Settings
	table    atomic.Pointer[routetable.Table]

	mu      sync.Mutex
	list    *fleet.List
	book    *weights.Book
	members *membership.Members
	// router places our own requests where no other entry is asked, and counts all
	// of them; own places those of all entries in the shards that are ours.
	router   *routing.Direct
	own      *routing.Direct
	shards   *shard.Map
	versions map[versionKey]uint64
	switches map[string]switching
	// orderedAt is when another entry last ordered a server, by the server's own
	// name: what it did in an earlier lifetime counts too.
	orderedAt map[string]time.Time
	// holderHeard is when another entry last announced or ordered a server.
	holderHeard time.Time
	budgets     map[string]*retry.Window
	entries     int
	// room holds the requests that wait for memory, waiters who asked.
	room    *waitroom.Room
	waiters map[string]*waiter
	// stores of kept cache as the engines storesOf see them.
	stores   []routing.KVCacheStore
	storesOf *routetable.Engine
	// storesDown holds the addresses of stores that do not answer.
	storesDown map[string]bool
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

// switching is a server that is about to take new weights, or does so.
type switching struct {
	version uint64
	until   time.Time
}

func newState(settings Settings, closeIdle func(address string)) *state {
	return &state{
		settings: settings, closeIdle: closeIdle,
		list:    fleet.NewList(listGrace),
		book:    weights.NewBook(),
		members: membership.New(membership.DefaultSettings()),
		router: routing.NewDirect(routing.DirectOptions{
			DataCentre: settings.DataCentre, MaxVersionAge: settings.VersionBound - versionMargin,
		}),
		own: routing.NewDirect(routing.DirectOptions{
			DataCentre: settings.DataCentre, MaxVersionAge: settings.VersionBound - versionMargin, ExclusiveServers: true,
		}),
		shards:   shard.NewMap(),
		versions: map[versionKey]uint64{},
		switches: map[string]switching{}, orderedAt: map[string]time.Time{},
		budgets: map[string]*retry.Window{},
		entries: 1, storesDown: map[string]bool{},
		room: waitroom.New(), waiters: map[string]*waiter{},
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
	if s.book.Name(now, named) {
		klog.InfoS("New weights named", "model", named.Model, "version", named.Version, "source", source)
	}
}

// learnWeights takes in another entry's history of named versions.
func (s *state) learnWeights(now time.Time, steps map[string][]weights.Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for model, of := range steps {
		s.book.Learn(now, model, of)
	}
}

// tick lets what is too old lapse.
func (s *state) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone, listed := s.list.Tick(now)
	for _, b := range gone {
		s.leftLocked(now, b, "missing after outage, or of a later lifetime than its entry tells")
	}
	for _, b := range listed {
		klog.InfoS("Entry of an earlier lifetime stands; taken", "server", b.ID, "address", b.Address)
		s.listedLocked(b)
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
	s.own.Expire(now)
}

// routers are all that believe something of the servers.
func (s *state) routers() [2]*routing.Direct { return [2]*routing.Direct{s.router, s.own} }

// emptiedLocked takes in that a server holds no cached part any more.
func (s *state) emptiedLocked(server string) {
	for _, router := range s.routers() {
		router.ForgetCache(server)
	}
}

// sawVersionLocked takes in a version that a server has. A lifetime's version
// only rises, so the highest word is the newest, whatever its way.
func (s *state) sawVersionLocked(server, model string, version uint64, source string) {
	key := versionKey{server, model}
	if version <= s.versions[key] {
		return
	}
	klog.V(1).InfoS("Weights of a server", "server", server, "model", model, "version", version, "before", s.versions[key], "source", source)
	if s.versions[key] != 0 {
		s.emptiedLocked(server)
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
	s.switches[server] = switching{version: version, until: until}
}

// heardOrder takes in that another entry orders a server.
func (s *state) heardOrder(now time.Time, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderedAt[fleet.InstanceOf(server)] = now
}

// heardHolder takes in that another entry changes weights.
func (s *state) heardHolder(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holderHeard = now
}

// withdrawSwitch takes in that nothing came of it.
func (s *state) withdrawSwitch(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.switches, server)
}

// otherWeights takes in that a server has not the weights that it was believed
// to have, but did not say which. A lifetime's version only rises, so where one
// newer version is named it has that one; it may be asked again at once. False:
// it can't be told.
func (s *state) otherWeights(server, model string, believed uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Newest(model) != believed+1 {
		return false
	}
	s.sawVersionLocked(server, model, believed+1, "refusal")
	return true
}

// sawVersion takes in a version from an answer, a report or another entry.
func (s *state) sawVersion(server, model string, version uint64, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list.Get(server) != nil {
		s.sawVersionLocked(server, model, version, source)
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
	one.VersionAge = s.book.Age(now, model, one.Version)
	return one
}

// storesLocked lists the stores of kept cache for a decision. The list is read
// only, made anew with each configuration and for each kind of engine.
func (s *state) storesLocked(table *routetable.Table, engine *routetable.Engine) []routing.KVCacheStore {
	if s.storesOf == engine {
		return s.stores
	}
	s.storesOf, s.stores = engine, nil
	for _, store := range table.Stores {
		if s.storesDown[store.Address] {
			continue
		}
		perSecond := 0.0
		if engine.TokenBytes > 0 {
			perSecond = store.LinkBytes / float64(engine.TokenBytes)
		}
		s.stores = append(s.stores, routing.NewKVCacheStore(store.Address, store.DataCentre, perSecond))
	}
	return s.stores
}

// arrived counts a caller's request for a service; it earns part of a second send.
func (s *state) arrived(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgetLocked(service).Request(now)
}

// mayResend takes a second send from the service's budget.
func (s *state) mayResend(now time.Time, service string, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgetLocked(service).Allow(now, deadline, minUsefulTime)
}

func (s *state) budgetLocked(service string) *retry.Window {
	b, ok := s.budgets[service]
	if !ok {
		b = retry.NewWindow(s.retryLimits())
		s.budgets[service] = b
	}
	return b
}

// retryLimits are this entry's share of the allowed second sends.
func (s *state) retryLimits() retry.Limits {
	return retry.Limits{
		Span:  s.settings.RetryWindow,
		Ratio: s.settings.RetryRatio * budgetShare,
		Slack: s.settings.RetrySlack * budgetShare / float64(max(s.entries, 1)),
	}
}

// setEntries tells how many entries share the budgets.
func (s *state) setEntries(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n == s.entries {
		return
	}
	klog.InfoS("Entries that share the retry budget", "count", n, "before", s.entries)
	s.entries = n
	s.router.SetEntries(n)
	for _, b := range s.budgets {
		b.SetLimits(s.retryLimits())
	}
}

// told takes in what an answer says of its server.
func (s *state) told(now time.Time, server, model string, answer *call.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list.Get(server) == nil {
		return
	}
	if answer.HasLoad {
		s.router.UpdateLoad(now, server, answer.Load)
	}
	if model != "" && answer.Version > 0 {
		s.sawVersionLocked(server, model, answer.Version, "answer")
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
