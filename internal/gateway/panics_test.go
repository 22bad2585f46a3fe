package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// plainDialect adds nothing to a refusal.
type plainDialect struct{ Dialect }

func (plainDialect) Refuse(http.Header, string, time.Duration) {}

// panicAfterSend serves a request whose handling panics while its send is open.
func panicAfterSend(t *testing.T, begun bool, cause any) (j *job, recorder *httptest.ResponseRecorder) {
	t.Helper()
	j, recorder = newDueJob(t, 0, 10), httptest.NewRecorder()
	j.gateway.ports.Dialect = plainDialect{}
	j.writer, j.inbound, j.begun = recorder, httptest.NewRequest(http.MethodPost, "/", nil), begun
	choice, err := j.chooseServer()
	require.NoError(t, err)
	func() {
		defer j.endPanic()
		defer j.endSend()
		j.sends, j.sending = 1, &choice
		panic(cause)
	}()
	return j, recorder
}

// Guards against a request that ends with a closed connection, no log line and its place at a server
// taken for good, because its handling panicked.
func TestAPanicEndsItsRequestWithAnAnswer(t *testing.T) {
	j, recorder := panicAfterSend(t, false, "invalid WriteHeader code 0")
	assert.Equal(t, http.StatusBadGateway, recorder.Code, "it may have run")
	assert.Equal(t, "panic", j.outcome)
	assert.EqualValues(t, 1, countOf(j.gateway, "panics"))
	for _, server := range j.gateway.state.list.OfService("engines") {
		assert.Equal(t, 1, j.gateway.state.router.Running(server.ID), "the pending one")
	}
}

// Guards against a response that had begun being ended in good order after a panic.
func TestAPanicBreaksABegunResponseOff(t *testing.T) {
	for _, cause := range []any{"odd", http.ErrAbortHandler} {
		assert.PanicsWithValue(t, http.ErrAbortHandler, func() { panicAfterSend(t, true, cause) })
	}
	assert.PanicsWithValue(t, http.ErrAbortHandler, func() { panicAfterSend(t, false, http.ErrAbortHandler) })
}
