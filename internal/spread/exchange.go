package spread

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// errWrongPeer means that another process answers at a peer's old address.
var errWrongPeer = errors.New("another process answers at the address")

// run carries out the core's actions, each in its own goroutine with a bound.
func (s *Service) run(actions []Action) {
	for _, action := range actions {
		if !s.enter() {
			return
		}
		go func() {
			defer s.wg.Done()
			ctx, cancel := context.WithTimeout(s.ctx, s.options.Settings.PullTimeout)
			defer cancel()
			s.perform(ctx, action)
		}()
	}
}

func (s *Service) perform(ctx context.Context, action Action) {
	switch a := action.(type) {
	case SendDigest:
		s.tell(ctx, a.To)
	case Pull:
		s.pull(ctx, a)
	case ReadHead:
		s.readHead(ctx)
	case PullStore:
		s.pullStore(ctx, a)
	case ReadVMs:
		s.readVMs(ctx)
	}
}

// then runs a step of the core and carries out what it returns.
func (s *Service) then(step func(now time.Time) []Action) {
	s.mu.Lock()
	actions := step(s.options.Now())
	s.mu.Unlock()
	s.run(actions)
}

// open opens a stream to the peer: on the open connection when there is one,
// whoever dialled it.
func (s *Service) open(ctx context.Context, peer Peer) (*transport.Stream, error) {
	stream, err := s.options.Node.OpenPeer(ctx, peer.ID)
	if errors.Is(err, transport.ErrNoConnection) && peer.Address != "" {
		stream, err = s.options.Node.Open(ctx, peer.Address, rolesOf(peer)...)
	}
	if err != nil {
		return nil, err
	}
	if peer.ID.Name != "" && stream.Peer() != peer.ID {
		stream.Abort()
		return nil, errWrongPeer
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	return stream, nil
}

// rolesOf is what a process at the peer's address may be. A seed is only an
// address; an agent is as good as an entry, it knows the catalog too.
func rolesOf(peer Peer) []keys.Role {
	if peer.ID.Role == "" {
		return []keys.Role{keys.RoleEntry, keys.RoleAgent}
	}
	return []keys.Role{peer.ID.Role}
}

// ask sends one frame and reads the answer.
func (s *Service) ask(ctx context.Context, peer Peer, question *jayv1.ClientFrame) (*jayv1.ServerFrame, error) {
	stream, err := s.open(ctx, peer)
	if err != nil {
		return nil, err
	}
	return s.askOn(stream, question)
}

func (s *Service) askOn(stream *transport.Stream, question *jayv1.ClientFrame) (*jayv1.ServerFrame, error) {
	defer stream.Abort()
	if err := stream.Send(question); err != nil {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, eris.Wrap(err, "end question")
	}
	answer := &jayv1.ServerFrame{}
	if err := stream.Receive(answer); err != nil {
		return nil, err
	}
	// Read to the end: giving up a stream that is over would cost a packet.
	if err := stream.Receive(&jayv1.ServerFrame{}); !errors.Is(err, io.EOF) {
		klog.V(1).InfoS("Answer not ended", "peer", stream.Peer().String(), "err", err)
	}
	return answer, nil
}

// digest is what changes; introduce adds what does not.
func (s *Service) digest() *jayv1.GossipDigest {
	digest := &jayv1.GossipDigest{Generation: s.options.Holder.Current().Generation()}
	if s.options.Updates != nil {
		digest.News = s.options.Updates()
	}
	if s.options.Crashes != nil {
		digest.Crashes = s.options.Crashes(false)
	}
	if s.options.Draining != nil {
		digest.Leaving = s.options.Draining()
	}
	return digest
}

// introduce adds who the process is and where it is reached. That is most of a
// digest's bytes, so a peer hears it rarely; its link says who speaks anyway.
func (s *Service) introduce(digest *jayv1.GossipDigest) {
	digest.Incarnation = s.options.Incarnation
	digest.DataCentre, digest.Region = s.options.DataCentre, s.options.Region
	digest.Address = s.options.Address
	if s.options.Crashes != nil {
		digest.Crashes = s.options.Crashes(true)
	}
}

// introductionDue tells whether the peer should hear who the process is: at
// first, after a failure, since the peer may have been replaced, and now and then.
func (s *Service) introductionDue(to Peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return to.ID.Name == "" || s.core.introductionDue(s.options.Now(), to.ID)
}

func (s *Service) tell(ctx context.Context, to Peer) {
	digest := s.digest()
	digest.Changes = s.lacking(to.ID)
	if s.introductionDue(to) {
		s.introduce(digest)
	}
	stream, err := s.open(ctx, to)
	if err != nil {
		s.then(func(now time.Time) []Action { return s.core.DigestFailed(now, to.ID) })
		return
	}
	answer, err := s.askOn(stream, &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Gossip{Gossip: digest}})
	if err != nil {
		stream.RetireLink()
		s.then(func(now time.Time) []Action { return s.core.DigestFailed(now, to.ID) })
		return
	}
	s.heardDigest(stream.Peer(), answer.GetGossip())
}

