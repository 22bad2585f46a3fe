package feedsource_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/feedsource"
)

var start = time.Unix(1000, 0)

// Guards against a process that waits for relays while callers wait for it: only the first
// start of the whole system has no callers.
func TestFirstReadWaitsForRelaysOnlyAtBootstrap(t *testing.T) {
	alone, all := feedsource.New(feedsource.Settings{}), feedsource.New(feedsource.Settings{Bootstrap: true})
	assert.False(t, all.MayCallStore(start, feedsource.Unavailable, false, 400))
	assert.True(t, alone.MayCallStore(start, feedsource.Unavailable, false, 400))
	assert.False(t, all.MayCallStore(start.Add(time.Second), feedsource.Unavailable, false, 400))
	assert.True(t, all.MayCallStore(start.Add(2*time.Second), feedsource.Unavailable, false, 400), "relays that never have data")
	assert.True(t, all.MayCallStore(start, feedsource.NoRelay, false, 400), "a reader of the store waits for nobody")
}

// Guards against all entries calling the store at the full rate while relays have no recent
// data or the store refuses calls because it has too many.
func TestCallsArePacedWhileAllEntriesMayCall(t *testing.T) {
	for name, busy := range map[string]bool{"stale": false, "busy": true} {
		relays := feedsource.Stale
		if busy {
			relays = feedsource.Unavailable
		}
		s := feedsource.New(feedsource.Settings{})
		calls := 0
		for at := start; at.Before(start.Add(12 * time.Second)); at = at.Add(50 * time.Millisecond) {
			if s.MayCallStore(at, relays, true, 100) {
				calls++
				s.Called(at, busy)
			}
		}
		assert.Equal(t, 4, calls, name)
	}
}

// Guards against reads of a whole fleet that starts which take the store longer than the
// way through relays.
func TestCrowdedStartWaitsForRelays(t *testing.T) {
	for entries, want := range map[int]bool{357: true, 810: false} {
		s := feedsource.New(feedsource.Settings{ReadsPerSecond: 16000, Spread: 0.5})
		assert.Equal(t, want, s.MayCallStore(start, feedsource.Unavailable, false, entries), "%d entries", entries)
		assert.Equal(t, want, s.MayCallStore(start.Add(2900*time.Millisecond), feedsource.Unavailable, false, entries), "%d entries", entries)
		assert.True(t, s.MayCallStore(start.Add(3*time.Second), feedsource.Unavailable, false, entries), "relays that never have data")
	}
}

func TestFreshRelaysReplaceTheStore(t *testing.T) {
	s := feedsource.New(feedsource.Settings{})
	assert.False(t, s.MayCallStore(start, feedsource.Fresh, true, 2))
	assert.True(t, s.MayCallStore(start, feedsource.Unavailable, true, 2), "relays that do not answer")
}
