package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/api/gen/jay/v1/jayv1connect"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
)

// Guards against placing requests on a server whose engine fails every request
// while its agent still accepts offers.
func TestServerThatAcceptsAndFailsRequestsIsEjected(t *testing.T) {
	s := newDeployment(t, "b1", "b2", "b3", "b4")
	s.agents[0].set(func(f *fakeAgent) {
		f.respond = func(*jayv1.Offer, []byte, func(string)) *jayv1.End {
			return &jayv1.End{Outcome: jayv1.Outcome_OUTCOME_UNKNOWN, Error: "engine failed"}
		}
	})
	e := s.entry("e1")
	accepted := func(f *fakeAgent) int { return len(f.bodies) }
	for n := 0; s.agents[0].count(accepted) == 0; n++ {
		require.Less(t, n, 500, "no request was sent to the failing server")
		call(t, "POST", e.CallersURL()+chatPath, keyQuarry, distinctPrompt(n))
	}
	const requests = 300
	for n := range requests {
		r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, distinctPrompt(1000+n))
		assert.Equal(t, http.StatusOK, r.status, "the request is retried on another server")
	}
	failed := s.agents[0].count(accepted)
	t.Logf("%d of %d requests went to the failing server", failed, requests)
	assert.LessOrEqual(t, failed, 5, "three failures in a row eject the server, and one more on probation ejects it again")
}

func distinctPrompt(n int) string {
	return fmt.Sprintf(`{"model":"modelos","messages":[{"role":"user","content":"%s"}]}`, strings.Repeat(fmt.Sprint(n, " "), 300))
}

// An entry that starts while the platform is down gets the catalog from a peer.
func TestEntryStartedDuringPlatformOutageServes(t *testing.T) {
	s := newDeployment(t, "b1")
	table := platformtest.New()
	table.SetDown(true)
	peer := s.entry("e1", withPlatform(table))
	began := time.Now()
	started := s.entry("e2", withPlatform(table), func(settings *entry.Settings) {
		settings.Holder = catalog.NewHolder()
		settings.Seeds = []string{peer.Address()}
	})
	require.Eventually(t, func() bool {
		return call(t, "POST", started.CallersURL()+chatPath, keyQuarry, chatPlain).status == http.StatusOK
	}, 3*time.Second, time.Millisecond)
	t.Logf("first successful answer %v after the start", time.Since(began).Round(time.Millisecond))
}

// Any entry can explain a request that another entry served.
func TestAnyEntryExplainsRequest(t *testing.T) {
	s := newDeployment(t, "b1")
	table := platformtest.New()
	served, asked := s.entry("e1", withPlatform(table)), s.entry("e2", withPlatform(table))
	table.SetVMs([]platform.VM{
		{Name: "e1", Role: "entry", Address: served.Address(), State: platform.VMLive},
		{Name: "e2", Role: "entry", Address: asked.Address(), State: platform.VMLive},
	})
	id := call(t, "POST", served.CallersURL()+chatPath, keyQuarry, chatPlain).header.Get(entry.HeaderRequestID)
	creds := credentials(t, s.authority, keys.RoleViewer, "ivo")
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig: creds.ClientTLS([]string{"h2", "http/1.1"}, keys.RoleEntry), ForceAttemptHTTP2: true,
	}}
	operators := jayv1connect.NewOperatorServiceClient(client, asked.OperatorsURL())
	var explanation *jayv1.Explanation
	require.Eventually(t, func() bool {
		answer, err := operators.Explain(t.Context(), connect.NewRequest(&jayv1.ExplainRequest{RequestId: id}))
		if err != nil {
			return false
		}
		explanation = answer.Msg
		return true
	}, 5*time.Second, 20*time.Millisecond)
	assert.Equal(t, "e1", explanation.GetEntry())
	assert.Equal(t, "b1", explanation.GetAttempts()[0].GetBackendServer())
	_, err := operators.Explain(t.Context(), connect.NewRequest(&jayv1.ExplainRequest{RequestId: "req-e1-00"}))
	assert.Equal(t, connect.CodeNotFound, connect.CodeOf(err))
}