// lacking returns the changes that a peer is known to lack, none when they are
// too many or too long for one packet: the peer then pulls.
func (s *Service) lacking(peer keys.Identity) []*jayv1.Change {
	const onePacket = 900
	s.mu.Lock()
	defer s.mu.Unlock()
	generation := s.core.generationOf(peer)
	if generation == 0 {
		return nil
	}
	delta := s.log.since(generation, s.options.Holder.Current())
	if proto.Size(delta) > onePacket {
		return nil
	}
	return delta.GetChanges()
}

// heardDigest takes a digest of a peer whose identity was verified by its link.
func (s *Service) heardDigest(from keys.Identity, digest *jayv1.GossipDigest) {
	if changes := digest.GetChanges(); len(changes) > 0 {
		// What does not fit on the table in force is left to a pull.
		if err := s.adopt(&jayv1.CatalogDelta{Changes: changes}); err != nil {
			klog.V(1).InfoS("Changes of a digest not taken", "peer", from.String(), "err", err)
		}
	}
	if s.options.OnUpdates != nil && len(digest.GetNews()) > 0 {
		s.options.OnUpdates(from, digest.GetNews())
	}
	if s.options.OnCrashes != nil && len(digest.GetCrashes()) > 0 {
		s.options.OnCrashes(digest.GetCrashes())
	}
	peer := Peer{ID: from, Address: digest.GetAddress(), DataCentre: digest.GetDataCentre(), Region: digest.GetRegion()}
	s.then(func(now time.Time) []Action { return s.core.ReceivedDigest(now, peer, digest.GetGeneration()) })
}

func (s *Service) pull(ctx context.Context, action Pull) {
	answer, err := s.ask(ctx, action.From, &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_CatalogPull{
		CatalogPull: &jayv1.CatalogPull{HaveGeneration: action.Have},
	}})
	if err == nil {
		err = s.adopt(answer.GetCatalogDelta())
	}
	s.then(func(now time.Time) []Action { return s.core.PullDone(now, action.From.ID, err == nil) })
}

func (s *Service) readHead(ctx context.Context) {
	if s.options.Store == nil {
		return
	}
	head, err := s.options.Store.Head(ctx)
	if err != nil {
		klog.V(1).InfoS("Head of the catalog not read", "process", s.options.Self.String(), "err", err)
		return
	}
	s.then(func(now time.Time) []Action { return s.core.HeadRead(now, head) })
}

func (s *Service) pullStore(ctx context.Context, action PullStore) {
	delta, err := s.options.Store.After(ctx, action.Have)
	if err == nil {
		err = s.adopt(delta)
	}
	s.then(func(now time.Time) []Action { return s.core.StorePullDone(now, err == nil) })
}

