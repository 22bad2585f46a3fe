package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/retry"
)

var windowStart = time.Unix(1000, 0)

func windowLimits() retry.Limits {
	return retry.Limits{Span: 10 * time.Second, Ratio: 0.14, Slack: 8}
}

// Guards against requests that fail without a retry when many servers crash at
// once: the window must allow all of its retries in a burst.
func TestABurstOfRetriesMayUseTheWholeWindow(t *testing.T) {
	w := retry.NewWindow(windowLimits())
	for i := range 240 {
		w.Request(windowStart.Add(time.Duration(i) * 40 * time.Millisecond))
	}
	now := windowStart.Add(9600 * time.Millisecond)
	allowed := 0
	for w.Allow(now, now.Add(time.Minute), 0) {
		allowed++
	}
	assert.InDelta(t, 0.14*240+8, allowed, 2)
	assert.False(t, w.Allow(now.Add(5*time.Second), now.Add(time.Minute), 0), "the retries are still within the window")
	assert.True(t, w.Allow(now.Add(11*time.Second), now.Add(time.Minute), 0), "the retries have left the window")
}

func TestNoRetryThatCannotEndInTime(t *testing.T) {
	w := retry.NewWindow(windowLimits())
	assert.False(t, w.Allow(windowStart, windowStart.Add(time.Second), 2*time.Second))
	assert.True(t, w.Allow(windowStart, windowStart.Add(time.Second), time.Millisecond))
}

// No span of the window's length that ends with a retry contains more retries than
// its requests allow.
func TestNoWindowHoldsTooManyRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, limits := retry.NewWindow(windowLimits()), windowLimits()
		now := windowStart
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.Request(now)
				requests = append(requests, now)
			} else if w.Allow(now, now.Add(time.Minute), 0) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			from := end.Add(-limits.Span)
			most := limits.Ratio*float64(between(requests, from, end)) + limits.Slack
			if got := float64(between(retries, from, end)); got > most {
				t.Fatalf("%v retries in a window, %v allowed", got, most)
			}
		}
	})
}

func between(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && !at.After(to) {
			n++
		}
	}
	return n
}
