package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/platform"
)

// rawPlatform answers each call with the text and closes the connection in order.
func rawPlatform(t *testing.T, text string) *platform.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if assert.NoError(t, err) {
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}))
	t.Cleanup(server.Close)
	client := platform.NewClient(server.URL, platform.ClientOptions{})
	t.Cleanup(client.Close)
	return client
}

// Guards against an object that is cut off and taken for complete: a catalog's snapshot that
// is cut between two resources decodes as a smaller catalog.
func TestObjectThatEndsWithItsConnectionIsRefused(t *testing.T) {
	for name, text := range map[string]string{
		"no length":    "HTTP/1.0 200 OK\r\n\r\nhalf of an obj",
		"short length": "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\nhalf of an obj",
		"no last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"e\r\nhalf of an obj\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := rawPlatform(t, text).GetObject(t.Context(), "catalog/snapshot/1")
			assert.ErrorIs(t, err, platform.ErrUnavailable, "%q", body)
		})
	}
}

// Guards against weights that are cut off and loaded as complete.
func TestWeightsThatEndWithTheirConnectionAreRefused(t *testing.T) {
	body, err := rawPlatform(t, "HTTP/1.0 200 OK\r\n\r\nhalf of the wei").Open(t.Context(), "d1")
	if err == nil {
		_, err = io.ReadAll(body)
	}
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}

// Guards against an object above the limit of answers that is cut there and taken for complete.
func TestObjectAboveTheLimitIsRefused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		piece := []byte(strings.Repeat("x", 1<<20))
		for range 65 {
			_, _ = w.Write(piece)
		}
	}))
	t.Cleanup(server.Close)
	client := platform.NewClient(server.URL, platform.ClientOptions{})
	t.Cleanup(client.Close)
	body, err := client.GetObject(t.Context(), "k")
	assert.ErrorIs(t, err, platform.ErrUnavailable, "%d bytes", len(body))
	assert.ErrorContains(t, err, "67108864 bytes")
}

// Guards against rows that are cut off and taken for all of them.
func TestRowsThatAreCutOffAreRefused(t *testing.T) {
	rows := `[{"key":"a","value":"MQ==","version":1},{"key":"b","value":"MQ==","version":2}]`
	for cut := range len(rows) {
		_, err := rawPlatform(t, "HTTP/1.0 200 OK\r\n\r\n"+rows[:cut]).Range(t.Context(), "", "", 500)
		require.ErrorIs(t, err, platform.ErrUnavailable, rows[:cut])
	}
}
