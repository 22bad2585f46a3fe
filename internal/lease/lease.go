// Package lease decides who holds a lease that is kept in one row of the
// platform's table. Lease is pure; Keeper does its reads and writes.
//
// No clock of another process counts, and none is written down: a contender
// takes a lease over when the row did not change for the whole lease on its
// own clock, and a holder stops before that time has passed since it *sent*
// its last good write. The fencing number is the commit number of the write
// that took the lease.
package lease

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/charts"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// KeyPrefix of the rows of leases.
const KeyPrefix = "lease/"

// Settings of all leases of a fleet; they must be the same in every process.
type Settings struct {
	// TTL is how long a lease lasts after a write.
	TTL time.Duration `toml:"ttl" validate:"min=1s" unit:"duration" doc:"how long a lease lasts after a write; the same on every process"`
	// Margin is how long before that the holder stops to act. It covers clocks
	// that run at different rates and orders that are on their way.
	Margin time.Duration `toml:"margin" validate:"min=100ms" unit:"duration" doc:"how long before its end the holder of a lease stops to act"`
	// Renew is the time between renewals.
	Renew time.Duration `toml:"renew" validate:"min=100ms" unit:"duration" doc:"time between two renewals of a lease"`
	// Watch is the time between reads by a contender.
	Watch time.Duration `toml:"watch" validate:"min=100ms" unit:"duration" doc:"time between two reads of a lease by a contender"`
}

// DefaultSettings pass a lease on within about 13 s of its holder's death.
func DefaultSettings() Settings {
	return Settings{TTL: 10 * time.Second, Margin: 3 * time.Second, Renew: 2 * time.Second, Watch: 2 * time.Second}
}

// Events of charts/lease.toml.
const (
	eventLapsed  = "lapsed"
	eventWon     = "won"
	eventLost    = "lost"
	eventDoubt   = "doubt"
	eventRenew   = "renew"
	eventExpire  = "expire"
	eventRelease = "release"
)

// States of charts/lease.toml that the code asks for.
const (
	stateWatching = "watching"
	stateTaking   = "taking"
	stateHeld     = "held"
	stateRenewing = "renewing"
)

var chart = charts.Must("lease")

// record is the row's value.
type record struct {
	// Holder is the contender's name, unique per boot of its process.
	Holder string `json:"holder"`
	// Fence of the holder; 0 in the write that took the lease: there it is the
	// row's own version.
	Fence uint64 `json:"fence,omitempty"`
	// Write counts the holder's writes, so that a lost answer can be settled.
	Write uint64 `json:"write"`
	// Free: the holder gave the lease back.
	Free bool `json:"free,omitempty"`
}

// Action is what the shell does for a lease: one read, or one write.
type Action struct {
	// Read the row.
	Read bool
	// Commit, when not nil.
	Commit *platform.Txn
}

// Lease is one contender's view of one lease. It has no I/O, goroutine or
// clock. Not safe for concurrent use. The clock that its `now` comes from must
// go on while the process is stopped and the VM suspended.
type Lease struct {
	name, holder string
	settings     Settings
	state        string

	// row as last seen, and when it was first seen with this version.
	version uint64
	seenAt  time.Time
	seen    bool
	current record

	// inherited: the row was there when the lease was taken.
	inherited bool
	// fence and until are of the holder's own lease.
	fence  uint64
	until  time.Time
	writes uint64
	// sentAt and sentFence are of the latest write; sentFence is 0 when it was
	// to take the lease.
	sentAt    time.Time
	sentFence uint64
	// doubt: the answer of the latest write was lost.
	doubt    bool
	busy     bool
	nextStep time.Time
}

// New returns the view of a contender. holder must differ between two boots of
// one process.
func New(name, holder string, settings Settings) *Lease {
	return &Lease{name: name, holder: holder, settings: settings, state: chart.Initial()}
}

// Key of the row.
func (l *Lease) Key() string { return KeyPrefix + l.name }

// Held returns the fencing number while the holder may act. It must be asked
// again before each act: a process may be stopped between any two lines.
func (l *Lease) Held(now time.Time) (fence uint64, ok bool) {
	if l.state != stateHeld && l.state != stateRenewing {
		return 0, false
	}
	return l.fence, now.Before(l.until)
}

// Idle tells whether the lease is neither held nor on its way.
func (l *Lease) Idle() bool { return l.state == stateWatching && !l.busy && !l.doubt }

// Uncertain tells whether the outcome of the last write is not known.
func (l *Lease) Uncertain() bool { return l.doubt }

// Inherited tells whether somebody held the lease before: work of that holder
// may still be on its way.
func (l *Lease) Inherited() bool { return l.inherited }

func (l *Lease) fire(event string) {
	next, err := chart.Next(l.state, event)
	if err != nil {
		// The chart is checked for gaps when it is loaded.
		panic(err)
	}
	l.state = next
}

