package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/quarantine"
)

// suspects is what an entry believes of requests under which servers crashed,
// and what of it others are still to be told. It does no I/O. Its lock may be
// taken while the state's is held, never the other way round.
type suspects struct {
	// known counts the requests in the book and the runs that wait for a proof:
	// while it is 0 no request is hashed.
	tracked atomic.Int64
	// wake tells that there is something to spread.
	publish chan struct{}

	mu            sync.Mutex
	book          *quarantine.Book
	interruptions *quarantine.Breaks
	// asked are the lifetimes that are being asked whether they listen.
	probing map[string]bool
	// untold strikes and cleared requests, for datagrams.
	unsent        []quarantine.Strike
	unsentCleared []quarantine.Fingerprint
	// unwritten rows by their keys; false: to be removed.
	unwrittenRows map[string]bool
}

// maxUnwritten rows wait for the store. Others count only with those who were told.
const maxUnwrittenRows = 4096

func newSuspects() *suspects {
	return &suspects{
		book: quarantine.NewBook(quarantine.DefaultSettings()), interruptions: quarantine.NewBreaks(),
		probing: map[string]bool{}, unwrittenRows: map[string]bool{}, publish: make(chan struct{}, 1),
	}
}

// broke takes in that a run broke off early.
func (s *suspects) runInterrupted(now time.Time, run quarantine.Strike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interruptions.Broke(now, run) {
		s.recordOwnCrashesLocked(now, []quarantine.Strike{run})
	}
	s.updateTrackedLocked()
}

func (s *suspects) updateTrackedLocked() {
	s.tracked.Store(int64(s.book.Len() + s.interruptions.Len()))
}

// crashed takes in the proof that a lifetime of a server crashed.
func (s *suspects) serverCrashed(now time.Time, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordOwnCrashesLocked(now, s.interruptions.Crashed(now, server))
	s.updateTrackedLocked()
}

// left takes in that a lifetime ended as planned.
func (s *suspects) serverEnded(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interruptions.Left(server)
	s.updateTrackedLocked()
}

// mayAsk tells whether a server is to be asked if it listens; nobody else here
// does so at the moment. answered ends that.
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
		s.interruptions.Alive(now, server)
	}
}

// struckLocked takes in strikes that this entry saw.
func (s *suspects) recordOwnCrashesLocked(now time.Time, strikes []quarantine.Strike) {
	if len(strikes) == 0 {
		return
	}
	s.addCrashesLocked(now, strikes, "own")
	for _, strike := range strikes {
		s.unsent = append(s.unsent, strike)
		s.queueRowLocked(crashKey(strike), true)
	}
	s.signalPublish()
}

// addLocked takes in strikes from any source. Most come from several.
func (s *suspects) addCrashesLocked(now time.Time, strikes []quarantine.Strike, source string) {
	strikes = slices.DeleteFunc(slices.Clone(strikes), s.book.Knows)
	held := s.book.Add(now, strikes)
	s.updateTrackedLocked()
	for _, strike := range strikes {
		klog.InfoS("Server crashed under request", "fingerprint", strike.Request.String(), "server", strike.Server, "source", source)
	}
	for _, f := range held {
		v := s.book.Verdict(now, f)
		klog.InfoS("Request held", "fingerprint", f.String(), "source", source, "trial", v.Trial, "retryAfterMS", v.RetryAfter.Milliseconds())
	}
}

// heard takes in the words of another entry.
func (s *suspects) receive(now time.Time, strikes []quarantine.Strike, cleared []quarantine.Fingerprint, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addCrashesLocked(now, strikes, source)
	for _, f := range cleared {
		s.clearLocked(f, source)
	}
}

// rowPut and rowGone take in rows of the store.
func (s *suspects) rowPut(now time.Time, row suspectRow, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.trial > 0 {
		s.book.Tried(now, row.crash.Request, row.trial)
		s.updateTrackedLocked()
		return
	}
	s.addCrashesLocked(now, []quarantine.Strike{row.crash}, source)
}

func (s *suspects) rowRemoved(row suspectRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.trial > 0 {
		s.book.TrialReleased(row.crash.Request, row.trial)
	} else {
		s.book.Remove(time.Now(), row.crash)
	}
	s.updateTrackedLocked()
}

// clear forgets a request everywhere: it ran whole, or an operator frees it.
// False: nothing was known of it.
func (s *suspects) clear(f quarantine.Fingerprint, why string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	request, ok := s.clearLocked(f, why)
	if !ok {
		return false
	}
	s.removeRowsLocked(request)
	s.unsentCleared = append(s.unsentCleared, f)
	s.signalPublish()
	return true
}

