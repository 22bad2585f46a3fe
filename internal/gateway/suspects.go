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
	known atomic.Int64
	// wake tells that there is something to spread.
	wake chan struct{}

	mu     sync.Mutex
	book   *quarantine.Registry
	breaks *quarantine.Interruptions
	// asked are the lifetimes that are being asked whether they listen.
	asked map[string]bool
	// untold strikes and cleared requests, for datagrams.
	untold        []quarantine.Crash
	untoldCleared []quarantine.Fingerprint
	// unwritten rows by their keys; false: to be removed.
	unwritten map[string]bool
}

// maxUnwritten rows wait for the store. Others count only with those who were told.
const maxUnwritten = 4096

func newSuspects() *suspects {
	return &suspects{
		book: quarantine.NewRegistry(quarantine.DefaultSettings()), breaks: quarantine.NewInterruptions(),
		asked: map[string]bool{}, unwritten: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// broke takes in that a run broke off early.
func (s *suspects) broke(now time.Time, run quarantine.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.breaks.Add(now, run) {
		s.struckLocked(now, []quarantine.Crash{run})
	}
	s.countLocked()
}

func (s *suspects) countLocked() { s.known.Store(int64(s.book.Len() + s.breaks.Len())) }

// crashed takes in the proof that a lifetime of a server crashed.
func (s *suspects) crashed(now time.Time, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.struckLocked(now, s.breaks.ServerCrashed(now, server))
	s.countLocked()
}

// left takes in that a lifetime ended as planned.
func (s *suspects) left(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaks.ServerDrained(server)
	s.countLocked()
}

// mayAsk tells whether a server is to be asked if it listens; nobody else here
// does so at the moment. answered ends that.
func (s *suspects) mayAsk(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asked[server] {
		return false
	}
	s.asked[server] = true
	return true
}

func (s *suspects) answered(now time.Time, server string, alive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asked, server)
	if alive {
		s.breaks.ServerListening(now, server)
	}
}

// struckLocked takes in strikes that this entry saw.
func (s *suspects) struckLocked(now time.Time, strikes []quarantine.Crash) {
	if len(strikes) == 0 {
		return
	}
	s.addLocked(now, strikes, "own")
	for _, strike := range strikes {
		s.untold = append(s.untold, strike)
		s.writeLocked(strikeKey(strike), true)
	}
	s.wakeUp()
}

// addLocked takes in strikes from any source. Most come from several.
func (s *suspects) addLocked(now time.Time, strikes []quarantine.Crash, source string) {
	strikes = slices.DeleteFunc(slices.Clone(strikes), s.book.Contains)
	held := s.book.Add(now, strikes)
	s.countLocked()
	for _, strike := range strikes {
		klog.InfoS("Server crashed under request", "fingerprint", strike.Request.String(), "server", strike.Server, "source", source)
	}
	for _, f := range held {
		v := s.book.Verdict(now, f)
		klog.InfoS("Request held", "fingerprint", f.String(), "source", source, "trial", v.Trial, "retryAfterMS", v.RetryAfter.Milliseconds())
	}
}

// heard takes in the words of another entry.
func (s *suspects) heard(now time.Time, strikes []quarantine.Crash, cleared []quarantine.Fingerprint, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(now, strikes, source)
	for _, f := range cleared {
		s.clearLocked(f, source)
	}
}

// rowPut and rowGone take in rows of the store.
func (s *suspects) rowPut(now time.Time, row suspectRow, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.trial > 0 {
		s.book.TrialClaimed(now, row.strike.Request, row.trial)
		s.countLocked()
		return
	}
	s.addLocked(now, []quarantine.Crash{row.strike}, source)
}

func (s *suspects) rowGone(row suspectRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.trial > 0 {
		s.book.TrialReleased(row.strike.Request, row.trial)
	} else {
		s.book.Remove(time.Now(), row.strike)
	}
	s.countLocked()
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
	s.untoldCleared = append(s.untoldCleared, f)
	s.wakeUp()
	return true
}

func (s *suspects) clearLocked(f quarantine.Fingerprint, why string) (quarantine.Request, bool) {
	s.breaks.Completed(f)
	defer s.countLocked()
	request, ok := s.book.Clear(time.Now(), f)
	if !ok {
		return request, false
	}
	for _, strike := range strikesOf(request) {
		delete(s.unwritten, strikeKey(strike))
	}
	klog.InfoS("Request cleared", "fingerprint", f.String(), "why", why, "held", request.Quarantined, "servers", request.Servers, "trials", request.Trials)
	return request, true
}

// removeRowsLocked has all rows of a request removed from the store.
func (s *suspects) removeRowsLocked(request quarantine.Request) {
	for _, strike := range strikesOf(request) {
		s.writeLocked(strikeKey(strike), false)
	}
	for trial := 1; trial <= request.Trials; trial++ {
		s.writeLocked(trialKey(request.Fingerprint, trial), false)
	}
}

func (s *suspects) writeLocked(key string, put bool) {
	if len(s.unwritten) >= maxUnwritten {
		klog.InfoS("Row of a suspected request not written: too many wait", "row", key)
		return
	}
	s.unwritten[key] = put
}

func (s *suspects) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// mayKnow tells, without hashing a body, whether something may be known of a request.
func (s *suspects) mayKnow(hashes *quarantine.Hashes) bool {
	if s.known.Load() == 0 {
		return false
	}
	head := hashes.Head()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.MayContain(head) || s.breaks.MayContain(head)
}

func (s *suspects) verdict(now time.Time, f quarantine.Fingerprint) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Verdict(now, f)
}

