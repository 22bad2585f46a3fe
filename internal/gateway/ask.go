package gateway

import (
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/shard"
)

// nextOwner returns the owner to ask after those asked already; false: none.
func (s *state) nextOwner(service *routetable.Service, prefix uint64, asked []string, offered bool) (shard.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.shards.NextOwner(now, service.Name, s.assignmentLocked(now, service.Name), prefix, s.homeServersLocked(now, service), asked, offered)
}

// ownerReported records the free capacity that an owner reported with an offer,
// which may be nil.
func (s *state) ownerReported(service, owner string, offer *jayv1.PlacementOffer) {
	if offer.GetServers() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards.OwnerReported(time.Now(), service, owner, shard.Capacity{
		Left: int(offer.GetServersLeft()), Total: int(offer.GetServers()), PrefillMS: float64(offer.GetPendingPrefillMs()),
	})
}

// buildAsk returns the placement request, the key of the prefix that decides which
// owners it is sent to, and whether owners may be asked now.
func (j *job) buildAsk(mayWait bool) (ask *jayv1.PlacementAsk, prefix uint64, mayAsk bool) {
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	request := j.routingRequest(s)
	ask = &jayv1.PlacementAsk{
		Service: j.service.Name, Model: j.modelName(), Software: uint32(j.origin), MayWait: mayWait, DataCentre: s.settings.DataCentre,
		LeftMs: uint32(max(0, j.deadline.Sub(now)).Milliseconds()), //nolint:gosec // positive
	}
	for _, id := range j.excluded() {
		ask.Tried = append(ask.Tried, nameHash(id))
	}
	for _, paused := range s.limits.Paused(now, maxLimitNews) {
		ask.Tried = append(ask.Tried, uint32(paused))
	}
	for _, resting := range s.rests.Resting(now, maxLimitNews) {
		ask.Tried = append(ask.Tried, uint32(resting))
	}
	for _, draining := range s.list.SaidDraining(j.service.Name, maxLimitNews) {
		ask.Tried = append(ask.Tried, nameHash(draining))
	}
	if ask.Model != "" {
		ask.Wall = request.CacheScope
		ask.Tokens, ask.OutputTokens = uint32(request.Tokens), uint32(request.OutputTokens) //nolint:gosec // sizes
		ask.Priority = uint32(request.Priority)                                             //nolint:gosec // a level
		ask.MemoryPercent = uint32(request.MemoryShare * percent)
		for _, part := range request.Prefix {
			ask.Part = append(ask.Part, part.ID)
			ask.PartTokens = append(ask.PartTokens, uint32(part.Tokens)) //nolint:gosec // sizes
		}
	}
	j.addShareToAskLocked(ask)
	return ask, uint64(request.OwnerKey()), s.shards.MayAsk(now)
}
