package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/quota"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/shard"
)

// limitedFleet returns the state of an entry with the given number of servers, of which
// every hundredth has named a limit.
func limitedFleet(now time.Time, servers int, limited bool) *state {
	s := newState(Settings{Node: "gw1"}, func(string) {})
	var changes []backendChange
	for i := range servers {
		changes = append(changes, backendChange{backend: &fleet.Backend{
			Incarnation: fleet.Incarnation{Instance: fmt.Sprint("i-", i)}, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Software: "v1",
		}})
	}
	s.changeBackends(now, changes, "test")
	for i := 0; limited && i < servers; i += 100 {
		s.observeResponse(now, now, fmt.Sprint("i-", i), "", &call.ResponseHead{HasLimit: true, Limit: 1.5})
	}
	return s
}

// Guards against requests at a server that has declined them, and against a server that is
// left out for ever.
func TestAPausedServerIsNoCandidate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := limitedFleet(now, 200, true)
	service := &routetable.Service{Name: "s"}
	s.pauseLimited(now, limitAccount("i-100"), time.Second)
	s.pauseLimited(now, limitAccount("i-1"), time.Second)
	assert.Len(t, s.candidatesLocked(now, service, ""), 199, "i-1 has named no limit")
	assert.Equal(t, time.Second, s.limitDelay(now, service))
	assert.Len(t, s.candidatesLocked(now.Add(time.Second), service, ""), 200)
	s.pauseLimited(now, limitAccount("i-0"), time.Second)
	s.incarnationEnded(now, "i-0", "test")
	s.observeResponse(now.Add(2*time.Millisecond), now.Add(time.Millisecond), "i-100", "", &call.ResponseHead{})
	assert.Len(t, s.candidatesLocked(now, service, ""), 199, "the limit of i-100 has ended")
}

// Guards against a server that is left out for a limit although the lender's answer, which
// admits nothing under it, says that it has ended.
func TestAServerWhoseLimitEndsWithTheLendersAnswerIsUsed(t *testing.T) {
	now := time.Now()
	g := &Gateway{settings: Settings{Node: "gw1"}, metrics: metrics.New(8)}
	g.state = newState(g.settings, func(string) {})
	server := &fleet.Backend{Incarnation: fleet.Incarnation{Instance: "i-0"}, Service: "s", Address: "10.0.0.1:80"}
	g.state.changeBackends(now, []backendChange{{backend: server}}, "test")
	g.state.observeResponse(now, now, "i-0", "", &call.ResponseHead{HasLimit: true, Limit: 1.5})
	g.limits = newSharedQuota(g, serverLimitSource(g))
	entries := []shard.Entry{{Name: "gw1", Address: "10.0.0.2:1"}}
	g.limits.setEntries(entries, entries)
	g.limits.source.capOf = func(account quota.Account) quota.Cap {
		g.state.observeResponse(now.Add(2*time.Millisecond), now.Add(time.Millisecond), "i-0", "", &call.ResponseHead{})
		return g.state.limitOf(account)
	}
	j := &job{gateway: g, ctx: t.Context(), route: &routetable.Route{}}
	assert.True(t, j.takePermit("i-0"))
	assert.Empty(t, j.overLimit)
}

func BenchmarkCandidatesOfALargeFleet(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprintf("limited=%t", limited), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			s := limitedFleet(now, 7000, limited)
			service := &routetable.Service{Name: "s"}
			b.ReportAllocs()
			for b.Loop() {
				s.candidatesLocked(now, service, "")
			}
		})
	}
}
