package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
	"github.com/jayproxy/jayproxy/internal/quarantine"
)

func suspectFingerprint(n int) quarantine.Fingerprint {
	return (&quarantine.Identity{Target: fmt.Sprint("/", n)}).Fingerprint()
}

// newTableEntry returns an entry that shares a table with others.
func newTableEntry(table platform.Table, node string) *Gateway {
	settings := Settings{Node: node}
	g := &Gateway{settings: settings, state: newState(settings, func(string) {}), metrics: metrics.New(8), peers: newPeers(settings), suspected: &feed{}}
	g.datagrams = &datagrams{gateway: g}
	g.ports.Table = table
	return g
}

// simulateCrash records that servers crashed soon after they began to run the
// request.
func (g *Gateway) simulateCrash(f quarantine.Fingerprint, servers ...string) {
	for _, server := range servers {
		g.state.suspects.runInterrupted(time.Now(), server, f)
		g.state.suspects.serverCrashed(time.Now(), server)
	}
}

// loadSuspects applies all rows of the table, as a starting entry does.
func (g *Gateway) loadSuspects(t *testing.T) {
	t.Helper()
	rows, err := g.ports.Table.Range(t.Context(), suspectPrefix, "", 0)
	require.NoError(t, err)
	var changed []mirror.Row
	for _, row := range rows {
		changed = append(changed, mirror.Row{Key: strings.TrimPrefix(row.Key, suspectPrefix), Value: row.Value, Version: row.Version})
	}
	g.applySuspects(time.Now(), changed, sourceStore)
}

// A starting entry must not send requests that the others have quarantined.
func TestStartingEntryReadsQuarantineFromStore(t *testing.T) {
	table := platformtest.New()
	one, two, starting := newTableEntry(table, "gw1"), newTableEntry(table, "gw2"), newTableEntry(table, "gw3")
	one.simulateCrash(suspectFingerprint(1), "a", "b")
	two.simulateCrash(suspectFingerprint(1), "c")
	require.True(t, one.writeSuspects(t.Context()))
	require.True(t, two.writeSuspects(t.Context()))
	starting.loadSuspects(t)
	assert.True(t, starting.state.suspects.verdict(time.Now(), suspectFingerprint(1)).Quarantined)
	require.True(t, starting.state.suspects.clear(suspectFingerprint(1), "operator"))
	require.True(t, starting.writeSuspects(t.Context()))
	restarted := newTableEntry(table, "gw4")
	restarted.loadSuspects(t)
	assert.Empty(t, restarted.state.suspects.list())
}

func TestSuspectRowsAreWrittenAfterStoreOutage(t *testing.T) {
	table := platformtest.New()
	down := true
	table.OnCommit(func(platform.Txn) platformtest.Fault {
		if down {
			return platformtest.Unavailable
		}
		return platformtest.Pass
	})
	g := newTableEntry(table, "gw1")
	g.simulateCrash(suspectFingerprint(1), "a", "b", "c")
	g.simulateCrash(suspectFingerprint(2), "d")
	assert.False(t, g.writeSuspects(t.Context()))
	g.state.suspects.clear(suspectFingerprint(2), "ran to completion")
	down = false
	assert.True(t, g.writeSuspects(t.Context()))
	other := newTableEntry(table, "gw2")
	other.loadSuspects(t)
	assert.Len(t, other.state.suspects.list(), 1, "records cleared during the outage are not written")
}

// Only one entry may run a trial of a quarantined request.
func TestTrialIsClaimedByOneEntry(t *testing.T) {
	table := platformtest.New()
	one, two := newTableEntry(table, "gw1"), newTableEntry(table, "gw2")
	assert.True(t, one.claimTrial(t.Context(), suspectFingerprint(1), 1))
	assert.False(t, two.claimTrial(t.Context(), suspectFingerprint(1), 1))
	one.state.suspects.trialReleased(suspectFingerprint(1), 1)
	require.True(t, one.writeSuspects(t.Context()))
	assert.True(t, two.claimTrial(t.Context(), suspectFingerprint(1), 1))
	table.OnCommit(func(platform.Txn) platformtest.Fault { return platformtest.Unavailable })
	assert.False(t, one.claimTrial(t.Context(), suspectFingerprint(2), 1), "no trial without the store")
}

