package catalogstore_test

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/catalogstore"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
)

// Guards against an example deployment that is not accepted, or that makes a new
// generation when it is applied again.
func TestExamplesAreAcceptedOnce(t *testing.T) {
	for _, folder := range []string{"association", "darovnica"} {
		t.Run(folder, func(t *testing.T) {
			memory := platformtest.New()
			store := catalogstore.New(memory, memory, catalogstore.Options{Check: catalog.Check})
			resources, found, err := catalog.LoadDir(filepath.Join("..", "..", "examples", folder))
			require.NoError(t, err)
			require.Empty(t, found)
			proposal := catalogstore.Proposal{ChangeID: "first", Edit: func(table *catalog.Table) (catalog.Difference, error) {
				return catalog.Diff(table, resources, true), nil
			}}
			accepted, err := store.Accept(t.Context(), proposal)
			require.NoError(t, err)
			assert.Equal(t, uint64(1), accepted.Generation)
			proposal.ChangeID = "again"
			accepted, err = store.Accept(t.Context(), proposal)
			require.NoError(t, err)
			assert.Equal(t, uint64(1), accepted.Generation, "applying the same resources again makes no generation")
			table, err := store.Load(t.Context())
			require.NoError(t, err)
			assert.Len(t, table.Snapshot().GetResources(), len(resources))
		})
	}
}
