package cacheindex

import "time"

// survivalWeight of one removal in the running mean.
const survivalWeight = 1.0 / 256

// survivalMeter estimates how long a block stays cached after its last use,
// from the ages at which blocks were removed. An engine that evicts what was
// used longest ago removes blocks at nearly the same age, so a running mean of
// them follows the load.
type survivalMeter struct {
	mean   float64
	count  int
	lastAt time.Duration
}

// add counts a block that was removed at a time, of an age since its last use.
func (s *survivalMeter) add(at, age time.Duration) {
	s.count++
	s.lastAt = at
	// The first values count more, so that the mean starts at once.
	weight := max(survivalWeight, 1/float64(s.count))
	s.mean += weight * (float64(age) - s.mean)
}

// value of the estimate. Without removals for longer than it says, blocks
// stay at least as long as there were none.
func (s *survivalMeter) value(at time.Duration) time.Duration {
	if s.count == 0 {
		return at
	}
	return max(time.Duration(s.mean), at-s.lastAt)
}
