// Package dialect implements engine.Engine for the vendors' HTTP interfaces. It
// makes no decisions and keeps no state except idle connections.
//
// A streamed request yields one event for each chunk. The last event holds the
// chunk with the usage, which a caller receives only when it requested it
// (stream_options.include_usage). A request without "stream": true yields a
// single, last event that holds the complete response.
package dialect

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/engine/blockhash"
	"github.com/jayproxy/jayproxy/internal/headtime"
	"github.com/jayproxy/jayproxy/internal/httpstatus"
	"github.com/jayproxy/jayproxy/internal/prefix"
	"github.com/jayproxy/jayproxy/internal/responselimit"
	"github.com/jayproxy/jayproxy/internal/wholebody"
)

// Vendors that Open supports.
const (
	Merle = "merle"
	Pica  = "pica"
)

// ErrUnknownVendor is returned by Open for a vendor that it does not support.
var ErrUnknownVendor = errors.New("unknown engine vendor")

// ErrMalformed means that the engine sent data that could not be decoded.
var ErrMalformed = errors.New("malformed data from the engine")

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
	// idleConns is the maximum number of idle connections to an engine.
	idleConns = 256
	// maxResponse bounds a response that is not streamed, maxKV one that contains
	// KV cache, in bytes.
	maxResponse = 64 << 20
	maxKV       = 1 << 30
	// maxErrorText bounds the part of an error response that is kept, in bytes.
	maxErrorText = 512
)

// Open returns a client for an engine of a vendor at a base URL. It does not
// connect.
func Open(vendor, baseURL string) (engine.Engine, error) {
	switch vendor {
	case Merle:
		return &merle{newClient(baseURL)}, nil
	case Pica:
		return &pica{newClient(baseURL)}, nil
	default:
		return nil, eris.Wrapf(ErrUnknownVendor, "%q", vendor)
	}
}

// client makes HTTP calls and maps their failures to the errors of package
// engine.
type client struct {
	base string
	http *http.Client
}

func newClient(baseURL string) *client {
	return &client{base: baseURL, http: &http.Client{Transport: httpstatus.Transport(&http.Transport{
		DialContext:            headtime.Dial(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: responselimit.MaxHeadBytes,
	})}}
}

// call is one HTTP request to an engine.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
	// opaque is true if the response's content doesn't show where it ends, as JSON does.
	opaque bool
	// headTime is engine.Request.HeadTime.
	headTime time.Duration
}

// send returns a response with a success status; the caller closes its body. The
// transport resends a call only when it had sent none of it.
func (c *client) send(ctx context.Context, call call) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, eris.Wrap(err, "build engine request")
	}
	if call.header != nil {
		request.Header = call.header
	}
	response, err := headtime.Do(request, call.headTime, c.http.Do)
	if err != nil {
		if !connected.Load() {
			return nil, eris.Wrapf(engine.ErrNotReached, "%s: %v", call.path, err)
		}
		return nil, fmt.Errorf("%s: %w: %w", call.path, engine.ErrInterrupted, err)
	}
	switch {
	case response.StatusCode == http.StatusSwitchingProtocols:
		// No call asks for it, and nothing gives the end of what follows.
		_ = response.Body.Close()
		return nil, eris.Wrapf(engine.ErrInterrupted, "%s: protocols switched unasked", call.path)
	case response.StatusCode < http.StatusMultipleChoices:
		return response, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
	return nil, &statusError{path: call.path, status: response.StatusCode, text: string(bytes.TrimSpace(text))}
}

// open sends a call and returns the response body for streaming.
func (c *client) open(ctx context.Context, call call) (io.ReadCloser, error) {
	response, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	return response.Body, nil
}

// read sends a call and reads the complete response. One of more than limit bytes fails.
func (c *client) read(ctx context.Context, call call, limit int64) ([]byte, error) {
	response, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if call.opaque && !wholebody.IsFramed(response) {
		return nil, eris.Wrapf(engine.ErrInterrupted, "%s: %v", call.path, wholebody.ErrNoFraming)
	}
	body, err := wholebody.ReadUpTo(response.Body, limit)
	if err != nil {
		return nil, eris.Wrapf(engine.ErrInterrupted, "%s: %v", call.path, err)
	}
	return body, nil
}

// statusError is a response with an error status. It matches engine.ErrRefused
// when the status means that nothing ran, else engine.ErrInterrupted. It also
// matches engine.ErrInvalid when the status is about the request's content.
type statusError struct {
	path   string
	status int
	text   string
}

// Error implements error.
func (e *statusError) Error() string {
	return e.path + ": " + http.StatusText(e.status) + ": " + e.text
}

// Is implements errors.Is for the errors of package engine.
func (e *statusError) Is(target error) bool {
	if target == engine.ErrInvalid {
		return e.status == http.StatusBadRequest || e.status == http.StatusRequestEntityTooLarge ||
			e.status == http.StatusUnprocessableEntity
	}
	switch e.status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusGone,
		http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge, http.StatusRequestedRangeNotSatisfiable,
		http.StatusUnprocessableEntity, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return target == engine.ErrRefused
	}
	return target == engine.ErrInterrupted
}

// mapStatus replaces an error with the given status by meaning, for statuses that
// have a specific meaning in a call.
func mapStatus(err error, status int, meaning error) error {
	var refused *statusError
	if errors.As(err, &refused) && refused.status == status {
		return eris.Wrap(meaning, refused.Error())
	}
	return err
}

// blocks computes the block hashes of a request's prompt.
func blocks(scheme blockhash.Scheme, request engine.Request) ([]engine.BlockHash, []int, error) {
	parts, err := prefix.Render(request.Body)
	if err != nil {
		return nil, nil, err
	}
	hashes, ends := blockhash.Chain(scheme, blockhash.Root{
		Salt:          request.Salt,
		VersionDigest: request.VersionDigest,
		Adapter:       request.Adapter,
	}, parts)
	return hashes, ends, nil
}

// isStream reports whether the response is streamed. It inspects the response,
// since decoding a request with a long prompt again would delay the first token.
func isStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

func malformed(what string, err error) error {
	return eris.Wrapf(ErrMalformed, "%s: %v", what, err)
}
