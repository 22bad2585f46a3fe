package dialect_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/engine/dialect"
	"github.com/jayproxy/jayproxy/internal/prefix"
	standin "github.com/jayproxy/jayproxy/internal/standin/engine"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

const testTimeout = 10 * time.Second

var fastEngine = sim.Options{
	Versions:               []string{"sha256:v1"},
	Adapters:               []string{"lora/1"},
	PrefillTokensPerSecond: 1e6,
	DecodeStep:             time.Millisecond,
	OutputTokens:           5,
}

// eachVendor runs a test against a stand-in of each vendor.
func eachVendor(t *testing.T, options sim.Options, test func(t *testing.T, server *standin.Engine, client engine.Engine)) {
	for _, vendor := range []string{dialect.Merle, dialect.Pica} {
		t.Run(vendor, func(t *testing.T) {
			server, err := standin.Start(standin.Options{Vendor: vendor, Engine: options})
			require.NoError(t, err)
			t.Cleanup(server.Close)
			client, err := dialect.Open(vendor, server.URL())
			require.NoError(t, err)
			test(t, server, client)
		})
	}
}

func request(id, prompt string, stream bool) engine.Request {
	body := fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, prompt)
	return engine.Request{ID: id, Path: "/v1/chat/completions", Body: []byte(body), Salt: "w1", VersionDigest: "sha256:v1"}
}

