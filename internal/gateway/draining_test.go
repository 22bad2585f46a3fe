package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/routetable"
)

// Guards against a response of one incarnation that takes another out of service, or puts
// one that drains back.
func TestOnlyItsOwnResponsesSayThatAServerDrains(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := limitedFleet(now, 3, false)
	service := &routetable.Service{Name: "s"}
	s.observeResponse(now, now, "i-0", "", &call.ResponseHead{Status: 421, Draining: true, Instance: "i-9"})
	s.observeResponse(now, now, "i-0", "", &call.ResponseHead{Status: 421, Draining: true})
	s.observeResponse(now, now, "i-9", "", &call.ResponseHead{Status: 200, Draining: true})
	assert.Len(t, s.candidatesLocked(now, service, ""), 3)
	s.observeResponse(now, now, "i-0", "", &call.ResponseHead{Status: 503, NotRun: true, Draining: true})
	s.observeResponse(now, now, "i-1", "", &call.ResponseHead{Status: 404, Draining: true, Instance: "i-1"})
	s.observeResponse(now, now, "i-0", "", &call.ResponseHead{Status: 200})
	assert.Len(t, s.candidatesLocked(now, service, ""), 1, "a response that does not say so is of an earlier request")
	assert.True(t, s.isDraining("i-0"))
	s.putBackend(now, &fleet.Backend{Incarnation: fleet.Incarnation{Instance: "i-0"}, Service: "s", Address: "10.0.0.0:80", Software: "v1"})
	assert.Len(t, s.candidatesLocked(now, service, ""), 1, "its registration still says ready")
	restarted := &fleet.Backend{Incarnation: fleet.Incarnation{Instance: "i-0", StartedMS: 7}, Service: "s", Address: "10.0.0.0:80", Software: "v1"}
	s.putBackend(now, restarted)
	assert.Len(t, s.candidatesLocked(now, service, ""), 2, "another incarnation")
}