func (s *suspects) strikes(f quarantine.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.CrashCount(f)
}

func (s *suspects) mayRepeat(f quarantine.Fingerprint, broken []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.MayRepeat(f, broken)
}

// tried takes in that this entry claimed a trial, released that it did not run.
func (s *suspects) tried(now time.Time, f quarantine.Fingerprint, trial int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.TrialClaimed(now, f, trial)
}

func (s *suspects) released(f quarantine.Fingerprint, trial int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.TrialReleased(f, trial)
	s.writeLocked(trialKey(f, trial), false)
	s.wakeUp()
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
	return s.book.Len(), s.book.QuarantinedCount()
}

// tick forgets what is too old. One entry removes its rows for all.
func (s *suspects) tick(now time.Time, removes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaks.Tick(now)
	forgotten := s.book.Tick(now)
	s.countLocked()
	for _, request := range forgotten {
		klog.InfoS("Request forgotten", "fingerprint", request.Fingerprint.String(), "held", request.Quarantined, "servers", request.Servers)
		if removes {
			s.removeRowsLocked(request)
			s.wakeUp()
		}
	}
}

// takeUntold returns what others are still to be told by datagrams. Of more than
// most strikes only those of requests that have another one are told: the store
// tells the rest in time.
func (s *suspects) takeUntold(most int) ([]quarantine.Crash, []quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	strikes := s.untold
	if len(strikes) > most {
		strikes = slices.DeleteFunc(strikes, func(one quarantine.Crash) bool { return s.book.CrashCount(one.Request) < 2 })
	}
	cleared := s.untoldCleared
	s.untold, s.untoldCleared = nil, nil
	return strikes, cleared
}

// takeUnwritten returns some of the rows that wait for the store.
func (s *suspects) takeUnwritten(most int) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := map[string]bool{}
	for key, put := range s.unwritten {
		if len(rows) == most {
			break
		}
		rows[key] = put
		delete(s.unwritten, key)
	}
	return rows
}

// giveBack puts rows that were not written back, unless newer words wait.
func (s *suspects) giveBack(rows map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, put := range rows {
		if _, ok := s.unwritten[key]; !ok {
			s.writeLocked(key, put)
		}
	}
}

func strikesOf(request quarantine.Request) []quarantine.Crash {
	strikes := make([]quarantine.Crash, 0, len(request.Servers))
	for _, server := range request.Servers {
		strikes = append(strikes, quarantine.Crash{Request: request.Fingerprint, Server: server})
	}
	return strikes
}
