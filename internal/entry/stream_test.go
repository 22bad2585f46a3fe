package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/entry"
)

// Guards against lost or duplicate chunks when the link between entry and agent
// is lost several times during a stream.
func TestLinkLossNeitherDropsNorDuplicatesChunks(t *testing.T) {
	s := newDeployment(t, "b1")
	s.agents[0].set(func(f *fakeAgent) { f.respond = tokens(20) })
	s.agents[0].set(func(f *fakeAgent) { f.cutAfter, f.cuts = 4, 5 })
	e := s.entry("e1")
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream)
	require.Equal(t, http.StatusOK, r.status, r.body)
	var want []string
	for i := range 20 {
		want = append(want, fmt.Sprintf("t%d ", i))
	}
	assert.Equal(t, want, texts(r.body))
	assert.Equal(t, 5, s.agents[0].count(func(f *fakeAgent) int { return f.resumes }))
	assert.Equal(t, 1, s.agents[0].runCount(r.header.Get(entry.HeaderRequestID)))
	assert.True(t, strings.HasSuffix(r.body, "data: [DONE]\n\n"))
}

// Guards against a truncated stream that looks like a complete, short response.
func TestTruncatedStreamEndsWithErrorEvent(t *testing.T) {
	s := newDeployment(t, "b1")
	scripted := func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
		emit(`{"choices":[{"delta":{"content":"half"}}]}`)
		return &jayv1.End{Outcome: jayv1.Outcome_OUTCOME_UNKNOWN, Error: "engine failed"}
	}
	s.agents[0].set(func(f *fakeAgent) { f.respond = scripted })
	e := s.entry("e1")
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream)
	require.NoError(t, r.err)
	assert.Equal(t, []string{"half"}, texts(r.body))
	assert.Contains(t, r.body, "event: error\ndata: {\"error\":{")
	assert.Contains(t, r.body, `"outcome":"unknown"`)
	assert.NotContains(t, r.body, "[DONE]")
	assert.Equal(t, "unknown", r.trailer.Get(entry.HeaderOutcome))
}

// A response with fewer chunks than its End frame counts is not complete, and
// resumes that bring no further chunk must end.
func TestResponseWithMissingChunksIsNotComplete(t *testing.T) {
	s := newDeployment(t, "b1")
	s.agents[0].set(func(f *fakeAgent) { f.wrongCount = 1 })
	e := s.entry("e1")
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream)
	assert.Contains(t, r.body, "event: error\n")
	assert.NotContains(t, r.body, "[DONE]")
}

func TestDisconnectCancelsRequest(t *testing.T) {
	s := newDeployment(t, "b1")
	s.agents[0].set(func(f *fakeAgent) { f.respond = paced(1000, 5*time.Millisecond) })
	e := s.entry("e1")
	response := open(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream)
	_, err := response.Body.Read(make([]byte, 10))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Eventually(t, func() bool {
		return s.agents[0].count(func(f *fakeAgent) int { return f.cancels }) == 1
	}, 3*time.Second, 5*time.Millisecond)
}

// A caller can resume its stream at another entry. With the key of another
// workspace the stream must appear not to exist.
func TestStreamResumesAtAnotherEntry(t *testing.T) {
	s := newDeployment(t, "b1")
	s.agents[0].set(func(f *fakeAgent) { f.respond = paced(40, 2*time.Millisecond) })
	first, second := s.entry("e1"), s.entry("e2")
	response := open(t, "POST", first.CallersURL()+chatPath, keyQuarry, chatStream, entry.HeaderResume, "keep")
	token := response.Header.Get(entry.HeaderResumeToken)
	seen := readEvents(t, response, 5)
	require.NoError(t, response.Body.Close())

	otherWorkspace := call(t, "GET", second.CallersURL()+"/v1/streams/"+token, keyOther, "", "Last-Event-ID", "4")
	assert.Equal(t, http.StatusNotFound, otherWorkspace.status)
	assert.Equal(t, string(entry.CodeStreamNotFound), errorOf(t, otherWorkspace).Code)

	rest := call(t, "GET", second.CallersURL()+"/v1/streams/"+token, keyQuarry, "", "Last-Event-ID", "4")
	require.Equal(t, http.StatusOK, rest.status, rest.body)
	all := append(seen, texts(rest.body)...)
	require.Len(t, all, 40)
	for i, text := range all {
		assert.Equal(t, fmt.Sprintf("t%d ", i), text)
	}
	assert.Contains(t, rest.body, "id: 5\n")
	assert.True(t, strings.HasSuffix(rest.body, "data: [DONE]\n\n"))
	assert.Zero(t, s.agents[0].count(func(f *fakeAgent) int { return f.cancels }))
}

