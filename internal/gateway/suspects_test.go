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

func suspect(n int) quarantine.Fingerprint {
	return (&quarantine.Identity{Target: fmt.Sprint("/", n)}).Fingerprint()
}

// entryOn is an entry that shares a table with others.
func entryOn(table platform.Table, node string) *Gateway {
	settings := Settings{Node: node}
	g := &Gateway{settings: settings, state: newState(settings, func(string) {}), metrics: metrics.New(8), peers: newPeers(settings)}
	g.datagrams = &datagrams{gateway: g}
	g.ports.Table = table
	return g
}

// crash takes in that servers crashed while the request began to run there.
func (g *Gateway) crash(f quarantine.Fingerprint, servers ...string) {
	for _, server := range servers {
		g.state.suspects.broke(time.Now(), quarantine.Strike{Request: f, Server: server})
		g.state.suspects.crashed(time.Now(), server)
	}
}

// read applies all rows of the table, as an entry that starts does.
func (g *Gateway) read(t *testing.T) {
	t.Helper()
	rows, err := g.ports.Table.Range(t.Context(), suspectPrefix, "", 0)
	require.NoError(t, err)
	var changed []mirror.Row
	for _, row := range rows {
		changed = append(changed, mirror.Row{Key: strings.TrimPrefix(row.Key, suspectPrefix), Value: row.Value, Version: row.Version})
	}
	g.applySuspects(time.Now(), changed, sourceStore)
}

// Guards against entries that start anew and send what the others hold.
func TestAnEntryThatStartsLearnsWhatIsHeldFromTheStore(t *testing.T) {
	table := platformtest.New()
	one, two, late := entryOn(table, "gw1"), entryOn(table, "gw2"), entryOn(table, "gw3")
	one.crash(suspect(1), "a", "b")
	two.crash(suspect(1), "c")
	require.True(t, one.writeSuspects(t.Context()))
	require.True(t, two.writeSuspects(t.Context()))
	late.read(t)
	assert.True(t, late.state.suspects.verdict(time.Now(), suspect(1)).Held)
	require.True(t, late.state.suspects.clear(suspect(1), "operator"))
	require.True(t, late.writeSuspects(t.Context()))
	again := entryOn(table, "gw4")
	again.read(t)
	assert.Empty(t, again.state.suspects.list())
}

func TestRowsWaitForTheStore(t *testing.T) {
	table := platformtest.New()
	down := true
	table.OnCommit(func(platform.Txn) platformtest.Fault {
		if down {
			return platformtest.Unavailable
		}
		return platformtest.Pass
	})
	g := entryOn(table, "gw1")
	g.crash(suspect(1), "a", "b", "c")
	g.crash(suspect(2), "d")
	assert.False(t, g.writeSuspects(t.Context()))
	g.state.suspects.clear(suspect(2), "ran whole")
	down = false
	assert.True(t, g.writeSuspects(t.Context()))
	other := entryOn(table, "gw2")
	other.read(t)
	assert.Len(t, other.state.suspects.list(), 1, "what was cleared meanwhile is not written")
}

// Guards against a trial of a held request at several entries at once.
func TestATrialIsClaimedByOneEntry(t *testing.T) {
	table := platformtest.New()
	one, two := entryOn(table, "gw1"), entryOn(table, "gw2")
	assert.True(t, one.claimTrial(t.Context(), suspect(1), 1))
	assert.False(t, two.claimTrial(t.Context(), suspect(1), 1))
	one.state.suspects.released(suspect(1), 1)
	require.True(t, one.writeSuspects(t.Context()))
	assert.True(t, two.claimTrial(t.Context(), suspect(1), 1))
	table.OnCommit(func(platform.Txn) platformtest.Fault { return platformtest.Unavailable })
	assert.False(t, one.claimTrial(t.Context(), suspect(2), 1), "no store, no trial")
}

func TestWordsOnStrikesFitTheirDatagrams(t *testing.T) {
	g := entryOn(platformtest.New(), "gw1")
	var strikes []quarantine.Strike
	var cleared []quarantine.Fingerprint
	for n := range 45 {
		strikes = append(strikes, quarantine.Strike{Request: suspect(n), Server: strings.Repeat("s", 24)})
		cleared = append(cleared, suspect(100+n))
	}
	words := strikeWords(strikes, cleared)
	assert.Len(t, words, 5)
	told := 0
	for _, word := range words {
		assert.Less(t, len(mustEncode(t, word)), maxDatagramBytes)
		told += len(word.GetStrikes().GetStrikes()) + len(word.GetStrikes().GetCleared())
		g.datagrams.handle(word, nil)
	}
	assert.Equal(t, 90, told)
	assert.Len(t, g.state.suspects.list(), 45)
}

// Guards against a datagram for each of all the runs at a rack of servers.
func TestOfManyStrikesALargeFleetIsToldTheRepeatedOnes(t *testing.T) {
	g := entryOn(platformtest.New(), "gw1")
	g.crash(suspect(2), "b", "c")
	for n := range largeFleetStrikes {
		g.crash(suspect(10+n), "a")
	}
	strikes, _ := g.state.suspects.takeUntold(largeFleetStrikes)
	assert.Len(t, strikes, 2)
	for _, strike := range strikes {
		assert.Equal(t, suspect(2), strike.Request)
	}
	g.crash(suspect(3), "d")
	strikes, _ = g.state.suspects.takeUntold(largeFleetStrikes)
	assert.Len(t, strikes, 1, "a few are told as they are")
}

func TestARowThatIsNotUnderstoodIsPassedOver(t *testing.T) {
	f := suspect(1).String()
	for _, key := range []string{"", f, f + "/strike", f + "/other/a", f + "/trial/x", f + "/trial/0", "zz/strike/a"} {
		_, err := parseSuspectRow(key)
		assert.Error(t, err, key)
	}
	row, err := parseSuspectRow(f + "/strike/i-1@x/y")
	require.NoError(t, err)
	assert.Equal(t, "i-1@x/y", row.strike.Server)
	g := entryOn(platformtest.New(), "gw1")
	g.applySuspects(time.Now(), []mirror.Row{{Key: "nonsense"}, {Key: f + "/strike/a"}, {Key: f + "/trial/2"}}, sourceStore)
	require.Len(t, g.state.suspects.list(), 1)
	assert.Equal(t, 2, g.state.suspects.list()[0].Trials)
	g.applySuspects(time.Now(), []mirror.Row{{Key: f + "/strike/a", Removed: true}, {Key: f + "/trial/2", Removed: true}}, sourceStore)
	assert.Empty(t, g.state.suspects.list()[0].Servers)
}

// Guards against a planned end of a server that counts against the requests it ran.
func TestALeavingServerThatEndsIsNoCrash(t *testing.T) {
	s := newSuspects()
	s.broke(time.Now(), quarantine.Strike{Request: suspect(1), Server: "a"})
	s.left("a")
	s.crashed(time.Now(), "a")
	assert.Empty(t, s.list())
}

func mustEncode(t *testing.T, word *jayv1.Datagram) []byte {
	t.Helper()
	text, err := proto.Marshal(word)
	require.NoError(t, err)
	return text
}
