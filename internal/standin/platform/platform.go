// Package platform is a stand-in for the platform's services: transactional table,
// object store, list of VMs and weight store, with rate limits and the failure
// modes of the real services. It keeps everything in memory.
package platform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/standin"
)

// Defaults of Options; DefaultWeightRate is in bytes per second.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	DefaultWeightRate      = 200 << 20
)

// Options configure the stand-in; zero values mean the defaults.
type Options struct {
	// Listen is an "ip:port" address; empty selects a free loopback port.
	Listen string
	// WritesPerSecond and ReadsPerSecond are the rate limits of the table and the
	// object store together; calls above them are refused with status 429.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// WeightBytesPerSecond is the rate that all readers of weights share.
	WeightBytesPerSecond int
	// Weights available at the start: digest to size in bytes.
	Weights map[string]int64
	// VMLag is the age at which a change of the list of VMs becomes visible.
	VMLag time.Duration
	// Seed selects the answers lost by Faults.LostAnswers.
	Seed uint64
}

// Faults are set under /faults; the zero value means none.
type Faults struct {
	// Outage refuses every call before it is carried out (status 503).
	Outage bool `json:"outage"`
	// Hang blocks every call until the caller gives up; nothing is carried out.
	Hang bool `json:"hang"`
	// DelayMS delays every call by so many milliseconds.
	DelayMS int `json:"delay_ms"`
	// LostAnswers is the share of writes whose connection is closed after the write.
	LostAnswers float64 `json:"lost_answers"`
	// LoseNext is the number of next writes whose connection is closed after the write.
	LoseNext int `json:"lose_next"`
	// VMLagMS replaces Options.VMLag when it is above 0.
	VMLagMS int `json:"vm_lag_ms"`
}

// Counts are the calls carried out and refused since the start.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Refused uint64 `json:"refused"`
	Lost    uint64 `json:"lost"`
	// Bytes of bodies sent and received.
	Bytes uint64 `json:"bytes"`
}

// Platform is a running stand-in.
type Platform struct {
	options Options
	server  *standin.Server
	table   *table
	objects *objects
	vms     *vms
	writes  *rate.Limiter
	reads   *rate.Limiter
	weights *rate.Limiter

	mu     sync.Mutex
	faults Faults
	counts Counts
	sizes  map[string]int64
	random *rand.Rand
}

// Start runs a stand-in until Close.
func Start(options Options) (*Platform, error) {
	options = options.withDefaults()
	p := &Platform{
		options: options,
		table:   newTable(),
		objects: newObjects(),
		vms:     newVMs(),
		writes:  rate.NewLimiter(rate.Limit(options.WritesPerSecond), burst(options.WritesPerSecond)),
		reads:   rate.NewLimiter(rate.Limit(options.ReadsPerSecond), burst(options.ReadsPerSecond)),
		weights: rate.NewLimiter(rate.Limit(options.WeightBytesPerSecond), max(options.WeightBytesPerSecond, weightPiece)),
		sizes:   map[string]int64{},
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
	}
	for digest, size := range options.Weights {
		p.sizes[digest] = size
	}
	server, err := standin.Start(options.Listen, p.routes())
	if err != nil {
		return nil, err
	}
	p.server = server
	return p, nil
}

func (o Options) withDefaults() Options {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.WeightBytesPerSecond <= 0 {
		o.WeightBytesPerSecond = DefaultWeightRate
	}
	return o
}

// burst is a quarter of a second's worth, small enough for many clients that start
// at once to reach the rate limit.
func burst(perSecond float64) int { return max(1, int(perSecond/4)) }

// URL returns the base URL, as platform.NewClient takes it.
func (p *Platform) URL() string { return p.server.URL() }

// Close stops the stand-in and discards its content.
func (p *Platform) Close() { p.server.Close() }

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the numbers of calls since the start.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetVM adds or changes a VM of the list; the change becomes visible after the lag.
func (p *Platform) SetVM(vm platform.VM) { p.vms.set(time.Now(), vm) }

// SetWeights adds weights of a size in bytes to the weight store.
func (p *Platform) SetWeights(digest string, size int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sizes[digest] = size
}

// Down closes all connections and refuses new ones until Up; the content is kept.
func (p *Platform) Down() { p.server.Down(context.Background()) }

// Up accepts connections again after Down.
func (p *Platform) Up() error { return p.server.Up() }

func (p *Platform) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST(platform.PathGet, p.guard(read, p.getRows))
	e.POST(platform.PathRange, p.guard(read, p.rangeRows))
	e.POST(platform.PathCommit, p.guard(write, p.commit))
	e.GET(platform.PathObjects, p.guard(read, p.listObjects))
	e.GET(platform.PathObjects+"/:key", p.guard(read, p.getObject))
	e.PUT(platform.PathObjects+"/:key", p.guard(write, p.putObject))
	e.DELETE(platform.PathObjects+"/:key", p.guard(write, p.deleteObject))
	e.GET(platform.PathVMs, p.guard(unlimited, p.listVMs))
	e.HEAD(platform.PathWeights+"/:digest", p.guard(unlimited, p.statWeights))
	e.GET(platform.PathWeights+"/:digest", p.guard(unlimited, p.sendWeights))
	e.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Faults()) })
	e.POST("/faults", p.changeFaults)
	e.POST("/faults/vm", p.changeVM)
	e.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Counts()) })
	return e
}
