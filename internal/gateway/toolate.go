package gateway

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/routing"
)

// A request that no engine can serve before its caller gives up is rejected at once, if
// nothing of it ran. One that merely misses its target is served.

// minLateRetry is the least retry delay of a request that is rejected as too late.
const minLateRetry = 250 * time.Millisecond

// timeLeft returns the time until the caller gives up, for requests that may be rejected
// when no engine can respond by then; else 0. Requests of which something may have run are
// never rejected, nor those that must go to a certain server.
func (j *job) timeLeft() time.Duration {
	if !j.table.RanksWorkspaces() || j.modelName() == "" || j.mayHaveStarted || j.indeterminateSends > 0 || j.stream.delivered > 0 || j.suspectKey != 0 {
		return 0
	}
	return max(time.Until(j.firstEventDeadline()), 0)
}

// isTooLate reports whether the offered server can't respond in time. The entry then looks
// for another one in its own view of all servers, as the owners asked know only theirs.
func (j *job) isTooLate(offer *ownerOffer) bool {
	return routing.TooLate(float64(offer.GetQueueMs()+offer.GetMemoryMs()+offer.GetReadMs()), j.timeLeft())
}

// planReturn sets the retry delay of a request that no server can serve in time: by then
// the servers have worked off so much that its whole time suffices.
func (j *job) planReturn(late *routing.TooLateError) {
	limit := j.firstEventDeadline().Sub(j.arrived)
	j.retryAfter = max(late.Expected-limit, minLateRetry)
	j.gateway.metrics.Count("rejected_early", j.routeLabel(), 1)
	klog.InfoS("Request rejected: no engine can respond in time", "request", j.head.ID, "expectedMS", late.Expected.Milliseconds(), "limitMS", limit.Milliseconds(),
		"leftMS", time.Until(j.firstEventDeadline()).Milliseconds(), "priority", j.queuePriority(), "comeBackMS", j.retryAfter.Milliseconds())
}

// isRejection reports whether the request ends with a retry delay although servers exist.
func isRejection(err error) bool {
	var late *routing.TooLateError
	return errors.Is(err, errRejected) || errors.As(err, &late)
}
