package gateway

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/shard"
)

// What an entry does as the owner of shards: it chooses among their servers for
// all entries, and hears from them how that went.

// setOwners takes in the entries that may own shards.
func (s *state) setOwners(entries []shard.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards.SetEntries(entries)
}

// divisionLocked of a service's servers among their owners.
func (s *state) divisionLocked(now time.Time, service string) *shard.Division {
	return s.shards.Division(now, service, s.list.Generation(), func() []uint64 {
		servers := s.list.Of(service)
		hashes := make([]uint64, len(servers))
		for i, b := range servers {
			hashes[i] = b.Hash
		}
		return hashes
	})
}

// owners of all shards of services that new weights may come to.
func (s *state) owners(now time.Time) []shard.Entry {
	table := s.table.Load()
	if table == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var owners []shard.Entry
	for name, service := range table.Services {
		if service.Engine == nil {
			continue
		}
		for _, owner := range s.divisionLocked(now, name).Owners {
			if !slices.Contains(owners, owner) {
				owners = append(owners, owner)
			}
		}
	}
	return owners
}

// offer chooses a server of our shards for another entry's request, or ours, and
// counts the request there.
func (s *state) offer(now time.Time, ask *jayv1.PlacementAsk) *jayv1.PlacementOffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	none := &jayv1.PlacementOffer{Key: ask.GetKey(), Outcome: jayv1.PlacementOffer_OUTCOME_NO_SERVER}
	table := s.table.Load()
	if table == nil || len(ask.GetPart()) != len(ask.GetPartTokens()) {
		return none
	}
	service := table.Services[ask.GetService()]
	if service == nil {
		return none
	}
	division := s.divisionLocked(now, service.Name)
	s.own.SetSavers(len(division.Owners))
	servers := s.candidatesAtLocked(now, service, ask.GetModel(), division.Owned(s.settings.Node))
	request := s.requestOfLocked(now, table, service, ask)
	if held := ask.GetHeld(); held != nil {
		s.own.ReceiveHolder(now, &request, s.holdingLocked(service.Name, held))
	}
	choice, err := s.own.Choose(now, &request, servers, s.namesOfLocked(ask.GetTried()))
	switch {
	case errors.Is(err, routing.ErrNoFreeMemory):
		none.Outcome = jayv1.PlacementOffer_OUTCOME_NO_ROOM
		return none
	case err != nil:
		return none
	}
	klog.V(1).InfoS("Offered", "key", request.ID, "server", choice.Server.ID, "servers", len(servers), "totalMS", int(choice.Terms.Total()))
	return offerOf(ask.GetKey(), &choice)
}

// requestOfLocked is the request of a question as the router sees it.
func (s *state) requestOfLocked(now time.Time, table *routetable.Table, service *routetable.Service, ask *jayv1.PlacementAsk) routing.DirectRequest {
	request := routing.DirectRequest{
		ID: requestName(ask.GetKey()), DataCentre: ask.GetDataCentre(), MayWait: ask.GetMayWait(),
		ExpiresAt: now.Add(time.Duration(ask.GetLeftMs()) * time.Millisecond),
	}
	if ask.GetModel() == "" {
		return request
	}
	request.IsolatedWorkspace = ask.GetWall()
	request.Tokens, request.OutputTokens = int(ask.GetTokens()), int(ask.GetOutputTokens())
	request.MemoryShare = float64(ask.GetMemoryPercent()) / percent
	for i, id := range ask.GetPart() {
		request.Prefix = append(request.Prefix, call.Part{ID: id, Tokens: int(ask.GetPartTokens()[i])})
	}
	if service.Engine != nil {
		request.Stores = s.storesLocked(table, service.Engine)
	}
	return request
}

// holdingLocked names the server of a word on a prefix's holder.
func (s *state) holdingLocked(service string, held *jayv1.Held) routing.PrefixHolder {
	holding := routing.PrefixHolder{
		Server: held.GetAddress(), Address: held.GetAddress(), Version: held.GetVersion(),
		ReadyIn: time.Duration(held.GetReadyMs()) * time.Millisecond,
	}
	for _, b := range s.list.Of(service) {
		if b.Address == held.GetAddress() {
			holding.Server = b.ID
		}
	}
	return holding
}

