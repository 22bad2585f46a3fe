package agent_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/transport"
)

const digest = "sha256:v1"

// fakeEngine responds to each request with scripted events.
type fakeEngine struct {
	mu        sync.Mutex
	state     engine.State
	down      bool
	submitErr error
	submitted []engine.Request
	canceled  []string
	// script returns the events of a request. One is sent for each value
	// received from gate; all are sent at once when gate is closed or nil.
	script func(req engine.Request) []engine.Event
	gate   chan struct{}
	orders []engine.Order
	order  func(engine.Order) error
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		state:  engine.State{Incarnation: 1, Versions: []string{digest}, BlockTokens: 16},
		script: wordEvents("one", "two", "three"),
	}
}

// wordEvents returns a script with one event for each word and a last one with
// the usage.
func wordEvents(list ...string) func(engine.Request) []engine.Event {
	return func(req engine.Request) []engine.Event {
		var events []engine.Event
		for i, word := range list {
			events = append(events, engine.Event{
				RequestID: req.ID, Index: uint64(i), Data: []byte(word), Incarnation: 1, VersionDigest: digest,
			})
		}
		return append(events, engine.Event{
			RequestID: req.ID, Index: uint64(len(list)), Last: true, Incarnation: 1, VersionDigest: digest,
			Usage: engine.Usage{PromptTokens: 10, CachedTokens: 4, OutputTokens: len(list)},
		})
	}
}

func (f *fakeEngine) State(context.Context) (engine.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return engine.State{}, errors.New("connection refused")
	}
	return f.state, nil
}

// set changes the fake while an agent may be using it.
func (f *fakeEngine) set(change func(*fakeEngine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeEngine) Submit(_ context.Context, req engine.Request) (engine.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.submitErr != nil {
		return nil, f.submitErr
	}
	f.submitted = append(f.submitted, req)
	return &fakeStream{events: f.script(req), gate: f.gate}, nil
}

func (f *fakeEngine) requests() []engine.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]engine.Request(nil), f.submitted...)
}

func (f *fakeEngine) cancels() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.canceled...)
}

func (f *fakeEngine) Cancel(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.canceled = append(f.canceled, id)
	return nil
}

func (f *fakeEngine) Events(ctx context.Context, _ uint64) (engine.EventReader, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (f *fakeEngine) Snapshot(context.Context) (engine.CacheSnapshot, error) {
	return engine.CacheSnapshot{}, engine.ErrUnsupported
}

func (f *fakeEngine) Blocks(engine.Request) ([]engine.BlockHash, []int, error) { return nil, nil, nil }

func (f *fakeEngine) Order(_ context.Context, order engine.Order) error {
	f.mu.Lock()
	f.orders = append(f.orders, order)
	apply := f.order
	f.mu.Unlock()
	if apply != nil {
		return apply(order)
	}
	return nil
}

func (f *fakeEngine) ordered() []engine.Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]engine.Order(nil), f.orders...)
}

func (f *fakeEngine) ExportKV(context.Context, []engine.BlockHash) ([]byte, error) {
	return nil, engine.ErrUnsupported
}

func (f *fakeEngine) ImportKV(context.Context, []byte) error { return engine.ErrUnsupported }

type fakeStream struct {
	events []engine.Event
	gate   chan struct{}
}

func (s *fakeStream) Next(ctx context.Context) (engine.Event, error) {
	if s.gate != nil {
		select {
		case <-s.gate:
		case <-ctx.Done():
			return engine.Event{}, ctx.Err()
		}
	}
	if len(s.events) == 0 {
		return engine.Event{}, engine.ErrInterrupted
	}
	event := s.events[0]
	s.events = s.events[1:]
	return event, nil
}

func (s *fakeStream) Close() error { return nil }

// fixture is an agent with a fake engine or a service, and an entry's node.
type fixture struct {
	t      testing.TB
	agent  *agent.Agent
	engine *fakeEngine
	entry  *transport.Node
	issue  func(role keys.Role, name string) string
}

func newFixture(t testing.TB, change func(*agent.Settings)) *fixture {
	t.Helper()
	authority, err := keys.NewAuthority(time.Hour)
	require.NoError(t, err)
	fix := &fixture{t: t, engine: newFakeEngine()}
	fix.issue = func(role keys.Role, name string) string {
		dir := t.TempDir()
		cert, err := authority.Issue(keys.Identity{Role: role, Name: name}, time.Hour)
		require.NoError(t, err)
		require.NoError(t, cert.Save(dir))
		return dir
	}
	settings := agent.Default()
	settings.Name = "b1"
	settings.Keys = fix.issue(keys.RoleAgent, "b1")
	settings.Engine.URL = "http://127.0.0.1:1"
	settings.Engine.PollMS = 10
	settings.OpenEngine = func(string, string) (engine.Engine, error) { return fix.engine, nil }
	if change != nil {
		change(&settings)
	}
	fix.agent, err = agent.Start(t.Context(), settings)
	require.NoError(t, err)
	t.Cleanup(fix.agent.Close)
	fix.entry = fix.node(keys.RoleEntry, "e1")
	if settings.Engine.URL != "" {
		require.Eventually(t, func() bool { return fix.probe().GetReady() }, 5*time.Second, 5*time.Millisecond)
	}
	return fix
}

