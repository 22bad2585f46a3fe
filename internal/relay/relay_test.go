package relay_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/relay"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

const maxBufferBytes = 600

// stream is a sender, a receiver and the link between them.
type stream struct {
	buffer   *relay.Buffer
	receiver relay.Receiver
	// produced is what the sender appended, received what the receiver accepted, in order.
	produced, received []string
	// inFlight holds chunks that were sent and have not arrived.
	inFlight []uint64
}

// The received response is complete over a link that is cut at any time, loses chunks in flight
// and duplicates chunks.
func TestStreamIsCompleteOverUnreliableLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &stream{buffer: relay.NewBuffer(maxBufferBytes), produced: []string{}, received: []string{}}
		steps := s.steps()
		t.Repeat(steps)
		for s.buffer.Count() > s.receiver.Next() { // a final link without faults
			require.NoError(t, s.buffer.Resume(s.receiver.Next()))
			s.inFlight = nil
			for {
				seq, data, ok := s.buffer.Next()
				if !ok {
					break
				}
				s.arrive(t, seq, data)
			}
		}
		require.NoError(t, s.receiver.End(s.buffer.Count()))
		require.Equal(t, s.produced, s.received)
	})
}

func (s *stream) arrive(t *rapid.T, seq uint64, data []byte) {
	fresh, err := s.receiver.Accept(seq)
	require.NoError(t, err)
	if fresh {
		s.received = append(s.received, string(data))
	}
}

func (s *stream) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"append": func(t *rapid.T) {
			text := fmt.Sprintf("%d:%s", len(s.produced), rapid.StringN(0, 100, 100).Draw(t, "text"))
			if err := s.buffer.Append([]byte(text)); err != nil {
				require.ErrorIs(t, err, relay.ErrFull)
				return
			}
			s.produced = append(s.produced, text)
		},
		"send": func(t *rapid.T) {
			if seq, _, ok := s.buffer.Next(); ok {
				s.inFlight = append(s.inFlight, seq)
			}
		},
		"arrive": func(t *rapid.T) {
			if len(s.inFlight) == 0 {
				t.Skip("no chunk in flight")
			}
			seq := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			s.arrive(t, seq, []byte(s.produced[seq]))
			if rapid.Bool().Draw(t, "duplicated") {
				s.arrive(t, seq, []byte(s.produced[seq]))
			}
		},
		"ack": func(*rapid.T) { s.buffer.Ack(s.receiver.Next()) },
		"cut": func(t *rapid.T) {
			s.inFlight = nil
			require.NoError(t, s.buffer.Resume(s.receiver.Next()))
		},
		"": func(t *rapid.T) {
			require.LessOrEqual(t, s.buffer.Bytes(), maxBufferBytes)
			require.Equal(t, s.produced[:len(s.received)], s.received)
		},
	}
}

func TestResumeRejectsUnavailableChunks(t *testing.T) {
	b := relay.NewBuffer(200)
	for range 3 {
		require.NoError(t, b.Append(make([]byte, 10)))
		b.Next()
	}
	require.ErrorIs(t, b.Append(make([]byte, 10)), relay.ErrFull)
	b.Ack(99)
	require.ErrorIs(t, b.Append(make([]byte, 10)), relay.ErrFull, "an acknowledgement of chunks that were never sent is ignored")
	b.Ack(2)
	require.NoError(t, b.Append(make([]byte, 10)))
	require.ErrorIs(t, b.Resume(0), relay.ErrEvicted)
	require.ErrorIs(t, b.Resume(9), relay.ErrAhead)
	require.NoError(t, b.Resume(2))
}

// Guards against an evicted chunk that a caller lacks: a resume acknowledges nothing, and makes the
// chunks from there on needed again.
func TestResumeAcknowledgesNothing(t *testing.T) {
	const chunks = 4
	chunk := make([]byte, 10)
	full := func() *relay.Buffer {
		b := relay.NewBuffer(chunks * (len(chunk) + 48))
		for range chunks {
			require.NoError(t, b.Append(chunk))
			b.Next()
		}
		return b
	}
	reconnected := full()
	require.NoError(t, reconnected.Resume(chunks))
	require.ErrorIs(t, reconnected.Append(chunk), relay.ErrFull)
	require.NoError(t, reconnected.Resume(1), "the caller comes back")

	back := full()
	back.Ack(3)
	require.NoError(t, back.Resume(1))
	require.NoError(t, back.Append(chunk), "chunk 0 is acknowledged")
	require.ErrorIs(t, back.Append(chunk), relay.ErrFull, "chunk 1 is needed again")
	seq, _, ok := back.Next()
	require.True(t, ok)
	require.EqualValues(t, 1, seq)
}

