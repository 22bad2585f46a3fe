package ledger_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/ledger"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
)

// Guards against a table that grows without bound. Recent claims and rows that
// cannot be decoded must be kept, because their calls must not run again.
func TestExpiredClaimsArePrunedAndRecentOnesKept(t *testing.T) {
	memory := platformtest.New()
	clock := time.Unix(1_000_000, 0)
	claims := ledger.New(memory, ledger.Options{Now: func() time.Time { return clock }})
	defer claims.Close()
	const old = 700
	for i := range old {
		_, err := claims.Acquire(t.Context(), "w", fmt.Sprint("old-", i), "r")
		require.NoError(t, err)
	}
	clock = clock.Add(40 * 24 * time.Hour)
	_, err := claims.Acquire(t.Context(), "w", "young", "r")
	require.NoError(t, err)
	_, err = memory.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: "claim/w/unreadable", Value: []byte("?")}}})
	require.NoError(t, err)

	pruner := ledger.NewPruner(memory, 30*24*time.Hour)
	deleted := 0
	for range 4 {
		n, err := pruner.Step(t.Context(), clock)
		require.NoError(t, err)
		deleted += n
	}
	assert.Equal(t, old, deleted)
	rows, err := memory.Range(context.Background(), "claim/", "", 10)
	require.NoError(t, err)
	assert.Len(t, rows, 2)
	_, err = claims.Acquire(t.Context(), "w", "young", "r2")
	var duplicate *ledger.DuplicateError
	require.ErrorAs(t, err, &duplicate)
}

func TestPruningReportsAnOutage(t *testing.T) {
	memory := platformtest.New()
	memory.SetDown(true)
	_, err := ledger.NewPruner(memory, time.Hour).Step(t.Context(), time.Unix(0, 0))
	require.ErrorIs(t, err, platform.ErrUnavailable)
}
