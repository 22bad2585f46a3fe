package sim_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/engine/blockhash"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

// withVirtualTime runs a test in virtual time with an engine that computes 1,000 prompt
// tokens per second, decodes a token every 10 ms and runs 4 requests at once.
func withVirtualTime(t *testing.T, change func(*sim.Options), test func(t *testing.T, core *sim.Core)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		options := sim.Options{
			PrefillTokensPerSecond: 1000,
			DecodeStep:             10 * time.Millisecond,
			MaxRunning:             4,
			OutputTokens:           3,
			Versions:               []string{"v1"},
		}
		if change != nil {
			change(&options)
		}
		core := sim.New(options)
		defer core.Close()
		test(t, core)
	})
}

// prompt returns a prompt of n tokens that begins with a name.
func prompt(name string, n int) []string {
	return []string{name + strings.Repeat("x", n*blockhash.BytesPerToken-len(name))}
}

func submit(t *testing.T, core *sim.Core, call sim.Call) *sim.Answer {
	t.Helper()
	answer, err := core.Submit(call)
	require.NoError(t, err)
	return answer
}

func drain(t *testing.T, answer *sim.Answer) ([]sim.Token, sim.Batch) {
	t.Helper()
	var tokens []sim.Token
	for {
		batch, err := answer.Next(context.Background())
		require.NoError(t, err)
		tokens = append(tokens, batch.Tokens...)
		if batch.Ended {
			return tokens, batch
		}
	}
}

func TestTimesMatchConfiguredRates(t *testing.T) {
	withVirtualTime(t, nil, func(t *testing.T, core *sim.Core) {
		start := time.Now()
		a := submit(t, core, sim.Call{ID: "a", Parts: prompt("a", 160)})
		b := submit(t, core, sim.Call{ID: "b", Parts: prompt("b", 160)})
		_, err := a.Next(context.Background())
		require.NoError(t, err)
		assert.Equal(t, 160*time.Millisecond, time.Since(start))
		_, last := drain(t, a)
		assert.Equal(t, 180*time.Millisecond, time.Since(start))
		assert.NoError(t, last.Err)
		_, last = drain(t, b)
		assert.Equal(t, 340*time.Millisecond, time.Since(start), "the prefill rate is shared")
		assert.Equal(t, engine.Usage{PromptTokens: 160, OutputTokens: 3}, last.Usage)
		again := time.Now()
		c := submit(t, core, sim.Call{ID: "c", Parts: prompt("b", 160)})
		_, last = drain(t, c)
		assert.Equal(t, 159, last.Usage.CachedTokens)
		assert.Equal(t, 21*time.Millisecond, time.Since(again))
	})
}

func TestHigherPriorityRunsFirst(t *testing.T) {
	withVirtualTime(t, func(o *sim.Options) { o.MaxRunning = 1 }, func(t *testing.T, core *sim.Core) {
		submit(t, core, sim.Call{ID: "first", Parts: prompt("a", 100)})
		synctest.Wait()
		low := submit(t, core, sim.Call{ID: "low", Parts: prompt("b", 100)})
		high := submit(t, core, sim.Call{ID: "high", Parts: prompt("c", 100), Priority: 5})
		start := time.Now()
		drain(t, high)
		assert.Equal(t, 240*time.Millisecond, time.Since(start))
		drain(t, low)
		assert.Equal(t, 360*time.Millisecond, time.Since(start))
	})
}

func TestCancelFreesSlot(t *testing.T) {
	withVirtualTime(t, func(o *sim.Options) { o.MaxRunning = 1 }, func(t *testing.T, core *sim.Core) {
		first := submit(t, core, sim.Call{ID: "first", Parts: prompt("a", 100_000)})
		second := submit(t, core, sim.Call{ID: "second", Parts: prompt("b", 100)})
		synctest.Wait()
		core.Cancel("first")
		_, last := drain(t, first)
		require.ErrorIs(t, last.Err, sim.ErrCancelled)
		_, last = drain(t, second)
		require.NoError(t, last.Err)
	})
}

