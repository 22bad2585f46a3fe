package gateway

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
)

// asksForRest reports whether a response is a refusal that names a time for which the
// server takes no requests of this entry.
func asksForRest(head *call.ResponseHead) bool {
	return head.Status == http.StatusServiceUnavailable && head.RetryAfter > 0
}

// observeRestLocked records that a server asks for rest, or takes requests again.
func (s *state) observeRestLocked(now, sentAt time.Time, server string, head *call.ResponseHead) {
	id := limitAccount(server)
	switch {
	case asksForRest(head) && head.IsFrom(fleet.InstanceOf(server)):
		left := s.rests.Begin(now, id, head.RetryAfter)
		klog.InfoS("Server asks for rest", "server", server, "askedMS", head.RetryAfter.Milliseconds(), "leftMS", left.Milliseconds())
	case !head.Refused() && s.rests.Took(id, sentAt):
		klog.InfoS("Server takes requests again after its rest", "server", server)
	}
}

// resting reports whether this entry may send nothing to a server that asked for rest.
func (s *state) resting(now time.Time, b *fleet.Backend) bool {
	return !s.rests.Empty() && s.rests.Left(now, limitAccount(b.ID)) > 0
}

// placedLocked records that a request is about to be sent to a server.
func (s *state) placedLocked(now time.Time, server string) {
	if !s.rests.Empty() {
		s.rests.Sent(now, limitAccount(server))
	}
}

// restDelay returns the time until the first of the servers that may run the request ends
// its rest; 0 if one of them does not rest.
func (j *job) restDelay(now time.Time) time.Duration {
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rests.Empty() || j.service == nil {
		return 0
	}
	shortest := time.Duration(0)
	for _, b := range s.list.OfService(j.service.Name) {
		if b.Draining || s.list.Ended(now, b.ID) || !j.continuesAt(b) {
			continue
		}
		left := s.rests.Left(now, limitAccount(b.ID))
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}