// A truncated response must not be taken for a complete one when the last chunks are lost and the
// end still arrives.
func TestReceiverDetectsMissingChunks(t *testing.T) {
	var r relay.Receiver
	fresh, err := r.Accept(0)
	require.NoError(t, err)
	assert.True(t, fresh)
	fresh, err = r.Accept(0)
	require.NoError(t, err)
	assert.False(t, fresh)
	_, err = r.Accept(2)
	require.ErrorIs(t, err, relay.ErrGap)
	require.ErrorIs(t, r.End(2), relay.ErrCount)
	require.NoError(t, r.End(1))
}

func TestClaimNeedsWorkspaceAndNonce(t *testing.T) {
	claim := relay.Claim{Workspace: "w", Nonce: []byte("n")}
	assert.True(t, claim.Matches(relay.Claim{Workspace: "w", Nonce: []byte("n")}))
	assert.False(t, claim.Matches(relay.Claim{Workspace: "x", Nonce: []byte("n")}))
	assert.False(t, claim.Matches(relay.Claim{Workspace: "w", Nonce: []byte("m")}))
	empty := relay.Claim{Workspace: "w"}
	assert.False(t, empty.Matches(empty))
}

// FuzzOrigin feeds arbitrary events: only those of the request, in order and once each, of one
// incarnation and version, are delivered.
func FuzzOrigin(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 2, 0})    // valid
	f.Add([]byte{0, 0, 1, 1, 1, 0})    // other request
	f.Add([]byte{0, 0, 0, 0, 1, 0})    // duplicate
	f.Add([]byte{0, 0, 2, 0, 1, 0})    // missing event
	f.Add([]byte{0, 0, 1, 0x40, 1, 0}) // other incarnation
	f.Add([]byte{0, 0, 1, 2, 1, 0})    // other version
	f.Fuzz(func(t *testing.T, script []byte) {
		o := relay.NewOrigin("r", "")
		want := uint64(0)
		for i := 0; i+1 < len(script); i += 2 {
			event := engine.Event{
				RequestID: "r", Index: uint64(script[i]), Incarnation: uint64(script[i+1] >> 6),
				VersionDigest: fmt.Sprint(script[i+1] >> 1 & 1),
			}
			if script[i+1]&1 == 1 {
				event.RequestID = "other"
			}
			verdict, err := o.Check(event)
			if err != nil {
				return
			}
			if verdict != relay.Deliver {
				continue
			}
			require.Equal(t, "r", event.RequestID)
			require.Equal(t, want, event.Index)
			require.Equal(t, o.Incarnation(), event.Incarnation)
			require.Equal(t, o.VersionDigest(), event.VersionDigest)
			want++
		}
	})
}

// Guards against a stream that stands still: what is held back for a resume must leave space in the
// sender's buffer, whatever the size of the chunks.
func TestHeldBackChunksDoNotFillTheBuffer(t *testing.T) {
	limits := relay.AckLimits{EveryChunks: 32, EveryBytes: 64 << 10, HeldChunks: 4096, HeldBytes: 512 << 10}
	const bufferBytes, responseBytes = 1 << 20, 4 << 20
	for _, size := range []int{1, 250, 4 << 10, 64 << 10, 200 << 10} {
		b, acks := relay.NewBuffer(bufferBytes), relay.NewAcks(limits, 0)
		for n := range min(responseBytes/size, 20_000) {
			require.NoError(t, b.Append(make([]byte, size)), "chunk %d of %d bytes", n, size)
			seq, data, ok := b.Next()
			require.True(t, ok)
			if acks.Passed(len(data)) {
				b.Ack(acks.Acked())
			}
			require.LessOrEqual(t, seq+1-acks.Acked(), uint64(limits.HeldChunks+limits.EveryChunks))
		}
	}
}

// Guards against an acknowledgement of chunks that are held back for a caller that resumes.
func TestAcknowledgementsStayBehind(t *testing.T) {
	tests := map[string]struct {
		limits relay.AckLimits
		sizes  []int
		want   []uint64
	}{
		"chunks":                {relay.AckLimits{EveryChunks: 2, EveryBytes: 1 << 20, HeldChunks: 3, HeldBytes: 1 << 20}, []int{1, 1, 1, 1, 1, 1, 1}, []uint64{2, 4}},
		"bytes":                 {relay.AckLimits{EveryChunks: 100, EveryBytes: 1000, HeldChunks: 100, HeldBytes: 2000}, []int{1000, 1000, 1000, 1000}, []uint64{1, 2}},
		"nothing is held back":  {relay.AckLimits{EveryChunks: 2, EveryBytes: 1 << 20}, []int{1, 1, 1, 1, 1}, []uint64{2, 4}},
		"too few for any limit": {relay.AckLimits{EveryChunks: 10, EveryBytes: 1000}, []int{1, 1}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			acks := relay.NewAcks(tt.limits, 0)
			var got []uint64
			for _, size := range tt.sizes {
				if acks.Passed(size) {
					got = append(got, acks.Acked())
				}
			}
			assert.Equal(t, tt.want, got)
		})
	}
}
