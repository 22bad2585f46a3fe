package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/ledger"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
)

// Guards against a call that runs again later: the table came back from a copy without its
// claim while it ran.
func TestCompletedCallIsRecordedThoughItsClaimWasLost(t *testing.T) {
	table := platformtest.New()
	table.Save()
	l := newLedger(t, table)
	claim, err := l.Acquire(t.Context(), "quarry", "k", "r1")
	require.NoError(t, err)
	table.Restore()
	require.NoError(t, l.Complete(t.Context(), claim))
	_, err = l.Acquire(t.Context(), "quarry", "k", "r2")
	var duplicate *ledger.DuplicateError
	require.ErrorAs(t, err, &duplicate)
	assert.Equal(t, "r1", duplicate.First.RequestID)
	assert.Equal(t, ledger.StateDone, duplicate.First.State)
}

// Guards against a claim that can't be completed or released, as its row has a new version
// after the table came back from a copy.
func TestClaimIsUpdatedAfterTheTableCameBack(t *testing.T) {
	table := platformtest.New()
	l := newLedger(t, table)
	completed, err := l.Acquire(t.Context(), "quarry", "completed", "r1")
	require.NoError(t, err)
	released, err := l.Acquire(t.Context(), "quarry", "released", "r2")
	require.NoError(t, err)
	table.Save()
	table.Restore()
	require.NoError(t, l.Complete(t.Context(), completed))
	require.NoError(t, l.Release(t.Context(), released))
	_, err = l.Acquire(t.Context(), "quarry", "released", "r3")
	require.NoError(t, err)
	require.Error(t, l.Release(t.Context(), completed), "a completed claim must not be released")
}

// Guards against a claim of another request that is overwritten: the key was claimed again
// after the first claim was lost.
func TestLaterClaimIsNotOverwritten(t *testing.T) {
	table := platformtest.New()
	table.Save()
	l := newLedger(t, table)
	claim, err := l.Acquire(t.Context(), "quarry", "k", "r1")
	require.NoError(t, err)
	table.Restore()
	_, err = l.Acquire(t.Context(), "quarry", "k", "r2")
	require.NoError(t, err, "the claim is lost: it can't be kept")
	require.Error(t, l.Complete(t.Context(), claim))
	require.Error(t, l.Release(t.Context(), claim))
}
