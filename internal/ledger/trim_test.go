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

// After months the table holds a row for every claim there ever was, and
// ranges over it slow down for everybody. Old claims go; young ones, and rows
// that nobody can read, stay: a call under them must not run again.
func TestOldClaimsAreTrimmedAndYoungOnesStay(t *testing.T) {
	memory := platformtest.New()
	clock := time.Unix(1_000_000, 0)
	book := ledger.New(memory, ledger.Options{Now: func() time.Time { return clock }})
	defer book.Close()
	const old = 700
	for i := range old {
		_, err := book.Acquire(t.Context(), "w", fmt.Sprint("old-", i), "r")
		require.NoError(t, err)
	}
	clock = clock.Add(40 * 24 * time.Hour)
	_, err := book.Acquire(t.Context(), "w", "young", "r")
	require.NoError(t, err)
	_, err = memory.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: "claim/w/unreadable", Value: []byte("?")}}})
	require.NoError(t, err)

	trimmer := ledger.NewPruner(memory, 30*24*time.Hour)
	deleted := 0
	for range 4 {
		n, err := trimmer.Step(t.Context(), clock)
		require.NoError(t, err)
		deleted += n
	}
	assert.Equal(t, old, deleted)
	rows, err := memory.Range(context.Background(), "claim/", "", 10)
	require.NoError(t, err)
	assert.Len(t, rows, 2)
	_, err = book.Acquire(t.Context(), "w", "young", "r2")
	var duplicate *ledger.DuplicateError
	require.ErrorAs(t, err, &duplicate)
}

func TestTrimmingWaitsOutAnOutage(t *testing.T) {
	memory := platformtest.New()
	memory.SetDown(true)
	_, err := ledger.NewPruner(memory, time.Hour).Step(t.Context(), time.Unix(0, 0))
	require.ErrorIs(t, err, platform.ErrUnavailable)
}
