package history_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/standin/cluster"
)

// slowCaller reads one streamed answer a few events at a time, over a new connection each time.
type slowCaller struct {
	t           *testing.T
	cluster     *cluster.Cluster
	client      *http.Client
	tokens      int // Of the answer.
	lastEventID string
	events      int
	bytes       int
}

func (s *slowCaller) send(method, path string) *http.Response {
	s.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Review."}]}`, cluster.Model, s.tokens)
	request, err := http.NewRequestWithContext(s.t.Context(), method, s.cluster.Entries()[0].CallersURL()+path, strings.NewReader(body))
	require.NoError(s.t, err)
	request.Header.Set("Authorization", "Bearer "+cluster.Key(s.cluster.Options.Workspaces[0]))
	request.Header.Set(entry.HeaderResume, "keep")
	request.Header.Set("Last-Event-ID", s.lastEventID)
	response, err := s.client.Do(request)
	require.NoError(s.t, err)
	return response
}

// resume comes back for the rest of the answer until its agent is reached.
func (s *slowCaller) resume(token string) *http.Response {
	s.t.Helper()
	response := s.send(http.MethodGet, "/v1/streams/"+token)
	for response.StatusCode == http.StatusServiceUnavailable {
		require.NoError(s.t, response.Body.Close())
		response = s.send(http.MethodGet, "/v1/streams/"+token)
	}
	return response
}

// read reads at most limit events, closes the connection and reports whether the answer is complete.
func (s *slowCaller) read(response *http.Response, limit int) (complete bool) {
	s.t.Helper()
	require.Equal(s.t, http.StatusOK, response.StatusCode, "after %d events", s.events)
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for n := 0; n < limit && scanner.Scan(); {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			s.lastEventID = id
			s.events++
			n++
		}
		s.bytes += len(scanner.Bytes())
		if scanner.Text() == "data: [DONE]" {
			return true
		}
	}
	return false
}

// Guards against 404 for a caller that keeps resuming its stream: entries are replaced before each
// resume, for longer than replay.retain_ms after the engine's end.
func TestStreamOutlivesEntriesReplacedForLongerThanItsRetention(t *testing.T) {
	const (
		retain       = 8 * time.Second
		pause        = 600 * time.Millisecond // Between resumes, far below retain.
		eventsAtOnce = 3
		timeout      = 10 * time.Second
	)
	c, err := cluster.Start(t.Context(), cluster.Options{Entries: 1, Engines: 1,
		Agent: func(s *agent.Settings) { s.Replay.RetainMS = int(retain.Milliseconds()) }})
	require.NoError(t, err)
	defer c.Close()
	s := &slowCaller{t: t, cluster: c, client: &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}, tokens: answerTokens}
	began := time.Now()
	response := s.send(http.MethodPost, "/v1/chat/completions")
	token := response.Header.Get(entry.HeaderResumeToken)
	for !s.read(response, eventsAtOnce) {
		time.Sleep(pause)
		require.NoError(t, c.RestartEntries(t.Context()))
		response = s.resume(token)
	}
	require.GreaterOrEqual(t, s.events, answerTokens)
	require.Greater(t, time.Since(began), retain+retain/2, "the caller was not slow enough to test the retention")
}

// Guards against a long stream that is cut off although its caller reads it or resumes it at new entries:
// at the default settings, entries must acknowledge enough of it for the agent's replay buffer.
func TestStreamLongerThanTheReplayBufferIsComplete(t *testing.T) {
	const tokens, timeout = 4096, time.Minute // The most tokens that the engine generates.
	for name, eventsAtOnce := range map[string]int{"at once": 2 * tokens, "resumed": tokens / 5} {
		t.Run(name, func(t *testing.T) {
			options := cluster.Options{Entries: 1, Engines: 1}
			options.Engine.DecodeStep = 100 * time.Microsecond
			c, err := cluster.Start(t.Context(), options)
			require.NoError(t, err)
			defer c.Close()
			s := &slowCaller{t: t, cluster: c, client: &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}, tokens: tokens}
			response := s.send(http.MethodPost, "/v1/chat/completions")
			token := response.Header.Get(entry.HeaderResumeToken)
			for !s.read(response, eventsAtOnce) {
				require.NoError(t, c.RestartEntries(t.Context()))
				response = s.resume(token)
			}
			require.GreaterOrEqual(t, s.events, tokens)
			require.Greater(t, s.bytes, agent.Default().Replay.Bytes, "the stream is too short for this test")
		})
	}
}