func (s *Service) readVMs(ctx context.Context) {
	if s.options.VMs == nil {
		return
	}
	s.mu.Lock()
	revision := s.vmsRev
	s.mu.Unlock()
	list, err := s.options.VMs.List(ctx, revision)
	if err != nil {
		klog.V(1).InfoS("VM list not read", "process", s.options.Self.String(), "err", err)
		return
	}
	if len(list.VMs) == 0 && !list.Whole {
		return
	}
	s.mu.Lock()
	s.mergeVMs(list)
	entries := s.entriesOfVMs()
	s.core.SetEntries(entries)
	s.mu.Unlock()
	if s.options.OnVMs != nil {
		s.options.OnVMs(list)
	}
}

// mergeVMs takes a part of the list. Two reads may overlap; the older of both
// answers must not bring back what the newer one took away.
func (s *Service) mergeVMs(list platform.VMList) {
	if list.Revision < s.vmsRev {
		return
	}
	s.vmsRev = list.Revision
	if list.Whole {
		clear(s.vms)
	}
	for _, vm := range list.VMs {
		if vm.State == platform.VMGone {
			delete(s.vms, vm.Name)
			continue
		}
		s.vms[vm.Name] = vm
	}
}

func (s *Service) entriesOfVMs() []Peer {
	var entries []Peer
	for _, vm := range s.vms {
		if vm.Role == string(keys.RoleEntry) && vm.State == platform.VMLive {
			entries = append(entries, Peer{
				ID:      keys.Identity{Role: keys.RoleEntry, Name: vm.Name},
				Address: vm.Address, DataCentre: vm.DataCentre, Region: vm.Region,
			})
		}
	}
	return entries
}

// greetDue tells whether seeds are to be asked: no entry is known yet, or those
// that are know no configuration either, as after a restart of all entries
// while the platform is down. The caller holds the lock.
func (s *Service) greetDue(now time.Time) bool {
	lost := len(s.core.entries) == 0 || s.core.generation == 0
	if len(s.options.Seeds) == 0 || !lost || now.Before(s.seedAt) {
		return false
	}
	s.seedAt = now.Add(s.options.Settings.Interval)
	return true
}

func (s *Service) greetSeeds() {
	var actions []Action
	for _, address := range s.options.Seeds {
		if address != s.options.Address {
			actions = append(actions, SendDigest{To: Peer{Address: address}})
		}
	}
	s.run(actions)
}

// Handle serves a stream that a peer opened with a digest, a pull or a status query. It
// returns false, with nothing done, for any other first frame.
func (s *Service) Handle(_ context.Context, peer keys.Identity, first *jayv1.ClientFrame, stream *transport.Stream) bool {
	switch {
	case first.GetGossip() != nil:
		// First take, then answer: the answer tells the sender that what it sent
		// is in force here, and it needs not tell it again.
		s.heardDigest(peer, first.GetGossip())
		digest := s.digest()
		if first.GetGossip().GetAddress() != "" {
			s.introduce(digest)
		}
		answer := &jayv1.ServerFrame{Frame: &jayv1.ServerFrame_Gossip{Gossip: digest}}
		if err := stream.Send(answer); err != nil {
			klog.V(1).InfoS("Digest not answered", "peer", peer.String(), "err", err)
		}
		return true
	case first.GetCatalogPull() != nil:
		s.servePull(peer, first.GetCatalogPull(), stream)
		return true
	case first.GetStatus() != nil:
		s.serveStatus(peer, stream)
		return true
	}
	return false
}

func (s *Service) servePull(peer keys.Identity, pull *jayv1.CatalogPull, stream *transport.Stream) {
	delta := s.Since(pull.GetHaveGeneration())
	answer := &jayv1.ServerFrame{Frame: &jayv1.ServerFrame_CatalogDelta{CatalogDelta: delta}}
	if err := stream.Send(answer); err != nil {
		klog.V(1).InfoS("Pull not answered", "peer", peer.String(), "err", err)
		return
	}
	generation := s.options.Holder.Current().Generation()
	s.then(func(now time.Time) []Action {
		s.core.PullServed(now, Peer{ID: peer}, generation)
		return nil
	})
}
