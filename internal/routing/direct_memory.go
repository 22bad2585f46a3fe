package routing

import (
	"errors"
	"time"
)

// ErrNoFreeMemory tells that the memory of the servers that suit a request is taken.
var ErrNoFreeMemory = errors.New("no memory free at the servers that suit the request")

// Requests under way take an engine's memory for as long as their answers
// last. Past its end new ones wait for the end of others, the least urgent are
// put back and read once more, and cached prefixes go: at the load at which
// that begins, everything that is read again brings it nearer. What is taken
// is known only to the entries that sent it, so they tell each other.

// MemoryHint tells how much of a server's memory another entry's requests take.
type MemoryHint struct {
	Server string
	// Tokens of prompts and answers under way.
	Tokens int
}

const (
	// memoryHintLife is how long another entry's word counts. Answers last for
	// seconds, and an entry that is gone sends no more.
	memoryHintLife = 3 * time.Second
	// waitMS for memory, from which a request waits in the entry instead: there it
	// keeps no memory, puts nobody back and goes where memory becomes free first.
	// In the model of TestPromptsWaitOutsideFullEngines at 1.7 times the load at
	// which memory fills, credit less prompts read again was 0.20 without, 0.60
	// from 0 ms, 0.59 from 300 and 0.47 from 600; at 1.1 times 0.79, 0.80 and 0.81.
	waitMS = 300
	// memoryWorthTelling, a share of all engines' memory: below it nothing waits
	// for memory, and entries tell nothing of it.
	memoryWorthTelling = 0.4
	// answerShare of the most tokens of an answer that it has on average.
	answerShare = 0.35
	// placedTokens of a request from which it is told at once.
	placedTokens = 4000
	// residenceGuess of a request in an engine's memory until one was seen.
	residenceGuess = 2000
)

// heardTokens is what one other entry said of its requests at one server.
type heardTokens struct {
	tokens int
	at     time.Time
}

// memoryOf a request that is under way.
func memoryOf(req *DirectRequest) int {
	return req.Tokens + int(answerShare*float64(req.OutputTokens))
}

// MemoryHints returns what our own requests take at each server that has any; nothing
// while the memory of all engines is far from full, taking it that all entries
// send alike.
func (d *Direct) MemoryHints() []MemoryHint {
	var hints []MemoryHint
	sum := 0
	for server, l := range d.loads {
		if l.tokens > 0 {
			sum += l.tokens
			hints = append(hints, MemoryHint{Server: server, Tokens: l.tokens})
		}
	}
	if float64(sum*max(d.entries, 1)) < memoryWorthTelling*float64(d.capacity) {
		return nil
	}
	return hints
}

// ReceiveMemoryHints takes in all that another entry's requests take. Servers that it
// does not name have none of them.
func (d *Direct) ReceiveMemoryHints(now time.Time, entry uint32, hints []MemoryHint) {
	d.memoryHeard[entry] = now
	for _, l := range d.loads {
		delete(l.heardTokens, entry)
	}
	for _, hint := range hints {
		d.load(hint.Server).heardTokens[entry] = heardTokens{tokens: hint.Tokens, at: now}
	}
}

// PlacedHint tells of a larger request that another entry sent just now.
type PlacedHint struct {
	Server string
	// Tokens that it takes of the server's memory.
	Tokens int
	// PrefillMS is how long its prompt takes to read there.
	PrefillMS float64
}

// TakePlacedHints returns the larger requests that were sent since the last call.
func (d *Direct) TakePlacedHints() []PlacedHint {
	placed := d.placed
	d.placed = nil
	return placed
}

// notePlaced keeps a larger request for the other entries.
func (d *Direct) notePlaced(server string, tokens int, readMS float64) {
	if tokens >= placedTokens && len(d.placed) < maxNewsHints {
		d.placed = append(d.placed, PlacedHint{Server: server, Tokens: tokens, PrefillMS: readMS})
	}
}

// ReceivePlacedHints takes in what another entry sent just now. It counts until that
// entry tells all that it takes.
func (d *Direct) ReceivePlacedHints(now time.Time, entry uint32, hints []PlacedHint) {
	for _, hint := range hints {
		l := d.load(hint.Server)
		heard := l.heardTokens[entry]
		if now.Sub(heard.at) >= memoryHintLife {
			heard = heardTokens{at: now}
		}
		heard.tokens += hint.Tokens
		l.heardTokens[entry] = heard
		l.hearRead(now, entry, hint.PrefillMS)
	}
}

// hearRead adds to another entry's unread prompts.
func (l *directLoad) hearRead(now time.Time, entry uint32, readMS float64) {
	before := l.heard[entry]
	l.heard[entry] = heardLoad{readMS: before.faded(now) + readMS, at: now}
}

// taken counts the tokens in a server's memory that cannot yield.
func (l *directLoad) taken(now time.Time) int {
	sum := l.tokens
	for _, h := range l.heardTokens {
		if now.Sub(h.at) < memoryHintLife {
			sum += h.tokens
		}
	}
	return sum
}

// memoryMS is how long a request is expected to wait for memory: what is taken
// goes free over the time that requests stay.
func (d *Direct) memoryMS(now time.Time, s *DirectServer, req *DirectRequest) float64 {
	if s.KVTokens <= 0 {
		return 0
	}
	taken := d.load(s.ID).taken(now) + d.unheard
	share := req.MemoryShare
	if share <= 0 {
		share = 1
	}
	over := float64(taken+memoryOf(req)) - share*float64(s.KVTokens)
	if over <= 0 || taken == 0 {
		return 0
	}
	return over / float64(taken) * d.residenceMS
}

// unheardTokens that the entries take at each server which tell nothing: as much
// as we do, spread evenly. An entry that is cut off, or that others do not hear,
// thought the engines empty otherwise and filled them: with three of nine cut off
// the model's net share at 1.5 times the load was 0.53, and is
// 0.70 so (six seeds).
func (d *Direct) unheardTokens(now time.Time) int {
	heard := 0
	for entry, at := range d.memoryHeard {
		if now.Sub(at) >= memoryHintLife {
			delete(d.memoryHeard, entry)
			continue
		}
		heard++
	}
	unheard := max(0, d.entries-1-heard)
	return unheard * d.tokens / max(1, d.engines)
}

// stayed learns from a request that ended how long requests stay in memory,
// each by its size, as large ones keep it from others.
func (d *Direct) stayed(run *pendingRun, now time.Time) {
	took := float64(now.Sub(run.at)) / float64(time.Millisecond)
	weight := min(1, float64(run.tokens)/residenceTokens) * meanGain
	d.residenceMS += weight * (took - d.residenceMS)
}

// residenceTokens of a request that weighs fully in the mean stay.
const residenceTokens = 8000

// lastShare of an engine's memory is planned with for requests of the route
// that is the least urgent. What it leaves is for those before it: an engine
// that is full puts long prompts back to admit them, and reads those again.
const lastShare = 0.8

// MemoryShare of an engine's memory that is planned with for a route whose
// urgency is the rank-th of so many, 0 the most urgent.
func MemoryShare(rank, of int) float64 {
	if of < 2 {
		return lastShare
	}
	return 1 - (1-lastShare)*float64(rank)/float64(of-1)
}

// PrefillTime of a prompt of which nothing is cached.
func PrefillTime(tokens int) time.Duration { return durationOf(float64(tokens) / tokensPerMS) }
