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
	// rolloutLease is the name of the lease that entitles an entry to send load orders.
	rolloutLease = "rollout"
	// rolloutInterval is the time between two checks for work.
	rolloutInterval = 50 * time.Millisecond
	// announceDuration is how long an announced server gets no requests if no further
	// update follows: a holder that crashes must not keep it idle.
	announceDuration = 1500 * time.Millisecond
	// orderDuration is the same for a server that was sent a load order.
	orderDuration = 2500 * time.Millisecond
	// undrainedDuration is the same for an order that repeats one without a response, and
	// excludes nothing: the server serves until it accepts the order.
	undrainedDuration = time.Millisecond
	// ordinaryContenders is the number of entries that always contend for the lease.
	ordinaryContenders = 2
	// contendAfter is the age of replaced weights from which any entry contends for the
	// lease.
	contendAfter = 4 * time.Second
	// holderTimeout is the time without an update after which the holder counts as
	// inactive. While there is work, it sends several updates a second.
	holderTimeout = 2 * time.Second
	// engineCallTimeout bounds a report or an order.
	engineCallTimeout = 800 * time.Millisecond
	// leaseMarginShare is how long before the end of its lease the holder stops acting,
	// leaseRenewShare how often the lease is renewed and watched, as shares of
	// Settings.LeaseTime.
	leaseMarginShare = 0.25
	leaseRenewShare  = 0.3
)

