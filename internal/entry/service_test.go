package entry_test

import (
	"net"
	"net/http"
	"net/http/httptest"
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

const confirmPath = "/services/reservas/confirm"

// serviceDeployment returns a deployment with one agent of a plain service, that
// agent and a platform in memory.
func serviceDeployment(t *testing.T) (*deployment, *fakeAgent, *platformtest.Memory) {
	t.Helper()
	s := newDeployment(t)
	agent := s.addAgent("r1", "", "reservas")
	head := &jayv1.ServiceHead{Status: 201, Headers: []*jayv1.Header{
		{Name: "X-Booking", Value: "17"}, {Name: "X-Jay-Outcome", Value: "forged"}, {Name: "Connection", Value: "close"},
	}}
	agent.set(func(f *fakeAgent) { f.head = head })
	return s, agent, platformtest.New()
}

func withPlatform(p platform.Platform) func(*entry.Settings) {
	return func(s *entry.Settings) {
		s.Platform = p
		s.Ledger.SettleMS = 400
	}
}

func TestServiceCallForwardsRequestAndResponse(t *testing.T) {
	s, agent, _ := serviceDeployment(t)
	scripted := func(_ *jayv1.Offer, body []byte, emit func(string)) *jayv1.End {
		for piece := range strings.SplitSeq(string(body), " ") {
			emit(piece + ".")
		}
		return done()
	}
	agent.set(func(f *fakeAgent) { f.respond = scripted })
	e := s.entry("e1")
	r := call(t, "PUT", e.CallersURL()+"/services/reservas/a%2Fb/c?d=1", keyQuarry, "one two", "X-Own", "kept", "Connection", "X-Drop", "X-Drop", "dropped")
	require.Equal(t, 201, r.status, r.body)
	assert.Equal(t, "one.two.", r.body)
	assert.Equal(t, "17", r.header.Get("X-Booking"))
	assert.Equal(t, "done", r.trailer.Get(entry.HeaderOutcome))
	assert.NotEqual(t, "forged", r.header.Get(entry.HeaderOutcome))
	offer, _ := agent.first()
	assert.Equal(t, "/a%2Fb/c?d=1", offer.GetPath())
	assert.Equal(t, "PUT", offer.GetMethod())
	names := map[string]string{}
	for _, header := range offer.GetHeaders() {
		names[header.GetName()] = header.GetValue()
	}
	assert.Equal(t, "kept", names["X-Own"])
	assert.NotContains(t, names, "X-Drop")
	assert.NotContains(t, names, "Authorization", "the caller's API key is not forwarded")
}

// Guards against a call that runs twice when it is repeated with the same
// idempotency key through several entries at once.
func TestIdempotencyKeyRunsOnceAcrossEntries(t *testing.T) {
	s, agent, table := serviceDeployment(t)
	agent.set(func(f *fakeAgent) { f.respond = paced(1, 30*time.Millisecond) })
	entries := []*entry.Entry{s.entry("e1", withPlatform(table)), s.entry("e2", withPlatform(table)), s.entry("e3", withPlatform(table))}
	var mu sync.Mutex
	statuses := map[int]int{}
	var winner, duplicateOf string
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			r := call(t, "POST", entries[i%3].CallersURL()+confirmPath, keyQuarry, "b", entry.HeaderIdempotencyKey, "booking-9")
			mu.Lock()
			defer mu.Unlock()
			statuses[r.status]++
			if r.status == 201 {
				winner = r.header.Get(entry.HeaderRequestID)
			} else {
				duplicateOf = errorOf(t, r).RequestID
			}
		})
	}
	wg.Wait()
	assert.Equal(t, map[int]int{201: 1, 409: 29}, statuses)
	assert.Equal(t, winner, duplicateOf, "a duplicate's error names the first request")
	assert.Equal(t, 1, agent.runCount(winner))
	assert.Equal(t, 1, agent.count(func(f *fakeAgent) int { return len(f.runs) }))
	require.Eventually(t, func() bool {
		r := call(t, "POST", entries[2].CallersURL()+confirmPath, keyQuarry, "b", entry.HeaderIdempotencyKey, "booking-9")
		return r.status == 409 && errorOf(t, r).Outcome == "done"
	}, time.Second, 5*time.Millisecond)
}

