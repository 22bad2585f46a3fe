package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/mirror"
)

const (
	// longPollWait is how long a call for changes of the operator's table waits.
	longPollWait = 20 * time.Second
	// backendPauseShare of the bound on leaving servers is between two reads of
	// the list of backend servers. It changes with every heartbeat, so a call
	// that waits for changes would return at once.
	backendPauseShare = 0.35
	// callTimeout bounds a call beyond what it waits on purpose.
	callTimeout = 1200 * time.Millisecond
	// relayPause between two reads from another entry, and relayMargin for processes
	// that wait for their processor: with the pause between two reads of the list
	// they bound how long ago the store may have been heard from.
	relayPause  = 350 * time.Millisecond
	relayMargin = 300 * time.Millisecond
	// entriesPause between two reads of the entries' rows. When all entries start,
	// each row that is written ends every call that waits for changes: 103 entries
	// made more than a thousand calls in their first second.
	entriesPause = 500 * time.Millisecond
	// ownRowTimeout is how long after its start an entry waits to see its own row, and
	// so whom to read from, before it asks the store for changes by itself.
	ownRowTimeout = 2 * time.Second
	// retryPause after a failed call. Only the list of servers is asked for that
	// often, the other tables each sideFailedPause: they come with it.
	retryPause            = 250 * time.Millisecond
	otherTablesRetryPause = time.Second
	// staleRelayPausePerPeer and agedPauseAtMost bound how often an entry asks the store
	// itself whose relays are there but have not heard from the store: an outage
	// shows to them first. With each of 103 entries asking by itself all the while,
	// eight seconds without the store took 7,000 calls.
	staleRelayPausePerPeer = 100 * time.Millisecond
	maxStaleRelayPause     = 3 * time.Second
	// minOutage without a good read of the list that counts as an outage.
	minOutage = 1500 * time.Millisecond
	// sourceStore names the store in logs.
	sourceStore = "store"
)

// feed follows one table of the store, and other entries while the store
// turns this one away.
type feed struct {
	table string
	wait  time.Duration
	pause time.Duration
	// relayPause between two reads from another entry.
	relayPause time.Duration
	apply      func(now time.Time, rows []mirror.Row, source string)

	mu   sync.Mutex
	copy mirror.Copy

	// lastAnswer is when the store last answered, in Unix nanoseconds.
	lastAnswer atomic.Int64
	failing    atomic.Bool
	// interrupt ends a call that waits; interrupted: it did, and the next call
	// does not wait.
	interrupt   atomic.Pointer[context.CancelFunc]
	interrupted atomic.Bool
}

// pollTimeout is how long the next call may wait for a change. After a failure it
// asks without waiting: with an answer only at the next change, or at the end
// of the wait, the store counted as lost for 20 s after it was back.
func (f *feed) pollTimeout() time.Duration {
	if f.interrupted.Swap(false) || f.failing.Load() {
		return 0
	}
	return f.wait
}

// interruptPoll ends a call that waits.
func (f *feed) interruptPoll() {
	if interrupt := f.interrupt.Load(); f.wait > 0 && interrupt != nil {
		f.interrupted.Store(true)
		(*interrupt)()
	}
}

func (f *feed) version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Version()
}

func (f *feed) since(after uint64) mirror.Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Since(after)
}

// age is how long ago the store was last heard from.
func (f *feed) age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, f.lastAnswer.Load()))
}

// tableAge is how old a table may be. A call that waits for changes hears from the
// store with every change only, and hangs for as long when this entry is cut off:
// what shows that is the list of servers, which is read all the while. Without it
// an entry that was cut off gave an old configuration as fresh, to all that read
// from it.
func (g *Gateway) tableAge(now time.Time, f *feed) time.Duration {
	age := f.age(now)
	for _, gauge := range g.feeds {
		if gauge.table == g.ports.Decoder.BackendTable && f.wait > 0 {
			age = min(age, gauge.age(now))
		}
	}
	return age
}

// maxRelayAge is how long ago the store may have been heard from by what a relay
// gives that has so many entries between itself and the store. The less, the sooner
// another one is asked: a configuration must be in force within its bound.
func (g *Gateway) maxRelayAge(between int) time.Duration {
	return g.backendPause() + time.Duration(between)*relayPause + relayMargin
}

// backendPause is between two reads of the list by one that asks the store.
func (g *Gateway) backendPause() time.Duration {
	return time.Duration(float64(g.settings.DrainBound) * backendPauseShare)
}

