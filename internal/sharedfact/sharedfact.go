// Package sharedfact keeps the facts about backend servers that an entry has learned from
// its own sends and passes on to other entries: each fact once, a bounded number at a time.
// A fact that another entry reported is not passed on, so that no report can circulate.
//
// The package does not decide what a received fact changes; internal/gateway checks it
// against the list of servers as it checks its own observations. The package has no I/O,
// goroutines or clock; callers provide the locking.
package sharedfact

import (
	"slices"
	"time"
)

// Kind is what a fact states of an incarnation of a server.
type Kind uint8

// Values of Kind.
const (
	// Ended: another instance answered at the incarnation's address.
	Ended Kind = iota
	// NotListening: the incarnation's address refused a connection.
	NotListening
	// Loading: the incarnation refused a request while it changes to Version of Model or
	// a later one.
	Loading
	// Serving: the incarnation has Version of Model.
	Serving
)

var kindNames = [...]string{"ended", "not_listening", "loading", "serving"}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Fact is one fact about one incarnation of a server. Model and Version are set for
// Loading and Serving only.
type Fact struct {
	Kind    Kind
	Server  string
	Model   string
	Version uint64
}

const (
	// MaxFacts is the number of facts in one message: at most 640 bytes of a datagram that
	// may hold 1,400.
	MaxFacts = 32
	// repeatAfter is how long a known fact is not reported again. It is shorter than the
	// shortest ejection and the shortest pause of a server that refuses, after which the
	// server is tried again and may be found in the same state.
	repeatAfter = 400 * time.Millisecond
	// maxPending and maxKnown bound the memory when very many servers end at once.
	maxPending = 256
	maxKnown   = 4096
)

type pendingFact struct {
	Fact
	at time.Time
}

// Outbox holds the facts that are to be passed on.
type Outbox struct {
	pending []pendingFact
	// known holds when each fact was last learned or received.
	known map[Fact]time.Time
}

// NewOutbox returns an empty Outbox.
func NewOutbox() *Outbox { return &Outbox{known: map[Fact]time.Time{}} }

// Learned records a fact that this entry found out itself. It reports whether the fact will
// be passed on.
func (o *Outbox) Learned(now time.Time, fact Fact) bool {
	if !o.remember(now, fact) || len(o.pending) >= maxPending {
		return false
	}
	o.pending = append(o.pending, pendingFact{fact, now})
	return true
}

// Received records a fact that another entry reported: it is not passed on from here, also
// if this entry finds it out itself at the same time. It reports whether the fact is new.
func (o *Outbox) Received(now time.Time, fact Fact) bool {
	o.pending = slices.DeleteFunc(o.pending, func(p pendingFact) bool { return p.Fact == fact })
	return o.remember(now, fact)
}

// Drop takes back the facts on a server that are still to be passed on, because they reach
// the others in another way.
func (o *Outbox) Drop(server string) {
	o.pending = slices.DeleteFunc(o.pending, func(p pendingFact) bool { return p.Server == server })
}

// remember reports whether the fact is new, and notes it.
func (o *Outbox) remember(now time.Time, fact Fact) bool {
	if at, ok := o.known[fact]; ok && now.Sub(at) < repeatAfter {
		return false
	}
	if len(o.known) < maxKnown {
		o.known[fact] = now
	}
	return true
}

// Pending reports whether there are facts to be passed on.
func (o *Outbox) Pending() bool { return len(o.pending) > 0 }

// Take returns the oldest facts that are to be passed on, at most MaxFacts. Facts that
// could not be passed on in time are dropped: the others have most likely found them out.
func (o *Outbox) Take(now time.Time) []Fact {
	o.pending = slices.DeleteFunc(o.pending, func(p pendingFact) bool { return now.Sub(p.at) >= repeatAfter })
	n := min(len(o.pending), MaxFacts)
	facts := make([]Fact, n)
	for i := range facts {
		facts[i] = o.pending[i].Fact
	}
	o.pending = slices.Delete(o.pending, 0, n)
	return facts
}

// Expire drops the facts that may be reported again.
func (o *Outbox) Expire(now time.Time) {
	for fact, at := range o.known {
		if now.Sub(at) >= repeatAfter {
			delete(o.known, fact)
		}
	}
}
