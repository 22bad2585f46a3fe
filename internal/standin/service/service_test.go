package service_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/standin/service"
)

func call(t *testing.T, s *service.Service, key, body string) (int, service.Answer, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, s.URL()+"/bookings?x=1", strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		request.Header.Set(service.IdempotencyHeader, key)
	}
	// No connection reuse: on a reused connection net/http retries a request with this
	// header by itself.
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, service.Answer{}, err
	}
	defer response.Body.Close()
	var answer service.Answer
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer, nil
}

func TestRunsAreCountedByKeyBodyAndPath(t *testing.T) {
	s, err := service.Start(service.Options{Name: "reservas-app"})
	require.NoError(t, err)
	defer s.Close()
	status, answer, err := call(t, s, "k", "text")
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	assert.Equal(t, service.Answer{Service: "reservas-app", Method: "POST", Path: "/bookings?x=1", Key: "k", Run: 1, Body: "text"}, answer)
	_, answer, err = call(t, s, "k", "text")
	require.NoError(t, err)
	assert.Equal(t, 2, answer.Run)
	_, _, err = call(t, s, "", `{"id":"b7"}`)
	require.NoError(t, err)
	_, _, err = call(t, s, "", "")
	require.NoError(t, err)
	assert.Equal(t, map[string]int{"k": 2, "b7": 1, "POST /bookings": 1}, s.Runs())
}

func TestFaultsApplyBeforeOrAfterTheRun(t *testing.T) {
	s, err := service.Start(service.Options{})
	require.NoError(t, err)
	defer s.Close()
	for _, step := range []struct {
		faults service.Faults
		status int
		runs   int
	}{
		{service.Faults{FailBefore: true}, 503, 0},
		{service.Faults{CutBefore: true}, 0, 0},
		{service.Faults{FailAfter: true}, 500, 1},
		{service.Faults{CutAfter: true}, 0, 2},
		{service.Faults{CutNext: 1}, 0, 3},
		{service.Faults{}, 200, 4},
	} {
		s.SetFaults(step.faults)
		status, _, err := call(t, s, "k", "")
		assert.Equal(t, step.status == 0, err != nil)
		assert.Equal(t, step.status, status)
		assert.Equal(t, step.runs, s.Runs()["k"])
	}
	s.Down()
	_, _, err = call(t, s, "k", "")
	require.Error(t, err)
	require.NoError(t, s.Up())
	status, _, err := call(t, s, "k", "")
	require.NoError(t, err)
	assert.Equal(t, 200, status)
}
