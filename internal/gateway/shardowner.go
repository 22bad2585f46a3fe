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
	"github.com/jayproxy/jayproxy/internal/sharedfact"
)

// An entry that owns shards places requests of all entries on the servers of these shards,
// and receives reports on their progress.

// setOwners sets the entries that may own shards.
func (s *state) setOwners(entries []shard.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards.SetEntries(entries)
}

// assignmentLocked returns the assignment of a service's servers to owners.
func (s *state) assignmentLocked(now time.Time, service string) *shard.Assignment {
	return s.shards.Assignment(now, service, s.list.Generation(), func() []uint64 {
		servers := s.list.OfService(service)
		hashes := make([]uint64, len(servers))
		for i, b := range servers {
			hashes[i] = b.Hash
		}
		return hashes
	})
}

// owners returns the owners of all shards of services that run models.
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
		for _, owner := range s.assignmentLocked(now, name).Owners {
			if !slices.Contains(owners, owner) {
				owners = append(owners, owner)
			}
		}
	}
	return owners
}

// ownsShards reports whether this entry owns shards of engines, and of plain services.
func (s *state) ownsShards(now time.Time) (engines, plain bool) {
	table := s.table.Load()
	if table == nil {
		return false, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, service := range table.Services {
		if len(s.assignmentLocked(now, name).ServersOf(s.settings.Node)) == 0 {
			continue
		}
		engines = engines || service.Engine != nil
		plain = plain || service.Engine == nil
	}
	return engines, plain
}

// offer chooses a server in this entry's shards for a request of any entry, and counts the
// request there.
func (s *state) offer(now time.Time, ask *jayv1.PlacementAsk) *jayv1.PlacementOffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	noOffer := &jayv1.PlacementOffer{Key: ask.GetKey(), Outcome: jayv1.PlacementOffer_OUTCOME_NO_SERVER}
	table := s.table.Load()
	if table == nil || len(ask.GetPart()) != len(ask.GetPartTokens()) {
		return noOffer
	}
	service := table.Services[ask.GetService()]
	if service == nil {
		return noOffer
	}
	if s.yieldsToAskedLocked(now, ask) {
		noOffer.Outcome = jayv1.PlacementOffer_OUTCOME_NO_ROOM
		return noOffer
	}
	assignment := s.assignmentLocked(now, service.Name)
	s.shardRouter.SetSavers(len(assignment.Owners))
	owned := assignment.ServersOf(s.settings.Node)
	servers := s.candidatesAtLocked(now, service, ask.GetModel(), owned)
	left, prefillMS := s.shardRouter.FreeCapacity(servers)
	noOffer.ServersLeft, noOffer.Servers, noOffer.PendingPrefillMs = uint32(left), uint32(len(owned)), clampMS(prefillMS) //nolint:gosec // lengths
	if s.homeElsewhereLocked(now, service, ask.GetDataCentre(), servers) {
		return noOffer
	}
	request := s.routingRequestLocked(now, table, service, ask)
	if held := ask.GetHeld(); held != nil {
		s.shardRouter.ReceiveHolder(now, &request, s.holdingLocked(service.Name, held))
	}
	choice, err := s.shardRouter.Choose(now, &request, servers, s.idsByHashLocked(ask.GetTried()))
	switch {
	case errors.Is(err, routing.ErrLongQueue):
		noOffer.Outcome = jayv1.PlacementOffer_OUTCOME_LONG_QUEUE
		return noOffer
	case errors.Is(err, routing.ErrNoFreeMemory):
		noOffer.Outcome = jayv1.PlacementOffer_OUTCOME_NO_ROOM
		s.answeredLocked(now, ask, noOffer.GetOutcome())
		return noOffer
	case err != nil:
		return noOffer
	}
	klog.V(1).InfoS("Server offered", "key", request.ID, "server", choice.Server.ID, "servers", len(servers), "totalMS", int(choice.Terms.Total()))
	s.answeredLocked(now, ask, jayv1.PlacementOffer_OUTCOME_SERVER)
	offer := newOffer(ask.GetKey(), &choice)
	offer.ServersLeft, offer.Servers, offer.PendingPrefillMs = noOffer.GetServersLeft(), noOffer.GetServers(), noOffer.GetPendingPrefillMs()
	return offer
}

// routingRequestLocked converts an ask to a request for the router.
func (s *state) routingRequestLocked(now time.Time, table *routetable.Table, service *routetable.Service, ask *jayv1.PlacementAsk) routing.DirectRequest {
	request := routing.DirectRequest{
		ID: placementID(ask.GetKey()), DataCentre: ask.GetDataCentre(), MayWait: ask.GetMayWait(), Software: ask.GetSoftware(), Service: service.Name,
		ExpiresAt: now.Add(time.Duration(ask.GetLeftMs()) * time.Millisecond),
	}
	if ask.GetModel() == "" {
		return request
	}
	request.CacheScope = ask.GetWall()
	request.Tokens, request.OutputTokens = int(ask.GetTokens()), int(ask.GetOutputTokens())
	request.Priority, request.Ranked = int(ask.GetPriority()), table.RanksWorkspaces()
	request.MemoryShare = float64(ask.GetMemoryPercent()) / percent
	for i, id := range ask.GetPart() {
		request.Prefix = append(request.Prefix, call.Part{ID: id, Tokens: int(ask.GetPartTokens()[i])})
	}
	if service.Engine != nil {
		request.KVStores, request.TokenBytes = s.kvStoresLocked(table, service.Engine), service.Engine.TokenBytes
	}
	return request
}

