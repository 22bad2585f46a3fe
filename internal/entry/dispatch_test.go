package entry_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
)

func decline(offer *jayv1.Offer) *jayv1.OfferReply {
	if offer.GetFinal() {
		return nil
	}
	return &jayv1.OfferReply{Refusal: jayv1.Refusal_REFUSAL_COST, CostMs: 500}
}

// Guards against a request that is never served because every backend server
// declines it for cost.
func TestOfferIsFinalAfterThreeDeclines(t *testing.T) {
	s := newDeployment(t, "b1", "b2", "b3", "b4", "b5", "b6")
	for _, a := range s.agents {
		a.set(func(f *fakeAgent) { f.refuse = decline })
	}
	e := s.entry("e1")
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatPlain)
	require.Equal(t, http.StatusOK, r.status, r.body)
	declined := -1
	for _, a := range s.agents {
		declined += a.count(func(f *fakeAgent) int { return len(f.offers) })
	}
	assert.LessOrEqual(t, declined, 3)
}

// A model request that failed before its first token is retried on another
// server, but the retry budget limits the load when every server fails.
func TestLostModelRequestIsRetriedWithinBudget(t *testing.T) {
	s := newDeployment(t, "b1", "b2", "b3")
	var failures atomic.Int64
	failures.Store(1)
	respond := func(offer *jayv1.Offer, body []byte, emit func(string)) *jayv1.End {
		if failures.Add(-1) >= 0 {
			return &jayv1.End{Outcome: jayv1.Outcome_OUTCOME_UNKNOWN, Error: "engine failed"}
		}
		return tokens(3)(offer, body, emit)
	}
	for _, a := range s.agents {
		a.set(func(f *fakeAgent) { f.respond = respond })
	}
	e := s.entry("e1", func(settings *entry.Settings) { settings.Attempts.RetryBurst = 4 })
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream)
	assert.Len(t, texts(r.body), 3)
	assert.Equal(t, "2", r.header.Get(entry.HeaderAttempts))

	failures.Store(1 << 30)
	const requests = 20
	for range requests {
		r = call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream)
		assert.Equal(t, http.StatusBadGateway, r.status)
		assert.Equal(t, "1", r.header.Get("Retry-After"))
	}
	attempts := 0
	for _, a := range s.agents {
		attempts += a.count(func(f *fakeAgent) int { return len(f.bodies) })
	}
	assert.LessOrEqual(t, attempts, 2+requests+4)
}

// A request that was lost at one server may have run, so its outcome stays
// unknown when all other servers refuse it.
func TestRefusalAfterLostAttemptHasUnknownOutcome(t *testing.T) {
	s := newDeployment(t, "b1", "b2", "b3")
	var lost atomic.Bool
	refuse := func(*jayv1.Offer) *jayv1.OfferReply {
		if lost.Load() {
			return &jayv1.OfferReply{Refusal: jayv1.Refusal_REFUSAL_QUEUE_FULL, RetryAfterMs: 100}
		}
		return nil
	}
	respond := func(*jayv1.Offer, []byte, func(string)) *jayv1.End {
		lost.Store(true)
		return &jayv1.End{Outcome: jayv1.Outcome_OUTCOME_UNKNOWN, Error: "engine failed"}
	}
	for _, a := range s.agents {
		a.set(func(f *fakeAgent) { f.refuse, f.respond = refuse, respond })
	}
	e := s.entry("e1")
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatPlain)
	assert.Equal(t, "unknown", r.header.Get(entry.HeaderOutcome), r.body)
	assert.Greater(t, r.header.Get(entry.HeaderAttempts), "1")
}

