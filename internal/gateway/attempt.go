package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

const (
	// freshOnce and freshAny are how idle a kept connection may have been for a
	// request that must not run twice, and for any other. A connection that the
	// server closes while the request is under way leaves it unknown.
	freshOnce = 700 * time.Millisecond
	freshAny  = 10 * time.Second
	// keepUnsaid is how long a connection is kept when the server names no
	// time: it tells whole seconds, so it is below one.
	keepUnsaid = 400 * time.Millisecond
	// keepShare of the time that a server names is used.
	keepShare = 0.7
	// connShare of the connections that a server takes is used by all entries
	// together, leastConns by each in any case.
	connShare  = 0.9
	leastConns = 4
	// serverMargin of a request's time is kept for the server's last word to
	// arrive: a few round trips, and a process that waits for its processor.
	serverMargin = 30 * time.Millisecond
	// spreadSteps of the map from ids to shares.
	spreadSteps = 1 << 20
)

// result is how one send ended.
type result int

const (
	// delivered: the caller has its final answer, or as much as it can get.
	delivered result = iota
	// notSent: no byte reached a server; the request may go elsewhere.
	notSent
	// notRun: the server proved it; the request may go elsewhere.
	notRun
	// unknown: it may have run.
	unknown
	// ended: the caller has left or its time is over.
	ended
)

// spread maps a request's id to [0, 1), alike at every entry.
func spread(id string) float64 {
	return float64(xxh3.HashString(id)%spreadSteps) / spreadSteps
}

// run sends the request until it is answered.
func (j *job) run() {
	if after, held := j.isHeld(); held {
		j.turnBack(after)
		return
	}
	for {
		choice, err := j.choose()
		if errors.Is(err, errTurnedAway) {
			j.turnAway(err)
			return
		}
		if err != nil {
			j.giveUp("no backend server: " + err.Error())
			return
		}
		// It may have waited for long.
		if after, held := j.isHeld(); held {
			j.finished(&choice, notSent)
			j.turnBack(after)
			return
		}
		switch j.send(&choice) {
		case delivered:
			return
		case notSent:
			if !j.mayTryAnother("server not reached") {
				return
			}
		case notRun:
			if !j.mayGoOn("refused by the server") {
				return
			}
		case unknown:
			j.ranOn++
			if !j.mayRepeat() {
				return
			}
		case ended:
			j.ranOn++
			j.giveUp("time over or caller gone")
			return
		}
	}
}

// mayTryAnother decides after a send that reached no server: it arrived
// nowhere, so it takes nothing from the budget. Without that difference a few
// dead servers used the budget up, and requests were refused beside idle ones.
func (j *job) mayTryAnother(why string) bool {
	if j.ctx.Err() == nil && j.sends < maxSends {
		return true
	}
	j.giveUp(why + ", no further send")
	return false
}

// mayGoOn decides after a send that did not run. Refused arrivals count in the
// budget as well.
func (j *job) mayGoOn(why string) bool {
	now := time.Now()
	if j.ctx.Err() == nil && j.sends < maxSends && j.gateway.state.mayResend(now, j.service.Name, j.deadline) {
		return true
	}
	j.giveUp(why + ", no further send")
	return false
}

// maxSends of one request, refused ones included.
const maxSends = 4

// mayRepeat decides after a send that may have run.
func (j *job) mayRepeat() bool {
	may := j.route.Repeatable() && j.ranOn < j.route.MaxAttempts && j.ctx.Err() == nil && j.suspectsAllowRepeat()
	if may && j.sends < maxSends && j.gateway.state.mayResend(time.Now(), j.service.Name, j.deadline) {
		return true
	}
	j.giveUp("outcome unknown, not repeated")
	return false
}

// giveUp gives the final answer at once: a refusal that says when to come back
// when nothing ran, else a failure that promises nothing.
func (j *job) giveUp(why string) {
	switch {
	case j.stream.delivered > 0:
		// The answer has begun: ending the connection shows that it is not whole.
		j.outcome = "stream broken off: " + why
		j.note()
		panic(http.ErrAbortHandler)
	case errors.Is(j.ctx.Err(), context.Canceled):
		// Nobody reads an answer. Returning without one would be sent as an empty
		// success, if the connection is open after all.
		j.outcome = "caller left"
		j.note()
		panic(http.ErrAbortHandler)
	case j.ranOn > 0 && j.failure != nil:
		j.pass(j.failure)
	case j.ranOn > 0:
		j.fail(why)
	default:
		j.refuse(why, j.comeBack())
	}
}

