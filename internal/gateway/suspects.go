package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/quarantine"
	"github.com/jayproxy/jayproxy/internal/rewrite"
)

// suspects holds an entry's records of requests and prompt parts under which servers
// crashed, and which of them are still to be sent to other entries and to the store.
// It does no I/O. Its lock may be taken while the state's is held, never the other
// way round.
type suspects struct {
	// tracked counts the suspects and the interrupted runs whose servers are not known
	// to have crashed or survived. While it is 0 no request is hashed before it is sent.
	tracked atomic.Int64
	// publish signals that there is something to send, write that there are rows to
	// write.
	publish, write chan struct{}

	mu            sync.Mutex
	registry      *quarantine.Registry
	interruptions *quarantine.Interruptions
	// probing holds the server incarnations that are being probed.
	probing map[string]bool
	// partIDs holds the IDs of parts with records, as far as this entry has seen
	// requests with them.
	partIDs map[quarantine.Fingerprint]string
	// unsent holds crashes, unsentCleared cleared requests that are still to be sent
	// in datagrams.
	unsent        []quarantine.Crash
	unsentCleared []quarantine.Fingerprint
	// unwrittenRows holds the keys of rows that are still to be written to the store
	// (true) or deleted there (false).
	unwrittenRows map[string]bool
	// changes holds the latest changes of rows, in case the store loses them. era is that of
	// the rows read last.
	changes *rewrite.Log
	era     tableEra
}

// maxUnwrittenRows bounds the rows that wait for the store. Records beyond it
// exist only at the entries that received their datagrams.
const maxUnwrittenRows = 4096

func newSuspects() *suspects {
	return &suspects{
		registry: quarantine.NewRegistry(quarantine.DefaultSettings()), interruptions: quarantine.NewInterruptions(),
		probing: map[string]bool{}, partIDs: map[quarantine.Fingerprint]string{}, unwrittenRows: map[string]bool{}, changes: rewrite.New(suspectLogSettings),
		publish: make(chan struct{}, 1), write: make(chan struct{}, 1),
	}
}

// runInterrupted records a run that was interrupted early: against its request and the
// shared parts of its prompt.
func (s *suspects) runInterrupted(now time.Time, server string, subjects ...quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var crashes []quarantine.Crash
	for _, f := range subjects {
		run := quarantine.Crash{Subject: f, Server: server}
		if s.interruptions.Add(now, run) {
			crashes = append(crashes, run)
		}
	}
	s.recordOwnCrashesLocked(now, crashes)
	s.updateTrackedLocked()
}

func (s *suspects) updateTrackedLocked() {
	s.tracked.Store(int64(s.registry.Len() + s.interruptions.Len()))
}

// serverCrashed records that an incarnation of a server is proven to have
// crashed.
func (s *suspects) serverCrashed(now time.Time, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordOwnCrashesLocked(now, s.interruptions.ServerCrashed(now, server))
	s.updateTrackedLocked()
}

// serverDrained records that an incarnation of a server ended as planned.
func (s *suspects) serverDrained(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interruptions.ServerDrained(server)
	s.updateTrackedLocked()
}

// beginProbe reports whether to probe a server; false if another goroutine is
// doing so. endProbe records the result and allows the next probe.
func (s *suspects) beginProbe(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probing[server] {
		return false
	}
	s.probing[server] = true
	return true
}

func (s *suspects) endProbe(now time.Time, server string, alive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.probing, server)
	if alive {
		s.interruptions.ServerListening(now, server)
	}
}

// recordOwnCrashesLocked adds crashes that this entry observed.
func (s *suspects) recordOwnCrashesLocked(now time.Time, crashes []quarantine.Crash) {
	if len(crashes) == 0 {
		return
	}
	s.addCrashesLocked(now, crashes, "own")
	for _, crash := range crashes {
		s.unsent = append(s.unsent, crash)
		s.queueRowLocked(crashKey(crash), true)
	}
	s.signalPublish()
}