// A request to an engine that hangs ends at its deadline with an unknown outcome
// and is canceled at the agent.
func TestRequestTimesOutAtDeadline(t *testing.T) {
	s := newDeployment(t, "b1")
	release := make(chan struct{})
	defer close(release)
	s.agents[0].set(func(f *fakeAgent) {
		f.respond = func(*jayv1.Offer, []byte, func(string)) *jayv1.End {
			<-release
			return done()
		}
	})
	s.resources = append(s.resources, &jayv1.Resource{Kind: &jayv1.Resource_Rule{Rule: &jayv1.Rule{
		Name: "breakdowns", ClassLabel: "breakdown", Class: jayv1.Class_CLASS_INTERACTIVE, DeadlineMs: 200, EnginePriority: 90,
	}}})
	e := s.entry("e1")
	began := time.Now()
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatPlain, entry.HeaderClass, "breakdown")
	assert.Less(t, time.Since(began), 2*time.Second)
	assert.Equal(t, http.StatusGatewayTimeout, r.status)
	assert.Equal(t, string(entry.CodeDeadline), errorOf(t, r).Code)
	assert.Equal(t, "unknown", errorOf(t, r).Outcome)
	offer, _ := s.agents[0].first()
	assert.Equal(t, jayv1.Class_CLASS_INTERACTIVE, offer.GetClass())
	assert.EqualValues(t, 90, offer.GetEnginePriority())
	assert.LessOrEqual(t, offer.GetDeadlineMs(), uint32(200))
	require.Eventually(t, func() bool {
		return s.agents[0].count(func(f *fakeAgent) int { return f.cancels }) == 1
	}, time.Second, time.Millisecond, "the request is canceled at the agent")
}

// A server that the platform lists as draining gets no new requests.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	table := platformtest.New()
	s := newDeployment(t, "b1", "b2")
	e := s.entry("e1", withPlatform(table))
	n := 0
	// send makes requests whose prompts share no prefix, so that both servers get
	// some, and returns the number of offers that b1 got for them.
	send := func() int {
		offers := func(f *fakeAgent) int { return len(f.offers) }
		before := s.agents[0].count(offers)
		for range 16 {
			n++
			prompt := strings.Repeat(strconv.Itoa(n), 400)
			body := `{"model":"modelos","messages":[{"role":"user","content":"` + prompt + `"}]}`
			assert.Equal(t, http.StatusOK, call(t, "POST", e.CallersURL()+chatPath, keyQuarry, body).status)
		}
		return s.agents[0].count(offers) - before
	}
	require.Eventually(t, func() bool { return send() > 0 }, 3*time.Second, time.Millisecond)
	table.SetVMs([]platform.VM{
		{Name: "b1", Role: "backend", State: platform.VMDraining}, {Name: "e1", Role: "entry", State: platform.VMLive},
	})
	listedAt := time.Now()
	require.Eventually(t, func() bool { return time.Since(listedAt) >= 3*time.Second }, 4*time.Second, 10*time.Millisecond)
	for range 6 {
		assert.Zero(t, send(), "b1 gets no offer 3 s after it was listed as draining")
	}
}

// Guards against each entry granting a workspace's full limit: the entries that
// the platform lists share it.
func TestLimitIsSharedByListedEntries(t *testing.T) {
	table := platformtest.New()
	s := newDeployment(t, "b1")
	s.declareWorkspace("small", "k3", "secret-three", &jayv1.Limits{RequestsPerSecond: 3})
	var vms []platform.VM
	var entries []*entry.Entry
	for _, name := range []string{"e1", "e2", "e3"} {
		e := s.entry(name, withPlatform(table))
		entries = append(entries, e)
		vms = append(vms, platform.VM{Name: name, Role: "entry", Address: e.Address(), State: platform.VMLive})
	}
	table.SetVMs(vms)
	for _, e := range entries {
		require.Eventually(t, func() bool { return e.Entries() == 3 }, 5*time.Second, 10*time.Millisecond)
	}
	admitted, refused := 0, 0
	for range 10 {
		for _, e := range entries {
			r := call(t, "POST", e.CallersURL()+chatPath, "jay_k3_secret-three", chatPlain)
			if r.status == http.StatusOK {
				admitted++
				continue
			}
			refused++
			assert.Equal(t, http.StatusTooManyRequests, r.status)
			assert.Equal(t, string(entry.CodeRateLimited), errorOf(t, r).Code)
			assert.NotEmpty(t, r.header.Get("Retry-After"))
		}
	}
	assert.LessOrEqual(t, admitted, 6, "3 in the first second, and more for the time that the calls take")
	assert.Positive(t, refused)
	assert.Equal(t, http.StatusOK, call(t, "POST", entries[0].CallersURL()+chatPath, keyOther, chatPlain).status)
}

