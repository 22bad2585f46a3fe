package gateway

import (
	"math"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/fairshare"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/waitqueue"
)

// fairShares holds the shares of workspaces by service, since requests to different
// services do not compete.
type fairShares struct {
	// table is the configuration that the shares follow; weights is nil if its workspaces
	// do not compete.
	table   *routetable.Table
	weights map[uint32]float64
	// own counts the requests of this entry's callers, asked those that this entry is
	// asked for as an owner.
	own, asked map[string]*fairshare.Shares
	// reported is the service of the last report. round counts the rounds of placements.
	reported string
	round    int
}

// adoptSharesLocked makes the shares follow the current configuration.
func (s *state) adoptSharesLocked() {
	table := s.table.Load()
	if table == s.shares.table {
		return
	}
	s.shares.table, s.shares.weights = table, table.ShareWeights()
	for _, byService := range []map[string]*fairshare.Shares{s.shares.own, s.shares.asked} {
		for service, shares := range byService {
			shares.SetWeights(s.shares.weights)
			if table.Services[service] == nil {
				delete(byService, service)
			}
		}
	}
	if s.shares.weights == nil {
		s.waitQueue.SetShares(nil)
		return
	}
	s.waitQueue.SetShares(func(now time.Time, r *waitqueue.Request) bool {
		return s.standingLocked(now, r).Above()
	})
}

func shareKeyOf(r *waitqueue.Request) fairshare.Key {
	return fairshare.Key{Workspace: r.Workspace, Priority: r.Priority}
}

// sharesLocked returns the shares of this entry's callers at a configured service.
func (s *state) sharesLocked(service string) *fairshare.Shares {
	s.adoptSharesLocked()
	return s.shares.of(s.shares.own, service)
}

// askedSharesLocked returns the shares of the requests that this entry is asked for.
func (s *state) askedSharesLocked(service string) *fairshare.Shares {
	s.adoptSharesLocked()
	return s.shares.of(s.shares.asked, service)
}

func (f *fairShares) of(byService map[string]*fairshare.Shares, service string) *fairshare.Shares {
	shares := byService[service]
	if shares == nil {
		shares = fairshare.New()
		shares.SetWeights(f.weights)
		byService[service] = shares
	}
	return shares
}

// jobShares is what a request counts as in its workspace's share.
type jobShares struct {
	// arrived: its demand was counted. asked: an owner was asked for it.
	arrived, asked bool
}

// shareKey returns what the request is counted by. It reports false for requests that never
// wait, and for callers without a workspace.
func (j *job) shareKey() (fairshare.Key, bool) {
	if j.workspace == nil || j.modelName() == "" {
		return fairshare.Key{}, false
	}
	return fairshare.Key{Workspace: uint32(j.workspace.Account), Priority: j.table.PriorityLevel(j.route, j.workspace)}, true
}

// shareTokens is what the request counts as.
func (j *job) shareTokens() float64 {
	return float64(max(j.head.InputTokens+j.head.OutputTokens, 1))
}

// arriveInShare counts the request's demand once. It reports whether the request must not be
// placed before those that wait: it is above its workspace's share, and requests below
// theirs wait here or at other entries.
func (j *job) arriveInShare() (yields bool) {
	key, ok := j.shareKey()
	if !ok {
		return false
	}
	s, now := j.gateway.state, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	shares := s.sharesLocked(j.service.Name)
	if !j.shares.arrived {
		j.shares.arrived = true
		shares.Demand(now, key, j.shareTokens())
	}
	return shares.Yields(now, key) || shares.YieldsElsewhere(now, key)
}

// useShareLocked counts the request as placed.
func (j *job) useShareLocked(now time.Time) {
	if key, ok := j.shareKey(); ok {
		j.gateway.state.sharesLocked(j.service.Name).Use(now, key, j.shareTokens())
	}
}

// returnShareLocked takes back the use of a request that did not run.
func (j *job) returnShareLocked(now time.Time) {
	if key, ok := j.shareKey(); ok {
		j.gateway.state.sharesLocked(j.service.Name).Unuse(now, key, j.shareTokens())
	}
}

// waitsLocked records that a request found no free memory.
func (s *state) waitsLocked(now time.Time, r *waitqueue.Request) {
	s.sharesLocked(r.Service).NoCapacity(now, shareKeyOf(r))
}

// standingLocked returns how the workspace of a request stands.
func (s *state) standingLocked(now time.Time, r *waitqueue.Request) fairshare.Standing {
	return s.sharesLocked(r.Service).Standing(now, shareKeyOf(r))
}

// yieldsInRoundLocked reports whether a waiting request is left out of this round of
// placements, for requests that wait at other entries.
func (s *state) yieldsInRoundLocked(now time.Time, r *waitqueue.Request) bool {
	return s.shares.round%fairshare.YieldedRounds != 0 && s.sharesLocked(r.Service).YieldsElsewhere(now, shareKeyOf(r))
}

// addShareToAskLocked names the workspace to the owners.
func (j *job) addShareToAskLocked(ask *jayv1.PlacementAsk) {
	key, ok := j.shareKey()
	if !ok || !j.gateway.state.sharesLocked(j.service.Name).Active() {
		return
	}
	ask.Workspace, ask.Priority, ask.AskedBefore = key.Workspace, uint32(key.Priority), j.shares.asked //nolint:gosec // below 10
	j.shares.asked = true
}

