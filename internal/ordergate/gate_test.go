package ordergate_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/ordergate"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

var epoch = time.Unix(1_700_000_000, 0)

const settle = 10 * time.Second

// world is a gate with its table row and an engine that ignores numbers and
// may be slow.
type world struct {
	gate *ordergate.Gate
	now  time.Time
	row  ordergate.Watermark
	// version of the row; 0: no row.
	version uint64
	numbers map[uint64]ordergate.Number
	nextID  uint64
	todo    []ordergate.Action
	// inEngine are orders that may take effect before a time.
	inEngine []delayed
	applied  []ordergate.Number
	boot     uint64
	replies  map[uint64]error
}

// restart replaces the agent; it may take a while to learn the engine's boot.
func (w *world) restart() {
	w.todo = nil
	w.gate = ordergate.New(settle)
}

func (w *world) sawBoot() { w.do(w.gate.ObserveIncarnation(w.now, w.boot)) }

type delayed struct {
	number ordergate.Number
	before time.Time
}

func newWorld() *world {
	w := &world{now: epoch, numbers: map[uint64]ordergate.Number{}, boot: 1, replies: map[uint64]error{}}
	w.restart()
	return w
}

func (w *world) do(actions []ordergate.Action) { w.todo = append(w.todo, actions...) }

// perform carries one action out, with the outcome that choose picks.
func (w *world) perform(choose func(label string, n int) int) {
	action := w.todo[0]
	w.todo = w.todo[1:]
	switch a := action.(type) {
	case ordergate.Reply:
		w.replies[a.ID] = a.Err
	case ordergate.ReadWatermark:
		if choose("read fails", 4) == 3 {
			w.do(w.gate.WatermarkFailed())
			return
		}
		w.do(w.gate.WatermarkRead(w.now, w.row, w.version))
	case ordergate.WriteWatermark:
		w.write(a, choose("write", 4))
	case ordergate.Forward:
		w.pass(a, choose("pass", 4))
	}
}

func (w *world) write(a ordergate.WriteWatermark, outcome int) {
	if outcome == 3 { // not carried out
		w.do(w.gate.WatermarkFailed())
		return
	}
	if a.Version != w.version {
		w.do(w.gate.WatermarkRead(w.now, w.row, w.version))
		return
	}
	w.row, w.version = a.Watermark, w.version+1
	if outcome == 2 { // carried out, but the answer was lost
		w.do(w.gate.WatermarkFailed())
		return
	}
	w.do(w.gate.WatermarkWritten(w.now, w.version))
}

func (w *world) pass(a ordergate.Forward, outcome int) {
	number := w.numbers[a.ID]
	switch outcome {
	case 0, 1:
		w.applied = append(w.applied, number)
		w.do(w.gate.Forwarded(w.now, nil, false))
	case 2:
		w.do(w.gate.Forwarded(w.now, errors.New("refused"), true))
	case 3: // the engine is slow; its answer was lost
		w.inEngine = append(w.inEngine, delayed{number, w.now.Add(settle)})
		w.do(w.gate.Forwarded(w.now, ordergate.ErrIndeterminate, false))
	}
}

func (w *world) propose(number ordergate.Number) uint64 {
	w.nextID++
	w.numbers[w.nextID] = number
	w.do(w.gate.Propose(w.now, w.nextID, number))
	return w.nextID
}

// advance moves time on; what is in the engine takes effect before it is due.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	var left []delayed
	for _, order := range w.inEngine {
		if order.before.After(w.now) {
			left = append(left, order)
			continue
		}
		w.applied = append(w.applied, order.number)
	}
	w.inEngine = left
	w.do(w.gate.Tick(w.now))
}

// TestLaterOrderIsNeverUndone: holders whose leases lapsed, agents that are
// replaced between any two steps, a table that fails or loses answers, an
// engine that ignores numbers, is slow or restarts. The orders that take effect
// must come in the order of their numbers.
func TestLaterOrderIsNeverUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		choose := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(*rapid.T) {
				w.propose(ordergate.Number{Fence: uint64(choose("fence", 4) + 1), Seq: uint64(choose("seq", 6) + 1)})
			},
			"perform one": func(t *rapid.T) {
				if len(w.todo) == 0 {
					t.Skip("nothing to do")
				}
				w.perform(choose)
			},
			"order": func(*rapid.T) { // without a step in between
				w.propose(ordergate.Number{Fence: uint64(choose("fence", 2) + 1), Seq: uint64(choose("seq", 4) + 1)})
				for len(w.todo) > 0 {
					w.perform(choose)
				}
			},
			"time": func(*rapid.T) { w.advance(time.Duration(choose("seconds", 8)) * time.Second) },
			"effect": func(t *rapid.T) {
				if len(w.inEngine) == 0 {
					t.Skip("nothing is in the engine")
				}
				w.applied = append(w.applied, w.inEngine[0].number)
				w.inEngine = w.inEngine[1:]
			},
			"agent restarts": func(*rapid.T) {
				for _, action := range w.todo { // A call under way may still arrive.
					if pass, ok := action.(ordergate.Forward); ok && choose("arrives", 2) == 1 {
						w.inEngine = append(w.inEngine, delayed{w.numbers[pass.ID], w.now.Add(settle)})
					}
				}
				w.restart()
			},
			"boot seen": func(*rapid.T) { w.sawBoot() },
			"engine restarts": func(*rapid.T) {
				w.boot++
				w.inEngine, w.applied = nil, nil // It came back with nothing loaded.
				w.sawBoot()
			},
			"": func(t *rapid.T) {
				for i := 1; i < len(w.applied); i++ {
					require.False(t, w.applied[i].Before(w.applied[i-1]), "%v took effect after %v", w.applied[i], w.applied[i-1])
				}
			},
		})
	})
}

