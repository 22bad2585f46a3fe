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

const bound = 600

// stream is a sender, a receiver and the link between them.
type stream struct {
	buffer   *relay.Buffer
	receiver relay.Receiver
	// made by the sender, and got at the receiver, in order.
	made, got []string
	// onWire are chunks that were sent and have not arrived.
	onWire []uint64
}

// TestStreamIsWholeOverAnyLink sends an answer over a link that is cut at any
// time, loses what was under way, and doubles chunks.
func TestStreamIsWholeOverAnyLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &stream{buffer: relay.NewBuffer(bound), made: []string{}, got: []string{}}
		steps := s.steps()
		t.Repeat(steps)
		for s.buffer.Count() > s.receiver.Next() { // a last link that holds
			require.NoError(t, s.buffer.Resume(s.receiver.Next()))
			s.onWire = nil
			for {
				seq, data, ok := s.buffer.Next()
				if !ok {
					break
				}
				s.arrive(t, seq, data)
			}
		}
		require.NoError(t, s.receiver.End(s.buffer.Count()))
		require.Equal(t, s.made, s.got)
	})
}

func (s *stream) arrive(t *rapid.T, seq uint64, data []byte) {
	fresh, err := s.receiver.Accept(seq)
	require.NoError(t, err)
	if fresh {
		s.got = append(s.got, string(data))
	}
}

func (s *stream) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"append": func(t *rapid.T) {
			text := fmt.Sprintf("%d:%s", len(s.made), rapid.StringN(0, 100, 100).Draw(t, "text"))
			if err := s.buffer.Append([]byte(text)); err != nil {
				require.ErrorIs(t, err, relay.ErrFull)
				return
			}
			s.made = append(s.made, text)
		},
		"send": func(t *rapid.T) {
			if seq, _, ok := s.buffer.Next(); ok {
				s.onWire = append(s.onWire, seq)
			}
		},
		"arrive": func(t *rapid.T) {
			if len(s.onWire) == 0 {
				t.Skip("nothing is under way")
			}
			seq := s.onWire[0]
			s.onWire = s.onWire[1:]
			s.arrive(t, seq, []byte(s.made[seq]))
			if rapid.Bool().Draw(t, "doubled") {
				s.arrive(t, seq, []byte(s.made[seq]))
			}
		},
		"ack": func(*rapid.T) { s.buffer.Ack(s.receiver.Next()) },
		"cut": func(t *rapid.T) {
			s.onWire = nil
			require.NoError(t, s.buffer.Resume(s.receiver.Next()))
		},
		"": func(t *rapid.T) {
			require.LessOrEqual(t, s.buffer.Bytes(), bound)
			require.Equal(t, s.made[:len(s.got)], s.got)
		},
	}
}

func TestResumeTellsWhatIsNoLongerThere(t *testing.T) {
	b := relay.NewBuffer(200)
	for range 3 {
		require.NoError(t, b.Append(make([]byte, 10)))
		b.Next()
	}
	require.ErrorIs(t, b.Append(make([]byte, 10)), relay.ErrFull)
	b.Ack(99)
	require.ErrorIs(t, b.Append(make([]byte, 10)), relay.ErrFull, "an acknowledgement of what was never sent counts for nothing")
	b.Ack(2)
	require.NoError(t, b.Append(make([]byte, 10)))
	require.ErrorIs(t, b.Resume(0), relay.ErrEvicted)
	require.ErrorIs(t, b.Resume(9), relay.ErrAhead)
	require.NoError(t, b.Resume(2))
}

// A caller takes a shortened answer for a whole one: the last chunks were lost
// and the end still came.
func TestReceiverNoticesWhatIsMissing(t *testing.T) {
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

// FuzzOrigin lets an engine deliver anything: only the events of the request,
// each once and in order, of one boot and version, get through.
func FuzzOrigin(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 2, 0})    // well
	f.Add([]byte{0, 0, 1, 1, 1, 0})    // crossed
	f.Add([]byte{0, 0, 0, 0, 1, 0})    // doubled
	f.Add([]byte{0, 0, 2, 0, 1, 0})    // missing
	f.Add([]byte{0, 0, 1, 0x40, 1, 0}) // another boot
	f.Add([]byte{0, 0, 1, 2, 1, 0})    // another version
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
