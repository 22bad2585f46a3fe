package gateway

import (
	"context"
	"time"

	"github.com/jayproxy/jayproxy/internal/mirror"
)

// startBackgroundTasks starts the feeds and all other tasks that run beside the requests.
func (g *Gateway) startBackgroundTasks(ctx context.Context) {
	operators := &feed{table: g.ports.Decoder.OperatorTable, wait: longPollWait, relayPause: relayPause, apply: g.applyOperator}
	backends := &feed{copy: mirror.NewCopy(g.ports.Decoder.SameBackend), table: g.ports.Decoder.BackendTable, pause: g.backendPause(), relayPause: relayPause, apply: g.applyBackends}
	entries := &feed{table: g.ports.Decoder.EntryTable, wait: longPollWait, pause: entriesPause, relayPause: relayPause, apply: g.applyEntries}
	suspected := &feed{table: g.ports.Decoder.SuspectTable, wait: longPollWait, pause: entriesPause, relayPause: suspectRelayInterval, apply: g.applySuspects}
	g.feeds = []*feed{operators, backends, entries, suspected}
	ownRowDeadline := time.Now().Add(ownRowTimeout)
	g.spawn(func() { g.runFeed(ctx, operators, ownRowDeadline) })
	g.spawn(func() { g.runFeed(ctx, backends, ownRowDeadline) })
	g.spawn(func() { g.runFeed(ctx, entries, time.Time{}) })
	g.spawn(func() { g.runFeed(ctx, suspected, ownRowDeadline) })
	g.spawn(func() { g.publishSuspects(ctx) })
	g.spawn(func() { g.readFromPeersDuringOutage(ctx, backends) })
	g.spawn(func() { g.register(ctx) })
	g.spawn(func() { g.fetchWeightHistory(ctx) })
	g.spawn(func() { g.every(ctx, waitQueueInterval, g.serveWaitQueue) })
	g.spawn(func() { g.watchKVStores(ctx) })
	g.spawn(func() { g.usage.run(ctx) })
	g.startRollouts(ctx)
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
	_, holder := g.keeper.Held()
	g.state.suspects.tick(now, holder)
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
