package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/shard"
)

const (
	// ownerTimeout bounds the wait for an owner's offer: some round trips between
	// data centres and scheduling delays. After it the entry chooses a server
	// itself, since a late offer is worth less than the caller's time.
	ownerTimeout = 40 * time.Millisecond
	// ownerRetryInterval is the pause between two placement requests for a request
	// that waits for memory, which is freed when requests of some hundreds of
	// milliseconds end.
	ownerRetryInterval = 100 * time.Millisecond
)

// sharded reports whether owners are asked for servers. A few entries send each
// other all their placements. With more entries these updates exceed their
// bandwidth limit, and each entry would decide by a small part of all
// placements.
func (g *Gateway) sharded() bool {
	return g.peers.count() > maxUnshardedEntries && g.datagrams.conn != nil
}

// decidingEntries is the number of entries that place requests by their own
// view of all servers.
func (g *Gateway) decidingEntries() int {
	if g.sharded() {
		return g.peers.strongCount()
	}
	return g.peers.count()
}

// isDeciding reports whether this entry places requests by its own view of all
// servers.
func (g *Gateway) isDeciding() bool {
	return !g.sharded() || g.peers.isStrong(g.settings.Node)
}

// ownerOffer is a server that an owner offered. The owner counts the request
// there.
type ownerOffer struct {
	owner shard.Entry
	*jayv1.PlacementOffer
	// share is what the owner counts the request as.
	share askedShare
}

// placementClient asks owners for servers to send requests to.
type placementClient struct {
	gateway *Gateway
	mu      sync.Mutex
	// pending holds a channel for each unanswered placement request, by its key;
	// each has room for the one response.
	pending map[uint64]chan *jayv1.PlacementOffer
}

func newPlacementClient(g *Gateway) *placementClient {
	return &placementClient{gateway: g, pending: map[uint64]chan *jayv1.PlacementOffer{}}
}

// askOwner asks one owner for a server. It returns nil if no response arrives in
// time.
func (p *placementClient) askOwner(ctx context.Context, owner shard.Entry, ask *jayv1.PlacementAsk) *jayv1.PlacementOffer {
	g := p.gateway
	if owner.Name == g.settings.Node {
		return g.state.offer(time.Now(), ask)
	}
	started := time.Now()
	offers := make(chan *jayv1.PlacementOffer, 1)
	p.mu.Lock()
	p.pending[ask.GetKey()] = offers
	p.mu.Unlock()
	err := g.datagrams.send(g.datagrams.addressOf(owner.Address), &jayv1.Datagram{Body: &jayv1.Datagram_Ask{Ask: ask}})
	if err != nil {
		klog.V(1).InfoS("Placement request not sent to owner", "owner", owner.Name, "err", err)
	}
	offer := p.awaitOffer(ctx, ask.GetKey(), offers)
	now := time.Now()
	switch {
	case offer != nil:
		g.metrics.Time("placement", "answered", now.Sub(started))
		g.state.ownerAnswered(owner.Name)
	case ctx.Err() == nil:
		g.metrics.Count("placement_unanswered", owner.Name, 1)
		g.state.ownerTimedOut(now, owner.Name)
	}
	return offer
}

// addressOf returns the address of the listed server with this name hash;
// empty: none is listed.
func (s *state) addressOf(server uint32) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.list.ByHash(nameHash)[server]; b != nil {
		return b.Address
	}
	return ""
}

// awaitOffer waits for an owner's response. It returns nil if none arrives in
// time.
func (p *placementClient) awaitOffer(ctx context.Context, key uint64, offers chan *jayv1.PlacementOffer) *jayv1.PlacementOffer {
	timer := time.NewTimer(ownerTimeout)
	defer timer.Stop()
	select {
	case offer := <-offers:
		return offer
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, key)
	select {
	case offer := <-offers:
		return offer
	default:
		return nil
	}
}

