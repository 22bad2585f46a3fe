package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/rollout"
	"github.com/jayproxy/jayproxy/internal/shard"
)

const (
	// rolloutLease names the lease of the entry that gives orders.
	rolloutLease = "rollout"
	// rolloutInterval between two looks at what is to be done.
	rolloutInterval = 50 * time.Millisecond
	// announceDuration is how long an announced server is left alone without
	// further word: a holder that dies must not keep it idle.
	announceDuration = 1500 * time.Millisecond
	// orderDuration is the same for a server that was ordered.
	orderDuration = 2500 * time.Millisecond
	// ordinaryContenders for the lease in ordinary times.
	ordinaryContenders = 2
	// contendAfter is the age of replaced weights from which any entry contends.
	contendAfter = 4 * time.Second
	// holderTimeout is how long the last news of a holder shows that there is one. It
	// announces and orders servers several times a second while there is work.
	holderTimeout = 2 * time.Second
	// engineCallTimeout bounds a report or an order.
	engineCallTimeout = 800 * time.Millisecond
	// leaseMarginShare of the lease's time the holder stops to act before its end.
	leaseMarginShare = 0.25
	leaseRenewShare  = 0.3
)

// rollouts gives orders while this entry holds the lease.
type rollouts struct {
	gateway *Gateway
	mu      sync.Mutex
	plans   map[string]*rollout.Plan
	fence   uint64
	// heartbeatAt is when the others were last shown that the holder works.
	heartbeatAt time.Time
	// startedAt is when this process began to hear what other holders order, heldAt
	// when it took the lease.
	startedAt, heldAt time.Time
}

func (g *Gateway) startRollouts(ctx context.Context) {
	bound := g.settings.LeaseTime
	settings := lease.Settings{
		TTL: bound, Margin: time.Duration(float64(bound) * leaseMarginShare),
		Renew: time.Duration(float64(bound) * leaseRenewShare), Watch: time.Duration(float64(bound) * leaseRenewShare),
	}
	g.keeper = lease.KeepIf(ctx, g.ports.Table, rolloutLease, g.settings.Node, settings, lease.BootClock, g.contends)
	r := &rollouts{gateway: g, plans: map[string]*rollout.Plan{}, startedAt: time.Now()}
	g.spawn(func() { g.every(ctx, rolloutInterval, func(now time.Time) { r.tick(ctx, now) }) })
}

// contends tells whether this entry tries for the lease. The first few of the
// fleet do; the others only when weights that were replaced some time ago still
// serve and nobody was heard to change that. With the age alone every entry of
// a large fleet looked at the lease while new weights went round as they should:
// 732 of 1,090 calls to the store on a quiet day.
func (g *Gateway) contends() bool {
	rank, _ := g.peers.rank(everyEntry)
	if rank >= 0 && rank < ordinaryContenders {
		return true
	}
	return g.state.needsHolder(time.Now())
}

func (r *rollouts) tick(ctx context.Context, now time.Time) {
	if !r.mayAct(now) {
		return
	}
	for _, model := range r.gateway.state.rollingModels(now) {
		r.step(ctx, now, model)
	}
}

// mayAct tells whether this entry gives orders now. One that started less than
// a lease ago may not have heard what an earlier holder ordered, and a server
// must not see two holders by turns: it waits, unless it is the first holder
// of all. One that is told of no orders waits from when it took the lease. One that heard leaves just those servers alone (state.orderedAt).
func (r *rollouts) mayAct(now time.Time) bool {
	fence, held := r.gateway.keeper.Held()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !held {
		r.fence = 0
		return false
	}
	if fence != r.fence {
		klog.InfoS("Lease held", "lease", rolloutLease, "fence", fence, "inherited", r.gateway.keeper.Inherited())
		r.fence, r.plans, r.heldAt = fence, map[string]*rollout.Plan{}, now
	}
	since := r.startedAt
	if !r.gateway.receivesOrders(now) {
		since = r.heldAt
	}
	return !r.gateway.keeper.Inherited() || now.Sub(since) >= r.gateway.settings.LeaseTime
}

// receivesOrders tells whether this entry is told of the orders of other holders: in
// large fleets the owners of shards are, and those that contend first.
func (g *Gateway) receivesOrders(now time.Time) bool {
	if !g.sharded() {
		return true
	}
	if rank, _ := g.peers.rank(everyEntry); rank >= 0 && rank <= ordinaryContenders {
		return true
	}
	return slices.ContainsFunc(g.state.owners(now), func(o shard.Entry) bool { return o.Name == g.settings.Node })
}

