// Package kvplan decides when an engine fetches KV cache from the KV cache store
// instead of computing it, and which prefixes are saved there. It does no I/O, starts
// no goroutine and reads no clock. It is not safe for concurrent use.
package kvplan

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	// maxPoints bounds the prefix points whose state is kept.
	maxPoints = 1 << 13
	// minUses is the number of uses from which a point is saved.
	minUses = 3
	// maxCandidates bounds the points that are looked up in the store for a prompt.
	maxCandidates = 12
	// absentTTL is how long a point that the store did not have is not looked up again.
	absentTTL = 5 * time.Second
	// storedTTL is how long a point seen in the store is assumed to be there.
	storedTTL = 10 * time.Minute
	// initialRate is the transfer rate in bytes per second that is assumed before the
	// first transfer.
	initialRate = 500e6
	// rateWeight is the weight of the latest transfer in the moving average of the rate.
	rateWeight = 0.2
	// maxFetchShare is the longest time of a fetch, as a share of the time to compute
	// the same tokens.
	maxFetchShare = 0.7
	// minComputeTime is the least time to compute for which the store is used.
	minComputeTime = 50 * time.Millisecond
	// minLookupTimeout and maxLookupTimeout bound LookupTimeout; lookupDivisor is the
	// part of the saved time that a lookup may take.
	minLookupTimeout = 50 * time.Millisecond
	maxLookupTimeout = 400 * time.Millisecond
	lookupDivisor    = 2
)

// pointState is what is known of a prefix point.
type pointState struct {
	uses     int
	absentAt time.Time
	storedAt time.Time
}

// Planner counts how often prefix points are used and records which of them the store
// has. It is not safe for concurrent use.
type Planner struct {
	points *simplelru.LRU[uint64, *pointState]
	// rate of transfers in bytes per second.
	rate float64
}

// New returns a planner without any recorded points.
func New() *Planner {
	points, err := simplelru.NewLRU[uint64, *pointState](maxPoints, nil)
	if err != nil {
		panic(err) // Only a size below 1 is refused.
	}
	return &Planner{points: points, rate: initialRate}
}

func (p *Planner) state(hash uint64) *pointState {
	if state, ok := p.points.Get(hash); ok {
		return state
	}
	state := &pointState{}
	p.points.Add(hash, state)
	return state
}

// RecordUse counts one use of each point of a prompt's prefix chain.
func (p *Planner) RecordUse(chain []*jayv1.PrefixPoint) {
	for _, point := range chain {
		p.state(point.GetHash()).uses++
	}
}

// PointToSave returns the deepest point of a prompt that is used often enough to be
// saved to the store; nil if there is none, or the store has it already, or it is
// computed too quickly. tokensPerSecond is the rate at which the engine computes,
// bytesPerToken the mean length of a token in the prompt.
func (p *Planner) PointToSave(now time.Time, chain []*jayv1.PrefixPoint, tokensPerSecond, bytesPerToken float64) *jayv1.PrefixPoint {
	for i := len(chain) - 1; i >= 0; i-- {
		state := p.state(chain[i].GetHash())
		if state.uses < minUses {
			continue
		}
		stored := !state.storedAt.IsZero() && now.Sub(state.storedAt) < storedTTL
		if stored || computeTime(int(chain[i].GetBytes()), tokensPerSecond, bytesPerToken) < minComputeTime {
			return nil
		}
		return chain[i]
	}
	return nil
}

// Candidates returns the points to look up in the store, the deepest first: those for
// which the part beyond cachedBytes takes long enough to compute.
func (p *Planner) Candidates(now time.Time, chain []*jayv1.PrefixPoint, cachedBytes int, tokensPerSecond, bytesPerToken float64) []*jayv1.PrefixPoint {
	var candidates []*jayv1.PrefixPoint
	for i := len(chain) - 1; i >= 0 && len(candidates) < maxCandidates; i-- {
		missing := int(chain[i].GetBytes()) - cachedBytes
		if computeTime(missing, tokensPerSecond, bytesPerToken) < minComputeTime {
			break
		}
		state := p.state(chain[i].GetHash())
		if state.absentAt.IsZero() || now.Sub(state.absentAt) >= absentTTL {
			candidates = append(candidates, chain[i])
		}
	}
	return candidates
}

// LookupTimeout bounds the lookup of candidates: a share of the time that the deepest of
// them saves, so that a lookup that fails costs little compared with computing the prompt.
func LookupTimeout(candidates []*jayv1.PrefixPoint, cachedBytes int, tokensPerSecond, bytesPerToken float64) time.Duration {
	if len(candidates) == 0 {
		return minLookupTimeout
	}
	saved := computeTime(int(candidates[0].GetBytes())-cachedBytes, tokensPerSecond, bytesPerToken)
	return min(max(saved/lookupDivisor, minLookupTimeout), maxLookupTimeout)
}

// WorthFetching reports whether fetching size bytes takes less time than computing
// the prompt from cachedBytes up to the point. It must take clearly less, since its
// estimate is less exact and a failed fetch costs time.
func (p *Planner) WorthFetching(size int64, point *jayv1.PrefixPoint, cachedBytes int, tokensPerSecond, bytesPerToken float64) bool {
	compute := computeTime(int(point.GetBytes())-cachedBytes, tokensPerSecond, bytesPerToken)
	return float64(size)/p.rate <= maxFetchShare*compute.Seconds()
}

// MarkAbsent records that the store does not have the point.
func (p *Planner) MarkAbsent(now time.Time, point *jayv1.PrefixPoint) {
	state := p.state(point.GetHash())
	state.absentAt, state.storedAt = now, time.Time{}
}

// MarkStored records that the store has the point.
func (p *Planner) MarkStored(now time.Time, point *jayv1.PrefixPoint) {
	state := p.state(point.GetHash())
	state.absentAt, state.storedAt = time.Time{}, now
}

// RecordTransfer records the size in bytes of a fetch and how long it took, with its
// import into the engine.
func (p *Planner) RecordTransfer(size int64, took time.Duration) {
	if took > 0 {
		p.rate += rateWeight * (float64(size)/took.Seconds() - p.rate)
	}
}

// computeTime returns how long an engine takes to compute bytes of a prompt; 0 if its
// rate is unknown.
func computeTime(bytes int, tokensPerSecond, bytesPerToken float64) time.Duration {
	if bytes <= 0 || tokensPerSecond <= 0 || bytesPerToken <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / bytesPerToken / tokensPerSecond * float64(time.Second))
}
