// Package metrics provides a registry of go-metrics histograms, counters and
// gauges. Each metric has a name, which is fixed in the code, and a label, such as
// a workspace or class. The number of labels is bounded; further ones are counted
// under OtherLabel.
package metrics

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// OtherLabel replaces labels beyond the registry's limit.
const OtherLabel = "other"

const (
	// reservoirSize and reservoirAlpha are the sample size and decay factor that
	// go-metrics recommends for histograms of the last five minutes.
	reservoirSize  = 1028
	reservoirAlpha = 0.015
	labelSeparator = "|"
)

// Registry holds the metrics of a process. It is safe for concurrent use.
type Registry struct {
	maxLabels int
	inner     gometrics.Registry

	mu     sync.RWMutex
	labels map[string]bool
}

// New returns a registry with at most maxLabels distinct labels, not counting
// OtherLabel.
func New(maxLabels int) *Registry {
	return &Registry{maxLabels: maxLabels, inner: gometrics.NewRegistry(), labels: map[string]bool{}}
}

// Time adds a duration, in microseconds, to the histogram name_us.
func (r *Registry) Time(name, label string, d time.Duration) {
	r.Value(name+"_us", label, d.Microseconds())
}

// Value adds a value to a histogram.
func (r *Registry) Value(name, label string, v int64) {
	key := r.key(name, label)
	metric := r.inner.GetOrRegister(key, newHistogram)
	if histogram, ok := metric.(gometrics.Histogram); ok {
		histogram.Update(v)
	}
}

// Count adds n to a counter.
func (r *Registry) Count(name, label string, n int64) {
	metric := r.inner.GetOrRegister(r.key(name, label), gometrics.NewCounter)
	if counter, ok := metric.(gometrics.Counter); ok {
		counter.Inc(n)
	}
}

// Gauge sets a gauge.
func (r *Registry) Gauge(name, label string, v int64) {
	metric := r.inner.GetOrRegister(r.key(name, label), gometrics.NewGauge)
	if gauge, ok := metric.(gometrics.Gauge); ok {
		gauge.Update(v)
	}
}

// newHistogram is passed to the registry as a constructor, so that a reservoir is
// allocated only for a new metric.
func newHistogram() gometrics.Histogram {
	return gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

func (r *Registry) key(name, label string) string {
	return name + labelSeparator + r.boundLabel(label)
}

// boundLabel returns the label, or OtherLabel if there are too many labels.
// Otherwise clients that send arbitrary names could exhaust the memory.
func (r *Registry) boundLabel(label string) string {
	r.mu.RLock()
	known := r.labels[label]
	r.mu.RUnlock()
	if known {
		return label
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.labels[label] {
		return label
	}
	if len(r.labels) >= r.maxLabels {
		return OtherLabel
	}
	r.labels[label] = true
	return label
}

// Sample is the current value of a metric.
type Sample struct {
	Name  string `json:"name"`
	Label string `json:"label"`
	// Count is the number of values of a histogram, or the value of a counter or
	// gauge. The other fields are set for histograms only.
	Count int64   `json:"count"`
	Mean  float64 `json:"mean,omitempty"`
	P50   float64 `json:"p50,omitempty"`
	P95   float64 `json:"p95,omitempty"`
	P99   float64 `json:"p99,omitempty"`
	Max   int64   `json:"max,omitempty"`
}

// Samples returns all metrics, sorted by name and label.
func (r *Registry) Samples() []Sample {
	var all []Sample
	r.inner.Each(func(key string, metric any) {
		name, label, _ := strings.Cut(key, labelSeparator)
		all = append(all, sampleOf(name, label, metric))
	})
	sort.Slice(all, func(i, j int) bool {
		if all[i].Name != all[j].Name {
			return all[i].Name < all[j].Name
		}
		return all[i].Label < all[j].Label
	})
	return all
}

func sampleOf(name, label string, metric any) Sample {
	sample := Sample{Name: name, Label: label}
	switch m := metric.(type) {
	case gometrics.Counter:
		sample.Count = m.Count()
	case gometrics.Gauge:
		sample.Count = m.Value()
	case gometrics.Histogram:
		h := m.Snapshot()
		quantiles := h.Percentiles([]float64{0.5, 0.95, 0.99})
		sample.Count, sample.Mean, sample.Max = h.Count(), h.Mean(), h.Max()
		sample.P50, sample.P95, sample.P99 = quantiles[0], quantiles[1], quantiles[2]
	}
	return sample
}

// Handler serves the metrics as JSON, or as text with ?format=text.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("format") != "text" {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(r.Samples())
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		r.WriteText(w)
	})
}

// WriteText writes all metrics, one per line.
func (r *Registry) WriteText(w io.Writer) {
	for _, s := range r.Samples() {
		_, _ = fmt.Fprintf(w, "%s{%s} count=%d mean=%.1f p50=%.1f p95=%.1f p99=%.1f max=%d\n",
			s.Name, s.Label, s.Count, s.Mean, s.P50, s.P95, s.P99, s.Max)
	}
}
