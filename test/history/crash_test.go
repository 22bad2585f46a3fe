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

// Guards against entries sending a request that crashes every engine that runs it to
// more and more engines.
func TestRequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	const marker, down, quarantineDelay = "crashes its engine", 300 * time.Millisecond, 3 * time.Second
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
	start, thirdCrash := time.Now(), time.Time{}
	lateCrashes := 0
	for n := 0; time.Since(start) < quarantineDelay+3*time.Second; n++ {
		before := crashes(c.Engines)
		statuses[ask(n, marker)]++
		after := crashes(c.Engines)
		if thirdCrash.IsZero() && after >= 3 {
			thirdCrash = time.Now()
		}
		if !thirdCrash.IsZero() && time.Since(thirdCrash) > quarantineDelay {
			lateCrashes += after - before
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d engines crashed, %d late, answers %v", crashes(c.Engines), lateCrashes, statuses)
	assert.GreaterOrEqual(t, crashes(c.Engines), 3, "the request must crash engines")
	assert.LessOrEqual(t, lateCrashes, 3)
	assert.Equal(t, http.StatusOK, ask(1, "another body"))
}

func crashes(engines []*engine.Engine) int {
	n := 0
	for _, e := range engines {
		n += e.Crashes()
	}
	return n
}
