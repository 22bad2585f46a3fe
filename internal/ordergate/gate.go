// Package ordergate is the only way in for orders to an engine. It passes one
// order at a time, never one that is older than another it has seen, also
// across its own restarts. It has no I/O, goroutine or clock: events come in,
// actions go out; callers lock.
package ordergate

import (
	"errors"
	"time"
)

// Errors that orders are refused with. None of them has reached the engine.
var (
	// ErrStale means that a later order is known.
	ErrStale = errors.New("a later order is known")
	// ErrNoWatermark means that the highest number passed before is not known, since
	// the table can't be read or written.
	ErrNoWatermark = errors.New("the floor of order numbers is not known")
	// ErrBusy means that too many orders wait.
	ErrBusy = errors.New("too many orders wait")
)

// ErrIndeterminate means that the order went to the engine and its outcome is not known.
var ErrIndeterminate = errors.New("outcome of the order is not known")

// DefaultSettleTime is how long an order whose outcome is unknown may still take
// effect in the engine.
const DefaultSettleTime = 10 * time.Second

// maxWaiting bounds the orders that wait.
const maxWaiting = 16

// Number orders the orders: by fence, then by the sequence under it.
type Number struct {
	Fence uint64 `json:"fence"`
	Seq   uint64 `json:"seq"`
}

// Before tells whether n is older than other.
func (n Number) Before(other Number) bool {
	if n.Fence != other.Fence {
		return n.Fence < other.Fence
	}
	return n.Seq < other.Seq
}

// Watermark is what the table keeps: the number of the latest order that may have
// been passed, and the engine's incarnation then.
type Watermark struct {
	Number
	Incarnation uint64 `json:"incarnation"`
}

// Action is something that the caller must do.
type Action interface{ isAction() }

// ReadWatermark reads the row; the caller reports FloorRead or FloorFailed.
type ReadWatermark struct{}

// WriteWatermark writes the row if its version is still the given one; the caller
// reports FloorWritten, FloorRead when another has written, or FloorFailed.
type WriteWatermark struct {
	Watermark Watermark
	Version   uint64
}

// Forward hands the order with the id to the engine; the caller reports Passed.
type Forward struct{ ID uint64 }

// Reply ends the order with the id. Err nil: the engine has taken it.
type Reply struct {
	ID  uint64
	Err error
}

func (ReadWatermark) isAction()  {}
func (WriteWatermark) isAction() {}
func (Forward) isAction()        {}
func (Reply) isAction()          {}

type phase int

const (
	idle phase = iota
	reading
	writing
	forwarding
)

type proposal struct {
	id     uint64
	number Number
}

// Gate is the state of one engine's gate. Not safe for concurrent use.
type Gate struct {
	settleTime time.Duration
	// durable: the floor is kept in the table. Without it only engines that
	// check numbers themselves may be given orders.
	persistent bool

	phase   phase
	waiting []proposal
	current proposal
	// highest number seen in an order or in the table.
	highest Number
	// known: the table was read, and not written by another since.
	watermarkKnown bool
	version        uint64
	incarnation    uint64
	// unsettled: an order may still take effect, until settledAt or until the
	// engine has started anew.
	indeterminate            bool
	indeterminateIncarnation uint64
	indeterminateUntil       time.Time
	// done is the latest number that the engine has taken.
	done Number
}

// New makes the gate of an engine that keeps its floor in the table.
func New(settleTime time.Duration) *Gate { return &Gate{settleTime: settleTime, persistent: true} }

// NewChecked makes the gate of an engine that refuses old fencing numbers
// itself, for an agent without a table.
func NewChecked(settleTime time.Duration) *Gate {
	return &Gate{settleTime: settleTime, watermarkKnown: true}
}

// Highest number seen.
func (g *Gate) Highest() Number { return g.highest }

// Propose takes an order.
//
// A holder whose lease has lapsed while it was paused goes on to send its
// orders. Passed after those of the next holder they would undo them, and an
// engine that ignores numbers would not notice. The highest number seen is
// therefore a floor from the moment an order arrives, also while it waits.
func (g *Gate) Propose(now time.Time, id uint64, number Number) []Action {
	if number.Before(g.highest) {
		return []Action{Reply{ID: id, Err: ErrStale}}
	}
	if number == g.done {
		return []Action{Reply{ID: id}} // Sent again after a lost answer.
	}
	if len(g.waiting) >= maxWaiting {
		return []Action{Reply{ID: id, Err: ErrBusy}}
	}
	g.highest = number
	g.waiting = append(g.waiting, proposal{id: id, number: number})
	return g.step(now)
}

