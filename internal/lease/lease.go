// Package lease implements leases, each stored in one row of the platform's
// table. Lease holds the state and does no I/O; Keeper does the reads and writes.
//
// Processes never compare clocks, and no time is stored: a contender takes a lease
// over when the row has not changed for the TTL on the contender's own clock, and
// a holder stops acting before the TTL has passed since it sent its last
// successful write. The fencing number is the commit number of the write that took
// the lease.
//
// The table may come back from a copy, in a new era, without its latest writes. What the
// row says then is no proof: the holder of the era before may have lost its row, and a
// write sent to the era before may be carried out in the new one. A holder stops when it
// sees a new era, and a lease is held only by a write of the current era, from the TTL
// after the contender first saw that era.
package lease

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/charts"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// KeyPrefix is the prefix of the keys of lease rows.
const KeyPrefix = "lease/"

// Settings are the settings of a fleet's leases; they must be the same in every
// process.
type Settings struct {
	// TTL is how long a lease lasts after a write.
	TTL time.Duration `toml:"ttl" validate:"min=1s" unit:"duration" doc:"how long a lease lasts after a write; the same on every process"`
	// Margin is how long before the end of the TTL the holder stops acting. It
	// covers differences in clock rate and orders that are in transit.
	Margin time.Duration `toml:"margin" validate:"min=100ms" unit:"duration" doc:"how long before its end the holder of a lease stops to act"`
	// Renew is the time between renewals.
	Renew time.Duration `toml:"renew" validate:"min=100ms" unit:"duration" doc:"time between two renewals of a lease"`
	// Watch is the time between reads by a contender.
	Watch time.Duration `toml:"watch" validate:"min=100ms" unit:"duration" doc:"time between two reads of a lease by a contender"`
}

// DefaultSettings returns settings with which another contender takes the lease
// within about 13 s after its holder has crashed.
func DefaultSettings() Settings {
	return Settings{TTL: 10 * time.Second, Margin: 3 * time.Second, Renew: 2 * time.Second, Watch: 2 * time.Second}
}

// Events of charts/lease.toml.
const (
	eventLapsed    = "lapsed"
	eventWon       = "won"
	eventLost      = "lost"
	eventUncertain = "doubt"
	eventRenew     = "renew"
	eventExpire    = "expire"
	eventRelease   = "release"
)

// States of charts/lease.toml that the code refers to.
const (
	stateWatching = "watching"
	stateTaking   = "taking"
	stateHeld     = "held"
	stateRenewing = "renewing"
)

var chart = charts.Must("lease")

// record is the value of the lease's row.
type record struct {
	// Holder is the holder's name, unique for each start of its process.
	Holder string `json:"holder"`
	// Fence is the holder's fencing number; 0 in the write that took the lease, whose
	// row version is the fencing number.
	Fence uint64 `json:"fence,omitempty"`
	// Write numbers the holder's writes, so that the holder can tell from the row
	// whether a write whose answer was lost took effect.
	Write uint64 `json:"write"`
	// Free: the holder has released the lease.
	Free bool `json:"free,omitempty"`
}

// Action is what the caller must do next: one read or one write.
type Action struct {
	// Read: read the row and call ReadDone.
	Read bool
	// Commit, if not nil, is to be committed, followed by CommitDone.
	Commit *platform.Txn
}

// Lease is one contender's view of one lease. It does no I/O, starts no goroutine
// and reads no clock. It is not safe for concurrent use. The clock behind the
// parameter now must advance while the process is stopped or the VM suspended.
type Lease struct {
	name, holder string
	settings     Settings
	state        string

	// version and current are the row as last read or written, seenAt is when this
	// version was first seen. seen: they are set.
	version uint64
	seenAt  time.Time
	seen    bool
	current record

	// era is the newest era of the table that this contender has seen, eraSeenAt when it
	// first saw it: a holder of the era before may act until the TTL has passed since
	// then. It is zero in era 0, before which nothing was lost.
	era       uint64
	eraSeenAt time.Time

	// inherited: there may have been a holder before this one.
	inherited bool
	// fence is this holder's fencing number, until the time at which it must stop
	// acting, writes the number of its writes so far.
	fence  uint64
	until  time.Time
	writes uint64
	// sentAt is when the latest write was sent, sentFence its fencing number; 0 for a
	// write that takes the lease.
	sentAt    time.Time
	sentFence uint64
	// uncertain: it is not known whether the latest write took effect.
	uncertain bool
	// inFlight: an action is in progress.
	inFlight bool
	// nextStep is the earliest time of the next action.
	nextStep time.Time
}

