package agent_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/engine/dialect"
	"github.com/jayproxy/jayproxy/internal/prefix"
	standin "github.com/jayproxy/jayproxy/internal/standin/engine"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// newStandInFixture starts an agent beside a stand-in of a vendor's engine.
func newStandInFixture(t *testing.T, vendor string) (*fixture, *standin.Engine) {
	t.Helper()
	started, err := standin.Start(standin.Options{Vendor: vendor, Engine: sim.Options{
		Versions: []string{digest}, PrefillTokensPerSecond: 1e6, DecodeStep: time.Millisecond, OutputTokens: 4,
	}})
	require.NoError(t, err)
	t.Cleanup(started.Close)
	fix := newFixture(t, func(s *agent.Settings) {
		s.Engine.Vendor, s.Engine.URL = vendor, started.URL()
		s.OpenEngine = dialect.Open
	})
	return fix, started
}

// chatOffer returns an offer and its body: a shared system prompt of 8,400 bytes
// and a document.
func chatOffer(t testing.TB, id, workspace, document string) (*jayv1.Offer, string) {
	t.Helper()
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body, err := json.Marshal(map[string]any{"stream": true, "max_tokens": 4, "messages": []message{
		{"system", strings.Repeat("terms of the policy. ", 400)}, {"user", document},
	}})
	require.NoError(t, err)
	parts, err := prefix.Render(body)
	require.NoError(t, err)
	offer := modelOffer(id)
	offer.Workspace = workspace
	chain := prefix.Chain(prefix.Seed{Workspace: workspace, Model: "m", VersionDigest: digest}, parts)
	offer.Chain, offer.PromptBytes = chain.Points, uint32(chain.Bytes)
	return offer, string(body)
}

// Guards against reporting a prefix as cached when the engine has restarted with
// an empty cache, or when another workspace submitted the text.
func TestOnlyCurrentlyCachedPrefixIsReported(t *testing.T) {
	for _, vendor := range []string{standin.Merle, standin.Pica} {
		t.Run(vendor, func(t *testing.T) {
			fix, engine := newStandInFixture(t, vendor)
			offer, body := chatOffer(t, "r1", "w1", "first")
			got := readResponse(t, fix.accepted(offer, body))
			require.Equal(t, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome(), got.end.GetError())

			cached := func(workspace string) uint32 {
				probed, _ := chatOffer(t, "probe", workspace, "second")
				s := fix.open()
				defer func() { _ = s.CloseSend() }()
				send(t, s, &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Probe{Probe: &jayv1.ProbeRequest{
					Pool: "p1", Chain: probed.GetChain(), PromptBytes: probed.GetPromptBytes(),
				}}})
				return receive(t, s).GetProbeReply().GetCachedBytes()
			}
			require.Eventually(t, func() bool { return cached("w1") > 8000 }, 5*time.Second, 10*time.Millisecond)
			assert.Zero(t, cached("w2"))

			before := fix.probe().GetIncarnation()
			engine.Crash(0)
			require.Eventually(t, func() bool { return fix.probe().GetIncarnation() > before }, 5*time.Second, 10*time.Millisecond)
			assert.Zero(t, cached("w1"))

			offer, body = chatOffer(t, "r2", "w1", "third")
			offer.Incarnation = before // The entry has not observed the restart.
			require.Eventually(t, func() bool { return fix.probe().GetReady() }, 5*time.Second, 10*time.Millisecond)
			got = readResponse(t, fix.accepted(offer, body))
			require.Equal(t, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome(), got.end.GetError())
			assert.Zero(t, got.end.GetUsage().GetCachedTokens())
			assert.Greater(t, got.end.GetUsage().GetRecomputedTokens(), uint32(1900))
		})
	}
}

// Guards against counting a prefix that is already being computed as cost of the
// next request, which would spread requests for one document over many engines.
func TestPrefixBeingComputedDoesNotCountTowardsCost(t *testing.T) {
	fix := newFixture(t, nil)
	gate := make(chan struct{})
	fix.engine.set(func(f *fakeEngine) { f.gate = gate })
	first, body := chatOffer(t, "r1", "w1", "first")
	firstStream, reply := fix.offer(first)
	send(t, firstStream, bodyFrame(body, true))
	firstCost := reply.GetCostMs()
	second, body := chatOffer(t, "r2", "w1", "second")
	secondStream, reply := fix.offer(second)
	send(t, secondStream, bodyFrame(body, true))
	assert.Greater(t, firstCost, 200.0)
	assert.Less(t, reply.GetCostMs()-firstCost, 20.0, "cost of the second beyond the wait for the first")
	assert.Zero(t, reply.GetCachedBytes(), "nothing is cached yet")
	close(gate)
	readResponse(t, firstStream)
	readResponse(t, secondStream)
	third, _ := chatOffer(t, "r3", "w1", "third")
	_, reply = fix.offer(third)
	assert.Greater(t, reply.GetCostMs(), 100.0, "both have ended, and the fake caches nothing")
}

// Guards against a response that ends without an error when the engine crashes.
func TestEngineCrashInTheMiddleEndsInAnError(t *testing.T) {
	for _, vendor := range []string{standin.Merle, standin.Pica} {
		t.Run(vendor, func(t *testing.T) {
			fix, engine := newStandInFixture(t, vendor)
			offer, body := chatOffer(t, "r1", "w1", "long")
			body = strings.Replace(body, `"max_tokens":4`, `"max_tokens":100000`, 1)
			s := fix.accepted(offer, body)
			require.NotEmpty(t, receive(t, s).GetChunk().GetData())
			engine.Crash(0)
			got := readResponse(t, s)
			assert.Equal(t, jayv1.Outcome_OUTCOME_UNKNOWN, got.end.GetOutcome())
			assert.NotEmpty(t, got.end.GetError())
			assert.EqualValues(t, len(got.chunks)+1, got.end.GetCount(), fmt.Sprint(got.seqs))
		})
	}
}

// Guards against reporting any interrupted response as an engine crash, or no
// crash when the engine did crash.
func TestEndReportsWhetherEngineCrashed(t *testing.T) {
	for _, vendor := range []string{standin.Merle, standin.Pica} {
		t.Run(vendor, func(t *testing.T) {
			fix, engine := newStandInFixture(t, vendor)
			before := fix.probe().GetIncarnation()
			engine.CrashOn("crash", time.Hour)
			offer, body := chatOffer(t, "r1", "w1", "crash")
			got := readResponse(t, fix.accepted(offer, body))
			assert.Equal(t, jayv1.Outcome_OUTCOME_UNKNOWN, got.end.GetOutcome())
			assert.True(t, got.end.GetEngineCrashed(), got.end.GetError())
			assert.Equal(t, before, got.end.GetIncarnation())
		})
		t.Run(vendor+"-interrupted", func(t *testing.T) {
			fix, engine := newStandInFixture(t, vendor)
			engine.SetFaults(sim.Faults{BreakShare: 1, BreakAfter: 1})
			offer, body := chatOffer(t, "r1", "w1", "interrupted")
			got := readResponse(t, fix.accepted(offer, body))
			assert.False(t, got.end.GetEngineCrashed(), got.end.GetError())
		})
	}
}
