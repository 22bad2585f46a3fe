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
	// after is when to come back, of one that is turned away.
	after time.Duration
}

// waiter is a job in the room. granted has room for one answer, so that whoever
// serves the room never waits for the job.
type waiter struct {
	job     *job
	granted chan placed
	// asking the owners of shards now, askedAt when that last began, offer what
	// they offered; under the state's lock.
	asking  bool
	askedAt time.Time
	offer   *offered
	// alone: no owner answered, so that this entry looks for room by itself.
	alone bool
}

// ask asks the owners for a server with room, for a request that waits.
func (w *waiter) ask() {
	offer, err := w.job.bestOffer(true)
	s := w.job.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	w.asking, w.alone = false, errors.Is(err, errNoOffer)
	switch {
	case err != nil:
		klog.V(1).InfoS("No room yet", "request", w.job.head.ID, "err", err)
	case s.waiters[w.job.head.ID] == w:
		w.offer = offer
	default:
		// It was sent, or its caller left, while the owners were asked.
		go w.job.gateway.placing.giveBack(offer, nil)
	}
}

// placeLocked places a request that waits, if there is room for it.
func (w *waiter) placeLocked(now time.Time, anyway bool) (routing.DirectChoice, error) {
	if !w.job.gateway.sharded() || w.offer == nil && (anyway || w.alone) {
		w.alone = false
		return w.job.placeLocked(now, !anyway)
	}
	if offer := w.offer; offer != nil {
		w.offer = nil
		if choice, ok := w.job.acceptLocked(now, offer); ok {
			return choice, nil
		}
		go w.job.gateway.placing.giveBack(offer, nil)
		return w.job.placeLocked(now, !anyway)
	}
	if !w.asking && now.Sub(w.askedAt) >= reaskPause {
		w.asking, w.askedAt = true, now
		go w.ask()
	}
	return routing.DirectChoice{}, routing.ErrNoFreeMemory
}

// await lets a request wait until a server has memory for it.
func (j *job) await(reading time.Duration) (routing.DirectChoice, error) {
	s := j.gateway.state
	now := time.Now()
	w := &waiter{job: j, granted: make(chan placed, 1)}
	request := waitroom.Request{
		ID: j.head.ID, Urgency: j.table.Urgency(j.route, j.workspace), Arrived: j.arrived,
		Reading: reading, InTimeUntil: j.arrived.Add(j.route.Target), Deadline: j.firstBy(),
	}
	s.mu.Lock()
	// A second send may come when there is no time left to wait. And where a
	// caller sent an id twice only one of the two can be told apart.
	if _, twice := s.waiters[j.head.ID]; twice || !now.Before(request.Until()) {
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
	j.gateway.metrics.Count("waited_for_memory", j.class(), 1)
	klog.InfoS("Waits for memory", "request", j.head.ID, "urgency", request.Urgency, "waiting", waiting, "sendAt", request.Until())
	return j.awaitGrant(w)
}

// firstBy is until when the caller waits for a sign of an answer. Callers leave
// a stream that shows nothing long before their deadline: requests that waited
// for their share of the deadline were sent when nobody waited for them.
func (j *job) firstBy() time.Time {
	if j.route.QuietLimit <= 0 {
		return j.deadline
	}
	quiet := j.arrived.Add(j.route.QuietLimit)
	if quiet.Before(j.deadline) {
		return quiet
	}
	return j.deadline
}

func (j *job) awaitGrant(w *waiter) (routing.DirectChoice, error) {
	begun := time.Now()
	select {
	case p := <-w.granted:
		j.gateway.metrics.Time("waited", j.class(), time.Since(begun))
		if j.after = p.after; p.after > 0 {
			klog.InfoS("Turned away", "request", j.head.ID, "waitedMS", time.Since(begun).Milliseconds(), "comeBackMS", p.after.Milliseconds())
		}
		return p.choice, p.err
	case <-j.ctx.Done():
	}
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.room.Leave(j.head.ID) {
		delete(s.waiters, j.head.ID)
		if w.offer != nil {
			go j.gateway.placing.giveBack(w.offer, nil)
		}
		return routing.DirectChoice{}, j.ctx.Err()
	}
	// It was placed at the same moment: the server must not count it.
	if p := <-w.granted; p.err == nil {
		s.router.Finished(time.Now(), j.head.ID, false)
		go j.gateway.placing.giveBack(j.offer, nil)
	}
	return routing.DirectChoice{}, j.ctx.Err()
}

// serveRoom places what waits, as far as memory is free.
func (g *Gateway) serveRoom(now time.Time) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	away := s.room.Serve(now, func(id string, anyway bool) bool {
		w := s.waiters[id]
		// A process that stops has no time to wait.
		choice, err := w.placeLocked(now, anyway || g.stopping.Load())
		if errors.Is(err, routing.ErrNoFreeMemory) {
			return false
		}
		delete(s.waiters, id)
		w.granted <- placed{choice: choice, err: err}
		return true
	})
	for _, id := range away {
		s.waiters[id].granted <- placed{err: errTurnedAway, after: waitroom.ComeBack}
		delete(s.waiters, id)
	}
}
