package quarantine

import "time"

const (
	// proofWait is how long after a run broke off the proof that its server
	// crashed may come: the list of servers shows it after some missed heartbeats.
	proofWait = 10 * time.Second
	// aliveWait is the same once the server was found to listen: it may have been
	// asked in the moment of its end.
	aliveWait = time.Second
	// maxBroken runs wait for a proof.
	maxBroken = 8192
)

// earlyTime after its first event a run has just begun: a server that a request
// crashes does so while it reads the prompt or makes the first tokens.
const earlyTime = time.Second

// JustBegun tells whether a run had just begun when it broke off. firstAt is when
// its first event came; zero: none did.
func JustBegun(now, firstAt time.Time) bool {
	return firstAt.IsZero() || now.Sub(firstAt) < earlyTime
}

// Interruptions holds runs that broke off early until it is known whether their
// servers crashed: a stream is cut by much else.
type Interruptions struct {
	// waiting are the requests by the lifetime, with when they are given up.
	waiting map[string]map[Fingerprint]time.Time
	// heads counts the runs that wait, by the heads of their requests.
	heads map[Head]int
	count int
	// crashed lifetimes, with when that is forgotten: an entry may hear of a crash
	// before its own run there breaks off.
	crashed map[string]time.Time
}

// NewInterruptions makes an empty one.
func NewInterruptions() *Interruptions {
	return &Interruptions{waiting: map[string]map[Fingerprint]time.Time{}, heads: map[Head]int{}, crashed: map[string]time.Time{}}
}

// Add takes in that a run broke off early. True: its server is known to have crashed.
func (b *Interruptions) Add(now time.Time, run Crash) bool {
	if _, ok := b.crashed[run.Server]; ok {
		return true
	}
	if b.count >= maxBroken {
		return false
	}
	at := b.waiting[run.Server]
	if at == nil {
		at = map[Fingerprint]time.Time{}
		b.waiting[run.Server] = at
	}
	if _, ok := at[run.Request]; !ok {
		b.count++
		b.heads[run.Request.Head()]++
	}
	at[run.Request] = now.Add(proofWait)
	return false
}

// ServerCrashed takes in the proof that a lifetime crashed and returns its strikes.
func (b *Interruptions) ServerCrashed(now time.Time, server string) []Crash {
	b.crashed[server] = now.Add(proofWait)
	var strikes []Crash
	for request := range b.waiting[server] {
		strikes = append(strikes, Crash{Request: request, Server: server})
	}
	b.forget(server)
	return strikes
}

// Len counts the runs that wait for a proof.
func (b *Interruptions) Len() int { return b.count }

// MayContain tells whether a run of a request with this head may wait.
func (b *Interruptions) MayContain(head Head) bool { return b.heads[head] > 0 }

// Completed takes in that a request ran whole: no crash from before is laid to it.
func (b *Interruptions) Completed(request Fingerprint) {
	for server, at := range b.waiting {
		if _, ok := at[request]; ok {
			b.remove(server, request)
		}
	}
}

// ServerDrained takes in that a lifetime ended as planned.
func (b *Interruptions) ServerDrained(server string) { b.forget(server) }

// ServerListening takes in that the server listens.
func (b *Interruptions) ServerListening(now time.Time, server string) {
	until := now.Add(aliveWait)
	for request, at := range b.waiting[server] {
		if at.After(until) {
			b.waiting[server][request] = until
		}
	}
}

// Tick gives up runs for which no proof came.
func (b *Interruptions) Tick(now time.Time) {
	for server, at := range b.waiting {
		for request, until := range at {
			if !now.Before(until) {
				b.remove(server, request)
			}
		}
	}
	for server, until := range b.crashed {
		if !now.Before(until) {
			delete(b.crashed, server)
		}
	}
}

func (b *Interruptions) forget(server string) {
	for request := range b.waiting[server] {
		b.remove(server, request)
	}
}

func (b *Interruptions) remove(server string, request Fingerprint) {
	b.count--
	if b.heads[request.Head()]--; b.heads[request.Head()] == 0 {
		delete(b.heads, request.Head())
	}
	delete(b.waiting[server], request)
	if len(b.waiting[server]) == 0 {
		delete(b.waiting, server)
	}
}
