package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/jayproxy/jayproxy/internal/ledger"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
)

func newLedger(t testing.TB, table platform.Table) *ledger.Ledger {
	t.Helper()
	l := ledger.New(table, ledger.Options{Timeout: 500 * time.Millisecond})
	t.Cleanup(l.Close)
	return l
}

func TestADuplicateClaimReportsTheFirstRequest(t *testing.T) {
	table := platformtest.New()
	l := newLedger(t, table)
	claim, err := l.Acquire(t.Context(), "quarry", "k\x00/1", "r1")
	require.NoError(t, err)
	_, err = newLedger(t, table).Acquire(t.Context(), "quarry", "k\x00/1", "r2")
	var duplicate *ledger.DuplicateError
	require.ErrorAs(t, err, &duplicate)
	assert.Equal(t, "r1", duplicate.First.RequestID)
	assert.Equal(t, ledger.StateClaimed, duplicate.First.State)
	_, err = l.Acquire(t.Context(), "other", "k\x00/1", "r3")
	require.NoError(t, err, "keys of different workspaces are independent")

	require.NoError(t, l.Complete(t.Context(), claim))
	_, err = l.Acquire(t.Context(), "quarry", "k\x00/1", "r4")
	require.ErrorAs(t, err, &duplicate)
	assert.Equal(t, ledger.StateDone, duplicate.First.State)
	require.Error(t, l.Release(t.Context(), claim), "a completed claim must not be released")
}

func TestAReleasedKeyMayBeClaimedAgain(t *testing.T) {
	l := newLedger(t, platformtest.New())
	claim, err := l.Acquire(t.Context(), "quarry", "k", "r1")
	require.NoError(t, err)
	require.NoError(t, l.Release(t.Context(), claim))
	_, err = l.Acquire(t.Context(), "quarry", "k", "r2")
	require.NoError(t, err)
}

// Guards against calls without a claim, which could run twice, during an outage
// of the platform. They must be refused quickly.
func TestNoClaimWhileTheTableIsDown(t *testing.T) {
	table := platformtest.New()
	table.SetDown(true)
	l := newLedger(t, table)
	began := time.Now()
	_, err := l.Acquire(t.Context(), "quarry", "k", "r1")
	require.ErrorIs(t, err, ledger.ErrUnavailable)
	assert.Less(t, time.Since(began), 400*time.Millisecond)
	table.SetDown(false)
	require.Eventually(t, func() bool {
		_, err := l.Acquire(t.Context(), "quarry", "k", "r2")
		return err == nil
	}, time.Second, time.Millisecond, "the refused call left a claim")
}

// Guards against a slow commit that leaves a claim after the call was refused:
// a retry would be refused as a duplicate of a call that never ran.
func TestAClaimWrittenAfterItsCallWasRefusedIsDeleted(t *testing.T) {
	table := &slowTable{Table: platformtest.New(), hold: make(chan struct{})}
	l := newLedger(t, table)
	_, err := l.Acquire(t.Context(), "quarry", "k", "r1")
	require.ErrorIs(t, err, ledger.ErrUnavailable)
	close(table.hold)
	require.Eventually(t, func() bool {
		_, err := l.Acquire(t.Context(), "quarry", "k", "r2")
		return err == nil
	}, 2*time.Second, 5*time.Millisecond)
}

// slowTable blocks its first commit until hold is closed.
type slowTable struct {
	platform.Table
	hold  chan struct{}
	first atomic.Bool
}

func (s *slowTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if s.first.CompareAndSwap(false, true) {
		<-s.hold
	}
	return s.Table.Commit(ctx, txn)
}

// rateLimitedTable is a table with a write rate limit and a round-trip time. It
// refuses writes beyond the limit, as the platform does.
type rateLimitedTable struct {
	platform.Table
	limit   *rate.Limiter
	refused atomic.Int64
	commits atomic.Int64
}

func newRateLimitedTable(writes float64) *rateLimitedTable {
	return &rateLimitedTable{Table: platformtest.New(), limit: rate.NewLimiter(rate.Limit(writes), int(writes/10))}
}

func (r *rateLimitedTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	const roundTrip = 2 * time.Millisecond
	select {
	case <-time.After(roundTrip):
	case <-ctx.Done():
		return platform.TxnResult{}, platform.ErrUnknown
	}
	if !r.limit.Allow() {
		r.refused.Add(1)
		return platform.TxnResult{}, platform.ErrUnavailable
	}
	r.commits.Add(1)
	return r.Table.Commit(ctx, txn)
}

// Guards against claims limited to one per write: four entries that share
// 300 writes/s must acquire at least ten claims per write.
func TestGroupCommitAcquiresManyClaimsPerWrite(t *testing.T) {
	const writes, entries, callers, seconds = 300, 4, 150, 2
	table := newRateLimitedTable(writes)
	var acquired, failed atomic.Int64
	ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for e := range entries {
		l := newLedger(t, table)
		for c := range callers {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					id := fmt.Sprintf("%d-%d-%d", e, c, n)
					if _, err := l.Acquire(t.Context(), "quarry", id, id); err != nil {
						failed.Add(1)
						continue
					}
					acquired.Add(1)
				}
			})
		}
	}
	wg.Wait()
	perSecond := float64(acquired.Load()) / seconds
	t.Logf("%.0f claims/s acquired, %.1f claims/s failed, limit %d writes/s (%.0f writes/s committed, %.0f writes/s refused by the table)",
		perSecond, float64(failed.Load())/seconds, writes, float64(table.commits.Load())/seconds, float64(table.refused.Load())/seconds)
	assert.Greater(t, perSecond, 10.0*writes)
	assert.Less(t, float64(failed.Load()), 0.01*float64(acquired.Load()))
}
