package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/retry"
)

var bucketStart = time.Unix(1000, 0)

func bucketLimits() retry.Limits {
	return retry.Limits{Span: 10 * time.Second, Ratio: 0.2, Slack: 12}
}

// filledBucket returns a bucket after one window with the given number of requests.
func filledBucket(requests int) (b *retry.Bucket, now time.Time) {
	b = retry.NewBucket(bucketStart, bucketLimits())
	for i := range requests {
		b.Request(bucketStart.Add(time.Duration(i) * 10 * time.Second / time.Duration(requests)))
	}
	return b, bucketStart.Add(9999 * time.Millisecond)
}

// takeAll takes all retries that are allowed now.
func takeAll(b *retry.Bucket, now time.Time) (taken int) {
	for b.Take(now, time.Minute, 0) {
		b.Sent()
		taken++
	}
	return taken
}

// Guards against requests that fail without a retry when many servers crash at once: what was
// saved up can be used at once, and more as it is earned.
func TestABurstOfRetriesMayUseWhatWasSavedUp(t *testing.T) {
	const requests = 240
	b, now := filledBucket(requests)
	window := 0.2*requests + 12
	assert.InDelta(t, 0.3*window, takeAll(b, now), 2)
	assert.False(t, b.Take(now, time.Minute, 0))
	taken := 0
	for i := range requests {
		at := now.Add(time.Duration(i) * 10 * time.Second / requests)
		b.Request(at)
		taken += takeAll(b, at)
	}
	assert.InDelta(t, 0.6*window, taken, 2)
}

func TestNoRetryThatCannotEndInTime(t *testing.T) {
	b, now := filledBucket(240)
	assert.False(t, b.Take(now, time.Second, 2*time.Second))
	assert.True(t, b.Take(now, time.Second, time.Millisecond))
}

// Guards against a process that may use its part of the budget again after each start.
func TestABucketStartsEmpty(t *testing.T) {
	b := retry.NewBucket(bucketStart, bucketLimits())
	assert.Zero(t, takeAll(b, bucketStart))
	assert.Zero(t, takeAll(b, bucketStart.Add(time.Second)), "0.72 of the slack are earned in a second")
	assert.Equal(t, 1, takeAll(b, bucketStart.Add(2*time.Second)))
}

// Guards against a system that refuses the first failures after it has been set up, and
// against one that has what it saved up again later.
func TestAFirstLifeStartsWithWhatCanBeSavedUp(t *testing.T) {
	b := retry.NewFullBucket(bucketStart, bucketLimits())
	assert.Equal(t, 3, takeAll(b, bucketStart), "0.3 of the slack")
	sharing, listing := retry.NewFirstSharing(), retry.Listing{Listed: true, Processes: 4}
	assert.InDelta(t, 0.25, sharing.Part(bucketStart, listing), 1e-9)
	assert.Zero(t, sharing.Part(bucketStart, retry.Listing{}))
	assert.Zero(t, sharing.Part(bucketStart, listing), "it settles like any other")
}

// Guards against retries that a step of the clock allows again.
func TestAClockThatGoesBackAllowsNothing(t *testing.T) {
	b, now := filledBucket(240)
	takeAll(b, now)
	assert.Zero(t, takeAll(b, now.Add(-5*time.Second)))
	assert.Zero(t, takeAll(b, now))
}

// Guards against retries of two windows in one: those that wait for a server are sent together
// with those that were allowed later.
func TestRetriesThatWaitAreNotSavedUpAgain(t *testing.T) {
	b, now := filledBucket(240)
	waiting := 0
	for b.Take(now, time.Minute, 0) {
		waiting++
	}
	for range 240 {
		now = now.Add(10 * time.Second / 240)
		b.Request(now)
	}
	assert.Zero(t, takeAll(b, now), "%d retries wait", waiting)
	for range waiting {
		b.Sent()
	}
	for i := range 240 {
		b.Request(now.Add(time.Duration(i) * 10 * time.Second / 240))
	}
	assert.Positive(t, takeAll(b, now.Add(10*time.Second)))
}

// Guards against retries that are lost to the budget without a send.
func TestARetryThatIsNotSentIsAvailableAgain(t *testing.T) {
	b, now := filledBucket(240)
	before := b.Usage(now).Available
	assert.True(t, b.Take(now, time.Minute, 0))
	b.Sent()
	b.Unsent()
	assert.InDelta(t, before-1, b.Usage(now).Available, 1e-9)
	b.Return(now)
	assert.InDelta(t, before, b.Usage(now).Available, 1e-9)
	assert.Zero(t, b.Usage(now).Waiting)
}

// mostRetries returns the most retries that a window may hold: what was saved up before it, and
// what was earned in it.
func mostRetries(l retry.Limits, before, within int) float64 {
	return 0.3*(l.Ratio*float64(before)+l.Slack) + 0.6*(l.Ratio*float64(within)+l.Slack)
}

// No window holds more retries than the guarantee of Bucket, whenever its process ends and
// starts again.
func TestNoWindowHoldsTooManyRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits, now := bucketLimits(), bucketStart
		b := retry.NewBucket(now, limits)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 600).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			switch n := rapid.IntRange(0, 40).Draw(t, "event"); {
			case n == 0:
				b = retry.NewBucket(now, limits)
			case n < 20:
				b.Request(now)
				requests = append(requests, now)
			case b.Take(now, time.Minute, 0):
				b.Sent()
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			from := end.Add(-limits.Span)
			most := mostRetries(limits, between(requests, from.Add(-limits.Span), from), between(requests, from, end))
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
