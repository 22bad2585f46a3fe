package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/retry"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

// Guards against retries that multiply the load of a fleet in which every request
// fails: the budget allows the burst and then nothing.
func TestAFailingFleetGetsNoMoreThanTheBurst(t *testing.T) {
	b := retry.NewBudget(0.1, 5)
	now := time.Unix(0, 0)
	allowed := 0
	for range 1000 {
		if b.Allow(now, now.Add(time.Minute), time.Millisecond) {
			allowed++
		}
	}
	assert.Equal(t, 5, allowed)
}

func TestNoRetryPastTheDeadline(t *testing.T) {
	b := retry.NewBudget(0.1, 5)
	now := time.Unix(0, 0)
	assert.False(t, b.Allow(now, now.Add(time.Millisecond), 2*time.Millisecond))
	assert.InDelta(t, 5, b.Tokens(), 0)
}

func TestRetriesNeverExceedTheShareOfSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		burst := rapid.Float64Range(0, 10).Draw(t, "burst")
		b := retry.NewBudget(share, burst)
		now := time.Unix(0, 0)
		successes, retries := 0, 0
		for _, failed := range rapid.SliceOf(rapid.Bool()).Draw(t, "failed") {
			if !failed {
				b.Succeeded()
				successes++
			} else if b.Allow(now, now.Add(time.Second), 0) {
				retries++
			}
			if float64(retries) > burst+share*float64(successes)+1e-9 {
				t.Fatalf("%d retries after %d successes", retries, successes)
			}
		}
	})
}