// turnAway ends a request that would wait for nothing. It may have been sent
// before: then it can't be said that it has not run.
func (j *job) turnAway(err error) {
	if j.ranOn > 0 {
		j.giveUp(err.Error())
		return
	}
	j.gateway.metrics.Count("turned_away", j.class(), 1)
	// Callers come back spread over as long again, not all at one moment.
	j.refuse(err.Error(), j.after+time.Duration(spread(j.head.ID)*float64(j.after)))
}

// comeBack is when a refused request is worth another try.
func (j *job) comeBack() time.Duration {
	base := 250 * time.Millisecond
	return base + time.Duration(spread(j.head.ID)*float64(base))
}

// choose asks the router for the next server, and waits where none has room. A
// stream that has begun does not wait: its caller counts the pause.
func (j *job) choose() (routing.DirectChoice, error) {
	if j.apart = j.apartKey(); j.apart != 0 {
		return j.place(false)
	}
	choice, err := j.placeShared(j.stream.delivered == 0)
	if errors.Is(err, routing.ErrNoFreeMemory) {
		return j.await(routing.PrefillTime(j.head.InputTokens))
	}
	return choice, err
}

// place asks the router for a server. mayWait: rather none than one at which
// the request would wait for memory.
func (j *job) place(mayWait bool) (routing.DirectChoice, error) {
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.placeLocked(time.Now(), mayWait)
}

func (j *job) placeLocked(now time.Time, mayWait bool) (routing.DirectChoice, error) {
	s := j.gateway.state
	request := j.routed(s)
	request.MayWait = mayWait
	servers := s.candidatesLocked(now, j.service, j.modelName())
	j.markFull(servers)
	return s.router.Choose(now, &request, servers, j.tried)
}

// routed is the request as the router sees it; the state is locked.
func (j *job) routed(s *state) routing.DirectRequest {
	request := routing.DirectRequest{ID: j.head.ID, SuspectKey: j.apart}
	if j.modelName() == "" {
		return request
	}
	request.Tokens, request.OutputTokens = j.head.InputTokens, j.head.OutputTokens
	request.Prefix, request.Stores = j.head.Shared(), s.storesLocked(j.table, j.service.Engine)
	request.MemoryShare = routing.MemoryShare(j.table.RankOf(j.route))
	if j.workspace != nil && j.workspace.Isolated {
		request.IsolatedWorkspace = j.workspace.Name
	}
	return request
}

// markFull marks the servers at which this entry has its share of connections.
func (j *job) markFull(servers []routing.DirectServer) {
	for i := range servers {
		servers[i].Full = j.isFull(&servers[i])
	}
}

// isFull tells whether this entry has its share of a server's connections; the
// state is locked.
func (j *job) isFull(server *routing.DirectServer) bool {
	if j.service.MaxConns <= 0 {
		return false
	}
	share := max(leastConns, int(connShare*float64(j.service.MaxConns)/float64(j.gateway.state.entries)))
	return j.gateway.pool.Busy(server.Address) >= share
}

// leftFor is the time that a server is given of what is left. With all of it
// the server's word that it did not run a request, which waited there until its
// time was over, came at the moment at which the entry gave up by itself: what
// was proven not to have run ended as unknown, and the server as one that failed.
func leftFor(left time.Duration) time.Duration { return max(left-serverMargin, left/2) }

// directions for the chosen server.
func (j *job) directions(choice *routing.DirectChoice) call.Directions {
	d := call.Directions{
		Instance: choice.Server.Instance, Left: leftFor(time.Until(j.deadline)), Priority: -1,
		LastEventID: j.stream.lastID,
	}
	if j.workspace != nil {
		d.Workspace = j.workspace.Name
	}
	if choice.Server.Version == 0 {
		return d
	}
	d.Salt, d.Version = choice.Salt, choice.Server.Version
	d.FetchFrom, d.SaveTo = choice.FetchFrom, choice.SaveTo
	d.Priority = j.table.Urgency(j.route, j.workspace)
	return d
}