// WatermarkRead reports the row. A row that does not exist is the zero floor.
//
// The order in the row may have been handed over by an agent that has died
// since, and may still be on its way in a slow engine. The next order waits
// for it, unless the engine has started anew: what was on its way died with it.
func (g *Gate) WatermarkRead(now time.Time, watermark Watermark, version uint64) []Action {
	if g.phase == writing { // Another agent wrote; the order waits again.
		g.waiting = append([]proposal{g.current}, g.waiting...)
	}
	g.phase = idle
	g.watermarkKnown, g.version = true, version
	if g.highest.Before(watermark.Number) {
		g.highest = watermark.Number
	}
	if watermark.Number != (Number{}) {
		g.markIndeterminate(now, watermark.Incarnation)
	}
	return g.step(now)
}

// WatermarkFailed reports that the row could not be read or written for sure.
// What waits is refused; the floor is read again before the next order.
func (g *Gate) WatermarkFailed() []Action {
	var actions []Action
	if g.phase == writing {
		actions = append(actions, Reply{ID: g.current.id, Err: ErrNoWatermark})
	}
	for _, p := range g.waiting {
		actions = append(actions, Reply{ID: p.id, Err: ErrNoWatermark})
	}
	g.waiting = nil
	g.phase = idle
	g.watermarkKnown = false
	return actions
}

// WatermarkWritten reports that the row holds the current order's number.
func (g *Gate) WatermarkWritten(now time.Time, version uint64) []Action {
	g.version = version
	if g.current.number.Before(g.highest) {
		// A later order came while the row was written.
		g.phase = idle
		return append([]Action{Reply{ID: g.current.id, Err: ErrStale}}, g.step(now)...)
	}
	g.phase = forwarding
	return []Action{Forward{ID: g.current.id}}
}

// Forwarded reports the engine's word on the current order. refused: the engine
// has proved that it did not take it. With neither nil nor a refusal the order
// may take effect at any time within the settle time; until then no later one
// is passed, since the earlier could undo it.
func (g *Gate) Forwarded(now time.Time, err error, refused bool) []Action {
	g.phase = idle
	if err == nil {
		g.done = g.current.number
	} else if !refused {
		g.markIndeterminate(now, g.incarnation)
	}
	return append([]Action{Reply{ID: g.current.id, Err: err}}, g.step(now)...)
}

// ObserveIncarnation reports the engine's boot number.
func (g *Gate) ObserveIncarnation(now time.Time, incarnation uint64) []Action {
	g.incarnation = max(g.incarnation, incarnation)
	return g.step(now)
}

// Tick lets orders on when the settle time has passed.
func (g *Gate) Tick(now time.Time) []Action { return g.step(now) }

func (g *Gate) markIndeterminate(now time.Time, incarnation uint64) {
	g.indeterminate = true
	g.indeterminateIncarnation = incarnation
	g.indeterminateUntil = now.Add(g.settleTime)
}

func (g *Gate) settled(now time.Time) bool {
	if g.indeterminate && (g.incarnation > g.indeterminateIncarnation || !now.Before(g.indeterminateUntil)) {
		g.indeterminate = false
	}
	return !g.indeterminate
}

// step starts the next order when nothing else is under way.
func (g *Gate) step(now time.Time) []Action {
	var actions []Action
	for g.phase == idle && len(g.waiting) > 0 {
		if !g.watermarkKnown {
			g.phase = reading
			return append(actions, ReadWatermark{})
		}
		next := g.waiting[0]
		if next.number.Before(g.highest) {
			g.waiting = g.waiting[1:]
			actions = append(actions, Reply{ID: next.id, Err: ErrStale})
			continue
		}
		if g.incarnation == 0 || !g.settled(now) {
			// Without the boot number in the row, the next agent could not tell
			// whether what this one passed has died with the engine.
			return actions
		}
		g.waiting = g.waiting[1:]
		g.current = next
		actions = append(actions, g.start())
	}
	return actions
}

func (g *Gate) start() Action {
	if !g.persistent {
		g.phase = forwarding
		return Forward{ID: g.current.id}
	}
	g.phase = writing
	return WriteWatermark{Watermark: Watermark{Number: g.current.number, Incarnation: g.incarnation}, Version: g.version}
}
