package agent

import (
	"context"
	"sync"
	"time"

	"github.com/jayproxy/jayproxy/internal/admission"
)

// scheduler is the admission queue with its lock and its timer.
type scheduler struct {
	ctx     context.Context
	perform func(admission.Action)
	changed chan struct{}

	mu    sync.Mutex
	queue *admission.Queue
	rate  *admission.RateMeter
}

func newScheduler(ctx context.Context, s QueueSettings, perform func(admission.Action)) *scheduler {
	return &scheduler{
		ctx:     ctx,
		perform: perform,
		changed: make(chan struct{}, 1),
		queue:   admission.New(admission.Options{Slots: s.Slots, Length: s.Length, Bytes: s.Bytes, Floor: s.Floor}),
		rate:    admission.NewRateMeter(s.PrefillGuess),
	}
}

// update runs a step of the queue and then, outside the lock, the actions that
// it returned.
func (s *scheduler) update(step func(now time.Time, q *admission.Queue) []admission.Action) {
	s.mu.Lock()
	actions := step(time.Now(), s.queue)
	s.mu.Unlock()
	for _, action := range actions {
		s.perform(action)
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *scheduler) offer(req admission.Request) (decision admission.Decision) {
	s.update(func(now time.Time, q *admission.Queue) (actions []admission.Action) {
		q.SetRate(s.rate.Rate())
		decision, actions = q.Offer(now, req)
		return actions
	})
	return decision
}

func (s *scheduler) ready(id string) {
	s.update(func(now time.Time, q *admission.Queue) []admission.Action { return q.Ready(now, id) })
}

func (s *scheduler) done(id string) {
	s.update(func(now time.Time, q *admission.Queue) []admission.Action { return q.Done(now, id) })
}

func (s *scheduler) configure(slots, length int) {
	s.update(func(now time.Time, q *admission.Queue) []admission.Action { return q.Configure(now, slots, length) })
}

// prefillBegin and prefillEnd mark the start and the end of a prompt's prefill
// for the rate meter.
func (s *scheduler) prefillBegin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate.Begin(time.Now())
}

func (s *scheduler) prefillEnd(tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate.End(time.Now(), tokens)
}

func (s *scheduler) firstToken(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.FirstToken(id)
}

func (s *scheduler) setAssumedRate(tokensPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate.SetInitialRate(tokensPerSecond)
}

func (s *scheduler) prefillRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate.Rate()
}

func (s *scheduler) load() admission.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Load(time.Now())
}

// cost returns the expected time to the first token, in milliseconds, of a
// request that is not queued.
func (s *scheduler) cost(req admission.Request) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetRate(s.rate.Rate())
	return s.queue.CostMS(time.Now(), req.Class, req.Tokens)
}

// loop refuses waiting requests when their deadlines pass, until the context
// ends.
func (s *scheduler) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		next, ok := s.queue.NextDeadline()
		s.mu.Unlock()
		if ok {
			timer.Reset(time.Until(next))
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.changed:
		case <-timer.C:
			s.update(func(now time.Time, q *admission.Queue) []admission.Action { return q.Tick(now) })
		}
	}
}