// Without the platform's table no claim can be taken, so a call that may run at
// most once must be refused without running.
func TestAtMostOnceCallIsRefusedWithoutTable(t *testing.T) {
	s, agent, table := serviceDeployment(t)
	table.SetDown(true)
	e := s.entry("e1", withPlatform(table))
	r := call(t, "POST", e.CallersURL()+confirmPath, keyQuarry, "b", entry.HeaderIdempotencyKey, "k")
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.Equal(t, "2", r.header.Get("Retry-After"))
	got := errorOf(t, r)
	assert.Equal(t, string(entry.CodeClaimsUnavailable), got.Code)
	assert.Equal(t, "not_run", got.Outcome)
	assert.Zero(t, agent.count(func(f *fakeAgent) int { return len(f.offers) }))
	r = call(t, "POST", e.CallersURL()+"/services/reservas/other", keyQuarry, "b")
	assert.Equal(t, 201, r.status, "calls that need no claim are served")
}

// A call that was refused and did not run releases its claim, so that the caller
// can repeat it with the same key.
func TestRefusedCallReleasesItsKey(t *testing.T) {
	s, agent, table := serviceDeployment(t)
	refusing := true
	scripted := func(*jayv1.Offer) *jayv1.OfferReply {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		if refusing {
			return &jayv1.OfferReply{Refusal: jayv1.Refusal_REFUSAL_QUEUE_FULL, RetryAfterMs: 1500}
		}
		return nil
	}
	agent.set(func(f *fakeAgent) { f.refuse = scripted })
	e := s.entry("e1", withPlatform(table))
	r := call(t, "POST", e.CallersURL()+confirmPath, keyQuarry, "b", entry.HeaderIdempotencyKey, "k")
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.Equal(t, "not_run", r.header.Get(entry.HeaderOutcome))
	assert.Equal(t, "2", r.header.Get("Retry-After"))
	agent.set(func(*fakeAgent) { refusing = false })
	r = call(t, "POST", e.CallersURL()+confirmPath, keyQuarry, "b", entry.HeaderIdempotencyKey, "k")
	assert.Equal(t, 201, r.status, r.body)
}

// A call whose link is lost after the handoff and can't be resumed may have run:
// its outcome is unknown, it is not repeated, and its key stays claimed.
func TestLostCallIsUnknownAndNotRepeated(t *testing.T) {
	for _, key := range []string{"k", ""} {
		s, agent, table := serviceDeployment(t)
		other := s.addAgent("r2", "", "reservas")
		for _, a := range []*fakeAgent{agent, other} {
			a.set(func(f *fakeAgent) { f.forget, f.cuts = true, 1 })
		}
		e := s.entry("e1", withPlatform(table))
		r := call(t, "POST", e.CallersURL()+confirmPath, keyQuarry, "b", entry.HeaderIdempotencyKey, key)
		assert.Equal(t, http.StatusBadGateway, r.status, r.body)
		assert.Equal(t, "unknown", errorOf(t, r).Outcome)
		assert.Equal(t, "false", r.header.Get("X-Should-Retry"))
		runs := func(f *fakeAgent) int { return len(f.runs) }
		assert.Equal(t, 1, agent.count(runs)+other.count(runs))
		if key != "" {
			r = call(t, "POST", e.CallersURL()+confirmPath, keyQuarry, "b", entry.HeaderIdempotencyKey, key)
			assert.Equal(t, http.StatusConflict, r.status)
		}
	}
}

