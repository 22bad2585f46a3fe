package routing

import (
	"fmt"
	"math"
	"time"
)

// TooLateError means that no server is expected to begin its response before the caller
// gives up. Expected is the shortest expected time.
type TooLateError struct{ Expected time.Duration }

func (e *TooLateError) Error() string {
	return fmt.Sprintf("no server is expected to respond in time: the first after %d ms", e.Expected.Milliseconds())
}

// lateMargin times the time left is the expected time from which a request counts as too
// late. Estimates are too high at times, and a late response is worth more than none.
const lateMargin = 1.5

// TooLate reports whether a response that is expected after a time comes after the caller
// has given up. timeLeft is the time until then; 0: unknown.
func TooLate(expectedMS float64, timeLeft time.Duration) bool {
	return timeLeft > 0 && expectedMS > lateMargin*float64(timeLeft)/float64(time.Millisecond)
}

// bestInTime returns the best of all usable servers that can respond in the request's time,
// also of those that the decision did not score. It returns a TooLateError if none can.
func (d *Direct) bestInTime(now time.Time, req *DirectRequest, servers []DirectServer, usable []int32, p *prefixPlan) (best int32, bestTerms DirectTerms, err error) {
	least, bestTotal := math.Inf(1), math.Inf(1)
	for _, index := range usable {
		terms := d.score(now, req, &servers[index], p)
		least = min(least, terms.expectedMS())
		if total := terms.Total(); total < bestTotal && !TooLate(terms.expectedMS(), req.TimeLeft) {
			best, bestTotal, bestTerms = index, total, terms
		}
	}
	if math.IsInf(bestTotal, 1) {
		return 0, bestTerms, &TooLateError{Expected: durationOf(least)}
	}
	return best, bestTerms, nil
}
