package entry

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/quarantine"
)

const (
	// crashSendPeriod is how long a record is sent with every digest: by then it
	// has reached all entries.
	crashSendPeriod = 15 * time.Second
	// maxDigestCrashes is the maximum number of records in a digest,
	// maxFullDigestCrashes in a digest for a process that may have just started.
	maxDigestCrashes     = 8
	maxFullDigestCrashes = 24
	// recordTimeError is by how much the time of a record may be too late after
	// other processes passed it on.
	recordTimeError = time.Second
	// maxCrashRecords is the maximum number of records kept for digests.
	maxCrashRecords = 4096
)

// crashSettings returns the settings of the entry's quarantine, which ends after
// SuspectTTL. Entries have no stored row by which one of them could claim a trial,
// so there are no timed trials: the only trial delay ends when the record expires.
// Requests that are possibly not the cause of their crashes get a trial in their
// time slot.
func crashSettings() quarantine.Settings {
	settings := quarantine.DefaultSettings()
	settings.TrialDelays = []time.Duration{settings.SuspectTTL}
	settings.QuarantineTTL = settings.SuspectTTL
	return settings
}

// crashRecord is one record on a request, as entries exchange it: a crash of an
// engine, or, with cleared set, a complete run that voids earlier crashes.
type crashRecord struct {
	crash   quarantine.Crash
	cleared bool
}

// suspects holds the records of requests under which engines crashed. Entries
// exchange them in their gossip digests. Safe for concurrent use.
type suspects struct {
	// tracked counts the requests with crash records; while it is 0 no request
	// is hashed.
	tracked atomic.Int64

	mu       sync.Mutex
	registry *quarantine.Registry
	// records maps each record to the time of its crash or complete run.
	records map[crashRecord]time.Time
}

func newSuspects() *suspects {
	return &suspects{registry: quarantine.NewRegistry(crashSettings()), records: map[crashRecord]time.Time{}}
}

// add adds a record from any source. A crash from before the request's last
// complete run is ignored.
func (s *suspects) add(now, at time.Time, record crashRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	knownAt, ok := s.records[record]
	if ok && (!record.cleared || !at.After(knownAt.Add(recordTimeError))) {
		return
	}
	f := record.crash.Subject
	clearedAt := s.records[crashRecord{crash: quarantine.Crash{Subject: f}, cleared: true}]
	if !record.cleared && !at.After(clearedAt.Add(recordTimeError)) || len(s.records) >= maxCrashRecords {
		return
	}
	s.records[record] = at
	if record.cleared {
		s.clearLocked(now, at, f)
	} else {
		s.addCrashLocked(now, record.crash)
	}
	s.tracked.Store(int64(s.registry.Len()))
}

func (s *suspects) addCrashLocked(now time.Time, crash quarantine.Crash) {
	quarantined := s.registry.Add(now, []quarantine.Crash{crash})
	klog.InfoS("engine crashed while running request", "fingerprint", crash.Subject.String(), "engine", crash.Server)
	for _, f := range quarantined {
		klog.InfoS("request quarantined", "fingerprint", f.String())
	}
}

func (s *suspects) clearLocked(now, at time.Time, f quarantine.Fingerprint) {
	for record, recordedAt := range s.records {
		if record.crash.Subject == f && !record.cleared && !recordedAt.After(at) {
			delete(s.records, record)
		}
	}
	if request, ok := s.registry.Clear(now, f); ok {
		klog.InfoS("request cleared: ran to completion", "fingerprint", f.String(), "engines", request.Servers)
	}
}

// receive adds the records of another process's digest.
func (s *suspects) receive(now time.Time, updates []*jayv1.CrashNews) {
	for _, update := range updates {
		if len(update.GetRequest()) != len(quarantine.Fingerprint{}) {
			continue
		}
		record := crashRecord{crash: quarantine.Crash{Subject: quarantine.Fingerprint(update.GetRequest()), Server: update.GetServer()}, cleared: update.GetCleared()}
		s.add(now, now.Add(-time.Duration(update.GetAgeMs())*time.Millisecond), record)
	}
}

