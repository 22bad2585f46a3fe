package gateway

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/retry"
)

// recordArrival counts a caller's request for a service, which adds to its retry budget. now
// is the time since boot, as for all retry budgets: the time of day may be set.
func (s *state) recordArrival(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudgetLocked(now, service).Request(now)
}

// retryDecision is a decision on a retry, with what it rests on.
type retryDecision struct {
	allowed bool
	// usage is the state of the service's budget before the decision, slackPart this entry's
	// part of the slack.
	usage     retry.Usage
	slackPart float64
}

// takeRetry takes one retry from the service's budget, unless the budget is used up or too
// little time is left.
func (s *state) takeRetry(now time.Time, service string, left time.Duration) retryDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.retryBudgetLocked(now, service)
	usage := budget.Usage(now)
	return retryDecision{allowed: budget.Take(now, left, minResendTime), usage: usage, slackPart: s.slackPart}
}

// takeRetry decides whether the request may be sent once more, and logs why.
func (j *job) takeRetry(reason string) bool {
	g, now := j.gateway, time.Now()
	left := j.deadline.Sub(now)
	d := g.state.takeRetry(lease.BootClock(), j.service.Name, left)
	message, counter := "Retry allowed", "retries_allowed"
	if !d.allowed {
		message, counter = "Retry refused: budget used up, or no time left", "retries_refused"
	}
	g.metrics.Count(counter, j.service.Name, 1)
	klog.InfoS(message, "request", j.head.ID, "service", j.service.Name, "reason", reason, "available", d.usage.Available, "capacity", d.usage.Capacity, "waiting", d.usage.Waiting, "requests", d.usage.Requests,
		"slackPart", d.slackPart, "entriesAgeMS", g.tableAge(g.entries).Milliseconds(), "upMS", now.Sub(g.startedAt).Milliseconds(), "leftMS", left.Milliseconds())
	j.retryWaits = d.allowed
	return d.allowed
}

// spendRetry records that the send which begins now is the retry that was allowed. It
// returns false if it is none.
func (j *job) spendRetry() bool {
	if !j.retryWaits {
		return false
	}
	j.retryWaits = false
	j.withRetryBudget(func(b *retry.Bucket) { b.Sent() })
	return true
}

// keepRetry records that a retry reached no server, and may be sent to another one.
func (j *job) keepRetry() {
	j.retryWaits = true
	j.withRetryBudget(func(b *retry.Bucket) { b.Unsent() })
}

// returnRetry puts a retry back that was allowed and never sent.
func (j *job) returnRetry() {
	if j.retryWaits {
		j.retryWaits = false
		j.withRetryBudget(func(b *retry.Bucket) { b.Return(lease.BootClock()) })
	}
}

func (j *job) withRetryBudget(do func(b *retry.Bucket)) {
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s.retryBudgetLocked(lease.BootClock(), j.service.Name))
}

func (s *state) retryBudgetLocked(now time.Time, service string) *retry.Bucket {
	b, ok := s.retryBudgets[service]
	if !ok {
		b = s.newRetryBudget(now)
		s.retryBudgets[service] = b
	}
	return b
}

// newRetryBudget returns the budget of a service of which this process has served no request.
func (s *state) newRetryBudget(now time.Time) *retry.Bucket {
	if s.settings.Bootstrap {
		return retry.NewFullBucket(now, s.retryLimits())
	}
	// Nobody has used this entry's part of the service's slack.
	return retry.NewBucket(earlier(now, s.slackPartSince), s.retryLimits())
}

// earlier returns the earlier of two times, or now if there is no other.
func earlier(now, other time.Time) time.Time {
	if other.IsZero() || other.After(now) {
		return now
	}
	return other
}

// retryLimits returns this entry's part of the permitted retries.
func (s *state) retryLimits() retry.Limits {
	return retry.Limits{Span: s.settings.RetryWindow, Ratio: s.settings.RetryRatio, Slack: s.settings.RetrySlack * s.slackPart}
}

func newSlackSharing(settings Settings) retry.Sharing {
	if settings.Bootstrap {
		return retry.NewFirstSharing()
	}
	return retry.Sharing{}
}

// shareRetrySlack updates this entry's part of the slack.
func (s *state) shareRetrySlack(now time.Time, listing retry.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.slackSharing.Part(now, listing)
	if part == s.slackPart {
		return
	}
	klog.InfoS("Part of the retry slack changed", "part", part, "before", s.slackPart, "listed", listing.Listed, "entries", listing.Processes, "entriesAgeMS", listing.Age.Milliseconds())
	s.slackPart, s.slackPartSince = part, now
	for _, b := range s.retryBudgets {
		b.SetLimits(now, s.retryLimits())
	}
}

// shareRetrySlack updates this entry's part of the slack of the retry budgets. It may be
// called while the lock of the entries' feed is held.
func (g *Gateway) shareRetrySlack() {
	g.state.shareRetrySlack(lease.BootClock(), retry.Listing{
		Listed: g.entries.answered() && g.peers.registered() && !g.stopping.Load(), Processes: g.peers.count(), Age: g.tableAge(g.entries),
	})
}

// setEntryCount sets the number of entries among which fleet-wide limits are divided.
func (s *state) setEntryCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n == s.entryCount {
		return
	}
	klog.InfoS("Number of entries changed", "count", n, "before", s.entryCount)
	s.entryCount = n
	s.router.SetEntries(n)
}