// askedShare is what an owner counts a request as.
type askedShare struct {
	key    fairshare.Key
	tokens float64
}

// askedShareOf returns what the owner counts an ask as; false: it does not count it.
func askedShareOf(ask *jayv1.PlacementAsk) (askedShare, bool) {
	if ask.GetWorkspace() == 0 {
		return askedShare{}, false
	}
	return askedShare{
		key:    fairshare.Key{Workspace: ask.GetWorkspace(), Priority: int(ask.GetPriority())},
		tokens: max(float64(ask.GetTokens())+float64(ask.GetOutputTokens()), 1),
	}, true
}

// unused returns the report that the request did not run.
func (a askedShare) unused(p *jayv1.PlacementProgress) *jayv1.PlacementProgress {
	p.Workspace, p.Priority, p.UnusedTokens = a.key.Workspace, uint32(a.key.Priority), uint32(a.tokens) //nolint:gosec // from an ask
	return p
}

// yieldsToAskedLocked counts the demand of an ask. It reports whether the request must leave
// free memory to requests below their share that other asks wait with.
func (s *state) yieldsToAskedLocked(now time.Time, ask *jayv1.PlacementAsk) bool {
	share, ok := askedShareOf(ask)
	if !ok {
		return false
	}
	shares := s.askedSharesLocked(ask.GetService())
	if !ask.GetAskedBefore() {
		shares.Demand(now, share.key, share.tokens)
	}
	return ask.GetMayWait() && shares.Yields(now, share.key)
}

// answeredLocked counts what an ask got.
func (s *state) answeredLocked(now time.Time, ask *jayv1.PlacementAsk, outcome jayv1.PlacementOffer_Outcome) {
	share, ok := askedShareOf(ask)
	if !ok {
		return
	}
	shares := s.askedSharesLocked(ask.GetService())
	switch outcome {
	case jayv1.PlacementOffer_OUTCOME_SERVER:
		shares.Use(now, share.key, share.tokens)
	case jayv1.PlacementOffer_OUTCOME_NO_ROOM:
		shares.NoCapacity(now, share.key)
	}
}

// returnAskedLocked takes back the use of an offered request that did not run.
func (s *state) returnAskedLocked(now time.Time, service string, p *jayv1.PlacementProgress) {
	if p.GetUnusedTokens() == 0 || service == "" {
		return
	}
	key := fairshare.Key{Workspace: p.GetWorkspace(), Priority: int(p.GetPriority())}
	s.askedSharesLocked(service).Unuse(now, key, float64(p.GetUnusedTokens()))
}

// shareUnit is the unit of demand and use in hints, in tokens per second.
const shareUnit = 100

// shareHintsLocked returns the demand and use of this entry's largest workspaces at the next
// service for which requests wait; nil: none wait anywhere.
func (s *state) shareHintsLocked(now time.Time, self uint32) *jayv1.Hints {
	s.adoptSharesLocked()
	first, next := "", ""
	for service, shares := range s.shares.own {
		if !shares.Short(now) {
			continue
		}
		if first == "" || service < first {
			first = service
		}
		if service > s.shares.reported && (next == "" || service < next) {
			next = service
		}
	}
	if next == "" {
		next = first
	}
	if s.shares.reported = next; next == "" {
		return nil
	}
	message := &jayv1.Hints{Entry: self, ShareService: nameHash(next)}
	for _, load := range s.shares.own[next].Largest(now) {
		message.ShareWorkspace = append(message.ShareWorkspace, load.Workspace)
		message.SharePriority = append(message.SharePriority, uint32(load.Priority)) //nolint:gosec // below 10
		message.ShareDemand = append(message.ShareDemand, hundreds(load.Demand))
		message.ShareUse = append(message.ShareUse, hundreds(load.Use))
		message.ShareWaiting = append(message.ShareWaiting, load.Waiting)
	}
	return message
}

func hundreds(rate float64) uint32 { return uint32(min(rate/shareUnit+0.5, math.MaxUint32)) }

// receiveSharesLocked merges another entry's demand and use. It reports false if the message
// is malformed.
func (s *state) receiveSharesLocked(now time.Time, message *jayv1.Hints) bool {
	workspaces := message.GetShareWorkspace()
	if len(message.GetSharePriority()) != len(workspaces) || len(message.GetShareDemand()) != len(workspaces) ||
		len(message.GetShareUse()) != len(workspaces) || len(message.GetShareWaiting()) != len(workspaces) {
		return false
	}
	table := s.table.Load()
	if len(workspaces) == 0 || table == nil {
		return true
	}
	loads := make([]fairshare.Load, len(workspaces))
	for i, workspace := range workspaces {
		loads[i] = fairshare.Load{
			Key:    fairshare.Key{Workspace: workspace, Priority: int(message.GetSharePriority()[i])},
			Demand: shareUnit * float64(message.GetShareDemand()[i]), Use: shareUnit * float64(message.GetShareUse()[i]),
			Waiting: message.GetShareWaiting()[i],
		}
	}
	for name := range table.Services {
		if nameHash(name) == message.GetShareService() {
			s.sharesLocked(name).Report(now, message.GetEntry(), loads)
		}
	}
	return true
}
