package gateway

import (
	"errors"
	"net"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/membership"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/renewal"
	"github.com/jayproxy/jayproxy/internal/responselimit"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/sharedfact"
	"github.com/jayproxy/jayproxy/internal/streamorigin"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

// Incarnations of backend servers: which ones are listed, which ones have ended, and which
// state that invalidates.

// putBackend applies one registration of a backend server.
func (s *state) putBackend(now time.Time, b *fleet.Backend) {
	s.changeBackends(now, []backendChange{{backend: b}}, "report")
}

// backendChange is a registration that was added or changed, or the name of a server whose
// registration was removed; ended: the server is known to have ended.
type backendChange struct {
	backend *fleet.Backend
	removed string
	ended   bool
}

// changeBackends applies changes of the list. It updates the members once for all changes:
// an update for each of 3,000 servers took seven seconds of a core at the start, in which
// the entry served no requests.
// The servers of the first list have one log line in all, for the same reason. It returns how many
// registrations that disappeared are kept for now.
func (s *state) changeBackends(now time.Time, changes []backendChange, source string) (kept int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		if change.backend != nil {
			s.putLocked(now, change.backend)
			continue
		}
		listed := s.list.Named(change.removed) != nil
		if gone := s.removeLocked(now, change, source); gone != nil {
			s.forgetIncarnationLocked(now, gone, "list")
		} else if listed {
			kept++
		}
	}
	s.refreshMembersLocked(now)
	if !s.listReady {
		klog.InfoS("Backend servers listed", "count", s.list.Len(), "source", source)
	}
	s.listReady = true
	return kept
}

// removeLocked removes a server from the list; nil: it stays for now, as its registration may have
// expired while the store was away.
func (s *state) removeLocked(now time.Time, change backendChange, source string) *fleet.Backend {
	instance, removed := change.removed, lease.BootClock()
	defer s.renewals.Forget(instance)
	if change.ended || !s.renewals.MayHaveExpired(instance, removed) {
		return s.list.RemoveEnded(instance)
	}
	gone := s.list.Remove(now, instance)
	if until, kept := s.list.MissingUntil(instance); gone == nil && kept {
		silence, known := s.renewals.Silence(instance, removed)
		klog.InfoS("Backend server kept: its registration may have expired while the store was away",
			"server", instance, "forMS", until.Sub(now).Milliseconds(), "renewalKnown", known, "unrenewedMS", silence.Milliseconds(), "source", source)
	}
	return gone
}

