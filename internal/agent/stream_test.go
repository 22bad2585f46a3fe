package agent_test

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/keys"
)

// Guards against a truncated or repeated response after the stream between entry
// and agent is lost: a new stream resumes at the first missing chunk.
func TestResumeStartsAtFirstMissingChunk(t *testing.T) {
	fix := newFixture(t, nil)
	gate := make(chan struct{}, 10)
	fix.engine.set(func(f *fakeEngine) { f.gate = gate })
	offer := modelOffer("r1")
	s := fix.accepted(offer, "{}")
	gate <- struct{}{}
	gate <- struct{}{}
	assert.Equal(t, "one", string(receive(t, s).GetChunk().GetData()))
	assert.Equal(t, "two", string(receive(t, s).GetChunk().GetData()))
	s.Abort()
	close(gate)

	resumed := fix.open()
	send(t, resumed, resumeFrame(offer, 1))
	got := readResponse(t, resumed)
	assert.Equal(t, []string{"two", "three"}, got.chunks)
	assert.Equal(t, []uint64{1, 2}, got.seqs)
	assert.Equal(t, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome())
	assert.EqualValues(t, 3, got.end.GetCount())
}

// Guards against a workspace that resumes another's response with a known or
// guessed request id.
func TestResumeNeedsTheWorkspaceAndTheNonce(t *testing.T) {
	fix := newFixture(t, nil)
	offer := modelOffer("r1")
	s := fix.accepted(offer, "{}")
	receive(t, s)
	s.Abort()
	tests := map[string]func(*jayv1.Resume){
		"other workspace": func(r *jayv1.Resume) { r.Workspace = "w2" },
		"other nonce":     func(r *jayv1.Resume) { r.Nonce = []byte("guess") },
		"no nonce":        func(r *jayv1.Resume) { r.Nonce = nil },
		"other attempt":   func(r *jayv1.Resume) { r.Attempt = 2 },
		"beyond the end":  func(r *jayv1.Resume) { r.NextSeq = 99 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			frame := resumeFrame(offer, 0)
			change(frame.GetResume())
			resumed := fix.open()
			send(t, resumed, frame)
			got := readResponse(t, resumed)
			assert.Empty(t, got.chunks)
			assert.Equal(t, jayv1.Outcome_OUTCOME_UNKNOWN, got.end.GetOutcome())
			assert.Equal(t, jayv1.Refusal_REFUSAL_NOT_FOUND, got.end.GetRefusal())
		})
	}
}

// Guards against a request that runs on, and a response that stays in memory, after an entry
// canceled it and stopped reading without waiting for the End.
func TestCanceledResponseThatIsNotReadIsDiscarded(t *testing.T) {
	const requests, beyondEnd = 20, 1000
	const wait = 3 * time.Second // Far below the default of replay.retain_ms.
	fix := newFixture(t, nil)
	long := strings.Repeat("x", 64<<10)
	fix.engine.set(func(f *fakeEngine) { f.script = wordEvents(strings.Split(strings.Repeat(long+" ", 40), " ")...) })
	for i := range requests {
		offer := modelOffer(fmt.Sprint("r", i))
		s := fix.accepted(offer, "{}")
		receive(t, s)
		send(t, s, cancelFrame())
		require.NoError(t, s.CloseSend())
		s.Abort()
		require.Eventually(t, func() bool { return len(fix.engine.cancels()) == i+1 }, wait, time.Millisecond, "request %d runs on", i)
		require.Eventually(t, func() bool {
			resumed := fix.open()
			defer resumed.Abort()
			send(t, resumed, resumeFrame(offer, beyondEnd)) // Attaches no reader.
			return strings.HasPrefix(receive(t, resumed).GetEnd().GetError(), "no response is kept")
		}, wait, 10*time.Millisecond, "response %d is kept", i)
	}
}