func (r *rollouts) step(ctx context.Context, now time.Time, model rollingModel) {
	r.mu.Lock()
	plan, ok := r.plans[model.name]
	if !ok {
		plan = rollout.New()
		r.plans[model.name] = plan
	}
	actions := plan.Tick(now, model.wanted, model.servers)
	fence := r.fence
	r.mu.Unlock()
	var news []switchUpdate
	for _, action := range actions {
		klog.InfoS("Rollout", "model", model.name, "action", action.Kind.String(), "server", action.Server, "version", action.Version, "orders", action.Orders)
		switch action.Kind {
		case rollout.Announce:
			news = append(news, switchUpdate{Server: action.Server, Model: model.name, Version: action.Version, ForMS: announceDuration.Milliseconds()})
		case rollout.Order:
			news = append(news, switchUpdate{Server: action.Server, Model: model.name, Version: action.Version, ForMS: orderDuration.Milliseconds(), Ordered: true})
			go r.order(ctx, plan, model.name, action, fence)
		case rollout.Look:
			go r.queryReport(ctx, plan, model.name, action)
		case rollout.Withdraw:
			news = append(news, switchUpdate{Server: action.Server, Model: model.name, Withdrawn: true})
		}
	}
	r.gateway.sendSwitchUpdates(ctx, news)
	r.heartbeat(now, model)
}

// heartbeat shows the other entries of a large fleet that this one is at work while
// a server is left that has older weights. They hear of no single server.
func (r *rollouts) heartbeat(now time.Time, model rollingModel) {
	working := slices.ContainsFunc(model.servers, func(s rollout.Server) bool { return s.Version < model.wanted })
	if !working || !r.gateway.sharded() || now.Sub(r.heartbeatAt) < heartbeatInterval {
		return
	}
	r.heartbeatAt = now
	r.gateway.sendHeartbeat()
}

// order gives one order, if the lease is still held.
func (r *rollouts) order(ctx context.Context, plan *rollout.Plan, model string, action rollout.Action, fence uint64) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	current, held := r.gateway.keeper.Held()
	if !held || current != fence {
		klog.InfoS("Order not given: the lease is gone", "server", action.Server, "fence", fence)
		return
	}
	outcome, err := r.gateway.ports.Engines.Order(ctx, call.LoadOrder{
		Instance: fleet.InstanceOf(action.Server), Address: action.Address, Model: model, Version: action.Version,
		Mode: call.LoadKeeps, Holder: r.gateway.settings.Node, Fence: fence, Expected: action.Orders,
	})
	klog.InfoS("Order given", "server", action.Server, "version", action.Version, "fence", fence, "outcome", outcome.String(), "err", err)
	r.gateway.metrics.Count("orders", outcome.String(), 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case call.OrderHolds:
		plan.Held(action.Server)
		r.gateway.sendSwitchUpdates(ctx, []switchUpdate{{Server: action.Server, Model: model, Version: action.Version}})
	case call.OrderMisdirected:
		r.gateway.state.incarnationEnded(time.Now(), action.Server, "order")
		plan.Refused(time.Now(), action.Server)
	case call.OrderBusy, call.OrderInvalid, call.OrderNotSent, call.OrderFenced:
		plan.Refused(time.Now(), action.Server)
	case call.OrderAccepted, call.OrderUnknown:
	}
}

func (r *rollouts) queryReport(ctx context.Context, plan *rollout.Plan, model string, action rollout.Action) {
	callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	report, err := r.gateway.ports.Engines.Report(callCtx, fleet.InstanceOf(action.Server), action.Address)
	if err != nil {
		klog.InfoS("Report failed", "server", action.Server, "err", err)
		r.gateway.state.reportFailed(time.Now(), action.Server, err)
		return
	}
	if !r.gateway.state.reportIsCurrent(time.Now(), action.Server, &report) {
		return
	}
	version := report.Versions[model]
	r.mu.Lock()
	plan.Saw(action.Server, rollout.Seen{Version: version, Busy: report.Busy, Orders: report.Orders, Running: report.Running, Queued: report.Queued})
	r.mu.Unlock()
	if version > r.gateway.state.versionOf(action.Server, model) && !report.Busy {
		r.gateway.sendSwitchUpdates(ctx, []switchUpdate{{Server: action.Server, Model: model, Version: version}})
	}
}

// rollingModel is a model whose servers do not all have the newest weights.
type rollingModel struct {
	name    string
	wanted  uint64
	servers []rollout.Server
}

func (s *state) rollingModels(now time.Time) []rollingModel {
	table := s.table.Load()
	if table == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rolling []rollingModel
	for _, name := range s.weights.Models() {
		model := rollingModel{name: name, wanted: s.weights.Newest(name)}
		for _, b := range s.list.All() {
			if _, has := b.Versions[name]; !has || b.Draining || s.list.Ended(now, b.ID) || now.Sub(s.orderedAt[b.Instance]) < s.settings.LeaseTime {
				continue
			}
			model.servers = append(model.servers, rollout.Server{
				ID: b.ID, Address: b.Address, Version: s.versions[versionKey{b.ID, name}], Running: s.router.Running(b.ID),
			})
		}
		rolling = append(rolling, model)
	}
	return rolling
}

func (s *state) versionOf(server, model string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[versionKey{server, model}]
}

// needsHolder tells whether old weights serve and nobody changes that.
func (s *state) needsHolder(now time.Time) bool {
	s.mu.Lock()
	quiet := now.Sub(s.holderSeenAt) > holderTimeout
	s.mu.Unlock()
	return quiet && s.oldestAge(now) > contendAfter
}

// oldestAge is how long ago the oldest weights that still serve were replaced.
func (s *state) oldestAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := time.Duration(0)
	for key, version := range s.versions {
		oldest = max(oldest, s.weights.Age(now, key.model, version))
	}
	return oldest
}
