package agent

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a chunk that is evicted although the reader of the current link lacks it: a
// replaced link may still deliver an acknowledgement.
func TestAcknowledgementOfAReplacedLinkIsIgnored(t *testing.T) {
	const chunks, chunkBytes = 4, 1000
	r := newResponseBuffer((chunks + 1) * chunkBytes)
	chunk := make([]byte, chunkBytes)
	replaced, err := r.attach(0)
	require.NoError(t, err)
	for range chunks {
		require.NoError(t, r.append(t.Context(), chunk, 0))
		r.next(replaced)
	}
	current, err := r.attach(1)
	require.NoError(t, err)
	for range chunks - 1 {
		require.NotNil(t, r.next(current).frame)
	}
	r.ack(replaced, chunks)
	require.ErrorIs(t, r.append(t.Context(), chunk, 0), errSlowReader)
	r.ack(current, chunks)
	require.NoError(t, r.append(t.Context(), chunk, 0))
}