// A call whose link is lost before the end of its body did not run, so it is
// retried on another backend server.
func TestLinkLostBeforeEndOfBodyIsNotRun(t *testing.T) {
	s, agent, table := serviceDeployment(t)
	other := s.addAgent("r2", "", "reservas")
	s.addAgent("r3", "", "reservas")
	agent.set(func(f *fakeAgent) { f.cutBody = 2 })
	other.set(func(f *fakeAgent) { f.cutBody = 2 })
	e := s.entry("e1", withPlatform(table))
	cutsLeft := func(f *fakeAgent) int { return f.cutBody }
	retried := false
	for n := 0; agent.count(cutsLeft)+other.count(cutsLeft) > 0; n++ {
		require.Less(t, n, 200)
		r := call(t, "POST", e.CallersURL()+confirmPath, keyQuarry, strings.Repeat("b", 300<<10), entry.HeaderIdempotencyKey, strconv.Itoa(n))
		require.Contains(t, []int{200, 201}, r.status, r.body)
		retried = retried || r.header.Get(entry.HeaderAttempts) > "1"
		id := r.header.Get(entry.HeaderRequestID)
		ran := 0
		for _, a := range s.agents {
			ran += a.runCount(id)
		}
		require.Equal(t, 1, ran)
	}
	assert.True(t, retried)
}

// Guards against a call without a body that runs twice because the link is lost
// before the agent's acceptance arrives.
func TestLostAcceptanceWithoutBodyIsNotRun(t *testing.T) {
	s, agent, table := serviceDeployment(t)
	other := s.addAgent("r2", "", "reservas")
	agent.set(func(f *fakeAgent) { f.cutReply = 1 })
	other.set(func(f *fakeAgent) { f.cutReply = 1 })
	s.addAgent("r3", "", "reservas")
	e := s.entry("e1", withPlatform(table))
	cutsLeft := func(f *fakeAgent) int { return f.cutReply }
	for n := 0; agent.count(cutsLeft)+other.count(cutsLeft) > 0; n++ {
		require.Less(t, n, 200)
		r := call(t, "POST", e.CallersURL()+confirmPath, keyQuarry, "", entry.HeaderIdempotencyKey, strconv.Itoa(n))
		require.Contains(t, []int{200, 201}, r.status, r.body)
		id := r.header.Get(entry.HeaderRequestID)
		ran := 0
		for _, a := range s.agents {
			ran += a.runCount(id)
		}
		require.Equal(t, 1, ran)
	}
}

func TestAtMostOnceCallWithoutKeyGetsOneAttempt(t *testing.T) {
	s, agent, table := serviceDeployment(t)
	other := s.addAgent("r2", "", "reservas")
	full := func(*jayv1.Offer) *jayv1.OfferReply {
		return &jayv1.OfferReply{Refusal: jayv1.Refusal_REFUSAL_QUEUE_FULL}
	}
	agent.set(func(f *fakeAgent) { f.refuse = full })
	other.set(func(f *fakeAgent) { f.refuse = full })
	e := s.entry("e1", withPlatform(table))
	r := call(t, "POST", e.CallersURL()+confirmPath, keyQuarry, "b")
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.Equal(t, "1", r.header.Get(entry.HeaderAttempts))
	assert.Equal(t, "not_run", errorOf(t, r).Outcome)
}

// A call that may run at most once continues when its caller disconnects, so that
// its outcome is known.
func TestAtMostOnceCallContinuesAfterDisconnect(t *testing.T) {
	s, agent, table := serviceDeployment(t)
	started, finish := make(chan struct{}), make(chan struct{})
	scripted := func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
		emit("begun")
		close(started)
		<-finish
		emit("booked")
		return done()
	}
	agent.set(func(f *fakeAgent) { f.respond = scripted })
	e := s.entry("e1", withPlatform(table))
	response := open(t, "POST", e.CallersURL()+confirmPath, keyQuarry, "b", entry.HeaderIdempotencyKey, "k")
	<-started
	require.NoError(t, response.Body.Close())
	close(finish)
	require.Eventually(t, func() bool {
		r := call(t, "POST", e.CallersURL()+confirmPath, keyQuarry, "b", entry.HeaderIdempotencyKey, "k")
		return r.status == 409 && errorOf(t, r).Outcome == "done"
	}, 2*time.Second, 5*time.Millisecond)
	assert.Zero(t, agent.count(func(f *fakeAgent) int { return f.cancels }))
}

