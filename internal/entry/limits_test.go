package entry_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/entry"
)

// Guards against callers that send their body slowly and occupy request slots.
func TestSlowBodyIsCutOff(t *testing.T) {
	s := newDeployment(t, "b1")
	e := s.entry("e1", func(settings *entry.Settings) { settings.Timeouts.CallerReadMS = 100 })
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	request, err := http.NewRequestWithContext(t.Context(), "POST", e.CallersURL()+chatPath, reader)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+keyQuarry)
	go func() { _, _ = writer.Write([]byte("{")) }()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, http.StatusRequestTimeout, response.StatusCode)
}

// An agent that receives offers but never replies delays a request only by the
// offer timeout; the request then goes to another server.
func TestSilentAgentIsAbandonedAfterOfferTimeout(t *testing.T) {
	s := newDeployment(t, "b1", "b2")
	release := make(chan struct{})
	defer close(release)
	s.agents[0].set(func(f *fakeAgent) {
		f.refuse = func(*jayv1.Offer) *jayv1.OfferReply {
			<-release
			return nil
		}
	})
	e := s.entry("e1", func(settings *entry.Settings) { settings.Timeouts.OfferMS = 150 })
	offers := func(f *fakeAgent) int { return len(f.offers) }
	for n := 0; s.agents[0].count(offers) == 0; n++ {
		require.Less(t, n, 200)
		began := time.Now()
		r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, distinctPrompt(n))
		assert.Equal(t, http.StatusOK, r.status, r.body)
		assert.Less(t, time.Since(began), 2*time.Second)
	}
}

func TestConcurrentRequestsAreBounded(t *testing.T) {
	s := newDeployment(t, "b1")
	release := make(chan struct{})
	s.agents[0].set(func(f *fakeAgent) {
		f.respond = func(*jayv1.Offer, []byte, func(string)) *jayv1.End {
			<-release
			return done()
		}
	})
	e := s.entry("e1", func(settings *entry.Settings) { settings.Limits.StreamsPerWorkspace, settings.Limits.Streams = 2, 3 })
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatPlain) })
	}
	require.Eventually(t, func() bool {
		return s.agents[0].count(func(f *fakeAgent) int { return len(f.bodies) }) == 2
	}, 3*time.Second, time.Millisecond)
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatPlain)
	assert.Equal(t, http.StatusTooManyRequests, r.status)
	assert.Equal(t, string(entry.CodeTooManyStreams), errorOf(t, r).Code)
	wg.Go(func() { call(t, "POST", e.CallersURL()+chatPath, keyOther, chatPlain) })
	require.Eventually(t, func() bool {
		return s.agents[0].count(func(f *fakeAgent) int { return len(f.bodies) }) == 3
	}, 3*time.Second, time.Millisecond)
	r = call(t, "POST", e.CallersURL()+chatPath, keyOther, chatPlain)
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.NotEmpty(t, r.header.Get("Retry-After"))
	close(release)
	wg.Wait()
}
