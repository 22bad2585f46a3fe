// Package service is a stand-in for an HTTP service that is not a model engine, for
// example one that books machines. It counts executions, so that a test can
// distinguish a call that ran twice from one that was only sent twice.
package service

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/semaphore"

	"github.com/jayproxy/jayproxy/internal/standin"
)

// IdempotencyHeader holds the caller's key of a call that must not run twice.
const IdempotencyHeader = "Idempotency-Key"

// maxBody bounds a request's body, in bytes.
const maxBody = 64 << 20

// Options configure the stand-in; zero values mean the defaults.
type Options struct {
	// Listen is an "ip:port" address; empty selects a free loopback port.
	Listen string
	// Name is returned in every answer.
	Name string
	// Work is the duration of a call.
	Work time.Duration
	// Concurrency bounds the calls that run at once; 0 means 64.
	Concurrency int
}

// Faults are set under /faults; the zero value means none.
type Faults struct {
	// DelayMS lengthens every call by so many milliseconds.
	DelayMS int `json:"delay_ms"`
	// FailBefore answers with status 503 and runs nothing.
	FailBefore bool `json:"fail_before"`
	// FailAfter runs the call and answers with status 500.
	FailAfter bool `json:"fail_after"`
	// CutBefore closes the connection and runs nothing; CutAfter runs the call first.
	CutBefore bool `json:"cut_before"`
	CutAfter  bool `json:"cut_after"`
	// CutNext is the number of next calls whose connection is closed after the run.
	CutNext int `json:"cut_next"`
	// FloodNext is the number of next calls that are answered, after the run, with a head
	// without end.
	FloodNext int `json:"flood_next"`
}

// Answer is the JSON body of a response.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Run is the number of runs of this key so far, this one included.
	Run int `json:"run"`
	// Body is the body of the request.
	Body string `json:"body"`
}

// Service is a running stand-in.
type Service struct {
	options Options
	server  *standin.Server
	slots   *semaphore.Weighted

	mu      sync.Mutex
	faults  Faults
	runs    map[string]int
	running int
}

// Start runs a stand-in until Close.
func Start(options Options) (*Service, error) {
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	if options.Concurrency <= 0 {
		options.Concurrency = 64
	}
	s := &Service{
		options: options,
		slots:   semaphore.NewWeighted(int64(options.Concurrency)),
		runs:    map[string]int{},
	}
	server, err := standin.Start(options.Listen, s.routes())
	if err != nil {
		return nil, err
	}
	s.server = server
	return s, nil
}

// URL returns the base URL.
func (s *Service) URL() string { return s.server.URL() }

// Close stops the stand-in.
func (s *Service) Close() { s.server.Close() }

// Down closes all connections and refuses new ones until Up.
func (s *Service) Down() { s.server.Down(context.Background()) }

// Up accepts connections again after Down.
func (s *Service) Up() error { return s.server.Up() }

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns how often each key ran. A call without an idempotency key counts
// under the field "id" of its body, or else under its method and path.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		counts[key] = n
	}
	return counts
}

func (s *Service) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, s.current()) })
	e.POST("/faults", s.changeFaults)
	e.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Runs()) })
	e.GET("/load", s.load)
	e.Any("/*", s.serve)
	return e
}

func (s *Service) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Service) changeFaults(c echo.Context) error {
	faults := s.current()
	if err := standin.MergeFaults(c.Request(), &faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.SetFaults(faults)
	return c.JSON(http.StatusOK, faults)
}

// Load is the response of /load.
type Load struct {
	Running     int `json:"running"`
	Concurrency int `json:"concurrency"`
}

func (s *Service) load(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, Load{Running: s.running, Concurrency: s.options.Concurrency})
}

// serve handles one call. Faults apply in the order in which a real service can
// fail: before the run, during it, and after it has taken effect.
func (s *Service) serve(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "cannot read request body")
	}
	faults := s.current()
	if faults.CutBefore {
		return closeConnection(c)
	}
	if faults.FailBefore {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	if err := s.slots.Acquire(c.Request().Context(), 1); err != nil {
		return nil
	}
	defer s.slots.Release(1)
	answer := s.run(c, body)
	s.work(c.Request().Context(), faults)
	if faults.CutAfter || s.consumeCutNext() {
		return closeConnection(c)
	}
	if s.consumeFloodNext() {
		return flood(c)
	}
	if faults.FailAfter {
		return c.JSON(http.StatusInternalServerError, answer)
	}
	return c.JSON(http.StatusOK, answer)
}

// run counts the call as executed, whether or not its answer reaches the caller.
func (s *Service) run(c echo.Context, body []byte) Answer {
	request := c.Request()
	key := request.Header.Get(IdempotencyHeader)
	counted := key
	if counted == "" {
		counted = bodyID(body)
	}
	if counted == "" {
		counted = request.Method + " " + request.URL.Path
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[counted]++
	s.running++
	return Answer{
		Service: s.options.Name,
		Method:  request.Method,
		Path:    request.URL.RequestURI(),
		Key:     key,
		Run:     s.runs[counted],
		Body:    string(body),
	}
}

// bodyID returns the field "id" of a JSON body, or an empty string.
func bodyID(body []byte) string {
	var named struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(body, &named) != nil {
		return ""
	}
	return named.ID
}

func (s *Service) work(ctx context.Context, faults Faults) {
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	wait := s.options.Work + time.Duration(faults.DelayMS)*time.Millisecond
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Service) consumeCutNext() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CutNext <= 0 {
		return false
	}
	s.faults.CutNext--
	return true
}

func (s *Service) consumeFloodNext() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FloodNext <= 0 {
		return false
	}
	s.faults.FloodNext--
	return true
}

// flood sends a head without end until the client closes the connection.
func flood(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return errors.Join(http.ErrAbortHandler, err)
	}
	defer conn.Close()
	piece := []byte(strings.Repeat("Field: value\r\n", floodPieceFields))
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	for err == nil {
		_, err = conn.Write(piece)
	}
	return nil
}

// floodPieceFields is the number of header fields in one write of a flood.
const floodPieceFields = 256

func closeConnection(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return errors.Join(http.ErrAbortHandler, err)
	}
	return conn.Close()
}