// applyBatch applies a batch, in order with any other.
func (f *feed) applyBatch(batch mirror.Batch, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.copy.Apply(batch)
	f.apply(time.Now(), changed, source)
}

// startBackgroundTasks starts all that runs beside the requests.
func (g *Gateway) startBackgroundTasks(ctx context.Context) {
	operators := &feed{table: g.ports.Decoder.OperatorTable, wait: longPollWait, relayPause: relayPause, apply: g.applyOperator}
	backends := &feed{copy: mirror.NewCopy(g.ports.Decoder.SameBackend), table: g.ports.Decoder.BackendTable, pause: g.backendPause(), relayPause: relayPause, apply: g.applyBackends}
	entries := &feed{table: g.ports.Decoder.EntryTable, wait: longPollWait, pause: entriesPause, relayPause: relayPause, apply: g.applyEntries}
	suspected := &feed{table: g.ports.Decoder.SuspectTable, wait: longPollWait, pause: entriesPause, relayPause: suspectRelayPause, apply: g.applySuspects}
	g.feeds = []*feed{operators, backends, entries, suspected}
	placed := time.Now().Add(ownRowTimeout)
	g.spawn(func() { g.runFeed(ctx, operators, placed) })
	g.spawn(func() { g.runFeed(ctx, backends, placed) })
	g.spawn(func() { g.runFeed(ctx, entries, time.Time{}) })
	g.spawn(func() { g.runFeed(ctx, suspected, placed) })
	g.spawn(func() { g.spreadSuspects(ctx) })
	g.spawn(func() { g.readFromPeersDuringOutage(ctx, backends) })
	g.spawn(func() { g.register(ctx) })
	g.spawn(func() { g.fetchWeightHistory(ctx) })
	g.spawn(func() { g.every(ctx, serveTick, g.serveRoom) })
	g.spawn(func() { g.watchKVStores(ctx) })
	g.startRollouts(ctx)
	g.spawn(func() { g.every(ctx, stateTick, g.tick) })
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
	g.pool.Sweep(now)
	_, holder := g.keeper.Held()
	g.state.suspects.tick(now, holder)
}

// runFeed keeps a feed's copy. Between its first read and placed it waits until the
// entry knows its place among the others.
func (g *Gateway) runFeed(ctx context.Context, f *feed, placed time.Time) {
	var askedAt time.Time
	for ctx.Err() == nil {
		for f.version() > 0 && !g.peers.ownRowSeen() && time.Now().Before(placed) && ctx.Err() == nil {
			sleep(ctx, drainStep)
		}
		from := g.readThroughRelay(ctx, f)
		if from == relayFresh {
			sleep(ctx, f.relayPause)
			continue
		}
		if from == relayStale && time.Since(askedAt) < g.staleRelayPause() {
			g.feedFailed(f, errStaleRelays)
			sleep(ctx, retryPause)
			continue
		}
		askedAt = time.Now()
		err := g.readFromStore(ctx, f)
		if f.interrupted.Load() {
			continue
		}
		if err != nil && ctx.Err() == nil {
			g.feedFailed(f, err)
			sleep(ctx, g.pauseAfterFailure(f))
			continue
		}
		sleep(ctx, f.pause)
	}
}

// staleRelayPause is how long this entry leaves the store alone whose relays are there.
func (g *Gateway) staleRelayPause() time.Duration {
	return min(time.Duration(g.peers.count())*staleRelayPausePerPeer, maxStaleRelayPause)
}

func (g *Gateway) pauseAfterFailure(f *feed) time.Duration {
	if f.table == g.ports.Decoder.BackendTable {
		return retryPause
	}
	return otherTablesRetryPause
}

// relayOutcome is what came of reading through relays.
type relayOutcome int

const (
	// relayUnavailable: this entry asks the store itself, or no relay answers.
	relayUnavailable relayOutcome = iota
	// relayFresh: a relay gave what it has, and that is fresh.
	relayFresh
	// relayStale: a relay answered that has not heard from the store of late.
	relayStale
)

// errStaleRelays tells that the relays have not heard from the store.
var errStaleRelays = errors.New("the relays have not heard from the store")

