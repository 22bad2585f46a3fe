package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/routing"
)

func plainCall(id string) *routing.DirectRequest { return &routing.DirectRequest{ID: id} }

// Guards against calls that are sent to a server whose machine is slow at the moment
// while another one is as fast as usual.
func TestReportedSlowdownMovesCalls(t *testing.T) {
	d, servers := newDirect(), directServers(2)
	d.UpdateLoad(directStart, "s0", call.Load{Slots: 64, SlowdownPercent: 250})
	d.UpdateLoad(directStart, "s1", call.Load{Slots: 64, SlowdownPercent: 100})
	choice := choose(t, d, 10*time.Millisecond, plainCall("r1"), servers)
	assert.Equal(t, "s1", choice.Server.ID)
	d.UpdateLoad(directStart.Add(20*time.Millisecond), "s0", call.Load{Slots: 64, SlowdownPercent: 50})
	choice = choose(t, d, 30*time.Millisecond, plainCall("r2"), servers)
	assert.Equal(t, "s0", choice.Server.ID)
	assert.Negative(t, choice.Terms.SlowdownMS)
}

// Guards against an old report that keeps calls from a server that is fast again.
func TestReportedSlowdownExpires(t *testing.T) {
	d, servers := newDirect(), directServers(1)
	d.UpdateSlowdown(directStart, "s0", 250)
	var terms []float64
	for i, at := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, time.Minute} {
		choice := choose(t, d, at, plainCall(fmt.Sprint("r", i)), servers)
		d.Finished(directStart.Add(at), fmt.Sprint("r", i), false)
		terms = append(terms, choice.Terms.SlowdownMS)
	}
	assert.InDelta(t, terms[0]/2, terms[1], 1e-6)
	assert.Positive(t, terms[0])
	assert.Zero(t, terms[2])
	assert.Zero(t, terms[3])
}

// Guards against report fields that are not sent: an unknown slowdown is no slowdown.
func TestMissingSlowdownKeepsTheLastReport(t *testing.T) {
	d, servers := newDirect(), directServers(1)
	d.UpdateSlowdown(directStart, "s0", 200)
	d.UpdateLoad(directStart, "s0", call.Load{Slots: 64})
	assert.Positive(t, choose(t, d, 0, plainCall("r1"), servers).Terms.SlowdownMS)
}
