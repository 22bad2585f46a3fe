package routing

import (
	"fmt"
	"time"
)

// ErrLongQueue means that the request should wait, as with ErrNoFreeMemory, which it
// includes, but for the prompts that wait at the server.
var ErrLongQueue = fmt.Errorf("%w before the prompts that wait there are read", ErrNoFreeMemory)

// Engines admit waiting prompts in the order of their priority, and read those that they
// have admitted in the order of admission. So a prompt waits for those of its own and of
// higher priorities, and for what is left of the prompt of lower priority that is read now.

const (
	// priorityLevels is the number of priorities that engines distinguish.
	priorityLevels = 10
	// chunkTokens is the number of prompt tokens that an engine reads in one step.
	chunkTokens = 2048
	// chunkMS is the prefill time of one chunk.
	chunkMS = chunkTokens / prefillTokensPerMS
	// leftShare is what is left on average of the prompt that is being read, as a share of
	// the mean prefill time of those that are pending: long ones are read more often than
	// short ones. Short prompts with one, two, three to five and more prompts of lower
	// priority pending came 212, 192, 132 and 100 ms later.
	leftShare = 0.85
)

// pendingPrefill is the prefill time, in milliseconds, or the number of prompts without a first token,
// by priority.
type pendingPrefill [priorityLevels]float64

// levelOf limits a priority to the levels that exist.
func levelOf(priority int) int { return min(max(priority, 0), priorityLevels-1) }

func (p *pendingPrefill) add(priority int, ms float64) { p[levelOf(priority)] += ms }

func (p *pendingPrefill) remove(priority int, ms float64) {
	level := levelOf(priority)
	p[level] = max(0, p[level]-ms)
}

// total returns the prefill of all priorities.
func (p *pendingPrefill) total() float64 {
	ahead, _ := p.split(priorityLevels - 1)
	return ahead
}

// split returns the prefill of prompts of the given and of higher priorities, and that of
// lower priorities.
func (p *pendingPrefill) split(priority int) (ahead, lower float64) {
	own := levelOf(priority)
	for _, ms := range p[:own+1] {
		ahead += ms
	}
	for _, ms := range p[own+1:] {
		lower += ms
	}
	return ahead, lower
}

// addPrefill counts the prefill of a request that was sent to the server.
func (l *directLoad) addPrefill(run *pendingRun) {
	l.prefill.add(run.priority, run.prefillMS)
	l.prompts.add(run.priority, 1)
}

// removePrefill removes the prefill of a request that has its first token or has ended.
func (l *directLoad) removePrefill(run *pendingRun) {
	l.prefill.remove(run.priority, run.prefillMS)
	l.prompts.remove(run.priority, 1)
}

// lowerMS returns how long a prompt waits for those of lower priority at the server, of
// which lower milliseconds are pending.
func (l *directLoad) lowerMS(priority int, lower float64) float64 {
	_, ownLower := l.prefill.split(priority)
	_, prompts := l.prompts.split(priority)
	return min(lower, max(chunkMS, leftShare*ownLower/max(prompts, 1)))
}

// maxQueueWaitMS is the pending prefill ahead of a long prompt above which it waits in the
// entry instead of at the server, as with maxMemoryWaitMS: it takes no slot and no memory
// there, is not lost with a server, and goes to the first one that is ready. A lower bound
// leaves servers without work between two attempts to place waiting requests.
const maxQueueWaitMS = 300

// waitsOutside reports whether a long prompt should wait in the entry. Short prompts lose
// more by the pauses between two attempts to place waiting requests.
func waitsOutside(req *DirectRequest, terms *DirectTerms) bool {
	return req.Ranked && req.Tokens >= minPlacedTokens && terms.AheadMS > maxQueueWaitMS
}

// pendingMS returns the pending prefill at a server that a prompt of the given priority
// waits for in full, and that of lower priorities.
func (d *Direct) pendingMS(now time.Time, l *directLoad, priority int) (ahead, lower float64) {
	ahead, lower = l.prefill.split(priority)
	aheadOfOthers, lowerOfOthers := d.othersPendingMS(now, l, priority)
	return ahead + aheadOfOthers, lower + lowerOfOthers
}

// othersPendingMS is pendingMS for the requests of other entries: as reported, which counts
// ahead of all since hints state no priorities, plus a share of an estimate from this
// router's own, for requests that no hint covers yet.
func (d *Direct) othersPendingMS(now time.Time, l *directLoad, priority int) (ahead, lower float64) {
	ownAhead, ownLower := l.prefill.split(priority)
	others := float64(min(max(d.entries, 1), maxEntryFactor) - 1)
	return estimateShare*(ownAhead*others) + l.hintedPrefillMS(now), estimateShare * (ownLower * others)
}
