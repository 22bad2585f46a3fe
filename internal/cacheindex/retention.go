package cacheindex

import "time"

// retentionWeight of one removal in the moving average.
const retentionWeight = 1.0 / 256

// retentionEstimator estimates how long a block stays cached after its last use. An engine
// that evicts the least recently used blocks removes them at nearly the same age, so a moving
// average of these ages follows the load.
type retentionEstimator struct {
	mean   float64
	count  int
	lastAt time.Duration
}

// add adds a removal at the given time, of a block of the given age since its last use.
func (s *retentionEstimator) add(at, age time.Duration) {
	s.count++
	s.lastAt = at
	// The first removals weigh more, so that the average is usable at once.
	weight := max(retentionWeight, 1/float64(s.count))
	s.mean += weight * (float64(age) - s.mean)
}

// value returns the estimate. If nothing was removed for longer than the average, blocks stay
// at least for that time.
func (s *retentionEstimator) value(at time.Duration) time.Duration {
	if s.count == 0 {
		return at
	}
	return max(time.Duration(s.mean), at-s.lastAt)
}
