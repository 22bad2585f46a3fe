package gateway

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/quarantine"
)

// suspectView is a suspected request as operators see it.
type suspectView struct {
	Fingerprint string `json:"fingerprint"`
	Held        bool   `json:"held"`
	// Servers are the lifetimes that crashed under it; Unexplained counts those
	// that no other held request accounts for.
	Servers     []string `json:"servers"`
	Unexplained int      `json:"unexplained"`
	Trials      int      `json:"trials"`
	Doubtful    bool     `json:"doubtful"`
	// LastNewsMS is how long ago something new was learned of it.
	LastNewsMS int64 `json:"last_news_ms"`
}

// giveSuspects lists the requests under which servers crashed.
func (g *Gateway) giveSuspects(c echo.Context) error {
	now := time.Now()
	views := []suspectView{}
	for _, r := range g.state.suspects.list() {
		views = append(views, suspectView{
			Fingerprint: r.Fingerprint.String(), Held: r.Quarantined, Servers: r.Servers, Unexplained: r.Unexplained,
			Trials: r.Trials, Doubtful: r.Uncertain, LastNewsMS: now.Sub(r.LastUpdate).Milliseconds(),
		})
	}
	return c.JSON(http.StatusOK, views)
}

// freeSuspect forgets one by an operator's word, at all entries.
func (g *Gateway) freeSuspect(c echo.Context) error {
	f, err := quarantine.ParseFingerprint(c.Param("fingerprint"))
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	known := g.state.suspects.clear(f, "operator")
	klog.InfoS("Operator frees a request", "fingerprint", f.String(), "known", known)
	if !known {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusNoContent)
}