// digest returns records for a digest, those of quarantined and cleared requests
// first. With all set it includes records older than crashSendPeriod.
func (s *suspects) digest(now time.Time, all bool) []*jayv1.CrashNews {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) == 0 {
		return nil
	}
	limit := maxDigestCrashes
	if all {
		limit = maxFullDigestCrashes
	}
	var first, others []*jayv1.CrashNews
	for record, at := range s.records {
		age := now.Sub(at)
		if age >= crashSendPeriod && !all {
			continue
		}
		f := record.crash.Subject
		update := &jayv1.CrashNews{Request: f[:], Server: record.crash.Server, Cleared: record.cleared, AgeMs: uint32(max(0, age.Milliseconds()))} //nolint:gosec // minutes
		if record.cleared || s.registry.Verdict(now, f).Quarantined {
			first = append(first, update)
			continue
		}
		others = append(others, update)
	}
	updates := append(first, others...)
	return updates[:min(len(updates), limit)]
}

// expire removes records past their retention.
func (s *suspects) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Tick(now)
	s.tracked.Store(int64(s.registry.Len()))
	retention := crashSettings().SuspectTTL
	for record, at := range s.records {
		if now.Sub(at) >= retention {
			delete(s.records, record)
		}
	}
}

// mayBeSuspect reports, without hashing the body, whether there may be records of
// the request.
func (s *suspects) mayBeSuspect(hashes *quarantine.Hashes) bool {
	if hashes == nil || s.tracked.Load() == 0 {
		return false
	}
	head := hashes.Head()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.MayContain(head)
}

// verdict returns the quarantine's verdict on a request. A trial that is due
// counts as taken.
func (s *suspects) verdict(now time.Time, f quarantine.Fingerprint) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.registry.Verdict(now, f)
	if verdict.Trial > 0 {
		s.registry.TrialClaimed(now, f, verdict.Trial)
	}
	return verdict
}

func (s *suspects) mayRepeat(f quarantine.Fingerprint, crashed []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.MayRepeat(time.Now(), f, crashed)
}

// checkQuarantine refuses a quarantined request. It returns nil when the request
// may run.
func (e *Entry) checkQuarantine(request *callerRequest) *Error {
	if !e.suspects.mayBeSuspect(request.hashes) {
		return nil
	}
	verdict := e.suspects.verdict(time.Now(), request.hashes.Fingerprint())
	if !verdict.Quarantined || verdict.Trial > 0 {
		return nil
	}
	klog.InfoS("quarantined request refused", "request", request.id, "fingerprint", request.hashes.Fingerprint().String(), "retryAfterMS", verdict.RetryAfter.Milliseconds())
	return refuseTemporarily(http.StatusServiceUnavailable, CodeQuarantined, "engines crashed as they started to run this request; it is not sent again for now", verdict.RetryAfter)
}

// recordCrash records that the engine of the attempt crashed.
func (d *dispatch) recordCrash(a *attempt) {
	if d.request.hashes == nil || !a.end.GetEngineCrashed() {
		return
	}
	engine := a.server + "@" + strconv.FormatUint(a.end.GetIncarnation(), 36)
	d.crashed = append(d.crashed, engine)
	now := time.Now()
	d.entry.suspects.add(now, now, crashRecord{crash: quarantine.Crash{Subject: d.request.hashes.Fingerprint(), Server: engine}})
}

// crashesAllowRepeat reports whether the engine crashes so far allow another
// attempt of the request.
func (e *Entry) crashesAllowRepeat(request *callerRequest, crashed []string) bool {
	return len(crashed) == 0 || e.suspects.mayRepeat(request.hashes.Fingerprint(), crashed)
}

// clearSuspect voids the crash records of a request that ran to completion, at
// all entries.
func (e *Entry) clearSuspect(request *callerRequest) {
	if !e.suspects.mayBeSuspect(request.hashes) {
		return
	}
	now := time.Now()
	e.suspects.add(now, now, crashRecord{crash: quarantine.Crash{Subject: request.hashes.Fingerprint()}, cleared: true})
}