// send makes one attempt at one server.
func (j *job) send(choice *routing.DirectChoice) result {
	g := j.gateway
	server := choice.Server
	j.sends++
	j.tried = append(j.tried, server.ID)
	directions := j.directions(choice)
	j.message.Header = g.ports.Dialect.Forward(j.caller.Header, directions)
	j.sentAt, j.firstEventAt = time.Now(), time.Time{}
	klog.InfoS("Placed", "request", j.head.ID, "server", server.ID, "send", j.sends, "owner", j.ownerName(), "expectedMS", int(choice.ExpectedMS),
		"queueMS", int(choice.Terms.QueueMS), "readMS", int(choice.Terms.PrefillMS), "rereadMS", int(choice.Terms.RecomputeMS), "memoryMS", int(choice.Terms.MemoryMS),
		"version", server.Version, "versionAgeMS", server.VersionAge.Milliseconds(), "prefix", strconv.FormatUint(uint64(choice.Prefix), 36), "source", choice.Source.String(), "fetch", choice.FetchFrom, "save", choice.SaveTo, "priority", directions.Priority, "tokens", j.head.InputTokens, "output", j.head.OutputTokens, "candidates", choice.Candidates)
	response, err := g.pool.Send(j.ctx, server.Address, &j.message, j.freshness(), j.belongs)
	if err != nil {
		return j.sendFailed(choice, err)
	}
	defer response.Close()
	answer := g.ports.Dialect.Answer(response.Status, response.Header)
	response.KeepFor(keepFor(answer.KeepFor))
	g.state.told(time.Now(), server.ID, j.modelName(), &answer)
	outcome := j.take(choice, response, &answer)
	j.finished(choice, outcome)
	return outcome
}

func (j *job) modelName() string {
	if j.service.Engine == nil {
		return ""
	}
	return j.head.Model
}

func (j *job) freshness() upstream.Freshness {
	if j.route.Repeatable() {
		return upstream.Freshness{MaxIdle: freshAny}
	}
	return upstream.Freshness{MaxIdle: freshOnce}
}

func keepFor(told time.Duration) time.Duration {
	if told <= 0 {
		return keepUnsaid
	}
	return time.Duration(float64(told) * keepShare)
}

// belongs tells whether an answer is ours. On a connection that carried other
// requests an answer without an id may be a late one of theirs.
func (j *job) belongs(h http.Header, reused bool) bool {
	answer := j.gateway.ports.Dialect.Answer(0, h)
	if answer.ID == "" {
		return !reused || answer.NotRun || j.head.ID == ""
	}
	return answer.ID == j.head.ID
}

func (j *job) sendFailed(choice *routing.DirectChoice, err error) result {
	s := j.gateway.state
	now := time.Now()
	outcome := unknown
	switch {
	case errors.Is(j.ctx.Err(), context.Canceled), errors.Is(j.ctx.Err(), context.DeadlineExceeded):
		outcome = ended
		if errors.Is(err, upstream.ErrNotSent) {
			outcome = notSent
		}
	case errors.Is(err, upstream.ErrNotSent):
		outcome = notSent
	}
	klog.InfoS("Send failed", "request", j.head.ID, "server", choice.Server.ID, "err", err, "afterMS", now.Sub(j.sentAt).Milliseconds(), "mayHaveRun", outcome != notSent,
		"fingerprint", j.fingerprintOf(outcome))
	if !errors.Is(j.ctx.Err(), context.Canceled) {
		s.sendFailed(now, choice.Server.ID, err)
		j.evidence.notListening = errors.Is(err, upstream.ErrNoListener)
		j.evidence.failed = true
	}
	if outcome == unknown {
		j.noteEarlyEnd(choice)
	}
	j.finished(choice, outcome)
	return outcome
}

// finished tells the routers how the send ended: ours, and the owner of the
// server's shard.
func (j *job) finished(choice *routing.DirectChoice, outcome result) {
	j.tellOwner(j.evidence.end(outcome == delivered))
	j.offer, j.evidence = nil, evidence{}
	j.reached = j.reached || (outcome != notSent && outcome != notRun)
	s := j.gateway.state
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Finished(now, j.head.ID, outcome == delivered)
	if outcome == delivered {
		s.members.Succeeded(now, choice.Server.ID)
	}
}
