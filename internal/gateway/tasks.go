package gateway

import (
	"context"
	"time"

	"github.com/jayproxy/jayproxy/internal/feedsource"
	"github.com/jayproxy/jayproxy/internal/mirror"
)

// startBackgroundTasks starts the feeds and all other tasks that run beside the requests.
func (g *Gateway) startBackgroundTasks(ctx context.Context) {
	start := time.Now()
	newFeed := func(f *feed) *feed {
		f.source = feedsource.New(feedsource.Settings{
			Bootstrap: g.settings.Bootstrap, ReadsPerSecond: g.settings.StoreReadsPerSecond, Spread: hashFraction(g.settings.Node),
		})
		g.feeds = append(g.feeds, f)
		return f
	}
	operatorPolicy := mirror.Policy{Older: g.ports.Decoder.OlderOperatorRow, Lasting: true}
	backendPolicy := mirror.Policy{Same: g.ports.Decoder.SameBackend, Older: g.ports.Decoder.OlderBackend}
	operators := newFeed(&feed{copy: mirror.NewCopy(operatorPolicy), asksPeers: true, table: g.ports.Decoder.OperatorTable, wait: longPollWait, relayPause: g.relayPause(), apply: g.applyOperator})
	g.backends = newFeed(&feed{copy: mirror.NewCopy(backendPolicy), asksPeers: true, table: g.ports.Decoder.BackendTable, pause: g.backendPause(), relayPause: g.relayPause(), apply: g.applyBackends})
	g.entries = newFeed(&feed{table: g.ports.Decoder.EntryTable, wait: longPollWait, pause: entriesPause, relayPause: g.relayPause(), apply: g.applyEntries})
	g.suspected = newFeed(&feed{table: g.ports.Decoder.SuspectTable, wait: longPollWait, pause: entriesPause, relayPause: suspectRelayInterval, apply: g.applySuspects})
	for _, f := range []*feed{operators, g.backends, g.suspected} {
		g.spawn(func() {
			g.awaitRoster(ctx, start)
			g.runFeed(ctx, f)
		})
	}
	g.spawn(func() {
		if g.settings.Bootstrap {
			awaitUntil(ctx, start.Add(crowdedTimeout), func() bool { return g.peers.registered() || g.storeAway.Load() })
		}
		g.runFeed(ctx, g.entries)
	})
	g.spawn(func() { g.publishSuspects(ctx) })
	g.spawn(func() { g.persistSuspects(ctx) })
	g.spawn(func() { g.readFromPeersDuringOutage(ctx, g.backends) })
	g.spawn(func() { g.keepRegistered(ctx) })
	g.spawn(func() { g.fetchWeightHistory(ctx) })
	g.spawn(func() { g.keepWeightAges(ctx) })
	g.spawn(func() { g.keepSoftwareHistory(ctx) })
	g.spawn(func() { g.every(ctx, waitQueueInterval, g.serveWaitQueue) })
	g.spawn(func() { g.watchKVStores(ctx) })
	g.spawn(func() { g.usage.run(ctx) })
	g.spawn(func() { g.limits.run(ctx) })
	g.startRollouts(ctx)
	g.spawn(func() { g.logControlLoad(ctx) })
	g.spawn(func() { g.removeLostEntries(ctx) })
	g.spawn(func() { g.every(ctx, stateTickInterval, g.tick) })
}

func (g *Gateway) every(ctx context.Context, period time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do(time.Now())
		}
	}
}

func (g *Gateway) tick(now time.Time) {
	g.state.tick(now)
	g.pool.CloseExpired(now)
	g.stop.expire(now)
	if g.peers.expire(now) {
		g.applyRoster()
	}
	g.shareRetrySlack()
	_, holder := g.keeper.Held()
	g.state.suspects.tick(now, holder)
}

// awaitRoster waits until this entry knows the others, which determine from where it
// reads. It waits longer if the store is up and only has too many calls.
func (g *Gateway) awaitRoster(ctx context.Context, start time.Time) {
	awaitUntil(ctx, start.Add(crowdedTimeout), func() bool {
		crowded := g.entries.refused.Load() || g.settings.Bootstrap && !g.storeAway.Load()
		return g.entriesRead() || !crowded && time.Since(start) >= rosterTimeout
	})
}

// awaitUntil waits until the condition holds, the deadline passes or ctx ends.
func awaitUntil(ctx context.Context, deadline time.Time, condition func() bool) {
	for !condition() && time.Now().Before(deadline) && ctx.Err() == nil {
		sleep(ctx, conditionPollInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