// noteRenewals records the registrations that a batch of the list shows as written since the
// copy's version, which had all that was written by a moment since boot.
func (s *state) noteRenewals(batch mirror.Batch, held uint64, moment, now time.Time) {
	changes := make([]renewal.Change, 0, len(batch.Rows))
	for _, row := range batch.Rows {
		if row.Version > held {
			changes = append(changes, renewal.Change{Key: row.Key, Removed: row.Removed})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewals.Observe(changes, moment, now)
}

// forgetRenewals drops what is known of renewals: a new era of the store has lost some of them.
func (s *state) forgetRenewals() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewals.Reset()
}

func (s *state) putLocked(now time.Time, b *fleet.Backend) {
	_, missing := s.list.MissingUntil(b.Instance)
	old, change := s.list.Put(now, b)
	if missing && change != fleet.Stale {
		klog.InfoS("Backend server is registered again", "server", b.ID)
	}
	switch change {
	case fleet.Stale:
		klog.InfoS("Registration of an earlier incarnation ignored", "server", old.ID, "entry", b.ID)
		return
	case fleet.Restarted:
		s.forgetIncarnationLocked(now, old, "restarted as "+b.ID)
	case fleet.Added, fleet.Updated:
	}
	s.initListedLocked(b)
	if change != fleet.Updated || old.Draining != b.Draining || old.Service != b.Service || old.Software != b.Software {
		klog.V(s.listedLevel()).InfoS("Backend server listed", "server", b.ID, "service", b.Service, "address", b.Address, "draining", b.Draining, "software", b.Software, "versions", b.Versions)
		s.membersStale = true
	}
}

// listedLevel is the log level of a server that is listed.
func (s *state) listedLevel() klog.Level {
	if s.listReady {
		return 0
	}
	return 1
}

// initListedLocked sets the hash of a registration that the list has accepted, and records
// its weight versions.
func (s *state) initListedLocked(b *fleet.Backend) {
	b.Hash = routing.ServerHash(b.ID)
	b.SoftwareHash = 0
	if !b.SoftwareUnknown {
		b.SoftwareHash = uint32(streamorigin.VersionOf(b.Service, b.Software))
	}
	for model, version := range b.Versions {
		s.observeVersionLocked(b.ID, model, version, "list")
	}
}

// forgetIncarnationLocked removes all state of an incarnation that has ended, except load
// orders of other holders: they apply to the server under any incarnation.
func (s *state) forgetIncarnationLocked(now time.Time, b *fleet.Backend, source string) {
	klog.InfoS("Backend server gone", "server", b.ID, "source", source)
	if b.Draining {
		s.suspects.serverDrained(b.ID)
	} else {
		s.suspects.serverCrashed(now, b.ID)
	}
	for _, router := range s.routers() {
		router.RemoveServer(b.ID)
	}
	s.rolloutEndedLocked(b.ID)
	s.members.Forget(b.ID)
	delete(s.switches, b.ID)
	s.limits.Forget(limitAccount(b.ID))
	s.rests.Forget(limitAccount(b.ID))
	for key := range s.versions {
		if key.server == b.ID {
			delete(s.versions, key)
		}
	}
	s.closeIdle(b.Address)
	s.membersStale = true
}

// reportIsCurrent reports whether a report comes from the incarnation that was asked. A
// report with a later start time shows that the server has restarted.
func (s *state) reportIsCurrent(now time.Time, id string, report *call.Report) bool {
	s.mu.Lock()
	b := s.list.Get(id)
	s.mu.Unlock()
	switch {
	case b == nil:
		return false
	case report.StartedMS == 0 || b.StartedMS == 0 || report.StartedMS == b.StartedMS:
		return true
	case report.StartedMS > b.StartedMS:
		s.recordRestart(now, b, report)
	}
	return false
}

// recordRestart lists a server as the later incarnation that it reported. Its own
// registration follows with its next heartbeat.
func (s *state) recordRestart(now time.Time, listed *fleet.Backend, report *call.Report) {
	next := *listed
	next.StartedMS, next.Versions, next.SoftwareUnknown, next.Draining = report.StartedMS, report.Versions, true, report.Draining
	s.putBackend(now, &next)
}

// incarnationEnded records this entry's own proof that an incarnation of a backend server
// has ended, and reports it to the other entries.
func (s *state) incarnationEnded(now time.Time, id, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endIncarnationLocked(now, id, source) {
		s.facts.Learned(now, sharedfact.Fact{Kind: sharedfact.Ended, Server: id})
	}
}

// endIncarnationLocked reports whether the incarnation is listed and was not marked before.
func (s *state) endIncarnationLocked(now time.Time, id, source string) bool {
	if !s.list.MarkEnded(now, id) {
		return false
	}
	s.dropEndedLocked(now, id, source)
	return true
}

// dropEndedLocked removes what an incarnation that was marked as ended invalidates.
func (s *state) dropEndedLocked(now time.Time, id, source string) {
	klog.InfoS("Incarnation ended", "server", id, "source", source)
	s.suspects.serverCrashed(now, id)
	s.cacheClearedLocked(id)
}

// serverDrains records that an incarnation said itself that it drains: its registration may
// show it much later, or never.
func (s *state) serverDrains(now time.Time, id, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverDrainsLocked(now, id, source)
}

func (s *state) serverDrainsLocked(now time.Time, id, source string) {
	if !s.list.MarkDraining(now, id) {
		return
	}
	klog.InfoS("Backend server drains", "server", id, "source", source)
	s.membersStale = true
	s.refreshMembersLocked(now)
}

// reportFailed records that a server did not report its state. A server that is gone must
// not count among those that are loading weights until the list shows its end.
func (s *state) reportFailed(now time.Time, id string, err error) {
	if errors.Is(err, call.ErrOtherInstance) {
		s.incarnationEnded(now, id, "report")
		return
	}
	if _, exceeded := responselimit.Exceeded(err); exceeded || errors.Is(err, upstream.ErrNoListener) {
		s.sendFailed(now, id, err)
	}
}

// refreshMembersLocked passes the listed servers to members if the list has changed.
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

// sendFailed records that a request could not be sent, or got no response.
func (s *state) sendFailed(now time.Time, server string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, upstream.ErrNoListener) {
		s.members.NotListening(now, server)
		s.noListenerCrashLocked(now, server)
		if s.list.Get(server) != nil {
			s.facts.Learned(now, sharedfact.Fact{Kind: sharedfact.NotListening, Server: server})
		}
		return
	}
	s.members.Failed(now, server)
	var timeout net.Error
	_, exceeded := responselimit.Exceeded(err)
	if (exceeded || errors.As(err, &timeout) && timeout.Timeout()) && len(s.unreached) < maxUnreached {
		s.unreached = append(s.unreached, server)
	}
}

// maxUnreached bounds the servers in one hint that were not reached or exceeded a bound.
const maxUnreached = 32

// takeUnreachedLocked returns the servers that this entry did not reach, or that exceeded a
// bound on responses, since the last call.
func (s *state) takeUnreachedLocked() []string {
	servers := s.unreached
	s.unreached = nil
	return servers
}

// noListenerCrashLocked records a crash, as nothing listens at a server's address. For a
// draining server that is the planned end.
func (s *state) noListenerCrashLocked(now time.Time, server string) {
	if b := s.list.Get(server); b != nil && !b.Draining {
		s.suspects.serverCrashed(now, server)
	}
}
