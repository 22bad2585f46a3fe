package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/fleet"
)

var start = time.Unix(1000, 0)

func listed() *fleet.List {
	l := fleet.NewList(2 * time.Second)
	l.Put(&fleet.Backend{ID: "a", Service: "s"})
	l.Put(&fleet.Backend{ID: "b", Service: "s"})
	return l
}

func TestAnEntryThatVanishesIsGoneAtOnce(t *testing.T) {
	l := listed()
	assert.True(t, l.Remove(start, "a"))
	assert.Len(t, l.Of("s"), 1)
}

// Every request is refused for two seconds after the store is back. While it
// was down the servers' entries expired; the first list after it is empty,
// though all servers are alive and about to write themselves back.
func TestEntriesThatExpiredInAnOutageAreKeptForAWhile(t *testing.T) {
	l := listed()
	l.Restored(start)
	assert.False(t, l.Remove(start, "a"))
	assert.False(t, l.Remove(start, "b"))
	assert.Len(t, l.Of("s"), 2)
	l.Put(&fleet.Backend{ID: "a", Service: "s"})
	assert.Equal(t, []string{"b"}, l.Tick(start.Add(3*time.Second)), "what is still missing is gone")
	assert.Len(t, l.Of("s"), 1)
}

func TestADrainingServerIsNotKept(t *testing.T) {
	l := listed()
	l.Put(&fleet.Backend{ID: "a", Service: "s", Draining: true})
	l.Restored(start)
	assert.True(t, l.Remove(start, "a"))
}

// An engine crashed and came back under another name. The old entry stays in
// the list until it has missed its heartbeats.
func TestALifetimeThatIsProvenOverIsKnownUntilTheListShowsIt(t *testing.T) {
	l := listed()
	assert.True(t, l.End(start, "a"))
	assert.False(t, l.End(start, "a"), "known")
	assert.False(t, l.End(start, "z"), "not listed")
	assert.True(t, l.Ended(start.Add(time.Second), "a"))
	assert.False(t, l.Ended(start, "b"))
	assert.False(t, l.Ended(start.Add(time.Minute), "a"), "a false proof costs no server for good")
	l.Remove(start, "a")
	assert.False(t, l.Ended(start, "a"))
}
