package locality

import (
	"math"
	"time"
)

const (
	// DefaultPathMS is the round-trip time assumed between two data centres without a
	// recent measurement.
	DefaultPathMS = 2
	// pathLifetime is how long a measured round-trip time counts. Each response from
	// another data centre measures it again.
	pathLifetime = 30 * time.Second
	// pathGain is the weight of one measurement in the running mean.
	pathGain = 0.2
	// maxPathMS bounds one measurement: a lost segment must not stand for the path.
	maxPathMS = 1000
	// maxPaths bounds the pairs of data centres that are kept.
	maxPaths = 1024
	// maxServices bounds the services whose responses are kept.
	maxServices = 1024
	// bytesPerMB converts the operator's price, which is for a million bytes.
	bytesPerMB = 1e6
	// bytesGain is the weight of one response in the mean length of responses.
	bytesGain = 0.05
)

// Pair is a directed pair of data centres.
type Pair struct{ From, To string }

// path is the measured round-trip time between two data centres.
type path struct {
	ms float64
	at time.Time
}

// Costs are the costs of traffic between data centres: the operator's price, the
// measured paths, and the mean length of each service's responses.
type Costs struct {
	msPerMB   float64
	paths     map[Pair]path
	responses map[string]float64
}

// NewCosts returns costs at a price in milliseconds of latency for a million bytes.
func NewCosts(msPerMB float64) *Costs {
	return &Costs{msPerMB: msPerMB, paths: map[Pair]path{}, responses: map[string]float64{}}
}

// ObservePath records a measured round-trip time.
func (c *Costs) ObservePath(now time.Time, between Pair, rtt time.Duration) {
	if rtt <= 0 {
		return
	}
	ms := min(float64(rtt)/float64(time.Millisecond), maxPathMS)
	known, ok := c.paths[between]
	switch {
	case !ok && len(c.paths) >= maxPaths:
		return
	case ok && now.Sub(known.at) < pathLifetime:
		ms = known.ms + pathGain*(ms-known.ms)
	}
	c.paths[between] = path{ms: ms, at: now}
}

// PathMS returns the round-trip time between two data centres: DefaultPathMS if none was
// measured lately, in either direction.
func (c *Costs) PathMS(now time.Time, between Pair) float64 {
	for _, pair := range [2]Pair{between, {between.To, between.From}} {
		if known, ok := c.paths[pair]; ok && now.Sub(known.at) < pathLifetime {
			return known.ms
		}
	}
	return DefaultPathMS
}

// ObserveResponse records the length of a response of a service.
func (c *Costs) ObserveResponse(service string, bytes int64) {
	mean, ok := c.responses[service]
	switch {
	case !ok && len(c.responses) >= maxServices:
		return
	case !ok:
		mean = float64(bytes)
	default:
		mean += bytesGain * (float64(bytes) - mean)
	}
	c.responses[service] = mean
}

// ResponseBytes returns the mean length of a service's responses; ok is false if none
// was observed.
func (c *Costs) ResponseBytes(service string) (bytes float64, ok bool) {
	bytes, ok = c.responses[service]
	return bytes, ok
}

// BytesMS returns the price of bytes that cross between data centres.
func (c *Costs) BytesMS(bytes float64) float64 { return c.msPerMB * bytes / bytesPerMB }

// ChargeMS returns the charge for a request between two data centres that moves that
// many bytes: the path and the price.
func (c *Costs) ChargeMS(now time.Time, between Pair, bytes float64) float64 {
	return c.PathMS(now, between) + c.BytesMS(bytes)
}

// flow is a rate of work, averaged with exponentially falling weight.
type flow struct {
	perMS float64
	at    time.Time
}

// flowWindow is the averaging time of a flow. Shares must settle within 2 s of a step in
// demand, and two such times and the change of the share (shareWindow) follow each other.
const flowWindow = 300 * time.Millisecond

func (f *flow) add(now time.Time, amount float64) {
	f.perMS = max(0, f.value(now)+amount/(float64(flowWindow)/float64(time.Millisecond)))
	f.at = now
}

func (f *flow) value(now time.Time) float64 {
	age := now.Sub(f.at)
	if age <= 0 || f.perMS == 0 {
		return f.perMS
	}
	return f.perMS * math.Exp(-float64(age)/float64(flowWindow))
}
