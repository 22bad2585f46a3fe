package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/retry"
)

func slackOf(s *state) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryLimits().Slack
}

// Guards against entries that use more of the slack than their part while they start, stop,
// or are cut off from the list of entries.
func TestOnlyEntriesThatAreCountedShareTheRetrySlack(t *testing.T) {
	s := newState(Settings{RetryRatio: 0.2, RetrySlack: 40, RetryWindow: 10 * time.Second}, func(string) {})
	now := time.Unix(1000, 0)
	share := func(listed bool, entries int, age time.Duration) float64 {
		s.shareRetrySlack(now, retry.Listing{Listed: listed, Processes: entries, Age: age})
		return slackOf(s)
	}
	assert.Zero(t, slackOf(s), "an entry that has read nothing")
	assert.Zero(t, share(true, 4, 0), "the others may not have read its row yet")
	now = now.Add(3 * time.Second)
	assert.InDelta(t, 10, share(true, 4, 0), 1e-9)
	assert.InDelta(t, 5, share(true, 8, time.Second), 1e-9)
	assert.Zero(t, share(true, 8, 4*time.Second), "entries may have been added that it does not know")
	assert.Zero(t, share(true, 8, 0))
	now = now.Add(3 * time.Second)
	assert.InDelta(t, 5, share(true, 8, 0), 1e-9)
	assert.Zero(t, share(false, 1, 0), "an entry that stops")
}

// Guards against the first failure of a rarely used service that is never retried.
func TestTheFirstRequestOfAServiceMayBeRetried(t *testing.T) {
	s := newState(Settings{RetryRatio: 0.2, RetrySlack: 40, RetryWindow: 10 * time.Second}, func(string) {})
	now := time.Unix(1000, 0)
	listing := retry.Listing{Listed: true, Processes: 4}
	s.shareRetrySlack(now, listing)
	now = now.Add(3 * time.Second)
	s.shareRetrySlack(now, listing)
	now = now.Add(time.Minute)
	s.recordArrival(now, "portal")
	assert.True(t, s.takeRetry(now, "portal", time.Second).allowed)
}
