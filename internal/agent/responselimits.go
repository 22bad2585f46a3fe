package agent

import (
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/responselimit"
)

// headTime returns how long a response's head may take from its first byte on; 0: until the
// deadline. It is bounded only where the entry may send the request to another server: a late
// response is better than none.
func headTime(offer *jayv1.Offer) time.Duration {
	if !offer.GetMayResend() || offer.GetNonRepeatable() {
		return 0
	}
	return responselimit.HeadTime
}

// recordExceeded counts and logs a response that exceeded a bound. It reports whether err says
// so.
func (a *Agent) recordExceeded(att *attempt, err error) bool {
	bound, exceeded := responselimit.Exceeded(err)
	if exceeded {
		a.metrics.Count("response_limit_exceeded", string(bound), 1)
		klog.InfoS("response exceeds a bound", "request", att.id, "bound", bound, "error", err.Error())
	}
	return exceeded
}
