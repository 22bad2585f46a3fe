package sim

import (
	"context"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// Subscription reads published cache events after a sequence number.
type Subscription struct {
	core    *Core
	journal *journal
	after   uint64
	cursor  int
	notify  chan struct{}
}

// Subscribe starts after a sequence number of the current incarnation. It returns
// ErrGap when events after it were dropped, or it was never reached.
func (c *Core) Subscribe(after uint64) (*Subscription, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cursor, err := c.journal.from(after)
	if err != nil {
		return nil, err
	}
	s := &Subscription{core: c, journal: c.journal, after: after, cursor: cursor, notify: make(chan struct{}, 1)}
	c.journal.subscribers[s] = struct{}{}
	return s, nil
}

func (s *Subscription) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// Next waits for events. It returns ErrGap when the reader was too slow, ErrCrashed
// when the engine lost its state, or the error of ctx.
func (s *Subscription) Next(ctx context.Context) ([]engine.CacheEvent, error) {
	for {
		events, err := s.take()
		if err != nil || len(events) > 0 {
			return events, err
		}
		select {
		case <-s.notify:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-s.core.stop:
			return nil, ErrCrashed
		}
	}
}

func (s *Subscription) take() ([]engine.CacheEvent, error) {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	j := s.journal
	if j != s.core.journal {
		return nil, ErrCrashed
	}
	if s.cursor < j.first {
		return nil, ErrGap
	}
	var events []engine.CacheEvent
	for _, event := range j.ring[s.cursor-j.first:] {
		if event.Seq > s.after {
			events = append(events, event)
		}
	}
	s.cursor = j.first + len(j.ring)
	return events, nil
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	delete(s.journal.subscribers, s)
}
