package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/roster"
)

const (
	// entryPrefix is the key prefix of the rows in which entries write their addresses.
	entryPrefix = "entries/"
	// registerRetryPause is the least pause after a row was not accepted, the longest is
	// twice that.
	registerRetryPause = time.Second
	// rewritesPerSecond is how many entries write their rows again in a second when the
	// store has lost them, so that other writes are not refused.
	rewritesPerSecond = 200
	// rosterTimeout is how long a process that starts waits for the rows of the entries
	// before it reads other tables, or registers, without knowing them.
	rosterTimeout = 250 * time.Millisecond
	// crowdedTimeout is the same while all entries start: the store accepts their rows one
	// after the other, and so many calls a second.
	crowdedTimeout = 10 * time.Second
)

// entryRow returns the row of the entry with these settings.
func entryRow(settings Settings) roster.Row {
	return roster.Row{Address: settings.ControlAddress, DataCentre: settings.DataCentre, Cores: settings.Cores}
}

// keepRegistered writes this entry's row unless the store has it already, and again when
// the row is removed while the entry runs. When the whole system starts no row exists yet,
// so it is written before the rows of others are read, which then include more entries.
func (g *Gateway) keepRegistered(ctx context.Context) {
	if !g.settings.Bootstrap {
		awaitUntil(ctx, time.Now().Add(rosterTimeout), g.entriesRead)
	}
	for ctx.Err() == nil && !g.stopping.Load() {
		if g.peers.registered() {
			klog.InfoS("Entry registered", "node", g.settings.Node, "address", g.settings.ControlAddress, "entries", g.peers.count())
			select {
			case <-ctx.Done():
			case <-g.unregistered:
				sleep(ctx, rewriteDelay(g.settings.Node, g.peers.count(), rewritesPerSecond))
			}
			continue
		}
		if err := g.register(ctx); err != nil {
			g.storeAway.Store(!errors.Is(err, call.ErrBusy))
			klog.InfoS("Entry not registered yet, will retry", "err", err)
			sleep(ctx, spread(registerRetryPause, g.settings.Node))
		}
	}
}

// rewriteDelay returns how long after its rows were lost an entry writes them again. The store
// may have lost rows of all entries, of which perSecond write in a second.
func rewriteDelay(node string, entries, perSecond int) time.Duration {
	return time.Duration(hashFraction(node) * float64(entries) / float64(perSecond) * float64(time.Second))
}

// register writes this entry's row.
func (g *Gateway) register(ctx context.Context) error {
	value, err := json.Marshal(entryRow(g.settings))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	txn := platform.Txn{Puts: []platform.Put{{Key: entryPrefix + g.settings.Node, Value: value}}}
	result, err := g.ports.Table.Commit(ctx, txn)
	if err != nil {
		return err
	}
	g.peers.confirmRegistered(result.Commit)
	g.applyRoster()
	return nil
}

// unregister removes this entry's row.
func (g *Gateway) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	txn := platform.Txn{Deletes: []string{entryPrefix + g.settings.Node}}
	if _, err := g.ports.Table.Commit(ctx, txn); err != nil {
		klog.InfoS("Entry's row not removed; the entry is counted until the row is removed", "err", err)
	}
}

// entriesRead reports whether the rows of the entries were read.
func (g *Gateway) entriesRead() bool { return g.entries.version() > 0 }

// applyEntries applies changed rows of the entries. The lock of their feed is held.
func (g *Gateway) applyEntries(now time.Time, rows []mirror.Row, source string) {
	restored := g.entriesEra.enter(platform.EraOf(g.entries.copy.Version()))
	g.peers.rowsRead(g.entries.copy.Version(), g.entries.copy.RowVersion(g.settings.Node) > 0)
	if len(rows) == 0 && g.peers.registered() {
		return // Most reads from a relay bring no change.
	}
	for _, row := range rows {
		if row.Removed && restored {
			g.peers.lose(now, row.Key)
			continue
		}
		if row.Removed {
			g.peers.remove(now, row.Key)
			continue
		}
		value, err := roster.ParseRow(row.Value)
		if err != nil {
			klog.ErrorS(err, "Entry's row not understood; keeping the last valid one", "row", row.Key, "rowVersion", row.Version, "source", source)
			if row.Key == g.settings.Node && !g.wrote(row.Value) {
				g.peers.lose(now, row.Key) // keepRegistered writes it again.
			}
			continue
		}
		g.peers.put(row.Key, value)
	}
	if !g.peers.registered() {
		select {
		case g.unregistered <- struct{}{}:
		default:
		}
	}
	g.applyRoster()
}

// wrote reports whether a value is that of the row that this entry writes.
func (g *Gateway) wrote(value []byte) bool {
	own, err := json.Marshal(entryRow(g.settings))
	return err == nil && bytes.Equal(value, own)
}

// applyRoster passes the entries on to all that depend on them.
func (g *Gateway) applyRoster() {
	entries, serving := g.peers.shardEntries(), g.peers.servingEntries()
	g.state.setEntryCount(max(len(serving), 1))
	g.state.setDeciders(g.peers.nearby(g.settings.DataCentre))
	g.state.setOwners(entries)
	g.usage.setEntries(entries, serving)
	g.limits.setEntries(entries, serving)
	g.origins.setEntries(entries)
	g.hints.setTargets(g.peers.addresses())
	g.shareRetrySlack()
	g.leaveStoreToRelays(time.Now())
}

// leaveStoreToRelays ends blocking reads of the store that began before this entry knew its
// relays. Such a read may hang while the entry is cut off from the store. The entry's list of
// servers, read through a relay, is recent meanwhile, so others would take its old copy of
// the table for a recent one.
func (g *Gateway) leaveStoreToRelays(now time.Time) {
	if relays, _ := g.peers.relays(now); len(relays) == 0 {
		return
	}
	for _, f := range g.feeds {
		if f.blocking.Load() {
			f.interruptPoll()
		}
	}
}
