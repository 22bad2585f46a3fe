package entry

import (
	"net/http"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/quota"
)

// minRetryTime is the minimum time before the deadline for a retry to start.
const minRetryTime = 10 * time.Millisecond

// checkLimits enforces this entry's share of the workspace's declared limits.
func (e *Entry) checkLimits(workspace *jayv1.Workspace, tokens float64) *Error {
	declared := workspace.GetLimits()
	limits := quota.Limits{
		RequestsPerSecond: declared.GetRequestsPerSecond(),
		TokensPerSecond:   declared.GetTokensPerSecond(),
		ConcurrentStreams: int(declared.GetConcurrentStreams()),
	}
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	decision := e.quota.Admit(time.Now(), workspace.GetName(), limits, tokens)
	switch decision.Reason {
	case quota.Requests:
		return refuseTemporarily(http.StatusTooManyRequests, CodeRateLimited, "the workspace has reached its limit of requests per second", decision.RetryAfter)
	case quota.Tokens:
		return refuseTemporarily(http.StatusTooManyRequests, CodeRateLimited, "the workspace has reached its limit of tokens per second", decision.RetryAfter)
	case quota.Streams:
		return refuseTemporarily(http.StatusTooManyRequests, CodeTooManyStreams, "the workspace has reached its limit of concurrent streams", 0)
	default:
		return nil
	}
}

func (e *Entry) releaseLimits(workspace string) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	e.quota.Release(workspace)
}

// SetEntries sets the number of entries that share the limits.
func (e *Entry) SetEntries(n int) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	e.quota.SetEntries(n)
}

// allowRetry reports whether the retry budget covers another attempt of a
// request that may have run, and takes it from the budget.
func (e *Entry) allowRetry(now, deadline time.Time) bool {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	return e.budget.Allow(now, deadline, minRetryTime)
}

func (e *Entry) creditRetry() {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	e.budget.Succeeded()
}

// Entries returns the number of entries that share the limits.
func (e *Entry) Entries() int {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	return e.quota.Entries()
}
