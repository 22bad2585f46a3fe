// Package engine is a stand-in for a model engine: the simulation of package
// sim behind the HTTP interface of one of two vendors, merle or pica. A caller
// that sends none of the vendor's fields gets the plain shape that existing
// clients know. Faults are switched under /faults, and /runs tells what ran.
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

// Vendors.
const (
	Merle = "merle"
	Pica  = "pica"
)

// Options of the stand-in.
type Options struct {
	// Listen is an "ip:port" address, a free loopback port when empty.
	Listen string
	// Vendor is Merle when empty.
	Vendor string
	// Name shows in /runs and in logs only.
	Name string
	// Engine options; the vendor sets the scheme of the block hashes.
	Engine sim.Options
	// KVBlocksPerSecond is the rate of KV export and import; 0: at once.
	KVBlocksPerSecond float64
}

// Engine is a running stand-in.
type Engine struct {
	options Options
	core    *sim.Core
	server  *standin.Server

	mu     sync.Mutex
	random *rand.Rand
	// other is the whole answer sent last, which the crossing fault sends again.
	other *wholeAnswer
	// back brings the engine back after a crash.
	back *time.Timer
	// marker in the body of requests that crash it, for so long; empty: none.
	marker string
	down   time.Duration
	// crashes by such requests.
	crashes int
}

// Start serves a stand-in until Close.
func Start(options Options) (*Engine, error) {
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	e := &Engine{options: options, random: rand.New(rand.NewPCG(options.Engine.Seed, 3))}
	router := echo.New()
	router.HideBanner = true
	router.Use(e.holdWhileFrozen)
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

// URL is the base URL for dialect.Open.
func (e *Engine) URL() string { return e.server.URL() }

// Core is the simulation behind the interface.
func (e *Engine) Core() *sim.Core { return e.core }

// Close stops the stand-in.
func (e *Engine) Close() {
	e.mu.Lock()
	if e.back != nil {
		e.back.Stop()
	}
	e.mu.Unlock()
	e.server.Close()
	e.core.Close()
}

// Crash cuts all connections, drops all state and brings the engine back cold
// after a time off the network.
func (e *Engine) Crash(down time.Duration) { e.crash(context.Background(), down) }

// CrashOn makes it crash when it begins to run a request with a marker in its body.
func (e *Engine) CrashOn(marker string, down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.marker, e.down = marker, down
}

// crashFor crashes it if the request is one that does so.
func (e *Engine) crashFor(body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.marker != "" && bytes.Contains(body, []byte(e.marker)) {
		e.crashes++
		go e.Crash(e.down)
	}
}

// Crashes counts those by requests.
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
	if e.back != nil {
		e.back.Stop()
	}
	e.back = time.AfterFunc(down, e.up)
}

func (e *Engine) up() {
	if err := e.server.Up(); err != nil {
		klog.ErrorS(err, "Engine does not come back", "engine", e.options.Name)
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

// holdWhileFrozen lets every call but those of the controls wait while the
// engine stands still: connections open, nothing is answered.
func (e *Engine) holdWhileFrozen(next echo.HandlerFunc) echo.HandlerFunc {
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

// transferTime waits as long as moving the KV cache of some blocks takes.
func (e *Engine) transferTime(ctx context.Context, blocks int) error {
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

// chance is true for a share of the calls.
func (e *Engine) chance(share float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64() < share
}
