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
	// askTime is how long an owner's answer is waited for: some round trips
	// between data centres, and a process that waits for its processor. Then the
	// entry decides alone: late knowledge is worth less than the caller's time.
	askTime = 40 * time.Millisecond
	// reaskPause between two questions for a request that waits for memory, which
	// becomes free with the end of requests that take hundreds of milliseconds.
	reaskPause = 100 * time.Millisecond
)

// sharded tells whether owners are asked. A few entries tell each other all that
// they do; from some number on that no longer fits what words may take, and each
// would decide by a small part of what goes on.
func (g *Gateway) sharded() bool {
	return g.peers.count() > tellAllAtMost && g.datagrams.conn != nil
}

// deciders is how many entries decide by what they know of all servers.
func (g *Gateway) deciders() int {
	if g.sharded() {
		return g.peers.strong()
	}
	return g.peers.count()
}

// decides tells whether this entry is one of them.
func (g *Gateway) decides() bool {
	return !g.sharded() || g.peers.isStrong()
}

// offered is a server that an owner offered, and counts our request at.
type offered struct {
	owner shard.Entry
	*jayv1.PlacementOffer
}

// placing asks owners where to send requests.
type placing struct {
	gateway *Gateway
	mu      sync.Mutex
	// open questions by key; each channel has room for its one answer.
	open map[uint64]chan *jayv1.PlacementOffer
}

func newPlacing(g *Gateway) *placing {
	return &placing{gateway: g, open: map[uint64]chan *jayv1.PlacementOffer{}}
}

// ask asks one owner; nil when it does not answer in time.
func (p *placing) ask(ctx context.Context, owner shard.Entry, question *jayv1.PlacementAsk) *jayv1.PlacementOffer {
	g := p.gateway
	if owner.Name == g.settings.Node {
		return g.state.offer(time.Now(), question)
	}
	begun := time.Now()
	answer := make(chan *jayv1.PlacementOffer, 1)
	p.mu.Lock()
	p.open[question.GetKey()] = answer
	p.mu.Unlock()
	err := g.datagrams.send(g.datagrams.addressOf(owner.Address), &jayv1.Datagram{Body: &jayv1.Datagram_Ask{Ask: question}})
	if err != nil {
		klog.V(1).InfoS("Owner not asked", "owner", owner.Name, "err", err)
	}
	offer := p.await(ctx, question.GetKey(), answer)
	now := time.Now()
	switch {
	case offer != nil:
		g.metrics.Time("placement", "answered", now.Sub(begun))
		g.state.ownerAnswered(owner.Name)
	case ctx.Err() == nil:
		g.metrics.Count("placement_unanswered", owner.Name, 1)
		g.state.ownerMissed(now, owner.Name)
	}
	return offer
}

// addressOf a listed server; empty when it is not listed.
func (s *state) addressOf(server uint32) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.list.ByHash(nameHash)[server]; b != nil {
		return b.Address
	}
	return ""
}

// await waits for an owner's answer; nil: there is none in time.
func (p *placing) await(ctx context.Context, key uint64, answer chan *jayv1.PlacementOffer) *jayv1.PlacementOffer {
	timer := time.NewTimer(askTime)
	defer timer.Stop()
	select {
	case offer := <-answer:
		return offer
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, key)
	select {
	case offer := <-answer:
		return offer
	default:
		return nil
	}
}

// answered takes in an owner's answer. One that comes too late is given back, so
// that the owner does not count a request that went elsewhere.
func (p *placing) answered(offer *jayv1.PlacementOffer, from *net.UDPAddr) {
	p.mu.Lock()
	answer, ok := p.open[offer.GetKey()]
	delete(p.open, offer.GetKey())
	if ok {
		answer <- offer
	}
	p.mu.Unlock()
	if ok || offer.GetOutcome() != jayv1.PlacementOffer_OUTCOME_SERVER {
		return
	}
	p.gateway.metrics.Count("placement_late", "given back", 1)
	p.gateway.datagrams.tell(from, progressWord(&jayv1.PlacementProgress{Key: offer.GetKey(), Ended: true}))
}

