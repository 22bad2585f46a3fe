package spread

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

// Whatever mix of changes and snapshots brought a process forward, a peer at
// any older generation gets from it what leads to the same generation.
func TestLogBringsAnyPeerForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log changeLog
		table := catalog.Build(&jayv1.Snapshot{})
		for _, jump := range rapid.SliceOfN(rapid.IntRange(-3, 4), 1, 20).Draw(t, "steps") {
			delta := &jayv1.CatalogDelta{}
			if jump < 0 {
				delta.Snapshot = &jayv1.Snapshot{Generation: table.Generation() + uint64(-jump)}
			}
			for g := max(table.Generation(), delta.GetSnapshot().GetGeneration()) + 1; jump > 0; jump-- {
				delta.Changes = append(delta.Changes, &jayv1.Change{Generation: g})
				g++
			}
			next, err := table.ApplyDelta(delta)
			require.NoError(t, err)
			table = next
			log.follow(delta, table)
			peer := catalog.Build(&jayv1.Snapshot{Generation: rapid.Uint64Range(0, table.Generation()).Draw(t, "peer")})
			forward, err := peer.ApplyDelta(log.since(peer.Generation(), table))
			require.NoError(t, err)
			require.Equal(t, table.Generation(), forward.Generation())
		}
	})
}
