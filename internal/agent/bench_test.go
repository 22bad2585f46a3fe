package agent_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
)

// BenchmarkHandoff runs a complete attempt over QUIC on loopback: offer, reply,
// body, chunks and end, with an engine that responds at once.
func BenchmarkHandoff(b *testing.B) {
	for _, chunks := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("chunks=%d", chunks), func(b *testing.B) {
			fix := newFixture(b, nil)
			list := make([]string, chunks)
			fix.engine.set(func(f *fakeEngine) { f.script = wordEvents(list...) })
			for i := range list {
				list[i] = "a token of text"
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s, err := fix.entry.Open(b.Context(), fix.agent.Address(), keys.RoleAgent)
				require.NoError(b, err)
				send(b, s, offerFrame(modelOffer(fmt.Sprint("r", i))))
				require.True(b, receive(b, s).GetOfferReply().GetAccepted())
				send(b, s, bodyFrame("{}", true))
				got := readResponse(b, s)
				require.Equal(b, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome())
			}
		})
	}
}
