package gateway

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/waitroom"
)

// serveTick between two tries to place the requests that wait. Entries look at
// different moments and tell each other in between where they sent larger ones:
// a server that had taken new weights was filled by all of them at once before.
// In the model, with new weights at 5 times 37 long prompts a second, requests
// put back 115 with looks each 20 ms and no word, 63 with the word, 46 so.
const serveTick = 100 * time.Millisecond

// errTurnedAway ends a request that must not wait.
var errTurnedAway = errors.New("no memory free at backend servers, and none soon")

// placed is what a waiting request hears.
type placed struct {
	choice routing.DirectChoice
	err    error
}

// waiter is a job in the room. granted has room for one answer, so that whoever
// serves the room never waits for the job.
type waiter struct {
	job     *job
	granted chan placed
}

// await lets a request wait until a server has memory for it.
func (j *job) await(reading time.Duration) (routing.DirectChoice, error) {
	s := j.gateway.state
	now := time.Now()
	w := &waiter{job: j, granted: make(chan placed, 1)}
	request := waitroom.Request{
		ID: j.head.ID, Urgency: j.table.Urgency(j.route, j.workspace), Arrived: j.arrived,
		Reading: reading, InTimeUntil: j.arrived.Add(j.route.Target), Deadline: j.deadline,
	}
	s.mu.Lock()
	if _, twice := s.waiters[j.head.ID]; twice {
		// The caller sent an id twice: only one of them can be told apart.
		s.mu.Unlock()
		return j.place(false)
	}
	after, ok := s.room.Enter(now, request)
	if ok {
		s.waiters[j.head.ID] = w
	}
	waiting := s.room.Len()
	s.mu.Unlock()
	if !ok {
		klog.InfoS("Turned away", "request", j.head.ID, "waiting", waiting, "comeBackMS", after.Milliseconds())
		j.after = after
		return routing.DirectChoice{}, errTurnedAway
	}
	klog.InfoS("Waits for memory", "request", j.head.ID, "urgency", request.Urgency, "waiting", waiting, "sendAt", request.Until())
	return j.awaitGrant(w)
}

func (j *job) awaitGrant(w *waiter) (routing.DirectChoice, error) {
	begun := time.Now()
	select {
	case p := <-w.granted:
		j.gateway.metrics.Time("waited", j.class(), time.Since(begun))
		return p.choice, p.err
	case <-j.ctx.Done():
	}
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.room.Leave(j.head.ID) {
		delete(s.waiters, j.head.ID)
		return routing.DirectChoice{}, j.ctx.Err()
	}
	// It was placed at the same moment: the server must not count it.
	if p := <-w.granted; p.err == nil {
		s.router.Finished(time.Now(), j.head.ID, false)
	}
	return routing.DirectChoice{}, j.ctx.Err()
}

// serveRoom places what waits, as far as memory is free.
func (g *Gateway) serveRoom(now time.Time) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room.Serve(now, func(id string, anyway bool) bool {
		w := s.waiters[id]
		// A process that stops has no time to wait.
		choice, err := w.job.placeLocked(now, !anyway && !g.stopping.Load())
		if errors.Is(err, routing.ErrNoRoom) {
			return false
		}
		delete(s.waiters, id)
		w.granted <- placed{choice, err}
		return true
	})
}
