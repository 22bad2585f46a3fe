// Package httpstatus tells statuses of HTTP responses from numbers that are none. A response with
// such a number is no answer: what it says can't be passed on, and net/http refuses to write some of
// them (RFC 9110, section 15).
package httpstatus

import (
	"fmt"
	"net/http"
)

// The least and the greatest status.
const (
	Least    = 100
	Greatest = 599
)

// Error says that a response has an invalid status.
type Error struct{ Status int }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("response has the invalid status %03d, want %d to %d", e.Status, Least, Greatest)
}

// Check returns an *Error for a number that is no status.
func Check(status int) error {
	if status < Least || status > Greatest {
		return &Error{Status: status}
	}
	return nil
}

// Transport returns a transport that fails with an *Error instead of returning a response with an
// invalid status.
func Transport(base http.RoundTripper) http.RoundTripper { return &transport{base: base} }

type transport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes those of the base, for http.Client.
func (t *transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
