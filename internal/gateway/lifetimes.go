package gateway

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/membership"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

// What an entry believes of the lifetimes of backend servers: which are listed,
// which are proven over, and what that makes void.

// putBackend takes in an entry of the list of backend servers.
func (s *state) putBackend(now time.Time, b *fleet.Backend) {
	s.changeBackends(now, []backendChange{{entry: b}})
}

// backendChange is one entry of the list that changed, or the name of a server
// whose entry vanished.
type backendChange struct {
	entry *fleet.Backend
	gone  string
}

// changeBackends takes in changes of the list. The members are worked out once for
// all: after each of 3,000 entries that an entry reads at its start it took seven
// seconds of a core, in which it served nobody.
func (s *state) changeBackends(now time.Time, changes []backendChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		if change.entry != nil {
			s.putLocked(now, change.entry)
			continue
		}
		if gone := s.list.Remove(now, change.gone); gone != nil {
			s.leftLocked(now, gone, "list")
		}
	}
	s.refreshMembersLocked(now)
	s.listReady = true
}

func (s *state) putLocked(now time.Time, b *fleet.Backend) {
	old, change := s.list.Put(now, b)
	switch change {
	case fleet.Stale:
		klog.InfoS("Entry of an earlier lifetime not taken", "server", old.ID, "entry", b.ID)
		return
	case fleet.Restarted:
		s.leftLocked(now, old, "started again as "+b.ID)
	case fleet.Added, fleet.Updated:
	}
	s.listedLocked(b)
	if change != fleet.Updated || old.Draining != b.Draining || old.Service != b.Service {
		klog.InfoS("Backend server listed", "server", b.ID, "service", b.Service, "address", b.Address, "draining", b.Draining, "versions", b.Versions)
		s.membersStale = true
	}
}

// listedLocked completes an entry that the list has taken.
func (s *state) listedLocked(b *fleet.Backend) {
	b.Hash = routing.ServerHash(b.ID)
	for model, version := range b.Versions {
		s.sawVersionLocked(b.ID, model, version, "list")
	}
}

// leftLocked forgets a lifetime that is over, and all that was believed of it.
// What other holders ordered counts for the server under whatever lifetime.
func (s *state) leftLocked(now time.Time, b *fleet.Backend, source string) {
	klog.InfoS("Backend server gone", "server", b.ID, "source", source)
	if b.Draining {
		s.suspects.left(b.ID)
	} else {
		s.suspects.crashed(now, b.ID)
	}
	for _, router := range s.routers() {
		router.RemoveServer(b.ID)
	}
	s.members.Forget(b.ID)
	delete(s.switches, b.ID)
	for key := range s.versions {
		if key.server == b.ID {
			delete(s.versions, key)
		}
	}
	s.closeIdle(b.Address)
	s.membersStale = true
}

// ofLifetime tells whether a report is about the lifetime that was asked. One
// that was born later shows that the server started again.
func (s *state) ofLifetime(now time.Time, id string, report *call.Report) bool {
	s.mu.Lock()
	b := s.list.Get(id)
	s.mu.Unlock()
	switch {
	case b == nil:
		return false
	case report.Born == 0 || b.Born == 0 || report.Born == b.Born:
		return true
	case report.Born > b.Born:
		s.startedAgain(now, b, report)
	}
	return false
}

// startedAgain takes in that a server says of itself that it was born later than
// the lifetime that is listed: the list shows it with its next heartbeat.
func (s *state) startedAgain(now time.Time, listed *fleet.Backend, report *call.Report) {
	next := *listed
	next.Born, next.Versions = report.Born, report.Versions
	s.putBackend(now, &next)
}

// lifetimeOver takes in the proof that a lifetime of a backend server is over.
func (s *state) lifetimeOver(now time.Time, id, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(now, id, source)
}

func (s *state) endLocked(now time.Time, id, source string) {
	if !s.list.End(now, id) {
		return
	}
	klog.InfoS("Lifetime over", "server", id, "source", source)
	s.suspects.crashed(now, id)
	s.emptiedLocked(id)
}

// reportFailed takes in that a server did not tell its state. Servers that were
// gone held places among those that load at once until the list showed it.
func (s *state) reportFailed(now time.Time, id string, err error) {
	if errors.Is(err, call.ErrOtherInstance) {
		s.lifetimeOver(now, id, "report")
		return
	}
	if errors.Is(err, upstream.ErrNoListener) {
		s.sendFailed(now, id, err)
	}
}

// refreshMembersLocked tells membership who is listed, where that changed.
func (s *state) refreshMembersLocked(now time.Time) {
	if !s.membersStale {
		return
	}
	s.membersStale = false
	var servers []membership.Server
	for _, b := range s.list.All() {
		servers = append(servers, membership.Server{Name: b.ID, Group: b.Service, Host: b.Address, Draining: b.Draining})
	}
	s.members.SetServers(now, servers)
}

// sendFailed takes in that a request could not be sent, or got no answer.
func (s *state) sendFailed(now time.Time, server string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, upstream.ErrNoListener) {
		s.notListeningLocked(now, server)
		return
	}
	s.members.Failed(now, server)
}

// notListeningLocked takes in that nothing listens at a server's address. At one
// that is leaving that is the planned end.
func (s *state) notListeningLocked(now time.Time, server string) {
	s.members.NotListening(now, server)
	if b := s.list.Get(server); b != nil && !b.Draining {
		s.suspects.crashed(now, server)
	}
}
