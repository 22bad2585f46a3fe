package entry

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

// callKey is the context key under which the middleware stores the call.
const callKey = "jay.call"

// call is a caller's request as the middleware passes it to the handlers.
type call struct {
	id        string
	started   time.Time
	workspace *jayv1.Workspace
	table     *catalog.Table
}

func callOf(c echo.Context) *call { return c.Get(callKey).(*call) }

// callersAPI returns the handler of the callers' port.
func (e *Entry) callersAPI() http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = e.writeError
	router.Use(e.identify)
	router.POST(pathChat, e.serveModel)
	router.POST(pathCompletions, e.serveModel)
	router.GET("/v1/models", e.listModels)
	router.GET("/v1/streams/:token", e.resumeStream)
	router.Any("/services/:name", e.serveService)
	router.Any("/services/:name/*", e.serveService)
	return router
}

// identify is the middleware of all paths: it limits the headers, assigns the
// request id and checks the API key.
func (e *Entry) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := e.newRequestID()
		c.Response().Header().Set(HeaderRequestID, id)
		c.Set(callKey, &call{id: id})
		if e.stopping.Load() {
			// On a kept-alive connection the caller could send its next request
			// just as the listener closes, and lose it.
			c.Response().Header().Set("Connection", "close")
		}
		if headerBytes(c.Request().Header) > e.settings.Limits.HeaderBytes {
			return refuse(statusHeadersTooLarge, CodeHeadersTooLarge, "the headers are longer than the limit")
		}
		if !hasKey(c.Request().Header) {
			return unauthorized()
		}
		started := time.Now()
		table, refusal := e.configured(c.Request().Context(), id)
		if refusal != nil {
			return refusal
		}
		workspace, refusal := authenticate(table, c.Request().Header)
		if refusal != nil {
			return refusal
		}
		c.Set(callKey, &call{id: id, started: started, workspace: workspace, table: table})
		return next(c)
	}
}

// newRequestID returns a random id that contains the entry's name, so that any
// entry can find the one that served the request.
func (e *Entry) newRequestID() string {
	const idBytes = 10
	var random [idBytes]byte
	_, _ = rand.Read(random[:])
	return requestIDPrefix + e.settings.Name + "-" + hex.EncodeToString(random[:])
}

// requestIDPrefix starts every request id.
const requestIDPrefix = "req-"

// entryOf returns the name of the entry that created the request id.
func entryOf(requestID string) (string, bool) {
	rest, ok := strings.CutPrefix(requestID, requestIDPrefix)
	end := strings.LastIndex(rest, "-")
	if !ok || end <= 0 {
		return "", false
	}
	return rest[:end], true
}

func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

// writeError sends any error of a handler as a typed error response. It aborts a response that
// has begun, since that would otherwise end as a complete one.
func (e *Entry) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		panic(http.ErrAbortHandler)
	}
	refusal := fromEcho(err)
	id := ""
	if call, ok := c.Get(callKey).(*call); ok {
		id = call.id
		e.countRefusal(call.workspace, refusal)
	}
	if refusal.Status >= http.StatusInternalServerError {
		klog.V(1).InfoS("request refused", "request", id, "code", refusal.Code, "message", refusal.Message)
	}
	c.Response().Header().Set(HeaderAttempts, "0")
	refusal.write(c.Response(), id)
}

func fromEcho(err error) *Error {
	var fromRouter *echo.HTTPError
	if errors.As(err, &fromRouter) {
		switch fromRouter.Code {
		case http.StatusNotFound:
			return refuse(http.StatusNotFound, CodeNotFound, "no such path")
		case http.StatusMethodNotAllowed:
			return refuse(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "the path does not support this method")
		}
		return refuse(fromRouter.Code, CodeInvalidRequest, http.StatusText(fromRouter.Code))
	}
	return asError(err)
}

// readBody reads a complete body up to the size limit. Each read has a deadline,
// so that a slow caller is cut off.
func (e *Entry) readBody(c echo.Context) ([]byte, *Error) {
	limit := e.settings.Limits.BodyBytes
	if c.Request().ContentLength > limit {
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is longer than the limit")
	}
	control := http.NewResponseController(c.Response())
	timed := &timeoutReader{reader: c.Request().Body, control: control, timeout: ms(e.settings.Timeouts.CallerReadMS)}
	body, err := readAll(timed, c.Request().ContentLength, limit)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

func readAll(reader io.Reader, length, limit int64) ([]byte, error) {
	const minCapacity = 4 << 10
	body := make([]byte, 0, max(length+1, minCapacity))
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return nil, refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is longer than the limit")
		}
		if err == io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// timeoutReader applies a timeout to each read of a body.
type timeoutReader struct {
	reader  io.Reader
	control *http.ResponseController
	timeout time.Duration
}

// Read reads from the body. It returns a typed error after the timeout.
func (r *timeoutReader) Read(b []byte) (int, error) {
	_ = r.control.SetReadDeadline(time.Now().Add(r.timeout))
	n, err := r.reader.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, refuse(http.StatusRequestTimeout, CodeBodyTooSlow, "the body was sent too slowly: no byte arrived within the read timeout")
	}
	return n, err
}

// boundedReader returns a typed error once more than its limit was read.
type boundedReader struct {
	reader    io.Reader
	remaining int64
}

// Read reads from the body.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is longer than the limit")
	}
	return n, err
}
