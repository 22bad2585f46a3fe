package entry

import (
	"context"
	"net/http"
)

// claim takes the at-most-once claim of a call that has a key.
func (e *Entry) claim(_ context.Context, w *work) *Error {
	if !w.nonRepeatable || w.key == "" {
		return nil
	}
	return refuseForNow(http.StatusServiceUnavailable, CodeClaimsUnavailable, "claims are not available", 0)
}

// settle closes the books of a request that is over.
func (e *Entry) settle(_ *work, r result) {
	if r.err == nil {
		e.earnRetry()
	}
}
