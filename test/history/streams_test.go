package history_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/standin/cluster"
)

// reader is a caller of one streamed answer that resumes the stream until the answer
// is complete.
type reader struct {
	cluster     *cluster.Cluster
	random      *rand.Rand
	token       string
	lastEventID string
	texts       []string
	complete    bool
	failure     string
	resumes     int
	// tokens is the length of the answer; 0: answerTokens.
	tokens int
	// began is closed at the first event, unless it is nil.
	began chan struct{}
}

const answerTokens = 60

func (r *reader) answerLength() int {
	if r.tokens > 0 {
		return r.tokens
	}
	return answerTokens
}

// ask requests the answer and resumes it at random entries until it is complete or
// has failed.
func (r *reader) ask(t *testing.T, prompt string) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		cluster.Model, r.answerLength(), prompt)
	for try := 0; r.token == "" && try < 100; try++ {
		r.read(t, http.MethodPost, "/v1/chat/completions", body)
	}
	for try := 0; !r.complete && r.failure == "" && try < 400; try++ {
		r.resumes++
		r.read(t, http.MethodGet, "/v1/streams/"+r.token, "")
	}
}

func (r *reader) read(t *testing.T, method, path, body string) {
	entries := r.cluster.Entries()
	one := entries[r.random.IntN(len(entries))]
	if one == nil {
		return
	}
	request, err := http.NewRequestWithContext(t.Context(), method, one.CallersURL()+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+cluster.Key(r.cluster.Options.Workspaces[0]))
	request.Header.Set(entry.HeaderResume, "keep")
	if r.lastEventID != "" {
		request.Header.Set("Last-Event-ID", r.lastEventID)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		r.failure = "the entry does not know the stream: status 404"
	}
	if token := response.Header.Get(entry.HeaderResumeToken); token != "" {
		r.token = token
	}
	r.readEvents(response)
}

// readEvents reads events until the connection ends. An event counts once it has been
// received completely.
func (r *reader) readEvents(response *http.Response) {
	scanner := bufio.NewScanner(response.Body)
	id, data := "", ""
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "data: [DONE]":
			r.complete = true
		case line == "event: error":
			r.failure = "error event"
		case strings.HasPrefix(line, "id: "):
			id = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "data: "):
			data = strings.TrimPrefix(line, "data: ")
		case line == "" && id != "":
			r.lastEventID = id
			r.texts = append(r.texts, id+" "+data)
			if r.began != nil && len(r.texts) == 1 {
				close(r.began)
			}
			id, data = "", ""
		}
	}
}

// Guards against lost, repeated or reordered tokens when callers resume streams at
// other entries while all entries are restarted every 300 ms.
func TestStreamsComeWholeThroughDyingEntries(t *testing.T) {
	const callers = 12
	c, err := cluster.Start(t.Context(), cluster.Options{Entries: 3, Engines: 3})
	require.NoError(t, err)
	defer c.Close()
	var running atomic.Int64
	running.Store(callers)
	readers := make([]*reader, callers)
	var wg sync.WaitGroup
	for i := range readers {
		readers[i] = &reader{cluster: c, random: rand.New(rand.NewPCG(3, uint64(i)))}
		wg.Go(func() {
			defer running.Add(-1)
			readers[i].ask(t, fmt.Sprintf("Review contract %d.", i))
		})
	}
	ticker := time.NewTicker(300 * time.Millisecond)
	defer ticker.Stop()
	restarts := 0
	for running.Load() > 0 {
		<-ticker.C
		require.NoError(t, c.RestartEntries(t.Context()))
		restarts++
	}
	wg.Wait()
	resumes := 0
	for i, r := range readers {
		assert.Empty(t, r.failure, "caller %d", i)
		assert.True(t, r.complete, "caller %d", i)
		for n, event := range r.texts {
			assert.True(t, strings.HasPrefix(event, fmt.Sprintf("%d ", n)), "caller %d: event %d is %q", i, n, event)
		}
		assert.GreaterOrEqual(t, len(r.texts), answerTokens, "caller %d", i)
		resumes += r.resumes
	}
	t.Logf("%d complete answers of %d tokens, %d resumes, all entries replaced %d times", callers, answerTokens, resumes, restarts)
	assert.Positive(t, resumes)
}
