package agent_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/engine/dialect"
	standin "github.com/jayproxy/jayproxy/internal/standin/engine"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
	"github.com/jayproxy/jayproxy/internal/standin/kvstore"
)

// newKVFixture starts an agent beside an engine with a small, empty cache and a
// KV cache store.
func newKVFixture(t *testing.T, vendor string, store *kvstore.Store) *fixture {
	t.Helper()
	started, err := standin.Start(standin.Options{Vendor: vendor, Engine: sim.Options{
		Versions: []string{digest}, CacheBlocks: 400, PrefillTokensPerSecond: 8000, DecodeStep: time.Millisecond, OutputTokens: 2,
	}})
	require.NoError(t, err)
	t.Cleanup(started.Close)
	holder := catalog.NewHolder()
	holder.Adopt(catalog.Build(&jayv1.Snapshot{Generation: 1, Resources: []*jayv1.Resource{
		{Kind: &jayv1.Resource_Pool{Pool: &jayv1.Pool{Name: "p1", Model: "m", KvService: "memoria-prompts"}}},
		{Kind: &jayv1.Resource_BackendServer{BackendServer: &jayv1.BackendServer{Name: "b1", Pool: "p1"}}},
	}}))
	return newFixture(t, func(s *agent.Settings) {
		s.Engine.Vendor, s.Engine.URL, s.Engine.KVURL = vendor, started.URL(), store.URL()
		s.OpenEngine, s.Catalog = dialect.Open, holder
	})
}

// runCachedTokens runs a prompt and returns the number of its tokens that the
// engine had cached.
func (fix *fixture) runCachedTokens(id, workspace, document string) uint32 {
	fix.t.Helper()
	offer, body := chatOffer(fix.t, id, workspace, document)
	got := readResponse(fix.t, fix.accepted(offer, body))
	require.Equal(fix.t, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome(), got.end.GetError())
	return got.end.GetUsage().GetCachedTokens()
}

// Guards against computing a frequently used prefix that the KV cache store has,
// and against a request that fails or is late when the store is down or slow.
func TestHotPrefixIsFetchedInsteadOfComputed(t *testing.T) {
	for _, vendor := range []string{standin.Merle, standin.Pica} {
		t.Run(vendor, func(t *testing.T) {
			store, err := kvstore.Start(kvstore.Options{})
			require.NoError(t, err)
			t.Cleanup(store.Close)
			warm := newKVFixture(t, vendor, store)
			for i := 0; i < 40 && store.Len() == 0; i++ {
				warm.runCachedTokens(fmt.Sprint("warm", i), "w1", strings.Repeat(fmt.Sprint("document ", i, " "), 300))
			}
			require.Eventually(t, func() bool { return store.Len() > 0 }, 5*time.Second, 10*time.Millisecond)

			cold := newKVFixture(t, vendor, store)
			assert.Greater(t, cold.runCachedTokens("r1", "w1", "another"), uint32(1900))
			assert.Zero(t, cold.runCachedTokens("r2", "w2", "another"), "stored for another workspace")

			store.SetFaults(kvstore.Faults{Outage: true})
			assert.Zero(t, newKVFixture(t, vendor, store).runCachedTokens("r3", "w1", "another"), "cached tokens with the store down")
			store.SetFaults(kvstore.Faults{DelayMS: 500})
			began := time.Now()
			assert.Zero(t, newKVFixture(t, vendor, store).runCachedTokens("r4", "w1", "another"), "cached tokens with a slow store")
			assert.Less(t, time.Since(began), 2*time.Second)
		})
	}
}

// Guards against computing a long prefix that the KV cache store has, because the store needed a
// fraction of the saved time to answer the lookup.
func TestLongPrefixIsFetchedFromAStoreThatAnswersLate(t *testing.T) {
	store, err := kvstore.Start(kvstore.Options{})
	require.NoError(t, err)
	t.Cleanup(store.Close)
	warm := newKVFixture(t, standin.Merle, store)
	for i := 0; i < 40 && store.Len() == 0; i++ {
		warm.runCachedTokens(fmt.Sprint("warm", i), "w1", strings.Repeat(fmt.Sprint("document ", i, " "), 300))
	}
	require.Eventually(t, func() bool { return store.Len() > 0 }, 5*time.Second, 10*time.Millisecond)
	store.SetFaults(kvstore.Faults{DelayMS: 75})
	assert.Positive(t, newKVFixture(t, standin.Merle, store).runCachedTokens("r1", "w1", "another"))
}
