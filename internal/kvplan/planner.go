// Package kvplan decides when KV cache is worth fetching from the store of kept
// KV cache, and which prefixes are worth keeping there. It has no I/O,
// goroutine or clock; callers lock.
package kvplan

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	// rememberedPoints bounds the points whose use is counted.
	rememberedPoints = 1 << 13
	// hotUses of a point make it worth keeping.
	hotUses = 3
	// maxCandidates bounds the points that the store is asked for.
	maxCandidates = 12
	// absentFor is how long a point that the store did not have is not asked for.
	absentFor = 5 * time.Second
	// storedFor is how long a point that was put there is taken to be there.
	storedFor = 10 * time.Minute
	// guessedRate of a transfer in bytes a second, until one was measured.
	guessedRate = 500e6
	// rateWeight of a new transfer in the running mean.
	rateWeight = 0.2
	// worthShare of the time to compute, which a fetch may take at most.
	worthShare = 0.7
	// minGain is the least time to compute for which the store is asked at all.
	minGain = 50 * time.Millisecond
)

type pointState struct {
	uses     int
	absentAt time.Time
	storedAt time.Time
}

// Planner knows how often points of prompts are used here, and what the store
// is known to have. Not safe for concurrent use.
type Planner struct {
	points *simplelru.LRU[uint64, *pointState]
	// rate of transfers in bytes a second.
	rate float64
}

// New makes a planner that knows nothing.
func New() *Planner {
	points, err := simplelru.NewLRU[uint64, *pointState](rememberedPoints, nil)
	if err != nil {
		panic(err) // Only a size below 1 is refused.
	}
	return &Planner{points: points, rate: guessedRate}
}

func (p *Planner) state(hash uint64) *pointState {
	if state, ok := p.points.Get(hash); ok {
		return state
	}
	state := &pointState{}
	p.points.Add(hash, state)
	return state
}

// RecordUse counts a prompt.
func (p *Planner) RecordUse(chain []*jayv1.PrefixPoint) {
	for _, point := range chain {
		p.state(point.GetHash()).uses++
	}
}

// PointToSave returns the deepest hot point of a prompt that is worth putting into the
// store, nil when there is none or it is there already. tokensPerSecond is the
// rate at which it would be computed, bytesPerToken the size of a token.
func (p *Planner) PointToSave(now time.Time, chain []*jayv1.PrefixPoint, tokensPerSecond, bytesPerToken float64) *jayv1.PrefixPoint {
	for i := len(chain) - 1; i >= 0; i-- {
		state := p.state(chain[i].GetHash())
		if state.uses < hotUses {
			continue
		}
		there := !state.storedAt.IsZero() && now.Sub(state.storedAt) < storedFor
		if there || computeTime(int(chain[i].GetBytes()), tokensPerSecond, bytesPerToken) < minGain {
			return nil
		}
		return chain[i]
	}
	return nil
}

// Candidates are the points that the store may be asked for, the deepest
// first: those whose missing part takes long enough to compute.
func (p *Planner) Candidates(now time.Time, chain []*jayv1.PrefixPoint, cachedBytes int, tokensPerSecond, bytesPerToken float64) []*jayv1.PrefixPoint {
	var candidates []*jayv1.PrefixPoint
	for i := len(chain) - 1; i >= 0 && len(candidates) < maxCandidates; i-- {
		missing := int(chain[i].GetBytes()) - cachedBytes
		if computeTime(missing, tokensPerSecond, bytesPerToken) < minGain {
			break
		}
		state := p.state(chain[i].GetHash())
		if state.absentAt.IsZero() || now.Sub(state.absentAt) >= absentFor {
			candidates = append(candidates, chain[i])
		}
	}
	return candidates
}

// WorthFetching tells whether fetching size bytes is cheaper than computing the
// missing part of the prompt up to the point. The fetch must be clearly
// cheaper: its estimate is rougher, and a fetch that fails is time lost.
func (p *Planner) WorthFetching(size int64, point *jayv1.PrefixPoint, cachedBytes int, tokensPerSecond, bytesPerToken float64) bool {
	compute := computeTime(int(point.GetBytes())-cachedBytes, tokensPerSecond, bytesPerToken)
	return float64(size)/p.rate <= worthShare*compute.Seconds()
}

// MarkAbsent tells that the store does not have the point.
func (p *Planner) MarkAbsent(now time.Time, point *jayv1.PrefixPoint) {
	state := p.state(point.GetHash())
	state.absentAt, state.storedAt = now, time.Time{}
}

// MarkStored tells that the store has the point.
func (p *Planner) MarkStored(now time.Time, point *jayv1.PrefixPoint) {
	state := p.state(point.GetHash())
	state.absentAt, state.storedAt = time.Time{}, now
}

// RecordTransfer tells how long a fetch with its import took.
func (p *Planner) RecordTransfer(size int64, took time.Duration) {
	if took > 0 {
		p.rate += rateWeight * (float64(size)/took.Seconds() - p.rate)
	}
}

// computeTime is how long an engine takes for bytes of prompt; 0 when its rate
// is unknown.
func computeTime(bytes int, tokensPerSecond, bytesPerToken float64) time.Duration {
	if bytes <= 0 || tokensPerSecond <= 0 || bytesPerToken <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / bytesPerToken / tokensPerSecond * float64(time.Second))
}