func (s *suspects) clearLocked(f quarantine.Fingerprint, why string) (quarantine.Request, bool) {
	s.interruptions.RanWhole(f)
	defer s.updateTrackedLocked()
	request, ok := s.book.Clear(time.Now(), f)
	if !ok {
		return request, false
	}
	for _, strike := range crashesOf(request) {
		delete(s.unwrittenRows, crashKey(strike))
	}
	klog.InfoS("Request cleared", "fingerprint", f.String(), "why", why, "held", request.Held, "servers", request.Servers, "trials", request.Trials)
	return request, true
}

// removeRowsLocked has all rows of a request removed from the store.
func (s *suspects) removeRowsLocked(request quarantine.Request) {
	for _, strike := range crashesOf(request) {
		s.queueRowLocked(crashKey(strike), false)
	}
	for trial := 1; trial <= request.Trials; trial++ {
		s.queueRowLocked(trialKey(request.Fingerprint, trial), false)
	}
}

func (s *suspects) queueRowLocked(key string, put bool) {
	if len(s.unwrittenRows) >= maxUnwrittenRows {
		klog.InfoS("Row of a suspected request not written: too many wait", "row", key)
		return
	}
	s.unwrittenRows[key] = put
}

func (s *suspects) signalPublish() {
	select {
	case s.publish <- struct{}{}:
	default:
	}
}

// mayKnow tells, without hashing a body, whether something may be known of a request.
func (s *suspects) mayBeSuspect(hashes *quarantine.Hashes) bool {
	if s.tracked.Load() == 0 {
		return false
	}
	head := hashes.Head()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.MayKnow(head) || s.interruptions.MayKnow(head)
}

func (s *suspects) verdict(now time.Time, f quarantine.Fingerprint) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Verdict(now, f)
}

func (s *suspects) crashCount(f quarantine.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Strikes(f)
}

func (s *suspects) mayRepeat(f quarantine.Fingerprint, broken []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.MayRepeat(f, broken)
}

// tried takes in that this entry claimed a trial, released that it did not run.
func (s *suspects) trialClaimed(now time.Time, f quarantine.Fingerprint, trial int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Tried(now, f, trial)
}

func (s *suspects) trialReleased(f quarantine.Fingerprint, trial int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.TrialReleased(f, trial)
	s.queueRowLocked(trialKey(f, trial), false)
	s.signalPublish()
}

// list is for operators; counts for metrics.
func (s *suspects) list() []quarantine.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.List()
}

func (s *suspects) counts() (known, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Len(), s.book.Held()
}

// tick forgets what is too old. One entry removes its rows for all.
func (s *suspects) tick(now time.Time, removes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interruptions.Tick(now)
	forgotten := s.book.Tick(now)
	s.updateTrackedLocked()
	for _, request := range forgotten {
		klog.InfoS("Request forgotten", "fingerprint", request.Fingerprint.String(), "held", request.Held, "servers", request.Servers)
		if removes {
			s.removeRowsLocked(request)
			s.signalPublish()
		}
	}
}

// takeUntold returns what others are still to be told by datagrams. Of more than
// most strikes only those of requests that have another one are told: the store
// tells the rest in time.
func (s *suspects) takeUnsent(most int) ([]quarantine.Strike, []quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	strikes := s.unsent
	if len(strikes) > most {
		strikes = slices.DeleteFunc(strikes, func(one quarantine.Strike) bool { return s.book.Strikes(one.Request) < 2 })
	}
	cleared := s.unsentCleared
	s.unsent, s.unsentCleared = nil, nil
	return strikes, cleared
}

// takeUnwritten returns some of the rows that wait for the store.
func (s *suspects) takeUnwritten(most int) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := map[string]bool{}
	for key, put := range s.unwrittenRows {
		if len(rows) == most {
			break
		}
		rows[key] = put
		delete(s.unwrittenRows, key)
	}
	return rows
}

// giveBack puts rows that were not written back, unless newer words wait.
func (s *suspects) requeueRows(rows map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, put := range rows {
		if _, ok := s.unwrittenRows[key]; !ok {
			s.queueRowLocked(key, put)
		}
	}
}

func crashesOf(request quarantine.Request) []quarantine.Strike {
	strikes := make([]quarantine.Strike, 0, len(request.Servers))
	for _, server := range request.Servers {
		strikes = append(strikes, quarantine.Strike{Request: request.Fingerprint, Server: server})
	}
	return strikes
}
