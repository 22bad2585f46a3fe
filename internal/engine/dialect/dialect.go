// Package dialect translates the vendors' HTTP interfaces into the engine
// interface. It decides nothing and keeps no state but idle connections.
//
// A stream request yields one event a chunk; the last event holds the chunk
// with the usage, which goes to the caller only when the caller asked for it
// (stream_options.include_usage). A request without "stream": true yields one
// event that holds the whole answer and is the last.
package dialect

import (
	"bytes"
	"context"
	"errors"
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
	"github.com/jayproxy/jayproxy/internal/prefix"
)

// Vendors that Open knows.
const (
	Merle = "merle"
	Pica  = "pica"
)

// ErrUnknownVendor is returned by Open.
var ErrUnknownVendor = errors.New("unknown engine vendor")

// ErrMalformed means that the engine sent something that the dialect can't read.
var ErrMalformed = errors.New("malformed data from the engine")

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
	// idleConns are kept to the one engine that a client talks to.
	idleConns = 256
	// maxAnswer bounds an answer that is read whole, in bytes; maxKV one of KV cache.
	maxResponse = 64 << 20
	maxKV       = 1 << 30
	// maxError bounds the text of an error that is kept, in bytes.
	maxErrorText = 512
)

// Open returns the engine of a vendor at a base URL. It does not connect.
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

// client makes HTTP calls and turns their failures into the errors of package engine.
type client struct {
	base string
	http *http.Client
}

func newClient(baseURL string) *client {
	return &client{base: baseURL, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// call is one HTTP call of an engine.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// send returns a response with a status of success, whose body the caller
// closes. The transport itself repeats a call only when it had sent none of it.
func (c *client) send(ctx context.Context, call call) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, eris.Wrap(err, "engine request")
	}
	if call.header != nil {
		request.Header = call.header
	}
	response, err := c.http.Do(request)
	if err != nil {
		if !connected.Load() {
			return nil, eris.Wrapf(engine.ErrNotReached, "%s: %v", call.path, err)
		}
		return nil, eris.Wrapf(engine.ErrInterrupted, "%s: %v", call.path, err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
	return nil, &statusError{path: call.path, status: response.StatusCode, text: string(bytes.TrimSpace(text))}
}

// open sends a call whose answer is read while it comes.
func (c *client) open(ctx context.Context, call call) (io.ReadCloser, error) {
	response, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	return response.Body, nil
}

// read sends a call and reads its whole answer.
func (c *client) read(ctx context.Context, call call, limit int64) ([]byte, error) {
	response, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return nil, eris.Wrapf(engine.ErrInterrupted, "%s: %v", call.path, err)
	}
	return body, nil
}

// statusError is an answer that refuses a call. By itself it matches
// engine.ErrRefused when the status says that nothing ran, else engine.ErrBroken.
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

// translate replaces a status that has a meaning of its own in a call.
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

// isStream tells a streamed answer from a whole one. The answer is asked, not
// the request: reading a long prompt once more would cost the first token time.
func isStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

func malformed(what string, err error) error {
	return eris.Wrapf(ErrMalformed, "%s: %v", what, err)
}