// rollouts sends load orders while this entry holds the lease.
type rollouts struct {
	gateway *Gateway
	mu      sync.Mutex
	plans   map[string]*rollout.Plan
	fence   uint64
	// heartbeatAt is when the last heartbeat was sent to the other entries.
	heartbeatAt time.Time
	// startedAt is when this process began to receive the orders of other holders, heldAt
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

// contends reports whether this entry contends for the lease. The first few entries always
// do. The others do only if weights that were replaced some time ago are still in use and
// no holder is active: a rollout in a large fleet may take longer than contendAfter, and
// should not make all entries read the lease. By the age alone they did: 732 of 1,090 calls
// to the store on a quiet day.
func (g *Gateway) contends() bool {
	return g.contendsAlways() || g.state.needsHolder(time.Now())
}

// contendsAlways reports whether this entry is one of the first few. In large fleets only
// these write the records of the store.
func (g *Gateway) contendsAlways() bool {
	rank := g.peers.rank()
	return rank >= 0 && rank < ordinaryContenders
}

func (r *rollouts) tick(ctx context.Context, now time.Time) {
	if !r.mayAct(now) {
		return
	}
	for _, model := range r.gateway.state.rollingModels(now) {
		r.step(ctx, now, model)
	}
}

// holds returns the fencing number, and ok while this entry may act under the lease. A
// process that stops may not: it gives the lease back, which takes as long as the store
// needs for its answers, and each server that it orders meanwhile gets no order of the next
// holder for the duration of a lease.
func (r *rollouts) holds() (fence uint64, ok bool) {
	if r.gateway.stopping.Load() {
		return 0, false
	}
	return r.gateway.keeper.Held()
}

// mayAct reports whether this entry may send orders now. Unless it is the first holder of
// all, it must have received the orders of earlier holders for the duration of a lease, so
// that no server gets orders from two holders in turn. An entry that is not sent the
// orders of others waits that long after taking the lease. Servers that another holder has
// ordered recently are skipped (state.orderedAt).
func (r *rollouts) mayAct(now time.Time) bool {
	fence, held := r.holds()
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

// receivesOrders reports whether this entry is sent the orders of other holders. In large
// fleets only the owners of shards and the first contenders are.
func (g *Gateway) receivesOrders(now time.Time) bool {
	if !g.sharded() {
		return true
	}
	if rank := g.peers.rank(); rank >= 0 && rank <= ordinaryContenders {
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
	before := plan.Pace()
	actions := plan.Tick(now, &model.Input)
	pace, fence := plan.Pace(), r.fence
	r.mu.Unlock()
	r.logPace(&model, before, pace)
	var updates []switchUpdate
	for _, action := range actions {
		klog.InfoS("Rollout action", "model", model.name, "action", action.Kind.String(), "server", action.Server, "version", action.Version, "orders", action.Orders)
		switch action.Kind {
		case rollout.Announce:
			updates = append(updates, switchUpdate{Server: action.Server, Model: model.name, Version: action.Version, ForMS: announceDuration.Milliseconds()})
		case rollout.Order:
			duration := orderDuration
			if action.Undrained {
				duration = undrainedDuration
			}
			updates = append(updates, orderUpdate(model.name, &action, duration))
			go r.order(ctx, plan, model.name, action, fence)
		case rollout.Query:
			go r.queryReport(ctx, plan, model.name, action)
		case rollout.Withdraw:
			updates = append(updates, switchUpdate{Server: action.Server, Model: model.name, Withdrawn: true})
		}
	}
	r.gateway.sendSwitchUpdates(ctx, updates)
	r.heartbeat(now, model)
}

// heartbeat shows the other entries of a large fleet that this holder is active, while any
// server has older weights. Most of them receive no updates on single servers.
func (r *rollouts) heartbeat(now time.Time, model rollingModel) {
	working := slices.ContainsFunc(model.Servers, func(s rollout.Server) bool { return s.Version < model.Target })
	if !working || !r.gateway.sharded() || now.Sub(r.heartbeatAt) < heartbeatInterval {
		return
	}
	r.heartbeatAt = now
	r.gateway.sendHeartbeat()
}

// orderUpdate says that a server is being ordered to load, and gets no requests for a time.
func orderUpdate(model string, action *rollout.Action, duration time.Duration) switchUpdate {
	return switchUpdate{Server: action.Server, Model: model, Version: action.Version, ForMS: duration.Milliseconds(), Ordered: true}
}

// order sends one load order if the lease is still held.
func (r *rollouts) order(ctx context.Context, plan *rollout.Plan, model string, action rollout.Action, fence uint64) {
	current, held := r.holds()
	if !held || current != fence {
		klog.InfoS("Order not sent: lease no longer held", "server", action.Server, "fence", fence)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	outcome, err := r.gateway.ports.Engines.Order(callCtx, call.LoadOrder{
		Instance: fleet.InstanceOf(action.Server), Address: action.Address, Model: model, Version: action.Version,
		Mode: call.LoadKeepRunning, Holder: r.gateway.settings.Node, Fence: fence, Expected: action.Orders,
	})
	klog.InfoS("Order sent", "server", action.Server, "version", action.Version, "fence", fence, "outcome", outcome.String(), "err", err)
	r.gateway.metrics.Count("orders", outcome.String(), 1)
	if r.gateway.countExceeded(err) {
		r.gateway.state.sendFailed(time.Now(), action.Server, err)
	}
	r.mu.Lock()
	switch outcome {
	case call.OrderAccepted:
		plan.OrderAccepted(action.Server)
	case call.OrderAlreadyLoaded:
		plan.AlreadyLoaded(action.Server)
	case call.OrderMisdirected, call.OrderBusy, call.OrderInvalid, call.OrderNotSent, call.OrderFenced:
		plan.OrderRefused(time.Now(), action.Server)
	case call.OrderUnknown:
	}
	r.mu.Unlock()
	r.afterOrder(ctx, plan, model, action, outcome)
}

// afterOrder informs the other entries of what the outcome of an order shows. A server that
// refused it may load by an earlier order that came late, or serve: its report tells.
func (r *rollouts) afterOrder(ctx context.Context, plan *rollout.Plan, model string, action rollout.Action, outcome call.OrderOutcome) {
	update := switchUpdate{Server: action.Server, Model: model, Withdrawn: true}
	switch outcome {
	case call.OrderUnknown, call.OrderFenced:
		// The order may be carried out, or the server has those of another holder.
		return
	case call.OrderMisdirected:
		r.gateway.state.incarnationEnded(time.Now(), action.Server, "order")
		return
	case call.OrderAccepted:
		if !action.Undrained {
			return
		}
		update = orderUpdate(model, &action, orderDuration)
	case call.OrderAlreadyLoaded:
		update = switchUpdate{Server: action.Server, Model: model, Version: action.Version}
	case call.OrderBusy:
		if report := r.queryReport(ctx, plan, model, action); report.Busy {
			update = orderUpdate(model, &action, loadPause)
		}
	case call.OrderInvalid, call.OrderNotSent:
	}
	r.gateway.sendSwitchUpdates(ctx, []switchUpdate{update})
}

// queryReport asks a server for its state and records it. It returns the zero value if there
// was no valid response.
func (r *rollouts) queryReport(ctx context.Context, plan *rollout.Plan, model string, action rollout.Action) call.Report {
	callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	askedAt := time.Now()
	report, err := r.gateway.ports.Engines.Report(callCtx, fleet.InstanceOf(action.Server), action.Address)
	if err != nil {
		klog.InfoS("Report failed", "server", action.Server, "err", err)
		r.gateway.countExceeded(err)
		r.gateway.state.reportFailed(time.Now(), action.Server, err)
		return call.Report{}
	}
	if !r.gateway.state.reportIsCurrent(time.Now(), action.Server, &report) {
		return call.Report{}
	}
	if report.Draining {
		r.gateway.state.serverDrains(time.Now(), action.Server, "report")
	}
	version := report.Versions[model]
	r.mu.Lock()
	plan.ObserveState(action.Server, rollout.ServerState{AskedAt: askedAt, Version: version, Busy: report.Busy, Orders: report.Orders, Running: report.Running, Queued: report.Queued})
	r.mu.Unlock()
	if version > r.gateway.state.versionOf(action.Server, model) && !report.Busy {
		r.gateway.sendSwitchUpdates(ctx, []switchUpdate{{Server: action.Server, Model: model, Version: version}})
	}
	return report
}

func (s *state) versionOf(server, model string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[versionKey{server, model}]
}

// needsHolder reports whether replaced weights are still in use and no holder is active.
func (s *state) needsHolder(now time.Time) bool {
	s.mu.Lock()
	inactive := now.Sub(s.holderSeenAt) > holderTimeout
	s.mu.Unlock()
	return inactive && s.oldestAge(now) > contendAfter
}

// oldestAge returns the time since the oldest weights still in use were replaced.
func (s *state) oldestAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := time.Duration(0)
	for key, version := range s.versions {
		oldest = max(oldest, s.targets.Age(now, key.model, version))
	}
	return oldest
}
