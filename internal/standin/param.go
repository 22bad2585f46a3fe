package standin

import (
	"net/url"

	"github.com/labstack/echo/v4"
)

// Param is a path parameter unescaped: echo leaves it as sent when the path
// holds an escaped slash.
func Param(c echo.Context, name string) string {
	value, err := url.PathUnescape(c.Param(name))
	if err != nil {
		return c.Param(name)
	}
	return value
}
