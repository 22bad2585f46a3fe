// Package wholebody tells complete bodies of HTTP responses from ones that were cut off. It is
// for content that doesn't show itself where it ends, unlike a JSON object.
package wholebody

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrNoFraming means that the body ended with its connection, which ends in the same way when
// the sender breaks the body off.
var ErrNoFraming = errors.New("body has neither a length nor chunks, so it may be incomplete")

// ErrTooLong means that the body is longer than the limit.
var ErrTooLong = errors.New("body is longer than the limit")

// IsFramed reports whether a length or chunks show where the body ends. Reading a framed body
// that is cut off fails; reading one without framing ends in order. What follows a switch of
// protocols is not framed, although net/http gives it the length 0.
func IsFramed(response *http.Response) bool {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// ReadUpTo reads all bytes. It fails if there are more than limit, instead of cutting them off.
func ReadUpTo(reader io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, eris.Wrapf(ErrTooLong, "limit of %d bytes", limit)
	}
	return body, err
}