// holdingLocked converts a message that a server holds a prefix, and looks up the server's
// ID by its address.
func (s *state) holdingLocked(service string, held *jayv1.Held) routing.PrefixHolder {
	holding := routing.PrefixHolder{
		Server: held.GetAddress(), Address: held.GetAddress(), Version: held.GetVersion(),
		ReadyIn: time.Duration(held.GetReadyMs()) * time.Millisecond,
	}
	for _, b := range s.list.OfService(service) {
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

// placementID returns the request ID that a router uses for the key of an ask.
func placementID(key uint64) string { return strconv.FormatUint(key, 36) }

// idsByHashLocked returns the IDs of the listed servers with the given name hashes.
func (s *state) idsByHashLocked(hashes []uint32) []string {
	var ids []string
	byHash := s.list.ByHash(nameHash)
	for _, hash := range hashes {
		if b := byHash[hash]; b != nil {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

func newOffer(key uint64, choice *routing.DirectChoice) *jayv1.PlacementOffer {
	return &jayv1.PlacementOffer{
		Key: key, Outcome: jayv1.PlacementOffer_OUTCOME_SERVER,
		Server: nameHash(choice.Server.ID), Version: choice.Server.Version,
		FetchFrom: choice.FetchFrom, SaveTo: choice.SaveTo, Source: uint32(choice.Source), //nolint:gosec // a small enumeration
		QueueMs: clampMS(choice.Terms.QueueMS + choice.Terms.CorrectionMS), MemoryMs: clampMS(choice.Terms.MemoryMS),
		ReadMs: clampMS(choice.Terms.PrefillMS), TotalMs: clampMS(choice.Terms.Total()),
		LowerPriorityMs: clampMS(choice.Terms.LowerPriorityMS),
	}
}

// clampMS limits a time in milliseconds to the range from 0 to one hour.
func clampMS(ms float64) uint32 { return uint32(min(max(ms, 0), float64(time.Hour/time.Millisecond))) }

// applyProgress records how an offered request went on. Reports on a server come from all
// entries, so the first request that finds a server gone is enough to exclude it.
func (s *state) applyProgress(now time.Time, p *jayv1.PlacementProgress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := placementID(p.GetKey())
	server := s.shardRouter.ServerOf(request)
	if server == "" {
		return
	}
	if p.GetFirst() {
		s.shardRouter.FirstToken(now, request)
	}
	if p.GetHasLoad() {
		// Load beyond the requests placed here comes from entries that could not ask this
		// owner.
		s.shardRouter.UpdateLoad(now, server, call.Load{Running: int(p.GetRunning()), Waiting: int(p.GetWaiting())})
	}
	s.shardRouter.UpdateSlowdown(now, server, int(p.GetSlowdownPercent()))
	if held := p.GetElsewhere(); held != nil {
		s.shardRouter.PlacedElsewhere(now, request, s.holdingLocked(s.serviceOf(server), held))
		return
	}
	if p.GetEnded() {
		s.returnAskedLocked(now, s.serviceOf(server), p)
		s.shardRouter.Finished(now, request, p.GetRan())
		s.applyEvidenceLocked(now, server, p)
	}
}

// pauseServerLocked keeps requests from a server that refused one: most likely it is about
// to load the next weights.
func (s *state) pauseServerLocked(now time.Time, server string) {
	next := uint64(0)
	for key, version := range s.versions {
		if key.server == server {
			next = max(next, version+1)
		}
	}
	s.excludeLocked(server, weightSwitch{version: next, until: now.Add(refusalPause)})
}

// evidence is what an entry observed of the server that a request was sent to.
type evidence struct {
	failed, notListening, otherIncarnation, refused bool
	// model and version are the weights that the server has, if they differ from the
	// assumed ones. version is 0 if none were reported. model is also set if refused is.
	model   string
	version uint64
}

// endedProgress builds the message to the owner that the request ended.
func (e *evidence) endedProgress(ran bool) *jayv1.PlacementProgress {
	return &jayv1.PlacementProgress{
		Ended: true, Ran: ran, Failed: e.failed, NotListening: e.notListening, OtherLifetime: e.otherIncarnation,
		Refused: e.refused, Model: e.model, Version: e.version,
	}
}

// applyEvidenceLocked records what an entry observed of a server. Facts go to the entries
// that place requests there without asking this owner.
func (s *state) applyEvidenceLocked(now time.Time, server string, p *jayv1.PlacementProgress) {
	if p.GetVersion() > 0 {
		s.observeVersionLocked(server, p.GetModel(), p.GetVersion(), "entry")
		s.reportWeightsLocked(now, sharedfact.Serving, server, p.GetModel(), p.GetVersion())
	}
	switch {
	case p.GetOtherLifetime():
		if s.endIncarnationLocked(now, server, "entry") {
			s.facts.Learned(now, sharedfact.Fact{Kind: sharedfact.Ended, Server: server})
		}
	case p.GetNotListening():
		s.members.NotListeningElsewhere(now, server)
		s.noListenerCrashLocked(now, server)
		s.facts.Learned(now, sharedfact.Fact{Kind: sharedfact.NotListening, Server: server})
	case p.GetFailed():
		s.members.Failed(now, server)
	case p.GetRefused():
		s.pauseServerLocked(now, server)
		s.reportWeightsLocked(now, sharedfact.Loading, server, p.GetModel(), s.versions[versionKey{server, p.GetModel()}]+1)
	case p.GetRan():
		s.members.Succeeded(now, server)
	}
}
