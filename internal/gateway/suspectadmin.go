package gateway

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/quarantine"
)

// suspectView is a suspect request as shown to operators.
type suspectView struct {
	Fingerprint string `json:"fingerprint"`
	Quarantined bool   `json:"held"`
	// Servers are the incarnations that crashed under it; Unexplained counts those
	// that no other quarantined request accounts for.
	Servers     []string `json:"servers"`
	Unexplained int      `json:"unexplained"`
	Trials      int      `json:"trials"`
	// Uncertain: another quarantined request was running at each of its crashes.
	Uncertain bool `json:"doubtful"`
	// LastUpdateMS is the time since the last crash or trial was recorded.
	LastUpdateMS int64 `json:"last_news_ms"`
}

// serveSuspects lists the requests under which servers crashed.
func (g *Gateway) serveSuspects(c echo.Context) error {
	now := time.Now()
	views := []suspectView{}
	for _, r := range g.state.suspects.list() {
		views = append(views, suspectView{
			Fingerprint: r.Fingerprint.String(), Quarantined: r.Quarantined, Servers: r.Servers, Unexplained: r.Unexplained,
			Trials: r.Trials, Uncertain: r.Uncertain, LastUpdateMS: now.Sub(r.LastUpdate).Milliseconds(),
		})
	}
	return c.JSON(http.StatusOK, views)
}

// serveClearSuspect clears a suspect request at all entries, for an operator.
func (g *Gateway) serveClearSuspect(c echo.Context) error {
	f, err := quarantine.ParseFingerprint(c.Param("fingerprint"))
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	known := g.state.suspects.clear(f, "operator")
	klog.InfoS("Operator clears a suspect request", "fingerprint", f.String(), "known", known)
	if !known {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusNoContent)
}