func progressWord(p *jayv1.PlacementProgress) *jayv1.Datagram {
	return &jayv1.Datagram{Body: &jayv1.Datagram_Progress{Progress: p}}
}

// report tells the owner of an offer how the request goes on.
func (p *placing) report(owner shard.Entry, progress *jayv1.PlacementProgress) {
	g := p.gateway
	if owner.Name != g.settings.Node {
		g.datagrams.tell(g.datagrams.addressOf(owner.Address), progressWord(progress))
		return
	}
	// Evidence on the server is known here already.
	g.state.progress(time.Now(), &jayv1.PlacementProgress{
		Key: progress.GetKey(), First: progress.GetFirst(), Ended: progress.GetEnded(), Elsewhere: progress.GetElsewhere(),
		HasLoad: progress.GetHasLoad(), Running: progress.GetRunning(), Waiting: progress.GetWaiting(),
	})
}

// giveBack tells an owner that its offer is not used. instead is the offer that
// is; nil: none.
func (p *placing) giveBack(one, instead *offered) {
	if one == nil {
		return
	}
	progress := &jayv1.PlacementProgress{Key: one.GetKey(), Ended: true}
	if instead != nil && instead.GetVersion() == one.GetVersion() {
		progress.Elsewhere = p.heldBy(instead)
	}
	p.report(one.owner, progress)
}

// heldBy an offered server from when it has read the prefix.
func (p *placing) heldBy(one *offered) *jayv1.Held {
	return &jayv1.Held{
		Address: p.gateway.state.addressOf(one.GetServer()), Version: one.GetVersion(),
		ReadyMs: one.GetQueueMs() + one.GetMemoryMs() + one.GetReadMs(),
	}
}

// holderOf the prefix by an offer, for the next owner that is asked.
func (p *placing) holderOf(one *offered) *jayv1.Held {
	offer := routing.Offer{
		Server:    routing.DirectServer{Address: p.gateway.state.addressOf(one.GetServer()), Version: one.GetVersion()},
		FetchFrom: one.GetFetchFrom(), Source: routing.SourceFromCode(one.GetSource()),
	}
	holding, ok := offer.Holder()
	if !ok || holding.Address == "" {
		return nil
	}
	return &jayv1.Held{Address: holding.Address, Version: holding.Version}
}

// errNoOffer tells that no owner offered a server: the entry decides alone.
var errNoOffer = errors.New("no owner offered a server")

