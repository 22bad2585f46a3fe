package gateway

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/sharedfact"
)

const (
	// refusalPause is how long a server that refused is avoided.
	refusalPause = 500 * time.Millisecond
	// loadPause is how long a server that loads weights by an order that came late gets no
	// requests: about the time of a load.
	loadPause = 900 * time.Millisecond
	// lateOrderTime is how long after an order a refusal is taken for its load.
	lateOrderTime = 20 * time.Second
)

// weightSwitch is an announced or running change of a server to new weights. It lapses at
// until.
type weightSwitch struct {
	version uint64
	until   time.Time
	// refuses: the server was ordered or loads, and refuses requests until it has.
	refuses bool
}

// loadOrder is an order to load a version that was sent to a server.
type loadOrder struct {
	version uint64
	at      time.Time
}

// announceSwitch records that a server is about to load new weights.
func (s *state) announceSwitch(server string, version uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excludeLocked(server, weightSwitch{version: version, until: until})
}

// excludeLocked keeps requests from a server. It does not shorten an earlier switch: a
// refusal during a load would otherwise end it early. It reports whether the server was not
// excluded before.
func (s *state) excludeLocked(server string, sw weightSwitch) bool {
	old, excluded := s.switches[server]
	if excluded && old.until.After(sw.until) {
		sw.until = old.until
	}
	sw.refuses = sw.refuses || old.refuses
	s.switches[server] = sw
	return !excluded
}

// recordLoad records that a server was ordered to load new weights, or that another entry
// found it loading.
func (s *state) recordLoad(now time.Time, update *switchUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if update.Ordered {
		s.loadOrders[update.Server] = loadOrder{version: update.Version, at: now}
	}
	if duration := time.Duration(update.ForMS) * time.Millisecond; duration > undrainedDuration {
		s.excludeLocked(update.Server, weightSwitch{version: update.Version, until: now.Add(duration), refuses: true})
	}
}

// withdrawSwitch records that an announced change of weights will not take place.
func (s *state) withdrawSwitch(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.switches, server)
}

func (s *state) expireSwitchesLocked(now time.Time) {
	for id, sw := range s.switches {
		if !now.Before(sw.until) {
			delete(s.switches, id)
		}
	}
	for id, order := range s.loadOrders {
		if now.Sub(order.at) >= lateOrderTime {
			delete(s.loadOrders, id)
		}
	}
}

// refusalKind is the likely reason of a refusal.
type refusalKind string

const (
	// refusedBusy: the reason is not known; most likely the server is full.
	refusedBusy refusalKind = "busy"
	// refusedLoading: the server loads the weights that it was ordered to load.
	refusedLoading refusalKind = "loading"
	// refusedOtherWeights: the server has other weights than the request expected, and did
	// not say which.
	refusedOtherWeights refusalKind = "other_weights"
)

// recordRefusal excludes an engine that refused a request for a time that depends on the
// likely reason. fresh: it was not excluded before.
func (s *state) recordRefusal(now time.Time, server *routing.DirectServer, model string, status int) (kind refusalKind, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := max(server.Version, s.versions[versionKey{server.ID, model}])
	kind, sw := refusedBusy, weightSwitch{version: version + 1, until: now.Add(refusalPause)}
	switch order := s.loadOrders[server.ID]; {
	case status == http.StatusMisdirectedRequest:
		kind = refusedOtherWeights
	case order.version > version && now.Sub(order.at) < lateOrderTime:
		kind, sw = refusedLoading, weightSwitch{version: order.version, until: now.Add(loadPause), refuses: true}
	}
	return kind, s.excludeLocked(server.ID, sw)
}

// observeRefusal handles the refusal of a request by an engine, and reports what it shows to
// the other entries.
func (g *Gateway) observeRefusal(now time.Time, server *routing.DirectServer, model string, status int) {
	kind, fresh := g.state.recordRefusal(now, server, model, status)
	g.metrics.Count("refused_while", string(kind), 1)
	switch {
	case !fresh || kind == refusedBusy:
	case kind == refusedLoading:
		klog.InfoS("Server loads weights by an earlier order", "server", server.ID, "model", model, "version", server.Version)
		g.state.reportWeights(now, sharedfact.Loading, server.ID, model, server.Version+1)
	case kind == refusedOtherWeights:
		go g.askVersion(server.ID, server.Address, model)
	}
}

// askVersion asks an engine which weights it has, after it has refused a request for other
// ones without saying so.
func (g *Gateway) askVersion(server, address, model string) {
	ctx, cancel := context.WithTimeout(context.Background(), engineCallTimeout)
	defer cancel()
	report, err := g.ports.Engines.Report(ctx, fleet.InstanceOf(server), address)
	if err != nil {
		klog.InfoS("Report failed", "server", server, "err", err)
		return
	}
	version := report.Versions[model]
	if report.Busy || !g.state.reportIsCurrent(time.Now(), server, &report) || version <= g.state.versionOf(server, model) {
		return
	}
	g.state.observeVersion(server, model, version, "report")
	g.state.reportWeights(time.Now(), sharedfact.Serving, server, model, version)
}