// New returns the view of a contender. holder must be unique for each start of a
// process.
func New(name, holder string, settings Settings) *Lease {
	return &Lease{name: name, holder: holder, settings: settings, state: chart.Initial()}
}

// Key returns the key of the lease's row.
func (l *Lease) Key() string { return KeyPrefix + l.name }

// Held returns the fencing number, and ok while the holder may act. Call it before
// each action that requires the lease: the process may have been paused since the
// last call.
func (l *Lease) Held(now time.Time) (fence uint64, ok bool) {
	if !l.owned() {
		return 0, false
	}
	return l.fence, now.Before(l.until) && !now.Before(l.actsFrom())
}

// owned reports whether this contender has taken the lease and not lost it, though it
// may not act yet or any more.
func (l *Lease) owned() bool { return l.state == stateHeld || l.state == stateRenewing }

// actsFrom returns the time before which a holder of the era before may still act.
func (l *Lease) actsFrom() time.Time {
	if l.eraSeenAt.IsZero() {
		return time.Time{}
	}
	return l.eraSeenAt.Add(l.settings.TTL)
}

// Idle reports whether the lease is not held, with no action in flight and no
// uncertain write.
func (l *Lease) Idle() bool { return l.state == stateWatching && !l.inFlight && !l.uncertain }

// Uncertain reports whether the outcome of the latest write is not known.
func (l *Lease) Uncertain() bool { return l.uncertain }

// Inherited reports whether the lease had an earlier holder, whose work may still
// be in progress.
func (l *Lease) Inherited() bool { return l.inherited }

func (l *Lease) fire(event string) {
	next, err := chart.Next(l.state, event)
	if err != nil {
		// Loading the chart checks that each state handles every event.
		panic(err)
	}
	l.state = next
}

// Tick returns the action that is due, nil if there is none or one is in flight.
func (l *Lease) Tick(now time.Time) *Action {
	if l.owned() && !now.Before(l.until) {
		// The lease has expired, for example during a pause of the process. It is
		// not renewed: another contender may have held it in the meantime.
		l.fire(eventExpire)
		l.fence = 0
	}
	if l.inFlight || now.Before(l.nextStep) {
		return nil
	}
	switch {
	case l.state == stateHeld && l.uncertain, l.state == stateWatching && !l.lapsed(now):
		l.nextStep = now.Add(l.settings.Watch)
		l.inFlight = true
		return &Action{Read: true}
	case l.state == stateHeld:
		l.nextStep = now.Add(l.settings.Renew)
		return l.renew(now)
	case l.state == stateWatching:
		return l.take(now)
	}
	return nil
}

// lapsed reports whether the lease can be taken: it does not exist, was released in
// this era, or its row has not changed for the TTL on this contender's clock.
func (l *Lease) lapsed(now time.Time) bool {
	if !l.seen {
		return false
	}
	return l.version == 0 || l.released() || now.Sub(l.seenAt) >= l.settings.TTL
}

// released reports whether the row's holder has released the lease in the row's era. A
// copy may bring a released row back that another holder has taken since, and a release
// sent in the era before may be carried out over the row of a later holder.
func (l *Lease) released() bool {
	return l.current.Free && platform.EraOf(l.current.Fence) == platform.EraOf(l.version)
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
	l.inFlight = true
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // A struct of a string, numbers and a bool can always be encoded.
	}
	return &Action{Commit: &platform.Txn{
		Conditions: []platform.Condition{{Key: l.Key(), Version: l.version}},
		Puts:       []platform.Put{{Key: l.Key(), Value: body}},
	}}
}

