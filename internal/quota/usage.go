package quota

import "time"

// usageSlots is the number of slots that a window is divided into.
const usageSlots = 16

// usage counts units over a sliding window. It counts a unit for up to one slot longer
// than the window, never shorter.
type usage struct {
	slots [usageSlots + 1]float64
	sum   float64
	// last is the number of the newest slot, counted since the zero time.
	last int64
}

func slotOf(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / max(int64(window)/usageSlots, 1)
}

// advance drops the slots that are out of the window.
func (u *usage) advance(now time.Time, window time.Duration) {
	current := slotOf(now, window)
	if current-u.last > usageSlots {
		*u = usage{last: current}
		return
	}
	for u.last < current {
		u.last++
		i := u.last % (usageSlots + 1)
		u.sum -= u.slots[i]
		u.slots[i] = 0
	}
}

// add counts n units at now; n is negative for units that were not used after all.
func (u *usage) add(now time.Time, window time.Duration, n float64) {
	u.advance(now, window)
	u.slots[u.last%(usageSlots+1)] += n
	u.sum += n
}

// total returns the units used in the window that ends at now.
func (u *usage) total(now time.Time, window time.Duration) float64 {
	u.advance(now, window)
	return max(u.sum, 0)
}

// until returns how long it takes until at least n of the units used have left the
// window.
func (u *usage) until(now time.Time, window time.Duration, n float64) time.Duration {
	u.advance(now, window)
	slot := window / usageSlots
	inSlot := time.Duration(now.UnixNano() % max(int64(slot), 1))
	for age := int64(usageSlots); age >= 0; age-- {
		i := ((u.last-age)%(usageSlots+1) + usageSlots + 1) % (usageSlots + 1)
		n -= u.slots[i]
		if n <= 0 {
			return time.Duration(usageSlots-age+1)*slot - inSlot
		}
	}
	return window + slot
}
