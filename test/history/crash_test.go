package history_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/standin/cluster"
	"github.com/jayproxy/jayproxy/internal/standin/engine"
)

// Guards against a request that crashes each engine that runs it and is sent on
// by every entry of jay-entry.
func TestARequestThatCrashesEnginesIsKeptFromThem(t *testing.T) {
	const marker, down, contact = "crashes its engine", 300 * time.Millisecond, 3 * time.Second
	c, err := cluster.Start(t.Context(), cluster.Options{Engines: 6, Entries: 3})
	require.NoError(t, err)
	defer c.Close()
	for _, e := range c.Engines {
		e.CrashOn(marker, down)
	}
	ask := func(n int, prompt string) int {
		body := fmt.Sprintf(`{"model":%q,"max_tokens":20,"messages":[{"role":"user","content":%q}]}`, cluster.Model, prompt)
		entries := c.Entries()
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entries[n%len(entries)].CallersURL()+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+cluster.Key(c.Options.Workspaces[0]))
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	require.Eventually(t, func() bool { return ask(0, "hello") == http.StatusOK }, 5*time.Second, 50*time.Millisecond)
	statuses := map[int]int{}
	begun, third := time.Now(), time.Time{}
	late := 0
	for n := 0; time.Since(begun) < contact+3*time.Second; n++ {
		before := crashes(c.Engines)
		statuses[ask(n, marker)]++
		after := crashes(c.Engines)
		if third.IsZero() && after >= 3 {
			third = time.Now()
		}
		if !third.IsZero() && time.Since(third) > contact {
			late += after - before
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d engines crashed, %d late, answers %v", crashes(c.Engines), late, statuses)
	assert.GreaterOrEqual(t, crashes(c.Engines), 3, "the request crashes engines")
	assert.LessOrEqual(t, late, 3)
	assert.Equal(t, http.StatusOK, ask(1, "another body"))
}

func crashes(engines []*engine.Engine) int {
	n := 0
	for _, e := range engines {
		n += e.Crashes()
	}
	return n
}
