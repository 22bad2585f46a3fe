package metrics_test

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/metrics"
)

func TestLabelsBeyondTheLimitAreCountedAsOther(t *testing.T) {
	r := metrics.New(3)
	for i := range 10 {
		r.Count("refusals", fmt.Sprintf("w%d", i), 1)
	}
	samples := r.Samples()
	require.Len(t, samples, 4)
	assert.Equal(t, metrics.Sample{Name: "refusals", Label: metrics.OtherLabel, Count: 7}, samples[0])
}

func TestHistogramsAreServedAsText(t *testing.T) {
	r := metrics.New(3)
	r.Time("first_token", "w1", 20*time.Millisecond)
	answer := httptest.NewRecorder()
	r.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics?format=text", nil))
	assert.Contains(t, answer.Body.String(), "first_token_us{w1} count=1 mean=20000.0 p50=20000.0")
}
