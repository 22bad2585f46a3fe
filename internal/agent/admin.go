package agent

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/encoding/protojson"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/admission"
)

const adminHeaderTimeout = 5 * time.Second

// adminHandler serves liveness, readiness, metrics and the debug page.
func (a *Agent) adminHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", a.readyz)
	e.GET("/metrics", echo.WrapHandler(a.metrics.Handler()))
	e.GET("/debug/state", a.debugState)
	return e
}

func (a *Agent) readyz(c echo.Context) error {
	state := a.state()
	if !state.GetReady() || state.GetLeaving() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// attemptView is one attempt on the debug page. It contains no prompt text.
type attemptView struct {
	ID        string  `json:"id"`
	Workspace string  `json:"workspace"`
	State     string  `json:"state"`
	AgeMS     float64 `json:"age_ms"`
}

type debugView struct {
	Status   json.RawMessage `json:"status"`
	Attempts []attemptView   `json:"attempts"`
}

func (a *Agent) debugState(c echo.Context) error {
	status, err := protojson.Marshal(a.status())
	if err != nil {
		return err
	}
	attempts := []attemptView{}
	for _, att := range a.attempts.all() {
		attempts = append(attempts, attemptView{
			ID: att.id, Workspace: att.offer.GetWorkspace(), State: att.currentState(),
			AgeMS: float64(time.Since(att.offered)) / float64(time.Millisecond),
		})
	}
	sort.Slice(attempts, func(i, j int) bool { return attempts[i].ID < attempts[j].ID })
	return c.JSON(http.StatusOK, debugView{Status: status, Attempts: attempts})
}

// probe reports the agent's current state and, when the request has a prefix
// chain, the expected time to the first token.
func (a *Agent) probe(req *jayv1.ProbeRequest) *jayv1.ProbeReply {
	// The pool's limits and prefill rate otherwise arrive with the first offer.
	// Before that, the estimate would use the default rate, which may be too low
	// for the server to be picked at all.
	a.applyPool(req.GetPool())
	reply := &jayv1.ProbeReply{State: a.state()}
	if a.model == nil || len(req.GetChain()) == 0 {
		return reply
	}
	cached, _ := a.model.cache.lookup(time.Now(), req.GetChain())
	reply.CachedBytes = uint32(cached)
	shared := max(cached, a.inFlightPrefixes.bytes(req.GetChain()))
	reply.CostMs = a.scheduler.cost(admission.Request{
		Class:  req.GetClass(),
		Tokens: a.tokens(req.GetPool(), int(req.GetPromptBytes())-shared),
	})
	return reply
}
