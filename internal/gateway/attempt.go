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
	// maxIdleNonRepeatable and maxIdleRepeatable bound how long a reused connection
	// may have been idle. If the server closes it while a request is in flight, the
	// outcome is indeterminate, so requests that must not run twice use recently
	// used connections only.
	maxIdleNonRepeatable = 700 * time.Millisecond
	maxIdleRepeatable    = 10 * time.Second
	// defaultKeepAlive is how long a connection is kept if the server announces no
	// keep-alive time. Servers announce whole seconds, so one that announces none
	// may close in less than a second.
	defaultKeepAlive = 400 * time.Millisecond
	// keepAliveShare is the part of an announced keep-alive time that is used.
	keepAliveShare = 0.7
	// serverResponseMargin is the part of a request's time kept for a server's
	// final response to arrive: a few round trips and scheduling delays.
	serverResponseMargin = 30 * time.Millisecond
	// hashFractionSteps is the number of different values of hashFraction.
	hashFractionSteps = 1 << 20
)

// sendOutcome is how one send ended.
type sendOutcome int

const (
	// delivered: the caller has its final response, or as much of it as can be
	// sent.
	delivered sendOutcome = iota
	// notSent: no byte reached a server; the request may be sent to another.
	notSent
	// notRun: the server proved that it did not run the request, which may be sent
	// to another.
	notRun
	// indeterminate: the server may have run the request.
	indeterminate
	// canceled: the caller disconnected or the deadline passed; the server may have
	// run the request.
	canceled
)

// hashFraction maps a request ID to [0, 1), with the same result at every
// entry.
func hashFraction(id string) float64 {
	return float64(xxh3.HashString(id)%hashFractionSteps) / hashFractionSteps
}

// spread lengthens a pause by up to its own length, as a hash of the key says, so that
// those who pause do not come back at the same moment.
func spread(pause time.Duration, key string) time.Duration {
	return pause + time.Duration(hashFraction(key)*float64(pause))
}

// run sends the request, to several servers if needed, until the caller has a
// response.
func (j *job) run() {
	if h := j.checkQuarantine(); h != nil {
		j.respondQuarantined(h)
		return
	}
	if !j.findOrigin() {
		return
	}
	defer j.returnRetry()
	for {
		choice, err := j.chooseServer()
		if isRejection(err) {
			j.rejectForCapacity(err)
			return
		}
		if err != nil {
			j.giveUp(j.unavailability(err))
			return
		}
		// The request may have been quarantined while it waited for a server.
		if h := j.checkQuarantine(); h != nil {
			j.sendFinished(&choice, notSent)
			j.respondQuarantined(h)
			return
		}
		if j.isLateForStop() {
			j.sendFinished(&choice, notSent)
			j.giveUp(errNoTimeLeft.Error())
			return
		}
		if !j.takePermit(choice.Server.ID) {
			j.sendFinished(&choice, notSent)
			continue
		}
		outcome := j.send(&choice)
		if outcome == notSent || outcome == notRun {
			j.unrunSends++
		}
		switch outcome {
		case delivered:
			return
		case notSent:
			j.returnPermit()
			if !j.mayResendUnsent("server not reached") {
				return
			}
		case notRun:
			if !j.mayResendRefused("refused by the server") {
				return
			}
		case indeterminate:
			j.indeterminateSends++
			if !j.mayRepeat() {
				return
			}
		case canceled:
			j.indeterminateSends++
			j.giveUp(j.cancelReason())
			return
		}
	}
}

// mayResendUnsent decides whether to send again after a send that reached no
// server. Such sends take nothing from the retry budget: a few dead servers
// would exhaust it, and requests would be refused although other servers are
// idle.
func (j *job) mayResendUnsent(reason string) bool {
	if j.ctx.Err() == nil && !j.lastSend() {
		return true
	}
	j.giveUp(reason + ", not sent again")
	return false
}

// mayResendRefused decides whether to send again after a server refused the
// request. Refused sends count against the retry budget.
func (j *job) mayResendRefused(reason string) bool {
	if j.ctx.Err() == nil && !j.lastSend() && j.takeRetry(reason) {
		return true
	}
	j.giveUp(reason + ", not sent again")
	return false
}

const (
	// maxSends bounds the sends of one request, refused ones included.
	maxSends = 4
	// maxRefusedConnections is the number of refused connections that do not count as
	// sends while usable servers are left. They take a round trip each, and when a rack
	// loses power its servers refuse before any of them is known to have ended.
	maxRefusedConnections = 12
)

// othersLeft reports whether usable servers were left beside the chosen one. An owner that
// offers one does not say.
func (j *job) othersLeft(choice *routing.DirectChoice) bool {
	return choice.Server.Usable && (choice.Candidates > 1 || j.offer != nil)
}

