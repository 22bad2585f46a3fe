package routing_test

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/load"
	"github.com/jayproxy/jayproxy/internal/prefix"
	"github.com/jayproxy/jayproxy/internal/routing"
)

// A small simulation in virtual time for comparing policies: servers with an
// LRU cache and one prefill at a time, and entries that each receive a part of
// the calls. jay-load measures the real processes.
const (
	simPrefillRate = 10000.0 // tokens per second
	simHopMS       = 1.0     // one offer or probe and its reply
	simOutputMS    = 150.0   // from the first token to the end
	simCacheShare  = 0.75    // of the working set, over all servers
)

type simServer struct {
	freeAt      time.Duration
	lru         *list.List
	blocks      map[uint64]*list.Element
	capacity    int
	retentionMS float64
	inService   int
}

type cachedBlock struct {
	hash uint64
	used time.Duration
}

func newSimServer(capacity int) *simServer {
	return &simServer{lru: list.New(), blocks: map[uint64]*list.Element{}, capacity: capacity, retentionMS: 30000}
}

func (s *simServer) hits(chain []uint64) int {
	n := 0
	for n < len(chain) && s.blocks[chain[n]] != nil {
		n++
	}
	return n
}

// touch caches the chain, its deepest block as the least recently used.
func (s *simServer) touch(now time.Duration, chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		if e := s.blocks[chain[i]]; e != nil {
			e.Value = cachedBlock{chain[i], now}
			s.lru.MoveToFront(e)
			continue
		}
		s.blocks[chain[i]] = s.lru.PushFront(cachedBlock{chain[i], now})
	}
	for s.lru.Len() > s.capacity {
		last := s.lru.Remove(s.lru.Back()).(cachedBlock)
		delete(s.blocks, last.hash)
		s.retentionMS += 0.001 * (ms(now-last.used) - s.retentionMS)
	}
}

func (s *simServer) state(now time.Duration) *jayv1.AgentState {
	return &jayv1.AgentState{
		Incarnation: 1, Ready: true, QueueMs: ms(max(0, s.freeAt-now)), Running: uint32(s.inService),
		PrefillTokensPerSecond: simPrefillRate, CacheSurvivalMs: s.retentionMS,
	}
}

func (s *simServer) cost(now time.Duration, chain []uint64, bytes int) float64 {
	missed := bytes - s.hits(chain)*64
	return ms(max(0, s.freeAt-now)) + float64(missed)/4/simPrefillRate*1000
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

type simEnd struct {
	at     time.Duration
	server int
	entry  int
	req    *routing.Request
	ttft   float64
}

type simEnds []simEnd

func (h simEnds) Len() int           { return len(h) }
func (h simEnds) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEnds) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEnds) Push(x any)        { *h = append(*h, x.(simEnd)) }
func (h *simEnds) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation is one run. All entries restart at restartAt, if it is
// positive; slowServer, if not negative, prefills slowFactor times as long.
type simulation struct {
	servers []*simServer
	names   []string
	byName  map[string]int
	entries []*routing.Router
	set     *routing.Set
	pool    *routing.PoolPolicy
	ends    simEnds

	ttft               []float64
	hit, prompt        int
	messages, calls    int
	slowServer         int
	slowFactor         float64
	restartAt          time.Duration
	policy             string
	hitAfterRestart    int
	promptAfterRestart int
}

func newSimulation(mix load.Mix, policy string, entries int, calls []load.Call) *simulation {
	workingSet := load.UnlimitedCache(calls).SharedTokens
	capacity := int(simCacheShare * float64(workingSet) / 16 / float64(mix.Servers))
	t := &simulation{
		policy: policy, byName: map[string]int{}, slowServer: -1,
		pool: &routing.PoolPolicy{Pool: "p", BytesPerToken: 4, SharedLevel: 2, RecomputeWeight: mix.RecomputeWeight},
	}
	list := servers(mix.Servers)
	for i, server := range list {
		t.servers = append(t.servers, newSimServer(capacity))
		t.names = append(t.names, server.Name)
		t.byName[server.Name] = i
	}
	t.set = routing.NewSet("p", list)
	for e := range entries {
		t.entries = append(t.entries, t.router(e))
	}
	return t
}

func (t *simulation) router(e int) *routing.Router {
	return routing.New(routing.Options{Policy: t.policy, DataCentre: fmt.Sprintf("hall-%d", e%3), Region: "north", Seed: uint64(e)})
}

func (t *simulation) run(calls []load.Call) {
	random := rand.New(rand.NewPCG(5, 5))
	restarted := false
	for i := range calls {
		at := calls[i].At
		for len(t.ends) > 0 && t.ends[0].at <= at {
			t.finish(heap.Pop(&t.ends).(simEnd))
		}
		if t.restartAt > 0 && at >= t.restartAt && !restarted {
			restarted = true
			for e := range t.entries {
				t.entries[e] = t.router(e)
			}
		}
		t.serve(at, random.IntN(len(t.entries)), &calls[i])
	}
}

func (t *simulation) finish(end simEnd) {
	now := epoch.Add(end.at)
	s := t.servers[end.server]
	s.inService--
	t.entries[end.entry].UpdateState(now, t.names[end.server], s.state(end.at))
	t.entries[end.entry].Finished(now, t.names[end.server], end.req, end.ttft)
}

