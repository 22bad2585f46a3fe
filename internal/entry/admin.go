package entry

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/encoding/protojson"
)

// adminAPI returns the handler of the liveness, readiness, metrics and debug
// pages. They have a port of their own because callers must not see them.
func (e *Entry) adminAPI() http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", e.readyz)
	router.GET("/metrics", echo.WrapHandler(e.metrics.Handler()))
	router.GET("/debug/decisions", e.debugDecisions)
	return router
}

// readyz reports to the load balancer whether to send callers here. An entry
// without a configuration can only refuse requests, so it is not ready.
func (e *Entry) readyz(c echo.Context) error {
	switch {
	case e.stopping.Load():
		return c.String(http.StatusServiceUnavailable, "stopping\n")
	case e.holder.Current().Generation() == 0:
		return c.String(http.StatusServiceUnavailable, "no configuration\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// debugDecisions returns the latest routing decisions, newest first, one JSON
// object per line. The query parameter n limits their number.
func (e *Entry) debugDecisions(c echo.Context) error {
	const defaultShown = 20
	n, err := strconv.Atoi(c.QueryParam("n"))
	if err != nil {
		n = defaultShown
	}
	c.Response().Header().Set("Content-Type", "application/x-ndjson")
	for _, explanation := range e.explain.recent(n) {
		line, err := protojson.Marshal(explanation)
		if err != nil {
			return err
		}
		_, _ = c.Response().Write(append(line, '\n'))
	}
	return nil
}