// Tick returns what is due at the time, at most one action; nil when one is
// under way.
func (l *Lease) Tick(now time.Time) *Action {
	if l.state == stateHeld || l.state == stateRenewing {
		if !now.Before(l.until) {
			// Too late to act, perhaps after a pause. The lease is not renewed as
			// it stands: another may have held it meanwhile.
			l.fire(eventExpire)
			l.fence = 0
		}
	}
	if l.busy || now.Before(l.nextStep) {
		return nil
	}
	switch {
	case l.state == stateHeld && l.doubt, l.state == stateWatching && !l.lapsed(now):
		l.nextStep = now.Add(l.settings.Watch)
		l.busy = true
		return &Action{Read: true}
	case l.state == stateHeld:
		l.nextStep = now.Add(l.settings.Renew)
		return l.renew(now)
	case l.state == stateWatching:
		return l.take(now)
	}
	return nil
}

// lapsed tells whether the row stood still for a whole lease on our clock.
func (l *Lease) lapsed(now time.Time) bool {
	if !l.seen {
		return false
	}
	return l.version == 0 || l.current.Free || now.Sub(l.seenAt) >= l.settings.TTL
}

func (l *Lease) take(now time.Time) *Action {
	l.inherited = l.version != 0
	l.fire(eventLapsed)
	return l.write(now, record{Holder: l.holder})
}

func (l *Lease) renew(now time.Time) *Action {
	l.fire(eventRenew)
	return l.write(now, record{Holder: l.holder, Fence: l.fence})
}

func (l *Lease) write(now time.Time, value record) *Action {
	l.writes++
	value.Write = l.writes
	l.sentAt, l.sentFence = now, value.Fence
	l.busy = true
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // a struct of a string, numbers and a bool
	}
	return &Action{Commit: &platform.Txn{
		Conditions: []platform.Condition{{Key: l.Key(), Version: l.version}},
		Puts:       []platform.Put{{Key: l.Key(), Value: body}},
	}}
}

// CommitDone takes the answer of a write.
func (l *Lease) CommitDone(now time.Time, result platform.TxnResult, err error) {
	l.busy = false
	switch {
	case err != nil:
		// Lost answer or outage. The old time goes on running out; the row is
		// read to see whether the write took effect.
		l.fire(eventDoubt)
		l.doubt = true
		l.nextStep = now
	case result.Committed:
		l.doubt = false
		l.observe(now, result.Commit, record{Holder: l.holder, Fence: l.sentFence, Write: l.writes})
		l.won(result.Commit, l.sentFence)
	default:
		l.lose(now)
	}
}

// lose stops to act at once: another write came first.
func (l *Lease) lose(now time.Time) {
	l.fire(eventLost)
	l.fence = 0
	l.doubt = false
	l.nextStep = now
	l.seen = false
}

// won starts the holder's time at the moment its write was sent: any reader
// sees the row later than that, so it waits longer than we act.
func (l *Lease) won(version, fence uint64) {
	l.fence = fence
	if fence == 0 {
		l.fence = version
	}
	l.until = l.sentAt.Add(l.settings.TTL - l.settings.Margin)
	l.fire(eventWon)
}

// ReadDone takes the row as read, nil when there is none.
func (l *Lease) ReadDone(now time.Time, row *platform.Row, err error) error {
	l.busy = false
	if err != nil {
		return nil
	}
	version, value := uint64(0), record{}
	if row != nil {
		if err := json.Unmarshal(row.Value, &value); err != nil {
			return eris.Wrapf(err, "decode %s", l.Key())
		}
		version = row.Version
	}
	if version < l.version {
		// An answer that was overtaken by a newer one.
		return nil
	}
	l.observe(now, version, value)
	l.settle(now, version, value)
	if l.state == stateWatching && l.lapsed(now) {
		l.nextStep = now
	}
	return nil
}

func (l *Lease) observe(now time.Time, version uint64, value record) {
	if !l.seen || version != l.version {
		l.seenAt = now
	}
	l.seen, l.version, l.current = true, version, value
}

// settle finds the outcome of a write whose answer was lost. The row shows it:
// ours with the number of that very write, ours with an older number, or
// another's. Only the first gives new time, counted from when it was sent.
func (l *Lease) settle(now time.Time, version uint64, value record) {
	doubted := l.doubt
	l.doubt = false
	ours := value.Holder == l.holder && !value.Free
	latest := ours && value.Write == l.writes && doubted
	switch {
	case l.state == stateHeld && !ours:
		l.lose(now)
	case l.state == stateHeld && latest:
		l.until = l.sentAt.Add(l.settings.TTL - l.settings.Margin)
	case l.state == stateWatching && latest && now.Before(l.sentAt.Add(l.settings.TTL-l.settings.Margin)):
		l.won(version, value.Fence)
	}
}

// Release returns the write that gives the lease back, so that the next holder
// need not wait; nil when it is not held. The holder must have stopped to act.
func (l *Lease) Release(now time.Time) *Action {
	if _, held := l.Held(now); !held {
		return nil
	}
	action := l.write(now, record{Holder: l.holder, Fence: l.fence, Free: true})
	l.fire(eventRelease)
	l.fence = 0
	return action
}
