package spread

import (
	"context"
	"errors"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/transport"
)

const (
	// statusTimeout bounds one query to an entry.
	statusTimeout = 2 * time.Second
	// maxStatusQueries bounds the entries queried in parallel.
	maxStatusQueries = 64
)

// ErrUnknownPeer means that no entry of this name is known.
var ErrUnknownPeer = errors.New("no entry of this name is known")

// Noticed processes a generation that the store is known to hold.
func (s *Service) Noticed(generation uint64) {
	s.stepCore(func(now time.Time) []Action { return s.core.HeadRead(now, generation) })
}

// Candidates returns the names of the first count live entries, including this one, in
// rendezvous order under the key.
func (s *Service) Candidates(key string, count int) []string {
	s.mu.Lock()
	live := append(s.core.live(s.options.Now()), s.core.self)
	s.mu.Unlock()
	var names []string
	for _, peer := range rank(key, live) {
		if len(names) == count {
			break
		}
		names = append(names, peer.ID.Name)
	}
	return names
}

// QueryEntry sends one frame to another entry and returns the answer. It returns
// ErrUnknownPeer if the entry isn't known.
func (s *Service) QueryEntry(ctx context.Context, name string, request *jayv1.ClientFrame) (*jayv1.ServerFrame, error) {
	id := keys.Identity{Role: keys.RoleEntry, Name: name}
	s.mu.Lock()
	state := s.core.entries[id]
	s.mu.Unlock()
	if state == nil {
		return nil, eris.Wrapf(ErrUnknownPeer, "entry %q", name)
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return s.query(ctx, state.peer, request)
}

// Status collects the status of all entries and of the agents assigned to them.
func (s *Service) Status(ctx context.Context) *jayv1.StatusResponse {
	merged := newStatusMerge()
	merged.add(s.localStatus()...)
	s.mu.Lock()
	var others []Peer
	for _, state := range s.core.entries {
		others = append(others, state.peer)
	}
	head := max(s.core.generation, s.core.storeHead, s.core.maxReported)
	s.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxStatusQueries)
	for _, peer := range others {
		group.Go(func() error {
			frames, err := s.queryStatus(ctx, peer)
			if err != nil {
				merged.markUnreachable(peer.ID)
			}
			merged.add(frames...)
			return nil
		})
	}
	_ = group.Wait()
	for _, server := range s.options.Holder.Current().BackendServers() {
		merged.expect(keys.Identity{Role: keys.RoleAgent, Name: server.GetName()})
	}
	return merged.response(head)
}

func (s *Service) queryStatus(ctx context.Context, peer Peer) ([]*jayv1.ProcessStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	stream, err := s.open(ctx, peer)
	if err != nil {
		return nil, err
	}
	defer stream.Abort()
	request := &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Status{Status: &jayv1.StatusQuery{}}}
	if err := stream.Send(request); err != nil {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, eris.Wrap(err, "close send side of status query")
	}
	var all []*jayv1.ProcessStatus
	for {
		answer := &jayv1.ServerFrame{}
		err := stream.Receive(answer)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, answer.GetStatus())
	}
}

// localStatus returns the status of this process and, at an entry, of its assigned
// agents as last reported by them.
func (s *Service) localStatus() []*jayv1.ProcessStatus {
	self := &jayv1.ProcessStatus{
		Name: s.options.Self.Name, Role: string(s.options.Self.Role), DataCentre: s.options.DataCentre,
		StartedUnixMs: s.startedAt.UnixMilli(),
	}
	if s.options.FillStatus != nil {
		s.options.FillStatus(self)
	}
	self.Generation = s.options.Holder.Current().Generation()
	if s.options.Draining != nil {
		self.Leaving = s.options.Draining()
	}
	all := []*jayv1.ProcessStatus{self}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	for _, agent := range s.core.assignedAgents {
		if agent.lastReceivedAt.IsZero() || agent.suspectedAt(now, s.options.Settings.SuspectFor) {
			continue
		}
		all = append(all, &jayv1.ProcessStatus{
			Name: agent.peer.ID.Name, Role: string(keys.RoleAgent), DataCentre: agent.peer.DataCentre,
			Generation: agent.generation,
		})
	}
	return all
}

func (s *Service) serveStatus(peer keys.Identity, stream *transport.Stream) {
	for _, status := range s.localStatus() {
		if err := stream.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_Status{Status: status}}); err != nil {
			klog.V(1).InfoS("Sending the status failed", "peer", peer.String(), "err", err)
			return
		}
	}
}

// statusMerge merges the answers of entries. Safe for concurrent use.
type statusMerge struct {
	mu          sync.Mutex
	byID        map[keys.Identity]*jayv1.ProcessStatus
	unreachable map[keys.Identity]bool
}

func newStatusMerge() *statusMerge {
	return &statusMerge{byID: map[keys.Identity]*jayv1.ProcessStatus{}, unreachable: map[keys.Identity]bool{}}
}

// add merges answers; of two about one process the newer generation is kept.
func (m *statusMerge) add(all ...*jayv1.ProcessStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, status := range all {
		id := keys.Identity{Role: keys.Role(status.GetRole()), Name: status.GetName()}
		if known := m.byID[id]; known == nil || known.GetGeneration() < status.GetGeneration() {
			m.byID[id] = status
		}
	}
}

func (m *statusMerge) markUnreachable(id keys.Identity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable[id] = true
}

// expect marks a process as unreachable if no answer covers it.
func (m *statusMerge) expect(id keys.Identity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byID[id] == nil {
		m.unreachable[id] = true
	}
}

func (m *statusMerge) response(head uint64) *jayv1.StatusResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	response := &jayv1.StatusResponse{HeadGeneration: head}
	for _, status := range m.byID {
		response.Processes = append(response.Processes, status)
		response.HeadGeneration = max(response.HeadGeneration, status.GetGeneration())
	}
	sort.Slice(response.Processes, func(i, j int) bool {
		a, b := response.Processes[i], response.Processes[j]
		if a.GetRole() != b.GetRole() {
			return a.GetRole() > b.GetRole()
		}
		return a.GetName() < b.GetName()
	})
	for id := range m.unreachable {
		response.Unreachable = append(response.Unreachable, string(id.Role)+"/"+id.Name)
	}
	sort.Strings(response.Unreachable)
	return response
}
