// Package serverlimit knows which backend servers have named a limit on the requests per
// second that they take from all entries together. How much of it an entry may use is
// decided by package quota. It does no I/O, starts no goroutine and reads no clock;
// callers provide the locking.
//
// Order. Responses overtake each other, and reports of other entries are late, so a
// statement is ordered by the request whose response brought it: the server made it at
// some time between the sending of the request and the arrival of the response. A limit
// ends by a response without one whose request was sent after the last response that
// named it had arrived. Where the order of two statements is not known, the limit holds.
package serverlimit

import (
	"time"

	"github.com/jayproxy/jayproxy/internal/quota"
)

const (
	// RequestUnits is the cost of one request in the units of Cap. Messages between
	// entries carry whole units, and an entry's part of a limit is less than a request.
	RequestUnits = 1000
	// minPerSecond is the least rate of requests to a limited server: the end of a limit
	// shows in a response only.
	minPerSecond = 0.05
	// transitTime bounds how long a report of another entry is on its way.
	transitTime = 100 * time.Millisecond
	// MinPause is the least time for which an entry does not use a server whose limit is
	// used up, maxBlindPause the longest if the state of the limit is not known.
	MinPause      = 60 * time.Millisecond
	maxBlindPause = 300 * time.Millisecond
	// endedTime is how long the end of a limit is reported to other entries.
	endedTime = 10 * time.Second
)

// Statement is what a server said of its limit in a response.
type Statement struct {
	// Limited: the response names a limit, of PerSecond requests.
	Limited   bool
	PerSecond float64
	// SentAt is when the request was sent, ReceivedAt when the head of the response
	// arrived.
	SentAt, ReceivedAt time.Time
}

// Change is the effect of a statement.
type Change int

// The changes.
const (
	Unchanged Change = iota
	// Named: the server has a limit, or another one than before.
	Named
	// Ended: the server has no limit any more.
	Ended
)

// server is the state of a server that has named a limit.
type server struct {
	Statement
	// pausedUntil is when this entry may send to the server again.
	pausedUntil time.Time
}

// Limits holds the servers that have named a limit, by the account under which their
// requests are counted. The zero value is not usable; see New.
type Limits struct{ servers map[quota.Account]*server }

// New returns Limits without a server.
func New() *Limits { return &Limits{servers: map[quota.Account]*server{}} }

// Empty reports whether no server has named a limit lately.
func (l *Limits) Empty() bool { return len(l.servers) == 0 }

// Observe applies a statement of a response to this entry.
func (l *Limits) Observe(id quota.Account, s Statement) Change {
	known := l.servers[id]
	switch {
	case known == nil && !s.Limited:
		return Unchanged
	case known == nil:
		l.servers[id] = &server{Statement: s}
		return Named
	case s.Limited:
		return known.name(s)
	}
	return known.end(s)
}

// name applies a statement that names a limit.
func (k *server) name(s Statement) Change {
	later := !s.SentAt.Before(k.ReceivedAt)
	switch {
	case !s.ReceivedAt.After(k.SentAt):
		return Unchanged // The server has made another statement since.
	case k.Limited && !later && s.PerSecond >= k.PerSecond:
		k.SentAt, k.ReceivedAt = maxTime(k.SentAt, s.SentAt), maxTime(k.ReceivedAt, s.ReceivedAt)
		return Unchanged
	}
	change := Unchanged
	if !k.Limited || k.PerSecond != s.PerSecond {
		change = Named
	}
	s.ReceivedAt = maxTime(k.ReceivedAt, s.ReceivedAt)
	k.Statement = s
	return change
}

// end applies a statement that names no limit.
func (k *server) end(s Statement) Change {
	switch {
	case k.Limited && s.SentAt.Before(k.ReceivedAt):
		return Unchanged // The server may have made it before it named the limit.
	case k.Limited:
		k.Statement, k.pausedUntil = s, time.Time{}
		return Ended
	case s.SentAt.After(k.SentAt):
		k.Statement = s
	}
	return Unchanged
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Limited reports whether a server has a limit.
func (l *Limits) Limited(id quota.Account) bool {
	known := l.servers[id]
	return known != nil && known.Limited
}

// Count returns the number of servers that have a limit.
func (l *Limits) Count() int {
	count := 0
	for _, known := range l.servers {
		if known.Limited {
			count++
		}
	}
	return count
}

// Cap returns a server's limit as a cap on its account; no cap if it has none.
func (l *Limits) Cap(id quota.Account) quota.Cap {
	if !l.Limited(id) {
		return quota.Cap{}
	}
	return quota.Cap{Rate: max(l.servers[id].PerSecond, minPerSecond) * RequestUnits}
}

// PauseAfter returns for how long an entry does not use a server whose limit admitted no
// request, from what the lender said: the level of the bucket and the delay after which
// to ask again.
func PauseAfter(limit quota.Cap, level float64, retryAfter time.Duration) time.Duration {
	if level >= 0 {
		return max(min(retryAfter, maxBlindPause), MinPause)
	}
	return max(time.Duration(-level/limit.Rate*float64(time.Second)), MinPause)
}

// Pause keeps this entry from a limited server.
func (l *Limits) Pause(id quota.Account, until time.Time) {
	if l.Limited(id) {
		l.servers[id].pausedUntil = until
	}
}

// PauseLeft returns how long this entry may not send to a server; 0: it may.
func (l *Limits) PauseLeft(now time.Time, id quota.Account) time.Duration {
	if !l.Limited(id) {
		return 0
	}
	return max(l.servers[id].pausedUntil.Sub(now), 0)
}

// Paused returns up to most servers that this entry may not send to now.
func (l *Limits) Paused(now time.Time, most int) []quota.Account {
	var paused []quota.Account
	for id, known := range l.servers {
		if len(paused) < most && known.Limited && known.pausedUntil.After(now) {
			paused = append(paused, id)
		}
	}
	return paused
}

// Forget removes a server that has ended.
func (l *Limits) Forget(id quota.Account) { delete(l.servers, id) }

// Expire removes servers whose limits ended long ago.
func (l *Limits) Expire(now time.Time) {
	for id, known := range l.servers {
		if !known.Limited && now.Sub(known.ReceivedAt) >= endedTime {
			delete(l.servers, id)
		}
	}
}

// Report is a statement in a message to another entry.
type Report struct {
	Server    quota.Account
	Limited   bool
	PerSecond float64
	// SentAge and ReceivedAge are the times since Statement.SentAt and ReceivedAt.
	SentAge, ReceivedAge time.Duration
}

// Reports returns the last statement of each server.
func (l *Limits) Reports(now time.Time) []Report {
	reports := make([]Report, 0, len(l.servers))
	for id, known := range l.servers {
		reports = append(reports, Report{
			Server: id, Limited: known.Limited, PerSecond: known.PerSecond,
			SentAge: now.Sub(known.SentAt), ReceivedAge: now.Sub(known.ReceivedAt),
		})
	}
	return reports
}

// Learn applies a statement that another entry reports. The time that the report was on
// its way counts against the end of a limit.
func (l *Limits) Learn(now time.Time, r Report) Change {
	return l.Observe(r.Server, Statement{
		Limited: r.Limited, PerSecond: r.PerSecond, SentAt: now.Add(-r.SentAge - transitTime), ReceivedAt: now.Add(-r.ReceivedAge),
	})
}