func (t *simulation) serve(at time.Duration, e int, call *load.Call) {
	chain := prefix.Chain(prefix.Seed{Workspace: call.Workspace}, load.Rendered(call))
	blocks := load.BlockChain(call)
	req := &routing.Request{ID: fmt.Sprint(call.Index), Chain: chain.Points, Levels: chain.Levels, PromptBytes: chain.Bytes}
	router, now, hops := t.entries[e], epoch.Add(at), 1.0
	var tried []routing.RefusedOffer
	t.calls++
	for {
		d, err := router.Choose(now, req, t.pool, t.set, tried)
		if err != nil {
			panic(err)
		}
		if len(d.ProbeServers) > 0 {
			t.messages += len(d.ProbeServers)
			hops++
			for _, name := range d.ProbeServers {
				s := t.servers[t.byName[name]]
				cached := s.hits(blocks) * 64
				router.UpdateState(now, name, s.state(at))
				router.ObserveCache(now, name, req, cached, 1)
				req.Probes = append(req.Probes, routing.Probe{Server: name, CostMS: s.cost(at, blocks, chain.Bytes), CachedBytes: cached})
			}
			continue
		}
		t.messages++
		i := t.byName[d.Server]
		s := t.servers[i]
		cached, cost := s.hits(blocks)*64, s.cost(at, blocks, chain.Bytes)
		router.UpdateState(now, d.Server, s.state(at))
		router.ObserveCache(now, d.Server, req, cached, 1)
		if !d.Final && d.NextBestMS > 0 && cost > d.NextBestMS {
			hops++
			tried = append(tried, routing.RefusedOffer{Server: d.Server, Refusal: jayv1.Refusal_REFUSAL_COST, CostMS: cost, CachedBytes: cached})
			continue
		}
		t.accept(at, e, i, call, req, blocks, cost+hops*simHopMS)
		router.UpdateState(now, d.Server, s.state(at))
		router.HandedOff(now, d.Server, req, cost)
		return
	}
}

func (t *simulation) accept(at time.Duration, e, i int, call *load.Call, req *routing.Request, blocks []uint64, ttft float64) {
	s := t.servers[i]
	hits := s.hits(blocks)
	prefill := time.Duration(float64(req.PromptBytes-hits*64) / 4 / simPrefillRate * float64(time.Second))
	if i == t.slowServer {
		prefill = time.Duration(float64(prefill) * t.slowFactor)
		ttft = ms(max(0, s.freeAt-at)+prefill) + simHopMS
	}
	s.freeAt = max(at, s.freeAt) + prefill
	s.touch(at, blocks)
	s.inService++
	heap.Push(&t.ends, simEnd{at: at + time.Duration((ttft+simOutputMS)*1e6), server: i, entry: e, req: req, ttft: ttft})
	if at < 15*time.Second { // the caches are being filled
		return
	}
	t.ttft = append(t.ttft, ttft)
	t.hit += hits * 16
	t.prompt += req.PromptBytes / 4
	if t.restartAt > 0 && at >= t.restartAt && at < t.restartAt+5*time.Second {
		t.hitAfterRestart += hits * 16
		t.promptAfterRestart += req.PromptBytes / 4
	}
}

func (t *simulation) quantile(q float64) float64 {
	slices.Sort(t.ttft)
	return t.ttft[int(q*float64(len(t.ttft)-1))]
}

// leastLoadRate returns the calls per second that PolicyLeastLoad can serve,
// computed from its hit rate at a moderate rate.
func leastLoadRate(mix load.Mix) float64 {
	calls := load.Generate(load.Traffic{Mix: mix, Rate: 40, Duration: 60 * time.Second, Seed: 1})
	t := newSimulation(mix, routing.PolicyLeastLoad, 3, calls)
	t.run(calls)
	missed := float64(t.prompt-t.hit) / float64(len(t.ttft))
	return float64(mix.Servers) * simPrefillRate / missed
}

// BenchmarkTrial reports the hit rate, p50 and p99 of the time to first token
// in milliseconds, and messages to agents per request. Run it with -benchtime
// 1x.
func BenchmarkTrial(b *testing.B) {
	for _, mix := range []load.Mix{load.Association(), load.Darovnica()} {
		full := leastLoadRate(mix)
		for _, share := range []float64{0.5, 0.8, 1.1} {
			calls := load.Generate(load.Traffic{Mix: mix, Rate: share * full, Duration: 75 * time.Second, Seed: 2})
			for _, entries := range []int{1, 3, 12, 37} {
				for _, policy := range routing.Policies() {
					b.Run(fmt.Sprintf("mix=%s/load=%.1f/entries=%d/%s", mix.Name, share, entries, policy), func(b *testing.B) {
						for range b.N {
							t := newSimulation(mix, policy, entries, calls)
							t.run(calls)
							b.ReportMetric(float64(t.hit)/float64(t.prompt), "hit")
							b.ReportMetric(t.quantile(0.5), "p50ms")
							b.ReportMetric(t.quantile(0.99), "p99ms")
							b.ReportMetric(float64(t.messages)/float64(t.calls), "asks")
							b.ReportMetric(0, "ns/op")
						}
					})
				}
			}
		}
	}
}