// Guards against cache hits across workspaces, versions or adapters.
func TestCacheIsSeparateForSaltVersionAndAdapter(t *testing.T) {
	change := func(o *sim.Options) { o.Versions, o.Adapters = []string{"v1", "v2"}, []string{"l"} }
	withVirtualTime(t, change, func(t *testing.T, core *sim.Core) {
		for i, call := range []sim.Call{{Salt: "a"}, {Salt: "b"}, {Salt: "a", VersionDigest: "v2"}, {Salt: "a", Adapter: "l"}} {
			call.ID, call.Parts = fmt.Sprint(i), prompt("p", 64)
			_, last := drain(t, submit(t, core, call))
			assert.Zero(t, last.Usage.CachedTokens, i)
		}
		_, last := drain(t, submit(t, core, sim.Call{ID: "again", Salt: "a", Parts: prompt("p", 64)}))
		assert.Equal(t, 63, last.Usage.CachedTokens)
	})
}

func TestFreezeStopsProgressAndThawResumes(t *testing.T) {
	withVirtualTime(t, nil, func(t *testing.T, core *sim.Core) {
		start := time.Now()
		answer := submit(t, core, sim.Call{ID: "a", Parts: prompt("a", 100)})
		time.Sleep(50 * time.Millisecond)
		core.Freeze()
		time.Sleep(time.Minute)
		select {
		case <-core.Thawed():
			t.Fatal("not frozen")
		default:
		}
		core.Thaw()
		drain(t, answer)
		assert.Equal(t, time.Minute+120*time.Millisecond, time.Since(start))
	})
}

func TestCrashDropsEverything(t *testing.T) {
	change := func(o *sim.Options) { o.OutputTokens, o.LoadTime = 1000, time.Second }
	withVirtualTime(t, change, func(t *testing.T, core *sim.Core) {
		require.NoError(t, core.Order(engine.Order{Kind: jayv1.OrderKind_ORDER_KIND_LOAD_VERSION, Digest: "v2"}))
		assert.Equal(t, []string{"v1"}, core.State().Versions)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, []string{"v1", "v2"}, core.State().Versions)
		answer := submit(t, core, sim.Call{ID: "a", Parts: prompt("a", 100)})
		subscription, err := core.Subscribe(0)
		require.NoError(t, err)
		time.Sleep(time.Second)
		events, err := subscription.Next(context.Background())
		require.NoError(t, err)
		require.Len(t, events, 1)
		core.Crash()
		_, last := drain(t, answer)
		require.ErrorIs(t, last.Err, sim.ErrCrashed)
		_, err = subscription.Next(context.Background())
		require.ErrorIs(t, err, sim.ErrCrashed)
		state := core.State()
		assert.EqualValues(t, 2, state.Incarnation)
		assert.Zero(t, state.CachedBlocks)
		assert.Equal(t, []string{"v1"}, state.Versions)
		_, err = core.Subscribe(1)
		require.ErrorIs(t, err, sim.ErrGap, "sequence numbers of an earlier incarnation are invalid")
	})
}

func TestLoadReportLags(t *testing.T) {
	change := func(o *sim.Options) { o.Faults.StateLagMS, o.OutputTokens = 5000, 4000 }
	withVirtualTime(t, change, func(t *testing.T, core *sim.Core) {
		assert.Zero(t, core.State().Running)
		submit(t, core, sim.Call{ID: "a", Parts: prompt("a", 100)})
		time.Sleep(4 * time.Second)
		assert.Zero(t, core.State().Running)
		time.Sleep(2 * time.Second)
		assert.Zero(t, core.State().Running, "the new report is recorded now and shown after the lag")
		time.Sleep(5 * time.Second)
		state := core.State()
		assert.Equal(t, 1, state.Running)
		assert.Equal(t, 5*time.Second, state.Lag)
	})
}

