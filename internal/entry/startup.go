package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/warmup"
)

// Names of the startup metrics, labelled with the entry's name.
const (
	metricStartServing    = "start_serving"
	metricStartConfigured = "start_configured"
	metricWarmupWait      = "warmup_wait"
	metricWarmupRefused   = "warmup_refused"
)

// startup counts and limits the requests that wait for the first configuration.
type startup struct {
	limits warmup.Limits
	// overdue: callers have waited for the first configuration for the limit's
	// timeout before the callers' port was opened.
	overdue atomic.Bool

	mu   sync.Mutex
	gate *warmup.Gate
}

func newStartup(settings Settings) *startup {
	limits := warmup.Limits{
		MaxWaiting: settings.Limits.WarmupRequests,
		Timeout:    ms(settings.Timeouts.WarmupMS),
	}
	return &startup{limits: limits, gate: warmup.NewGate(limits)}
}

func (s *startup) arrive(search warmup.ConfigState) warmup.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Admit(search)
}

func (s *startup) again(search warmup.ConfigState, waited time.Duration) warmup.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Recheck(search, waited)
}

func (s *startup) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Leave()
}

func (s *startup) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Waiting()
}

// configured returns the catalog table in force. Before the first configuration
// is loaded, requests wait for it: otherwise callers of an entry that was just
// replaced would be refused, and use up their retries, until it is loaded.
func (e *Entry) configured(ctx context.Context, id string) (*catalog.Table, *Error) {
	table := e.holder.Current()
	if table.Generation() > 0 {
		return table, nil
	}
	arrived := time.Now()
	verdict := e.startup.arrive(e.search())
	if verdict == warmup.Wait {
		verdict = e.waitConfigured(ctx, arrived)
		e.startup.leave()
	}
	waited := time.Since(arrived)
	e.metrics.Time(metricWarmupWait, e.settings.Name, waited)
	klog.V(1).InfoS("request received before the first configuration", "request", id, "waited", waited,
		"served", verdict == warmup.Serve, "full", verdict == warmup.RejectFull)
	if verdict == warmup.Serve {
		return e.holder.Current(), nil
	}
	e.metrics.Count(metricWarmupRefused, e.settings.Name, 1)
	return nil, refuseTemporarily(http.StatusServiceUnavailable, CodeNoConfiguration, "this entry has no configuration yet", 0)
}

// waitConfigured waits until the gate has a verdict, the caller disconnects or
// the entry stops.
func (e *Entry) waitConfigured(ctx context.Context, arrived time.Time) warmup.Decision {
	timeout := time.NewTimer(ms(e.settings.Timeouts.WarmupMS))
	defer timeout.Stop()
	for {
		// Taken before the check below, so that an adoption after it is not missed.
		next := e.holder.Next()
		if verdict := e.startup.again(e.search(), time.Since(arrived)); verdict != warmup.Wait {
			return verdict
		}
		select {
		case <-next:
		case <-e.spread.Loaded():
		case <-timeout.C:
		case <-ctx.Done():
			return warmup.RejectUnconfigured
		case <-e.ctx.Done():
			return warmup.RejectUnconfigured
		}
	}
}

// search returns the state of the search for the first configuration.
func (e *Entry) search() warmup.ConfigState {
	loaded := false
	select {
	case <-e.spread.Loaded():
		loaded = true
	default:
	}
	switch {
	case e.holder.Current().Generation() > 0:
		return warmup.Loaded
	case loaded, e.startup.overdue.Load():
		return warmup.NotFound
	}
	return warmup.Loading
}

// watchStart logs and records when the first configuration is in force. Callers
// are served from then on.
func (e *Entry) watchStart(ctx context.Context) {
	loaded := e.spread.Loaded()
	for {
		next := e.holder.Next()
		if table := e.holder.Current(); table.Generation() > 0 {
			after := time.Since(e.started)
			e.metrics.Time(metricStartConfigured, e.settings.Name, after)
			klog.InfoS("entry has its first configuration", "name", e.settings.Name, "generation", table.Generation(),
				"afterStart", after, "waiting", e.startup.waiting())
			return
		}
		select {
		case <-next:
		case <-loaded:
			klog.InfoS("entry found no configuration; requests are refused until one is received",
				"name", e.settings.Name, "afterStart", time.Since(e.started), "waiting", e.startup.waiting())
			loaded = nil
		case <-ctx.Done():
			return
		}
	}
}
