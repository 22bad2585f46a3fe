package agent_test

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/keys"
)

func TestEngineResponseReachesEntryComplete(t *testing.T) {
	fix := newFixture(t, nil)
	got := readResponse(t, fix.accepted(modelOffer("r1"), `{"prompt":"x"}`))
	assert.Equal(t, []string{"one", "two", "three"}, got.chunks)
	assert.Equal(t, []uint64{0, 1, 2}, got.seqs)
	assert.Equal(t, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome())
	assert.EqualValues(t, 3, got.end.GetCount())
	assert.EqualValues(t, 1, got.end.GetIncarnation())
	assert.EqualValues(t, 4, got.end.GetUsage().GetCachedTokens())
	assert.Equal(t, "b1", got.end.GetState().GetBackendServer())
	requests := fix.engine.requests()
	require.Len(t, requests, 1)
	assert.Equal(t, "w1", requests[0].Salt)
	assert.Equal(t, `{"prompt":"x"}`, string(requests[0].Body))
}

func TestOffersThatMayNotRunHereAreRefused(t *testing.T) {
	fix := newFixture(t, nil)
	tests := map[string]struct {
		change func(*jayv1.Offer)
		want   jayv1.Refusal
	}{
		"other version": {func(o *jayv1.Offer) { o.VersionDigest = "sha256:old" }, jayv1.Refusal_REFUSAL_VERSION},
		"other adapter": {func(o *jayv1.Offer) { o.Adapter = "a9" }, jayv1.Refusal_REFUSAL_VERSION},
		"no workspace":  {func(o *jayv1.Offer) { o.Workspace = "" }, jayv1.Refusal_REFUSAL_INVALID},
		"a service":     {func(o *jayv1.Offer) { o.Pool, o.Service = "", "s" }, jayv1.Refusal_REFUSAL_NOT_FOUND},
		"too large":     {func(o *jayv1.Offer) { o.PromptBytes = 1 << 30 }, jayv1.Refusal_REFUSAL_INVALID},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			offer := modelOffer("refused " + name)
			test.change(offer)
			_, reply := fix.offer(offer)
			assert.False(t, reply.GetAccepted())
			assert.Equal(t, test.want, reply.GetRefusal())
			assert.Equal(t, "b1", reply.GetState().GetBackendServer())
		})
	}
	assert.Empty(t, fix.engine.requests())
}

// Guards against running a request twice when an entry that lost its stream
// during an offer sends the same attempt again.
func TestSameAttemptOfferedTwiceRunsOnce(t *testing.T) {
	fix := newFixture(t, nil)
	readResponse(t, fix.accepted(modelOffer("r1"), "{}"))
	_, reply := fix.offer(modelOffer("r1"))
	assert.Equal(t, jayv1.Refusal_REFUSAL_DUPLICATE, reply.GetRefusal())
	assert.Len(t, fix.engine.requests(), 1)
}

func TestOnlyEntriesMayOffer(t *testing.T) {
	fix := newFixture(t, nil)
	other := fix.node(keys.RoleAgent, "b2")
	s, err := other.Open(t.Context(), fix.agent.Address(), keys.RoleAgent)
	require.NoError(t, err)
	require.NoError(t, s.Send(offerFrame(modelOffer("r1"))))
	require.Error(t, s.Receive(&jayv1.ServerFrame{}))
	assert.Empty(t, fix.engine.requests())
}

// Guards against a canceled request that keeps its slot: the cancel must reach
// the engine and the next request must start.
func TestCancelFreesTheSlotInTheEngine(t *testing.T) {
	fix := newFixture(t, func(s *agent.Settings) { s.Queue.Slots = 1 })
	gate := make(chan struct{})
	fix.engine.set(func(f *fakeEngine) { f.gate = gate })
	s := fix.accepted(modelOffer("r1"), "{}")
	require.Eventually(t, func() bool { return len(fix.engine.requests()) == 1 }, 5*time.Second, time.Millisecond)
	send(t, s, cancelFrame())
	got := readResponse(t, s)
	assert.Equal(t, jayv1.Outcome_OUTCOME_UNKNOWN, got.end.GetOutcome())
	require.Eventually(t, func() bool { return len(fix.engine.cancels()) == 1 }, 5*time.Second, time.Millisecond)
	close(gate)
	got = readResponse(t, fix.accepted(modelOffer("r2"), "{}"))
	assert.Equal(t, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome())
}

func TestEngineErrorsMapToOutcomes(t *testing.T) {
	tests := map[string]struct {
		err     error
		outcome jayv1.Outcome
		refusal jayv1.Refusal
	}{
		"not reached": {engine.ErrNotReached, jayv1.Outcome_OUTCOME_NOT_RUN, jayv1.Refusal_REFUSAL_ENGINE_DOWN},
		"busy":        {engine.ErrRefused, jayv1.Outcome_OUTCOME_NOT_RUN, jayv1.Refusal_REFUSAL_QUEUE_FULL},
		"invalid": {errors.Join(engine.ErrRefused, engine.ErrInvalid), jayv1.Outcome_OUTCOME_NOT_RUN,
			jayv1.Refusal_REFUSAL_INVALID},
		"interrupted": {engine.ErrInterrupted, jayv1.Outcome_OUTCOME_UNKNOWN, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fix := newFixture(t, nil)
			fix.engine.set(func(f *fakeEngine) { f.submitErr = test.err })
			got := readResponse(t, fix.accepted(modelOffer("r1"), "{}"))
			assert.Equal(t, test.outcome, got.end.GetOutcome())
			assert.Equal(t, test.refusal, got.end.GetRefusal())
		})
	}
}

