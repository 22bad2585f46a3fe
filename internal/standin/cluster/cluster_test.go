package cluster_test

import (
	"bufio"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/standin/cluster"
)

const question = `{"model":"` + cluster.Model + `","stream":true,"max_tokens":4,"messages":[{"role":"system","content":"Rules."},{"role":"user","content":"Which cone?"}]}`

func ask(t *testing.T, url, workspace string) (status int, lines []string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(question))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+cluster.Key(workspace))
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if scanner.Text() != "" {
			lines = append(lines, scanner.Text())
		}
	}
	return response.StatusCode, lines
}

func TestRequestIsServedThroughEveryEntryAndAfterRestart(t *testing.T) {
	c, err := cluster.Start(t.Context(), cluster.Options{Entries: 2, Services: 1})
	require.NoError(t, err)
	defer c.Close()
	served := func(url, workspace string) func() bool {
		return func() bool {
			status, lines := ask(t, url, workspace)
			return status == http.StatusOK && len(lines) > 4 && lines[len(lines)-1] == "data: [DONE]"
		}
	}
	for _, e := range c.Entries() {
		for _, workspace := range c.Options.Workspaces {
			assert.Eventually(t, served(e.CallersURL(), workspace), 10*time.Second, 50*time.Millisecond)
		}
	}
	require.NoError(t, c.RestartEntries(t.Context()))
	assert.Eventually(t, served(c.Entries()[0].CallersURL(), c.Options.Workspaces[0]), 10*time.Second, 50*time.Millisecond)
}

// Guards against replacements that write keys and so wait for the disk: at times it answers only after
// seconds, in which no entry serves.
func TestReplacedEntriesKeepTheirKeys(t *testing.T) {
	c, err := cluster.Start(t.Context(), cluster.Options{})
	require.NoError(t, err)
	defer c.Close()
	certificate := filepath.Join(c.KeysDir, cluster.EntryName(0), keys.CertFile)
	before, err := os.ReadFile(certificate)
	require.NoError(t, err)
	require.NoError(t, c.RestartEntries(t.Context()))
	after, err := os.ReadFile(certificate)
	require.NoError(t, err)
	assert.Equal(t, before, after)
}
