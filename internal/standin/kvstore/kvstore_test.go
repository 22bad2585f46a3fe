package kvstore_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/standin/kvstore"
)

func send(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(text)
}

func TestStoreEvictsLeastRecentlyUsed(t *testing.T) {
	s, err := kvstore.Start(kvstore.Options{Blobs: 2})
	require.NoError(t, err)
	defer s.Close()
	for _, key := range []string{"a", "b%2F1", "c"} {
		status, _ := send(t, http.MethodPut, s.URL()+"/kv/"+key, "blob "+key)
		assert.Equal(t, 204, status)
	}
	status, _ := send(t, http.MethodGet, s.URL()+"/kv/a", "")
	assert.Equal(t, 404, status)
	status, body := send(t, http.MethodGet, s.URL()+"/kv/b%2F1", "")
	assert.Equal(t, 200, status)
	assert.Equal(t, "blob b%2F1", body)
	send(t, http.MethodPost, s.URL()+"/faults?outage=true", "")
	status, _ = send(t, http.MethodGet, s.URL()+"/kv/c", "")
	assert.Equal(t, 503, status)
}
