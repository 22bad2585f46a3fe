package control_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/standin/cluster"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

const newDigest = "sha256:stand-in-next"

// withVersions returns the cluster's declaration with the pool's versions
// replaced, min_ready 4 and, unless empty, another active version.
func withVersions(c *cluster.Cluster, active string, versions ...*jayv1.ModelVersion) []*jayv1.Resource {
	all := c.Declaration()
	for _, resource := range all {
		if pool := resource.GetPool(); pool != nil {
			pool.Versions, pool.MinReady = versions, 4
			if active != "" {
				pool.ActiveVersion = active
			}
		}
	}
	return all
}

func allEnginesHave(c *cluster.Cluster, digests ...string) func() bool {
	return func() bool {
		for _, engine := range c.Engines {
			have := slices.Sorted(slices.Values(engine.Core().State().Versions))
			if !slices.Equal(have, digests) {
				return false
			}
		}
		return true
	}
}

// callers send requests through all entries until stopped, and record failures.
type callers struct {
	stop     context.CancelFunc
	done     sync.WaitGroup
	answered atomic.Int64
	mu       sync.Mutex
	failures []string
}

func startCallers(t *testing.T, urls []string) *callers {
	ctx, stop := context.WithCancel(t.Context())
	c := &callers{stop: stop}
	for i := range 4 {
		c.done.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if failure := requestOnce(urls[(i+n)%len(urls)]); failure != "" {
					c.mu.Lock()
					c.failures = append(c.failures, failure)
					c.mu.Unlock()
				}
				c.answered.Add(1)
			}
		})
	}
	return c
}

func (c *callers) finish() []string {
	c.stop()
	c.done.Wait()
	return c.failures
}

// requestOnce sends one streaming request and returns "" if it was answered
// completely, else the failure.
func requestOnce(url string) string {
	body := `{"model":"` + cluster.Model + `","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"Which cone?"}]}`
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+cluster.Key("vialidad"))
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	last := ""
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		if scanner.Text() != "" {
			last = scanner.Text()
		}
	}
	if response.StatusCode != http.StatusOK || last != "data: [DONE]" {
		return fmt.Sprint(response.StatusCode, " ", last)
	}
	return ""
}

// Guards against refused or truncated answers during a rollout, with real agents
// and engines of both vendors, one of which does not check fencing numbers.
func TestRolloutUnderLoadFailsNoRequest(t *testing.T) {
	c, err := cluster.Start(t.Context(), cluster.Options{
		Engines: 6, Entries: 2, Workspaces: []string{"vialidad"},
		Engine: sim.Options{LoadTime: 150 * time.Millisecond, DecodeStep: time.Millisecond},
		Entry: func(settings *entry.Settings) {
			settings.Control = fastSettings()
			settings.Control.ProbeInterval = 20 * time.Millisecond
		},
	})
	require.NoError(t, err)
	defer c.Close()
	var before *jayv1.ModelVersion
	for _, resource := range c.Declaration() {
		if p := resource.GetPool(); p != nil {
			before = p.GetVersions()[0]
		}
	}
	next := &jayv1.ModelVersion{Name: "next", Digest: newDigest}
	urls := []string{c.Entries()[0].CallersURL(), c.Entries()[1].CallersURL()}
	require.Eventually(t, func() bool { return requestOnce(urls[0]) == "" && requestOnce(urls[1]) == "" }, 10*time.Second, 20*time.Millisecond)
	load := startCallers(t, urls)

	require.NoError(t, c.Apply(t.Context(), withVersions(c, "", before, next)))
	err = c.Apply(t.Context(), withVersions(c, "next", before, next))
	require.ErrorContains(t, err, "is loaded and ready at", "activated before it was loaded")
	require.Eventually(t, allEnginesHave(c, before.GetDigest(), newDigest), 20*time.Second, 20*time.Millisecond, "new version loaded on all engines")
	require.NoError(t, c.Apply(t.Context(), withVersions(c, "next", before, next)))
	require.NoError(t, c.Apply(t.Context(), withVersions(c, "next", next)))
	require.Eventually(t, allEnginesHave(c, newDigest), 20*time.Second, 20*time.Millisecond, "old version unloaded from all engines")

	failures := load.finish()
	t.Logf("%d answers during the rollout, %d failed", load.answered.Load(), len(failures))
	assert.Empty(t, failures)
}
