package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/quota"
)

// isolated returns a borrower that admits from its own part, and the time.
func isolated(entries int) (*quota.Borrower, time.Time) {
	start := time.Unix(1_000_000, 0)
	b := quota.NewBorrower(start, quota.Bounds{Window: 8 * time.Second})
	b.SetEntries(entries)
	return b, start.Add(time.Minute)
}

var tenPerSecond = quota.Cap{Rate: 10, Burst: 20}

// admitAll admits requests of one unit until one is denied.
func admitAll(b *quota.Borrower, now time.Time) (admitted int, retryAfter time.Duration) {
	for {
		verdict, wait := b.Admit(now, 1, tenPerSecond, 1)
		if verdict != quota.Granted {
			return admitted, wait
		}
		admitted++
	}
}

func TestIsolatedEntryAdmitsItsPartOfTheBudget(t *testing.T) {
	b, now := isolated(5)
	admitted, retryAfter := admitAll(b, now)
	assert.Equal(t, 20, admitted, "a fifth of 8 s and the burst")
	again, _ := admitAll(b, now.Add(retryAfter+time.Second))
	assert.Positive(t, again)
	unknown := quota.NewBorrower(now, quota.Bounds{Window: 8 * time.Second})
	verdict, _ := unknown.Admit(now.Add(time.Minute), 1, tenPerSecond, 1)
	assert.Equal(t, quota.Denied, verdict, "an entry that knows no other can't tell its part")
}

// What is proven not to have run is given back; what may run twice counts twice.
func TestReturnedAndRepeatedRequestsCount(t *testing.T) {
	b, now := isolated(5)
	admitAll(b, now)
	b.Return(now.Add(time.Second), now, 1, 3)
	admitted, _ := admitAll(b, now.Add(time.Second))
	assert.Equal(t, 3, admitted)
	b.Return(now.Add(20*time.Second), now, 1, 3)
	b.Charge(now.Add(20*time.Second), 1, 5)
	admitted, _ = admitAll(b, now.Add(20*time.Second))
	assert.Equal(t, 15, admitted, "what left the window is not given back, a second run counts")
}