// Guards against reporting a request as invalid when its version was unloaded
// between the acceptance of the offer and its start.
func TestVersionUnloadedWhileWaitingIsRefusedAsVersion(t *testing.T) {
	fix := newFixture(t, func(s *agent.Settings) { s.Engine.PollMS = 60_000 })
	fix.engine.set(func(f *fakeEngine) {
		f.state.Versions = []string{"sha256:new"}
		f.submitErr = engine.ErrRefused
	})
	got := readResponse(t, fix.accepted(modelOffer("r1"), "{}"))
	assert.Equal(t, jayv1.Outcome_OUTCOME_NOT_RUN, got.end.GetOutcome())
	assert.Equal(t, jayv1.Refusal_REFUSAL_VERSION, got.end.GetRefusal())
	assert.Equal(t, []string{"sha256:new"}, got.end.GetState().GetVersionDigests())
}

func TestEngineDownIsRefusedWithRetryAfter(t *testing.T) {
	fix := newFixture(t, nil)
	fix.engine.set(func(f *fakeEngine) { f.down = true })
	require.Eventually(t, func() bool { return !fix.probe().GetReady() }, 5*time.Second, 5*time.Millisecond)
	_, reply := fix.offer(modelOffer("r1"))
	assert.Equal(t, jayv1.Refusal_REFUSAL_ENGINE_DOWN, reply.GetRefusal())
	assert.NotZero(t, reply.GetRetryAfterMs())
}

// Guards against a graceful shutdown that interrupts a running response or
// accepts new offers.
func TestShutdownFinishesRunningRequestsAndRefusesNew(t *testing.T) {
	fix := newFixture(t, nil)
	gate := make(chan struct{})
	fix.engine.set(func(f *fakeEngine) { f.gate = gate })
	s := fix.accepted(modelOffer("r1"), "{}")
	require.Eventually(t, func() bool { return len(fix.engine.requests()) == 1 }, 5*time.Second, time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- fix.agent.Shutdown(t.Context()) }()
	require.Eventually(t, func() bool { return fix.probe().GetLeaving() }, 5*time.Second, 5*time.Millisecond)
	_, reply := fix.offer(modelOffer("r2"))
	assert.Equal(t, jayv1.Refusal_REFUSAL_LEAVING, reply.GetRefusal())
	assert.True(t, reply.GetState().GetLeaving())
	close(gate)
	got := readResponse(t, s)
	assert.Equal(t, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome())
	assert.Equal(t, []string{"one", "two", "three"}, got.chunks)
	require.NoError(t, <-stopped)
}

// Guards against interrupting a request that is accepted while the shutdown
// begins.
func TestShutdownInterruptsNoAcceptedRequest(t *testing.T) {
	const rounds, callers = 15, 16
	for range rounds {
		fix := newFixture(t, func(s *agent.Settings) { s.Queue.Slots = callers })
		var group sync.WaitGroup
		var begun atomic.Int32
		for caller := range callers {
			group.Go(func() {
				for i := 0; ; i++ {
					ok := fix.runIfAccepted(modelOffer(fmt.Sprint("r", caller, "-", i)))
					begun.Add(1)
					if !ok {
						return
					}
				}
			})
		}
		require.Eventually(t, func() bool { return begun.Load() > callers }, 5*time.Second, time.Millisecond)
		require.NoError(t, fix.agent.Shutdown(t.Context()))
		group.Wait()
	}
}

// runIfAccepted offers a request and returns false when it was refused or no
// stream was opened. An accepted request must complete.
func (fix *fixture) runIfAccepted(offer *jayv1.Offer) bool {
	s, err := fix.entry.Open(fix.t.Context(), fix.agent.Address(), keys.RoleAgent)
	if err != nil || s.Send(offerFrame(offer)) != nil {
		return false
	}
	defer func() { _ = s.CloseSend() }()
	frame := &jayv1.ServerFrame{}
	if s.Receive(frame) != nil || !frame.GetOfferReply().GetAccepted() {
		return false
	}
	err = s.Send(bodyFrame("{}", true))
	for err == nil && frame.GetEnd() == nil {
		frame = &jayv1.ServerFrame{}
		err = s.Receive(frame)
	}
	assert.NoError(fix.t, err, "interrupted after it was accepted")
	return assert.Equal(fix.t, jayv1.Outcome_OUTCOME_DONE, frame.GetEnd().GetOutcome())
}

func TestOperatorDrainRefusesNewOffers(t *testing.T) {
	holder := catalog.NewHolder()
	fix := newFixture(t, func(s *agent.Settings) { s.Catalog = holder })
	holder.Adopt(catalog.Build(&jayv1.Snapshot{Generation: 1, Resources: []*jayv1.Resource{
		{Kind: &jayv1.Resource_BackendServer{BackendServer: &jayv1.BackendServer{Name: "b1", Pool: "p1", Draining: true}}},
	}}))
	_, reply := fix.offer(modelOffer("r1"))
	assert.Equal(t, jayv1.Refusal_REFUSAL_LEAVING, reply.GetRefusal())
	assert.EqualValues(t, 1, reply.GetState().GetGeneration())
}

func TestAdminPortReportsReadiness(t *testing.T) {
	fix := newFixture(t, nil)
	status := func(path string) int {
		response, err := http.Get(fix.agent.AdminURL() + path)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	for _, path := range []string{"/livez", "/readyz", "/metrics", "/debug/state"} {
		assert.Equal(t, http.StatusOK, status(path), path)
	}
	fix.agent.StartDrain()
	assert.Equal(t, http.StatusServiceUnavailable, status("/readyz"))
}
