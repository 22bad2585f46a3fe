package agent

import (
	"sync"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// underway counts the prefix points of accepted attempts that have not ended.
// A prompt that shares them will find them cached when its turn comes: what an
// engine is just computing is no cost of the next request, and declining it
// for that would have the same prefix computed elsewhere as well.
type inFlightPrefixes struct {
	mu     sync.Mutex
	counts map[uint64]int
}

func newInFlightPrefixes() *inFlightPrefixes { return &inFlightPrefixes{counts: map[uint64]int{}} }

func (p *inFlightPrefixes) add(chain []*jayv1.PrefixPoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, point := range chain {
		p.counts[point.GetHash()]++
	}
}

func (p *inFlightPrefixes) remove(chain []*jayv1.PrefixPoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, point := range chain {
		if p.counts[point.GetHash()]--; p.counts[point.GetHash()] <= 0 {
			delete(p.counts, point.GetHash())
		}
	}
}

// bytes of a prompt's start that are being computed, or wait to be.
func (p *inFlightPrefixes) bytes(chain []*jayv1.PrefixPoint) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	shared := 0
	for _, point := range chain {
		if p.counts[point.GetHash()] == 0 {
			break
		}
		shared = int(point.GetBytes())
	}
	return shared
}
