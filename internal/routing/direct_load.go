package routing

import (
	"time"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/locality"
)

// directLoad is the known load of one server.
type directLoad struct {
	// running counts this router's requests there; prefill is that of those
	// without a first token, prompts their number by priority.
	running int
	prefill pendingPrefill
	prompts pendingPrefill
	// late is by how much first tokens came later than expected.
	late expectationError
	// otherRequests counts requests of other entries, as of otherRequestsAt.
	otherRequests   float64
	otherRequestsAt time.Time
	// reportedRequests is the number of all requests there at otherRequestsAt, placedSince that
	// of those which this router has sent since.
	reportedRequests, placedSince int
	// reportedWaiting is the number of requests that waited there at otherRequestsAt.
	reportedWaiting int
	// receivedLoads is the pending prefill reported by other entries, by entry.
	receivedLoads map[uint32]receivedLoad
	// tokens that this router's requests occupy in its memory; receivedMemory
	// holds those of other entries, by entry.
	tokens         int
	receivedMemory map[uint32]receivedTokens
	// service is the time of a response to a request without a prompt.
	service serviceTime
	// slowdown is how much longer than usual work took at slowdownAt, as a factor;
	// 0: not reported.
	slowdown   float64
	slowdownAt time.Time
	// dataCentre of the server; unset without a Locality.
	dataCentre string
	// index is the server's last known index in the list, which may have changed since.
	index int32
}

// pendingRun is a placed request that has not finished.
type pendingRun struct {
	server    string
	prefillMS float64
	priority  int
	// expectedMS is the expected time to the first token without the correction.
	expectedMS float64
	// serviceFactor is how much longer than at an idle server at its usual pace the
	// response was expected to take; 0: not known.
	serviceFactor float64
	tokens        int
	// keys of the prefix's levels, outermost first; owner is the key of its owners.
	keys          []uint32
	owner         uint32
	at            time.Time
	hasFirstToken bool
	// expiresAt is when the run is dropped if Finished was not called; zero:
	// never.
	expiresAt time.Time
	// savedPart is the key of the part that is saved to a store after prefill;
	// 0: none.
	savedPart uint32
	// group that counts the run as demand of workMS, nil without a Locality. crowd is the
	// number of requests that shared or waited for its slot; 0: its time is not recorded.
	group         *locality.Group
	workMS, crowd float64
	dataCentre    string
}

func (d *Direct) load(server string) *directLoad {
	l, ok := d.loads[server]
	if !ok {
		l = &directLoad{receivedLoads: map[uint32]receivedLoad{}, receivedMemory: map[uint32]receivedTokens{}}
		d.loads[server] = l
	}
	return l
}

// setQueue sets the terms for the requests ahead of one at a server.
func (d *Direct) setQueue(now time.Time, req *DirectRequest, l *directLoad, s *DirectServer, withoutPrompt bool, t *DirectTerms) {
	if withoutPrompt {
		t.QueueMS = l.serviceMS(now, d.pool) * l.fillFactor(now, s.Slots)
		return
	}
	t.QueueMS, t.AheadMS, t.LowerPriorityMS = d.queueMS(now, l, req.Priority)
}

// queueMS returns the delay of a prompt by the requests at a server, the pending prefill ahead of
// it, and that of lower priorities.
func (d *Direct) queueMS(now time.Time, l *directLoad, priority int) (queue, ahead, lower float64) {
	ahead, lower = d.pendingMS(now, l, priority)
	queue = ahead + l.lowerMS(priority, lower) + runningRequestMS*float64(l.running) + otherEntryRequestMS*l.others(now)
	return queue, ahead, lower
}

// others returns the number of requests of other entries at a server, by its last report.
func (l *directLoad) others(now time.Time) float64 {
	return l.otherRequests * max(0, 1-float64(now.Sub(l.otherRequestsAt))/float64(reportLifetime))
}

// FirstToken records that the prompt of a request was prefilled, so that its
// prefix is cached at the server.
func (d *Direct) FirstToken(now time.Time, request string) {
	run := d.pending[request]
	if run == nil || run.hasFirstToken {
		return
	}
	run.hasFirstToken = true
	if l := d.loads[run.server]; l != nil {
		l.late.observe(now, run.priority, float64(now.Sub(run.at))/float64(time.Millisecond)-run.expectedMS)
		l.removePrefill(run)
	}
	for _, key := range run.keys {
		d.prefixes.markReady(now, key, run.server)
	}
}

// Expire removes requests whose ExpiresAt is over: the message about their end
// was lost, or the entry that sent them is gone.
func (d *Direct) Expire(now time.Time) {
	for request, run := range d.pending {
		if !run.expiresAt.IsZero() && now.After(run.expiresAt) {
			d.Finished(now, request, false)
		}
	}
}

