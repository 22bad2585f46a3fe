package gateway

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/feedsource"
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
)

const (
	// longPollWait is how long a read blocks at the store until the table changes.
	longPollWait = 20 * time.Second
	// backendPauseShare is the pause between two reads of the list of backend servers, as
	// a share of Settings.DrainBound. The list changes with every heartbeat, so a blocking
	// read would return at once.
	backendPauseShare = 0.35
	// callTimeout bounds a call to the store, in addition to the time that the call blocks
	// for changes.
	callTimeout = 1200 * time.Millisecond
	// minRelayPause is the least pause between two reads from a relay. Reads from relays
	// are most of the messages between entries. relayMargin is an allowance for processes
	// that wait for CPU time. With the pause between two reads of the list they determine
	// the maximum age of data from a relay.
	minRelayPause = 350 * time.Millisecond
	relayMargin   = 300 * time.Millisecond
	// relayPauses of what a bound on the age of data leaves are reserved: one for each of
	// two relays, and one that is missed.
	relayPauses = 3
	// entriesPause is the pause between two reads of the entries' rows. When all entries
	// start at once, every row written ends all blocking reads: 103 entries made more than
	// a thousand calls to the store in their first second.
	entriesPause = 500 * time.Millisecond
	// retryPause follows a failed read. Only the list of servers is retried that often.
	// The other tables use otherTablesRetryPause, as they recover together with the list.
	retryPause            = 250 * time.Millisecond
	otherTablesRetryPause = time.Second
	// startPause is the pause between two attempts to read a table for the first time.
	startPause = 50 * time.Millisecond
	// minOutage is the time without a read of the list, from anywhere, that counts as an
	// outage of the store.
	minOutage = 1500 * time.Millisecond
	// ignoredLogInterval is the least time between two log lines on ignored snapshots of a
	// table.
	ignoredLogInterval = 10 * time.Second
	// maxUnreadableLogged bounds the log lines on rows of one read that can't be decoded.
	maxUnreadableLogged = 10
	// sourceStore names the store in logs.
	sourceStore = "store"
)

// feed keeps a copy of one table of the platform's store up to date. It reads from other
// entries while this entry cannot reach the store.
type feed struct {
	table string
	// wait is how long a read from the store blocks for changes, pause follows each read.
	wait  time.Duration
	pause time.Duration
	// relayPause is the pause between two reads from a relay.
	relayPause time.Duration
	apply      func(now time.Time, rows []mirror.Row, source string)

	// source is used by the goroutine that runs the feed only.
	source feedsource.Source

	snapshots snapshotCache

	mu   sync.Mutex
	copy mirror.Copy
	// asksPeers: in a new era of the store, other entries may know newer values of rows.
	asksPeers bool
	// ignoredLoggedAt is when an ignored snapshot was last logged. historyGone counts the
	// reads in succession for which the store did not have the history. Both are used by the
	// goroutine that runs the feed only.
	ignoredLoggedAt time.Time
	historyGone     int

	// complete is up to which moment the copy is complete.
	complete completeness
	// lastResponse is when the store last answered this entry or its relay, in nanoseconds
	// since boot: the time of day may be set.
	lastResponse atomic.Int64
	failing      atomic.Bool
	// refused: the store refused the last call because it had too many.
	refused atomic.Bool
	// interrupt cancels the current blocking read. interrupted is set when that was done;
	// the next read then does not block.
	interrupt   atomic.Pointer[context.CancelFunc]
	interrupted atomic.Bool
	// blocking: the current read blocks at the store.
	blocking atomic.Bool
}

// pollTimeout returns how long the next read blocks for changes. After a failure it does
// not block: a blocking read returns only at the next change or at its timeout, so a
// recovered store would count as lost for up to longPollWait.
func (f *feed) pollTimeout() time.Duration {
	if f.interrupted.Swap(false) || f.failing.Load() {
		return 0
	}
	return f.wait
}

// interruptPoll cancels the current blocking read.
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

// known returns the complete table with the removals that the copy remembers.
func (f *feed) known() mirror.Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Known()
}

// nextChanges asks another entry for what the copy lacks, as of now if somebody waits for that.
func (f *feed) nextChanges() tableQuery {
	query := changesAfter(f.version())
	if f.complete.pending() {
		query += "&recent=1"
	}
	return query
}

// covers reports whether the changes after a version can be listed.
func (f *feed) covers(after uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Covers(after)
}

// rowVersion returns the version of a row; 0: there is none.
func (f *feed) rowVersion(key string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.RowVersion(key)
}

