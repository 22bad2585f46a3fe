package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/quarantine"
)

const (
	// suspectPrefix is the prefix of the rows that hold crashes and trials. The key
	// holds all data: FINGERPRINT/strike/INCARNATION or FINGERPRINT/trial/NUMBER.
	suspectPrefix = "suspects/"
	crashKind     = "strike"
	trialKind     = "trial"
	// suspectRelayInterval is the pause between two reads of the rows from another
	// entry. Datagrams carry urgent updates; the rows are for entries that missed
	// them.
	suspectRelayInterval = 700 * time.Millisecond
	// maxSuspectRowsPerTxn bounds the rows of one transaction.
	maxSuspectRowsPerTxn = 90
	// suspectWriteDelay is how long rows are collected for one transaction: most parts
	// are cleared soon after a crash.
	suspectWriteDelay = 100 * time.Millisecond
	// suspectWriteRetryDelay is the pause after a failed write.
	suspectWriteRetryDelay = 250 * time.Millisecond
	// maxCrashesPerDatagram keeps a datagram below maxDatagramBytes.
	maxCrashesPerDatagram = 20
	// maxLargeFleetCrashes is how many crashes at once a large fleet receives
	// unfiltered. When a rack of servers fails, the crashes of all their runs would
	// go to hundreds of entries.
	maxLargeFleetCrashes = 4
)

// suspectRow is the parsed key of a row.
type suspectRow struct {
	crash quarantine.Crash
	// trial is the trial's number; 0: the row holds the crash.
	trial int
}

// suspectValue names the entry that wrote a row, for operators.
type suspectValue struct {
	Entry string `json:"entry"`
}

func crashKey(crash quarantine.Crash) string {
	return suspectPrefix + crash.Subject.String() + "/" + crashKind + "/" + crash.Server
}

func trialKey(f quarantine.Fingerprint, trial int) string {
	return suspectPrefix + f.String() + "/" + trialKind + "/" + strconv.Itoa(trial)
}

// parseSuspectRow parses the key of a row, without suspectPrefix.
func parseSuspectRow(key string) (suspectRow, error) {
	var row suspectRow
	fields := strings.SplitN(key, "/", 3)
	if len(fields) != 3 {
		return row, eris.Errorf("suspect row %q: key must have three parts separated by slashes", key)
	}
	var err error
	if row.crash.Subject, err = quarantine.ParseFingerprint(fields[0]); err != nil {
		return row, err
	}
	switch fields[1] {
	case crashKind:
		row.crash.Server = fields[2]
		return row, nil
	case trialKind:
		row.trial, err = strconv.Atoi(fields[2])
		if err != nil || row.trial < 1 {
			return row, eris.Errorf("suspect row %q: trial must be a positive number", key)
		}
		return row, nil
	}
	return row, eris.Errorf("suspect row %q: unknown kind", key)
}

// applySuspects applies changed rows of suspects. The lock of their feed is held.
func (g *Gateway) applySuspects(now time.Time, rows []mirror.Row, source string) {
	restored := g.enterSuspectsEra(now)
	for _, row := range rows {
		parsed, err := parseSuspectRow(row.Key)
		if err != nil {
			klog.ErrorS(err, "Malformed row of a suspect request skipped", "row", row.Key, "rowVersion", row.Version, "source", source)
			continue
		}
		if !g.state.suspects.rowApplies(now, parsed, suspectPrefix+row.Key, !row.Removed, restored) {
			continue
		}
		if row.Removed {
			g.state.suspects.rowRemoved(parsed)
			continue
		}
		g.state.suspects.rowPut(now, parsed, source)
	}
}

// publishSuspects sends what this entry recorded to other entries, until ctx ends.
func (g *Gateway) publishSuspects(ctx context.Context) {
	s := g.state.suspects
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.publish:
		}
		g.sendSuspects()
		signal(s.write)
	}
}

// persistSuspects writes what this entry recorded to the store, until ctx ends.
func (g *Gateway) persistSuspects(ctx context.Context) {
	s := g.state.suspects
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.write:
		}
		sleep(ctx, suspectWriteDelay)
		if !g.writeSuspects(ctx) {
			sleep(ctx, suspectWriteRetryDelay)
			signal(s.write)
		}
	}
}