// Guards against a call that avoids its at-most-once rule through another
// spelling of its path that the service treats as the same.
func TestAtMostOnceRuleMatchesEverySpellingOfPath(t *testing.T) {
	s, agent, table := serviceDeployment(t)
	e := s.entry("e1", withPlatform(table))
	for n, path := range []string{"/confirm", "/%63onfirm", "/confirm/", "/confirm/9", "/confirm%2F9", "/confirm;v=1", "/confirm?x=/other"} {
		r := call(t, "POST", e.CallersURL()+"/services/reservas"+path, keyQuarry, "b", entry.HeaderIdempotencyKey, strconv.Itoa(n))
		assert.Equal(t, 201, r.status, "%s: %s", path, r.body)
		assert.True(t, agent.last().GetNonRepeatable(), path)
	}
	for _, path := range []string{"//confirm", "/x/../confirm", "/x/%2e%2e/confirm", "/./confirm", "/x%2F..%2Fconfirm"} {
		request, err := http.NewRequestWithContext(t.Context(), "POST", e.CallersURL(), strings.NewReader("b"))
		require.NoError(t, err)
		request.URL.Opaque = "/services/reservas" + path // sent unescaped
		request.Header.Set("Authorization", "Bearer "+keyQuarry)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, http.StatusBadRequest, response.StatusCode, path)
	}
	r := call(t, "POST", e.CallersURL()+"/services/reservas/confirmation", keyQuarry, "b")
	assert.Equal(t, 201, r.status)
	assert.False(t, agent.last().GetNonRepeatable())
}

func TestServiceBodyIsBounded(t *testing.T) {
	s, agent, table := serviceDeployment(t)
	e := s.entry("e1", withPlatform(table), func(settings *entry.Settings) { settings.Limits.BodyBytes = 100 << 10 })
	reader := struct{ *strings.Reader }{strings.NewReader(strings.Repeat("x", 200<<10))}
	request, err := http.NewRequestWithContext(t.Context(), "POST", e.CallersURL()+"/services/reservas/x", reader)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+keyQuarry)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	assert.Zero(t, agent.count(func(f *fakeAgent) int { return len(f.runs) }))
}

// Guards against an entry that leaves its connections to the platform open when it is closed: each
// replacement in one process would add some, with two goroutines each.
func TestClosedEntryKeepsNoConnectionToThePlatform(t *testing.T) {
	var opened, closed atomic.Int64
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			opened.Add(1)
		case http.StateClosed:
			closed.Add(1)
		default:
		}
	}
	server.Start()
	defer server.Close()
	s := newDeployment(t, "b1")
	e := s.entry("e1", func(settings *entry.Settings) { settings.PlatformURL = server.URL })
	require.Eventually(t, func() bool { return opened.Load() > 0 }, 5*time.Second, time.Millisecond)
	e.Close()
	require.Eventually(t, func() bool { return closed.Load() == opened.Load() }, 2*time.Second, time.Millisecond)
}

// Guards against a response without a final status, as of a service that switched protocols, that
// callers get as a whole one of status 200.
func TestAServiceResponseWithoutFinalStatusIsNoSuccess(t *testing.T) {
	for _, body := range []string{"", "HTTP/1.1 200 OK\r\nX-An"} {
		s, agent, _ := serviceDeployment(t)
		scripted := func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
			if body != "" {
				emit(body)
			}
			return done()
		}
		agent.set(func(f *fakeAgent) {
			f.head = &jayv1.ServiceHead{Status: http.StatusSwitchingProtocols}
			f.respond = scripted
		})
		r := call(t, "GET", s.entry("e1").CallersURL()+"/services/reservas/list", keyQuarry, "")
		assert.Equal(t, http.StatusBadGateway, r.status, "body %q", r.body)
	}
}