// neverAnswered is the age of a table that the store has not answered for: the machine may
// have booted just now.
const neverAnswered = time.Duration(math.MaxInt64)

// answered reports whether the store has answered a read of the table.
func (f *feed) answered() bool { return f.lastResponse.Load() > 0 }

// age returns the time since the store last answered. now is the time since boot.
func (f *feed) age(now time.Time) time.Duration {
	last := f.lastResponse.Load()
	if last == 0 {
		return neverAnswered
	}
	return now.Sub(time.Unix(0, last))
}

// tableAge returns the maximum age of a table. A blocking read gets a response only when
// its table changes, and hangs while this entry is cut off from the store. The list of
// servers is read at short intervals, so its age shows whether the store is reachable.
// Without that check an entry that is cut off would relay an old configuration as current.
func (g *Gateway) tableAge(f *feed) time.Duration {
	now := lease.BootClock()
	age := f.age(now)
	for _, other := range g.feeds {
		if other.table == g.ports.Decoder.BackendTable && f.wait > 0 {
			age = min(age, other.age(now))
		}
	}
	return age
}

// maxRelayAge returns the maximum age of data accepted from relays that have the given
// number of entries between themselves and the store. It is short so that another source
// is tried soon: a configuration must be in force within its bound.
func (g *Gateway) maxRelayAge(hops int) time.Duration {
	return g.backendPause() + time.Duration(hops)*g.relayPause() + relayMargin
}

// relayPause returns the pause between two reads from a relay. Within the bounds there is
// time for the pauses, and for one call to a relay that does not answer.
func (g *Gateway) relayPause() time.Duration {
	bound := g.settings.DrainBound
	if g.settings.ConfigBound > 0 {
		bound = min(bound, g.settings.ConfigBound)
	}
	return max(minRelayPause, (bound-g.backendPause()-peerTimeout-relayMargin)/relayPauses)
}

// backendPause returns the pause between two reads of the list from the store.
func (g *Gateway) backendPause() time.Duration {
	return time.Duration(float64(g.settings.DrainBound) * backendPauseShare)
}

// runFeed keeps a feed's copy up to date.
func (g *Gateway) runFeed(ctx context.Context, f *feed) {
	for ctx.Err() == nil {
		relayed := g.readThroughRelay(ctx, f)
		hasData := f.version() > 0
		if !f.source.MayCallStore(time.Now(), relayed, hasData, g.peers.count()) {
			f.complete.sleep(ctx, g.pauseWithoutCall(f, relayed, hasData), g.proofPause())
			continue
		}
		err := g.readFromStore(ctx, f)
		f.refused.Store(errors.Is(err, call.ErrBusy))
		f.source.Called(time.Now(), f.refused.Load())
		if f.interrupted.Load() {
			continue
		}
		if err != nil && ctx.Err() == nil {
			g.feedFailed(f, err)
			sleep(ctx, g.pauseAfterFailure(f))
			continue
		}
		f.complete.sleep(ctx, g.pauseAfterRead(f), g.proofPause())
	}
}

// pauseAfterRead returns the pause after a read from the store. A store that never has the
// history is read no more often than the list of servers.
func (g *Gateway) pauseAfterRead(f *feed) time.Duration {
	if f.historyGone > 1 {
		return max(f.pause, g.backendPause(), minRelayPause)
	}
	return f.pause
}

// pauseWithoutCall returns the pause until the relays are tried again.
func (g *Gateway) pauseWithoutCall(f *feed, relayed feedsource.Outcome, hasData bool) time.Duration {
	switch {
	case relayed == feedsource.Fresh:
		return f.relayPause
	case !hasData:
		return startPause
	case relayed == feedsource.Stale:
		g.feedFailed(f, errStaleRelays)
	}
	return retryPause
}

func (g *Gateway) pauseAfterFailure(f *feed) time.Duration {
	if f.table == g.ports.Decoder.BackendTable {
		return retryPause
	}
	return otherTablesRetryPause
}

// errStaleRelays is the error of a read through relays that have no recent data.
var errStaleRelays = errors.New("no relay has recent data from the store")

