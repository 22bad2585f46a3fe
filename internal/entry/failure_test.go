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

// Story: an engine takes every request and fails it, while its agent answers
// offers as a healthy one does. Each caller that is sent there loses an attempt.
func TestAServerThatTakesWorkAndFailsItIsLeftOut(t *testing.T) {
	s := newSite(t, "b1", "b2", "b3", "b4")
	s.agents[0].set(func(f *fakeAgent) {
		f.answer = func(*jayv1.Offer, []byte, func(string)) *jayv1.End {
			return &jayv1.End{Outcome: jayv1.Outcome_OUTCOME_UNKNOWN, Error: "engine broke"}
		}
	})
	e := s.entry("e1")
	taken := func(f *fakeAgent) int { return len(f.bodies) }
	for n := 0; s.agents[0].seen(taken) == 0; n++ {
		require.Less(t, n, 500, "the failing server was never tried")
		call(t, "POST", e.CallersURL()+chatPath, keyQuarry, differentPrompt(n))
	}
	const requests = 300
	for n := range requests {
		r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, differentPrompt(1000+n))
		assert.Equal(t, http.StatusOK, r.status, "started again elsewhere")
	}
	failed := s.agents[0].seen(taken)
	t.Logf("%d of %d requests went to the failing server", failed, requests)
	assert.LessOrEqual(t, failed, 5, "three in a row eject it, one more ends its probation")
}

func differentPrompt(n int) string {
	return fmt.Sprintf(`{"model":"modelos","messages":[{"role":"user","content":"%s"}]}`, strings.Repeat(fmt.Sprint(n, " "), 300))
}

// Story: the platform is down, an entry is replaced, and callers are sent to
// the new one as soon as it listens. It gets the catalog from a peer.
func TestAnEntryThatStartsDuringAnOutageServesAtOnce(t *testing.T) {
	s := newSite(t, "b1")
	table := platformtest.New()
	table.SetDown(true)
	peer := s.entry("e1", with(table))
	began := time.Now()
	started := s.entry("e2", with(table), func(settings *entry.Settings) {
		settings.Holder = catalog.NewHolder()
		settings.Seeds = []string{peer.Address()}
	})
	require.Eventually(t, func() bool {
		return call(t, "POST", started.CallersURL()+chatPath, keyQuarry, chatPlain).status == http.StatusOK
	}, 3*time.Second, time.Millisecond)
	t.Logf("first good answer %v after the start began", time.Since(began).Round(time.Millisecond))
}