// readThroughRelay reads a table from an entry that is nearer to the store. With
// every entry asking by itself the store's calls grow with the fleet.
func (g *Gateway) readThroughRelay(ctx context.Context, f *feed) relayOutcome {
	outcome := relayUnavailable
	relays, between := g.peers.relays(time.Now())
	for _, relay := range relays {
		batch, err := g.peers.table(ctx, relay, f.table, f.version())
		if err != nil && ctx.Err() == nil {
			g.peers.markUnresponsive(time.Now(), relay)
		}
		if err != nil || batch.AgeMS > g.maxRelayAge(between).Milliseconds() || batch.Version == 0 {
			g.metrics.Count("relay_failed", f.table, 1)
			if err == nil && batch.Version > 0 {
				outcome = relayStale
			}
			continue
		}
		g.feedSucceeded(f, time.Duration(batch.AgeMS)*time.Millisecond)
		f.applyBatch(batch.Batch, relay)
		return relayFresh
	}
	return outcome
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

// readFromStore asks the store for changes, or for the whole table where its
// history does not reach back.
func (g *Gateway) readFromStore(ctx context.Context, f *feed) error {
	wait := f.pollTimeout()
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	f.interrupt.Store(&cancel)
	after := f.version()
	var batch mirror.Batch
	err := g.ports.HistoryGone
	if after > 0 {
		batch, err = g.ports.Tables.Changes(ctx, f.table, after, wait)
	}
	if errors.Is(err, g.ports.HistoryGone) {
		batch, err = g.ports.Tables.Whole(ctx, f.table)
	}
	if err != nil {
		return err
	}
	g.feedSucceeded(f, 0)
	f.applyBatch(batch, sourceStore)
	return nil
}

func (g *Gateway) feedFailed(f *feed, err error) {
	g.metrics.Count("store_errors", f.table, 1)
	if !f.failing.Swap(true) {
		klog.InfoS("Store lost", "table", f.table, "version", f.version(), "err", err)
	}
}

// feedSucceeded notes that the store answered, so long ago. After an outage entries of the list
// may have expired though their servers are alive, and a call that waits on
// another connection may wait for an answer that was lost.
func (g *Gateway) feedSucceeded(f *feed, age time.Duration) {
	now := time.Now().Add(-age)
	last := f.lastAnswer.Swap(now.UnixNano())
	if !f.failing.Swap(false) {
		return
	}
	gap := time.Duration(now.UnixNano() - last)
	klog.InfoS("Store regained", "table", f.table, "version", f.version(), "gapMS", gap.Milliseconds())
	if f.table != g.ports.Decoder.BackendTable {
		return
	}
	if last > 0 && gap > minOutage {
		g.state.mu.Lock()
		g.state.list.Restored(now)
		g.state.mu.Unlock()
	}
	for _, other := range g.feeds {
		if other != f {
			other.interruptPoll()
		}
	}
}

// readFromPeersDuringOutage asks other entries while the store turns this one away: it serves
// them perhaps, and the operator's changes count for all.
func (g *Gateway) readFromPeersDuringOutage(ctx context.Context, gauge *feed) {
	g.every(ctx, retryPause, func(time.Time) {
		if !gauge.failing.Load() {
			return
		}
		for _, f := range g.feeds {
			batch, peer, err := g.peers.pull(ctx, f.table, f.version())
			if err != nil {
				klog.V(1).InfoS("No other entry gave the table", "table", f.table, "err", err)
				continue
			}
			if batch.Version > 0 {
				f.applyBatch(batch, peer)
			}
		}
	})
}

func (g *Gateway) applyOperator(now time.Time, rows []mirror.Row, source string) {
	for _, row := range rows {
		if row.Removed {
			continue
		}
		if g.ports.Decoder.IsConfig(row.Key) {
			table, err := g.ports.Decoder.Config(row.Value)
			if err != nil {
				klog.ErrorS(err, "Configuration not understood; the last good one stays", "row", row.Key, "rowVersion", row.Version)
				continue
			}
			g.state.adoptTable(table, source)
			continue
		}
		named, ok, err := g.ports.Decoder.Named(row.Key, row.Value)
		if err != nil {
			klog.ErrorS(err, "Named weights not understood", "row", row.Key, "rowVersion", row.Version)
			continue
		}
		if ok {
			g.state.nameVersion(now, named, source)
		}
	}
}

func (g *Gateway) applyBackends(now time.Time, rows []mirror.Row, source string) {
	changes := make([]backendChange, 0, len(rows))
	for _, row := range rows {
		if row.Removed {
			changes = append(changes, backendChange{removed: row.Key})
			continue
		}
		b, err := g.ports.Decoder.Backend(row.Key, row.Value)
		if err != nil {
			klog.ErrorS(err, "Backend server not understood; its last good entry stays", "row", row.Key, "rowVersion", row.Version, "source", source)
			continue
		}
		changes = append(changes, backendChange{backend: b})
	}
	g.state.changeBackends(now, changes)
}
