package gateway

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/quarantine"
)

// suspectView is a suspect request or prompt part as shown to operators.
type suspectView struct {
	Fingerprint string `json:"fingerprint"`
	// Kind is "request" or "part"; Part is the part's ID, empty if this entry has seen no
	// request with it.
	Kind        string `json:"kind"`
	Part        string `json:"part,omitempty"`
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

// serveSuspects lists the requests and parts under which servers crashed.
func (g *Gateway) serveSuspects(c echo.Context) error {
	now := time.Now()
	views := []suspectView{}
	for _, r := range g.state.suspects.list() {
		views = append(views, suspectView{
			Fingerprint: r.Fingerprint.String(), Kind: viewKind(r.Fingerprint), Part: g.state.suspects.partID(r.Fingerprint), Quarantined: r.Quarantined, Servers: r.Servers, Unexplained: r.Unexplained,
			Trials: r.Trials, Uncertain: r.Uncertain, LastUpdateMS: now.Sub(r.LastUpdate).Milliseconds(),
		})
	}
	return c.JSON(http.StatusOK, views)
}

func viewKind(f quarantine.Fingerprint) string {
	if f.IsPart() {
		return "part"
	}
	return "request"
}

// serveClearSuspect clears a suspect at all entries, for an operator.
func (g *Gateway) serveClearSuspect(c echo.Context) error {
	f, err := quarantine.ParseFingerprint(c.Param("fingerprint"))
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	known := g.state.suspects.clear(f, "operator")
	klog.InfoS("Operator clears a suspect", "fingerprint", f.String(), "known", known)
	if !known {
		return c.NoContent(http.StatusNotFound)
	}
	// An entry that starts after the response must not read the rows.
	if !g.writeSuspects(c.Request().Context()) {
		signal(g.state.suspects.write)
	}
	return c.NoContent(http.StatusNoContent)
}