// readThroughRelay reads a table from an entry that is closer to the store.
func (g *Gateway) readThroughRelay(ctx context.Context, f *feed) feedsource.Outcome {
	relays, hops := g.peers.relays(time.Now())
	if len(relays) == 0 {
		return feedsource.NoRelay
	}
	outcome, begin := feedsource.Unavailable, peerTimeout
	if f.version() == 0 && !f.source.Crowded(g.peers.count()) {
		begin = firstReadTimeout
	}
	for _, relay := range relays {
		began := lease.BootClock()
		batch, err := g.peers.table(ctx, begin, relay, f.table, f.nextChanges())
		// While an entry starts, its relays may start as well.
		starting := f.version() == 0 && errors.Is(err, syscall.ECONNREFUSED)
		if err != nil && ctx.Err() == nil && !starting {
			g.peers.markUnresponsive(time.Now(), relay)
		}
		// A relay that has not heard of the store's era passes on nothing of it.
		behind := platform.EraOf(batch.Version) < platform.EraOf(f.version())
		if err != nil || behind || batch.AgeMS > g.maxRelayAge(hops).Milliseconds() || batch.Version == 0 {
			g.metrics.Count("relay_failed", f.table, 1)
			if err == nil && batch.Version > 0 {
				outcome = feedsource.Stale
			}
			continue
		}
		g.load.tablesRead.add(batch.Size())
		g.feedSucceeded(f, batch.completeUpTo(began), batch.servedSince(lease.BootClock()), func() { g.applyBatch(f, batch.Batch, relay) })
		return feedsource.Fresh
	}
	return outcome
}

// readFromStore reads changes from the store, or the complete table if the store's history
// does not reach back far enough.
func (g *Gateway) readFromStore(ctx context.Context, f *feed) error {
	wait := f.pollTimeout()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.interrupt.Store(&cancel)
	after, began := f.version(), lease.BootClock()
	var batch mirror.Batch
	err := g.ports.HistoryGone
	if after > 0 {
		f.blocking.Store(wait > 0)
		batch, err = g.readChanges(callCtx, f.table, after, wait)
		f.blocking.Store(false)
	}
	if !errors.Is(err, g.ports.HistoryGone) {
		f.historyGone = 0
	} else {
		f.historyGone++
		g.metrics.Count("history_gone", f.table, 1)
		batch, err = g.ports.Tables.Snapshot(callCtx, f.table)
	}
	if err != nil {
		return err
	}
	asOf := began // The response may have waited here while the process stood still.
	if wait > 0 {
		asOf = lease.BootClock()
	}
	g.feedSucceeded(f, asOf, time.Time{}, func() {
		g.noteIgnored(time.Now(), f, batch, after)
		if f.asksPeers && platform.EraOf(batch.Version) > platform.EraOf(after) {
			g.enterEra(ctx, f, batch)
			return
		}
		g.applyBatch(f, batch, sourceStore)
	})
	return nil
}

// noteIgnored logs and counts a snapshot that the copy ignores because it has a newer
// version.
func (g *Gateway) noteIgnored(now time.Time, f *feed, batch mirror.Batch, held uint64) {
	if !batch.Snapshot || batch.Version >= held {
		return
	}
	g.metrics.Count("snapshots_ignored", f.table, 1)
	if now.Sub(f.ignoredLoggedAt) >= ignoredLogInterval {
		f.ignoredLoggedAt = now
		klog.InfoS("Snapshot ignored: it is older than the copy", "table", f.table, "version", batch.Version, "held", held)
	}
}

func (g *Gateway) readChanges(ctx context.Context, table string, after uint64, wait time.Duration) (mirror.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return g.ports.Tables.Changes(ctx, table, after, wait)
}

func (g *Gateway) feedFailed(f *feed, err error) {
	g.metrics.Count("store_errors", f.table, 1)
	if !f.failing.Swap(true) {
		version := f.version()
		klog.InfoS("Store lost", "table", f.table, "era", platform.EraOf(version), "version", platform.CommitOf(version), "err", err)
	}
}

// feedSucceeded applies a response that shows the table as of a moment since boot, and then records
// the moment: until it is applied the copy is as old as before. The source has been served since a
// moment, zero if that is not known.
func (g *Gateway) feedSucceeded(f *feed, asOf, servedSince time.Time, apply func()) {
	g.feedRegained(f, asOf, servedSince)
	apply()
	f.lastResponse.Store(asOf.UnixNano())
	if f == g.entries {
		g.shareRetrySlack() // Not before: it depends on the list's age.
	}
	if f.wait == 0 {
		g.readUpTo(f, asOf)
	}
}

// feedRegained records that the store answers again. Other feeds may still block on connections
// whose responses were lost, so their reads are interrupted.
func (g *Gateway) feedRegained(f *feed, asOf, servedSince time.Time) {
	if !f.failing.Swap(false) {
		return
	}
	gap := time.Duration(asOf.UnixNano() - f.lastResponse.Load())
	version := f.version()
	klog.InfoS("Store regained", "table", f.table, "era", platform.EraOf(version), "version", platform.CommitOf(version), "gapMS", gap.Milliseconds())
	if f.table != g.ports.Decoder.BackendTable {
		return
	}
	g.noteListGap(f, asOf, servedSince)
	g.interruptOtherPolls(f)
}

