// Package quarantine decides which requests are kept from backend servers
// because servers crashed while they began to run them. It has no I/O,
// goroutine or clock; callers lock.
//
// A server that crashes takes all its runs with it, so one crash says little of
// any of them. A request is held when servers crashed under it time and again,
// it never ran whole in between, and no other held request accounts for these
// crashes better. What is known is a set of strikes, each a request and a
// lifetime of a server: words of several entries add up in any order, and one
// that comes twice counts once.
package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// Settings of a Book.
type Settings struct {
	// CrashThreshold strikes a request is held.
	CrashThreshold int
	// TrialDelays is how long after the last news of a held request it may be run
	// once more, for each trial; there are no more trials than entries.
	TrialDelays []time.Duration
	// SuspectTTL is how long after the last news a request that is not held is forgotten.
	SuspectTTL time.Duration
	// QuarantineTTL is the same for one that is held.
	QuarantineTTL time.Duration
	// MaxRequests that are remembered.
	MaxRequests int
}

// DefaultSettings bound what one request may end: three servers before it is
// held, and one with each of two trials. Each server takes all its runs with it,
// so trials are rare; a request that is held for no fault of its own ran beside
// the one at fault each time, which its trial shows.
func DefaultSettings() Settings {
	return Settings{
		CrashThreshold: 3,
		TrialDelays:    []time.Duration{5 * time.Minute, time.Hour},
		SuspectTTL:     10 * time.Minute,
		QuarantineTTL:  24 * time.Hour,
		MaxRequests:    4096,
	}
}

// repeatBelow strikes a request may be sent again within one attempt: with two,
// the third server would end by the system's own repeat.
const repeatBelow = 2

const (
	// trialTurn is how long each of several requests in doubt may be tried before
	// the next one: side by side their trials would tell nothing. It covers a
	// server's crash and the word of it to all entries.
	trialTurn = time.Second
	// claimShare of a turn in which its trial may begin.
	claimShare = 0.5
)

// Crash is a lifetime of a server that crashed while a request began to run there.
type Crash struct {
	Request Fingerprint
	// Server is the ID of the lifetime.
	Server string
}

// Verdict on a request.
type Verdict struct {
	// Quarantined: it must not be sent, but for a trial.
	Quarantined bool
	// Trial that may be claimed now, from 1; 0: none.
	Trial int
	// RetryAfter is how long until a trial, or until the request is forgotten.
	RetryAfter time.Duration
}

// Request is what is known of one request, for operators.
type Request struct {
	Fingerprint Fingerprint
	// Servers are the lifetimes that crashed under it, in order.
	Servers []string
	// Unexplained counts those that no other held request accounts for.
	Unexplained int
	Trials      int
	Quarantined bool
	// Uncertain: another held request was there at each crash.
	Uncertain bool
	// LastUpdate is when a strike or a trial was last learned.
	LastUpdate time.Time
}

type record struct {
	servers map[string]bool
	trials  int
	lastAt  time.Time

	held bool
	// doubtSince is when it was first in doubt; zero: it is not. Of so many turns
	// of those it is in doubt with, one is its own.
	doubtSince  time.Time
	turn, turns int
}

func (r *record) doubtful() bool { return !r.doubtSince.IsZero() }

// Registry holds the strikes and what follows from them.
type Registry struct {
	settings Settings
	requests map[Fingerprint]*record
	// heads counts the requests of each head.
	heads map[Head]int
	// heavy are those with enough strikes to be held: no other is judged.
	heavy map[Fingerprint]bool
	// most strikes of a held request at each server that crashed under one.
	most map[string]int
	held int
	// evicted requests, until Tick tells them.
	evicted []Request
}

// NewRegistry makes an empty book.
func NewRegistry(settings Settings) *Registry {
	return &Registry{settings: settings, requests: map[Fingerprint]*record{}, heads: map[Head]int{}, heavy: map[Fingerprint]bool{}}
}

// Len counts the requests of which something is known.
func (b *Registry) Len() int { return len(b.requests) }

// QuarantinedCount counts the requests that are held.
func (b *Registry) QuarantinedCount() int { return b.held }

// MayContain tells whether anything may be known of a request with this head.
func (b *Registry) MayContain(head Head) bool { return b.heads[head] > 0 }

// Contains tells whether the strike was taken in before.
func (b *Registry) Contains(strike Crash) bool {
	r := b.requests[strike.Request]
	return r != nil && r.servers[strike.Server]
}

// CrashCount counts the servers that crashed under a request.
func (b *Registry) CrashCount(f Fingerprint) int {
	if r := b.requests[f]; r != nil {
		return len(r.servers)
	}
	return 0
}

