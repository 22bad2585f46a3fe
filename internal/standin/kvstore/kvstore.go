// Package kvstore is a stand-in for the KV cache store: blobs by key, with LRU
// eviction when the store is full.
package kvstore

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/standin"
)

// DefaultBlobs is the default of Options.Blobs.
const DefaultBlobs = 4096

// maxBlob bounds a stored blob, in bytes.
const maxBlob = 1 << 30

// Options configure the stand-in; zero values mean the defaults.
type Options struct {
	// Listen is an "ip:port" address; empty selects a free loopback port.
	Listen string
	// Blobs is the capacity of the store, in blobs.
	Blobs int
}

// Faults are set under /faults; the zero value means none.
type Faults struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage"`
	// DelayMS delays every call by so many milliseconds.
	DelayMS int `json:"delay_ms"`
}

// Store is a running stand-in. Blobs are stored under /kv/{key}: PUT, GET, HEAD, DELETE.
type Store struct {
	server *standin.Server
	blobs  *lru.Cache[string, []byte]

	mu     sync.Mutex
	faults Faults
}

// Start runs a stand-in until Close.
func Start(options Options) (*Store, error) {
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	if options.Blobs <= 0 {
		options.Blobs = DefaultBlobs
	}
	blobs, err := lru.New[string, []byte](options.Blobs)
	if err != nil {
		return nil, eris.Wrap(err, "create LRU cache of blobs")
	}
	s := &Store{blobs: blobs}
	e := echo.New()
	e.HideBanner = true
	e.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, s.current()) })
	e.POST("/faults", s.changeFaults)
	kv := e.Group("/kv", s.injectFaults)
	kv.PUT("/:key", s.put)
	kv.GET("/:key", s.get)
	kv.HEAD("/:key", s.get)
	kv.DELETE("/:key", s.remove)
	if s.server, err = standin.Start(options.Listen, e); err != nil {
		return nil, err
	}
	return s, nil
}

// URL returns the base URL.
func (s *Store) URL() string { return s.server.URL() }

// Close stops the stand-in and discards its content.
func (s *Store) Close() { s.server.Close() }

// Down closes all connections and refuses new ones.
func (s *Store) Down() { s.server.Down(context.Background()) }

// Len returns the number of stored blobs.
func (s *Store) Len() int { return s.blobs.Len() }

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Store) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Store) changeFaults(c echo.Context) error {
	faults := s.current()
	if err := standin.MergeFaults(c.Request(), &faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.SetFaults(faults)
	return c.JSON(http.StatusOK, faults)
}

func (s *Store) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		faults := s.current()
		if faults.DelayMS > 0 {
			timer := time.NewTimer(time.Duration(faults.DelayMS) * time.Millisecond)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-c.Request().Context().Done():
				return nil
			}
		}
		if faults.Outage {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return next(c)
	}
}

func (s *Store) put(c echo.Context) error {
	blob, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBlob))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "cannot read request body")
	}
	s.blobs.Add(standin.Param(c, "key"), blob)
	return c.NoContent(http.StatusNoContent)
}

func (s *Store) get(c echo.Context) error {
	blob, ok := s.blobs.Get(standin.Param(c, "key"))
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, blob)
}

func (s *Store) remove(c echo.Context) error {
	s.blobs.Remove(standin.Param(c, "key"))
	return c.NoContent(http.StatusNoContent)
}
