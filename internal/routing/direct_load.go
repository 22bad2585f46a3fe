package routing

import (
	"time"

	"github.com/jayproxy/jayproxy/internal/call"
)

// directLoad is what is known of the work at one server.
type directLoad struct {
	// running counts our own requests there; readMS is the prompt work of those
	// without a first token yet.
	running int
	readMS  float64
	// others counts requests of other entries, as of othersAt.
	others   float64
	othersAt time.Time
	// heard is what other entries said of their unread prompts here.
	heard map[uint32]heardLoad
	// tokens of our own requests in its memory, heardTokens those of others.
	tokens      int
	heardTokens map[uint32]heardTokens
	// serviceMS is the mean time of an answer of a plain service.
	serviceMS float64
}

type pendingRun struct {
	server string
	readMS float64
	tokens int
	// keys of the prefix's levels, outermost first.
	keys  []uint32
	at    time.Time
	first bool
	// until is when it counts no more though its end was not told; zero: never.
	until time.Time
	// saves names the part that is sent to a store when it was read; 0: none.
	saves uint32
}

func (d *Direct) load(server string) *directLoad {
	l, ok := d.loads[server]
	if !ok {
		l = &directLoad{serviceMS: plainMS, heard: map[uint32]heardLoad{}, heardTokens: map[uint32]heardTokens{}}
		d.loads[server] = l
	}
	return l
}

func (d *Direct) queueMS(now time.Time, s *DirectServer, plain bool) float64 {
	l := d.load(s.ID)
	others := l.others * max(0, 1-float64(now.Sub(l.othersAt))/float64(reportLife))
	if !plain {
		return l.readMS + d.otherReadMS(now, l) + runMS*float64(l.running) + otherMS*others
	}
	// Work beyond the slots waits for one of them.
	slots := float64(max(s.Slots, 1))
	ahead := float64(l.running) + others
	wait := max(0, ahead+1-slots) / slots * l.serviceMS
	return wait + l.serviceMS*(1+ahead/slots/2)
}

// otherReadMS is what the unread prompts of other entries at a server take: as
// they tell, or guessed from our own where they have told nothing of late.
func (d *Direct) otherReadMS(now time.Time, l *directLoad) float64 {
	guess := l.readMS * float64(min(max(d.entries, 1), maxEntryFactor)-1)
	told := l.othersMS(now)
	return guessShare*guess + told
}

// FirstToken tells that the prompt of a request was read: its prefix is cached there.
func (d *Direct) FirstToken(now time.Time, request string) {
	run := d.pending[request]
	if run == nil || run.first {
		return
	}
	run.first = true
	if l := d.loads[run.server]; l != nil {
		l.readMS = max(0, l.readMS-run.readMS)
	}
	for _, key := range run.keys {
		d.prefixes.held(now, key, run.server)
	}
}

// Expire takes out requests whose end was not told in time: the word of it was
// lost, or the entry that sent it is gone.
func (d *Direct) Expire(now time.Time) {
	for request, run := range d.pending {
		if !run.until.IsZero() && now.After(run.until) {
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
	if !run.first {
		for _, key := range run.keys {
			d.prefixes.lost(now, key, run.server)
		}
		if run.saves != 0 {
			d.kept.notSaved(run.saves)
		}
	}
	if ran && run.tokens > 0 {
		d.stayed(run, now)
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
	if !run.first {
		l.readMS = max(0, l.readMS-run.readMS)
	}
	if ran {
		took := float64(now.Sub(run.at)) / float64(time.Millisecond)
		l.serviceMS += meanGain * (took - l.serviceMS)
	}
}

// UpdateLoad takes in the load that came with an answer of the server; our own
// requests there are in it.
func (d *Direct) UpdateLoad(now time.Time, server string, load call.Load) {
	l := d.load(server)
	l.others = float64(max(0, load.Running+load.Waiting-l.running))
	l.othersAt = now
}

// RemoveServer forgets a server that is gone.
func (d *Direct) RemoveServer(server string) {
	delete(d.loads, server)
	d.prefixes.forget(server)
}

// ForgetCache tells that a server holds nothing any more: it took new weights, or
// its lifetime is over.
func (d *Direct) ForgetCache(server string) { d.prefixes.forget(server) }

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
