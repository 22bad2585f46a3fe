// Package engine is a stand-in for a model engine: the simulation of package
// sim behind the HTTP interface of one of two vendors, merle or pica. A request
// without the vendor's fields gets the OpenAI format. Faults are set under
// /faults, and /runs returns how often each request ran.
package engine

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/engine/blockhash"
	"github.com/jayproxy/jayproxy/internal/standin"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// Vendors that the stand-in can emulate.
const (
	Merle = "merle"
	Pica  = "pica"
)

// Options configure the stand-in.
type Options struct {
	// Listen is an "ip:port" address; empty selects a free loopback port.
	Listen string
	// Vendor is Merle or Pica; empty means Merle.
	Vendor string
	// Name is used in logs only.
	Name string
	// Engine configures the simulation; the vendor sets the block hash scheme.
	Engine sim.Options
	// KVBlocksPerSecond is the rate of KV cache export and import; 0 means no delay.
	KVBlocksPerSecond float64
}

// Engine is a running stand-in.
type Engine struct {
	options Options
	core    *sim.Core
	server  *standin.Server

	mu     sync.Mutex
	random *rand.Rand
	// lastAnswer is the last unstreamed answer, which the AnswerCrossed fault sends again.
	lastAnswer *completeAnswer
	// restartTimer brings the engine back up after a crash.
	restartTimer *time.Timer
	// A request whose body contains marker crashes the engine for downtime; empty: none does.
	marker   string
	downtime time.Duration
	// crashes counts the crashes caused by such requests.
	crashes int
}

// Start runs a stand-in until Close.
func Start(options Options) (*Engine, error) {
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	e := &Engine{options: options, random: rand.New(rand.NewPCG(options.Engine.Seed, 3))}
	router := echo.New()
	router.HideBanner = true
	router.Use(e.blockWhileFrozen)
	switch options.Vendor {
	case "", Merle:
		options.Engine.Scheme = blockhash.Merle
		merle{e}.routes(router)
	case Pica:
		options.Engine.Scheme = blockhash.Pica
		pica{e}.routes(router)
	default:
		return nil, eris.Errorf("unknown vendor %q", options.Vendor)
	}
	e.controls(router)
	e.core = sim.New(options.Engine)
	server, err := standin.Start(options.Listen, router)
	if err != nil {
		e.core.Close()
		return nil, err
	}
	e.server = server
	return e, nil
}

// URL returns the base URL, as dialect.Open takes it.
func (e *Engine) URL() string { return e.server.URL() }

// Core returns the simulation behind the HTTP interface.
func (e *Engine) Core() *sim.Core { return e.core }

// Close stops the stand-in.
func (e *Engine) Close() {
	e.mu.Lock()
	if e.restartTimer != nil {
		e.restartTimer.Stop()
	}
	e.mu.Unlock()
	e.server.Close()
	e.core.Close()
}

// Crash closes all connections, drops all state and restarts the engine with an
// empty cache after being down for the given time.
func (e *Engine) Crash(down time.Duration) { e.crash(context.Background(), down) }

// CrashOn makes the engine crash, for the time down, whenever it begins to run a
// request whose body contains marker.
func (e *Engine) CrashOn(marker string, down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.marker, e.downtime = marker, down
}

// crashOnMarker crashes the engine if the body contains the marker set by CrashOn.
func (e *Engine) crashOnMarker(body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.marker != "" && bytes.Contains(body, []byte(e.marker)) {
		e.crashes++
		go e.Crash(e.downtime)
	}
}

// Crashes returns the number of crashes caused by requests; see CrashOn.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

func (e *Engine) crash(ctx context.Context, down time.Duration) {
	e.server.Down(ctx)
	e.core.Crash()
	if down <= 0 {
		e.up()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restartTimer != nil {
		e.restartTimer.Stop()
	}
	e.restartTimer = time.AfterFunc(down, e.up)
}

func (e *Engine) up() {
	if err := e.server.Up(); err != nil {
		klog.ErrorS(err, "Stand-in engine failed to listen again after a crash", "engine", e.options.Name)
	}
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(faults sim.Faults) { e.core.SetFaults(faults) }

func (e *Engine) controls(router *echo.Echo) {
	router.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, e.core.Faults()) })
	router.POST("/faults", e.changeFaults)
	router.POST("/faults/crash", func(c echo.Context) error {
		down, _ := strconv.Atoi(c.QueryParam("down_ms"))
		c.Response().Header().Set("Connection", "close")
		e.crash(c.Request().Context(), time.Duration(down)*time.Millisecond)
		return c.NoContent(http.StatusNoContent)
	})
	router.POST("/faults/freeze", func(c echo.Context) error {
		e.core.Freeze()
		return c.NoContent(http.StatusNoContent)
	})
	router.POST("/faults/thaw", func(c echo.Context) error {
		e.core.Thaw()
		return c.NoContent(http.StatusNoContent)
	})
	router.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, e.core.Runs()) })
}

func (e *Engine) changeFaults(c echo.Context) error {
	faults := e.core.Faults()
	if err := standin.MergeFaults(c.Request(), &faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	e.core.SetFaults(faults)
	return c.JSON(http.StatusOK, faults)
}

// blockWhileFrozen blocks every call except the fault controls while the engine is
// frozen: connections stay open, but nothing is answered.
func (e *Engine) blockWhileFrozen(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		switch c.Path() {
		case "/faults", "/faults/crash", "/faults/freeze", "/faults/thaw", "/runs":
			return next(c)
		}
		select {
		case <-e.core.Thawed():
			return next(c)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// awaitTransfer waits for as long as transferring that many KV cache blocks takes.
func (e *Engine) awaitTransfer(ctx context.Context, blocks int) error {
	if e.options.KVBlocksPerSecond <= 0 {
		return nil
	}
	timer := time.NewTimer(time.Duration(float64(blocks) / e.options.KVBlocksPerSecond * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// chance returns true for the given share of calls, at random.
func (e *Engine) chance(share float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64() < share
}
