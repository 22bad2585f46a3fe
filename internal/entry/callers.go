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

// callKey is where the middleware leaves the call for the handlers.
const callKey = "jay.call"

// call is what the middleware knows of a caller's request.
type call struct {
	id        string
	started   time.Time
	workspace *jayv1.Workspace
	table     *catalog.Table
}

func callOf(c echo.Context) *call { return c.Get(callKey).(*call) }

// callersAPI is the handler of the callers' port.
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

// identify bounds the headers, names the request and checks the key, for each
// path in the same way.
func (e *Entry) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := e.newRequestID()
		c.Response().Header().Set(HeaderRequestID, id)
		c.Set(callKey, &call{id: id})
		if e.stopping.Load() {
			// A caller that keeps its connection would send its next request just
			// as the listener closes, and see it cut.
			c.Response().Header().Set("Connection", "close")
		}
		if headerBytes(c.Request().Header) > e.settings.Limits.HeaderBytes {
			return refuse(statusHeadersTooLarge, CodeHeadersTooLarge, "the headers are longer than the limit")
		}
		if !showsKey(c.Request().Header) {
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

// newRequestID carries the entry's name, so that any entry knows whom to ask
// about the request.
func (e *Entry) newRequestID() string {
	const idBytes = 10
	var random [idBytes]byte
	_, _ = rand.Read(random[:])
	return requestIDPrefix + e.settings.Name + "-" + hex.EncodeToString(random[:])
}

// requestIDPrefix starts every request id.
const requestIDPrefix = "req-"

// entryOf is the name of the entry that made a request id.
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

// writeError turns any error of a handler into a typed answer.
func (e *Entry) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := fromEcho(err)
	id := ""
	if call, ok := c.Get(callKey).(*call); ok {
		id = call.id
		e.countRefusal(call.workspace, refusal)
	}
	if refusal.Status >= http.StatusInternalServerError {
		klog.V(1).InfoS("refused", "request", id, "code", refusal.Code, "message", refusal.Message)
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
			return refuse(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "the path has no such method")
		}
		return refuse(fromRouter.Code, CodeInvalidRequest, http.StatusText(fromRouter.Code))
	}
	return asError(err)
}

// readBody reads a whole body within its bound. A caller that sends it too
// slowly is cut off by the read deadline of each piece.
func (e *Entry) readBody(c echo.Context) ([]byte, *Error) {
	limit := e.settings.Limits.BodyBytes
	if c.Request().ContentLength > limit {
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is longer than the limit")
	}
	control := http.NewResponseController(c.Response())
	patient := &patientReader{from: c.Request().Body, control: control, patience: ms(e.settings.Timeouts.CallerReadMS)}
	body, err := readAll(patient, c.Request().ContentLength, limit)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

func readAll(from io.Reader, length, limit int64) ([]byte, error) {
	const firstGuess = 4 << 10
	body := make([]byte, 0, max(length+1, firstGuess))
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := from.Read(body[len(body):cap(body)])
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

// patientReader bounds the wait for each piece of a body.
type patientReader struct {
	from     io.Reader
	control  *http.ResponseController
	patience time.Duration
}

// Read reads a piece.
func (p *patientReader) Read(b []byte) (int, error) {
	_ = p.control.SetReadDeadline(time.Now().Add(p.patience))
	n, err := p.from.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, refuse(http.StatusRequestTimeout, CodeBodyTooSlow, "the body came too slowly")
	}
	return n, err
}

// boundedReader fails with a typed error beyond its bound.
type boundedReader struct {
	from io.Reader
	left int64
}

// Read reads a piece.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is longer than the limit")
	}
	return n, err
}
