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
	// crashNewsLife is how long a word rides on every digest: by then it has
	// reached all entries.
	crashNewsLife = 15 * time.Second
	// maxCrashNews bounds what a digest carries, maxAllCrashNews what one carries
	// to a process that may have just started.
	maxCrashNews    = 8
	maxAllCrashNews = 24
	// wordDrift is by how much the time of a word may come out later at each
	// process that it came through.
	wordDrift = time.Second
	// maxCrashWords are kept to be told.
	maxCrashWords = 4096
)

// crashSettings hold a request for ten minutes. The first trial is local: there
// is no row to claim it by, so only those in doubt have one.
func crashSettings() quarantine.Settings {
	settings := quarantine.DefaultSettings()
	settings.TrialDelays = []time.Duration{settings.SuspectTTL}
	settings.QuarantineTTL = settings.SuspectTTL
	return settings
}

// crashWord is one word on a request, as it is told on.
type crashWord struct {
	strike  quarantine.Crash
	cleared bool
}

// crashes is what an entry knows of requests under which engines crashed. Words
// ride on the digests that entries exchange anyway. Safe for concurrent use.
type crashes struct {
	// known counts the requests: while it is 0 no request is hashed.
	known atomic.Int64

	mu   sync.Mutex
	book *quarantine.Registry
	// words by when their evidence came up.
	words map[crashWord]time.Time
}

func newCrashes() *crashes {
	return &crashes{book: quarantine.NewRegistry(crashSettings()), words: map[crashWord]time.Time{}}
}

// take takes in a word from any source. One that is older than the request's last
// whole run says nothing.
func (c *crashes) take(now, at time.Time, word crashWord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.words[word]
	if ok && (!word.cleared || !at.After(known.Add(wordDrift))) {
		return
	}
	f := word.strike.Request
	cleared := c.words[crashWord{strike: quarantine.Crash{Request: f}, cleared: true}]
	if !word.cleared && !at.After(cleared.Add(wordDrift)) || len(c.words) >= maxCrashWords {
		return
	}
	c.words[word] = at
	if word.cleared {
		c.clearLocked(now, at, f)
	} else {
		c.strikeLocked(now, word.strike)
	}
	c.known.Store(int64(c.book.Len()))
}

func (c *crashes) strikeLocked(now time.Time, strike quarantine.Crash) {
	held := c.book.Add(now, []quarantine.Crash{strike})
	klog.InfoS("engine crashed under request", "fingerprint", strike.Request.String(), "engine", strike.Server)
	for _, f := range held {
		klog.InfoS("request held", "fingerprint", f.String())
	}
}

func (c *crashes) clearLocked(now, at time.Time, f quarantine.Fingerprint) {
	for word, said := range c.words {
		if word.strike.Request == f && !word.cleared && !said.After(at) {
			delete(c.words, word)
		}
	}
	if request, ok := c.book.Clear(now, f); ok {
		klog.InfoS("request cleared: it ran whole", "fingerprint", f.String(), "engines", request.Servers)
	}
}

// heard takes in another process's words.
func (c *crashes) heard(now time.Time, news []*jayv1.CrashNews) {
	for _, one := range news {
		if len(one.GetRequest()) != len(quarantine.Fingerprint{}) {
			continue
		}
		word := crashWord{strike: quarantine.Crash{Request: quarantine.Fingerprint(one.GetRequest()), Server: one.GetServer()}, cleared: one.GetCleared()}
		c.take(now, now.Add(-time.Duration(one.GetAgeMs())*time.Millisecond), word)
	}
}

// tell returns words for a digest. Those that hold a request go first.
func (c *crashes) tell(now time.Time, all bool) []*jayv1.CrashNews {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.words) == 0 {
		return nil
	}
	most := maxCrashNews
	if all {
		most = maxAllCrashNews
	}
	var held, others []*jayv1.CrashNews
	for word, at := range c.words {
		age := now.Sub(at)
		if age >= crashNewsLife && !all {
			continue
		}
		f := word.strike.Request
		one := &jayv1.CrashNews{Request: f[:], Server: word.strike.Server, Cleared: word.cleared, AgeMs: uint32(max(0, age.Milliseconds()))} //nolint:gosec // minutes
		if word.cleared || c.book.Verdict(now, f).Quarantined {
			held = append(held, one)
			continue
		}
		others = append(others, one)
	}
	news := append(held, others...)
	return news[:min(len(news), most)]
}

// tick forgets what is too old.
func (c *crashes) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.book.Tick(now)
	c.known.Store(int64(c.book.Len()))
	life := crashSettings().SuspectTTL
	for word, at := range c.words {
		if now.Sub(at) >= life {
			delete(c.words, word)
		}
	}
}

// mayKnow tells, without hashing a body, whether something may be known.
func (c *crashes) mayKnow(hashes *quarantine.Hashes) bool {
	if hashes == nil || c.known.Load() == 0 {
		return false
	}
	head := hashes.Head()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.book.MayContain(head)
}

// verdict on a request. A trial that is due is taken.
func (c *crashes) verdict(now time.Time, f quarantine.Fingerprint) quarantine.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.book.Verdict(now, f)
	if v.Trial > 0 {
		c.book.TrialClaimed(now, f, v.Trial)
	}
	return v
}

func (c *crashes) mayRepeat(f quarantine.Fingerprint, crashed []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.book.MayRepeat(f, crashed)
}

// heldBack refuses a request under which engines crashed; nil: it may run.
func (e *Entry) heldBack(w *work) *Error {
	if !e.crashes.mayKnow(w.hashes) {
		return nil
	}
	v := e.crashes.verdict(time.Now(), w.hashes.Fingerprint())
	if !v.Quarantined || v.Trial > 0 {
		return nil
	}
	klog.InfoS("request held back", "request", w.id, "fingerprint", w.hashes.Fingerprint().String(), "retryAfterMS", v.RetryAfter.Milliseconds())
	return refuseForNow(http.StatusServiceUnavailable, CodeHeld, "engines crashed while they began to run this request", v.RetryAfter)
}

// noteCrash takes in that an attempt's engine crashed.
func (h *handing) noteCrash(a *attempt) {
	if h.work.hashes == nil || !a.end.GetEngineCrashed() {
		return
	}
	engine := a.server + "@" + strconv.FormatUint(a.end.GetIncarnation(), 36)
	h.crashed = append(h.crashed, engine)
	now := time.Now()
	h.entry.crashes.take(now, now, crashWord{strike: quarantine.Crash{Request: h.work.hashes.Fingerprint(), Server: engine}})
}

// crashesAllowRepeat tells whether a request may be started again as far as the
// crashes of engines are concerned.
func (e *Entry) crashesAllowRepeat(w *work, crashed []string) bool {
	return len(crashed) == 0 || e.crashes.mayRepeat(w.hashes.Fingerprint(), crashed)
}

// ranWhole clears a request at all entries.
func (e *Entry) ranWhole(w *work) {
	if !e.crashes.mayKnow(w.hashes) {
		return
	}
	now := time.Now()
	e.crashes.take(now, now, crashWord{strike: quarantine.Crash{Request: w.hashes.Fingerprint()}, cleared: true})
}
