package entry

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a handler that fails after its response has begun, and whose response ends as
// complete.
func TestErrorAfterTheResponseHasBegunAbortsIt(t *testing.T) {
	c := echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/", nil), httptest.NewRecorder())
	require.NoError(t, c.String(http.StatusOK, "half"))
	assert.PanicsWithValue(t, http.ErrAbortHandler, func() { (&Entry{}).writeError(errors.New("failed"), c) })
}
