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
	// memoryHintLifetime is how long another entry's word counts. Answers last for
	// seconds, and an entry that is gone sends no more.
	memoryHintLifetime = 3 * time.Second
	// maxMemoryWaitMS for memory, from which a request waits in the entry instead: there it
	// keeps no memory, puts nobody back and goes where memory becomes free first.
	// In the model of TestPromptsWaitOutsideFullEngines at 1.7 times the load at
	// which memory fills, credit less prompts read again was 0.20 without, 0.60
	// from 0 ms, 0.59 from 300 and 0.47 from 600; at 1.1 times 0.79, 0.80 and 0.81.
	maxMemoryWaitMS = 300
	// minReportedMemoryShare, a share of all engines' memory: below it nothing waits
	// for memory, and entries tell nothing of it.
	minReportedMemoryShare = 0.4
	// meanAnswerShare of the most tokens of an answer that it has on average.
	meanAnswerShare = 0.35
	// minPlacedTokens of a request from which it is told at once.
	minPlacedTokens = 4000
	// defaultResidenceMS of a request in an engine's memory until one was seen.
	defaultResidenceMS = 2000
)

// receivedTokens is what one other entry said of its requests at one server.
type receivedTokens struct {
	tokens int
	at     time.Time
}

// memoryOf a request that is under way.
func memoryOf(req *DirectRequest) int {
	return req.Tokens + int(meanAnswerShare*float64(req.OutputTokens))
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
	if float64(sum*max(d.entries, 1)) < minReportedMemoryShare*float64(d.capacity) {
		return nil
	}
	return hints
}

// ReceiveMemoryHints takes in all that another entry's requests take. Servers that it
// does not name have none of them.
func (d *Direct) ReceiveMemoryHints(now time.Time, entry uint32, hints []MemoryHint) {
	d.memoryHintAt[entry] = now
	for _, l := range d.loads {
		delete(l.receivedMemory, entry)
	}
	for _, hint := range hints {
		d.load(hint.Server).receivedMemory[entry] = receivedTokens{tokens: hint.Tokens, at: now}
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
	placed := d.placedHints
	d.placedHints = nil
	return placed
}

// recordPlaced keeps a larger request for the other entries.
func (d *Direct) recordPlaced(server string, tokens int, prefillMS float64) {
	if tokens >= minPlacedTokens && len(d.placedHints) < maxPendingHints {
		d.placedHints = append(d.placedHints, PlacedHint{Server: server, Tokens: tokens, PrefillMS: prefillMS})
	}
}

// ReceivePlacedHints takes in what another entry sent just now. It counts until that
// entry tells all that it takes.
func (d *Direct) ReceivePlacedHints(now time.Time, entry uint32, hints []PlacedHint) {
	for _, hint := range hints {
		l := d.load(hint.Server)
		received := l.receivedMemory[entry]
		if now.Sub(received.at) >= memoryHintLifetime {
			received = receivedTokens{at: now}
		}
		received.tokens += hint.Tokens
		l.receivedMemory[entry] = received
		l.addReceivedLoad(now, entry, hint.PrefillMS)
	}
}

// addReceivedLoad adds to another entry's unread prompts.
func (l *directLoad) addReceivedLoad(now time.Time, entry uint32, prefillMS float64) {
	before := l.receivedLoads[entry]
	l.receivedLoads[entry] = receivedLoad{prefillMS: before.remaining(now) + prefillMS, at: now}
}

// tokensInUse counts the tokens in a server's memory that cannot yield.
func (l *directLoad) tokensInUse(now time.Time) int {
	sum := l.tokens
	for _, h := range l.receivedMemory {
		if now.Sub(h.at) < memoryHintLifetime {
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
	inUse := d.load(s.ID).tokensInUse(now) + d.unreportedTokens
	share := req.MemoryShare
	if share <= 0 {
		share = 1
	}
	excess := float64(inUse+memoryOf(req)) - share*float64(s.KVTokens)
	if excess <= 0 || inUse == 0 {
		return 0
	}
	return excess / float64(inUse) * d.residenceMS
}

// estimateUnreported that the entries take at each server which tell nothing: as much
// as we do, spread evenly. An entry that is cut off, or that others do not hear,
// thought the engines empty otherwise and filled them: with three of nine cut off
// the model's net share at 1.5 times the load was 0.53, and is
// 0.70 so (six seeds).
func (d *Direct) estimateUnreported(now time.Time) int {
	reporting := 0
	for entry, at := range d.memoryHintAt {
		if now.Sub(at) >= memoryHintLifetime {
			delete(d.memoryHintAt, entry)
			continue
		}
		reporting++
	}
	silent := max(0, d.entries-1-reporting)
	return silent * d.tokens / max(1, d.engines)
}

// observeResidence learns from a request that ended how long requests stay in memory,
// each by its size, as large ones keep it from others.
func (d *Direct) observeResidence(run *pendingRun, now time.Time) {
	tookMS := float64(now.Sub(run.at)) / float64(time.Millisecond)
	weight := min(1, float64(run.tokens)/fullWeightTokens) * meanGain
	d.residenceMS += weight * (tookMS - d.residenceMS)
}

// fullWeightTokens of a request that weighs fully in the mean stay.
const fullWeightTokens = 8000

// lowestPriorityShare of an engine's memory is planned with for requests of the route
// that is the least urgent. What it leaves is for those before it: an engine
// that is full puts long prompts back to admit them, and reads those again.
const lowestPriorityShare = 0.8

// MemoryShare of an engine's memory that is planned with for a route whose
// urgency is the rank-th of so many, 0 the most urgent.
func MemoryShare(rank, of int) float64 {
	if of < 2 {
		return lowestPriorityShare
	}
	return 1 - (1-lowestPriorityShare)*float64(rank)/float64(of-1)
}

// PrefillTime of a prompt of which nothing is cached.
func PrefillTime(tokens int) time.Duration { return durationOf(float64(tokens) / prefillTokensPerMS) }