// Add takes in strikes. It returns the requests that are held by them.
func (b *Registry) Add(now time.Time, strikes []Crash) []Fingerprint {
	changed := false
	for _, strike := range strikes {
		r := b.record(strike.Request)
		if r.servers[strike.Server] {
			continue
		}
		r.servers[strike.Server] = true
		r.lastAt = now
		if len(r.servers) >= b.settings.CrashThreshold {
			b.heavy[strike.Request] = true
			changed = true
		}
	}
	if b.evict() {
		changed = true
	}
	if !changed {
		return nil
	}
	return b.judge(now)
}

// Remove takes back one strike.
func (b *Registry) Remove(now time.Time, strike Crash) {
	r := b.requests[strike.Request]
	if r == nil || !r.servers[strike.Server] {
		return
	}
	delete(r.servers, strike.Server)
	if len(r.servers) < b.settings.CrashThreshold {
		delete(b.heavy, strike.Request)
		r.held, r.doubtSince = false, time.Time{}
	}
	b.dropEmpty(strike.Request, r)
	b.judge(now)
}

// TrialClaimed takes in that a trial is claimed.
func (b *Registry) TrialClaimed(now time.Time, f Fingerprint, trial int) {
	r := b.record(f)
	if trial > r.trials {
		r.trials, r.lastAt = trial, now
	}
}

// TrialReleased takes in that a claimed trial did not run the request.
func (b *Registry) TrialReleased(f Fingerprint, trial int) {
	r := b.requests[f]
	if r == nil || r.trials != trial {
		return
	}
	r.trials--
	b.dropEmpty(f, r)
}

// Clear forgets a request: it ran whole, or an operator frees it. It returns
// what was known.
func (b *Registry) Clear(now time.Time, f Fingerprint) (Request, bool) {
	r := b.requests[f]
	if r == nil {
		return Request{}, false
	}
	known := b.request(f, r)
	b.drop(f)
	b.judge(now)
	return known, true
}

// Verdict tells whether a request may be sent.
func (b *Registry) Verdict(now time.Time, f Fingerprint) Verdict {
	r := b.requests[f]
	if r == nil || !r.held {
		return Verdict{}
	}
	wait := b.trialIn(now, r)
	if wait > 0 {
		return Verdict{Quarantined: true, RetryAfter: wait}
	}
	return Verdict{Quarantined: true, Trial: r.trials + 1, RetryAfter: trialTurn}
}

// trialIn is how long until the next trial, or until the request is forgotten. In
// doubt the first trial comes with the request's turn: it tells which of those
// that ran side by side is at fault, and at most one of them is.
func (b *Registry) trialIn(now time.Time, r *record) time.Duration {
	switch {
	case r.trials >= len(b.settings.TrialDelays):
		return r.lastAt.Add(b.settings.QuarantineTTL).Sub(now)
	case r.doubtful() && r.trials == 0:
		return r.turnIn(now)
	}
	return r.lastAt.Add(b.settings.TrialDelays[r.trials]).Sub(now)
}

// turnIn is how long until the request's turn; 0: it has begun just now.
func (r *record) turnIn(now time.Time) time.Duration {
	round := time.Duration(r.turns) * trialTurn
	into := (now.Sub(r.doubtSince) - time.Duration(r.turn)*trialTurn) % round
	if into < 0 {
		into += round
	}
	if float64(into) < claimShare*float64(trialTurn) {
		return 0
	}
	return round - into
}

// MayRepeat tells whether a request may be sent again within one attempt, in
// which it has broken off early at these servers.
func (b *Registry) MayRepeat(f Fingerprint, broken []string) bool {
	strikes := 0
	r := b.requests[f]
	if r != nil {
		strikes = b.unexplained(r)
	}
	for i, server := range broken {
		if (r == nil || !r.servers[server]) && !slices.Contains(broken[:i], server) {
			strikes++
		}
	}
	return strikes < repeatBelow
}

// Tick forgets what is too old, and returns it.
func (b *Registry) Tick(now time.Time) []Request {
	forgotten := b.evicted
	b.evicted = nil
	for f, r := range b.requests {
		life := b.settings.SuspectTTL
		if r.held {
			life = b.settings.QuarantineTTL
		}
		if now.Sub(r.lastAt) >= life {
			forgotten = append(forgotten, b.request(f, r))
			b.drop(f)
		}
	}
	if len(forgotten) > 0 {
		b.judge(now)
	}
	return forgotten
}

// List returns all that is known, the most strikes first.
func (b *Registry) List() []Request {
	list := make([]Request, 0, len(b.requests))
	all := make([]Fingerprint, 0, len(b.requests))
	for f := range b.requests {
		all = append(all, f)
	}
	b.sortByStrikes(all)
	for _, f := range all {
		list = append(list, b.request(f, b.requests[f]))
	}
	return list
}

