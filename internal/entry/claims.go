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

// claimRetryAfter is what a caller is told while claims can't be taken.
const claimRetryAfter = 2 * time.Second

// take claims the key of a call that may run at most once, before anything is
// handed over. A call without a key has no claim; it gets one attempt.
func (e *Entry) take(ctx context.Context, w *work) *Error {
	if !w.nonRepeatable || w.key == "" {
		return nil
	}
	claim, err := e.ledger.Acquire(ctx, w.workspace.GetName(), w.claimKey(), w.id)
	var duplicate *ledger.DuplicateError
	switch {
	case err == nil:
		w.claim = claim
		return nil
	case errors.As(err, &duplicate):
		return duplicateOf(duplicate.First)
	}
	klog.V(1).InfoS("claim not taken", "request", w.id, "workspace", w.workspace.GetName(), "cause", err)
	return refuseForNow(http.StatusServiceUnavailable, CodeClaimsUnavailable,
		"the call may run at most once and could not be claimed; it was not run", claimRetryAfter)
}

// claimKey keeps the same key of two services apart.
func (w *work) claimKey() string { return w.service.GetName() + "/" + w.key }

// duplicateOf tells of the first request with the key: done, or unknown while
// it is under way or when its entry was lost.
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

// settle closes the books of a request that is over. A claim is given back
// only with the proof that nothing ran. It is given back before the caller
// hears so: its next call with the key must not meet its own claim.
func (e *Entry) settle(w *work, r result) {
	if r.err == nil {
		e.earnRetry()
	}
	if w.claim == nil {
		return
	}
	switch r.outcome {
	case jayv1.Outcome_OUTCOME_NOT_RUN:
		if err := e.ledger.Release(e.ctx, w.claim); err != nil {
			klog.InfoS("claim stays though the call did not run", "request", w.id, "cause", err)
		}
	case jayv1.Outcome_OUTCOME_DONE:
		// A graceful stop waits for the mark; the caller does not.
		release := e.streams.hold()
		go func() {
			defer release()
			if err := e.ledger.Complete(e.ctx, w.claim); err != nil {
				klog.V(1).InfoS("claim not marked as done", "request", w.id, "cause", err)
			}
		}()
	}
}

// trimKey ranks the entries for the trimming of claims.
const trimKey = "claims/trim"

// trimClaims deletes old claims while this entry is the first of all for it.
// There is no lease: two that think so at once only do the work twice.
func (e *Entry) trimClaims(ctx context.Context) {
	const day = 24 * time.Hour
	trimmer := ledger.NewPruner(e.platform, time.Duration(e.settings.Ledger.KeepDays)*day)
	ticker := time.NewTicker(ms(e.settings.Ledger.TrimMS))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		first := e.spread.Candidates(trimKey, 1)
		if len(first) == 0 || first[0] != e.settings.Name {
			continue
		}
		deleted, err := trimmer.Step(ctx, time.Now())
		if err != nil {
			klog.V(1).InfoS("claims not trimmed", "err", err)
		}
		if deleted > 0 {
			klog.InfoS("old claims deleted", "count", deleted)
		}
	}
}
