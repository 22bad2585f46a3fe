package load

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are quantiles of the time to first token, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Second contains the figures of one second of a run.
type Second struct {
	Second  int     `json:"second"`
	HitRate float64 `json:"hit_rate"`
	P95     float64 `json:"p95_ms"`
}

// Summary contains the figures of a run, without its warm-up.
type Summary struct {
	Calls   int `json:"calls"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	// Failed calls got neither a complete answer nor a refusal with status 429 or 503.
	Failed int `json:"failed"`
	// HitRate is token-weighted, over served calls; Bound is that of an unlimited cache.
	HitRate float64 `json:"hit_rate"`
	Bound   float64 `json:"bound_hit_rate"`
	// Wasted is the share of prompt tokens that were computed again: Bound - HitRate.
	Wasted     float64              `json:"wasted"`
	FirstToken Quantiles            `json:"first_token"`
	ByKind     map[string]Quantiles `json:"by_kind"`
	// InTime is the share of all calls whose first token arrived within Objective.
	InTime  float64  `json:"in_time"`
	Seconds []Second `json:"seconds,omitempty"`
}

// Objective is the time-to-first-token objective of the experiments.
const Objective = time.Second

const (
	histogramMax    = 10 * time.Minute
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Window is an interval of a run, by the times at which calls were due. From is
// included, To is not.
type Window struct{ From, To time.Duration }

func (w Window) contains(at time.Duration) bool { return at >= w.From && at < w.To }

// Summarize aggregates the samples of the window for whose calls matches returns
// true; a nil matches selects all. The bound must be that of the same calls.
func Summarize(samples []Sample, bound Bound, window Window, matches func(*Call) bool) Summary {
	s := Summary{ByKind: map[string]Quantiles{}}
	all, kinds := newHistogram(), map[string]*hdrhistogram.Histogram{}
	var prompt, cached, possible, inTime int
	for i := range samples {
		sample := &samples[i]
		if !window.contains(sample.Call.At) || (matches != nil && !matches(sample.Call)) {
			continue
		}
		s.Calls++
		if !s.countOutcome(sample) {
			continue
		}
		prompt += sample.PromptTokens
		cached += sample.CachedTokens
		possible += bound.Hits[sample.Call.Index]
		if sample.FirstToken <= Objective {
			inTime++
		}
		kind := kinds[sample.Call.Kind]
		if kind == nil {
			kind = newHistogram()
			kinds[sample.Call.Kind] = kind
		}
		_ = all.RecordValue(sample.FirstToken.Microseconds())
		_ = kind.RecordValue(sample.FirstToken.Microseconds())
	}
	s.HitRate = share(float64(cached), float64(prompt))
	s.Bound = share(float64(possible), float64(prompt))
	s.Wasted = max(0, s.Bound-s.HitRate)
	s.InTime = share(float64(inTime), float64(s.Calls))
	s.FirstToken = quantiles(all)
	for name, kind := range kinds {
		s.ByKind[name] = quantiles(kind)
	}
	return s
}

// countOutcome counts the call as served, refused or failed, and reports whether it
// was served.
func (s *Summary) countOutcome(sample *Sample) bool {
	switch {
	case sample.Complete:
		s.Served++
		return true
	case sample.Status == http.StatusTooManyRequests || sample.Status == http.StatusServiceUnavailable:
		s.Refused++
	default:
		s.Failed++
	}
	return false
}

// Series returns the figures of each second of a run of the given length.
func Series(samples []Sample, length time.Duration) []Second {
	var series []Second
	for at := time.Duration(0); at < length; at += time.Second {
		window := Window{at, at + time.Second}
		second := Second{Second: int(at / time.Second)}
		prompt, cached, first := 0, 0, newHistogram()
		for i := range samples {
			if window.contains(samples[i].Call.At) && samples[i].Complete {
				prompt += samples[i].PromptTokens
				cached += samples[i].CachedTokens
				_ = first.RecordValue(samples[i].FirstToken.Microseconds())
			}
		}
		second.HitRate = share(float64(cached), float64(prompt))
		second.P95 = quantiles(first).P95
		series = append(series, second)
	}
	return series
}