func well(string, int) int { return 0 }

func (w *world) finish() {
	w.sawBoot()
	for len(w.todo) > 0 {
		w.perform(well)
	}
}

// A holder is paused, its lease lapses, the next one rolls a version out. The
// old one wakes up and its order would take the version away again.
func TestOrderOfALapsedHolderIsRefused(t *testing.T) {
	w := newWorld()
	newer := w.propose(ordergate.Number{Fence: 8, Seq: 1})
	w.finish()
	older := w.propose(ordergate.Number{Fence: 7, Seq: 9})
	w.finish()
	require.NoError(t, w.replies[newer])
	require.ErrorIs(t, w.replies[older], ordergate.ErrStale)
	assert.Equal(t, []ordergate.Number{{Fence: 8, Seq: 1}}, w.applied)
}

// The same, with an agent that was replaced in between and remembers nothing.
func TestFloorIsReadAfterARestart(t *testing.T) {
	w := newWorld()
	w.propose(ordergate.Number{Fence: 8, Seq: 1})
	w.finish()
	w.restart()
	older := w.propose(ordergate.Number{Fence: 7, Seq: 9})
	w.finish()
	require.ErrorIs(t, w.replies[older], ordergate.ErrStale)
}

// unknown passes an order whose outcome stays unknown: the engine is slow.
func (w *world) unknown(number ordergate.Number) {
	w.propose(number)
	for len(w.todo) > 0 {
		w.perform(func(label string, _ int) int {
			if label == "pass" {
				return 3
			}
			return 0
		})
	}
}

// An agent hands an order to a slow engine and is replaced. The next order
// would overtake the first, which then takes effect last.
func TestOrderWaitsForOneThatAnotherAgentLeftInTheEngine(t *testing.T) {
	w := newWorld()
	w.sawBoot()
	w.unknown(ordergate.Number{Fence: 1, Seq: 1})
	w.restart()
	id := w.propose(ordergate.Number{Fence: 1, Seq: 2})
	w.finish()
	require.NotContains(t, w.replies, id)
	w.advance(settle)
	w.finish()
	require.Contains(t, w.replies, id)
	assert.Equal(t, []ordergate.Number{{Fence: 1, Seq: 1}, {Fence: 1, Seq: 2}}, w.applied)
}

// The same, with an agent that had not learned the engine's boot number: the
// next one would take the engine's boot for a new one, and the order for dead.
func TestNoOrderIsPassedBeforeTheBootIsKnown(t *testing.T) {
	w := newWorld()
	w.unknown(ordergate.Number{Fence: 1, Seq: 1})
	assert.Empty(t, w.inEngine)
	assert.Zero(t, w.version)
}

// While the row is written for an order, a later one arrives.
func TestOrderOvertakenDuringTheWriteIsNotPassed(t *testing.T) {
	w := newWorld()
	w.sawBoot()
	first := w.propose(ordergate.Number{Fence: 1, Seq: 1})
	w.perform(well) // read; the write is due
	second := w.propose(ordergate.Number{Fence: 2, Seq: 1})
	w.finish()
	require.ErrorIs(t, w.replies[first], ordergate.ErrStale)
	require.NoError(t, w.replies[second])
	assert.Equal(t, []ordergate.Number{{Fence: 2, Seq: 1}}, w.applied)
}

func TestWithoutTheTableOrdersAreRefused(t *testing.T) {
	w := newWorld()
	w.sawBoot()
	id := w.propose(ordergate.Number{Fence: 1, Seq: 1})
	w.perform(func(string, int) int { return 3 })
	w.finish()
	require.ErrorIs(t, w.replies[id], ordergate.ErrNoWatermark)
	assert.Empty(t, w.applied)
	again := w.propose(ordergate.Number{Fence: 1, Seq: 1})
	w.finish()
	require.NoError(t, w.replies[again])
}

func TestOrderSentAgainIsPassedOnce(t *testing.T) {
	w := newWorld()
	for range 2 {
		id := w.propose(ordergate.Number{Fence: 1, Seq: 1})
		w.finish()
		require.NoError(t, w.replies[id])
	}
	assert.Len(t, w.applied, 1)
}

func TestEngineRestartSettlesWhatWasUnknown(t *testing.T) {
	w := newWorld()
	w.propose(ordergate.Number{Fence: 1, Seq: 1})
	w.sawBoot()
	w.perform(well)                               // read
	w.perform(well)                               // write
	w.perform(func(string, int) int { return 3 }) // pass, outcome unknown
	w.finish()
	id := w.propose(ordergate.Number{Fence: 1, Seq: 2})
	w.finish()
	require.NotContains(t, w.replies, id, "the first may still take effect")
	w.do(w.gate.ObserveIncarnation(w.now, 2))
	w.finish()
	require.Contains(t, w.replies, id)
	require.NoError(t, w.replies[id])
}
