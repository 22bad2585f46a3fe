package entry

import (
	"net/http"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/quota"
)

// retryNeed is the least time that an attempt is worth starting for.
const retryNeed = 10 * time.Millisecond

// withinLimits holds this entry's part of the workspace's declared limits.
func (e *Entry) withinLimits(workspace *jayv1.Workspace, tokens float64) *Error {
	declared := workspace.GetLimits()
	limits := quota.Limits{
		RequestsPerSecond: declared.GetRequestsPerSecond(),
		TokensPerSecond:   declared.GetTokensPerSecond(),
		ConcurrentStreams: int(declared.GetConcurrentStreams()),
	}
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	verdict := e.quota.Admit(time.Now(), workspace.GetName(), limits, tokens)
	switch verdict.Reason {
	case quota.Requests:
		return refuseForNow(http.StatusTooManyRequests, CodeRateLimited, "the workspace's requests a second are used up", verdict.RetryAfter)
	case quota.Tokens:
		return refuseForNow(http.StatusTooManyRequests, CodeRateLimited, "the workspace's tokens a second are used up", verdict.RetryAfter)
	case quota.Streams:
		return refuseForNow(http.StatusTooManyRequests, CodeTooManyStreams, "the workspace's concurrent streams are used up", 0)
	default:
		return nil
	}
}

func (e *Entry) leaveLimits(workspace string) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	e.quota.Release(workspace)
}

// SetEntries tells the entry how many entries share the limits.
func (e *Entry) SetEntries(n int) {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	e.quota.SetEntries(n)
}

// allowRetry takes a retry of started work from the budget.
func (e *Entry) allowRetry(now, deadline time.Time) bool {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	return e.budget.Allow(now, deadline, retryNeed)
}

func (e *Entry) earnRetry() {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	e.budget.Succeeded()
}

// Entries is the number of entries that the limits are shared by.
func (e *Entry) Entries() int {
	e.quotaMu.Lock()
	defer e.quotaMu.Unlock()
	return e.quota.Entries()
}
