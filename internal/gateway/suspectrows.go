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
	// suspectPrefix of the rows that hold strikes and trials. A row says all by
	// its key: FINGERPRINT/strike/LIFETIME or FINGERPRINT/trial/NUMBER.
	suspectPrefix = "suspects/"
	strikeMark    = "strike"
	trialMark     = "trial"
	// suspectRelayPause between two reads of the rows from another entry. Datagrams
	// bring what is urgent; the rows are for those who missed them.
	suspectRelayPause = 700 * time.Millisecond
	// suspectsPerTxn rows are written at once.
	suspectsPerTxn = 90
	// suspectRetry is the pause after a write that failed.
	suspectRetry = 250 * time.Millisecond
	// strikesPerWord keeps a datagram below maxDatagram.
	strikesPerWord = 20
	// largeFleetStrikes at once are told to all entries of a large fleet, whatever
	// they are: those of all that ran at a rack of servers would go to hundreds.
	largeFleetStrikes = 4
)

// suspectRow is the key of a row.
type suspectRow struct {
	strike quarantine.Strike
	// trial number; 0: the row holds the strike.
	trial int
}

// suspectValue says who wrote a row, for operators.
type suspectValue struct {
	Entry string `json:"entry"`
}

func strikeKey(strike quarantine.Strike) string {
	return suspectPrefix + strike.Request.String() + "/" + strikeMark + "/" + strike.Server
}

func trialKey(f quarantine.Fingerprint, trial int) string {
	return suspectPrefix + f.String() + "/" + trialMark + "/" + strconv.Itoa(trial)
}

// parseSuspectRow reads the key of a row, without the table's name.
func parseSuspectRow(key string) (suspectRow, error) {
	var row suspectRow
	fields := strings.SplitN(key, "/", 3)
	if len(fields) != 3 {
		return row, eris.Errorf("row %q has not three parts", key)
	}
	var err error
	if row.strike.Request, err = quarantine.ParseFingerprint(fields[0]); err != nil {
		return row, err
	}
	switch fields[1] {
	case strikeMark:
		row.strike.Server = fields[2]
		return row, nil
	case trialMark:
		row.trial, err = strconv.Atoi(fields[2])
		if err != nil || row.trial < 1 {
			return row, eris.Errorf("row %q names no trial", key)
		}
		return row, nil
	}
	return row, eris.Errorf("row %q is of no known kind", key)
}

func (g *Gateway) applySuspects(now time.Time, rows []mirror.Row, source string) {
	for _, row := range rows {
		parsed, err := parseSuspectRow(row.Key)
		if err != nil {
			klog.ErrorS(err, "Row of a suspected request not understood", "row", row.Key, "rowVersion", row.Version, "source", source)
			continue
		}
		if row.Removed {
			g.state.suspects.rowGone(parsed)
			continue
		}
		g.state.suspects.rowPut(now, parsed, source)
	}
}

// spreadSuspects tells other entries and the store what this one saw, until the
// process stops.
func (g *Gateway) spreadSuspects(ctx context.Context) {
	s := g.state.suspects
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		g.tellSuspects()
		if !g.writeSuspects(ctx) {
			sleep(ctx, suspectRetry)
			s.wakeUp()
		}
	}
}

// tellSuspects tells the other entries at once. A datagram that is lost costs a
// server perhaps, until the rows are read.
func (g *Gateway) tellSuspects() {
	most := maxUnwritten
	if g.sharded() {
		most = largeFleetStrikes
	}
	strikes, cleared := g.state.suspects.takeUntold(most)
	targets := g.datagrams.addressesOf(g.peers.addresses())
	if len(targets) == 0 {
		return
	}
	for _, word := range strikeWords(strikes, cleared) {
		g.datagrams.trySendAll(targets, word)
	}
}

func strikeWords(strikes []quarantine.Strike, cleared []quarantine.Fingerprint) []*jayv1.Datagram {
	var words []*jayv1.Datagram
	for len(strikes)+len(cleared) > 0 {
		news := &jayv1.StrikeNews{}
		n := min(len(strikes), strikesPerWord)
		for _, strike := range strikes[:n] {
			news.Strikes = append(news.Strikes, &jayv1.RequestStrike{Request: strike.Request[:], Server: strike.Server})
		}
		m := min(len(cleared), strikesPerWord-n)
		for _, f := range cleared[:m] {
			news.Cleared = append(news.Cleared, f[:])
		}
		strikes, cleared = strikes[n:], cleared[m:]
		words = append(words, &jayv1.Datagram{Body: &jayv1.Datagram_Strikes{Strikes: news}})
	}
	return words
}

// takeStrikes takes in a word of another entry.
func (g *Gateway) takeStrikes(news *jayv1.StrikeNews, source string) {
	var strikes []quarantine.Strike
	var cleared []quarantine.Fingerprint
	for _, one := range news.GetStrikes() {
		if len(one.GetRequest()) != len(quarantine.Fingerprint{}) {
			g.metrics.Count("datagrams", "malformed", 1)
			return
		}
		strikes = append(strikes, quarantine.Strike{Request: quarantine.Fingerprint(one.GetRequest()), Server: one.GetServer()})
	}
	for _, f := range news.GetCleared() {
		if len(f) != len(quarantine.Fingerprint{}) {
			g.metrics.Count("datagrams", "malformed", 1)
			return
		}
		cleared = append(cleared, quarantine.Fingerprint(f))
	}
	g.state.suspects.heard(time.Now(), strikes, cleared, source)
}

// writeSuspects writes the rows that wait. False: some still do.
func (g *Gateway) writeSuspects(ctx context.Context) bool {
	s := g.state.suspects
	for ctx.Err() == nil {
		rows := s.takeUnwritten(suspectsPerTxn)
		if len(rows) == 0 {
			return true
		}
		if err := g.commitSuspects(ctx, g.suspectTxn(rows)); err != nil {
			g.metrics.Count("suspect_rows", "failed", int64(len(rows)))
			klog.InfoS("Rows of suspected requests not written yet", "rows", len(rows), "err", err)
			s.giveBack(rows)
			return false
		}
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

// suspectValue is what this entry's rows hold.
func (g *Gateway) suspectValue() []byte {
	value, err := json.Marshal(suspectValue{Entry: g.settings.Node})
	if err != nil {
		klog.ErrorS(err, "Entry's name not encoded", "node", g.settings.Node)
	}
	return value
}

func (g *Gateway) commitSuspects(ctx context.Context, txn platform.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := g.ports.Table.Commit(ctx, txn)
	return err
}

// claimTime bounds the claim of a trial: its caller waits.
const claimTime = 400 * time.Millisecond

// claimTrial makes this entry the one that runs a held request once more. A claim
// whose answer is lost counts as made by nobody: the trial is lost.
func (g *Gateway) claimTrial(ctx context.Context, f quarantine.Fingerprint, trial int) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	key := trialKey(f, trial)
	result, err := g.ports.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: g.suspectValue()}},
	})
	klog.InfoS("Trial of a held request", "fingerprint", f.String(), "trial", trial, "claimed", err == nil && result.Committed, "err", err)
	if err != nil || !result.Committed {
		g.metrics.Count("held_trials", "not claimed", 1)
		return false
	}
	g.metrics.Count("held_trials", "claimed", 1)
	g.state.suspects.tried(time.Now(), f, trial)
	return true
}
