package agent_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

func newServiceFixture(t *testing.T, handler http.HandlerFunc, change func(*agent.Settings)) *fixture {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return newFixture(t, func(s *agent.Settings) {
		s.Engine = agent.EngineSettings{PollMS: 10}
		s.Service = agent.ServiceSettings{Name: "reservas-app", URL: server.URL}
		if change != nil {
			change(s)
		}
	})
}

func callOffer(id, method, path string) *jayv1.Offer {
	return &jayv1.Offer{
		RequestId: id, Attempt: 1, Workspace: "w1", Service: "reservas-app", Method: method, Path: path,
		HasBody: true, Nonce: []byte("nonce"),
	}
}

func TestServiceCallIsRelayedWithHeaderAndBody(t *testing.T) {
	fix := newServiceFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		assert.Equal(t, "r1", r.Header.Get("X-Request-Id"))
		assert.Equal(t, "yes", r.Header.Get("X-Kept"))
		assert.Empty(t, r.Header.Get("X-Dropped"))
		w.Header().Set("X-Answer", "a")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte(r.Method + " " + r.RequestURI + " " + string(body)))
	}, nil)
	offer := callOffer("r1", http.MethodPut, "/bookings/7?x=1")
	offer.Headers = []*jayv1.Header{
		{Name: "X-Kept", Value: "yes"}, {Name: "X-Dropped", Value: "no"}, {Name: "Connection", Value: "X-Dropped"},
	}
	got := readResponse(t, fix.accepted(offer, "request body"))
	require.NotNil(t, got.head)
	assert.EqualValues(t, http.StatusCreated, got.head.GetStatus())
	assert.Equal(t, "PUT /bookings/7?x=1 request body", strings.Join(got.chunks, ""))
	assert.Equal(t, jayv1.Outcome_OUTCOME_DONE, got.end.GetOutcome())
	assert.Contains(t, got.head.GetHeaders(), &jayv1.Header{Name: "X-Answer", Value: "a"})
}

// Guards against net/http resending a call with an Idempotency-Key when the service runs it on a
// reused connection and closes the connection without a response.
func TestNonRepeatableCallIsSentOnce(t *testing.T) {
	var runs atomic.Int32
	fix := newServiceFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		runs.Add(1)
		hijacked, _, err := http.NewResponseController(w).Hijack()
		if assert.NoError(t, err) {
			_ = hijacked.Close()
		}
	}, nil)
	readResponse(t, fix.accepted(callOffer("warm", http.MethodGet, "/warm"), ""))
	offer := callOffer("r1", http.MethodPost, "/bookings")
	offer.NonRepeatable = true
	offer.Headers = []*jayv1.Header{{Name: "Idempotency-Key", Value: "k1"}}
	got := readResponse(t, fix.accepted(offer, ""))
	assert.Equal(t, jayv1.Outcome_OUTCOME_UNKNOWN, got.end.GetOutcome())
	assert.EqualValues(t, 1, runs.Load())
}

func TestUnreachableServiceIsReportedAsNotRun(t *testing.T) {
	fix := newServiceFixture(t, nil, func(s *agent.Settings) { s.Service.URL = "http://127.0.0.1:1" })
	got := readResponse(t, fix.accepted(callOffer("r1", http.MethodPost, "/bookings"), "x"))
	assert.Equal(t, jayv1.Outcome_OUTCOME_NOT_RUN, got.end.GetOutcome())
	assert.Equal(t, jayv1.Refusal_REFUSAL_ENGINE_DOWN, got.end.GetRefusal())
}

// Guards against running a call twice when an operator has just declared it as
// non-repeatable and an entry with an older catalog offers it without a claim.
func TestNonRepeatableCallWithoutClaimIsRefused(t *testing.T) {
	var runs atomic.Int32
	holder := catalog.NewHolder()
	fix := newServiceFixture(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) },
		func(s *agent.Settings) { s.Catalog = holder })
	holder.Adopt(catalog.Build(&jayv1.Snapshot{Generation: 1, Resources: []*jayv1.Resource{
		{Kind: &jayv1.Resource_Service{Service: &jayv1.Service{
			Name:          "reservas-app",
			NonRepeatable: []*jayv1.NonRepeatableCall{{Method: "POST", PathPrefix: "/bookings"}},
		}}},
	}}))
	tests := map[string]struct {
		path string
		want jayv1.Refusal
	}{
		"declared":               {"/bookings/new?a=b", jayv1.Refusal_REFUSAL_STALE_CONFIG},
		"path with dot segments": {"/x/../bookings", jayv1.Refusal_REFUSAL_INVALID},
		"relative":               {"bookings", jayv1.Refusal_REFUSAL_INVALID},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, reply := fix.offer(callOffer(name, http.MethodPost, test.path))
			assert.Equal(t, test.want, reply.GetRefusal())
		})
	}
	offer := callOffer("no last body frame", http.MethodPost, "/bookings")
	offer.NonRepeatable, offer.HasBody = true, false
	_, reply := fix.offer(offer)
	assert.Equal(t, jayv1.Refusal_REFUSAL_INVALID, reply.GetRefusal())
	assert.Zero(t, runs.Load())
}