// bestOffer asks the owners in turn until one offers a server with a short
// queue, and returns the best. routing.ErrNoRoom when all that answered have no
// memory free, errNoOffer when there is nothing to compare.
func (j *job) bestOffer(mayWait bool) (*offered, error) {
	p := j.gateway.placing
	question, owners := j.question(mayWait)
	err := errNoOffer
	var best *offered
	for _, owner := range owners {
		question.Key = rand.Uint64() //nolint:gosec // told apart, not secret
		offer := p.ask(j.ctx, owner, question)
		switch offer.GetOutcome() {
		case jayv1.PlacementOffer_OUTCOME_SERVER:
			one := &offered{owner: owner, PlacementOffer: offer}
			if best == nil || one.GetTotalMs() < best.GetTotalMs() {
				best, one = one, best
			}
			p.giveBack(one, best)
			question.Held = p.holderOf(best)
		case jayv1.PlacementOffer_OUTCOME_NO_ROOM:
			err = routing.ErrNoFreeMemory
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

// question is what the owners need to know of the request, and who they are.
func (j *job) question(mayWait bool) (*jayv1.PlacementAsk, []shard.Entry) {
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	request := j.routed(s)
	ask := &jayv1.PlacementAsk{
		Service: j.service.Name, Model: j.modelName(), MayWait: mayWait, DataCentre: s.settings.DataCentre,
		LeftMs: uint32(max(0, j.deadline.Sub(now)).Milliseconds()), //nolint:gosec // positive
	}
	for _, id := range j.tried {
		ask.Tried = append(ask.Tried, nameHash(id))
	}
	if ask.Model != "" {
		ask.Wall = request.IsolatedWorkspace
		ask.Tokens, ask.OutputTokens = uint32(request.Tokens), uint32(request.OutputTokens) //nolint:gosec // sizes
		ask.MemoryPercent = uint32(request.MemoryShare * percent)
		for _, part := range request.Prefix {
			ask.Part = append(ask.Part, part.ID)
			ask.PartTokens = append(ask.PartTokens, uint32(part.Tokens)) //nolint:gosec // sizes
		}
	}
	if !s.shards.MayAsk(now) {
		return ask, nil
	}
	return ask, s.divisionLocked(now, j.service.Name).Asked(request.RendezvousKey(s.book.Newest(ask.Model)))
}

// accept sends the request where it was offered, and counts it there. False: by
// what this entry knows of the server it can't.
func (j *job) accept(now time.Time, one *offered) (routing.DirectChoice, bool) {
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.acceptLocked(now, one)
}

func (j *job) acceptLocked(now time.Time, one *offered) (routing.DirectChoice, bool) {
	s := j.gateway.state
	b := s.list.ByHash(nameHash)[one.GetServer()]
	if b == nil || b.Service != j.service.Name || !s.mayServe(now, b) || !s.members.Usable(b.ID) {
		return routing.DirectChoice{}, false
	}
	model := j.modelName()
	if model != "" {
		s.sawVersionLocked(b.ID, model, one.GetVersion(), "owner")
	}
	server := s.serverLocked(now, j.service, model, b)
	if j.isFull(&server) || server.VersionAge > s.settings.VersionBound-versionMargin {
		return routing.DirectChoice{}, false
	}
	request := j.routed(s)
	choice := s.router.AcceptOffer(now, &request, &routing.Offer{
		Server: server, FetchFrom: one.GetFetchFrom(), SaveTo: one.GetSaveTo(), Source: routing.SourceFromCode(one.GetSource()),
		QueueMS: float64(one.GetQueueMs()), MemoryMS: float64(one.GetMemoryMs()), PrefillMS: float64(one.GetReadMs()),
	})
	j.offer = one
	return choice, true
}

// placeShared lets the owners of the prefix's shards choose; the entry decides
// alone where they don't answer, or offer what it can't use.
func (j *job) placeShared(mayWait bool) (routing.DirectChoice, error) {
	if !j.gateway.sharded() {
		return j.place(mayWait)
	}
	best, err := j.bestOffer(mayWait)
	if errors.Is(err, routing.ErrNoFreeMemory) {
		return routing.DirectChoice{}, err
	}
	if err == nil {
		if choice, ok := j.accept(time.Now(), best); ok {
			return choice, nil
		}
		j.gateway.placing.giveBack(best, nil)
	}
	j.gateway.metrics.Count("placed_alone", j.class(), 1)
	return j.place(mayWait)
}

// tellOwner reports on the request to the owner that offered its server, if any.
func (j *job) tellOwner(progress *jayv1.PlacementProgress) {
	if j.offer == nil {
		return
	}
	progress.Key = j.offer.GetKey()
	j.gateway.placing.report(j.offer.owner, progress)
}

// ownerName is who chose the server; empty: this entry.
func (j *job) ownerName() string {
	if j.offer == nil {
		return ""
	}
	return j.offer.owner.Name
}

// ownerMissed takes in that an owner did not answer in time.
func (s *state) ownerMissed(now time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shards.Missed(now, name) {
		klog.InfoS("Owner passed over", "owner", name)
	}
}

func (s *state) ownerAnswered(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards.Answered(name)
}
