package gateway

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/jayproxy/jayproxy/internal/routetable"
)

// usageView is a workspace's usage cap as shown to operators, in the unit of the cap.
type usageView struct {
	Workspace     string  `json:"workspace"`
	Unit          string  `json:"unit"`
	CapPerSecond  float64 `json:"cap_per_second"`
	Burst         float64 `json:"burst"`
	WindowSeconds float64 `json:"window_seconds"`
	// UsedHere in the last window, LentHere: may be used without asking.
	UsedHere int64 `json:"used_here"`
	LentHere int64 `json:"lent_here"`
	// UsedByAll in a window and Level of the bucket, as the lender reported AgeMS ago.
	UsedByAll int64  `json:"used_by_all"`
	Level     int64  `json:"level"`
	AgeMS     int64  `json:"age_ms"`
	Lender    string `json:"lender"`
	Isolated  bool   `json:"isolated"`
}

func unitName(u *routetable.Usage) string {
	if u.CountsTokens {
		return "tokens"
	}
	return "requests"
}

// usageViews returns the state of all capped workspaces, in the order of the configuration.
func (g *Gateway) usageViews() []usageView {
	views := []usageView{}
	table := g.state.table.Load()
	if table == nil {
		return views
	}
	for i := range table.Workspaces {
		w := &table.Workspaces[i]
		if !w.Usage.Cap.Limited() {
			continue
		}
		known, lender, isolated := g.usage.describe(w.Account)
		views = append(views, usageView{
			Workspace: w.Name, Unit: unitName(&w.Usage), CapPerSecond: w.Usage.Cap.Rate, Burst: w.Usage.Cap.Burst,
			WindowSeconds: g.settings.Usage.Window.Seconds(),
			UsedHere:      int64(known.Used), LentHere: int64(known.Line), UsedByAll: int64(known.Total), Level: int64(known.Level),
			AgeMS: known.Age.Milliseconds(), Lender: lender, Isolated: isolated,
		})
	}
	return views
}

// serveUsage lists the usage caps of workspaces.
func (g *Gateway) serveUsage(c echo.Context) error { return c.JSON(http.StatusOK, g.usageViews()) }

// updateUsageGauges sets the gauges of the capped workspaces.
func (g *Gateway) updateUsageGauges() {
	for _, v := range g.usageViews() {
		g.metrics.Gauge("quota_cap_per_s", v.Workspace, int64(v.CapPerSecond))
		g.metrics.Gauge("quota_used_here", v.Workspace, v.UsedHere)
		g.metrics.Gauge("quota_lent_here", v.Workspace, v.LentHere)
		g.metrics.Gauge("quota_used_by_all", v.Workspace, v.UsedByAll)
	}
}
