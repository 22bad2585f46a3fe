package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/httpstatus"
	"github.com/jayproxy/jayproxy/internal/responselimit"
	"github.com/jayproxy/jayproxy/internal/wholebody"
)

// The defaults of ClientOptions.
const (
	DefaultTimeout        = 5 * time.Second
	DefaultMaxConnections = 32
)

// The paths of the platform's HTTP interface.
const (
	PathGet     = "/table/get"
	PathRange   = "/table/range"
	PathCommit  = "/table/commit"
	PathObjects = "/objects"
	PathVMs     = "/vms"
	PathWeights = "/weights"
)

const (
	maxAnswerBytes = 64 << 20
	maxErrorBytes  = 512
)

// GetRequest is the request body of PathGet.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// RangeRequest is the request body of PathRange.
type RangeRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// ClientOptions configure a Client. Zero values take the defaults.
type ClientOptions struct {
	// Timeout bounds each call, except the streaming of weights.
	Timeout time.Duration
	// MaxConnections bounds the number of open connections.
	MaxConnections int
}

// Client implements Platform over HTTP and JSON. It is safe for concurrent use.
//
// A write fails with ErrUnavailable only if it was certainly not carried out:
// there was no connection, or the platform answered with status 429 or 503,
// which it does before it carries out anything. A write that may have been
// carried out fails with ErrUnknown. Reads have no effect, so they may always be
// repeated and fail with ErrUnavailable instead. Status 404 is ErrNotFound; 400
// and 413 are ErrInvalid.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the platform at the base URL. It does not connect.
func NewClient(baseURL string, options ClientOptions) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.MaxConnections <= 0 {
		options.MaxConnections = DefaultMaxConnections
	}
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: options.Timeout}).DialContext,
		MaxConnsPerHost:        options.MaxConnections,
		MaxIdleConnsPerHost:    options.MaxConnections,
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: responselimit.MaxHeadBytes,
	}
	return &Client{base: baseURL, http: &http.Client{Transport: httpstatus.Transport(transport)}, timeout: options.Timeout}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	var rows []Row
	err := c.postJSON(ctx, PathGet, GetRequest{Keys: keys}, &rows)
	return rows, err
}

// Range implements Table.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	err := c.postJSON(ctx, PathRange, RangeRequest{Prefix: prefix, After: after, Limit: limit}, &rows)
	return rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	var result TxnResult
	body, err := json.Marshal(txn)
	if err != nil {
		return result, eris.Wrap(err, "encode transaction")
	}
	answer, err := c.call(ctx, call{method: http.MethodPost, path: PathCommit, body: body, writes: true})
	if err != nil {
		return result, err
	}
	// The write was carried out, so an answer that cannot be decoded counts as
	// lost.
	if err := json.Unmarshal(answer, &result); err != nil {
		return TxnResult{}, eris.Wrapf(ErrUnknown, "decode answer to commit: %v", err)
	}
	return result, nil
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	_, err := c.call(ctx, call{method: http.MethodPut, path: objectPath(key), body: body, writes: true})
	return err
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.call(ctx, call{method: http.MethodGet, path: objectPath(key), opaque: true})
}

// ListObjects implements Objects.
func (c *Client) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	err := c.getJSON(ctx, PathObjects+"?prefix="+url.QueryEscape(prefix), &keys)
	return keys, err
}

// DeleteObject implements Objects.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	_, err := c.call(ctx, call{method: http.MethodDelete, path: objectPath(key), writes: true})
	return err
}

// List implements VMs.
func (c *Client) List(ctx context.Context, after uint64) (VMList, error) {
	var list VMList
	err := c.getJSON(ctx, PathVMs+"?after="+strconv.FormatUint(after, 10), &list)
	return list, err
}

// Stat implements Weights.
func (c *Client) Stat(ctx context.Context, digest string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, call{method: http.MethodHead, path: weightPath(digest)})
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.ContentLength, nil
}

// Open implements Weights.
func (c *Client) Open(ctx context.Context, digest string) (io.ReadCloser, error) {
	response, err := c.send(ctx, call{method: http.MethodGet, path: weightPath(digest), opaque: true})
	if err != nil {
		return nil, err
	}
	return response.Body, nil
}

func objectPath(key string) string    { return PathObjects + "/" + url.PathEscape(key) }
func weightPath(digest string) string { return PathWeights + "/" + url.PathEscape(digest) }

func (c *Client) postJSON(ctx context.Context, path string, request, target any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	return c.callJSON(ctx, call{method: http.MethodPost, path: path, body: body}, target)
}

func (c *Client) getJSON(ctx context.Context, path string, target any) error {
	return c.callJSON(ctx, call{method: http.MethodGet, path: path}, target)
}

func (c *Client) callJSON(ctx context.Context, request call, target any) error {
	answer, err := c.call(ctx, request)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer, target); err != nil {
		return eris.Wrapf(ErrUnavailable, "decode answer to %s: %v", request.path, err)
	}
	return nil
}

type call struct {
	method string
	path   string
	body   []byte
	// writes is true if the call changes the platform's state.
	writes bool
	// opaque is true if the answer's content doesn't show where it ends, as JSON does.
	opaque bool
}

// failure returns the error for a failed call that may have reached the platform.
func (r call) failure() error {
	if r.writes {
		return ErrUnknown
	}
	return ErrUnavailable
}

// call sends a request and reads the complete answer.
func (c *Client) call(ctx context.Context, request call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := wholebody.ReadUpTo(response.Body, maxAnswerBytes)
	if err != nil {
		return nil, eris.Wrapf(request.failure(), "%s: read answer: %v", request.path, err)
	}
	return answer, nil
}

// send sends a request and returns the response if its status is below 300. A
// failed write is reported as not carried out only if there was no connection,
// because otherwise the platform may have received it. The HTTP transport does
// not repeat a write of which any part was sent, because no request carries an
// idempotency key header.
func (c *Client) send(ctx context.Context, request call) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, c.base+request.path, bodyOf(request.body))
	if err != nil {
		return nil, eris.Wrap(err, "create platform request")
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		if !connected.Load() {
			return nil, eris.Wrapf(ErrUnavailable, "%s: %v", request.path, err)
		}
		return nil, eris.Wrapf(request.failure(), "%s: %v", request.path, err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return framed(request, response)
	}
	defer response.Body.Close()
	return nil, statusError(request, response)
}

// framed returns the response unless its content could be cut off unnoticed.
func framed(request call, response *http.Response) (*http.Response, error) {
	if !request.opaque || wholebody.IsFramed(response) {
		return response, nil
	}
	_ = response.Body.Close()
	return nil, eris.Wrapf(request.failure(), "%s: %v", request.path, wholebody.ErrNoFraming)
}

func bodyOf(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

// ErrInvalid means that the platform rejected the call as malformed; nothing was done.
var ErrInvalid = errors.New("platform rejected the call")

func statusError(request call, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	cause := request.failure()
	switch response.StatusCode {
	case http.StatusNotFound:
		cause = ErrNotFound
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		cause = ErrInvalid
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		cause = ErrUnavailable
	}
	return eris.Wrapf(cause, "%s: status %d: %s", request.path, response.StatusCode, bytes.TrimSpace(text))
}
