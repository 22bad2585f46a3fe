package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/ledger"
)

// claimRetryAfter is sent to callers as Retry-After while claims can't be taken.
const claimRetryAfter = 2 * time.Second

// takeClaim claims the idempotency key of a call that may run at most once,
// before the call is handed off. A call without a key has no claim and gets a
// single attempt.
func (e *Entry) takeClaim(ctx context.Context, request *callerRequest) *Error {
	if !request.nonRepeatable || request.key == "" {
		return nil
	}
	claim, err := e.ledger.Acquire(ctx, request.workspace.GetName(), request.claimKey(), request.id)
	var duplicate *ledger.DuplicateError
	switch {
	case err == nil:
		request.claim = claim
		return nil
	case errors.As(err, &duplicate):
		return duplicateOf(duplicate.First)
	}
	klog.V(1).InfoS("claim not taken", "request", request.id, "workspace", request.workspace.GetName(), "cause", err)
	return refuseTemporarily(http.StatusServiceUnavailable, CodeClaimsUnavailable,
		"the call may run at most once and could not be claimed; it was not run", claimRetryAfter)
}

// claimKey scopes the idempotency key to its service.
func (request *callerRequest) claimKey() string { return request.service.GetName() + "/" + request.key }

// duplicateOf returns the error for a key that is already claimed. Its outcome
// is that of the first request with the key: done, or unknown while that request
// is running or when its entry was lost.
func duplicateOf(first ledger.Record) *Error {
	e := &Error{
		Status: http.StatusConflict, Code: CodeDuplicate, RequestID: first.RequestID,
		Message: "the idempotency key was used before, by request " + first.RequestID,
		Outcome: jayv1.Outcome_OUTCOME_UNKNOWN,
	}
	if first.State == ledger.StateDone {
		e.Outcome = jayv1.Outcome_OUTCOME_DONE
	}
	return e
}

// recordResult updates retry budget and claim after a request ended. A claim is
// released only when the request certainly did not run, and before the caller
// gets the response: a repeated call must not conflict with its own earlier claim.
func (e *Entry) recordResult(request *callerRequest, r result) {
	if r.err == nil {
		e.creditRetry()
	}
	if request.claim == nil {
		return
	}
	switch r.outcome {
	case jayv1.Outcome_OUTCOME_NOT_RUN:
		if err := e.ledger.Release(e.ctx, request.claim); err != nil {
			klog.InfoS("claim not released although the call did not run", "request", request.id, "cause", err)
		}
	case jayv1.Outcome_OUTCOME_DONE:
		// A graceful shutdown waits for this write; the caller does not.
		release := e.streams.addBackground()
		go func() {
			defer release()
			if err := e.ledger.Complete(e.ctx, request.claim); err != nil {
				klog.V(1).InfoS("claim not marked as done", "request", request.id, "cause", err)
			}
		}()
	}
}

// pruneKey is the rendezvous hashing key that selects the entry that prunes claims.
const pruneKey = "claims/trim"

// pruneClaims deletes expired claims while this entry is the preferred one for
// pruneKey. It needs no lease: two entries that prune at once only duplicate work.
func (e *Entry) pruneClaims(ctx context.Context) {
	const day = 24 * time.Hour
	pruner := ledger.NewPruner(e.platform, time.Duration(e.settings.Ledger.KeepDays)*day)
	ticker := time.NewTicker(ms(e.settings.Ledger.TrimMS))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		preferred := e.spread.Candidates(pruneKey, 1)
		if len(preferred) == 0 || preferred[0] != e.settings.Name {
			continue
		}
		deleted, err := pruner.Step(ctx, time.Now())
		if err != nil {
			klog.V(1).InfoS("expired claims not pruned", "err", err)
		}
		if deleted > 0 {
			klog.InfoS("expired claims pruned", "count", deleted)
		}
	}
}