// Guards against 404 for a caller that resumes at another entry: the entry that it left closes its
// stream after the last frame, while the response is still read on a newer one.
func TestResponseIsKeptForItsNewestReader(t *testing.T) {
	const chunks, chunkBytes, first = 12, 64 << 10, 2 // Far more than the window of a stream.
	fix := newFixture(t, nil)
	list := make([]string, chunks)
	for i := range list {
		list[i] = strings.Repeat("x", chunkBytes)
	}
	fix.engine.set(func(f *fakeEngine) { f.script = wordEvents(list...) })
	offer := modelOffer("r1")
	left := fix.accepted(offer, "{}")
	for receive(t, left).GetEnd() == nil { // To the last frame, without a close.
	}
	resumed := fix.open()
	send(t, resumed, resumeFrame(offer, first))
	require.EqualValues(t, first, receive(t, resumed).GetChunk().GetSeq())
	require.NoError(t, left.CloseSend())
	require.ErrorIs(t, left.Receive(&jayv1.ServerFrame{}), io.EOF)
	time.Sleep(50 * time.Millisecond) // Until the agent has read the close.
	got := readResponse(t, resumed)
	assert.Len(t, got.chunks, chunks-first-1)
	assert.Equal(t, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome())
}

// Guards against 404 for a caller that comes back for events that its entry had read and passed on:
// a reconnect of the entry must not free them.
func TestChunksThatTheCallerMayLackAreKept(t *testing.T) {
	const chunks, chunkBytes, kept, read, lacks = 12, 1000, 6, 4, 1
	fix := newFixture(t, func(s *agent.Settings) { s.Replay.Bytes = kept * chunkBytes })
	list := slices.Repeat([]string{strings.Repeat("x", chunkBytes)}, chunks)
	gate := make(chan struct{}, chunks)
	fix.engine.set(func(f *fakeEngine) { f.script, f.gate = wordEvents(list...), gate })
	offer := modelOffer("r1")
	s := fix.accepted(offer, "{}")
	for range read {
		gate <- struct{}{}
		receive(t, s)
	}
	s.Abort()
	reconnected := fix.open()
	send(t, reconnected, resumeFrame(offer, read))
	for range kept - 1 {
		gate <- struct{}{}
	}
	receive(t, reconnected)
	time.Sleep(50 * time.Millisecond) // Until the buffer is full.
	resumed := fix.open()
	send(t, resumed, resumeFrame(offer, lacks))
	frame := receive(t, resumed)
	require.NotNil(t, frame.GetChunk(), "%v", frame.GetEnd().GetError())
	assert.EqualValues(t, lacks, frame.GetChunk().GetSeq())
}

// Guards against running a request whose body was not completely received; the
// entry reports it as not run.
func TestIncompleteBodyNeverRuns(t *testing.T) {
	interruptions := map[string]func(fix *fixture, offer *jayv1.Offer){
		"stream aborted": func(fix *fixture, offer *jayv1.Offer) {
			s, _ := fix.offer(offer)
			send(t, s, bodyFrame("half", false))
			s.Abort()
		},
		"entry closes its side": func(fix *fixture, offer *jayv1.Offer) {
			s, _ := fix.offer(offer)
			send(t, s, bodyFrame("half", false))
			require.NoError(t, s.CloseSend())
			assert.Equal(t, jayv1.Outcome_OUTCOME_NOT_RUN, readResponse(t, s).end.GetOutcome())
		},
		"body too slow": func(fix *fixture, offer *jayv1.Offer) {
			s, _ := fix.offer(offer)
			require.Error(t, s.Receive(&jayv1.ServerFrame{}))
		},
	}
	for name, interrupt := range interruptions {
		t.Run(name, func(t *testing.T) {
			fix := newFixture(t, func(s *agent.Settings) { s.Queue.BodyMS = 50 })
			interrupt(fix, modelOffer("r1"))
			require.Eventually(t, func() bool { return fix.probe().GetQueued() == 0 }, 5*time.Second, time.Millisecond)
			assert.Empty(t, fix.engine.requests())
		})
	}
}

