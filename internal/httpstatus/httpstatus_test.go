package httpstatus_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/httpstatus"
)

type respond int

func (r respond) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: int(r), Body: io.NopCloser(strings.NewReader("text"))}, nil
}

// Guards against a number that is no status being taken for success, as 000 is below 300.
func TestNumbersThatAreNoStatusAreErrors(t *testing.T) {
	for status, valid := range map[int]bool{0: false, 1: false, 20: false, 99: false, 100: true, 200: true, 599: true, 600: false, 999: false, -1: false} {
		request, err := http.NewRequest(http.MethodGet, "http://a.example/", nil)
		assert.NoError(t, err)
		response, err := httpstatus.Transport(respond(status)).RoundTrip(request)
		if !valid {
			var invalid *httpstatus.Error
			assert.ErrorAs(t, err, &invalid, "%d", status)
			continue
		}
		assert.NoError(t, err, "%d", status)
		assert.NoError(t, response.Body.Close())
	}
}
