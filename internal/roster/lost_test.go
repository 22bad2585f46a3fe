package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/roster"
)

// playProbes probes one entry a second; gone says which ones do not answer. It returns when
// the row of each was removed.
func playProbes(entries int, seconds int, gone func(node string, at time.Duration) bool) map[string]time.Duration {
	lost, removed := roster.NewLost(), map[string]time.Duration{}
	for i := range seconds {
		at := time.Duration(i) * time.Second
		var nodes []string
		for k := range entries {
			if node := fmt.Sprint("gw", k); removed[node] == 0 {
				nodes = append(nodes, node)
			}
		}
		lost.List(nodes)
		node, ok := lost.Next(now.Add(at))
		switch {
		case !ok:
		case !gone(node, at):
			lost.Answered(node)
		case lost.Silent(now.Add(at), node, 1):
			removed[node] = at
		}
	}
	return removed
}

// Guards against rows of lost entries that remain for ever: at 47 lost VMs a day they would
// outnumber the entries within weeks.
func TestRowsOfLostEntriesAreRemoved(t *testing.T) {
	removed := playProbes(810, 1200, func(node string, _ time.Duration) bool { return node == "gw7" || node == "gw300" })
	assert.Len(t, removed, 2)
	for node, at := range removed {
		assert.GreaterOrEqual(t, at, time.Minute, node)
	}
}

// Guards against the removal of entries that were only frozen, or cut off from the one that
// probes.
func TestRowsOfEntriesThatComeBackStay(t *testing.T) {
	assert.Empty(t, playProbes(40, 600, func(node string, at time.Duration) bool { return node == "gw7" && at%(50*time.Second) < 30*time.Second }), "silent now and then")
	assert.Empty(t, playProbes(40, 600, func(string, time.Duration) bool { return true }), "nobody answers: its own link is down")
	assert.Empty(t, playProbes(40, 600, func(node string, _ time.Duration) bool { return node < "gw2" }), "a part of the fleet is cut off")
}

// Guards against rows of ended entries that a drill of the store brought back being counted
// for up to a quarter of an hour, which a round over 810 entries takes.
func TestRowsThatComeBackAreProbedFirst(t *testing.T) {
	var nodes []string
	for i := range 810 {
		nodes = append(nodes, fmt.Sprint("gw", i))
	}
	lost := roster.NewLost()
	lost.List(nodes)
	lost.Forget()
	lost.List(append(nodes, "gx1", "gx2"))
	removed := map[string]time.Duration{}
	for at := time.Duration(0); at < 90*time.Second; at += time.Second {
		node, ok := lost.Next(now.Add(at))
		switch {
		case !ok:
		case node != "gx1" && node != "gx2":
			lost.Answered(node)
		case lost.Silent(now.Add(at), node, 7):
			removed[node] = at
		}
	}
	assert.Len(t, removed, 2)
}

// Guards against the removal of a row that was written again: the probes before went to the
// address in the row before.
func TestRowWrittenAgainIsProbedAnew(t *testing.T) {
	lost := roster.NewLost()
	lost.List([]string{"a", "b"})
	for probe := range 3 {
		assert.False(t, lost.Silent(now.Add(time.Duration(probe)*20*time.Second), "a", 1))
	}
	assert.False(t, lost.Silent(now.Add(80*time.Second), "a", 2))
	assert.False(t, lost.Silent(now.Add(100*time.Second), "a", 2))
	assert.True(t, lost.Silent(now.Add(140*time.Second), "a", 2))
}
