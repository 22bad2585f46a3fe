package entry

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/prefix"
	"github.com/jayproxy/jayproxy/internal/quarantine"
	"github.com/jayproxy/jayproxy/internal/routing"
)

// resumeKeep is the value of HeaderResume by which a caller asks that its
// request continues after its connection is lost, so that it can resume the
// stream.
const resumeKeep = "keep"

// finisher is a response that is completed with the request's result.
type finisher interface {
	responseSink
	finish(r result)
}

// serveModel handles chat and text completion requests.
func (e *Entry) serveModel(c echo.Context) error {
	call := callOf(c)
	body, refusal := e.readBody(c)
	if refusal != nil {
		return refusal
	}
	req, refusal := decodeModelRequest(c.Request().URL.Path, body)
	if refusal != nil {
		return refusal
	}
	request, refusal := e.newModelRequest(c, call, req, body)
	if refusal != nil {
		return refusal
	}
	return e.serve(c, request, req.promptTokens(request.policy.BytesPerToken), func(client *caller) finisher {
		if request.stream {
			return &sseSink{caller: client, newToken: e.resumeToken}
		}
		return &plainSink{caller: client, limit: e.settings.Limits.AnswerBytes}
	})
}

// newModelRequest builds a checked model request from the catalog.
func (e *Entry) newModelRequest(c echo.Context, call *call, req *modelRequest, body []byte) (*callerRequest, *Error) {
	if req.promptBytes() > e.settings.Limits.PromptBytes {
		return nil, refuse(http.StatusBadRequest, CodePromptTooLarge, "the prompt is longer than the limit")
	}
	pool, ok := call.table.PoolOfModel(req.Model)
	if !ok {
		return nil, refuse(http.StatusNotFound, CodeModelNotFound, "no such model")
	}
	version := catalog.ActiveVersion(pool)
	adapter, ok := adapterOf(pool, req.Adapter)
	if version == nil || !ok {
		return nil, refuse(http.StatusNotFound, CodeModelNotFound, "the model has no such version or adapter")
	}
	request := &callerRequest{
		pool: pool, model: req.Model, version: version.GetDigest(), adapter: adapter,
		apiPath: c.Request().URL.Path, stream: req.Stream, maxOut: req.maxOutput(),
		body: &bufferedBody{body: body}, repeatable: true,
		resumable: req.Stream && c.Request().Header.Get(HeaderResume) == resumeKeep,
	}
	rule, refusal := e.admit(c, call, request, catalog.Traffic{Model: req.Model})
	if refusal != nil {
		return nil, refusal
	}
	request.hashes = &quarantine.Hashes{Identity: quarantine.Identity{Caller: request.workspace.GetName(), Method: http.MethodPost, Target: request.apiPath, Body: body}}
	seed := prefix.Seed{Workspace: request.workspace.GetName(), Model: request.model, VersionDigest: request.version, Adapter: adapter}
	chain := prefix.Chain(seed, req.canonical)
	request.route = &routing.Request{
		ID: request.id, Workspace: request.workspace.GetName(), Pool: pool.GetName(), VersionDigest: request.version, Adapter: adapter,
		Class: request.class, Chain: chain.Points, Levels: chain.Levels, PromptBytes: chain.Bytes, DataCentres: rule.GetDataCentres(),
	}
	request.policy = policyOf(pool)
	return request, nil
}

// adapterOf returns the adapter's name, false when the pool does not declare it.
// No adapter is valid too.
func adapterOf(pool *jayv1.Pool, name string) (string, bool) {
	if name == "" {
		return "", true
	}
	for _, adapter := range pool.GetAdapters() {
		if adapter.GetName() == name {
			return name, true
		}
	}
	return "", false
}

// admit applies the matching rule: it refuses denied traffic and sets id,
// workspace, class, priority and deadline of the request.
func (e *Entry) admit(c echo.Context, call *call, request *callerRequest, traffic catalog.Traffic) (*jayv1.Rule, *Error) {
	traffic.Workspace = call.workspace.GetName()
	traffic.ClassLabel = c.Request().Header.Get(HeaderClass)
	rule := call.table.Match(traffic)
	if rule.GetDeny() {
		return nil, refuse(http.StatusForbidden, CodeForbidden, "a rule denies this traffic")
	}
	request.id, request.workspace, request.started = call.id, call.workspace, call.started
	request.class = classOf(rule, call.workspace)
	request.priority = rule.GetEnginePriority()
	deadline := ms(e.settings.Timeouts.DeadlineMS)
	if rule.GetDeadlineMs() > 0 {
		deadline = time.Duration(rule.GetDeadlineMs()) * time.Millisecond
	}
	request.deadline = call.started.Add(deadline)
	return rule, nil
}

func classOf(rule *jayv1.Rule, workspace *jayv1.Workspace) jayv1.Class {
	for _, class := range []jayv1.Class{rule.GetClass(), workspace.GetDefaultClass()} {
		if class != jayv1.Class_CLASS_UNSPECIFIED {
			return class
		}
	}
	return jayv1.Class_CLASS_STANDARD
}

func policyOf(pool *jayv1.Pool) *routing.PoolPolicy {
	return &routing.PoolPolicy{
		Pool: pool.GetName(), RecomputeWeight: pool.GetRecomputeWeight(),
		BytesPerToken: catalog.BytesPerToken(pool), SharedLevel: catalog.SharedLevel(pool),
		PrefillTokensPerSecond: pool.GetPrefillTokensPerSecond(),
	}
}

func (r *modelRequest) promptTokens(bytesPerToken float64) float64 {
	return float64(r.promptBytes()) / bytesPerToken
}

// modelList is the response body of /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels lists the models and adapters that the workspace may use.
func (e *Entry) listModels(c echo.Context) error {
	call := callOf(c)
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, pool := range call.table.Pools() {
		rule := call.table.Match(catalog.Traffic{
			Workspace: call.workspace.GetName(), Model: pool.GetModel(),
			ClassLabel: c.Request().Header.Get(HeaderClass),
		})
		if rule.GetDeny() {
			continue
		}
		list.Data = append(list.Data, modelItem{ID: pool.GetModel(), Object: "model", OwnedBy: "jayproxy"})
		for _, adapter := range pool.GetAdapters() {
			id := pool.GetModel() + adapterSeparator + adapter.GetName()
			list.Data = append(list.Data, modelItem{ID: id, Object: "model", OwnedBy: "jayproxy"})
		}
	}
	c.Response().Header().Set(HeaderOutcome, OutcomeName(jayv1.Outcome_OUTCOME_DONE))
	c.Response().Header().Set(HeaderAttempts, "0")
	return c.JSON(http.StatusOK, list)
}