// Guards against an entry that refuses requests while it still fetches its first
// configuration: callers would use up their retries.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	s := newDeployment(t, "b1")
	table := platformtest.New()
	table.SetDown(true)
	peer := s.entry("e1", withPlatform(table))
	for n := range 5 {
		started := s.entry(fmt.Sprintf("e%d", 2+n), withPlatform(table), func(settings *entry.Settings) {
			settings.Holder = catalog.NewHolder()
			settings.Seeds = []string{peer.Address()}
		})
		began := time.Now()
		r := call(t, "POST", started.CallersURL()+chatPath, keyQuarry, chatPlain)
		assert.Equal(t, http.StatusOK, r.status, "try %d: %s", n, r.body)
		t.Logf("first request answered after %v", time.Since(began).Round(time.Millisecond))
	}
}

// While an entry can't get a configuration, requests wait for it only up to
// WarmupMS, and only WarmupRequests of them; the others are refused at once.
func TestWaitForConfigurationIsBounded(t *testing.T) {
	const maxWaiting, callers = 3, 12
	s := newDeployment(t)
	table := platformtest.New()
	table.SetDown(true)
	e := s.entry("e1", withPlatform(table), func(settings *entry.Settings) {
		settings.Holder = catalog.NewHolder()
		settings.Limits.WarmupRequests, settings.Timeouts.WarmupMS = maxWaiting, 500
	})
	began := time.Now()
	waits := make(chan time.Duration, callers)
	for range callers {
		go func() {
			r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatPlain)
			assert.Equal(t, http.StatusServiceUnavailable, r.status)
			assert.Equal(t, "1", r.header.Get("Retry-After"))
			assert.Equal(t, "not_run", errorOf(t, r).Outcome)
			waits <- time.Since(began)
		}()
	}
	waited := 0
	for range callers {
		if took := <-waits; took >= 500*time.Millisecond {
			waited++
		}
	}
	assert.LessOrEqual(t, waited, maxWaiting)
	assert.Positive(t, waited)
}

// sharedSocket opens a socket as a supervisor does. The returned function sets a
// listener on it as the entry's CallersListener.
func sharedSocket(t *testing.T) func(settings *entry.Settings) {
	t.Helper()
	socket, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return func(settings *entry.Settings) {
		file, err := socket.File()
		require.NoError(t, err)
		defer func() { _ = file.Close() }()
		settings.CallersListener, err = net.FileListener(file)
		require.NoError(t, err)
	}
}

// Guards against refused connections while an entry restarts at the same address:
// callers must wait in the backlog of the inherited socket.
func TestConnectionsDuringRestartAreServed(t *testing.T) {
	const callers = 5
	s := newDeployment(t, "b1")
	socket := sharedSocket(t)
	first := s.entry("e1", socket)
	url := first.CallersURL()
	require.Equal(t, http.StatusOK, call(t, "POST", url+chatPath, keyQuarry, chatPlain).status)
	first.Close()
	// New connections: the kept-alive ones were closed with the first entry.
	http.DefaultClient.CloseIdleConnections()
	answers := make(chan int, callers)
	for range callers {
		go func() { answers <- call(t, "POST", url+chatPath, keyQuarry, chatPlain).status }()
	}
	select {
	case status := <-answers:
		require.Fail(t, "got an answer although no entry is running", "%d", status)
	case <-time.After(50 * time.Millisecond):
	}
	second := s.entry("e1", socket)
	assert.Equal(t, url, second.CallersURL(), "the address does not change")
	for range callers {
		assert.Equal(t, http.StatusOK, <-answers)
	}
}

