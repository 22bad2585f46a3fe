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

const settleTime = 10 * time.Second

// simulation is a gate with its table row and an engine that does not check
// numbers and may be slow.
type simulation struct {
	gate *ordergate.Gate
	now  time.Time
	row  ordergate.Watermark
	// version is the row's version; 0 when there is no row.
	version uint64
	numbers map[uint64]ordergate.Number
	nextID  uint64
	pending []ordergate.Action
	// inEngine has the orders that have not yet taken effect.
	inEngine    []delayed
	applied     []ordergate.Number
	incarnation uint64
	replies     map[uint64]error
}

// restart replaces the agent. The new gate has not observed the engine's
// incarnation.
func (s *simulation) restart() {
	s.pending = nil
	s.gate = ordergate.New(settleTime)
}

func (s *simulation) observeIncarnation() { s.enqueue(s.gate.ObserveIncarnation(s.now, s.incarnation)) }

type delayed struct {
	number   ordergate.Number
	deadline time.Time
}

func newSimulation() *simulation {
	s := &simulation{now: epoch, numbers: map[uint64]ordergate.Number{}, incarnation: 1, replies: map[uint64]error{}}
	s.restart()
	return s
}

func (s *simulation) enqueue(actions []ordergate.Action) { s.pending = append(s.pending, actions...) }

// perform carries out the first pending action, with the outcome that choose
// returns.
func (s *simulation) perform(choose func(label string, n int) int) {
	action := s.pending[0]
	s.pending = s.pending[1:]
	switch a := action.(type) {
	case ordergate.Reply:
		s.replies[a.ID] = a.Err
	case ordergate.ReadWatermark:
		if choose("read fails", 4) == 3 {
			s.enqueue(s.gate.WatermarkFailed())
			return
		}
		s.enqueue(s.gate.WatermarkRead(s.now, s.row, s.version))
	case ordergate.WriteWatermark:
		s.write(a, choose("write", 4))
	case ordergate.Forward:
		s.forward(a, choose("forward", 4))
	}
}

func (s *simulation) write(a ordergate.WriteWatermark, outcome int) {
	if outcome == 3 { // not carried out
		s.enqueue(s.gate.WatermarkFailed())
		return
	}
	if a.Version != s.version {
		s.enqueue(s.gate.WatermarkRead(s.now, s.row, s.version))
		return
	}
	s.row, s.version = a.Watermark, s.version+1
	if outcome == 2 { // carried out, but the response was lost
		s.enqueue(s.gate.WatermarkFailed())
		return
	}
	s.enqueue(s.gate.WatermarkWritten(s.now, s.version))
}

func (s *simulation) forward(a ordergate.Forward, outcome int) {
	number := s.numbers[a.ID]
	switch outcome {
	case 0, 1:
		s.applied = append(s.applied, number)
		s.enqueue(s.gate.Forwarded(s.now, nil, false))
	case 2:
		s.enqueue(s.gate.Forwarded(s.now, errors.New("refused"), true))
	case 3: // the engine is slow and its response was lost
		s.inEngine = append(s.inEngine, delayed{number, s.now.Add(settleTime)})
		s.enqueue(s.gate.Forwarded(s.now, ordergate.ErrIndeterminate, false))
	}
}

func (s *simulation) propose(number ordergate.Number) uint64 {
	s.nextID++
	s.numbers[s.nextID] = number
	s.enqueue(s.gate.Propose(s.now, s.nextID, number))
	return s.nextID
}

// advance advances the clock. Orders in the engine take effect by their deadline.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	var left []delayed
	for _, order := range s.inEngine {
		if order.deadline.After(s.now) {
			left = append(left, order)
			continue
		}
		s.applied = append(s.applied, order.number)
	}
	s.inEngine = left
	s.enqueue(s.gate.Tick(s.now))
}

// TestOrdersTakeEffectInNumberOrder guards against undoing a later order. The simulation has holders with expired leases, agents
// replaced between any two steps, a table that fails or loses responses, and an engine that does not check numbers, is slow or restarts.
func TestOrdersTakeEffectInNumberOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		choose := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(*rapid.T) {
				s.propose(ordergate.Number{Fence: uint64(choose("fence", 4) + 1), Seq: uint64(choose("seq", 6) + 1)})
			},
			"perform one": func(t *rapid.T) {
				if len(s.pending) == 0 {
					t.Skip("no action is pending")
				}
				s.perform(choose)
			},
			"order to completion": func(*rapid.T) {
				s.propose(ordergate.Number{Fence: uint64(choose("fence", 2) + 1), Seq: uint64(choose("seq", 4) + 1)})
				for len(s.pending) > 0 {
					s.perform(choose)
				}
			},
			"time passes": func(*rapid.T) { s.advance(time.Duration(choose("seconds", 8)) * time.Second) },
			"effect": func(t *rapid.T) {
				if len(s.inEngine) == 0 {
					t.Skip("no order is in the engine")
				}
				s.applied = append(s.applied, s.inEngine[0].number)
				s.inEngine = s.inEngine[1:]
			},
			"agent restarts": func(*rapid.T) {
				for _, action := range s.pending { // A call in progress may still arrive.
					if forward, ok := action.(ordergate.Forward); ok && choose("arrives", 2) == 1 {
						s.inEngine = append(s.inEngine, delayed{s.numbers[forward.ID], s.now.Add(settleTime)})
					}
				}
				s.restart()
			},
			"current incarnation observed": func(*rapid.T) { s.observeIncarnation() },
			"engine restarts": func(*rapid.T) {
				s.incarnation++
				s.inEngine, s.applied = nil, nil // It restarts with nothing loaded.
				s.observeIncarnation()
			},
			"": func(t *rapid.T) {
				for i := 1; i < len(s.applied); i++ {
					require.False(t, s.applied[i].Before(s.applied[i-1]), "order %v took effect after %v", s.applied[i], s.applied[i-1])
				}
			},
		})
	})
}