// receiveOffer delivers an owner's response to the request that waits for it. An
// offer that arrives too late is released, so that the owner does not count a
// request that went elsewhere.
func (p *placementClient) receiveOffer(offer *jayv1.PlacementOffer, from *net.UDPAddr) {
	p.gateway.receiveOwnerFacts(time.Now(), offer.GetFacts())
	p.mu.Lock()
	offers, ok := p.pending[offer.GetKey()]
	delete(p.pending, offer.GetKey())
	if ok {
		offers <- offer
	}
	p.mu.Unlock()
	if ok || offer.GetOutcome() != jayv1.PlacementOffer_OUTCOME_SERVER {
		return
	}
	p.gateway.metrics.Count("placement_late", "given back", 1)
	p.gateway.datagrams.trySend(from, progressDatagram(&jayv1.PlacementProgress{Key: offer.GetKey(), Ended: true}))
}

func progressDatagram(p *jayv1.PlacementProgress) *jayv1.Datagram {
	return &jayv1.Datagram{Body: &jayv1.Datagram_Progress{Progress: p}}
}

// sendProgress reports the progress of an offered request to its owner.
func (p *placementClient) sendProgress(owner shard.Entry, progress *jayv1.PlacementProgress) {
	g := p.gateway
	if owner.Name != g.settings.Node {
		g.datagrams.trySend(g.datagrams.addressOf(owner.Address), progressDatagram(progress))
		return
	}
	// Evidence about the server is left out: this entry has recorded it already.
	g.state.applyProgress(time.Now(), &jayv1.PlacementProgress{
		Key: progress.GetKey(), First: progress.GetFirst(), Ended: progress.GetEnded(), Elsewhere: progress.GetElsewhere(),
		Workspace: progress.GetWorkspace(), Priority: progress.GetPriority(), UnusedTokens: progress.GetUnusedTokens(),
		HasLoad: progress.GetHasLoad(), Running: progress.GetRunning(), Waiting: progress.GetWaiting(), SlowdownPercent: progress.GetSlowdownPercent(),
	})
}

// releaseOffer notifies an owner that its offer is not used. replacement is the
// offer used instead; nil: none.
func (p *placementClient) releaseOffer(unused, replacement *ownerOffer) {
	if unused == nil {
		return
	}
	progress := unused.share.unused(&jayv1.PlacementProgress{Key: unused.GetKey(), Ended: true})
	if replacement != nil && replacement.GetVersion() == unused.GetVersion() {
		progress.Elsewhere = p.futureHolder(replacement)
	}
	p.sendProgress(unused.owner, progress)
}

// futureHolder describes the offered server as holder of the prefix, with the
// time until it will have read it.
func (p *placementClient) futureHolder(offer *ownerOffer) *jayv1.Held {
	return &jayv1.Held{
		Address: p.gateway.state.addressOf(offer.GetServer()), Version: offer.GetVersion(),
		ReadyMs: offer.GetQueueMs() + offer.GetMemoryMs() + offer.GetReadMs(),
	}
}

// prefixHolder returns the server that holds the prefix according to an offer,
// for the next owner asked; nil: none is known.
func (p *placementClient) prefixHolder(received *ownerOffer) *jayv1.Held {
	offer := routing.Offer{
		Server:    routing.DirectServer{Address: p.gateway.state.addressOf(received.GetServer()), Version: received.GetVersion()},
		FetchFrom: received.GetFetchFrom(), Source: routing.SourceFromCode(received.GetSource()),
	}
	holding, ok := offer.Holder()
	if !ok || holding.Address == "" {
		return nil
	}
	return &jayv1.Held{Address: holding.Address, Version: holding.Version}
}

// errNoOffer means that no owner offered a server: the entry chooses one
// itself.
var errNoOffer = errors.New("no owner offered a server")

// bestOffer asks the owners in turn until one offers a server with a short
// queue, and returns the best offer. Without an offer it returns
// routing.ErrNoFreeMemory or routing.ErrLongQueue if an owner answered that the
// request should wait, else errNoOffer.
func (j *job) bestOffer(mayWait bool) (*ownerOffer, error) {
	p := j.gateway.placements
	ask, prefix, mayAsk := j.buildAsk(mayWait)
	err := errNoOffer
	var best *ownerOffer
	var asked []string
	for mayAsk {
		owner, ok := j.gateway.state.nextOwner(j.service, prefix, asked, best != nil)
		if !ok {
			break
		}
		asked = append(asked, owner.Name)
		ask.Key = rand.Uint64() //nolint:gosec // unique, not secret
		offer := p.askOwner(j.ctx, owner, ask)
		j.gateway.state.ownerReported(j.service.Name, owner.Name, offer)
		ask.AskedBefore = true
		switch offer.GetOutcome() {
		case jayv1.PlacementOffer_OUTCOME_SERVER:
			candidate := &ownerOffer{owner: owner, PlacementOffer: offer}
			candidate.share, _ = askedShareOf(ask)
			if best == nil || candidate.GetTotalMs() < best.GetTotalMs() {
				best, candidate = candidate, best
			}
			p.releaseOffer(candidate, best)
			ask.Held = p.prefixHolder(best)
		case jayv1.PlacementOffer_OUTCOME_NO_ROOM:
			err = routing.ErrNoFreeMemory
		case jayv1.PlacementOffer_OUTCOME_LONG_QUEUE:
			err = routing.ErrLongQueue
		}
		if best != nil && routing.GoodOffer(float64(best.GetQueueMs()), float64(best.GetMemoryMs())) {
			break
		}
	}
	if best == nil {
		return nil, err
	}
	return best, nil
}

