package agent

import (
	"context"
	"sync"
	"time"

	"github.com/jayproxy/jayproxy/internal/admission"
)

// schedule is the admission queue with its lock and its timer.
type schedule struct {
	ctx     context.Context
	perform func(admission.Action)
	wake    chan struct{}

	mu    sync.Mutex
	queue *admission.Queue
	rate  *admission.RateMeter
}

func newSchedule(ctx context.Context, s QueueSettings, perform func(admission.Action)) *schedule {
	return &schedule{
		ctx:     ctx,
		perform: perform,
		wake:    make(chan struct{}, 1),
		queue:   admission.New(admission.Options{Slots: s.Slots, Length: s.Length, Bytes: s.Bytes, Floor: s.Floor}),
		rate:    admission.NewRateMeter(s.PrefillGuess),
	}
}

// with runs a step of the queue and then, outside the lock, what it asked for.
func (s *schedule) with(step func(now time.Time, q *admission.Queue) []admission.Action) {
	s.mu.Lock()
	actions := step(time.Now(), s.queue)
	s.mu.Unlock()
	for _, action := range actions {
		s.perform(action)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *schedule) offer(req admission.Request) (decision admission.Decision) {
	s.with(func(now time.Time, q *admission.Queue) (actions []admission.Action) {
		q.SetRate(s.rate.Rate())
		decision, actions = q.Offer(now, req)
		return actions
	})
	return decision
}

func (s *schedule) ready(id string) {
	s.with(func(now time.Time, q *admission.Queue) []admission.Action { return q.Ready(now, id) })
}

func (s *schedule) done(id string) {
	s.with(func(now time.Time, q *admission.Queue) []admission.Action { return q.Done(now, id) })
}

func (s *schedule) configure(slots, length int) {
	s.with(func(now time.Time, q *admission.Queue) []admission.Action { return q.Configure(now, slots, length) })
}

// prefillBegin and prefillEnd bracket the computing of a prompt.
func (s *schedule) prefillBegin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate.Begin(time.Now())
}

func (s *schedule) prefillEnd(tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate.End(time.Now(), tokens)
}

func (s *schedule) firstToken(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.FirstToken(id)
}

func (s *schedule) setGuess(tokensPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate.SetInitialRate(tokensPerSecond)
}

func (s *schedule) prefillRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate.Rate()
}

func (s *schedule) load() admission.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Load(time.Now())
}

// cost is the expected time to the first token of a request that is only asked about.
func (s *schedule) cost(req admission.Request) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetRate(s.rate.Rate())
	return s.queue.CostMS(time.Now(), req.Class, req.Tokens)
}

// loop refuses waiting requests when their deadlines pass.
func (s *schedule) loop() {
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
		case <-s.wake:
		case <-timer.C:
			s.with(func(now time.Time, q *admission.Queue) []admission.Action { return q.Tick(now) })
		}
	}
}