// Guards against an agent that discards a response once it was written to the
// caller's connection: the caller may have received only a part of it.
func TestStreamResumesAfterCompleteRelay(t *testing.T) {
	const chunks = 200
	s := newDeployment(t, "b1")
	s.agents[0].set(func(f *fakeAgent) { f.respond = tokens(chunks) })
	e := s.entry("e1")
	response := open(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream, entry.HeaderResume, "keep")
	token := response.Header.Get(entry.HeaderResumeToken)
	all, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	seen := texts(string(all))[:5]
	rest := call(t, "GET", e.CallersURL()+"/v1/streams/"+token, keyQuarry, "", "Last-Event-ID", "4")
	require.Equal(t, http.StatusOK, rest.status, rest.body)
	assert.Equal(t, texts(string(all)), append(seen, texts(rest.body)...))
}

// readEvents reads the first n events and returns their texts.
func readEvents(t *testing.T, response *http.Response, n int) []string {
	t.Helper()
	var read strings.Builder
	buffer := make([]byte, 64)
	for strings.Count(read.String(), "\n\n") < n {
		got, err := response.Body.Read(buffer)
		require.NoError(t, err)
		read.Write(buffer[:got])
	}
	return texts(read.String())[:n]
}

// Guards against callers that open long streams and don't read them: they must
// not block the link that all streams of a backend server share.
func TestSlowReadersAreCutOffAndHarmNobody(t *testing.T) {
	const slow = 8
	s := newDeployment(t, "b1")
	long := strings.Repeat("x", 64<<10)
	scripted := func(offer *jayv1.Offer, body []byte, emit func(string)) *jayv1.End {
		if offer.GetWorkspace() == "other" {
			return tokens(3)(offer, body, emit)
		}
		for range 400 {
			emit(long)
		}
		return done()
	}
	s.agents[0].set(func(f *fakeAgent) { f.respond = scripted })
	e := s.entry("e1", func(settings *entry.Settings) { settings.Timeouts.CallerWriteMS = 1500 })
	for range slow {
		response := open(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream)
		defer func() { _ = response.Body.Close() }()
	}
	began := time.Now()
	for time.Since(began) < time.Second {
		r := call(t, "POST", e.CallersURL()+chatPath, keyOther, chatStream)
		require.Len(t, texts(r.body), 3, "%d %s", r.status, r.body)
		require.Less(t, time.Since(began), 1400*time.Millisecond, "held up by slow readers")
	}
	require.Eventually(t, func() bool {
		return s.agents[0].count(func(f *fakeAgent) int { return f.cancels }) == slow
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against slow readers that are noticed late: a caller that takes nothing must be handed
// little before it is cut off.
func TestReaderThatTakesNothingIsHandedLittle(t *testing.T) {
	const maxHanded = 2 << 20
	s := newDeployment(t, "b1")
	long := strings.Repeat("x", 64<<10)
	s.agents[0].set(func(f *fakeAgent) {
		f.respond = func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
			for range 400 {
				emit(long)
			}
			return done()
		}
	})
	e := s.entry("e1", func(settings *entry.Settings) { settings.Timeouts.CallerWriteMS = 300 })
	response := open(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream)
	defer func() { _ = response.Body.Close() }()
	require.Eventually(t, func() bool {
		return s.agents[0].count(func(f *fakeAgent) int { return f.cancels }) == 1
	}, 10*time.Second, 10*time.Millisecond)
	assert.Less(t, s.agents[0].node.Stats.BytesSent.Load(), uint64(maxHanded))
}

// startStream starts a resumable stream, disconnects after five events and returns the
// resume token.
func startStream(t *testing.T, e *entry.Entry) (token string) {
	t.Helper()
	response := open(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream, entry.HeaderResume, "keep")
	token = response.Header.Get(entry.HeaderResumeToken)
	require.NotEmpty(t, token)
	readEvents(t, response, 5)
	require.NoError(t, response.Body.Close())
	return token
}

// Guards against "no such stream" for a stream whose engine failed or whose agent
// can't be reached: the caller would not know that its request may have run.
func TestOnlyUnknownStreamIsNotFound(t *testing.T) {
	failing := func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
		for i := range 5 {
			emit(fmt.Sprintf(`{"choices":[{"delta":{"content":"t%d "}}]}`, i))
		}
		time.Sleep(50 * time.Millisecond) // Until the caller has disconnected.
		return &jayv1.End{Outcome: jayv1.Outcome_OUTCOME_UNKNOWN, Error: "engine failed"}
	}
	for _, tt := range []struct {
		name       string
		change     func(agent *fakeAgent)
		status     int
		code       entry.Code
		retryAfter string
	}{
		{"the agent does not have the stream", func(f *fakeAgent) { f.set(func(f *fakeAgent) { f.forget = true }) },
			http.StatusNotFound, entry.CodeStreamNotFound, ""},
		{"the engine failed", func(*fakeAgent) {}, http.StatusBadGateway, entry.CodeStreamBroken, ""},
		{"the agent can't be reached", func(f *fakeAgent) { _ = f.node.Close() },
			http.StatusServiceUnavailable, entry.CodeStreamNotReached, "1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newDeployment(t, "b1")
			s.agents[0].set(func(f *fakeAgent) { f.respond = failing })
			e := s.entry("e1", func(settings *entry.Settings) { settings.Attempts.ResumeTries = 2 })
			token := startStream(t, e)
			tt.change(s.agents[0])
			r := call(t, "GET", e.CallersURL()+"/v1/streams/"+token, keyQuarry, "", "Last-Event-ID", "4")
			assert.Equal(t, tt.status, r.status, r.body)
			got := errorOf(t, r)
			assert.Equal(t, string(tt.code), got.Code)
			assert.Equal(t, "unknown", got.Outcome)
			assert.Equal(t, tt.retryAfter, r.header.Get("Retry-After"))
		})
	}
}

