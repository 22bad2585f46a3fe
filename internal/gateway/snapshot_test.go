package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/mirror"
)

// Guards against a relay whose memory grows with the number of its readers: when all
// entries start, they ask for the complete list at once.
func TestReadersAtOnceShareOneEncodedTable(t *testing.T) {
	cache, encoded := snapshotCache{}, 0
	now := time.Unix(1000, 0)
	read := func(at time.Time) tableResponse {
		prefix, rest, err := cache.get(at, func() (any, time.Duration) {
			encoded++
			return mirror.Batch{Version: uint64(encoded), Snapshot: true, Rows: []mirror.Row{{Key: "a", Value: []byte("x"), Version: 1}}}, 100 * time.Millisecond
		})
		require.NoError(t, err)
		var response tableResponse
		require.NoError(t, json.Unmarshal(append([]byte(prefix), rest...), &response))
		return response
	}
	for range 40 {
		assert.Equal(t, int64(100), read(now).AgeMS)
	}
	later := read(now.Add(snapshotReuse - time.Millisecond))
	assert.Equal(t, 1, encoded)
	assert.Equal(t, int64(349), later.AgeMS, "the age includes the time in the cache")
	assert.True(t, later.Snapshot)
	assert.Equal(t, "a", later.Rows[0].Key)
	assert.Equal(t, uint64(2), read(now.Add(snapshotReuse)).Version, "encoded anew")
}

// Guards against an entry that starts being told for a while that its relay has no data,
// when the relay has just received it.
func TestEmptyTableIsNotKept(t *testing.T) {
	g, _ := newRelayedEntry(t, 3, 0)
	f := &feed{table: "servers"}
	g.feeds = []*feed{f}
	ask := func() tableResponse {
		recorder := httptest.NewRecorder()
		c := echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/v1/tables/servers?after=0", nil), recorder)
		c.SetParamNames("table")
		c.SetParamValues("servers")
		require.NoError(t, g.handleTable(c))
		var response tableResponse
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &response))
		return response
	}
	assert.Zero(t, ask().Version)
	f.copy.Apply(mirror.Batch{Version: 9, Snapshot: true})
	assert.Equal(t, uint64(9), ask().Version)
}