// Guards against streams that are truncated, or requests that are refused, while
// entries are replaced one by one under load.
func TestGracefulShutdownInterruptsNoRequest(t *testing.T) {
	s := newDeployment(t, "b1", "b2")
	for _, a := range s.agents {
		a.set(func(f *fakeAgent) { f.respond = paced(20, 5*time.Millisecond) })
	}
	var current atomic.Pointer[entry.Entry]
	current.Store(s.entry("e0", func(settings *entry.Settings) { settings.Timeouts.GraceMS = 100 }))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var wg sync.WaitGroup
	var complete, failed atomic.Int64
	for range 8 {
		wg.Go(func() {
			for ctx.Err() == nil {
				r := call(t, "POST", current.Load().CallersURL()+chatPath, keyQuarry, chatStream)
				if r.err == nil && r.status == http.StatusOK && len(texts(r.body)) == 20 {
					complete.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		next := s.entry(name, func(settings *entry.Settings) { settings.Timeouts.GraceMS = 100 })
		old := current.Swap(next)
		require.NoError(t, old.Shutdown(t.Context()))
	}
	cancel()
	wg.Wait()
	assert.Zero(t, failed.Load())
	assert.Positive(t, complete.Load())
	t.Logf("three replacements: %d streams complete, %d truncated or refused", complete.Load(), failed.Load())
}

func TestShutdownReportsNotReadyBeforeListenerCloses(t *testing.T) {
	s := newDeployment(t, "b1")
	e := s.entry("e1", func(settings *entry.Settings) { settings.Timeouts.GraceMS = 300 })
	stopped := make(chan error, 1)
	go func() { stopped <- e.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		return call(t, "GET", e.AdminURL()+"/readyz", "", "").status == http.StatusServiceUnavailable
	}, time.Second, time.Millisecond)
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatPlain)
	assert.Equal(t, http.StatusOK, r.status, "requests are served until the load balancer has seen the readiness change")
	require.NoError(t, <-stopped)
}

func TestMetricsAndDecisionsAreShownByWorkspaceAndClass(t *testing.T) {
	s := newDeployment(t, "b1", "b2")
	e := s.entry("e1")
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream)
	call(t, "POST", e.CallersURL()+chatPath, keyQuarry, `{"model":"none","messages":[{}]}`)
	text := call(t, "GET", e.AdminURL()+"/metrics?format=text", "", "").body
	for _, want := range []string{
		"first_token_us{quarry} count=1", "next_token_us{quarry} count=2", "first_token_us{class:standard}",
		"cached_share_permille{quarry} count=1 mean=600.0", "queue_wait_us{quarry}", "recomputed_tokens{quarry}",
		"refusals_model_not_found{quarry} count=1", "requests_done{quarry} count=1",
	} {
		assert.Contains(t, text, want)
	}
	id := r.header.Get(entry.HeaderRequestID)
	assert.Contains(t, call(t, "GET", e.AdminURL()+"/debug/decisions", "", "").body, id)
	explanation, ok := e.Explain(t.Context(), id)
	require.True(t, ok)
	assert.Equal(t, "done", explanation.GetOutcome())
	assert.Equal(t, "accepted", explanation.GetAttempts()[0].GetResult())
	assert.NotEmpty(t, explanation.GetCandidates())
}
