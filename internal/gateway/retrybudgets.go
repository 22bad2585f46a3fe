package gateway

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/retry"
)

// retryBudgetShare is the share of the permitted retries that all entries together
// use. The rest is kept for entries that restart and lose their counts.
const retryBudgetShare = 0.7

// recordArrival counts a caller's request for a service, which adds to its retry budget.
func (s *state) recordArrival(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudgetLocked(service).Request(now)
}

// retryDecision is a decision on a retry, with what it rests on.
type retryDecision struct {
	allowed bool
	// usage is what the service's budget counted before the decision, entries the number of
	// entries that share it.
	usage   retry.Usage
	entries int
}

// takeRetry takes one retry from the service's budget, unless the budget is used up or too
// little time is left before the deadline.
func (s *state) takeRetry(now time.Time, service string, deadline time.Time) retryDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.retryBudgetLocked(service)
	usage := budget.Usage(now)
	return retryDecision{allowed: budget.Allow(now, deadline, minResendTime), usage: usage, entries: s.entryCount}
}

// takeRetry decides whether the request may be sent once more, and logs why.
func (j *job) takeRetry(reason string) bool {
	g, now := j.gateway, time.Now()
	d := g.state.takeRetry(now, j.service.Name, j.deadline)
	message, counter := "Retry allowed", "retries_allowed"
	if !d.allowed {
		message, counter = "Retry refused: budget used up, or no time left", "retries_refused"
	}
	g.metrics.Count(counter, j.service.Name, 1)
	klog.InfoS(message, "request", j.head.ID, "service", j.service.Name, "reason", reason, "available", d.usage.Available, "requests", d.usage.Requests, "retries", d.usage.Retries,
		"entries", d.entries, "entriesAgeMS", g.tableAge(now, g.entries).Milliseconds(), "upMS", now.Sub(g.startedAt).Milliseconds(), "leftMS", j.deadline.Sub(now).Milliseconds())
	return d.allowed
}

func (s *state) retryBudgetLocked(service string) *retry.Window {
	b, ok := s.retryBudgets[service]
	if !ok {
		b = retry.NewWindow(s.retryLimits())
		s.retryBudgets[service] = b
	}
	return b
}

// retryLimits returns this entry's share of the permitted retries.
func (s *state) retryLimits() retry.Limits {
	return retry.Limits{
		Span:  s.settings.RetryWindow,
		Ratio: s.settings.RetryRatio * retryBudgetShare,
		Slack: s.settings.RetrySlack * retryBudgetShare / float64(max(s.entryCount, 1)),
	}
}

// setEntryCount sets the number of entries that share the retry budgets.
func (s *state) setEntryCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n == s.entryCount {
		return
	}
	klog.InfoS("Number of entries that share the retry budget changed", "count", n, "before", s.entryCount)
	s.entryCount = n
	s.router.SetEntries(n)
	for _, b := range s.retryBudgets {
		b.SetLimits(s.retryLimits())
	}
}
