package routing

import (
	"math"
	"time"
)

// Work that takes longer than usual, and requests of other entries that no hint covers
// yet, make first tokens come later than expected.

const (
	// errorGain is the weight of one first token in the error of its server.
	errorGain = 0.2
	// errorLifetime is the time in which the weight of an error falls to 1/e: queues
	// change within a second.
	errorLifetime = time.Second
	// maxErrorMS bounds one error and the correction. A larger one would move all
	// requests away from a server for one that was stuck.
	maxErrorMS = 300
)

// expectationError is by how much the first tokens of a server came later than expected
// lately, by the priority of their requests.
type expectationError struct {
	ms [priorityLevels]float64
	at time.Time
}

// observe records that a first token came later than expected; negative: earlier.
func (e *expectationError) observe(now time.Time, priority int, lateMS float64) {
	weight := e.weight(now)
	for level := range e.ms {
		e.ms[level] *= weight
	}
	e.at = now
	ms := &e.ms[levelOf(priority)]
	*ms += errorGain * (min(max(lateMS, -maxErrorMS), maxErrorMS) - *ms)
}

// correctionMS is by how much later than expected the next first token is assumed to come,
// 0 at least. What delays a request also delays those of lower priority.
func (e *expectationError) correctionMS(now time.Time, priority int) float64 {
	largest := 0.0
	for _, ms := range e.ms[:levelOf(priority)+1] {
		largest = max(largest, ms)
	}
	return largest * e.weight(now)
}

// weight is the share of the recorded errors that counts at the given time.
func (e *expectationError) weight(now time.Time) float64 {
	return math.Exp(-now.Sub(e.at).Seconds() / errorLifetime.Seconds())
}
