package routing

import (
	"errors"
	"time"
)

// ErrNoFreeMemory means that the request should wait: memory is taken at the
// server that suits it best.
var ErrNoFreeMemory = errors.New("no memory free at the servers that suit the request")

// Running requests occupy an engine's memory until their outputs end. When it
// is full, new requests wait, low-priority ones are preempted and prefilled
// again, and cached prefixes are evicted, which causes further prefill. Only
// the entries that sent the requests know what they occupy, so they exchange it
// as hints.

// MemoryHint is the part of a server's memory that another entry's requests
// occupy.
type MemoryHint struct {
	Server string
	// Tokens of running prompts and outputs.
	Tokens int
}

const (
	// memoryHintLifetime is how long memory hints count: outputs take seconds,
	// and an entry that is gone sends no more hints.
	memoryHintLifetime = 3 * time.Second
	// maxMemoryWaitMS is the expected wait for memory above which a request
	// waits in the entry instead of at the server. In the entry it occupies no
	// memory, preempts no other request and goes to the server that has free
	// memory first. In the model of TestPromptsWaitOutsideFullEngines, at 1.7 times
	// the load at which memory fills, the net share was 0.20 without waiting, 0.60
	// from 0 ms, 0.59 from 300 and 0.47 from 600.
	maxMemoryWaitMS = 300
	// minReportedMemoryShare is the used share of all engines' memory below
	// which entries send no memory hints, as nothing waits for memory.
	minReportedMemoryShare = 0.4
	// meanOutputShare is the mean length of an output, as a share of its upper
	// bound.
	meanOutputShare = 0.35
	// minPlacedTokens is the size in tokens of a request from which the other
	// entries are notified at once.
	minPlacedTokens = 4000
	// defaultResidenceMS is the time that a request occupies an engine's memory
	// until one was observed.
	defaultResidenceMS = 2000
)

// receivedTokens is the memory that one other entry's requests occupy at one
// server.
type receivedTokens struct {
	tokens int
	at     time.Time
}

// memoryOf returns the expected memory of a running request, in tokens.
func memoryOf(req *DirectRequest) int {
	return req.Tokens + int(meanOutputShare*float64(req.OutputTokens))
}

// MemoryHints returns the memory that this router's requests occupy at each
// server; nil while the memory of all engines is far from full, assuming that
// all entries send as much.
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

// ReceiveMemoryHints records the memory that another entry's requests occupy.
// At servers that are not in hints they occupy none.
func (d *Direct) ReceiveMemoryHints(now time.Time, entry uint32, hints []MemoryHint) {
	d.memoryHintAt[entry] = now
	for _, l := range d.loads {
		delete(l.receivedMemory, entry)
	}
	for _, hint := range hints {
		d.load(hint.Server).receivedMemory[entry] = receivedTokens{tokens: hint.Tokens, at: now}
	}
}

// PlacedHint says that another entry has just sent a large request.
type PlacedHint struct {
	Server string
	// Tokens that the request occupies in the server's memory.
	Tokens int
	// PrefillMS is the prefill time of its prompt there.
	PrefillMS float64
}

// recordPlaced queues a hint for the other entries if the request is large: small ones are
// too many for a datagram each.
func (d *Direct) recordPlaced(run *pendingRun) {
	if run.tokens >= minPlacedTokens && len(d.placedHints) < maxPendingHints {
		d.placedHints = append(d.placedHints, PlacedHint{Server: run.server, Tokens: run.tokens, PrefillMS: run.prefillMS})
	}
}

// TakePlacedHints returns the large requests that were placed since the last
// call.
func (d *Direct) TakePlacedHints() []PlacedHint {
	placed := d.placedHints
	d.placedHints = nil
	return placed
}

// ReceivePlacedHints records large requests that another entry has just sent.
// They count until its next memory hints.
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

// addReceivedLoad adds to another entry's pending prefill.
func (l *directLoad) addReceivedLoad(now time.Time, entry uint32, prefillMS float64) {
	received := l.receivedLoads[entry]
	l.receivedLoads[entry] = receivedLoad{prefillMS: received.prefillMS*received.weight(now) + prefillMS, at: now}
}

// tokensInUse returns the tokens that running requests occupy in a server's
// memory, as far as they are known.
func (l *directLoad) tokensInUse(now time.Time) int {
	sum := l.tokens
	for _, h := range l.receivedMemory {
		if now.Sub(h.at) < memoryHintLifetime {
			sum += h.tokens
		}
	}
	return sum
}

// memoryMS is the expected wait of a request for memory: memory in use becomes
// free at an even rate over the mean residence time.
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

// estimateUnreported estimates the tokens that entries without recent memory
// hints occupy at each server: as many as this router's requests, spread
// evenly. Without it, an entry that is cut off from the others assumes that the
// engines are empty, and overfills them: with three of nine entries cut off the
// model's net share at 1.5 times the load was 0.53 instead of 0.70.
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

// observeResidence updates the mean residence time with a request that ended.
// Large requests weigh more, as they occupy most of the memory.
func (d *Direct) observeResidence(run *pendingRun, now time.Time) {
	tookMS := float64(now.Sub(run.at)) / float64(time.Millisecond)
	weight := min(1, float64(run.tokens)/fullWeightTokens) * meanGain
	d.residenceMS += weight * (tookMS - d.residenceMS)
}

// fullWeightTokens is the size of a request that has full weight in the mean
// residence time.
const fullWeightTokens = 8000

// lowestPriorityShare is the share of an engine's memory for requests of the
// route with the lowest priority. The rest is left to higher priorities: a full
// engine preempts long prompts to admit them, and prefills those again later.
const lowestPriorityShare = 0.8

// MemoryShare returns the share of an engine's memory that requests of a route
// may use; rank is the route's rank by priority among that many routes, 0 the
// highest.
func MemoryShare(rank, of int) float64 {
	if of < 2 {
		return lowestPriorityShare
	}
	return 1 - (1-lowestPriorityShare)*float64(rank)/float64(of-1)
}

// PrefillTime returns the prefill time of a prompt of which nothing is cached.
func PrefillTime(tokens int) time.Duration { return durationOf(float64(tokens) / prefillTokensPerMS) }