// lastSend reports whether no send may follow the present one.
func (j *job) lastSend() bool {
	return j.sends-min(j.refusedConnections, maxRefusedConnections) >= maxSends
}

// mayRepeat decides whether to send a request again that may have run.
func (j *job) mayRepeat() bool {
	allowed := j.route.Repeatable() && j.indeterminateSends < j.route.MaxAttempts && j.ctx.Err() == nil && j.mayGoOn() && j.crashesAllowRepeat()
	if allowed && !j.lastSend() && j.takeRetry("outcome unknown") {
		j.chargeRepeat()
		return true
	}
	j.giveUp("outcome unknown, not repeated")
	return false
}

// giveUp ends the request without another send: with a retry delay if nothing
// ran, else with an error that leaves the outcome open. It panics with
// http.ErrAbortHandler if a stream has begun or the caller has disconnected.
func (j *job) giveUp(reason string) {
	switch {
	case j.stream.delivered > 0:
		// The response has begun: closing the connection shows that it is incomplete.
		j.abort("stream interrupted: " + reason)
	case errors.Is(j.ctx.Err(), context.Canceled) && !j.stopEnded():
		// Nobody reads a response. Returning without one would send an empty 200
		// response if the connection is open after all.
		j.abort("caller disconnected")
	case j.indeterminateSends > 0 && j.serverFailure != nil:
		j.writeBuffered(j.serverFailure)
	case j.indeterminateSends > 0:
		j.respondFailed(reason)
	default:
		j.respondUnavailable(reason, j.retryDelay())
	}
}

// cancelReason says why the request's context ended.
func (j *job) cancelReason() string {
	if j.stopEnded() {
		return errStopEnds.Error()
	}
	return "deadline passed or caller disconnected"
}

// rejectForCapacity ends a request that the wait queue rejected. If an earlier
// send may have run, the response must not say that the request has not run.
func (j *job) rejectForCapacity(err error) {
	if j.indeterminateSends > 0 {
		j.giveUp(err.Error())
		return
	}
	j.gateway.metrics.Count("turned_away", j.routeLabel(), 1)
	j.respondUnavailable(err.Error(), spread(j.retryAfter, j.head.ID))
}

// retryDelay is the time after which a refused request may be retried, spread
// by request ID. It is not before a server that has named a limit takes another one, or
// before the first rest ends if all servers rest. While this entry stops, others serve it.
func (j *job) retryDelay() time.Duration {
	const base = 250 * time.Millisecond
	if j.gateway.stopping.Load() {
		return spread(stopRetryAfter, j.head.ID)
	}
	now := time.Now()
	return j.restDelay(now) + spread(max(base, j.gateway.state.limitDelay(now, j.service)), j.head.ID)
}

// serverTimeout returns the part of the remaining time that a server is given.
// The rest lets the server's notice that it did not run an expired request
// arrive before the entry's own deadline. Without it such a request would count
// as indeterminate, and its server as failed.
func serverTimeout(left time.Duration) time.Duration { return max(left-serverResponseMargin, left/2) }

// forwardOptions returns what the chosen server is sent in addition to the caller's
// request.
func (j *job) forwardOptions(choice *routing.DirectChoice) call.ForwardOptions {
	options := call.ForwardOptions{
		Instance: choice.Server.Instance, Timeout: serverTimeout(time.Until(j.deadline)), Priority: -1,
		LastEventID: j.stream.lastID,
	}
	if j.workspace != nil {
		options.Workspace = j.workspace.Name
	}
	if choice.Server.Version == 0 {
		return options
	}
	options.Salt, options.Version = choice.Salt, choice.Server.Version
	options.FetchFrom, options.SaveTo = choice.FetchFrom, choice.SaveTo
	options.Priority = j.table.PriorityLevel(j.route, j.workspace)
	return options
}