// noteListGap is called when the list can be read again, before a response is applied that shows it
// as of a moment. If it could not be read from anywhere, the store may have been away for all:
// registrations of servers that are alive may have expired, so the list keeps them for its grace
// period. The store was not away if the source has been served all the while.
func (g *Gateway) noteListGap(f *feed, asOf, servedSince time.Time) {
	last := f.complete.moment()
	gap := asOf.Sub(last)
	if last.IsZero() || gap <= minOutage {
		return
	}
	served := !servedSince.IsZero() && !servedSince.After(last)
	klog.InfoS("List not read for a while", "gapMS", gap.Milliseconds(), "storeServedOthers", served, "mayHaveExpired", !served)
	if !served {
		g.state.listRestored(time.Now().Add(-lease.BootClock().Sub(asOf)))
	}
}

// readFromPeersDuringOutage reads all tables from other entries while this one cannot read
// the list from the store. The store may still answer others, and the operator's changes
// apply to all entries.
func (g *Gateway) readFromPeersDuringOutage(ctx context.Context, backends *feed) {
	g.every(ctx, retryPause, func(time.Time) {
		if !backends.failing.Load() {
			return
		}
		for _, f := range g.feeds {
			g.readFromPeer(ctx, f)
		}
	})
}

// readFromPeer reads a table from one other entry.
func (g *Gateway) readFromPeer(ctx context.Context, f *feed) {
	began := lease.BootClock()
	batch, peer, err := g.peers.pull(ctx, f.table, f.nextChanges())
	if err != nil {
		klog.V(1).InfoS("Table could not be read from any other entry", "table", f.table, "err", err)
		f.complete.fail(began)
		return
	}
	if batch.Version > 0 {
		received := lease.BootClock()
		if f.table == g.ports.Decoder.BackendTable && batch.Version > f.version() {
			// The rows may be newer than the moment up to which they are complete.
			g.noteListGap(f, received, batch.servedSince(received))
		}
		g.applyBatch(f, batch.Batch, peer)
		g.readUpTo(f, batch.completeUpTo(began))
	}
	f.complete.fail(began)
}

func (g *Gateway) applyOperator(now time.Time, rows []mirror.Row, source string) {
	for _, row := range rows {
		if row.Removed {
			continue
		}
		if g.ports.Decoder.IsConfig(row.Key) {
			table, err := g.ports.Decoder.Config(row.Value)
			if err != nil {
				klog.ErrorS(err, "Configuration not understood; keeping the last valid one", "row", row.Key, "rowVersion", row.Version)
				continue
			}
			g.state.adoptTable(table, source)
			g.bodies.setLargest(g.state.table.Load().Limits.BodyBytes)
			continue
		}
		target, ok, err := g.ports.Decoder.Target(row.Key, row.Value)
		if err != nil {
			klog.ErrorS(err, "Row of named weights not understood", "row", row.Key, "rowVersion", row.Version)
			continue
		}
		if ok {
			g.state.setTarget(now, target, source)
		}
	}
	if len(rows) > 0 {
		g.state.setOperatorsRead()
	}
}

func (g *Gateway) applyBackends(now time.Time, rows []mirror.Row, source string) {
	changes := make([]backendChange, 0, len(rows))
	unreadable := 0
	for _, row := range rows {
		if row.Removed {
			changes = append(changes, backendChange{removed: row.Key, ended: row.Ended})
			continue
		}
		b, err := g.ports.Decoder.Backend(row.Key, row.Value)
		if err != nil {
			unreadable++
			if unreadable <= maxUnreadableLogged {
				klog.ErrorS(err, "Backend server registration not understood; keeping the last valid one", "row", row.Key, "rowVersion", row.Version, "source", source)
			}
			continue
		}
		changes = append(changes, backendChange{backend: b})
	}
	if unreadable > maxUnreadableLogged {
		klog.InfoS("More backend server registrations not understood", "count", unreadable-maxUnreadableLogged, "of", len(rows), "source", source)
	}
	g.metrics.Count("rows_not_understood", g.ports.Decoder.BackendTable, int64(unreadable))
	kept := g.state.changeBackends(now, changes, source)
	g.metrics.Count("registrations_kept", g.ports.Decoder.BackendTable, int64(kept))
}
