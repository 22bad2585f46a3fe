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
// so only requests that are possibly not the cause of their crashes get one.
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

// crashes holds the records of requests under which engines crashed. Entries
// exchange them in their gossip digests. Safe for concurrent use.
type crashes struct {
	// suspects counts the requests with crash records; while it is 0 no request
	// is hashed.
	suspects atomic.Int64

	mu       sync.Mutex
	registry *quarantine.Registry
	// records maps each record to the time of its crash or complete run.
	records map[crashRecord]time.Time
}

func newCrashes() *crashes {
	return &crashes{registry: quarantine.NewRegistry(crashSettings()), records: map[crashRecord]time.Time{}}
}

// add adds a record from any source. A crash from before the request's last
// complete run is ignored.
func (c *crashes) add(now, at time.Time, record crashRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	knownAt, ok := c.records[record]
	if ok && (!record.cleared || !at.After(knownAt.Add(recordTimeError))) {
		return
	}
	f := record.crash.Request
	clearedAt := c.records[crashRecord{crash: quarantine.Crash{Request: f}, cleared: true}]
	if !record.cleared && !at.After(clearedAt.Add(recordTimeError)) || len(c.records) >= maxCrashRecords {
		return
	}
	c.records[record] = at
	if record.cleared {
		c.clearLocked(now, at, f)
	} else {
		c.addCrashLocked(now, record.crash)
	}
	c.suspects.Store(int64(c.registry.Len()))
}

func (c *crashes) addCrashLocked(now time.Time, crash quarantine.Crash) {
	quarantined := c.registry.Add(now, []quarantine.Crash{crash})
	klog.InfoS("engine crashed under request", "fingerprint", crash.Request.String(), "engine", crash.Server)
	for _, f := range quarantined {
		klog.InfoS("request quarantined", "fingerprint", f.String())
	}
}

func (c *crashes) clearLocked(now, at time.Time, f quarantine.Fingerprint) {
	for record, recordedAt := range c.records {
		if record.crash.Request == f && !record.cleared && !recordedAt.After(at) {
			delete(c.records, record)
		}
	}
	if request, ok := c.registry.Clear(now, f); ok {
		klog.InfoS("request cleared: it ran to completion", "fingerprint", f.String(), "engines", request.Servers)
	}
}

// receive adds the records of another process's digest.
func (c *crashes) receive(now time.Time, updates []*jayv1.CrashNews) {
	for _, update := range updates {
		if len(update.GetRequest()) != len(quarantine.Fingerprint{}) {
			continue
		}
		record := crashRecord{crash: quarantine.Crash{Request: quarantine.Fingerprint(update.GetRequest()), Server: update.GetServer()}, cleared: update.GetCleared()}
		c.add(now, now.Add(-time.Duration(update.GetAgeMs())*time.Millisecond), record)
	}
}

// digest returns records for a digest, those of quarantined and cleared requests
// first. With all set it includes records older than crashSendPeriod.
func (c *crashes) digest(now time.Time, all bool) []*jayv1.CrashNews {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.records) == 0 {
		return nil
	}
	limit := maxDigestCrashes
	if all {
		limit = maxFullDigestCrashes
	}
	var first, others []*jayv1.CrashNews
	for record, at := range c.records {
		age := now.Sub(at)
		if age >= crashSendPeriod && !all {
			continue
		}
		f := record.crash.Request
		update := &jayv1.CrashNews{Request: f[:], Server: record.crash.Server, Cleared: record.cleared, AgeMs: uint32(max(0, age.Milliseconds()))} //nolint:gosec // minutes
		if record.cleared || c.registry.Verdict(now, f).Quarantined {
			first = append(first, update)
			continue
		}
		others = append(others, update)
	}
	updates := append(first, others...)
	return updates[:min(len(updates), limit)]
}

// expire removes records past their retention.
func (c *crashes) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.Tick(now)
	c.suspects.Store(int64(c.registry.Len()))
	retention := crashSettings().SuspectTTL
	for record, at := range c.records {
		if now.Sub(at) >= retention {
			delete(c.records, record)
		}
	}
}

// maySuspect reports, without hashing the body, whether there may be records of
// the request.
func (c *crashes) maySuspect(hashes *quarantine.Hashes) bool {
	if hashes == nil || c.suspects.Load() == 0 {
		return false
	}
	head := hashes.Head()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.MayContain(head)
}

// verdict returns the quarantine's verdict on a request. A trial that is due
// counts as taken.
func (c *crashes) verdict(now time.Time, f quarantine.Fingerprint) quarantine.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict := c.registry.Verdict(now, f)
	if verdict.Trial > 0 {
		c.registry.TrialClaimed(now, f, verdict.Trial)
	}
	return verdict
}

func (c *crashes) mayRepeat(f quarantine.Fingerprint, crashed []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.MayRepeat(f, crashed)
}

// checkQuarantine refuses a quarantined request. It returns nil when the request
// may run.
func (e *Entry) checkQuarantine(request *callerRequest) *Error {
	if !e.crashes.maySuspect(request.hashes) {
		return nil
	}
	verdict := e.crashes.verdict(time.Now(), request.hashes.Fingerprint())
	if !verdict.Quarantined || verdict.Trial > 0 {
		return nil
	}
	klog.InfoS("request refused: it is quarantined after engine crashes", "request", request.id, "fingerprint", request.hashes.Fingerprint().String(), "retryAfterMS", verdict.RetryAfter.Milliseconds())
	return refuseTemporarily(http.StatusServiceUnavailable, CodeHeld, "engines crashed as they started to run this request; it is not sent again for now", verdict.RetryAfter)
}

// recordCrash records that the engine of the attempt crashed.
func (d *dispatch) recordCrash(a *attempt) {
	if d.request.hashes == nil || !a.end.GetEngineCrashed() {
		return
	}
	engine := a.server + "@" + strconv.FormatUint(a.end.GetIncarnation(), 36)
	d.crashed = append(d.crashed, engine)
	now := time.Now()
	d.entry.crashes.add(now, now, crashRecord{crash: quarantine.Crash{Request: d.request.hashes.Fingerprint(), Server: engine}})
}

// crashesAllowRepeat reports whether the engine crashes so far allow another
// attempt of the request.
func (e *Entry) crashesAllowRepeat(request *callerRequest, crashed []string) bool {
	return len(crashed) == 0 || e.crashes.mayRepeat(request.hashes.Fingerprint(), crashed)
}

// clearSuspect voids the crash records of a request that ran to completion, at
// all entries.
func (e *Entry) clearSuspect(request *callerRequest) {
	if !e.crashes.maySuspect(request.hashes) {
		return
	}
	now := time.Now()
	e.crashes.add(now, now, crashRecord{crash: quarantine.Crash{Request: request.hashes.Fingerprint()}, cleared: true})
}
