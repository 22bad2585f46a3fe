package gateway

import (
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/rewrite"
)

// What becomes of suspects when the store comes back from a copy. Rows that the copy lacks,
// or that it brings back, change no entry's records: they are written or removed again.

// suspectRewritesPerSecond is how many entries write lost rows of suspects again in a second,
// beside those that write their own.
const suspectRewritesPerSecond = 75

// suspectLogSettings: a copy is some seconds old, and the store away for a moment. The
// entry that holds the rollout lease stands in for those that ended.
var suspectLogSettings = rewrite.Settings{Keep: 2 * time.Minute, OthersAfter: 10 * time.Second, Max: maxUnwrittenRows}

// tableEra is the era of the store in which a table was read last.
type tableEra struct {
	era   uint64
	known bool
}

// enter records a read of the table, and reports whether it is the first of a new era.
func (t *tableEra) enter(era uint64) bool {
	entered := t.known && era > t.era
	t.era, t.known = max(t.era, era), true
	return entered
}

// enterSuspectsEra reports whether the rows just read are the first of a new era of the
// store. The lock of their feed is held.
func (g *Gateway) enterSuspectsEra(now time.Time) bool {
	table := &g.suspected.copy
	present := func(key string) bool { return table.RowVersion(strings.TrimPrefix(key, suspectPrefix)) > 0 }
	delay := rewriteDelay(g.settings.Node, g.peers.count(), suspectRewritesPerSecond)
	lost, entered := g.state.suspects.enterEra(now, platform.EraOf(table.Version()), delay, present)
	if lost > 0 {
		g.metrics.Count("suspect_rows", "lost", int64(lost))
		klog.InfoS("Changes of suspect rows lost by the store", "rows", lost, "era", platform.EraOf(table.Version()))
	}
	return entered
}

func (s *suspects) enterEra(now time.Time, era uint64, delay time.Duration, present func(key string) bool) (lost int, entered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entered = s.era.enter(era); entered {
		lost = s.changes.Restored(now, delay, present)
	}
	return lost, entered
}

// rowApplies reports whether a changed row of the store is applied. restored: it is one of
// the first of a new era. A crash record that was removed is not recorded again: an
// incarnation crashes once, so an entry wrote it that did not hear of the removal.
func (s *suspects) rowApplies(now time.Time, row suspectRow, key string, put, restored bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if restored && s.changes.Lost(key) {
		return false
	}
	if removed, own := s.changes.Removed(key); put && removed && row.trial == 0 {
		if own {
			s.queueRowLocked(key, false)
			signal(s.write)
		}
		return false
	}
	s.changes.Learned(now, key, put)
	return true
}

// rowsWritten records rows that the store put (true) or removed.
func (s *suspects) rowsWritten(now time.Time, rows map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, put := range rows {
		s.changes.Wrote(now, key, put)
	}
}

// rewriteLocked queues the changes that the store has lost and that are due: this entry's,
// and with standsIn those of others. Rows of subjects without a record are not put.
func (s *suspects) rewriteLocked(now time.Time, standsIn bool) {
	s.changes.Tick(now)
	due := s.changes.Due(now, standsIn)
	for key, put := range due {
		row, err := parseSuspectRow(strings.TrimPrefix(key, suspectPrefix))
		if err == nil && put && s.registry.CrashCount(row.crash.Subject) == 0 {
			continue
		}
		s.queueRowLocked(key, put)
	}
	if len(due) > 0 {
		signal(s.write)
	}
}