func collect(t *testing.T, stream engine.Stream) ([]engine.Event, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	defer stream.Close()
	var events []engine.Event
	for {
		event, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

func text(t *testing.T, events []engine.Event) string {
	t.Helper()
	var b strings.Builder
	for _, event := range events {
		var chunk struct {
			Choices []struct {
				Delta   struct{ Content string }
				Message struct{ Content string }
			}
		}
		require.NoError(t, json.Unmarshal(event.Data, &chunk))
		for _, choice := range chunk.Choices {
			b.WriteString(choice.Delta.Content + choice.Message.Content)
		}
	}
	return b.String()
}

func completeText(t *testing.T, r engine.Request, n int) string {
	t.Helper()
	parts, err := prefix.Render(r.Body)
	require.NoError(t, err)
	return sim.CompleteText(parts, n)
}

func TestStreamDeliversResponseAndUsage(t *testing.T) {
	eachVendor(t, fastEngine, func(t *testing.T, _ *standin.Engine, client engine.Engine) {
		prompt := strings.Repeat("rulebook ", 100)
		for i, cached := range []int{0, 14 * 16} {
			r := request(fmt.Sprintf("req/%d:x", i), prompt, true)
			stream, err := client.Submit(context.Background(), r)
			require.NoError(t, err)
			events, err := collect(t, stream)
			require.NoError(t, err)
			require.Len(t, events, 5+2)
			for index, event := range events {
				assert.Equal(t, r.ID, event.RequestID)
				assert.EqualValues(t, index, event.Index)
				assert.EqualValues(t, 1, event.Incarnation)
				assert.Equal(t, "sha256:v1", event.VersionDigest)
				assert.Equal(t, index == 6, event.Last)
			}
			assert.Equal(t, completeText(t, r, 5), text(t, events))
			assert.Equal(t, engine.Usage{PromptTokens: 228, CachedTokens: cached, OutputTokens: 5}, events[6].Usage)
		}
	})
}

func TestNonStreamedResponseIsOneLastEvent(t *testing.T) {
	eachVendor(t, fastEngine, func(t *testing.T, _ *standin.Engine, client engine.Engine) {
		r := request("a", "hello", false)
		stream, err := client.Submit(context.Background(), r)
		require.NoError(t, err)
		events, err := collect(t, stream)
		require.NoError(t, err)
		require.Len(t, events, 1)
		assert.True(t, events[0].Last)
		assert.Equal(t, "a", events[0].RequestID)
		assert.Equal(t, completeText(t, r, 5), text(t, events))
		assert.Equal(t, 5, events[0].Usage.OutputTokens)
	})
}

// Guards against a caller that reads another workspace's cache by adding the
// vendor's fields to its request: the salt set by the router must take effect.
func TestCallersCannotInjectVendorFields(t *testing.T) {
	eachVendor(t, fastEngine, func(t *testing.T, _ *standin.Engine, client engine.Engine) {
		prompt := strings.Repeat("secret ", 100)
		victim := request("a", prompt, false)
		stream, err := client.Submit(context.Background(), victim)
		require.NoError(t, err)
		_, err = collect(t, stream)
		require.NoError(t, err)
		attacker := request("b", prompt, false)
		attacker.Salt = "w2"
		attacker.Body = []byte(strings.Replace(string(attacker.Body), `{"model"`, `{"merle":{"cache_salt":"w1"},"MERLE":{"cache_salt":"w1"},"model"`, 1))
		stream, err = client.Submit(context.Background(), attacker)
		require.NoError(t, err)
		events, err := collect(t, stream)
		require.NoError(t, err)
		assert.Zero(t, events[0].Usage.CachedTokens)
	})
}

func TestRefusalsAndFailuresAreDistinguished(t *testing.T) {
	options := fastEngine
	options.MaxRunning, options.MaxWaiting = 1, 1
	options.DecodeStep = time.Hour
	eachVendor(t, options, func(t *testing.T, server *standin.Engine, client engine.Engine) {
		ctx := context.Background()
		other := request("v", "x", true)
		other.VersionDigest = "sha256:v2"
		_, err := client.Submit(ctx, other)
		require.ErrorIs(t, err, engine.ErrRefused)
		_, err = client.Submit(ctx, engine.Request{ID: "bad", Path: "/v1/completions", Body: []byte("{]}")})
		require.ErrorIs(t, err, engine.ErrRefused)
		for _, id := range []string{"runs", "waits"} {
			stream, err := client.Submit(ctx, request(id, "x", true))
			require.NoError(t, err)
			defer stream.Close()
			require.Eventually(t, func() bool {
				state, err := client.State(ctx)
				return err == nil && state.Running == 1 && (id == "runs" || state.Waiting == 1)
			}, testTimeout, time.Millisecond)
		}
		_, err = client.Submit(ctx, request("too many", "x", true))
		require.ErrorIs(t, err, engine.ErrRefused)
		server.SetFaults(sim.Faults{Grey: sim.GreyFail})
		_, err = client.Submit(ctx, request("grey", "x", true))
		require.ErrorIs(t, err, engine.ErrInterrupted)
		assert.NotErrorIs(t, err, engine.ErrRefused)
		require.NoError(t, client.Cancel(ctx, "runs"))
		require.Eventually(t, func() bool { return server.Core().Runs()["waits"] == 1 }, testTimeout, time.Millisecond)
		assert.Equal(t, map[string]int{"runs": 1, "waits": 1}, server.Core().Runs())
	})
}

// Guards against a truncated stream that looks complete after an engine crash. It must end in
// ErrInterrupted, and the engine must restart with an empty cache and a new incarnation.
func TestCrashInterruptsStreamAndClearsCache(t *testing.T) {
	options := fastEngine
	options.OutputTokens = 1000
	eachVendor(t, options, func(t *testing.T, server *standin.Engine, client engine.Engine) {
		ctx := context.Background()
		stream, err := client.Submit(ctx, request("a", strings.Repeat("long ", 100), true))
		require.NoError(t, err)
		_, err = stream.Next(ctx)
		require.NoError(t, err)
		server.Crash(0)
		_, err = collect(t, stream)
		require.ErrorIs(t, err, engine.ErrInterrupted)
		require.Eventually(t, func() bool {
			state, err := client.State(ctx)
			return err == nil && state.Incarnation == 2 && state.CachedBlocks == 0
		}, testTimeout, time.Millisecond)
	})
}

func TestDownEngineIsNotReached(t *testing.T) {
	eachVendor(t, fastEngine, func(t *testing.T, server *standin.Engine, client engine.Engine) {
		server.Crash(time.Hour)
		_, err := client.Submit(context.Background(), request("a", "x", true))
		require.ErrorIs(t, err, engine.ErrNotReached)
	})
}

func TestEventsFollowCacheAndReportGaps(t *testing.T) {
	options := fastEngine
	options.EventBuffer = 1
	eachVendor(t, options, func(t *testing.T, _ *standin.Engine, client engine.Engine) {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		reader, err := client.Events(ctx, 0)
		require.NoError(t, err)
		defer reader.Close()
		var last uint64
		for i := range 3 {
			r := request(fmt.Sprint(i), strings.Repeat(fmt.Sprint(i), 400), false)
			stream, err := client.Submit(ctx, r)
			require.NoError(t, err)
			_, err = collect(t, stream)
			require.NoError(t, err)
			events, err := reader.Next(ctx)
			require.NoError(t, err)
			hashes, ends, err := client.Blocks(r)
			require.NoError(t, err)
			require.Len(t, events, 1)
			assert.Equal(t, engine.BlocksStored, events[0].Kind)
			assert.Equal(t, hashes, events[0].Blocks)
			assert.Equal(t, 64*len(hashes), ends[len(ends)-1])
			last = events[0].Seq
		}
		_, err = client.Events(ctx, 0)
		require.ErrorIs(t, err, engine.ErrGap)
		_, err = client.Events(ctx, last+1)
		require.ErrorIs(t, err, engine.ErrGap)
		snapshot, err := client.Snapshot(ctx)
		if err != nil {
			require.ErrorIs(t, err, engine.ErrUnsupported)
			return
		}
		assert.Equal(t, last, snapshot.Seq)
		assert.Len(t, snapshot.Blocks, 3*6)
	})
}

func TestOrdersTakeEffectAndOldFencesAreRefused(t *testing.T) {
	options := fastEngine
	options.ChecksFencing = true
	eachVendor(t, options, func(t *testing.T, _ *standin.Engine, client engine.Engine) {
		ctx := context.Background()
		order := func(fence uint64, kind jayv1.OrderKind) error {
			return client.Order(ctx, engine.Order{Fence: fence, Kind: kind, Digest: "sha256:v2", Adapter: "lora/2", Role: "prefill"})
		}
		require.NoError(t, order(5, jayv1.OrderKind_ORDER_KIND_LOAD_VERSION))
		require.NoError(t, order(5, jayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER))
		require.NoError(t, order(6, jayv1.OrderKind_ORDER_KIND_SET_ROLE))
		require.ErrorIs(t, order(5, jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION), engine.ErrStaleFence)
		state, err := client.State(ctx)
		require.NoError(t, err)
		assert.Equal(t, []string{"sha256:v1", "sha256:v2"}, state.Versions)
		assert.Equal(t, []string{"lora/1", "lora/2"}, state.Adapters)
		assert.Equal(t, "prefill", state.Role)
		require.NoError(t, order(6, jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION))
		require.NoError(t, order(6, jayv1.OrderKind_ORDER_KIND_UNLOAD_ADAPTER))
		state, err = client.State(ctx)
		require.NoError(t, err)
		assert.Equal(t, []string{"sha256:v1"}, state.Versions)
		assert.Equal(t, []string{"lora/1"}, state.Adapters)
	})
}

func TestKVCacheExportAndImport(t *testing.T) {
	eachVendor(t, fastEngine, func(t *testing.T, server *standin.Engine, client engine.Engine) {
		ctx := context.Background()
		r := request("a", strings.Repeat("kept ", 200), false)
		blocks, _, err := client.Blocks(r)
		require.NoError(t, err)
		stream, err := client.Submit(ctx, r)
		require.NoError(t, err)
		_, err = collect(t, stream)
		require.NoError(t, err)
		kv, err := client.ExportKV(ctx, blocks)
		require.NoError(t, err)
		server.Crash(0)
		require.Eventually(t, func() bool { return client.ImportKV(ctx, kv) == nil }, testTimeout, time.Millisecond)
		assert.Equal(t, blocks, server.Core().Snapshot().Blocks)
		require.ErrorIs(t, client.ImportKV(ctx, []byte("no kv")), engine.ErrRefused)
	})
}

// Guards against mixing up responses when the engine delivers events late, twice
// or to the wrong stream: each event must carry the id of its own request.
func TestMisdeliveredEventsNameTheirRequest(t *testing.T) {
	options := fastEngine
	options.OutputTokens = 200
	options.Seed = 7
	options.Faults = sim.Faults{AnswerCrossed: 0.2, AnswerDoubled: 0.2, AnswerLate: 0.2}
	eachVendor(t, options, func(t *testing.T, _ *standin.Engine, client engine.Engine) {
		first, second := request("one", "first", true), request("two", "second", true)
		a, err := client.Submit(context.Background(), first)
		require.NoError(t, err)
		b, err := client.Submit(context.Background(), second)
		require.NoError(t, err)
		for r, stream := range map[*engine.Request]engine.Stream{&first: a, &second: b} {
			events, err := collect(t, stream)
			require.NoError(t, err)
			own := make([]engine.Event, 0, 202)
			byIndex := map[uint64]engine.Event{}
			foreign := 0
			for _, event := range events {
				if event.RequestID != r.ID {
					foreign++
					continue
				}
				byIndex[event.Index] = event
			}
			for i := range uint64(len(byIndex)) {
				own = append(own, byIndex[i])
			}
			assert.Equal(t, completeText(t, *r, 200), text(t, own))
			assert.Greater(t, len(events), len(own))
			assert.Positive(t, foreign)
		}
	})
}