// addCrashesLocked adds crashes from any source. Most arrive from several
// sources and are added once.
func (s *suspects) addCrashesLocked(now time.Time, crashes []quarantine.Crash, source string) {
	crashes = slices.DeleteFunc(slices.Clone(crashes), s.registry.Contains)
	quarantined := s.registry.Add(now, crashes)
	s.updateTrackedLocked()
	s.logCrashesLocked(crashes, source)
	for _, f := range quarantined {
		v := s.registry.Verdict(now, f)
		klog.InfoS(kindOf(f)+" quarantined", "fingerprint", f.String(), "part", s.partIDs[f], "source", source, "trial", v.Trial, "retryAfterMS", v.RetryAfter.Milliseconds())
	}
}

// logCrashesLocked logs a line for each request, and one for all parts at a server.
func (s *suspects) logCrashesLocked(crashes []quarantine.Crash, source string) {
	parts := map[string][]string{}
	for _, crash := range crashes {
		if crash.Subject.IsPart() {
			parts[crash.Server] = append(parts[crash.Server], s.partNameLocked(crash.Subject))
			continue
		}
		klog.InfoS("Server crashed while running request", "fingerprint", crash.Subject.String(), "server", crash.Server, "source", source)
	}
	for server, names := range parts {
		klog.InfoS("Server crashed while running prompts", "parts", names, "server", server, "source", source)
	}
}

// receive adds the records of another entry's update.
func (s *suspects) receive(now time.Time, crashes []quarantine.Crash, cleared []quarantine.Fingerprint, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addCrashesLocked(now, crashes, source)
	for _, f := range cleared {
		request, _ := s.clearLocked(f, source)
		for _, crash := range crashesOf(request) {
			s.changes.Learned(now, crashKey(crash), false)
		}
	}
}

// rowPut and rowRemoved apply changed rows of the store.
func (s *suspects) rowPut(now time.Time, row suspectRow, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.trial > 0 {
		s.registry.TrialClaimed(now, row.crash.Subject, row.trial)
		s.updateTrackedLocked()
		return
	}
	s.addCrashesLocked(now, []quarantine.Crash{row.crash}, source)
}

func (s *suspects) rowRemoved(row suspectRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.trial > 0 {
		s.registry.TrialReleased(row.crash.Subject, row.trial)
	} else {
		s.registry.Remove(time.Now(), row.crash)
	}
	s.updateTrackedLocked()
}

// clear deletes all records of a request, here, at other entries and in the
// store: it completed, or an operator clears it. It returns false if there were
// none.
func (s *suspects) clear(f quarantine.Fingerprint, reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clearEverywhereLocked(f, reason)
}

func (s *suspects) clearEverywhereLocked(f quarantine.Fingerprint, reason string) bool {
	request, ok := s.clearLocked(f, reason)
	if !ok {
		return false
	}
	s.removeRowsLocked(request)
	s.unsentCleared = append(s.unsentCleared, f)
	s.signalPublish()
	return true
}

func (s *suspects) clearLocked(f quarantine.Fingerprint, reason string) (quarantine.Suspect, bool) {
	s.interruptions.Completed(f)
	defer s.updateTrackedLocked()
	request, ok := s.registry.Clear(time.Now(), f)
	if !ok {
		return request, false
	}
	for _, crash := range crashesOf(request) {
		delete(s.unwrittenRows, crashKey(crash))
	}
	klog.InfoS(kindOf(f)+" cleared", "fingerprint", f.String(), "part", s.partIDs[f], "why", reason, "held", request.Quarantined, "servers", request.Servers, "trials", request.Trials)
	return request, true
}

// removeRowsLocked queues the deletion of all rows of a request.
func (s *suspects) removeRowsLocked(request quarantine.Suspect) {
	for _, crash := range crashesOf(request) {
		s.queueRowLocked(crashKey(crash), false)
	}
	for trial := 1; trial <= request.Trials; trial++ {
		s.queueRowLocked(trialKey(request.Fingerprint, trial), false)
	}
}

func (s *suspects) queueRowLocked(key string, put bool) {
	if len(s.unwrittenRows) >= maxUnwrittenRows {
		klog.InfoS("Row of a suspect request dropped: too many rows wait for the store", "row", key)
		return
	}
	s.unwrittenRows[key] = put
}

