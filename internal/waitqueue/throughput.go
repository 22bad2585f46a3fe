package waitqueue

import (
	"math"
	"time"
)

// throughputWindow is the averaging time of the throughput.
const throughputWindow = time.Second

// throughput measures how fast waiting requests are placed. Only time in which a
// request waited counts.
type throughput struct {
	// placed requests in the seconds spent, both of decreasing weight.
	placed, seconds float64
	// at is the time of the last update; waiting: a request waited from then on.
	at      time.Time
	waiting bool
}

// update counts the requests placed since the last update.
func (t *throughput) update(now time.Time, placed int, waiting bool) {
	elapsed := now.Sub(t.at).Seconds()
	weight := math.Exp(-elapsed / throughputWindow.Seconds())
	t.placed, t.seconds = t.placed*weight, t.seconds*weight
	if t.waiting {
		t.placed += float64(placed)
		t.seconds += elapsed
	}
	t.at, t.waiting = now, waiting
}

// undo takes back one placement.
func (t *throughput) undo() { t.placed = max(t.placed-1, 0) }

// wait returns the expected wait behind a number of requests; 0 as long as nothing was
// measured. It assumes one placement if there was none.
func (t *throughput) wait(ahead int) time.Duration {
	return time.Duration(float64(ahead+1) * t.seconds / max(t.placed, 1) * float64(time.Second))
}
