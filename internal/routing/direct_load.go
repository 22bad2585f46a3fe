package routing

import (
	"time"

	"github.com/jayproxy/jayproxy/internal/call"
)

// directLoad is what is known of the work at one server.
type directLoad struct {
	// running counts our own requests there; readMS is the prompt work of those
	// without a first token yet.
	running   int
	prefillMS float64
	// otherRequests counts requests of other entries, as of othersAt.
	otherRequests   float64
	otherRequestsAt time.Time
	// receivedLoads is what other entries said of their unread prompts here.
	receivedLoads map[uint32]receivedLoad
	// tokens of our own requests in its memory, heardTokens those of others.
	tokens         int
	receivedMemory map[uint32]receivedTokens
	// serviceMS is the mean time of an answer of a plain service.
	serviceMS float64
}

type pendingRun struct {
	server    string
	prefillMS float64
	tokens    int
	// keys of the prefix's levels, outermost first.
	keys          []uint32
	at            time.Time
	hasFirstToken bool
	// expiresAt is when it counts no more though its end was not told; zero: never.
	expiresAt time.Time
	// savedPart names the part that is sent to a store when it was read; 0: none.
	savedPart uint32
}

func (d *Direct) load(server string) *directLoad {
	l, ok := d.loads[server]
	if !ok {
		l = &directLoad{serviceMS: defaultServiceMS, receivedLoads: map[uint32]receivedLoad{}, receivedMemory: map[uint32]receivedTokens{}}
		d.loads[server] = l
	}
	return l
}

func (d *Direct) queueMS(now time.Time, s *DirectServer, withoutPrompt bool) float64 {
	l := d.load(s.ID)
	others := l.otherRequests * max(0, 1-float64(now.Sub(l.otherRequestsAt))/float64(reportLifetime))
	if !withoutPrompt {
		return l.prefillMS + d.othersPrefillMS(now, l) + runningRequestMS*float64(l.running) + otherEntryRequestMS*others
	}
	// Work beyond the slots waits for one of them.
	slots := float64(max(s.Slots, 1))
	ahead := float64(l.running) + others
	wait := max(0, ahead+1-slots) / slots * l.serviceMS
	return wait + l.serviceMS*(1+ahead/slots/2)
}

// othersPrefillMS is what the unread prompts of other entries at a server take: as
// they tell, or guessed from our own where they have told nothing of late.
func (d *Direct) othersPrefillMS(now time.Time, l *directLoad) float64 {
	estimate := l.prefillMS * float64(min(max(d.entries, 1), maxEntryFactor)-1)
	hinted := l.hintedPrefillMS(now)
	return estimateShare*estimate + hinted
}

// FirstToken tells that the prompt of a request was read: its prefix is cached there.
func (d *Direct) FirstToken(now time.Time, request string) {
	run := d.pending[request]
	if run == nil || run.hasFirstToken {
		return
	}
	run.hasFirstToken = true
	if l := d.loads[run.server]; l != nil {
		l.prefillMS = max(0, l.prefillMS-run.prefillMS)
	}
	for _, key := range run.keys {
		d.prefixes.markReady(now, key, run.server)
	}
}

// Expire takes out requests whose end was not told in time: the word of it was
// lost, or the entry that sent it is gone.
func (d *Direct) Expire(now time.Time) {
	for request, run := range d.pending {
		if !run.expiresAt.IsZero() && now.After(run.expiresAt) {
			d.Finished(now, request, false)
		}
	}
}

// Finished tells that a request came to its end. ran is false when the server
// proved that it did not run there, or it was never sent.
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
	if l := d.loads[run.server]; l != nil {
		l.finished(now, run, ran)
	}
}

// finished takes a request out of its server's load. A server that is gone has
// none: its load would be kept for ever.
func (l *directLoad) finished(now time.Time, run *pendingRun, ran bool) {
	l.running = max(0, l.running-1)
	l.tokens = max(0, l.tokens-run.tokens)
	if !run.hasFirstToken {
		l.prefillMS = max(0, l.prefillMS-run.prefillMS)
	}
	if ran {
		tookMS := float64(now.Sub(run.at)) / float64(time.Millisecond)
		l.serviceMS += meanGain * (tookMS - l.serviceMS)
	}
}

// UpdateLoad takes in the load that came with an answer of the server; our own
// requests there are in it.
func (d *Direct) UpdateLoad(now time.Time, server string, load call.Load) {
	l := d.load(server)
	l.otherRequests = float64(max(0, load.Running+load.Waiting-l.running))
	l.otherRequestsAt = now
}

// RemoveServer forgets a server that is gone.
func (d *Direct) RemoveServer(server string) {
	delete(d.loads, server)
	d.prefixes.removeServer(server)
}

// ForgetCache tells that a server holds nothing any more: it took new weights, or
// its lifetime is over.
func (d *Direct) ForgetCache(server string) { d.prefixes.removeServer(server) }

// ServerOf returns the server that a request under way was counted at; empty
// when it is not known.
func (d *Direct) ServerOf(request string) string {
	if run := d.pending[request]; run != nil {
		return run.server
	}
	return ""
}

// Running counts our own requests at a server.
func (d *Direct) Running(server string) int { return d.load(server).running }