func TestCrashUpdatesFitDatagrams(t *testing.T) {
	g := newTableEntry(platformtest.New(), "gw1")
	var crashes []quarantine.Crash
	var cleared []quarantine.Fingerprint
	for n := range 45 {
		crashes = append(crashes, quarantine.Crash{Subject: suspectFingerprint(n), Server: strings.Repeat("s", 24)})
		cleared = append(cleared, suspectFingerprint(100+n))
	}
	datagrams := crashDatagrams(crashes, cleared)
	assert.Len(t, datagrams, 5)
	sent := 0
	for _, datagram := range datagrams {
		assert.Less(t, len(mustEncode(t, datagram)), maxDatagramBytes)
		sent += len(datagram.GetStrikes().GetStrikes()) + len(datagram.GetStrikes().GetCleared())
		g.datagrams.handle(datagram, nil)
	}
	assert.Equal(t, 90, sent)
	assert.Len(t, g.state.suspects.list(), 45)
}

// When many servers end at once, the crashes of all their runs must not be sent
// to every entry.
func TestLargeFleetReceivesOnlyRepeatedCrashes(t *testing.T) {
	g := newTableEntry(platformtest.New(), "gw1")
	g.simulateCrash(suspectFingerprint(2), "b", "c")
	for n := range maxLargeFleetCrashes {
		g.simulateCrash(suspectFingerprint(10+n), "a")
	}
	crashes, _ := g.state.suspects.takeUnsent(maxLargeFleetCrashes)
	assert.Len(t, crashes, 2)
	for _, crash := range crashes {
		assert.Equal(t, suspectFingerprint(2), crash.Subject)
	}
	parts := []quarantine.Fingerprint{quarantine.PartFingerprint("new"), quarantine.PartFingerprint("known")}
	g.state.suspects.partsRan(time.Now(), parts[1:], 1)
	for _, f := range append(parts, suspectFingerprint(20), suspectFingerprint(21), suspectFingerprint(22)) {
		g.simulateCrash(f, "p")
	}
	crashes, _ = g.state.suspects.takeUnsent(maxLargeFleetCrashes)
	assert.Equal(t, []quarantine.Crash{{Subject: parts[0], Server: "p"}}, crashes, "a part without whole runs likely causes the crash")
	g.simulateCrash(suspectFingerprint(3), "d")
	crashes, _ = g.state.suspects.takeUnsent(maxLargeFleetCrashes)
	assert.Len(t, crashes, 1, "a few crashes are sent unfiltered")
}

func TestMalformedSuspectRowIsSkipped(t *testing.T) {
	f := suspectFingerprint(1).String()
	for _, key := range []string{"", f, f + "/strike", f + "/other/a", f + "/trial/x", f + "/trial/0", "zz/strike/a"} {
		_, err := parseSuspectRow(key)
		assert.Error(t, err, key)
	}
	row, err := parseSuspectRow(f + "/strike/i-1@x/y")
	require.NoError(t, err)
	assert.Equal(t, "i-1@x/y", row.crash.Server)
	g := newTableEntry(platformtest.New(), "gw1")
	g.applySuspects(time.Now(), []mirror.Row{{Key: "nonsense"}, {Key: f + "/strike/a"}, {Key: f + "/trial/2"}}, sourceStore)
	require.Len(t, g.state.suspects.list(), 1)
	assert.Equal(t, 2, g.state.suspects.list()[0].Trials)
	g.applySuspects(time.Now(), []mirror.Row{{Key: f + "/strike/a", Removed: true}, {Key: f + "/trial/2", Removed: true}}, sourceStore)
	assert.Empty(t, g.state.suspects.list()[0].Servers)
}

// A planned end of a server must not count as a crash against the requests it
// ran.
func TestPlannedEndIsNotCountedAsCrash(t *testing.T) {
	s := newSuspects()
	s.runInterrupted(time.Now(), "a", suspectFingerprint(1))
	s.serverDrained("a")
	s.serverCrashed(time.Now(), "a")
	assert.Empty(t, s.list())
}

func mustEncode(t *testing.T, datagram *jayv1.Datagram) []byte {
	t.Helper()
	encoded, err := proto.Marshal(datagram)
	require.NoError(t, err)
	return encoded
}
