// Package ordergate decides when an order may be sent to an engine. It forwards
// one order at a time, and none that is older than one that it has seen, also
// across restarts of the agent. It does no I/O and has no goroutine or clock:
// callers report events and carry out the returned actions, under a lock of
// their own.
package ordergate

import (
	"errors"
	"time"
)

// Errors of refused orders, none of which has reached the engine.
var (
	// ErrStale means that an order with a higher number was proposed or recorded.
	ErrStale = errors.New("order is older than the latest known order")
	// ErrNoWatermark means that the highest number forwarded before is not known,
	// since the table can't be read or written.
	ErrNoWatermark = errors.New("highest forwarded order number is not known")
	// ErrBusy means that too many orders are waiting.
	ErrBusy = errors.New("too many orders are waiting")
)

// ErrIndeterminate means that the order may have reached the engine and that its
// outcome is not known.
var ErrIndeterminate = errors.New("outcome of the order is indeterminate")

// DefaultSettleTime is how long an order whose outcome is indeterminate may still
// take effect in the engine.
const DefaultSettleTime = 10 * time.Second

// maxWaiting bounds the waiting orders.
const maxWaiting = 16

// Number is the number of an order. Numbers are compared by fence, then by
// sequence number.
type Number struct {
	Fence uint64 `json:"fence"`
	Seq   uint64 `json:"seq"`
}

// Before reports whether n is lower than other.
func (n Number) Before(other Number) bool {
	if n.Fence != other.Fence {
		return n.Fence < other.Fence
	}
	return n.Seq < other.Seq
}

// Watermark is the content of the gate's row in the table: the number of the
// latest order that may have been forwarded, and the engine's incarnation at that
// time.
type Watermark struct {
	Number
	Incarnation uint64 `json:"incarnation"`
}

// Action is an action that the caller must carry out.
type Action interface{ isAction() }

// ReadWatermark reads the row. The caller reports the result by WatermarkRead or
// WatermarkFailed.
type ReadWatermark struct{}

// WriteWatermark writes the row if its version is still the given one. The caller
// reports the result by WatermarkWritten, by WatermarkRead when the version
// differs, or by WatermarkFailed.
type WriteWatermark struct {
	Watermark Watermark
	Version   uint64
}

// Forward sends the order with the id to the engine. The caller reports the
// result by Forwarded.
type Forward struct{ ID uint64 }

// Reply ends the order with the id. Err is nil when the engine has accepted it.
type Reply struct {
	ID  uint64
	Err error
}

func (ReadWatermark) isAction()  {}
func (WriteWatermark) isAction() {}
func (Forward) isAction()        {}
func (Reply) isAction()          {}

// phase is the call that the gate waits for.
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

// Gate is the order gate of one engine. Not safe for concurrent use.
type Gate struct {
	settleTime time.Duration
	// persistent is true when the watermark is stored in the table. Otherwise
	// only engines that check fencing themselves may receive orders.
	persistent bool

	phase   phase
	waiting []proposal
	current proposal
	// highest is the highest number seen in an order or in the table.
	highest Number
	// watermarkKnown is true when the row was read and no write has failed since.
	watermarkKnown bool
	version        uint64
	incarnation    uint64
	// indeterminate is true while a forwarded order may still take effect: until
	// indeterminateUntil, or until the engine's incarnation is higher than
	// indeterminateIncarnation.
	indeterminate            bool
	indeterminateIncarnation uint64
	indeterminateUntil       time.Time
	// done is the latest number that the engine has accepted.
	done Number
}

// New returns a gate that stores its watermark in the table.
func New(settleTime time.Duration) *Gate { return &Gate{settleTime: settleTime, persistent: true} }

// NewChecked returns a gate without a stored watermark, for an engine that refuses
// old fencing numbers itself.
func NewChecked(settleTime time.Duration) *Gate {
	return &Gate{settleTime: settleTime, watermarkKnown: true}
}

// Highest returns the highest number seen in an order or in the table.
func (g *Gate) Highest() Number { return g.highest }

// Propose proposes an order. Its result is a Reply with the id, now or later.
//
// A lease holder that was paused beyond the end of its lease may still send
// orders. Forwarded after those of the next holder they would undo them, in an
// engine that does not check numbers. An order is therefore refused as soon as
// one with a higher number was proposed, even if that one is still waiting.
func (g *Gate) Propose(now time.Time, id uint64, number Number) []Action {
	if number.Before(g.highest) {
		return []Action{Reply{ID: id, Err: ErrStale}}
	}
	if number == g.done {
		return []Action{Reply{ID: id}} // Sent again after a lost reply.
	}
	if len(g.waiting) >= maxWaiting {
		return []Action{Reply{ID: id, Err: ErrBusy}}
	}
	g.highest = number
	g.waiting = append(g.waiting, proposal{id: id, number: number})
	return g.step(now)
}

// WatermarkRead reports the row. The watermark is zero when there is no row.
//
// The order in the row may have been forwarded by an agent that has ended since,
// and may not yet have taken effect in a slow engine. The next order waits for
// the settle time, unless the engine has restarted since.
func (g *Gate) WatermarkRead(now time.Time, watermark Watermark, version uint64) []Action {
	if g.phase == writing { // Another agent wrote the row; the order waits again.
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

// WatermarkFailed reports that the row could not be read, or that its write
// failed or is indeterminate. Waiting orders are refused; the row is read again
// before the next order.
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
		// A later order was proposed while the row was written.
		g.phase = idle
		return append([]Action{Reply{ID: g.current.id, Err: ErrStale}}, g.step(now)...)
	}
	g.phase = forwarding
	return []Action{Forward{ID: g.current.id}}
}

// Forwarded reports the result of the current order: err is nil when the engine
// accepted it; refused is true when the order certainly has no effect. With any
// other error the order may take effect at any time within the settle time, and
// no later one is forwarded until then, since the earlier one could undo it.
func (g *Gate) Forwarded(now time.Time, err error, refused bool) []Action {
	g.phase = idle
	if err == nil {
		g.done = g.current.number
	} else if !refused {
		g.markIndeterminate(now, g.incarnation)
	}
	return append([]Action{Reply{ID: g.current.id, Err: err}}, g.step(now)...)
}

// ObserveIncarnation reports the engine's incarnation.
func (g *Gate) ObserveIncarnation(now time.Time, incarnation uint64) []Action {
	g.incarnation = max(g.incarnation, incarnation)
	return g.step(now)
}

// Tick forwards the next order when the settle time has passed.
func (g *Gate) Tick(now time.Time) []Action { return g.step(now) }

func (g *Gate) markIndeterminate(now time.Time, incarnation uint64) {
	g.indeterminate = true
	g.indeterminateIncarnation = incarnation
	g.indeterminateUntil = now.Add(g.settleTime)
}

// settled reports whether no earlier order may still take effect.
func (g *Gate) settled(now time.Time) bool {
	if g.indeterminate && (g.incarnation > g.indeterminateIncarnation || !now.Before(g.indeterminateUntil)) {
		g.indeterminate = false
	}
	return !g.indeterminate
}

// step starts the next order when no call is outstanding.
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
			// The row must hold the incarnation, so that the next agent can tell
			// whether the engine has restarted since the order was forwarded.
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
