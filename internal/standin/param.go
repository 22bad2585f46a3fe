package standin

import (
	"net/url"

	"github.com/labstack/echo/v4"
)

// Param returns an unescaped path parameter: echo leaves it escaped when the path
// contains an escaped slash.
func Param(c echo.Context, name string) string {
	value, err := url.PathUnescape(c.Param(name))
	if err != nil {
		return c.Param(name)
	}
	return value
}