// acceptOffer places the request at the offered server and counts it there. It
// returns false if the server can't be used according to this entry's view.
func (j *job) acceptOffer(now time.Time, offer *ownerOffer) (routing.DirectChoice, bool) {
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.acceptOfferLocked(now, offer)
}

func (j *job) acceptOfferLocked(now time.Time, offer *ownerOffer) (routing.DirectChoice, bool) {
	s := j.gateway.state
	b := s.list.ByHash(nameHash)[offer.GetServer()]
	if b == nil || b.Service != j.service.Name || !s.mayServe(now, b) || !s.members.Usable(b.ID) || !j.continuesAt(b) {
		return routing.DirectChoice{}, false
	}
	model := j.modelName()
	if model != "" {
		s.observeVersionLocked(b.ID, model, offer.GetVersion(), "owner")
	}
	server := s.serverLocked(now, j.service, model, b)
	if j.isFull(&server) || server.Refusing || server.VersionAge > s.settings.VersionBound-versionMargin {
		return routing.DirectChoice{}, false
	}
	request := j.routingRequest(s)
	choice := s.router.AcceptOffer(now, &request, &routing.Offer{
		Server: server, FetchFrom: offer.GetFetchFrom(), SaveTo: offer.GetSaveTo(), Source: routing.SourceFromCode(offer.GetSource()),
		QueueMS: float64(offer.GetQueueMs()), MemoryMS: float64(offer.GetMemoryMs()), PrefillMS: float64(offer.GetReadMs()),
		LowerPriorityMS: float64(offer.GetLowerPriorityMs()),
	})
	choice.Leaves = s.offeredReasonLocked(now, j.service, &choice)
	s.placedLocked(now, b.ID)
	j.useShareLocked(now)
	j.offer = offer
	return choice, true
}

// placeByOwners lets the owners of the prefix's shards choose a server. The
// entry chooses one itself if they do not answer, or offer one that it can't
// use.
func (j *job) placeByOwners(mayWait bool) (routing.DirectChoice, error) {
	if !j.gateway.sharded() {
		return j.place(mayWait)
	}
	best, err := j.bestOffer(mayWait)
	if errors.Is(err, routing.ErrNoFreeMemory) {
		return routing.DirectChoice{}, err
	}
	if err == nil {
		if !j.isTooLate(best) {
			if choice, ok := j.acceptOffer(time.Now(), best); ok {
				return choice, nil
			}
		}
		j.gateway.placements.releaseOffer(best, nil)
	}
	j.gateway.metrics.Count("placed_alone", j.routeLabel(), 1)
	return j.place(mayWait)
}

// notifyOwner reports progress to the owner that offered the server, if any.
func (j *job) notifyOwner(progress *jayv1.PlacementProgress) {
	if j.offer == nil {
		return
	}
	progress.Key = j.offer.GetKey()
	j.gateway.placements.sendProgress(j.offer.owner, progress)
}

// ownerName is the owner that chose the server; empty: this entry chose it.
func (j *job) ownerName() string {
	if j.offer == nil {
		return ""
	}
	return j.offer.owner.Name
}

// ownerTimedOut records that an owner did not answer in time.
func (s *state) ownerTimedOut(now time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shards.OwnerTimedOut(now, name) {
		klog.InfoS("Owner skipped after timeouts", "owner", name)
	}
}

func (s *state) ownerAnswered(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards.OwnerAnswered(name)
}