// sendSuspects sends the unsent records to the other entries. An entry that
// misses a datagram may send the request to another server until it reads the
// rows.
func (g *Gateway) sendSuspects() {
	limit := maxUnwrittenRows
	if g.sharded() {
		limit = maxLargeFleetCrashes
	}
	crashes, cleared := g.state.suspects.takeUnsent(limit)
	targets := g.datagrams.addressesOf(g.peers.addresses())
	if len(targets) == 0 {
		return
	}
	for _, datagram := range crashDatagrams(crashes, cleared) {
		g.datagrams.trySendAll(targets, datagram)
	}
}

func crashDatagrams(crashes []quarantine.Crash, cleared []quarantine.Fingerprint) []*jayv1.Datagram {
	var datagrams []*jayv1.Datagram
	for len(crashes)+len(cleared) > 0 {
		update := &jayv1.StrikeNews{}
		n := min(len(crashes), maxCrashesPerDatagram)
		for _, crash := range crashes[:n] {
			update.Strikes = append(update.Strikes, &jayv1.RequestStrike{Request: crash.Subject[:], Server: crash.Server})
		}
		m := min(len(cleared), maxCrashesPerDatagram-n)
		for _, f := range cleared[:m] {
			update.Cleared = append(update.Cleared, f[:])
		}
		crashes, cleared = crashes[n:], cleared[m:]
		datagrams = append(datagrams, &jayv1.Datagram{Body: &jayv1.Datagram_Strikes{Strikes: update}})
	}
	return datagrams
}

// receiveCrashes applies another entry's update.
func (g *Gateway) receiveCrashes(update *jayv1.StrikeNews, source string) {
	var crashes []quarantine.Crash
	var cleared []quarantine.Fingerprint
	for _, crash := range update.GetStrikes() {
		if len(crash.GetRequest()) != len(quarantine.Fingerprint{}) {
			g.metrics.Count("datagrams", "malformed", 1)
			return
		}
		crashes = append(crashes, quarantine.Crash{Subject: quarantine.Fingerprint(crash.GetRequest()), Server: crash.GetServer()})
	}
	for _, f := range update.GetCleared() {
		if len(f) != len(quarantine.Fingerprint{}) {
			g.metrics.Count("datagrams", "malformed", 1)
			return
		}
		cleared = append(cleared, quarantine.Fingerprint(f))
	}
	g.state.suspects.receive(time.Now(), crashes, cleared, source)
}

// writeSuspects writes the queued rows. It returns false if some remain.
func (g *Gateway) writeSuspects(ctx context.Context) bool {
	s := g.state.suspects
	for ctx.Err() == nil {
		rows := s.takeUnwritten(maxSuspectRowsPerTxn)
		if len(rows) == 0 {
			return true
		}
		if err := g.commitSuspects(ctx, g.suspectTxn(rows)); err != nil {
			g.metrics.Count("suspect_rows", "failed", int64(len(rows)))
			klog.InfoS("Rows of suspect requests not written, will retry", "rows", len(rows), "err", err)
			s.requeueRows(rows)
			return false
		}
		s.rowsWritten(time.Now(), rows)
		g.metrics.Count("suspect_rows", "written", int64(len(rows)))
	}
	return false
}

func (g *Gateway) suspectTxn(rows map[string]bool) platform.Txn {
	var txn platform.Txn
	for key, put := range rows {
		if put {
			txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: g.suspectValue()})
			continue
		}
		txn.Deletes = append(txn.Deletes, key)
	}
	return txn
}

// suspectValue returns the value of the rows that this entry writes.
func (g *Gateway) suspectValue() []byte {
	value, err := json.Marshal(suspectValue{Entry: g.settings.Node})
	if err != nil {
		klog.ErrorS(err, "Value of suspect rows not encoded", "node", g.settings.Node)
	}
	return value
}

func (g *Gateway) commitSuspects(ctx context.Context, txn platform.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := g.ports.Table.Commit(ctx, txn)
	return err
}

// claimTimeout bounds the claim of a trial, for which the caller waits.
const claimTimeout = 400 * time.Millisecond

// claimTrial claims a trial, so that only this entry runs the quarantined
// request once more. If the response to the claim is lost, no entry runs the
// trial.
func (g *Gateway) claimTrial(ctx context.Context, f quarantine.Fingerprint, trial int) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := trialKey(f, trial)
	result, err := g.ports.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: g.suspectValue()}},
	})
	klog.InfoS("Trial of a quarantined request", "fingerprint", f.String(), "trial", trial, "claimed", err == nil && result.Committed, "err", err)
	if err != nil || !result.Committed {
		g.metrics.Count("held_trials", "not claimed", 1)
		return false
	}
	g.metrics.Count("held_trials", "claimed", 1)
	g.state.suspects.trialClaimed(time.Now(), f, trial)
	return true
}