// Story: an operator asks any entry why a request went where it did; another
// entry has served it.
func TestARequestIsExplainedByWhicheverEntryIsAsked(t *testing.T) {
	s := newSite(t, "b1")
	table := platformtest.New()
	served, asked := s.entry("e1", with(table)), s.entry("e2", with(table))
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

// Story: every entry is replaced, and callers reach a new one while it still
// asks its peers for the configuration. Turned away each time, a caller who
// comes again at once has spent its tries before the entry knows a workspace.
func TestCallersOfAnEntryThatStartsWaitForItsConfiguration(t *testing.T) {
	s := newSite(t, "b1")
	table := platformtest.New()
	table.SetDown(true)
	peer := s.entry("e1", with(table))
	for try := range 5 {
		started := s.entry(fmt.Sprintf("e%d", 2+try), with(table), func(settings *entry.Settings) {
			settings.Holder = catalog.NewHolder()
			settings.Seeds = []string{peer.Address()}
		})
		began := time.Now()
		r := call(t, "POST", started.CallersURL()+chatPath, keyQuarry, chatPlain)
		assert.Equal(t, http.StatusOK, r.status, "try %d: %s", try, r.body)
		t.Logf("the first request was answered after %v", time.Since(began).Round(time.Millisecond))
	}
}

// Story: an entry starts while nothing that knows a configuration is reachable,
// and more callers come than it may keep. Those beyond the bound hear at once
// that nothing ran, the others when the search has ended; none is kept longer.
func TestWaitsForAConfigurationAreBounded(t *testing.T) {
	const kept, callers = 3, 12
	s := newSite(t)
	table := platformtest.New()
	table.SetDown(true)
	e := s.entry("e1", with(table), func(settings *entry.Settings) {
		settings.Holder = catalog.NewHolder()
		settings.Limits.WarmupRequests, settings.Timeouts.WarmupMS = kept, 500
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
	assert.LessOrEqual(t, waited, kept)
	assert.Positive(t, waited)
}

// heldSocket opens a socket as a supervisor does and returns what hands out
// listeners on it.
func heldSocket(t *testing.T) func(settings *entry.Settings) {
	t.Helper()
	held, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = held.Close() })
	return func(settings *entry.Settings) {
		file, err := held.File()
		require.NoError(t, err)
		defer func() { _ = file.Close() }()
		settings.CallersListener, err = net.FileListener(file)
		require.NoError(t, err)
	}
}

// Story: an entry's process dies and is started again at its address. Callers
// who connect in between were refused, some ten thousand times a second for one
// who comes back at once, and had no tries left when the entry was there.
func TestCallersWhoConnectWhileAnEntryIsReplacedAreServed(t *testing.T) {
	const callers = 5
	s := newSite(t, "b1")
	socket := heldSocket(t)
	first := s.entry("e1", socket)
	url := first.CallersURL()
	require.Equal(t, http.StatusOK, call(t, "POST", url+chatPath, keyQuarry, chatPlain).status)
	first.Close()
	// Callers who come anew: a kept connection was cut with its entry.
	http.DefaultClient.CloseIdleConnections()
	answers := make(chan int, callers)
	for range callers {
		go func() { answers <- call(t, "POST", url+chatPath, keyQuarry, chatPlain).status }()
	}
	select {
	case status := <-answers:
		require.Fail(t, "answered while no entry runs", "%d", status)
	case <-time.After(50 * time.Millisecond):
	}
	second := s.entry("e1", socket)
	assert.Equal(t, url, second.CallersURL(), "the address stays")
	for range callers {
		assert.Equal(t, http.StatusOK, <-answers)
	}
}

// stuckStore is a platform whose list of VMs answers only when it is let go,
// even after its reader has given up.
type stuckStore struct {
	platform.Platform
	asked    chan struct{}
	givenUp  chan struct{}
	released chan struct{}
}

func newStuckStore() *stuckStore {
	const reads = 100 // more than a test makes
	return &stuckStore{
		Platform: platformtest.New(), released: make(chan struct{}),
		asked: make(chan struct{}, reads), givenUp: make(chan struct{}, reads),
	}
}

func (s *stuckStore) List(ctx context.Context, _ uint64) (platform.VMList, error) {
	s.asked <- struct{}{}
	<-ctx.Done()
	s.givenUp <- struct{}{}
	<-s.released
	return platform.VMList{}, ctx.Err()
}

// Story: an entry is ending, and something that it waits for takes its time.
// Its port was closed last: callers who came meanwhile were taken in by a
// process that had ended its work, and were turned away or cut off with it.
// They belong to its successor.
func TestAnEntryThatEndsTakesNoFurtherCaller(t *testing.T) {
	const callers = 5
	s := newSite(t, "b1")
	socket := heldSocket(t)
	store := newStuckStore()
	ending := s.entry("e1", socket, with(store), func(settings *entry.Settings) {
		settings.Spread.PullTimeout = time.Hour
	})
	<-store.asked
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		ending.Close()
	}()
	<-store.givenUp
	s.entry("e2", socket)
	for n := range callers {
		r := call(t, "POST", ending.CallersURL()+chatPath, keyQuarry, chatPlain)
		assert.Equal(t, http.StatusOK, r.status, r.body)
		assert.True(t, strings.HasPrefix(r.header.Get(entry.HeaderRequestID), "req-e2-"), "caller %d came to the entry that ends", n)
	}
	close(store.released)
	<-closed
}
