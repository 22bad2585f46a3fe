package spread

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

// For any sequence of changes and snapshots, the delta to a peer at any older generation
// leads to the generation in force.
func TestDeltaBringsAnyPeerForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log changeLog
		table := catalog.Build(&jayv1.Snapshot{})
		for _, step := range rapid.SliceOfN(rapid.IntRange(-3, 4), 1, 20).Draw(t, "steps") {
			delta := &jayv1.CatalogDelta{}
			if step < 0 {
				delta.Snapshot = &jayv1.Snapshot{Generation: table.Generation() + uint64(-step)}
			}
			for g := max(table.Generation(), delta.GetSnapshot().GetGeneration()) + 1; step > 0; step-- {
				delta.Changes = append(delta.Changes, &jayv1.Change{Generation: g})
				g++
			}
			next, err := table.ApplyDelta(delta)
			require.NoError(t, err)
			table = next
			log.record(delta, table)
			peer := catalog.Build(&jayv1.Snapshot{Generation: rapid.Uint64Range(0, table.Generation()).Draw(t, "peer")})
			forward, err := peer.ApplyDelta(log.since(peer.Generation(), table))
			require.NoError(t, err)
			require.Equal(t, table.Generation(), forward.Generation())
		}
	})
}
