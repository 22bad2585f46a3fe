package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/streamorigin"
)

func refusal(retryAfter time.Duration) *call.ResponseHead {
	return &call.ResponseHead{Status: 503, NotRun: true, RetryAfter: retryAfter}
}

// Guards against callers that are told to return before any server may take their request,
// a stream's before one that can go on with it.
func TestTheRestDelayIsThatOfTheServersThatMayServe(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := limitedFleet(now, 3, false)
	s.putBackend(now, &fleet.Backend{Incarnation: fleet.Incarnation{Instance: "i-2"}, Service: "s", Address: "10.0.0.2:80", Software: "v2"})
	j := &job{gateway: &Gateway{state: s}, service: &routetable.Service{Name: "s"}}
	stream := &job{gateway: j.gateway, service: j.service, origin: streamorigin.VersionOf("s", "v2")}
	s.observeResponse(now, now, "i-2", "", refusal(5*time.Second))
	assert.Len(t, s.candidatesLocked(now, j.service, ""), 2)
	assert.Zero(t, j.restDelay(now))
	assert.Equal(t, 5*time.Second, stream.restDelay(now), "only i-2 can go on with it")
	s.observeResponse(now, now, "i-0", "", refusal(3*time.Second))
	s.observeResponse(now, now, "i-1", "", refusal(4*time.Second))
	assert.Empty(t, s.candidatesLocked(now, j.service, ""))
	assert.Equal(t, 3*time.Second, j.restDelay(now))
	s.serverDrains(now, "i-0", "test")
	assert.Equal(t, 4*time.Second, j.restDelay(now), "i-0 takes no more requests at all")
	s.incarnationEnded(now, "i-1", "test")
	assert.Equal(t, 5*time.Second, j.restDelay(now))
}

// Guards against a rest that another instance asked for, and one without a time.
func TestOnlyARefusalWithATimeBeginsARest(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := limitedFleet(now, 1, false)
	service := &routetable.Service{Name: "s"}
	for _, head := range []*call.ResponseHead{
		refusal(0),
		{Status: 429, NotRun: true, RetryAfter: time.Second},
		{Status: 200, RetryAfter: time.Second},
		{Status: 503, NotRun: true, RetryAfter: time.Second, Instance: "i-9"},
	} {
		s.observeResponse(now, now, "i-0", "", head)
		assert.Len(t, s.candidatesLocked(now, service, ""), 1, "%+v", head)
	}
	s.observeResponse(now, now, "i-0", "", refusal(time.Second))
	assert.Empty(t, s.candidatesLocked(now.Add(999*time.Millisecond), service, ""))
	assert.Len(t, s.candidatesLocked(now.Add(time.Second), service, ""), 1)
	s.placedLocked(now.Add(time.Second), "i-0")
	assert.Empty(t, s.candidatesLocked(now.Add(1100*time.Millisecond), service, ""), "one request at a time at first")
	s.observeResponse(now.Add(1100*time.Millisecond), now.Add(time.Second), "i-0", "", &call.ResponseHead{Status: 200})
	assert.Len(t, s.candidatesLocked(now.Add(1100*time.Millisecond), service, ""), 1)
}