func (b *Registry) request(f Fingerprint, r *record) Request {
	servers := make([]string, 0, len(r.servers))
	for server := range r.servers {
		servers = append(servers, server)
	}
	slices.Sort(servers)
	return Request{
		Fingerprint: f, Servers: servers, Unexplained: b.unexplained(r), Trials: r.trials,
		Quarantined: r.held, Uncertain: r.doubtful(), LastUpdate: r.lastAt,
	}
}

func (b *Registry) record(f Fingerprint) *record {
	r := b.requests[f]
	if r == nil {
		r = &record{servers: map[string]bool{}}
		b.requests[f] = r
		b.heads[f.Head()]++
	}
	return r
}

func (b *Registry) dropEmpty(f Fingerprint, r *record) {
	if len(r.servers) == 0 && r.trials == 0 {
		b.drop(f)
	}
}

func (b *Registry) drop(f Fingerprint) {
	delete(b.requests, f)
	delete(b.heavy, f)
	if b.heads[f.Head()]--; b.heads[f.Head()] == 0 {
		delete(b.heads, f.Head())
	}
}

// evictShare of a full book is given up at once.
const evictShare = 8

// evict makes room: those that are not held go first, the oldest news first.
// False: there was room.
func (b *Registry) evict() bool {
	if len(b.requests) <= b.settings.MaxRequests {
		return false
	}
	order := make([]Fingerprint, 0, len(b.requests))
	for f := range b.requests {
		order = append(order, f)
	}
	slices.SortFunc(order, func(x, y Fingerprint) int { return b.requests[x].evictedBefore(b.requests[y]) })
	keep := b.settings.MaxRequests - b.settings.MaxRequests/evictShare
	for _, f := range order[:len(order)-keep] {
		b.evicted = append(b.evicted, b.request(f, b.requests[f]))
		b.drop(f)
	}
	return true
}

func (r *record) evictedBefore(other *record) int {
	switch {
	case r.held && !other.held:
		return 1
	case !r.held && other.held:
		return -1
	}
	return r.lastAt.Compare(other.lastAt)
}

func (b *Registry) sortByStrikes(order []Fingerprint) {
	slices.SortFunc(order, func(x, y Fingerprint) int {
		if more := len(b.requests[y].servers) - len(b.requests[x].servers); more != 0 {
			return more
		}
		return bytes.Compare(x[:], y[:])
	})
}

// unexplained counts the crashes that no held request with more strikes accounts for.
func (b *Registry) unexplained(r *record) int {
	n := 0
	for server := range r.servers {
		if b.most[server] <= len(r.servers) {
			n++
		}
	}
	return n
}

// judge works out who is held, from the strikes alone: all entries that know the
// same strikes hold the same requests. A crash under a held request counts for
// no other with fewer strikes. It returns those that were not held before.
func (b *Registry) judge(now time.Time) []Fingerprint {
	order := make([]Fingerprint, 0, len(b.heavy))
	for f := range b.heavy {
		order = append(order, f)
	}
	b.sortByStrikes(order)
	b.most = map[string]int{}
	heldAt := map[string][]Fingerprint{}
	var held, fresh []Fingerprint
	for _, f := range order {
		r := b.requests[f]
		was := r.held
		r.held = b.unexplained(r) >= b.settings.CrashThreshold
		if !r.held {
			r.doubtSince = time.Time{}
			continue
		}
		held = append(held, f)
		for server := range r.servers {
			b.most[server] = max(b.most[server], len(r.servers))
			heldAt[server] = append(heldAt[server], f)
		}
		if !was {
			fresh = append(fresh, f)
		}
	}
	b.held = len(held)
	for _, f := range held {
		b.requests[f].weighDoubt(now, f, heldAt)
	}
	return fresh
}

// weighDoubt finds out whether another held request was there at each crash, and
// gives those in doubt their turns.
func (r *record) weighDoubt(now time.Time, f Fingerprint, heldAt map[string][]Fingerprint) {
	beside := map[Fingerprint]bool{}
	for server := range r.servers {
		if len(heldAt[server]) < 2 {
			r.doubtSince = time.Time{}
			return
		}
		for _, other := range heldAt[server] {
			beside[other] = true
		}
	}
	if r.doubtSince.IsZero() {
		r.doubtSince = now
	}
	r.turn, r.turns = 0, len(beside)
	for other := range beside {
		if bytes.Compare(other[:], f[:]) < 0 {
			r.turn++
		}
	}
}