func TestGreyFailureMakesNoProgressAndReportsNoLoad(t *testing.T) {
	withVirtualTime(t, nil, func(t *testing.T, core *sim.Core) {
		core.SetFaults(sim.Faults{Grey: sim.GreyHang})
		answer := submit(t, core, sim.Call{ID: "a", Parts: prompt("a", 100)})
		time.Sleep(time.Minute)
		assert.Zero(t, core.State().Waiting)
		assert.Empty(t, core.Runs())
		core.SetFaults(sim.Faults{})
		_, last := drain(t, answer)
		require.NoError(t, last.Err)
	})
}

func TestBreakFaultInterruptsStream(t *testing.T) {
	change := func(o *sim.Options) { o.Faults = sim.Faults{BreakShare: 1, BreakAfter: 2} }
	withVirtualTime(t, change, func(t *testing.T, core *sim.Core) {
		tokens, last := drain(t, submit(t, core, sim.Call{ID: "a", Parts: prompt("a", 10)}))
		assert.Len(t, tokens, 2)
		require.ErrorIs(t, last.Err, sim.ErrInterrupted)
	})
}

// A reader that applies all events in order must end with the engine's cache
// content; lost events must show as gaps in the sequence numbers.
func TestEventsMatchCacheOrShowGaps(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		blocks := rapid.IntRange(4, 40).Draw(rt, "blocks")
		loss := rapid.SampledFrom([]float64{0, 0.5}).Draw(rt, "loss")
		withVirtualTime(t, func(o *sim.Options) {
			o.CacheBlocks, o.Seed = blocks, seed
			o.Faults = sim.Faults{EventLoss: loss, EventDoubled: 0.2, EventReordered: 0.2, EventDelayMS: 100}
		}, func(t *testing.T, core *sim.Core) {
			subscription, err := core.Subscribe(0)
			require.NoError(t, err)
			for i := range 20 {
				drain(t, submit(t, core, sim.Call{ID: "r", Parts: prompt(fmt.Sprint(i%7), 16*(1+i%5))}))
			}
			core.SetFaults(sim.Faults{EventDelayMS: 100})
			drain(t, submit(t, core, sim.Call{ID: "last", Parts: prompt("last", 16)}))
			time.Sleep(time.Second)
			events, err := subscription.Next(context.Background())
			require.NoError(t, err)
			checkEvents(t, core, events, loss > 0)
		})
	})
}

func checkEvents(t *testing.T, core *sim.Core, events []engine.CacheEvent, lossy bool) {
	snapshot := core.Snapshot()
	bySeq := map[uint64]engine.CacheEvent{}
	for _, event := range events {
		assert.GreaterOrEqual(t, event.Age, 100*time.Millisecond)
		bySeq[event.Seq] = event
	}
	cached := map[engine.BlockHash]bool{}
	for seq := uint64(1); seq <= snapshot.Seq; seq++ {
		event, ok := bySeq[seq]
		if !ok {
			require.True(t, lossy, "event %d is missing", seq)
			return
		}
		for _, block := range event.Blocks {
			if event.Kind == engine.BlocksStored {
				cached[block] = true
			} else {
				delete(cached, block)
			}
		}
	}
	assert.Len(t, cached, len(snapshot.Blocks))
	for _, block := range snapshot.Blocks {
		assert.True(t, cached[block])
	}
}

func FuzzImport(f *testing.F) {
	f.Add([]byte("kv-1\x00\x00\x00\x00\x01\x02\x03\x04\x05\x06\x07\x08"))
	f.Add([]byte("kv-1\xff\xff\xff\xff"))
	core := sim.New(sim.Options{CacheBlocks: 8})
	f.Cleanup(core.Close)
	f.Fuzz(func(t *testing.T, kv []byte) {
		if _, err := core.Import(kv); err == nil {
			assert.LessOrEqual(t, core.State().CachedBlocks, 8)
		}
	})
}