// Guards against "no such stream" from an entry whose catalog does not contain
// the stream's backend server yet. Only a newer catalog without it is proof.
func TestStreamOfServerNotYetInCatalogIsRetryable(t *testing.T) {
	s := newDeployment(t, "b1")
	others := slices.DeleteFunc(slices.Clone(s.resources), func(r *jayv1.Resource) bool { return r.GetBackendServer() != nil })
	at := func(generation uint64, resources []*jayv1.Resource) func(*entry.Settings) {
		return func(settings *entry.Settings) {
			settings.Holder = catalog.NewHolder()
			settings.Holder.Adopt(catalog.Build(&jayv1.Snapshot{Generation: generation, Resources: resources}))
		}
	}
	s.agents[0].set(func(f *fakeAgent) { f.respond = paced(40, 2*time.Millisecond) })
	newer, older := s.entry("e1", at(2, s.resources)), s.entry("e2", at(1, others))
	token := startStream(t, newer)
	resume := func(e *entry.Entry) reply {
		return call(t, "GET", e.CallersURL()+"/v1/streams/"+token, keyQuarry, "", "Last-Event-ID", "4", entry.HeaderResume, "keep")
	}

	r := resume(older)
	assert.Equal(t, http.StatusServiceUnavailable, r.status, r.body)
	assert.Equal(t, string(entry.CodeStreamNotReached), errorOf(t, r).Code)
	assert.Equal(t, "1", r.header.Get("Retry-After"))
	assert.Empty(t, r.header.Get("X-Should-Retry"), "resuming again runs nothing")

	older.Catalog().Adopt(catalog.Build(&jayv1.Snapshot{Generation: 2, Resources: s.resources}))
	r = resume(older)
	require.Equal(t, http.StatusOK, r.status, r.body)
	assert.Len(t, texts(r.body), 35)

	older.Catalog().Adopt(catalog.Build(&jayv1.Snapshot{Generation: 3, Resources: others}))
	r = resume(older)
	assert.Equal(t, http.StatusNotFound, r.status, r.body)
}