// send makes one attempt at one server.
func (j *job) send(choice *routing.DirectChoice) sendOutcome {
	g := j.gateway
	server := choice.Server
	isRetry := j.spendRetry()
	j.sends++
	j.sending = choice
	j.tried = append(j.tried, server.ID)
	options := j.forwardOptions(choice)
	j.outbound.Header = g.ports.Dialect.RequestHeader(j.inbound.Header, options)
	j.outbound.HeadTime = j.headTime(choice)
	j.sentAt, j.firstEventAt = time.Now(), time.Time{}
	j.load, j.hasLoad = call.Load{}, false
	klog.InfoS("Placed", append([]any{"request", j.head.ID, "server", server.ID, "send", j.sends, "owner", j.ownerName(), "expectedMS", int(choice.ExpectedMS),
		"queueMS", int(choice.Terms.QueueMS), "lowerPriorityMS", int(choice.Terms.LowerPriorityMS), "correctionMS", int(choice.Terms.CorrectionMS), "readMS", int(choice.Terms.PrefillMS), "rereadMS", int(choice.Terms.RecomputeMS), "memoryMS", int(choice.Terms.MemoryMS),
		"software", server.Software, "version", server.Version, "versionAgeMS", server.VersionAge.Milliseconds(), "prefix", strconv.FormatUint(uint64(choice.Prefix), 36), "source", choice.Source.String(), "fetch", choice.FetchFrom, "save", choice.SaveTo, "priority", options.Priority, "tokens", j.head.InputTokens, "output", j.head.OutputTokens, "candidates", choice.Candidates}, j.crossingFields(choice)...)...)
	response, err := g.pool.Send(j.ctx, server.Address, &j.outbound, j.reusePolicy(), j.matchesRequest)
	if err != nil {
		outcome := j.sendFailed(choice, err)
		if outcome == notSent && isRetry {
			j.keepRetry()
		}
		return outcome
	}
	defer response.Close()
	defer j.measureResponse(choice, response)()
	head := g.ports.Dialect.DecodeResponse(response.Status, response.Header)
	response.KeepFor(j.keepConnection(server.Address, head.KeepAlive))
	g.state.observeResponse(time.Now(), j.sentAt, server.ID, j.modelName(), &head)
	outcome := j.handleResponse(choice, response, &head)
	j.sendFinished(choice, outcome)
	return outcome
}

func (j *job) modelName() string {
	if j.service.Engine == nil {
		return ""
	}
	return j.head.Model
}

func (j *job) reusePolicy() upstream.ReusePolicy {
	if j.route.Repeatable() {
		return upstream.ReusePolicy{MaxIdle: maxIdleRepeatable}
	}
	return upstream.ReusePolicy{MaxIdle: maxIdleNonRepeatable}
}

func keepAliveFor(announced time.Duration) time.Duration {
	if announced <= 0 {
		return defaultKeepAlive
	}
	return time.Duration(float64(announced) * keepAliveShare)
}

// matchesRequest reports whether a response belongs to this request. On a reused
// connection a response without an ID may be a late one to an earlier request, also
// when it says that the request did not run.
func (j *job) matchesRequest(h http.Header, reused bool) bool {
	head := j.gateway.ports.Dialect.DecodeResponse(0, h)
	if head.ID == "" {
		return !reused
	}
	return head.ID == j.head.ID
}

func (j *job) sendFailed(choice *routing.DirectChoice, err error) sendOutcome {
	s := j.gateway.state
	now := time.Now()
	outcome := indeterminate
	switch {
	case errors.Is(j.ctx.Err(), context.Canceled), errors.Is(j.ctx.Err(), context.DeadlineExceeded):
		outcome = canceled
		if errors.Is(err, upstream.ErrNotSent) {
			outcome = notSent
		}
	case errors.Is(err, upstream.ErrNotSent):
		outcome = notSent
	}
	klog.InfoS("Send failed", "request", j.head.ID, "server", choice.Server.ID, "err", err, "afterMS", now.Sub(j.sentAt).Milliseconds(), "mayHaveRun", outcome != notSent,
		"fingerprint", j.fingerprintOf(outcome), "parts", j.sharedPartIDs())
	if !errors.Is(j.ctx.Err(), context.Canceled) {
		s.sendFailed(now, choice.Server.ID, err)
		j.evidence.notListening = errors.Is(err, upstream.ErrNoListener)
		if j.evidence.notListening && j.othersLeft(choice) {
			j.refusedConnections++
		}
		j.evidence.failed = true
	}
	if exceeded := j.gateway.countExceeded(err); outcome == indeterminate && !exceeded {
		j.recordEarlyInterruption(choice, true)
	}
	j.sendFinished(choice, outcome)
	return outcome
}

// sendFinished reports how the send ended to this entry's router and to the
// owner of the server's shard.
func (j *job) sendFinished(choice *routing.DirectChoice, outcome sendOutcome) {
	j.sending = nil
	ended := j.evidence.endedProgress(outcome == delivered)
	ended.SlowdownPercent = uint32(j.load.SlowdownPercent) //nolint:gosec // positive
	unrun := outcome == notSent || outcome == notRun
	if unrun && j.offer != nil {
		ended = j.offer.share.unused(ended)
	}
	j.notifyOwner(ended)
	factsReported := j.offer != nil && j.offer.owner.Name != j.gateway.settings.Node
	j.offer, j.evidence = nil, evidence{}
	j.mayHaveStarted = j.mayHaveStarted || !unrun
	s := j.gateway.state
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if factsReported {
		s.facts.Drop(choice.Server.ID)
	}
	s.router.Finished(now, j.head.ID, outcome == delivered)
	if unrun {
		j.returnShareLocked(now)
	}
	if outcome == delivered {
		s.members.Succeeded(now, choice.Server.ID)
	}
}