// CommitDone processes the result of a write.
func (l *Lease) CommitDone(now time.Time, result platform.TxnResult, err error) {
	l.inFlight = false
	switch {
	case err != nil:
		// The answer was lost or the store is down. The old deadline remains; the row
		// is read to find out whether the write took effect.
		l.fire(eventUncertain)
		l.uncertain = true
		l.nextStep = now
	case result.Committed:
		l.uncertain = false
		l.observe(now, result.Commit, record{Holder: l.holder, Fence: l.sentFence, Write: l.writes})
		l.won(result.Commit, l.sentFence)
	default:
		l.lose(now)
	}
}

// lose gives the lease up at once: another process has written the row.
func (l *Lease) lose(now time.Time) {
	l.fire(eventLost)
	l.fence = 0
	l.uncertain = false
	l.nextStep = now
	l.seen = false
}

// won records that the lease is held. Its time counts from when the write was
// sent: other contenders see the row later than that, so their wait ends after the
// holder has stopped acting.
func (l *Lease) won(version, fence uint64) {
	l.fence = fence
	if fence == 0 {
		l.fence = version
	}
	l.until = l.sentAt.Add(l.settings.TTL - l.settings.Margin)
	l.inherited = l.inherited || !l.eraSeenAt.IsZero()
	l.fire(eventWon)
}

// ReadDone processes the result of a read; row is nil if it does not exist. It ignores a
// failed read. A row whose value can't be decoded has an unknown holder, and lapses like any
// other; the error says so.
func (l *Lease) ReadDone(now time.Time, row *platform.Row, err error) error {
	l.inFlight = false
	if err != nil {
		return nil
	}
	version, value := uint64(0), record{}
	var unknown error
	if row != nil {
		if err := json.Unmarshal(row.Value, &value); err != nil {
			value, unknown = record{}, eris.Wrapf(err, "decode %s", l.Key())
		}
		version = row.Version
	}
	if row != nil && version < l.version {
		// This answer is older than one already processed.
		return unknown
	}
	if l.version != 0 && platform.EraOf(version) > platform.EraOf(l.version) {
		// Even a row with this holder's name is no proof: it may be from the copy, or a late
		// write over the row of a holder with a higher fencing number.
		l.lose(now)
	}
	l.observe(now, version, value)
	l.resolve(now, version, value)
	if l.state == stateWatching && l.lapsed(now) {
		l.nextStep = now
	}
	return unknown
}

func (l *Lease) observe(now time.Time, version uint64, value record) {
	if !l.seen || version != l.version {
		l.seenAt = now
	}
	if era := platform.EraOf(version); era > l.era {
		l.era, l.eraSeenAt = era, now
	}
	l.seen, l.version, l.current = true, version, value
}

// resolve finds from the row whether a write whose answer was lost took effect: the
// row holds that write, an older one of this holder, or another holder's. Only in
// the first case is the lease extended, counted from when the write was sent.
func (l *Lease) resolve(now time.Time, version uint64, value record) {
	wasUncertain := l.uncertain
	l.uncertain = false
	ours := value.Holder == l.holder && !value.Free
	latest := ours && value.Write == l.writes && wasUncertain
	switch {
	case l.state == stateHeld && !ours:
		l.lose(now)
	case l.state == stateHeld && latest:
		l.until = l.sentAt.Add(l.settings.TTL - l.settings.Margin)
	case l.state == stateWatching && latest && now.Before(l.sentAt.Add(l.settings.TTL-l.settings.Margin)):
		l.won(version, value.Fence)
	}
}

// Release returns the write that releases the lease, so that the next holder need
// not wait for the TTL; nil if the lease is not held. The holder must not act any
// more when it is called.
func (l *Lease) Release(now time.Time) *Action {
	if _, held := l.Held(now); !held {
		return nil
	}
	action := l.write(now, record{Holder: l.holder, Fence: l.fence, Free: true})
	l.fire(eventRelease)
	l.fence = 0
	return action
}
