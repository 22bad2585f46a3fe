package serverlimit

import (
	"time"

	"github.com/jayproxy/jayproxy/internal/quota"
)

const (
	// maxRest bounds a rest, so that an absurd time does not exclude a server for good.
	maxRest = 10 * time.Minute
	// restTrialInterval is the time between two requests to a server whose rest is over and
	// that has not taken one since.
	restTrialInterval = 250 * time.Millisecond
)

// Rests holds the servers that asked this entry for rest: they refused a request and named
// the time after which they take others. When it is over, a server gets one request at a
// time until it has taken one, since all requests at once would only bring the next rest.
// The zero value is not usable; see NewRests.
type Rests struct{ servers map[quota.Account]*rest }

type rest struct {
	until time.Time
	// triedAt is when the last request after the rest was sent; zero: none was.
	triedAt time.Time
}

// NewRests returns Rests without a server.
func NewRests() *Rests { return &Rests{servers: map[quota.Account]*rest{}} }

// Empty reports whether no server rests.
func (r *Rests) Empty() bool { return len(r.servers) == 0 }

// Begin records that a server asked for rest. A rest that was asked for before and ends
// later holds. It returns the time until the end of the rest.
func (r *Rests) Begin(now time.Time, id quota.Account, d time.Duration) time.Duration {
	until := now.Add(min(d, maxRest))
	if known := r.servers[id]; known != nil && known.until.After(until) {
		until = known.until
	}
	r.servers[id] = &rest{until: until}
	return until.Sub(now)
}

// Took records that a server took a request that was sent at sentAt. It returns true if
// that ends its rest; a request from before the rest does not.
func (r *Rests) Took(id quota.Account, sentAt time.Time) bool {
	known := r.servers[id]
	if known == nil || sentAt.Before(known.until) {
		return false
	}
	delete(r.servers, id)
	return true
}

// Sent records that a request is sent to a server.
func (r *Rests) Sent(now time.Time, id quota.Account) {
	if known := r.servers[id]; known != nil {
		known.triedAt = now
	}
}

// Left returns how long this entry may not send to a server; 0: it may.
func (r *Rests) Left(now time.Time, id quota.Account) time.Duration {
	known := r.servers[id]
	if known == nil {
		return 0
	}
	next := known.until
	if !known.triedAt.IsZero() {
		next = maxTime(next, known.triedAt.Add(restTrialInterval))
	}
	return max(next.Sub(now), 0)
}

// Resting returns up to most servers that this entry may not send to now.
func (r *Rests) Resting(now time.Time, most int) []quota.Account {
	var resting []quota.Account
	for id := range r.servers {
		if len(resting) < most && r.Left(now, id) > 0 {
			resting = append(resting, id)
		}
	}
	return resting
}

// Forget removes a server that has ended.
func (r *Rests) Forget(id quota.Account) { delete(r.servers, id) }
