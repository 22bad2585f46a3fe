package entry_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/entry"
)

func TestPlainResponseIsCompleteWithOutcome(t *testing.T) {
	s := newDeployment(t, "b1")
	e := s.entry("e1")
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatPlain)
	require.Equal(t, http.StatusOK, r.status, r.body)
	assert.JSONEq(t, completeResponse, r.body)
	assert.Equal(t, "done", r.header.Get(entry.HeaderOutcome))
	assert.Equal(t, "1", r.header.Get(entry.HeaderAttempts))
	assert.NotEmpty(t, r.header.Get(entry.HeaderRequestID))
	offer, sent := s.agents[0].first()
	assert.Equal(t, "quarry", offer.GetWorkspace())
	assert.Equal(t, "d1", offer.GetVersionDigest())
	assert.NotEmpty(t, offer.GetChain())
	assert.JSONEq(t, chatPlain, string(sent))
}

func TestStreamIsOrderedAndMarkedComplete(t *testing.T) {
	s := newDeployment(t, "b1")
	s.agents[0].set(func(f *fakeAgent) { f.respond = tokens(100) })
	e := s.entry("e1", func(settings *entry.Settings) { settings.Attempts.ResumeChunks = 10 })
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatStream)
	require.Equal(t, http.StatusOK, r.status, r.body)
	assert.Len(t, texts(r.body), 100)
	assert.True(t, strings.HasSuffix(r.body, ": outcome=done attempts=1\n\ndata: [DONE]\n\n"), r.body)
	assert.Contains(t, r.body, "id: 99\n")
	assert.Equal(t, "done", r.trailer.Get(entry.HeaderOutcome))
	assert.NotEmpty(t, r.header.Get(entry.HeaderResumeToken))
	require.Eventually(t, func() bool {
		return s.agents[0].count(func(f *fakeAgent) int { return int(f.acked) }) == 64
	}, time.Second, time.Millisecond, "the agent gets acknowledgements for the chunks that were passed on")
}

func TestInvalidRequestGetsTypedError(t *testing.T) {
	s := newDeployment(t, "b1")
	e := s.entry("e1", func(settings *entry.Settings) {
		settings.Limits.BodyBytes = 2000
		settings.Limits.PromptBytes = 1000
		settings.Limits.HeaderBytes = 4000
	})
	long := func(n int) string {
		return `{"model":"modelos","messages":[{"role":"user","content":"` + strings.Repeat("x", n) + `"}]}`
	}
	tests := []struct {
		name, method, path, key, body string
		headers                       []string
		status                        int
		code                          entry.Code
	}{
		{"no key", "POST", chatPath, "", chatPlain, nil, 401, entry.CodeInvalidKey},
		{"unknown key id", "POST", chatPath, "jay_k9_secret-one", chatPlain, nil, 401, entry.CodeInvalidKey},
		{"wrong secret", "POST", chatPath, "jay_k1_secret-two", chatPlain, nil, 401, entry.CodeInvalidKey},
		{"not JSON", "POST", chatPath, keyQuarry, "{", nil, 400, entry.CodeInvalidRequest},
		{"no messages", "POST", chatPath, keyQuarry, `{"model":"modelos"}`, nil, 400, entry.CodeInvalidRequest},
		{"image part", "POST", chatPath, keyQuarry, `{"model":"modelos","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, entry.CodeInvalidRequest},
		{"unknown model", "POST", chatPath, keyQuarry, `{"model":"m","messages":[{}]}`, nil, 404, entry.CodeModelNotFound},
		{"unknown adapter", "POST", chatPath, keyQuarry, `{"model":"modelos:x","messages":[{}]}`, nil, 404, entry.CodeModelNotFound},
		{"long body", "POST", chatPath, keyQuarry, long(3000), nil, 413, entry.CodeBodyTooLarge},
		{"long prompt", "POST", chatPath, keyQuarry, long(1500), nil, 400, entry.CodePromptTooLarge},
		{"long headers", "POST", chatPath, keyQuarry, chatPlain, []string{"X-Long", strings.Repeat("x", 5000)}, 431, entry.CodeHeadersTooLarge},
		{"unknown path", "GET", "/v1/nothing", keyQuarry, "", nil, 404, entry.CodeNotFound},
		{"wrong method", "GET", chatPath, keyQuarry, "", nil, 405, entry.CodeMethodNotAllowed},
		{"unknown service", "GET", "/services/none/x", keyQuarry, "", nil, 404, entry.CodeServiceNotFound},
		{"bad token", "GET", "/v1/streams/xyz", keyQuarry, "", nil, 404, entry.CodeStreamNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := call(t, tt.method, e.CallersURL()+tt.path, tt.key, tt.body, tt.headers...)
			assert.Equal(t, tt.status, r.status, r.body)
			got := errorOf(t, r)
			assert.Equal(t, string(tt.code), got.Code)
			assert.NotEmpty(t, got.Message)
			assert.Equal(t, r.header.Get(entry.HeaderRequestID), got.RequestID)
		})
	}
	assert.Zero(t, s.agents[0].count(func(f *fakeAgent) int { return len(f.offers) }), "no invalid request reached an agent")
	assert.Equal(t, http.StatusOK, call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatPlain).status)
}

type errorFields struct {
	Type         string `json:"type"`
	Code         string `json:"code"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	Outcome      string `json:"outcome"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

func errorOf(t *testing.T, r reply) errorFields {
	t.Helper()
	var body struct {
		Error errorFields `json:"error"`
	}
	require.NoError(t, json.Unmarshal([]byte(r.body), &body), r.body)
	return body.Error
}

func TestRequestsWithoutCatalogAreRefusedAsNotRun(t *testing.T) {
	s := newDeployment(t)
	e := s.entry("e1", func(settings *entry.Settings) { settings.Holder = catalog.NewHolder() })
	r := call(t, "POST", e.CallersURL()+chatPath, keyQuarry, chatPlain)
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.Equal(t, "1", r.header.Get("Retry-After"))
	got := errorOf(t, r)
	assert.Equal(t, string(entry.CodeNoConfiguration), got.Code)
	assert.Equal(t, "not_run", got.Outcome)
	ready := call(t, "GET", e.AdminURL()+"/readyz", "", "")
	assert.Equal(t, http.StatusServiceUnavailable, ready.status)
	assert.Equal(t, http.StatusOK, call(t, "GET", e.AdminURL()+"/livez", "", "").status)

	e.Catalog().Adopt(catalog.Build(&jayv1.Snapshot{Generation: 1, Resources: s.resources}))
	assert.Equal(t, http.StatusOK, call(t, "GET", e.AdminURL()+"/readyz", "", "").status)
}

func TestModelsListsModelsAllowedForWorkspace(t *testing.T) {
	s := newDeployment(t, "b1")
	s.resources = append(s.resources, &jayv1.Resource{Kind: &jayv1.Resource_Rule{Rule: &jayv1.Rule{
		Name: "no-other", Workspaces: []string{"other"}, Models: []string{"modelos"}, Deny: true,
	}}})
	e := s.entry("e1")
	r := call(t, "GET", e.CallersURL()+"/v1/models", keyQuarry, "")
	assert.Contains(t, r.body, `"id":"modelos"`)
	assert.Contains(t, r.body, `"id":"modelos:cone"`)
	r = call(t, "GET", e.CallersURL()+"/v1/models", keyOther, "")
	assert.NotContains(t, r.body, "modelos")
	r = call(t, "POST", e.CallersURL()+chatPath, keyOther, chatPlain)
	assert.Equal(t, string(entry.CodeForbidden), errorOf(t, r).Code)
}
