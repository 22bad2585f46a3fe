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

var quick = lease.Settings{TTL: 2 * time.Second, Margin: 200 * time.Millisecond, Renew: 200 * time.Millisecond, Watch: 100 * time.Millisecond}

// slowTable carries commits out at once and answers them late, as a store does
// whose answers are on their way.
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

// isFree tells whether the row says that the lease was given back.
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

// Guards against a lease that lapses because its holder stopped during a renewal.
func TestALeaseIsGivenBackDuringARenewal(t *testing.T) {
	table := &slowTable{Memory: platformtest.New(), commits: make(chan platform.Txn, 1)}
	k := lease.Keep(t.Context(), table, "l", "a", quick, lease.BootClock)
	require.Eventually(t, heldBy(k), 2*time.Second, 5*time.Millisecond)
	table.delay.Store(int64(100 * time.Millisecond))
	select {
	case <-table.commits:
	default:
	}
	<-table.commits // the renewal is carried out, its answer on its way
	k.Close(t.Context())
	assert.True(t, isFree(t, table))
}

// Guards against the same where the renewal's answer was lost.
func TestALeaseIsGivenBackAfterALostAnswer(t *testing.T) {
	table := platformtest.New()
	k := lease.Keep(t.Context(), table, "l", "a", quick, lease.BootClock)
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

// Guards against a stop that hangs with the store.
func TestAStopDoesNotWaitForTheStore(t *testing.T) {
	table := &slowTable{Memory: platformtest.New(), commits: make(chan platform.Txn, 1)}
	k := lease.Keep(t.Context(), table, "l", "a", quick, lease.BootClock)
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
