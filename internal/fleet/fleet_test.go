package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/fleet"
)

var start = time.Unix(1000, 0)

func listed() *fleet.List {
	l := fleet.NewList(2 * time.Second)
	l.Put(start, &fleet.Backend{Incarnation: fleet.Incarnation{Instance: "a"}, Service: "s"})
	l.Put(start, &fleet.Backend{Incarnation: fleet.Incarnation{Instance: "b"}, Service: "s"})
	return l
}

func TestAnEntryThatVanishesIsGoneAtOnce(t *testing.T) {
	l := listed()
	assert.NotNil(t, l.Remove(start, "a"))
	assert.Len(t, l.OfService("s"), 1)
}

// Every request is refused for two seconds after the store is back. While it
// was down the servers' entries expired; the first list after it is empty,
// though all servers are alive and about to write themselves back.
func TestEntriesThatExpiredInAnOutageAreKeptForAWhile(t *testing.T) {
	l := listed()
	l.Restored(start)
	assert.Nil(t, l.Remove(start, "a"))
	assert.Nil(t, l.Remove(start, "b"))
	assert.Len(t, l.OfService("s"), 2)
	l.Put(start, &fleet.Backend{Incarnation: fleet.Incarnation{Instance: "a"}, Service: "s"})
	gone, _ := l.Tick(start.Add(3 * time.Second))
	require.Len(t, gone, 1, "what is still missing is gone")
	assert.Equal(t, "b", gone[0].ID)
	assert.Len(t, l.OfService("s"), 1)
}

func TestADrainingServerIsNotKept(t *testing.T) {
	l := listed()
	l.Put(start, &fleet.Backend{Incarnation: fleet.Incarnation{Instance: "a"}, Service: "s", Draining: true})
	l.Restored(start)
	assert.NotNil(t, l.Remove(start, "a"))
}

// An engine crashed and came back under another name. The old entry stays in
// the list until it has missed its heartbeats.
func TestALifetimeThatIsProvenOverIsKnownUntilTheListShowsIt(t *testing.T) {
	l := listed()
	assert.True(t, l.MarkEnded(start, "a"))
	assert.False(t, l.MarkEnded(start, "a"), "known")
	assert.False(t, l.MarkEnded(start, "z"), "not listed")
	assert.True(t, l.Ended(start.Add(time.Second), "a"))
	assert.False(t, l.Ended(start, "b"))
	assert.False(t, l.Ended(start.Add(time.Minute), "a"), "a false proof costs no server for good")
	l.Remove(start, "a")
	assert.False(t, l.Ended(start, "a"))
}

// run is an entry of server a, born at a time in Unix ms.
func run(born int64, address string) *fleet.Backend {
	return &fleet.Backend{Incarnation: fleet.Incarnation{Instance: "a", StartedMS: born}, Service: "s", Address: address}
}

// An engine restarted under its name and was passed over for eight seconds:
// the proof that the run before was over was held against the new one.
func TestARestartUnderTheSameNameIsAnotherLifetime(t *testing.T) {
	l := fleet.NewList(2 * time.Second)
	_, change := l.Put(start, run(1000, "h:1"))
	assert.Equal(t, fleet.Added, change)
	first := l.Named("a").ID
	require.True(t, l.MarkEnded(start, first))
	old, change := l.Put(start, run(2000, "h:1"))
	assert.Equal(t, fleet.Restarted, change)
	assert.Equal(t, first, old.ID)
	second := l.Named("a").ID
	assert.NotEqual(t, first, second)
	assert.False(t, l.Ended(start, second), "the proof was of the run before")
	assert.Nil(t, l.Get(first), "late news of the run before names nobody")
	assert.Len(t, l.OfService("s"), 1)
	assert.Equal(t, "a", fleet.InstanceOf(second))
	assert.NotNil(t, l.Remove(start, "a"), "the entry goes by the server's own name")
	assert.Nil(t, l.Get(second))
}

// Not every writer tells when a server was born: its beliefs must not be
// dropped with every other heartbeat.
func TestAnEntryWithoutABirthSpeaksOfTheListedLifetime(t *testing.T) {
	l := fleet.NewList(2 * time.Second)
	l.Put(start, run(1000, "h:1"))
	listed := l.Named("a").ID
	_, change := l.Put(start, run(0, "h:1"))
	assert.Equal(t, fleet.Updated, change)
	assert.Equal(t, listed, l.Named("a").ID)
	_, change = l.Put(start, run(1000, "h:1"))
	assert.Equal(t, fleet.Updated, change)
}

// A server of which no birth was known tells one: it may be another run, and
// orders that count on the run before would be refused.
func TestABirthThatWasNotKnownIsAnotherLifetime(t *testing.T) {
	l := fleet.NewList(2 * time.Second)
	l.Put(start, run(0, "h:1"))
	_, change := l.Put(start, run(1000, "h:1"))
	assert.Equal(t, fleet.Restarted, change)
}

// A heartbeat of the run before arrived after the restart. Believed, it brought
// back all that the restart had made void, until the next heartbeat.
func TestALateWordOfAnEarlierRunIsNotTaken(t *testing.T) {
	l := fleet.NewList(2 * time.Second)
	l.Put(start, run(2000, "h:1"))
	listed := l.Named("a").ID
	_, change := l.Put(start, run(1000, "h:1"))
	assert.Equal(t, fleet.Stale, change)
	l.Put(start.Add(time.Second), run(2000, "h:1"))
	gone, back := l.Tick(start.Add(time.Minute))
	assert.Empty(t, gone)
	assert.Empty(t, back)
	assert.Equal(t, listed, l.Named("a").ID)
}

// The server's clock went back while it was down, so that its new run seems to
// be the older one. Ignored for good, the server would get orders that count
// on a run that is over.
func TestAnEarlierRunThatStandsIsBelieved(t *testing.T) {
	l := fleet.NewList(2 * time.Second)
	l.Put(start, run(2000, "h:1"))
	listed := l.Named("a").ID
	l.Put(start, run(1000, "h:1"))
	l.Put(start.Add(2*time.Second), run(1000, "h:1"))
	gone, back := l.Tick(start.Add(4 * time.Second))
	assert.Empty(t, append(gone, back...), "not yet")
	gone, back = l.Tick(start.Add(5 * time.Second))
	require.Len(t, gone, 1)
	require.Len(t, back, 1)
	assert.Equal(t, listed, gone[0].ID)
	assert.Equal(t, back[0], l.Named("a"))
	assert.Len(t, l.OfService("s"), 1)
}

// A process does not move: what is at the other address holds nothing.
func TestAnotherAddressIsAnotherLifetime(t *testing.T) {
	l := fleet.NewList(2 * time.Second)
	l.Put(start, run(1000, "h:1"))
	_, change := l.Put(start, run(1000, "h:2"))
	assert.Equal(t, fleet.Restarted, change)
	assert.Equal(t, "h:2", l.OfService("s")[0].Address)
}