// Guards against a reader that does not read: neither memory nor time may grow
// without bound, and the response must end in an explicit error.
func TestSlowReaderEndsInAnError(t *testing.T) {
	fix := newFixture(t, func(s *agent.Settings) { s.Replay.Bytes, s.Replay.StallMS = 4096, 50 })
	const count = 4000
	fix.engine.set(func(f *fakeEngine) {
		f.script = wordEvents(strings.Split(strings.Repeat(strings.Repeat("x", 1000)+" ", count), " ")...)
	})
	s := fix.accepted(modelOffer("r1"), "{}")
	require.Eventually(t, func() bool { return len(fix.engine.cancels()) == 1 }, 10*time.Second, time.Millisecond)
	got := readResponse(t, s)
	assert.Equal(t, jayv1.Outcome_OUTCOME_UNKNOWN, got.end.GetOutcome())
	assert.Contains(t, got.end.GetError(), "reader too slow")
	assert.EqualValues(t, len(got.chunks), got.end.GetCount())
	assert.Less(t, len(got.chunks), count)
}

// Guards against relaying events that an engine delivered late, twice or to the
// wrong stream.
func TestMisdeliveredEngineEventsAreDropped(t *testing.T) {
	event := func(req engine.Request, index uint64, text string, change func(*engine.Event)) engine.Event {
		e := engine.Event{RequestID: req.ID, Index: index, Data: []byte(text), Incarnation: 1, VersionDigest: digest}
		if change != nil {
			change(&e)
		}
		return e
	}
	last := func(e *engine.Event) { e.Last, e.Data = true, nil }
	tests := map[string]struct {
		script  func(engine.Request) []engine.Event
		chunks  []string
		outcome jayv1.Outcome
	}{
		"misdelivered and duplicated": {func(r engine.Request) []engine.Event {
			return []engine.Event{
				event(r, 0, "a", nil),
				event(r, 1, "theirs", func(e *engine.Event) { e.RequestID = "other/1" }),
				event(r, 0, "a", nil),
				event(r, 1, "b", nil),
				event(r, 2, "", func(e *engine.Event) { last(e); e.RequestID = "other/1" }),
				event(r, 2, "", last),
			}
		}, []string{"a", "b"}, jayv1.Outcome_OUTCOME_DONE},
		"missing": {func(r engine.Request) []engine.Event {
			return []engine.Event{event(r, 0, "a", nil), event(r, 2, "c", nil), event(r, 3, "", last)}
		}, []string{"a"}, jayv1.Outcome_OUTCOME_UNKNOWN},
		"engine restarted": {func(r engine.Request) []engine.Event {
			return []engine.Event{event(r, 0, "a", nil), event(r, 1, "b", func(e *engine.Event) { e.Incarnation = 2 })}
		}, []string{"a"}, jayv1.Outcome_OUTCOME_UNKNOWN},
		"weights changed": {func(r engine.Request) []engine.Event {
			return []engine.Event{event(r, 0, "a", nil), event(r, 1, "b", func(e *engine.Event) { e.VersionDigest = "sha256:v2" })}
		}, []string{"a"}, jayv1.Outcome_OUTCOME_UNKNOWN},
		"crash": {func(r engine.Request) []engine.Event {
			return []engine.Event{event(r, 0, "a", nil)}
		}, []string{"a"}, jayv1.Outcome_OUTCOME_UNKNOWN},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fix := newFixture(t, nil)
			fix.engine.set(func(f *fakeEngine) { f.script = test.script })
			got := readResponse(t, fix.accepted(modelOffer("r1"), "{}"))
			assert.Equal(t, test.chunks, got.chunks)
			assert.Equal(t, test.outcome, got.end.GetOutcome())
			assert.EqualValues(t, len(got.chunks), got.end.GetCount())
		})
	}
}