// Finished records the end of a request. ran is false when the server proved
// that it did not run the request, or when it was never sent.
func (d *Direct) Finished(now time.Time, request string, ran bool) {
	run := d.pending[request]
	if run == nil {
		return
	}
	delete(d.pending, request)
	d.tokens -= run.tokens
	if !run.hasFirstToken {
		for _, key := range run.keys {
			d.prefixes.removePending(now, key, run.server)
		}
		if run.savedPart != 0 {
			d.stores.cancelSave(run.savedPart)
		}
	}
	if ran && run.tokens > 0 {
		d.observeResidence(run, now)
	}
	// A load created here for a server that is gone would never be removed.
	if l := d.loads[run.server]; l != nil {
		l.finished(now, run, ran)
	}
}

// finished removes a request from its server's load.
func (l *directLoad) finished(now time.Time, run *pendingRun, ran bool) {
	l.running = max(0, l.running-1)
	l.tokens = max(0, l.tokens-run.tokens)
	if !run.hasFirstToken {
		l.removePrefill(run)
	}
	if !ran {
		return
	}
	tookMS := float64(now.Sub(run.at)) / float64(time.Millisecond)
	if run.tokens == 0 {
		l.service.observe(now, tookMS, run.serviceFactor)
	}
	if run.crowd > 0 {
		run.group.ObserveWork(tookMS / run.crowd)
	}
}

// UpdateLoad records the load that a server reported with a response; it
// includes this router's own requests.
func (d *Direct) UpdateLoad(now time.Time, server string, load call.Load) {
	l := d.load(server)
	l.otherRequests = float64(max(0, load.Running+load.Waiting-l.running))
	l.otherRequestsAt, l.reportedWaiting = now, load.Waiting
	l.reportedRequests, l.placedSince = max(0, load.Running+load.Waiting), 0
	d.UpdateSlowdown(now, server, load.SlowdownPercent)
}

// HasFreeSlot reports whether a server recently said that it has a free slot, and this
// router has not filled it since.
func (d *Direct) HasFreeSlot(now time.Time, s *DirectServer) bool {
	l := d.loads[s.ID]
	if l == nil || l.otherRequestsAt.IsZero() || now.Sub(l.otherRequestsAt) > reportLifetime {
		return false
	}
	return float64(l.running)+l.otherRequests < float64(s.Slots)
}

// UpdateSlowdown records how long work takes at a server, in percent of the usual
// time; 0, not reported, changes nothing.
func (d *Direct) UpdateSlowdown(now time.Time, server string, reported int) {
	if reported > 0 {
		l := d.load(server)
		l.slowdown, l.slowdownAt = float64(reported)/percent, now
	}
}

const percent = 100

// slowdownLifetime is how long a reported slowdown counts, with linearly falling
// weight: it changes within a second.
const slowdownLifetime = 600 * time.Millisecond

// interruptScaleMS is the prefill time whose cost for each running stream equals it.
const interruptScaleMS = 2000

// interruptMS is the cost of a prefill for the streams that run at a server: it delays
// their next event. The square of its time, as short pauses make no stream late.
func (l *directLoad) interruptMS(prefillMS float64) float64 {
	return float64(l.running) * prefillMS * prefillMS / interruptScaleMS
}

// slowdownMS returns by how much a server's reported slowdown extends work that
// usually takes the given time; negative if the server is faster than usual.
func (l *directLoad) slowdownMS(now time.Time, usualMS float64) float64 {
	if l.slowdown == 0 {
		return 0
	}
	return usualMS * (l.slowdown - 1) * l.slowdownWeight(now)
}

// slowdownWeight returns the weight of the reported slowdown at its age.
func (l *directLoad) slowdownWeight(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(l.slowdownAt))/float64(slowdownLifetime))
}

// RemoveServer drops everything recorded of a server that is gone.
func (d *Direct) RemoveServer(server string) {
	delete(d.loads, server)
	d.prefixes.removeServer(server)
}

// ForgetCache records that a server's cache is empty: it loaded new weights, or
// its incarnation ended.
func (d *Direct) ForgetCache(server string) { d.prefixes.removeServer(server) }

// ServerOf returns the ID of the server at which a running request is counted;
// empty when it is not known.
func (d *Direct) ServerOf(request string) string {
	if run := d.pending[request]; run != nil {
		return run.server
	}
	return ""
}

// Running returns the number of this router's requests at a server.
func (d *Direct) Running(server string) int { return d.load(server).running }
