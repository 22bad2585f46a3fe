package lease_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
)

var shortSettings = lease.Settings{TTL: 2 * time.Second, Margin: 200 * time.Millisecond, Renew: 200 * time.Millisecond, Watch: 100 * time.Millisecond}

// slowTable carries commits out at once and delays its answers.
type slowTable struct {
	*platformtest.Memory
	delay   atomic.Int64
	commits chan platform.Txn
}

func (s *slowTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	result, err := s.Memory.Commit(ctx, txn)
	select {
	case s.commits <- txn:
	default:
	}
	select {
	case <-ctx.Done():
		return platform.TxnResult{}, platform.ErrUnknown
	case <-time.After(time.Duration(s.delay.Load())):
		return result, err
	}
}

// isFree reports whether the row is marked as released.
func isFree(t *testing.T, table platform.Table) bool {
	t.Helper()
	rows, err := table.Get(t.Context(), lease.KeyPrefix+"l")
	require.NoError(t, err)
	require.Len(t, rows, 1)
	var row struct {
		Free bool `json:"free"`
	}
	require.NoError(t, json.Unmarshal(rows[0].Value, &row))
	return row.Free
}

func heldBy(k *lease.Keeper) func() bool {
	return func() bool { _, held := k.Held(); return held }
}

// Guards against a lease that is not released, and blocks the next holder until it
// expires, because its holder stopped during a renewal.
func TestALeaseIsReleasedDuringARenewal(t *testing.T) {
	table := &slowTable{Memory: platformtest.New(), commits: make(chan platform.Txn, 1)}
	k := lease.Keep(t.Context(), table, "l", "a", shortSettings, lease.BootClock)
	require.Eventually(t, heldBy(k), 2*time.Second, 5*time.Millisecond)
	table.delay.Store(int64(100 * time.Millisecond))
	select {
	case <-table.commits:
	default:
	}
	<-table.commits // the renewal is committed, its answer delayed
	k.Close(t.Context())
	assert.True(t, isFree(t, table))
}

// Guards against a lease that is not released because the answer to its last
// renewal was lost.
func TestALeaseIsReleasedAfterALostAnswer(t *testing.T) {
	table := platformtest.New()
	k := lease.Keep(t.Context(), table, "l", "a", shortSettings, lease.BootClock)
	require.Eventually(t, heldBy(k), 2*time.Second, 5*time.Millisecond)
	lost := make(chan struct{})
	table.OnCommit(func(platform.Txn) platformtest.Fault {
		select {
		case <-lost:
			return platformtest.Pass
		default:
			close(lost)
			return platformtest.LostAnswer
		}
	})
	<-lost
	k.Close(t.Context())
	assert.True(t, isFree(t, table))
}

// Guards against a Close that blocks while the store does not answer.
func TestCloseDoesNotWaitForTheStore(t *testing.T) {
	table := &slowTable{Memory: platformtest.New(), commits: make(chan platform.Txn, 1)}
	k := lease.Keep(t.Context(), table, "l", "a", shortSettings, lease.BootClock)
	require.Eventually(t, heldBy(k), 2*time.Second, 5*time.Millisecond)
	table.delay.Store(int64(time.Minute))
	select {
	case <-table.commits:
	default:
	}
	<-table.commits
	begun := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
	defer cancel()
	k.Close(ctx)
	assert.Less(t, time.Since(begun), 2*time.Second)
}

// Guards against a Close that never returns because the write that releases the lease is not
// answered.
func TestCloseReturnsWhenTheReleaseIsNotAnswered(t *testing.T) {
	table := &slowTable{Memory: platformtest.New(), commits: make(chan platform.Txn, 1)}
	k := lease.Keep(t.Context(), table, "l", "a", shortSettings, lease.BootClock)
	require.Eventually(t, heldBy(k), 2*time.Second, 5*time.Millisecond)
	table.delay.Store(int64(time.Minute))
	begun := time.Now()
	k.Close(t.Context())
	assert.Less(t, time.Since(begun), 5*time.Second)
}

// stuckTable ignores that the context of a commit ends.
type stuckTable struct {
	*platformtest.Memory
	stuck atomic.Bool
	end   chan struct{}
}

func (s *stuckTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if s.stuck.Load() {
		<-s.end
		return platform.TxnResult{}, platform.ErrUnknown
	}
	return s.Memory.Commit(ctx, txn)
}

// Guards against a Close that waits for a renewal which does not return when it is canceled.
func TestCloseReturnsWhileARenewalIsStuck(t *testing.T) {
	table := &stuckTable{Memory: platformtest.New(), end: make(chan struct{})}
	defer close(table.end)
	k := lease.Keep(t.Context(), table, "l", "a", shortSettings, lease.BootClock)
	require.Eventually(t, heldBy(k), 2*time.Second, 5*time.Millisecond)
	table.stuck.Store(true)
	time.Sleep(2 * shortSettings.Renew)
	closed := make(chan struct{})
	go func() {
		k.Close(t.Context())
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		assert.Fail(t, "Close has not returned")
	}
}
