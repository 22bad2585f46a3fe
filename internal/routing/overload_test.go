package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/routing"

	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

// longAndShort is a mix of long prompts with long outputs and many short ones.
// At scale 1.4 its running requests nearly fill the memory of 16 engines.
func longAndShort(scale float64) []*modelClass {
	return []*modelClass{
		{
			name: "short", perSecond: 76 * scale, own: 1800, spread: 1.3, largest: 7000, commonTokens: 340, commons: 12, documentTokens: 230, documents: 220,
			output: 22, targetMS: 600, timeoutMS: 3000, firstTokenTimeoutMS: 6400, credit: 1.6, lateCredit: 0.5, priority: 0,
		},
		{
			name: "long", perSecond: 37 * scale, own: 6500, spread: 1.4, largest: 54000, commonTokens: 500, commons: 8, documentTokens: 4900, documents: 160,
			output: 385, targetMS: 1000, timeoutMS: 15000, firstTokenTimeoutMS: 6400, credit: 5, lateCredit: 1.5, priority: 1,
		},
	}
}

// playOverload simulates 15 s of the mix and returns the fleet and its net
// share: the credit earned less the cost of recomputed tokens, as a share of
// the credit possible.
func playOverload(t *testing.T, scale float64, mayWait bool, isolated int) (*modelFleet, float64) {
	t.Helper()
	f := newModelFleet(1, 16, 9, 140000, longAndShort(scale))
	f.mayWait, f.isolated = mayWait, isolated
	f.play(15000)
	r := f.results()
	net := r["all"].share() - float64(f.recomputed)/1000/r["all"].possible
	t.Logf("scale %.1f wait %v isolated %d: net %.3f long %.3f (%d in time, %d late, %d failed) short %.3f; prefilled %d k, recomputed %d k, preempted %d, rejected %d",
		scale, mayWait, isolated, net, r["long"].share(), r["long"].inTime, r["long"].late, r["long"].failed, r["short"].share(), f.prefilled/1000, f.recomputed/1000, f.preempted, f.rejected)
	return f, net
}

// When running requests fill the engines' memory, preempted prompts and evicted prefixes are
// prefilled again, which keeps the memory full long after the peak.
func TestPromptsWaitOutsideFullEngines(t *testing.T) {
	before, netBefore := playOverload(t, 1.7, false, 0)
	after, net := playOverload(t, 1.7, true, 0)
	assert.Less(t, after.preempted, before.preempted/3)
	assert.Less(t, after.recomputed, before.recomputed*2/3)
	assert.Greater(t, net, netBefore+0.2)
	long, longBefore := after.results()["long"], before.results()["long"]
	assert.Greater(t, long.inTime, longBefore.inTime)
	assert.LessOrEqual(t, long.failed, long.requests/10, "waiting requests are served, or rejected and retried")
	assert.Greater(t, after.results()["short"].share(), 0.95, "requests of the higher priority are served")
}

// Far from the memory limit, nothing may wait.
func TestNothingWaitsWhileMemoryIsFree(t *testing.T) {
	_, netBefore := playOverload(t, 0.6, false, 0)
	after, net := playOverload(t, 0.6, true, 0)
	assert.Zero(t, after.rejected)
	assert.InDelta(t, netBefore, net, 0.02)
}

// Entries that receive no hints must not assume that the engines are empty and
// overfill them.
func TestIsolatedEntriesDoNotOverfillEngines(t *testing.T) {
	connected, net := playOverload(t, 1.5, true, 0)
	partitioned, netPartitioned := playOverload(t, 1.5, true, 3)
	assert.Less(t, partitioned.preempted, connected.preempted+100)
	assert.Greater(t, netPartitioned, net-0.1)
}

// A server with new weights is idle when it becomes available: entries must not
// all place their requests there before its load is reported.
func TestServerWithNewWeightsIsNotOverloadedByAllEntries(t *testing.T) {
	const entries = 31
	servers := directServers(8)
	for i := range servers[1:] {
		servers[i+1].VersionAge = 3 * time.Second
	}
	servers[0].Version = 2
	var all []*routing.Direct
	for range entries {
		d := newDirect()
		d.SetEntries(entries)
		all = append(all, d)
	}
	onNewWeights := 0
	for i, from := range all {
		now := directStart.Add(time.Duration(i) * 100 * time.Millisecond / entries)
		choice, err := from.Choose(now, prompt(fmt.Sprint("r", i), fmt.Sprint("contract", i)), servers, nil)
		require.NoError(t, err)
		if choice.Server.ID == servers[0].ID {
			onNewWeights++
		}
		if i%6 != 5 {
			continue
		}
		for k, entry := range all[i-5 : i+1] {
			placed := entry.TakePlacedHints()
			require.NotEmpty(t, placed)
			for _, other := range all[i+1:] {
				other.ReceivePlacedHints(now, uint32(i+k), placed) //nolint:gosec // few
			}
		}
	}
	assert.Less(t, onNewWeights, entries/2)
	assert.Positive(t, onNewWeights)
}
