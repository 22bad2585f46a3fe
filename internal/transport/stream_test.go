package transport

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
)

// Guards against a stream that ends inside a frame and is taken for one that its peer closed
// after its last frame: an agent then discards the response as delivered.
func TestStreamThatEndsInsideAFrameIsNotClosedInOrder(t *testing.T) {
	authority, err := keys.NewAuthority(time.Hour)
	require.NoError(t, err)
	for name, sent := range map[string][]byte{"after its size": {5}, "in its size": {0x85}, "in its body": {5, 1}} {
		t.Run(name, func(t *testing.T) {
			received := make(chan error, 1)
			server := servingNode(t, authority, keys.RoleAgent, "b1", func(_ context.Context, _ keys.Identity, s *Stream) {
				received <- s.Receive(&jayv1.ClientFrame{})
			})
			client := testNode(t, authority, keys.RoleEntry, "e1")
			stream, err := client.Open(t.Context(), server.Address(), keys.RoleAgent)
			require.NoError(t, err)
			_, err = stream.quic.Write(sent)
			require.NoError(t, err)
			require.NoError(t, stream.CloseSend())
			err = <-received
			assert.NotErrorIs(t, err, io.EOF)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}