func (s *suspects) signalPublish() { signal(s.publish) }

// signal wakes the reader of a channel with room for one signal.
func signal(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// mayBeSuspect reports, without hashing a body, whether crashes or interrupted
// runs of a request may be recorded.
func (s *suspects) mayBeSuspect(hashes *quarantine.Hashes) bool {
	if s.tracked.Load() == 0 {
		return false
	}
	head := hashes.Head()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.MayContain(head) || s.interruptions.MayContain(head)
}

func (s *suspects) verdict(now time.Time, f quarantine.Fingerprint) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Verdict(now, f)
}

func (s *suspects) crashCount(f quarantine.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.CrashCount(f)
}

func (s *suspects) mayRepeat(f quarantine.Fingerprint, interruptedAt []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.MayRepeat(time.Now(), f, interruptedAt)
}

// trialClaimed records that this entry claimed a trial, trialReleased that the
// trial did not run.
func (s *suspects) trialClaimed(now time.Time, f quarantine.Fingerprint, trial int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes.Wrote(now, trialKey(f, trial), true)
	s.registry.TrialClaimed(now, f, trial)
}

func (s *suspects) trialReleased(f quarantine.Fingerprint, trial int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.TrialReleased(f, trial)
	s.queueRowLocked(trialKey(f, trial), false)
	s.signalPublish()
}

// list returns all suspect requests, for operators; counts returns their
// numbers, for metrics.
func (s *suspects) list() []quarantine.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.List()
}

func (s *suspects) counts() (suspects, quarantined int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Len(), s.registry.QuarantinedCount()
}

// tick deletes expired records. With deleteRows it also deletes their rows, and makes the
// changes of entries that ended again that the store has lost, which one entry does for all.
func (s *suspects) tick(now time.Time, deleteRows bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rewriteLocked(now, deleteRows)
	s.interruptions.Tick(now)
	expired := s.registry.Tick(now)
	s.updateTrackedLocked()
	s.forgetPartIDsLocked()
	for _, request := range expired {
		klog.InfoS("Records of a suspect expired", "fingerprint", request.Fingerprint.String(), "part", s.partIDs[request.Fingerprint], "held", request.Quarantined, "servers", request.Servers)
		if deleteRows {
			s.removeRowsLocked(request)
			s.signalPublish()
		}
	}
}

// takeUnsent returns what is still to be sent in datagrams. Of more than limit crashes it
// returns those of subjects with at least two, and up to limit of parts that were not in
// whole runs before; the other entries read the rest from the store.
func (s *suspects) takeUnsent(limit int) ([]quarantine.Crash, []quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes := s.unsent
	if len(crashes) > limit {
		unproven := 0
		crashes = slices.DeleteFunc(crashes, func(crash quarantine.Crash) bool {
			if s.registry.CrashCount(crash.Subject) >= 2 {
				return false
			}
			if s.registry.UnprovenPart(crash.Subject) {
				unproven++
				return unproven > limit
			}
			return true
		})
	}
	cleared := s.unsentCleared
	s.unsent, s.unsentCleared = nil, nil
	return crashes, cleared
}

// takeUnwritten returns up to limit of the rows that wait for the store.
func (s *suspects) takeUnwritten(limit int) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := map[string]bool{}
	for key, put := range s.unwrittenRows {
		if len(rows) == limit {
			break
		}
		rows[key] = put
		delete(s.unwrittenRows, key)
	}
	return rows
}

// requeueRows queues rows again that were not written, unless newer values
// wait.
func (s *suspects) requeueRows(rows map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, put := range rows {
		if _, ok := s.unwrittenRows[key]; !ok {
			s.queueRowLocked(key, put)
		}
	}
}

func crashesOf(request quarantine.Suspect) []quarantine.Crash {
	crashes := make([]quarantine.Crash, 0, len(request.Servers))
	for _, server := range request.Servers {
		crashes = append(crashes, quarantine.Crash{Subject: request.Fingerprint, Server: server})
	}
	return crashes
}
