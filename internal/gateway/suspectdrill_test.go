package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
)

// readSuspects lets entries read the rows of suspects.
func readSuspects(t *testing.T, table *platformtest.Memory, entries ...*Gateway) {
	t.Helper()
	batch := mirror.Batch{Version: table.Version(), Snapshot: true}
	rows, err := table.Range(t.Context(), suspectPrefix, "", 0)
	require.NoError(t, err)
	for _, row := range rows {
		batch.Rows = append(batch.Rows, mirror.Row{Key: strings.TrimPrefix(row.Key, suspectPrefix), Value: row.Value, Version: row.Version})
	}
	for _, g := range entries {
		f := g.suspected
		f.mu.Lock()
		g.applySuspects(time.Now(), f.copy.Apply(batch), sourceStore)
		f.mu.Unlock()
	}
}

// rewriteSuspects lets entries write again what is due after a time; the first holds the
// lease.
func rewriteSuspects(t *testing.T, after time.Duration, entries ...*Gateway) {
	t.Helper()
	for i, g := range entries {
		g.state.suspects.tick(time.Now().Add(after), i == 0)
		require.True(t, g.writeSuspects(t.Context()))
	}
}

func newTableEntries(table *platformtest.Memory) (one, two, three *Gateway) {
	return newTableEntry(table, "gw1"), newTableEntry(table, "gw2"), newTableEntry(table, "gw3")
}

func isQuarantined(g *Gateway) bool {
	return g.state.suspects.verdict(time.Now(), suspectFingerprint(1)).Quarantined
}

// assertStartsWith checks whether an entry that starts now quarantines the request.
func assertStartsWith(t *testing.T, table *platformtest.Memory, quarantined bool) {
	t.Helper()
	starting := newTableEntry(table, "gw9")
	readSuspects(t, table, starting)
	assert.Equal(t, quarantined, isQuarantined(starting), "an entry that starts")
}

// Guards against a request that crashes servers again, as the store lost the records of its
// crashes in a drill. One of the entries that wrote them has ended.
func TestQuarantineIsKeptOverADrill(t *testing.T) {
	table := platformtest.New()
	one, two, three := newTableEntries(table)
	readSuspects(t, table, one, two, three)
	table.Save()
	one.simulateCrash(suspectFingerprint(1), "a", "b")
	two.simulateCrash(suspectFingerprint(1), "c")
	require.True(t, one.writeSuspects(t.Context()))
	require.True(t, two.writeSuspects(t.Context()))
	readSuspects(t, table, one, two, three)
	table.Restore()
	assertStartsWith(t, table, false)
	readSuspects(t, table, one, two, three)
	for _, g := range []*Gateway{one, two, three} {
		assert.True(t, isQuarantined(g), g.settings.Node)
	}
	rewriteSuspects(t, time.Second, three, two)
	assertStartsWith(t, table, false)
	rewriteSuspects(t, 12*time.Second, three)
	assertStartsWith(t, table, true)
	_, before := table.Counts()
	rewriteSuspects(t, time.Minute, three, two, one)
	_, writes := table.Counts()
	assert.LessOrEqual(t, writes-before, 1, "the entry that comes back writes its records once")
}

// Guards against a record that is lost because its writer had not read it yet when the drill
// came.
func TestUnreadRecordIsWrittenAgain(t *testing.T) {
	table := platformtest.New()
	one, two, _ := newTableEntries(table)
	readSuspects(t, table, one, two)
	table.Save()
	one.simulateCrash(suspectFingerprint(1), "a", "b", "c")
	require.True(t, one.writeSuspects(t.Context()))
	table.Restore()
	readSuspects(t, table, one, two)
	rewriteSuspects(t, time.Second, two, one)
	assertStartsWith(t, table, true)
}

// Guards against a quarantine that comes back with the copy after an operator cleared it. In
// the second case the entry that removed the rows has ended.
func TestClearedQuarantineStaysCleared(t *testing.T) {
	for _, ended := range []bool{false, true} {
		table := platformtest.New()
		one, two, three := newTableEntries(table)
		one.simulateCrash(suspectFingerprint(1), "a", "b", "c")
		require.True(t, one.writeSuspects(t.Context()))
		readSuspects(t, table, one, two, three)
		table.Save()
		require.True(t, three.state.suspects.clear(suspectFingerprint(1), "operator"))
		require.True(t, three.writeSuspects(t.Context()))
		readSuspects(t, table, one, two, three)
		table.Restore()
		assertStartsWith(t, table, true)
		readSuspects(t, table, one, two, three)
		for _, g := range []*Gateway{one, two, three} {
			assert.Empty(t, g.state.suspects.list(), g.settings.Node)
		}
		if ended {
			rewriteSuspects(t, 12*time.Second, one, two)
		} else {
			rewriteSuspects(t, time.Second, one, two, three)
		}
		assertStartsWith(t, table, false)
	}
}

// Guards against a cleared quarantine that is written again by an entry that has not heard
// of it.
func TestRecordWrittenAfterItWasClearedIsRemoved(t *testing.T) {
	table := platformtest.New()
	one, two, _ := newTableEntries(table)
	readSuspects(t, table, one, two)
	table.Save()
	one.simulateCrash(suspectFingerprint(1), "a", "b", "c")
	require.True(t, one.writeSuspects(t.Context()))
	readSuspects(t, table, one, two)
	require.True(t, two.state.suspects.clear(suspectFingerprint(1), "operator"))
	require.True(t, two.writeSuspects(t.Context()))
	table.Restore()
	readSuspects(t, table, one, two)
	rewriteSuspects(t, time.Second, two, one)
	assertStartsWith(t, table, true)
	readSuspects(t, table, one, two)
	assert.Empty(t, two.state.suspects.list())
	rewriteSuspects(t, time.Second, two, one)
	readSuspects(t, table, one, two)
	assert.Empty(t, one.state.suspects.list())
	assertStartsWith(t, table, false)
}

// Guards against a second trial, under which one more server may crash, as the store lost the
// claim of the first.
func TestTrialIsNotForgottenOverADrill(t *testing.T) {
	table := platformtest.New()
	one, two, three := newTableEntries(table)
	one.simulateCrash(suspectFingerprint(1), "a", "b", "c")
	require.True(t, one.writeSuspects(t.Context()))
	readSuspects(t, table, one, two, three)
	table.Save()
	require.True(t, one.claimTrial(t.Context(), suspectFingerprint(1), 1))
	readSuspects(t, table, one, two, three)
	table.Restore()
	readSuspects(t, table, one, two, three)
	for _, g := range []*Gateway{one, two, three} {
		assert.Equal(t, 1, g.state.suspects.list()[0].Trials, g.settings.Node)
	}
	rewriteSuspects(t, time.Second, three, one)
	assert.False(t, two.claimTrial(t.Context(), suspectFingerprint(1), 1))
}

// Guards against a quarantine that comes back at an entry that heard of its end by datagram
// and had not read the removal when the drill came.
func TestQuarantineClearedByDatagramStaysCleared(t *testing.T) {
	table := platformtest.New()
	one, two, three := newTableEntries(table)
	one.simulateCrash(suspectFingerprint(1), "a", "b", "c")
	require.True(t, one.writeSuspects(t.Context()))
	readSuspects(t, table, one, two, three)
	table.Save()
	require.True(t, three.state.suspects.clear(suspectFingerprint(1), "operator"))
	_, cleared := three.state.suspects.takeUnsent(maxUnwrittenRows)
	two.state.suspects.receive(time.Now(), nil, cleared, "datagram")
	table.Restore()
	readSuspects(t, table, two)
	assert.Empty(t, two.state.suspects.list())
}