// FuzzClientFrames sends the agent valid and invalid frames in any order. Nothing
// may panic, and nothing may run without a complete offer.
func FuzzClientFrames(f *testing.F) {
	f.Add("r1", "w1", "p1", "", []byte("{}"), uint64(3), byte(0x80))
	f.Add("", "", "", "s", []byte{}, uint64(0), byte(0))
	f.Add("r1", "w1", "p1", "s", []byte("\xff"), ^uint64(0), byte(0xff))
	f.Fuzz(func(t *testing.T, id, workspace, pool, service string, body []byte, seq uint64, order byte) {
		fix := newFixture(t, nil)
		s, err := fix.entry.Open(t.Context(), fix.agent.Address(), keys.RoleAgent)
		require.NoError(t, err)
		offer := modelOffer(strings.ToValidUTF8(id, ""))
		offer.Workspace = strings.ToValidUTF8(workspace, "")
		offer.Pool, offer.Service = strings.ToValidUTF8(pool, ""), strings.ToValidUTF8(service, "")
		last := order >= 1<<7
		frames := []*jayv1.ClientFrame{
			offerFrame(offer), bodyFrame(string(body), last), cancelFrame(), resumeFrame(offer, seq), {},
			{Frame: &jayv1.ClientFrame_Ack{Ack: &jayv1.Ack{NextSeq: seq}}},
			{Frame: &jayv1.ClientFrame_Probe{}}, {Frame: &jayv1.ClientFrame_Order{}},
		}
		first := int(order) % len(frames)
		for i := range frames {
			if s.Send(frames[(first+i)%len(frames)]) != nil {
				break
			}
		}
		_ = s.CloseSend()
		_ = s.SetReadDeadline(time.Now().Add(5 * time.Second))
		for {
			if err := s.Receive(&jayv1.ServerFrame{}); err != nil {
				require.False(t, errors.Is(err, io.ErrUnexpectedEOF))
				break
			}
		}
		if first != 0 || !last {
			require.Empty(t, fix.engine.requests(), "ran without a complete offer")
		}
	})
}

// Guards against a response that is discarded while its caller still reads it: it is kept for
// replay.retain_ms after the last contact, not after the engine's end.
func TestResponseIsKeptWhileItsReaderMakesProgress(t *testing.T) {
	const chunks, chunkBytes, retain = 12, 64 << 10, 400 * time.Millisecond
	fix := newFixture(t, func(s *agent.Settings) { s.Replay.RetainMS = int(retain.Milliseconds()) })
	list := make([]string, chunks)
	for i := range list {
		list[i] = strings.Repeat("x", chunkBytes)
	}
	fix.engine.set(func(f *fakeEngine) { f.script = wordEvents(list...) })
	s := fix.accepted(modelOffer("r1"), "{}")
	for range chunks {
		require.Len(t, receive(t, s).GetChunk().GetData(), chunkBytes)
		time.Sleep(retain / 4)
	}
	assert.Equal(t, jayv1.Outcome_OUTCOME_DONE, receive(t, s).GetEnd().GetOutcome())
}

// Guards against 404 for a caller that keeps coming back although its entries fail: each resume
// starts the time of replay.retain_ms anew.
func TestResponseIsKeptWhileItsReaderKeepsResuming(t *testing.T) {
	const resumes, retain = 6, 400 * time.Millisecond
	fix := newFixture(t, func(s *agent.Settings) { s.Replay.RetainMS = int(retain.Milliseconds()) })
	offer := modelOffer("r1")
	s := fix.accepted(offer, "{}")
	receive(t, s)
	for range resumes {
		s.Abort()
		time.Sleep(retain / 2)
		s = fix.open()
		send(t, s, resumeFrame(offer, 0))
		require.Equal(t, "one", string(receive(t, s).GetChunk().GetData()))
	}
}

