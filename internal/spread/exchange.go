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

// errWrongPeer means that another process answers at the peer's address.
var errWrongPeer = errors.New("another process answers at the peer's address")

// run carries out the actions, each in its own goroutine bounded by PullTimeout.
func (s *Service) run(actions []Action) {
	for _, action := range actions {
		if !s.addWorker() {
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
		s.sendDigest(ctx, a.To)
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

// stepCore runs step with the lock held and carries out the actions it returns.
func (s *Service) stepCore(step func(now time.Time) []Action) {
	s.mu.Lock()
	actions := step(s.options.Now())
	s.mu.Unlock()
	s.run(actions)
}

// open opens a stream to the peer, on an existing connection in either direction if
// there is one.
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

// rolesOf returns the roles accepted at the peer's address. A seed is an address
// without a role; an agent serves as well as an entry, as it also has the catalog.
func rolesOf(peer Peer) []keys.Role {
	if peer.ID.Role == "" {
		return []keys.Role{keys.RoleEntry, keys.RoleAgent}
	}
	return []keys.Role{peer.ID.Role}
}

// query sends one frame to the peer and reads the answer.
func (s *Service) query(ctx context.Context, peer Peer, request *jayv1.ClientFrame) (*jayv1.ServerFrame, error) {
	stream, err := s.open(ctx, peer)
	if err != nil {
		return nil, err
	}
	return s.queryOn(stream, request)
}

func (s *Service) queryOn(stream *transport.Stream, request *jayv1.ClientFrame) (*jayv1.ServerFrame, error) {
	defer stream.Abort()
	if err := stream.Send(request); err != nil {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, eris.Wrap(err, "close send side of query")
	}
	answer := &jayv1.ServerFrame{}
	if err := stream.Receive(answer); err != nil {
		return nil, err
	}
	// Read to the end of the stream: aborting a finished stream would cost a packet.
	if err := stream.Receive(&jayv1.ServerFrame{}); !errors.Is(err, io.EOF) {
		klog.V(1).InfoS("Peer did not end the stream after its answer", "peer", stream.Peer().String(), "err", err)
	}
	return answer, nil
}

// digest returns the part of a digest that changes; addIdentity adds the rest.
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

// addIdentity adds the process's incarnation, location and address, and all crash
// records. They make up most of a digest's bytes, so they are sent rarely; the
// connection authenticates the sender in any case.
func (s *Service) addIdentity(digest *jayv1.GossipDigest) {
	digest.Incarnation = s.options.Incarnation
	digest.DataCentre, digest.Region = s.options.DataCentre, s.options.Region
	digest.Address = s.options.Address
	if s.options.Crashes != nil {
		digest.Crashes = s.options.Crashes(true)
	}
}

// identityDue reports whether the digest must carry the identity: in the first
// digest, after a failure, since the peer may have been replaced, and periodically.
func (s *Service) identityDue(to Peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return to.ID.Name == "" || s.core.identityDue(s.options.Now(), to.ID)
}

func (s *Service) sendDigest(ctx context.Context, to Peer) {
	digest := s.digest()
	digest.Changes = s.missingChanges(to.ID)
	if s.identityDue(to) {
		s.addIdentity(digest)
	}
	stream, err := s.open(ctx, to)
	if err != nil {
		s.stepCore(func(now time.Time) []Action { return s.core.DigestFailed(now, to.ID) })
		return
	}
	answer, err := s.queryOn(stream, &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Gossip{Gossip: digest}})
	if err != nil {
		stream.RetireLink()
		s.stepCore(func(now time.Time) []Action { return s.core.DigestFailed(now, to.ID) })
		return
	}
	s.receiveDigest(stream.Peer(), answer.GetGossip())
}

// missingChanges returns the changes that a peer is known to lack, or none if they
// don't fit into one packet: the peer then pulls.
func (s *Service) missingChanges(peer keys.Identity) []*jayv1.Change {
	const maxDeltaBytes = 900
	s.mu.Lock()
	defer s.mu.Unlock()
	generation := s.core.generationOf(peer)
	if generation == 0 {
		return nil
	}
	delta := s.log.since(generation, s.options.Holder.Current())
	if proto.Size(delta) > maxDeltaBytes {
		return nil
	}
	return delta.GetChanges()
}

// receiveDigest processes a digest of a peer that the connection authenticated.
func (s *Service) receiveDigest(from keys.Identity, digest *jayv1.GossipDigest) {
	if changes := digest.GetChanges(); len(changes) > 0 {
		// Changes that don't follow the generation in force are left to a pull.
		if err := s.adopt(&jayv1.CatalogDelta{Changes: changes}); err != nil {
			klog.V(1).InfoS("Changes of a digest not applied", "peer", from.String(), "err", err)
		}
	}
	if s.options.OnUpdates != nil && len(digest.GetNews()) > 0 {
		s.options.OnUpdates(from, digest.GetNews())
	}
	if s.options.OnCrashes != nil && len(digest.GetCrashes()) > 0 {
		s.options.OnCrashes(digest.GetCrashes())
	}
	peer := Peer{ID: from, Address: digest.GetAddress(), DataCentre: digest.GetDataCentre(), Region: digest.GetRegion()}
	s.stepCore(func(now time.Time) []Action { return s.core.ReceivedDigest(now, peer, digest.GetGeneration()) })
}

func (s *Service) pull(ctx context.Context, action Pull) {
	answer, err := s.query(ctx, action.From, &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_CatalogPull{
		CatalogPull: &jayv1.CatalogPull{HaveGeneration: action.Have},
	}})
	if err == nil {
		err = s.adopt(answer.GetCatalogDelta())
	}
	s.stepCore(func(now time.Time) []Action { return s.core.PullDone(now, action.From.ID, err == nil) })
}

func (s *Service) readHead(ctx context.Context) {
	if s.options.Store == nil {
		return
	}
	head, err := s.options.Store.Head(ctx)
	if err != nil {
		klog.V(1).InfoS("Reading the head generation from the catalog store failed", "process", s.options.Self.String(), "err", err)
		return
	}
	s.stepCore(func(now time.Time) []Action { return s.core.HeadRead(now, head) })
}

func (s *Service) pullStore(ctx context.Context, action PullStore) {
	delta, err := s.options.Store.After(ctx, action.Have)
	if err == nil {
		err = s.adopt(delta)
	}
	s.stepCore(func(now time.Time) []Action { return s.core.StorePullDone(now, err == nil) })
}

func (s *Service) readVMs(ctx context.Context) {
	if s.options.VMs == nil {
		return
	}
	s.mu.Lock()
	revision := s.vmRevision
	s.mu.Unlock()
	list, err := s.options.VMs.List(ctx, revision)
	if err != nil {
		klog.V(1).InfoS("Reading the VM list failed", "process", s.options.Self.String(), "err", err)
		return
	}
	if len(list.VMs) == 0 && !list.Complete {
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

// mergeVMs merges an answer of the VM list, unless a newer one was merged already:
// two reads may overlap.
func (s *Service) mergeVMs(list platform.VMList) {
	if list.Revision < s.vmRevision {
		return
	}
	s.vmRevision = list.Revision
	if list.Complete {
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

// seedsDue reports whether seeds must be contacted: no entry is known yet, or no
// generation is, as after a restart of all entries during an outage of the
// platform. The caller holds the lock.
func (s *Service) seedsDue(now time.Time) bool {
	isolated := len(s.core.entries) == 0 || s.core.generation == 0
	if len(s.options.Seeds) == 0 || !isolated || now.Before(s.nextSeedContact) {
		return false
	}
	s.nextSeedContact = now.Add(s.options.Settings.Interval)
	return true
}

func (s *Service) contactSeeds() {
	var actions []Action
	for _, address := range s.options.Seeds {
		if address != s.options.Address {
			actions = append(actions, SendDigest{To: Peer{Address: address}})
		}
	}
	s.run(actions)
}

// Handle serves a stream that a peer opened with a digest, a pull or a status query.
// For any other first frame it returns false and does nothing.
func (s *Service) Handle(_ context.Context, peer keys.Identity, first *jayv1.ClientFrame, stream *transport.Stream) bool {
	switch {
	case first.GetGossip() != nil:
		// Process the digest before answering: the answer then reports the sender's
		// generation as in force here, and the sender doesn't send it again.
		s.receiveDigest(peer, first.GetGossip())
		digest := s.digest()
		if first.GetGossip().GetAddress() != "" {
			s.addIdentity(digest)
		}
		answer := &jayv1.ServerFrame{Frame: &jayv1.ServerFrame_Gossip{Gossip: digest}}
		if err := stream.Send(answer); err != nil {
			klog.V(1).InfoS("Sending the answer to a digest failed", "peer", peer.String(), "err", err)
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
		klog.V(1).InfoS("Sending the answer to a pull failed", "peer", peer.String(), "err", err)
		return
	}
	generation := s.options.Holder.Current().Generation()
	s.stepCore(func(now time.Time) []Action {
		s.core.PullServed(now, Peer{ID: peer}, generation)
		return nil
	})
}