func (s *state) serviceOf(server string) string {
	if b := s.list.Get(server); b != nil {
		return b.Service
	}
	return ""
}

const percent = 100

// requestName names a request that was asked for under a key.
func requestName(key uint64) string { return strconv.FormatUint(key, 36) }

// namesOfLocked are the listed servers of some hashes.
func (s *state) namesOfLocked(hashes []uint32) []string {
	var names []string
	byHash := s.list.ByHash(nameHash)
	for _, hash := range hashes {
		if b := byHash[hash]; b != nil {
			names = append(names, b.ID)
		}
	}
	return names
}

func offerOf(key uint64, choice *routing.DirectChoice) *jayv1.PlacementOffer {
	return &jayv1.PlacementOffer{
		Key: key, Outcome: jayv1.PlacementOffer_OUTCOME_SERVER,
		Server: nameHash(choice.Server.ID), Version: choice.Server.Version,
		FetchFrom: choice.FetchFrom, SaveTo: choice.SaveTo, Source: uint32(choice.Source), //nolint:gosec // few
		QueueMs: wholeMS(choice.Terms.QueueMS), MemoryMs: wholeMS(choice.Terms.MemoryMS),
		ReadMs: wholeMS(choice.Terms.PrefillMS), TotalMs: wholeMS(choice.Terms.Total()),
	}
}

// wholeMS bounds a time that goes into a datagram.
func wholeMS(ms float64) uint32 { return uint32(min(max(ms, 0), float64(time.Hour/time.Millisecond))) }

// progress takes in how an offered request goes on. Evidence on its server comes
// from all entries, so that a server which is gone is known with the first
// request that finds it so.
func (s *state) progress(now time.Time, p *jayv1.PlacementProgress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := requestName(p.GetKey())
	server := s.own.ServerOf(request)
	if server == "" {
		return
	}
	if p.GetFirst() {
		s.own.FirstToken(now, request)
	}
	if p.GetHasLoad() {
		// What is in it beyond the requests that we placed came from entries that
		// could not ask us.
		s.own.UpdateLoad(now, server, call.Load{Running: int(p.GetRunning()), Waiting: int(p.GetWaiting())})
	}
	if held := p.GetElsewhere(); held != nil {
		s.own.PlacedElsewhere(now, request, s.holdingLocked(s.serviceOf(server), held))
		return
	}
	if p.GetEnded() {
		s.own.Finished(now, request, p.GetRan())
		s.evidenceLocked(now, server, p)
	}
}

// restLocked leaves a server that refused alone for a while: most likely it takes
// the next weights.
func (s *state) restLocked(now time.Time, server string) {
	next := uint64(0)
	for key, version := range s.versions {
		if key.server == server {
			next = max(next, version+1)
		}
	}
	s.switches[server] = switching{version: next, until: now.Add(refusedRest)}
}

// evidence is what an entry saw of the server that a request was sent to.
type evidence struct {
	failed, notListening, otherLifetime, refused bool
	// version of the model that the server has, where it differs from what was
	// believed; 0: nothing was seen.
	model   string
	version uint64
}

// end is the word to the owner that the request ended.
func (e *evidence) end(ran bool) *jayv1.PlacementProgress {
	return &jayv1.PlacementProgress{
		Ended: true, Ran: ran, Failed: e.failed, NotListening: e.notListening, OtherLifetime: e.otherLifetime,
		Refused: e.refused, Model: e.model, Version: e.version,
	}
}

// evidenceLocked takes in what an entry saw of a server.
func (s *state) evidenceLocked(now time.Time, server string, p *jayv1.PlacementProgress) {
	if p.GetVersion() > 0 {
		s.sawVersionLocked(server, p.GetModel(), p.GetVersion(), "entry")
	}
	switch {
	case p.GetOtherLifetime():
		s.endLocked(now, server, "entry")
	case p.GetNotListening():
		s.notListeningLocked(now, server)
	case p.GetFailed():
		s.members.Failed(now, server)
	case p.GetRefused():
		s.restLocked(now, server)
	case p.GetRan():
		s.members.Succeeded(now, server)
	}
}