// Guards against responses that are kept for ever: without contact, or with a reader that takes
// nothing, they are discarded after replay.retain_ms.
func TestResponseWithoutProgressIsDiscarded(t *testing.T) {
	const retain = 200 * time.Millisecond
	fix := newFixture(t, func(s *agent.Settings) { s.Replay.RetainMS = int(retain.Milliseconds()) })
	long := strings.Repeat("x", 100<<10)
	fix.engine.set(func(f *fakeEngine) { f.script = wordEvents(long, long, long, long, long, long) })
	offer := modelOffer("r1")
	fix.accepted(offer, "{}")
	abandoned := modelOffer("r2")
	fix.accepted(abandoned, "{}").Abort()
	time.Sleep(3 * retain)
	for _, offer := range []*jayv1.Offer{offer, abandoned} {
		s := fix.open()
		send(t, s, resumeFrame(offer, 0))
		assert.Equal(t, jayv1.Refusal_REFUSAL_NOT_FOUND, receive(t, s).GetEnd().GetRefusal(), offer.GetRequestId())
	}
}

// Guards against 404 for a caller that no entry could serve for longer than replay.abandon_ms: a
// complete response costs no slot, and is kept for replay.retain_ms.
func TestCompleteResponseOutlivesAbandonedRuns(t *testing.T) {
	const chunks, chunkBytes, abandon = 12, 64 << 10, 100 * time.Millisecond // Far more than the window of a stream.
	fix := newFixture(t, func(s *agent.Settings) { s.Replay.AbandonMS = int(abandon.Milliseconds()) })
	list := make([]string, chunks)
	for i := range list {
		list[i] = strings.Repeat("x", chunkBytes)
	}
	fix.engine.set(func(f *fakeEngine) { f.script = wordEvents(list...) })
	offer := modelOffer("r1")
	s := fix.accepted(offer, "{}")
	receive(t, s)
	s.Abort()
	time.Sleep(5 * abandon)
	resumed := fix.open()
	send(t, resumed, resumeFrame(offer, 1))
	got := readResponse(t, resumed)
	assert.Len(t, got.chunks, chunks-1)
	assert.Equal(t, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome())
}

// Guards against runs that take a slot for a reader that does not come back, and against a caller
// that comes back after the cancel and is told that its stream is not known.
func TestRunWithoutReaderIsCanceled(t *testing.T) {
	fix := newFixture(t, func(s *agent.Settings) { s.Replay.AbandonMS = 100 })
	gate := make(chan struct{}, 1)
	fix.engine.set(func(f *fakeEngine) { f.gate = gate })
	offer := modelOffer("r1")
	s := fix.accepted(offer, "{}")
	gate <- struct{}{}
	receive(t, s)
	s.Abort()
	require.Eventually(t, func() bool { return len(fix.engine.cancels()) == 1 }, 5*time.Second, time.Millisecond)
	resumed := fix.open()
	send(t, resumed, resumeFrame(offer, 0))
	got := readResponse(t, resumed)
	assert.Equal(t, []string{"one"}, got.chunks)
	assert.Equal(t, jayv1.Outcome_OUTCOME_UNKNOWN, got.end.GetOutcome())
	assert.Equal(t, jayv1.Refusal_REFUSAL_UNSPECIFIED, got.end.GetRefusal())
}

// Guards against a shutdown that waits for replay.retain_ms until a reader takes a complete response.
func TestShutdownDoesNotWaitForAbsentReaders(t *testing.T) {
	fix := newFixture(t, func(s *agent.Settings) { s.Replay.AbandonMS = 200 })
	s := fix.accepted(modelOffer("r1"), "{}")
	receive(t, s)
	s.Abort()
	require.Eventually(t, func() bool { return fix.probe().GetRunning() == 0 }, 5*time.Second, time.Millisecond)
	began := time.Now()
	require.NoError(t, fix.agent.Shutdown(t.Context()))
	assert.Less(t, time.Since(began), 5*time.Second)
}