func succeed(string, int) int { return 0 }

func (s *simulation) performAll() {
	s.observeIncarnation()
	for len(s.pending) > 0 {
		s.perform(succeed)
	}
}

// Guards against an order of an expired lease holder that undoes one of the next
// holder.
func TestOrderOfExpiredLeaseHolderIsRefused(t *testing.T) {
	s := newSimulation()
	newer := s.propose(ordergate.Number{Fence: 8, Seq: 1})
	s.performAll()
	older := s.propose(ordergate.Number{Fence: 7, Seq: 9})
	s.performAll()
	require.NoError(t, s.replies[newer])
	require.ErrorIs(t, s.replies[older], ordergate.ErrStale)
	assert.Equal(t, []ordergate.Number{{Fence: 8, Seq: 1}}, s.applied)
}

// Guards against accepting an order of an expired lease holder after the agent
// was replaced.
func TestWatermarkIsReadAfterRestart(t *testing.T) {
	s := newSimulation()
	s.propose(ordergate.Number{Fence: 8, Seq: 1})
	s.performAll()
	s.restart()
	older := s.propose(ordergate.Number{Fence: 7, Seq: 9})
	s.performAll()
	require.ErrorIs(t, s.replies[older], ordergate.ErrStale)
}

// forwardIndeterminate proposes an order that a slow engine receives and whose
// outcome is indeterminate.
func (s *simulation) forwardIndeterminate(number ordergate.Number) {
	s.propose(number)
	for len(s.pending) > 0 {
		s.perform(func(label string, _ int) int {
			if label == "forward" {
				return 3
			}
			return 0
		})
	}
}

// Guards against an order that overtakes an earlier one, which the previous agent
// had forwarded to a slow engine.
func TestOrderWaitsForIndeterminateOrderOfPreviousAgent(t *testing.T) {
	s := newSimulation()
	s.observeIncarnation()
	s.forwardIndeterminate(ordergate.Number{Fence: 1, Seq: 1})
	s.restart()
	id := s.propose(ordergate.Number{Fence: 1, Seq: 2})
	s.performAll()
	require.NotContains(t, s.replies, id)
	s.advance(settleTime)
	s.performAll()
	require.Contains(t, s.replies, id)
	assert.Equal(t, []ordergate.Number{{Fence: 1, Seq: 1}, {Fence: 1, Seq: 2}}, s.applied)
}

// Guards against a watermark without the engine's incarnation, from which the
// next agent would infer a restart and not wait for the order.
func TestNoOrderIsForwardedBeforeIncarnationIsKnown(t *testing.T) {
	s := newSimulation()
	s.forwardIndeterminate(ordergate.Number{Fence: 1, Seq: 1})
	assert.Empty(t, s.inEngine)
	assert.Zero(t, s.version)
}

// Guards against forwarding an order after a later one arrived during the write
// of the row.
func TestOrderSupersededDuringWriteIsNotForwarded(t *testing.T) {
	s := newSimulation()
	s.observeIncarnation()
	first := s.propose(ordergate.Number{Fence: 1, Seq: 1})
	s.perform(succeed) // read; the write is pending
	second := s.propose(ordergate.Number{Fence: 2, Seq: 1})
	s.performAll()
	require.ErrorIs(t, s.replies[first], ordergate.ErrStale)
	require.NoError(t, s.replies[second])
	assert.Equal(t, []ordergate.Number{{Fence: 2, Seq: 1}}, s.applied)
}

func TestOrdersAreRefusedWithoutTable(t *testing.T) {
	s := newSimulation()
	s.observeIncarnation()
	id := s.propose(ordergate.Number{Fence: 1, Seq: 1})
	s.perform(func(string, int) int { return 3 })
	s.performAll()
	require.ErrorIs(t, s.replies[id], ordergate.ErrNoWatermark)
	assert.Empty(t, s.applied)
	again := s.propose(ordergate.Number{Fence: 1, Seq: 1})
	s.performAll()
	require.NoError(t, s.replies[again])
}

func TestRepeatedOrderIsForwardedOnce(t *testing.T) {
	s := newSimulation()
	for range 2 {
		id := s.propose(ordergate.Number{Fence: 1, Seq: 1})
		s.performAll()
		require.NoError(t, s.replies[id])
	}
	assert.Len(t, s.applied, 1)
}

func TestEngineRestartSettlesIndeterminateOrder(t *testing.T) {
	s := newSimulation()
	s.propose(ordergate.Number{Fence: 1, Seq: 1})
	s.observeIncarnation()
	s.perform(succeed)                            // read
	s.perform(succeed)                            // write
	s.perform(func(string, int) int { return 3 }) // forward, outcome indeterminate
	s.performAll()
	id := s.propose(ordergate.Number{Fence: 1, Seq: 2})
	s.performAll()
	require.NotContains(t, s.replies, id, "the first may still take effect")
	s.enqueue(s.gate.ObserveIncarnation(s.now, 2))
	s.performAll()
	require.Contains(t, s.replies, id)
	require.NoError(t, s.replies[id])
}