// Guards against callers that are lost with an entry that could not have served them: on an
// inherited socket they wait for an entry that has its configuration.
func TestCallersOutliveAnEntryWithoutConfiguration(t *testing.T) {
	const callers = 5
	s := newDeployment(t, "b1")
	socket := sharedSocket(t)
	table := platformtest.New()
	table.SetDown(true)
	unconfigured := s.entry("e1", socket, withPlatform(table), func(settings *entry.Settings) {
		settings.Holder = catalog.NewHolder()
		settings.Timeouts.WarmupMS = 60000
	})
	answers := make(chan reply, callers)
	for range callers {
		go func() { answers <- call(t, "POST", unconfigured.CallersURL()+chatPath, keyQuarry, chatPlain) }()
	}
	time.Sleep(100 * time.Millisecond)
	unconfigured.Close()
	s.entry("e2", socket)
	for n := range callers {
		select {
		case r := <-answers:
			assert.Equal(t, http.StatusOK, r.status, r.body)
			assert.True(t, strings.HasPrefix(r.header.Get(entry.HeaderRequestID), "req-e2-"), r.header.Get(entry.HeaderRequestID))
		case <-time.After(10 * time.Second):
			require.Failf(t, "callers were lost with the first entry", "%d of %d were answered", n, callers)
		}
	}
}

// Guards against callers that wait in the queue of an inherited socket for a configuration or
// an agent that never comes: they are refused after warmup_ms, and served without the agent.
func TestWaitInTheQueueOfAnInheritedSocketIsBounded(t *testing.T) {
	t.Run("no configuration", func(t *testing.T) {
		s := newDeployment(t)
		table := platformtest.New()
		table.SetDown(true)
		e := s.entry("e1", sharedSocket(t), withPlatform(table), func(settings *entry.Settings) {
			settings.Holder = catalog.NewHolder()
			settings.Timeouts.WarmupMS = 300
		})
		r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatPlain)
		assert.Equal(t, http.StatusServiceUnavailable, r.status)
		assert.Equal(t, "not_run", errorOf(t, r).Outcome)
	})
	t.Run("an agent that does not answer", func(t *testing.T) {
		s := newDeployment(t, "b1", "b2")
		require.NoError(t, s.agents[1].node.Close())
		silent, err := net.ListenPacket("udp", s.agents[1].node.Address())
		require.NoError(t, err)
		defer func() { _ = silent.Close() }()
		e := s.entry("e1", sharedSocket(t), func(settings *entry.Settings) { settings.Timeouts.WarmupMS = 60000 })
		r := call(t, "GET", e.CallersURL()+"/v1/models", keyQuarry, "")
		assert.Equal(t, http.StatusOK, r.status, r.body)
	})
}

// blockedPlatform is a platform whose list of VMs blocks until it is released, even
// after its context has ended.
type blockedPlatform struct {
	platform.Platform
	asked    chan struct{}
	canceled chan struct{}
	released chan struct{}
}

func newBlockedPlatform() *blockedPlatform {
	const reads = 100 // more than any test makes
	return &blockedPlatform{
		Platform: platformtest.New(), released: make(chan struct{}),
		asked: make(chan struct{}, reads), canceled: make(chan struct{}, reads),
	}
}

func (s *blockedPlatform) List(ctx context.Context, _ uint64) (platform.VMList, error) {
	s.asked <- struct{}{}
	<-ctx.Done()
	s.canceled <- struct{}{}
	<-s.released
	return platform.VMList{}, ctx.Err()
}

// Guards against an entry that accepts connections while it closes: its port must
// close first, so that callers reach the successor on the same socket.
func TestClosingEntryAcceptsNoConnection(t *testing.T) {
	const callers = 5
	s := newDeployment(t, "b1")
	socket := sharedSocket(t)
	store := newBlockedPlatform()
	closing := s.entry("e1", socket, withPlatform(store), func(settings *entry.Settings) {
		settings.Spread.PullTimeout = time.Hour
	})
	<-store.asked
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		closing.Close()
	}()
	<-store.canceled
	s.entry("e2", socket)
	for n := range callers {
		r := call(t, "POST", closing.CallersURL()+chatPath, keyQuarry, chatPlain)
		assert.Equal(t, http.StatusOK, r.status, r.body)
		assert.True(t, strings.HasPrefix(r.header.Get(entry.HeaderRequestID), "req-e2-"), "request %d reached the entry that is closing", n)
	}
	close(store.released)
	<-closed
}