func (fix *fixture) node(role keys.Role, name string) *transport.Node {
	creds, err := transport.LoadCredentials(fix.issue(role, name))
	require.NoError(fix.t, err)
	node, err := transport.Listen(transport.Options{Address: "127.0.0.1:0"}, creds,
		func(_ context.Context, _ keys.Identity, s *transport.Stream) { s.Abort() })
	require.NoError(fix.t, err)
	fix.t.Cleanup(func() { _ = node.Close() })
	return node
}

func (fix *fixture) open() *transport.Stream {
	fix.t.Helper()
	s, err := fix.entry.Open(fix.t.Context(), fix.agent.Address(), keys.RoleAgent)
	require.NoError(fix.t, err)
	return s
}

func (fix *fixture) probe() *jayv1.AgentState {
	s := fix.open()
	defer func() { _ = s.CloseSend() }()
	send(fix.t, s, &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Probe{Probe: &jayv1.ProbeRequest{}}})
	return receive(fix.t, s).GetProbeReply().GetState()
}

func send(t testing.TB, s *transport.Stream, frame *jayv1.ClientFrame) {
	t.Helper()
	require.NoError(t, s.Send(frame))
}

func receive(t testing.TB, s *transport.Stream) *jayv1.ServerFrame {
	t.Helper()
	_ = s.SetReadDeadline(time.Now().Add(10 * time.Second))
	frame := &jayv1.ServerFrame{}
	require.NoError(t, s.Receive(frame))
	return frame
}

func modelOffer(id string) *jayv1.Offer {
	return &jayv1.Offer{
		RequestId: id, Attempt: 1, Workspace: "w1", Pool: "p1", Model: "m", VersionDigest: digest,
		Class: jayv1.Class_CLASS_STANDARD, HasBody: true, PromptBytes: 40, Nonce: []byte("nonce-" + id),
		ApiPath: "/v1/chat/completions",
	}
}

func offerFrame(offer *jayv1.Offer) *jayv1.ClientFrame {
	return &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Offer{Offer: offer}}
}

func bodyFrame(text string, last bool) *jayv1.ClientFrame {
	return &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Body{Body: &jayv1.Data{Data: []byte(text), Last: last}}}
}

func cancelFrame() *jayv1.ClientFrame {
	return &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Cancel{Cancel: &jayv1.Cancel{Reason: "caller left"}}}
}

func resumeFrame(offer *jayv1.Offer, next uint64) *jayv1.ClientFrame {
	return &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Resume{Resume: &jayv1.Resume{
		RequestId: offer.GetRequestId(), Attempt: offer.GetAttempt(), Workspace: offer.GetWorkspace(),
		Nonce: offer.GetNonce(), NextSeq: next,
	}}}
}

// offer sends an offer and returns its stream and the reply.
func (fix *fixture) offer(offer *jayv1.Offer) (*transport.Stream, *jayv1.OfferReply) {
	fix.t.Helper()
	s := fix.open()
	send(fix.t, s, offerFrame(offer))
	reply := receive(fix.t, s).GetOfferReply()
	require.NotNil(fix.t, reply)
	return s, reply
}

// accepted sends an offer that must be accepted, and then its body.
func (fix *fixture) accepted(offer *jayv1.Offer, body string) *transport.Stream {
	fix.t.Helper()
	s, reply := fix.offer(offer)
	require.True(fix.t, reply.GetAccepted(), "refused: %s %s", reply.GetRefusal(), reply.GetMessage())
	if offer.GetHasBody() {
		send(fix.t, s, bodyFrame(body, true))
	}
	return s
}

// response is a response of the agent, read to its end.
type response struct {
	head   *jayv1.ServiceHead
	chunks []string
	seqs   []uint64
	end    *jayv1.End
}

func readResponse(t testing.TB, s *transport.Stream) response {
	t.Helper()
	var got response
	for got.end == nil {
		switch f := receive(t, s).GetFrame().(type) {
		case *jayv1.ServerFrame_ServiceHead:
			got.head = f.ServiceHead
		case *jayv1.ServerFrame_Chunk:
			got.chunks = append(got.chunks, string(f.Chunk.GetData()))
			got.seqs = append(got.seqs, f.Chunk.GetSeq())
		case *jayv1.ServerFrame_End:
			got.end = f.End
		default:
			require.Fail(t, "unexpected frame", fmt.Sprint(f))
		}
	}
	_ = s.CloseSend()
	return got
}
